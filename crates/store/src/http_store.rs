use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use bay_types::Revision;
use futures_lite::future;
use http_types::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Object, StoreError, StoreReply, StoreRequest, StoreResult, encode_request, exchange};

/// Name of the header with an object's revision.
pub(crate) const REVISION_HEADER: &str = "bay-revision";

/// An HTTP client of the store. It opens a connection for each request.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the store at an address.
    ///
    /// The timeout applies to connecting and to the exchange separately. For a watch, the exchange
    /// may take longer by the time for which the store waits.
    pub fn new(address: SocketAddr, timeout: Duration) -> HttpStore {
        HttpStore { address, timeout }
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    /// Returns an error if the store could not be reached or refused the request, or if its reply
    /// was lost, invalid or late. See [`StoreError::may_have_taken_effect`] for writes.
    pub async fn call(&self, request: StoreRequest) -> StoreResult {
        let wait = match &request {
            StoreRequest::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let connect = async { TcpStream::connect(self.address).await.ok() };
        let stream = with_timeout(self.timeout, connect).await.ok_or(StoreError::Unreachable)?;
        let reply = async { Some(send(self.address, stream, request).await) };
        let answer = with_timeout(self.timeout + wait, reply).await;
        answer.unwrap_or(Err(StoreError::Unknown))
    }
}

async fn with_timeout<F, T>(timeout: Duration, work: F) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let expiration = async {
        Timer::after(timeout).await;
        None
    };
    future::or(work, expiration).await
}

async fn send(address: SocketAddr, stream: TcpStream, request: StoreRequest) -> StoreResult {
    let req = encode_request(address, request.clone())?;
    let (res, body) = exchange(stream, req).await.map_err(|_| StoreError::Unknown)?;
    decode_reply(&request, &res, body)
}

fn decode_reply(request: &StoreRequest, res: &Response, body: String) -> StoreResult {
    let revision = || {
        let value = res.header(REVISION_HEADER).ok_or(StoreError::Unknown)?;
        let number = value.as_str().parse().map_err(|_| StoreError::Unknown)?;
        Ok(Revision(number))
    };
    match (request, res.status()) {
        (_, StatusCode::BadRequest | StatusCode::PayloadTooLarge) => Err(StoreError::Rejected),
        (_, StatusCode::ServiceUnavailable) => Err(StoreError::Unavailable),
        (StoreRequest::Get { .. }, StatusCode::NotFound) => Ok(StoreReply::Object(None)),
        (StoreRequest::Get { key }, StatusCode::Ok) => {
            let object = Object { key: key.clone(), revision: revision()?, body };
            Ok(StoreReply::Object(Some(object)))
        }
        (StoreRequest::Put { .. } | StoreRequest::Delete { .. }, StatusCode::Ok) => {
            Ok(StoreReply::Written(revision()?))
        }
        (
            StoreRequest::Put { .. } | StoreRequest::Delete { .. },
            StatusCode::PreconditionFailed,
        ) => Ok(StoreReply::Conflict(parse(&body)?)),
        (StoreRequest::List { .. }, StatusCode::Ok) => Ok(StoreReply::Objects(parse(&body)?)),
        (StoreRequest::Watch { .. }, StatusCode::Ok) => Ok(StoreReply::Changes(parse(&body)?)),
        (StoreRequest::Hosts, StatusCode::Ok) => Ok(StoreReply::Hosts(parse(&body)?)),
        _ => Err(StoreError::Unknown),
    }
}

fn parse<T>(body: &str) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(body).map_err(|_| StoreError::Unknown)
}

/// Encodes the result of a store request as an HTTP response.
pub fn encode_reply(result: StoreResult) -> Response {
    match result {
        Ok(StoreReply::Object(None)) => Response::new(StatusCode::NotFound),
        Ok(StoreReply::Object(Some(object))) => {
            let mut res = Response::new(StatusCode::Ok);
            res.insert_header(REVISION_HEADER, object.revision.0.to_string());
            res.set_body(object.body);
            res
        }
        Ok(StoreReply::Written(revision)) => {
            let mut res = Response::new(StatusCode::Ok);
            res.insert_header(REVISION_HEADER, revision.0.to_string());
            res
        }
        Ok(StoreReply::Conflict(current)) => json(StatusCode::PreconditionFailed, &current),
        Ok(StoreReply::Objects(body)) => json(StatusCode::Ok, &body),
        Ok(StoreReply::Changes(body)) => json(StatusCode::Ok, &body),
        Ok(StoreReply::Hosts(hosts)) => json(StatusCode::Ok, &hosts),
        Err(StoreError::Rejected) => Response::new(StatusCode::BadRequest),
        Err(StoreError::Unavailable | StoreError::Suspended) => {
            Response::new(StatusCode::ServiceUnavailable)
        }
        Err(StoreError::Unreachable | StoreError::Unknown) => {
            Response::new(StatusCode::InternalServerError)
        }
    }
}

fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let mut res = Response::new(status);
    match serde_json::to_string(value) {
        Ok(text) => res.set_body(text),
        Err(_) => res.set_status(StatusCode::InternalServerError),
    }
    res
}

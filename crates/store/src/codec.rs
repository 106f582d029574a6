use std::time::Duration;

use bay_types::Revision;
use http_types::{Method, Request, Url};

use crate::{ObjectKey, Precondition, StoreError, StoreRequest};

const IF_MATCH: &str = "if-match";
const IF_NONE_MATCH: &str = "if-none-match";

/// Returns the path and query of a request's URL.
pub fn request_path(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get { key } | StoreRequest::Put { key, .. } => format!("/objects/{key}"),
        StoreRequest::Delete { key, .. } => format!("/objects/{key}"),
        StoreRequest::List { prefix } => format!("/objects?prefix={prefix}"),
        StoreRequest::Watch { prefix, since, wait } => {
            format!("/watch?prefix={prefix}&since={}&wait_ms={}", since.0, wait.as_millis())
        }
        StoreRequest::Hosts => "/hosts".to_owned(),
    }
}

/// Encodes a store request as an HTTP request.
///
/// # Errors
/// Returns [`StoreError::Rejected`] if the address and the path don't form a URL.
pub fn encode_request(
    address: std::net::SocketAddr,
    request: StoreRequest,
) -> Result<Request, StoreError> {
    let text = format!("http://{address}{}", request_path(&request));
    let url = Url::parse(&text).map_err(|_| StoreError::Rejected)?;
    let method = match request {
        StoreRequest::Put { .. } => Method::Put,
        StoreRequest::Delete { .. } => Method::Delete,
        _ => Method::Get,
    };
    let mut req = Request::new(method, url);
    match request {
        StoreRequest::Put { body, precondition, .. } => {
            set_precondition(&mut req, precondition);
            req.set_body(body);
        }
        StoreRequest::Delete { precondition, .. } => set_precondition(&mut req, precondition),
        _ => {}
    }
    Ok(req)
}

/// Decodes a store request from an HTTP request and its body.
///
/// # Errors
/// Returns [`StoreError::Rejected`] if the HTTP request is not a valid store request.
pub fn decode_request(req: &Request, body: String) -> Result<StoreRequest, StoreError> {
    let url = req.url();
    let query = |name: &str| {
        let found = url.query_pairs().find(|(key, _)| key == name);
        found.map(|(_, value)| value.into_owned())
    };
    let number = |name: &str| query(name).and_then(|text| text.parse::<u64>().ok());
    let prefix = || query("prefix").ok_or(StoreError::Rejected);
    if let Some(key) = url.path().strip_prefix("/objects/") {
        let key = ObjectKey::new(key).ok_or(StoreError::Rejected)?;
        return match req.method() {
            Method::Get => Ok(StoreRequest::Get { key }),
            Method::Put => {
                Ok(StoreRequest::Put { key, body, precondition: parse_precondition(req)? })
            }
            Method::Delete => {
                Ok(StoreRequest::Delete { key, precondition: parse_precondition(req)? })
            }
            _ => Err(StoreError::Rejected),
        };
    }
    match (req.method(), url.path()) {
        (Method::Get, "/objects") => Ok(StoreRequest::List { prefix: prefix()? }),
        (Method::Get, "/watch") => Ok(StoreRequest::Watch {
            prefix: prefix()?,
            since: Revision(number("since").ok_or(StoreError::Rejected)?),
            wait: Duration::from_millis(number("wait_ms").ok_or(StoreError::Rejected)?),
        }),
        (Method::Get, "/hosts") => Ok(StoreRequest::Hosts),
        _ => Err(StoreError::Rejected),
    }
}

fn set_precondition(req: &mut Request, precondition: Precondition) {
    match precondition {
        Precondition::Absent => req.insert_header(IF_NONE_MATCH, "*"),
        Precondition::Revision(revision) => req.insert_header(IF_MATCH, revision.0.to_string()),
    };
}

fn parse_precondition(req: &Request) -> Result<Precondition, StoreError> {
    if req.header(IF_NONE_MATCH).is_some() {
        return Ok(Precondition::Absent);
    }
    let value = req.header(IF_MATCH).ok_or(StoreError::Rejected)?;
    let revision = value.as_str().parse().map_err(|_| StoreError::Rejected)?;
    Ok(Precondition::Revision(Revision(revision)))
}

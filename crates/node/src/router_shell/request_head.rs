use bay_router::{HeaderAction, RequestFields, RouterWire};
use bay_types::ErrorKind;

use crate::http1::framing::Framing;
use crate::http1::hop_headers::{connection_options, is_forwarded};
use crate::http1::request_check::{RequestInfo, check_request};

/// Most headers of a request.
const MAX_HEADERS: usize = 100;

/// A caller's request up to its body.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// The request line and the headers that are passed on, without the empty line.
    pub(crate) bytes: Vec<u8>,
    /// The host name, without a port.
    pub(crate) host: String,
    /// The method, the path and the query.
    pub(crate) target: String,
    /// The path, without the query.
    pub(crate) path: String,
    /// Whether the answer has no body, whatever its head says.
    pub(crate) to_head: bool,
    /// What the headers tell the router.
    pub(crate) fields: RequestFields,
    /// What the headers tell of the connection and the body.
    pub(crate) facts: RequestInfo,
}

impl RequestHead {
    /// Checks and reads a head.
    ///
    /// # Errors
    /// Returns why the request is refused.
    pub(crate) fn read(mut head: Vec<u8>, wire: &dyn RouterWire) -> Result<RequestHead, ErrorKind> {
        let facts = check_request(&mut head, MAX_HEADERS)?;
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(&head).map_err(|_| ErrorKind::BadRequest)?;
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(ErrorKind::BadRequest);
        };
        let mut bytes = Vec::with_capacity(head.len() + 64);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        let listed = listed_in_connection(request.headers);
        let mut fields = RequestFields::default();
        let mut host = String::new();
        for header in request.headers.iter() {
            let name = header.name.to_ascii_lowercase();
            if name == "host" {
                let text = std::str::from_utf8(header.value).unwrap_or_default();
                host = text.split(':').next().unwrap_or_default().to_owned();
            }
            match wire.read_request(&name, header.value, &mut fields) {
                HeaderAction::Pass if is_forwarded(&name, &listed) => {
                    append_header(&mut bytes, header.name, header.value);
                }
                HeaderAction::Pass | HeaderAction::Replace => {}
                HeaderAction::Malformed => return Err(ErrorKind::BadRequest),
            }
        }
        let path = target.split('?').next().unwrap_or_default().to_owned();
        let target = format!("{method} {target}");
        let to_head = method == "HEAD";
        Ok(RequestHead { bytes, host, target, path, to_head, fields, facts })
    }

    /// Whether the request has no body and may be answered beside others of its connection.
    pub(crate) fn may_overlap(&self) -> bool {
        self.facts.framing == Framing::Empty && self.bytes.starts_with(b"GET ")
    }
}

/// The headers that a message's `Connection` header names.
pub(crate) fn listed_in_connection(headers: &[httparse::Header<'_>]) -> Vec<String> {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    let values = named.filter_map(|header| std::str::from_utf8(header.value).ok());
    values.flat_map(connection_options).collect()
}

/// Appends a header line.
pub(crate) fn append_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

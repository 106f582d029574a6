use bay_router::{HeaderAction, RequestFields, RouterWire};
use bay_types::ErrorKind;

use super::account_headers::AccountHeaders;
use crate::http1::framing::Framing;
use crate::http1::header_slots::HeaderSlots;
use crate::http1::hop_headers::{connection_options, is_forwarded};
use crate::http1::request_check::{RequestInfo, check_request};

/// Head of a caller's request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    /// Request line and forwarded headers, without the empty line.
    pub(crate) bytes: Vec<u8>,
    /// Headers that are forwarded only if the configuration has no client accounts.
    pub(crate) account_headers: AccountHeaders,
    /// Host name without a port; empty without a `Host` header.
    pub(crate) host: String,
    /// Method, path and query, separated by a space after the method.
    pub(crate) method_and_target: String,
    /// Path without the query.
    pub(crate) path: String,
    /// Whether this is a `HEAD` request, whose answer has no body.
    pub(crate) is_head_request: bool,
    /// Values of the headers that the router evaluates.
    pub(crate) fields: RequestFields,
    /// Framing of the body and options of the connection.
    pub(crate) info: RequestInfo,
}

impl RequestHead {
    /// Checks and parses a head.
    ///
    /// # Errors
    /// Returns why the request is refused.
    pub(crate) fn parse(
        mut head: Vec<u8>,
        wire: &dyn RouterWire,
    ) -> Result<RequestHead, ErrorKind> {
        let info = check_request(&mut head, usize::MAX)?;
        let mut headers = HeaderSlots::for_head(&head);
        let mut request = httparse::Request::new(headers.slots());
        request.parse(&head).map_err(|_| ErrorKind::BadRequest)?;
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(ErrorKind::BadRequest);
        };
        let mut bytes = Vec::with_capacity(head.len() + 64);
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        let connection_names = connection_header_names(request.headers);
        let mut fields = RequestFields::default();
        let mut host = String::new();
        let mut account_headers = AccountHeaders::default();
        for header in request.headers.iter() {
            let name = header.name.to_ascii_lowercase();
            if name == "host" {
                let text = std::str::from_utf8(header.value).unwrap_or_default();
                host = text.split(':').next().unwrap_or_default().to_owned();
            }
            match wire.parse_request_header(&name, header.value, &mut fields) {
                HeaderAction::Pass if is_forwarded(&name, &connection_names) => {
                    append_header(&mut bytes, header.name, header.value);
                }
                HeaderAction::ReplaceForAccounts if is_forwarded(&name, &connection_names) => {
                    account_headers.append(header.name, header.value);
                }
                HeaderAction::Pass | HeaderAction::Replace | HeaderAction::ReplaceForAccounts => {}
                HeaderAction::Malformed => return Err(ErrorKind::BadRequest),
            }
        }
        let path = target.split('?').next().unwrap_or_default().to_owned();
        let method_and_target = format!("{method} {target}");
        let is_head_request = method == "HEAD";
        Ok(RequestHead {
            bytes,
            account_headers,
            host,
            method_and_target,
            path,
            is_head_request,
            fields,
            info,
        })
    }

    /// Returns whether the request may be in flight together with others of its connection: a `GET`
    /// without a body.
    pub(crate) fn may_overlap(&self) -> bool {
        self.info.framing == Framing::Empty && self.bytes.starts_with(b"GET ")
    }
}

/// Returns the names in a message's `Connection` headers, which are hop-by-hop headers.
pub(crate) fn connection_header_names(headers: &[httparse::Header<'_>]) -> Vec<String> {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    let values = named.filter_map(|header| std::str::from_utf8(header.value).ok());
    values.flat_map(connection_options).collect()
}

/// Appends a header line with its line break.
pub(crate) fn append_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

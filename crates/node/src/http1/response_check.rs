use std::ops::RangeInclusive;

use super::framing::Framing;
use super::header_slots::HeaderSlots;
use super::request_check::parse_length;

/// Statuses that HTTP defines a class for (RFC 9110, section 15). The parser accepts any three digits.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Values from a response's raw head that the HTTP library does not report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseInfo {
    /// The HTTP status.
    pub(crate) status: u16,
    /// How the end of the body is found; [`Framing::Empty`] if no body follows.
    pub(crate) framing: Framing,
    /// Value of `Content-Length`, also if no body follows.
    pub(crate) declared_length: Option<u64>,
    /// Whether the target closes the connection after the response.
    pub(crate) should_close: bool,
    /// Whether the head has a `Date`; without one the HTTP library adds a malformed one.
    pub(crate) has_date: bool,
    /// Whether the head has a `Content-Type`.
    pub(crate) has_content_type: bool,
    /// Whether the head has a `Content-Encoding`.
    pub(crate) has_content_encoding: bool,
    /// Seconds for which the target keeps an idle connection open, from `Keep-Alive`.
    pub(crate) keep_alive_seconds: Option<u64>,
}

/// Error for a malformed or ambiguous response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BadHead;

impl ResponseInfo {
    /// Returns whether the status is 1xx, so another response to the same request follows.
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Checks the raw head of a response; `to_head_request` means that no body follows.
///
/// # Errors
/// Returns an error if the status is not one of HTTP's, or two parsers could read the head differently.
pub(crate) fn check_response(head: &[u8], to_head_request: bool) -> Result<ResponseInfo, BadHead> {
    let mut headers = HeaderSlots::for_head(head);
    let mut response = httparse::Response::new(headers.slots());
    match response.parse(head) {
        Ok(httparse::Status::Complete(len)) if len == head.len() => {}
        _ => return Err(BadHead),
    }
    // The HTTP library panics on header values that are not ASCII.
    if response.version != Some(1) || !head.is_ascii() {
        return Err(BadHead);
    }
    let status = response.code.filter(|code| VALID_STATUSES.contains(code)).ok_or(BadHead)?;
    let mut info = ResponseInfo {
        status,
        framing: Framing::Empty,
        declared_length: None,
        should_close: false,
        has_date: false,
        has_content_type: false,
        has_content_encoding: false,
        keep_alive_seconds: None,
    };
    let mut chunked = false;
    for header in response.headers.iter() {
        let value = header.value;
        match header.name {
            name if name.eq_ignore_ascii_case("content-length") => {
                let length = parse_length(value).ok_or(BadHead)?;
                if info.declared_length.replace(length).is_some() {
                    return Err(BadHead);
                }
            }
            name if name.eq_ignore_ascii_case("transfer-encoding") => {
                if chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(BadHead);
                }
                chunked = true;
            }
            name if name.eq_ignore_ascii_case("connection") => {
                let mut options = value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
                info.should_close |= options.any(|option| option.eq_ignore_ascii_case(b"close"));
            }
            name if name.eq_ignore_ascii_case("content-encoding") => {
                info.has_content_encoding = true
            }
            name if name.eq_ignore_ascii_case("keep-alive") => {
                info.keep_alive_seconds = keep_alive_timeout(value);
            }
            name if name.eq_ignore_ascii_case("date") => info.has_date = true,
            name if name.eq_ignore_ascii_case("content-type") => info.has_content_type = true,
            _ => {}
        }
    }
    info.framing = response_framing(&info, chunked, to_head_request)?;
    Ok(info)
}

/// Returns how the end of a body is found, or an error if the head has two ways to find it.
fn response_framing(
    info: &ResponseInfo,
    chunked: bool,
    to_head_request: bool,
) -> Result<Framing, BadHead> {
    if chunked && info.declared_length.is_some() {
        return Err(BadHead);
    }
    let bodiless = to_head_request || matches!(info.status, 100..200 | 204 | 304);
    match (bodiless, info.status, info.declared_length, chunked) {
        // No request asks for a change of protocol: `Upgrade` is not forwarded.
        (_, 101, _, _) => Err(BadHead),
        (true, _, _, _) | (false, _, Some(0), _) => Ok(Framing::Empty),
        (false, _, Some(length), _) => Ok(Framing::Length(length)),
        (false, _, None, true) => Ok(Framing::Chunked),
        (false, _, None, false) => Ok(Framing::UntilClose),
    }
}

/// Parses `timeout` from a `Keep-Alive` header such as `timeout=5, max=100`.
fn keep_alive_timeout(value: &[u8]) -> Option<u64> {
    let mut options = std::str::from_utf8(value).ok()?.split(',');
    options.find_map(|option| option.trim().strip_prefix("timeout=")?.parse().ok())
}

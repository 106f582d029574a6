use bay_conf::Method;
use bay_types::ErrorKind;

use super::framing::Framing;
use super::header_slots::HeaderSlots;

/// Replacement for the name of the `Expect` header, which the gate or router handles itself.
/// Headers that start with `bay-` are not forwarded.
const EXPECT_REPLACEMENT: &[u8; 6] = b"bay-ex";

/// Values from a request's raw head that the HTTP library does not report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestInfo {
    /// How the end of the body is found.
    pub(crate) framing: Framing,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Whether the caller asks to close the connection after the response.
    pub(crate) should_close: bool,
    /// Whether the head has a `Content-Type`.
    pub(crate) has_content_type: bool,
}

/// Checks the raw head of a request for anything that two parsers could read differently.
///
/// # Errors
/// Returns the kind of error with which the request is refused.
pub(crate) fn check_request(head: &mut [u8], max_headers: usize) -> Result<RequestInfo, ErrorKind> {
    check_lines(head)?;
    let mut headers = HeaderSlots::for_head(head);
    let mut request = httparse::Request::new(headers.slots());
    match request.parse(head) {
        Ok(httparse::Status::Complete(len)) if len == head.len() => {}
        _ => return Err(ErrorKind::BadRequest),
    }
    if request.headers.len() > max_headers {
        return Err(ErrorKind::HeadTooLarge);
    }
    if request.version != Some(1) {
        return Err(ErrorKind::BadRequest);
    }
    let method = request.method.ok_or(ErrorKind::BadRequest)?;
    Method::parse(method).ok_or(ErrorKind::MethodNotAllowed)?;
    check_target(request.path.ok_or(ErrorKind::BadRequest)?)?;
    let mut scan = HeaderScan::default();
    for header in request.headers.iter() {
        scan.add(header)?;
    }
    let expects = scan.expect.is_some();
    let info = scan.into_info()?;
    if expects {
        rename_expect_header(head);
    }
    Ok(info)
}

/// Rejects lines that do not end in CR LF, and bytes that are not ASCII, on which the HTTP library
/// panics.
fn check_lines(head: &[u8]) -> Result<(), ErrorKind> {
    let mut last = 0;
    for &byte in head {
        if !byte.is_ascii() || (byte == b'\n' && last != b'\r') || (last == b'\r' && byte != b'\n')
        {
            return Err(ErrorKind::BadRequest);
        }
        last = byte;
    }
    Ok(())
}

/// Rejects a path that parsers could resolve differently; the HTTP library resolves dot segments.
fn check_target(target: &str) -> Result<(), ErrorKind> {
    let path = target.split('?').next().unwrap_or_default();
    if !target.starts_with('/') || target.contains(['#', '\\']) {
        return Err(ErrorKind::BadRequest);
    }
    let is_dots = |segment: &str| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    let may_have_dots = path.contains("/.") || path.contains('%');
    if may_have_dots && path.split('/').any(is_dots) {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Collects the headers that decide the framing and the use of the connection.
#[derive(Debug, Default)]
struct HeaderScan<'a> {
    host: Option<&'a [u8]>,
    length: Option<u64>,
    is_chunked: bool,
    expect: Option<&'a [u8]>,
    should_close: bool,
    has_content_type: bool,
}

impl<'a> HeaderScan<'a> {
    fn add(&mut self, header: &httparse::Header<'a>) -> Result<(), ErrorKind> {
        let name = header.name;
        let value = header.value;
        if name.eq_ignore_ascii_case("host") {
            return set_once(&mut self.host, value, is_valid_host(value));
        }
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_length(value).ok_or(ErrorKind::BadRequest)?;
            return set_once(&mut self.length, length, true);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ErrorKind::BadRequest);
            }
            self.is_chunked = true;
        }
        if name.eq_ignore_ascii_case("expect") {
            return set_once(&mut self.expect, value, value.eq_ignore_ascii_case(b"100-continue"));
        }
        if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
            self.should_close |= options.any(|option| option.eq_ignore_ascii_case(b"close"));
        }
        self.has_content_type |= name.eq_ignore_ascii_case("content-type");
        Ok(())
    }

    fn into_info(self) -> Result<RequestInfo, ErrorKind> {
        self.host.ok_or(ErrorKind::BadRequest)?;
        let framing = match (self.length, self.is_chunked) {
            (Some(_), true) => return Err(ErrorKind::BadRequest),
            (None, true) => Framing::Chunked,
            (None | Some(0), false) => Framing::Empty,
            (Some(length), false) => Framing::Length(length),
        };
        Ok(RequestInfo {
            framing,
            expects_continue: self.expect.is_some() && framing != Framing::Empty,
            should_close: self.should_close,
            has_content_type: self.has_content_type,
        })
    }
}

/// Sets the value of a header that may occur only once.
fn set_once<T>(field: &mut Option<T>, value: T, valid: bool) -> Result<(), ErrorKind> {
    if field.is_some() || !valid {
        return Err(ErrorKind::BadRequest);
    }
    *field = Some(value);
    Ok(())
}

fn is_valid_host(value: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(byte);
    !value.is_empty() && value.iter().all(allowed)
}

/// Parses a length that consists of digits only; the HTTP library also accepts a plus sign.
pub(crate) fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Renames the `Expect` header, for which the HTTP library would start its own thread pool.
fn rename_expect_header(head: &mut [u8]) {
    let mut at = 0;
    while let Some(line) = head[at..].iter().position(|byte| *byte == b'\n') {
        let len = EXPECT_REPLACEMENT.len();
        if head[at..].len() > len
            && head[at..at + len].eq_ignore_ascii_case(b"expect")
            && head[at + len] == b':'
        {
            head[at..at + len].copy_from_slice(EXPECT_REPLACEMENT);
        }
        at += line + 1;
    }
}

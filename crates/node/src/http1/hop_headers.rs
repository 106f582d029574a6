/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that describe
/// the framing, which is set anew.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the product's own headers between its processes, callers and back ends.
const BAY_PREFIX: &str = "bay-";

/// Whether a header is passed on in either direction; `listed` are those that the message's
/// `Connection` header names.
pub(crate) fn is_forwarded(name: &str, listed: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name)
        && !name.starts_with(BAY_PREFIX)
        && !listed.iter().any(|n| n == name)
}

/// The names in a value of a `Connection` header.
pub(crate) fn connection_options(value: &str) -> impl Iterator<Item = String> + '_ {
    value.split(',').map(|option| option.trim().to_ascii_lowercase())
}

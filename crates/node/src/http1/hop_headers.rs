/// Hop-by-hop headers (RFC 9110, section 7.6.1), and those that describe the framing, which each
/// hop sets itself.
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

/// Prefix of the headers that only the product's processes, callers and back ends use.
const BAY_PREFIX: &str = "bay-";

/// Returns whether a header is forwarded, in either direction. `connection_names` holds the names
/// from the message's `Connection` header. All names are in lower case.
pub(crate) fn is_forwarded(name: &str, connection_names: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name)
        && !name.starts_with(BAY_PREFIX)
        && !connection_names.iter().any(|n| n == name)
}

/// Parses the names in a value of a `Connection` header, in lower case.
pub(crate) fn connection_options(value: &str) -> impl Iterator<Item = String> + '_ {
    value.split(',').map(|option| option.trim().to_ascii_lowercase())
}

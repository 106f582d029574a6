use http_types::headers::{HeaderName, Headers};

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the gate
/// sets itself.
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

/// Prefix of the headers between gate, callers and targets.
const OWN_PREFIX: &str = "bay-";

/// Removes the headers that are not passed on in either direction.
pub(crate) fn remove_hop_headers<M>(message: &mut M)
where
    M: AsMut<Headers>,
{
    let headers = message.as_mut();
    let listed = listed_in_connection(headers);
    let stays_here = |name: &str| {
        name.starts_with(OWN_PREFIX)
            || HOP_BY_HOP.contains(&name)
            || listed.iter().any(|listed| listed == name)
    };
    let removed: Vec<HeaderName> =
        headers.names().filter(|name| stays_here(name.as_str())).cloned().collect();
    for name in removed {
        headers.remove(name);
    }
}

fn listed_in_connection(headers: &Headers) -> Vec<String> {
    let Some(values) = headers.get("connection") else {
        return Vec::new();
    };
    let options = values.iter().flat_map(|value| value.as_str().split(','));
    options.map(|option| option.trim().to_ascii_lowercase()).collect()
}

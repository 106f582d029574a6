use http_types::headers::{HeaderName, Headers};

use crate::http1::hop_headers::{connection_options, is_forwarded};

/// Removes the headers that are not forwarded in either direction.
pub(crate) fn remove_hop_headers<M>(message: &mut M)
where
    M: AsMut<Headers>,
{
    let headers = message.as_mut();
    let connection_names = connection_header_names(headers);
    let is_hop_header = |name: &&HeaderName| !is_forwarded(name.as_str(), &connection_names);
    let removed: Vec<HeaderName> = headers.names().filter(is_hop_header).cloned().collect();
    for name in removed {
        headers.remove(name);
    }
}

fn connection_header_names(headers: &Headers) -> Vec<String> {
    let Some(values) = headers.get("connection") else {
        return Vec::new();
    };
    values.iter().flat_map(|value| connection_options(value.as_str())).collect()
}

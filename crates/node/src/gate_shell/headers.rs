use http_types::headers::{HeaderName, Headers};

use crate::http1::hop_headers::{connection_options, is_forwarded};

/// Removes the headers that are not passed on in either direction.
pub(crate) fn remove_hop_headers<M>(message: &mut M)
where
    M: AsMut<Headers>,
{
    let headers = message.as_mut();
    let listed = listed_in_connection(headers);
    let stays_here = |name: &&HeaderName| !is_forwarded(name.as_str(), &listed);
    let removed: Vec<HeaderName> = headers.names().filter(stays_here).cloned().collect();
    for name in removed {
        headers.remove(name);
    }
}

fn listed_in_connection(headers: &Headers) -> Vec<String> {
    let Some(values) = headers.get("connection") else {
        return Vec::new();
    };
    values.iter().flat_map(|value| connection_options(value.as_str())).collect()
}

//! Which headers of a request or response are forwarded.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Whether a header concerns one connection only: by its name, or because `Connection` names it.
pub fn is_hop_by_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_BY_HOP.contains(&name.as_str()) {
        return true;
    }
    let names_it = |value: &HeaderValue| {
        value.to_str().is_ok_and(|value| {
            value
                .split(',')
                .any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()))
        })
    };
    headers.get_all(header::CONNECTION).iter().any(names_it)
}

//! Hop-by-hop headers.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Hop-by-hop headers in addition to those that `Connection` lists, and `Content-Length`, which
/// is set again with the body.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A hop-by-hop header without a constant in the `http` crate.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes hop-by-hop headers, which must not be forwarded.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}

/// Whether the sender closes the connection after this message.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let close = |v: &HeaderValue| {
        let text = v.to_str().unwrap_or_default();
        text.split(',')
            .any(|o| o.trim().eq_ignore_ascii_case("close"))
    };
    values.into_iter().any(close)
}

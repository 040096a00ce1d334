//! Headers that concern only one connection.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Such headers, beside those that `Connection` names. The length is set anew with the body.
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

/// An older header of this sort that the `http` crate has no constant for.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that concern only the connection they came on.
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
pub fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let close = |v: &HeaderValue| {
        let text = v.to_str().unwrap_or_default();
        text.split(',')
            .any(|o| o.trim().eq_ignore_ascii_case("close"))
    };
    values.into_iter().any(close)
}

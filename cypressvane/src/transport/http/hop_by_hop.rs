//! Headers that concern only one connection.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Removes the hop-by-hop headers.
///
/// Headers for which `is_kept` returns true stay even if `Connection` names them.
pub(crate) fn strip(headers: &mut HeaderMap, is_kept: impl Fn(&HeaderName) -> bool) {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_kept(name))
        .collect();
    let standard = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ];
    for name in named.iter().chain(&standard) {
        headers.remove(name);
    }
}

//! Filtering of headers, queries and paths between callers and backend servers.
//!
//! API keys never reach a backend server, and callers cannot set the headers that a host adds to requests. Likewise,
//! backend servers cannot set the headers that a host adds to responses.

use http::{HeaderMap, HeaderName, StatusCode, header};
use sapphireknot::keys::KeyDigest;

use super::refusals::FrontRefusal;
use crate::upstream::connections::REQUEST_ID;

/// Header with an API key, as an alternative to `Authorization`.
pub const API_KEY_HEADER: &str = "x-api-key";
/// Header with the idempotency key, under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Query parameter with an API key.
const KEY_PARAMETER: &[u8] = b"api_key";
/// Request header with the organisation of the caller.
pub const ORGANISATION: &str = "x-organisation";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Response header in which a backend server says whether it ran the request.
pub const REQUEST_RAN: &str = "x-request-ran";
/// Prefix of headers that only hosts may set.
const HOST_PREFIX: &str = "x-sapphireknot-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Legacy hop-by-hop headers, for which `http` has no constants.
const LEGACY_HOP_BY_HOP: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the digest of the idempotency key, if the request has one. Repeated and empty keys are refused.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<KeyDigest>, FrontRefusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.as_bytes().trim_ascii();
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES || values.next().is_some() {
        return Err(FrontRefusal::bad_request(StatusCode::BAD_REQUEST));
    }
    Ok(Some(KeyDigest::of(text)))
}

/// Removes the headers that must not be forwarded to a backend server.
pub fn sanitize_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    for name in [API_KEY_HEADER, ORGANISATION, REQUEST_ID, DEADLINE, REQUEST_RAN] {
        headers.remove(name);
    }
    // A page whose URL contains an API key leaks it in this header.
    let has_key = |it: &http::HeaderValue| {
        let text = percent_decode(&String::from_utf8_lossy(it.as_bytes())).to_ascii_lowercase();
        text.windows(KEY_PARAMETER.len()).any(|it| it == KEY_PARAMETER)
    };
    if headers.get_all(header::REFERER).iter().any(has_key) {
        headers.remove(header::REFERER);
    }
    remove_host_headers(headers);
}

/// Removes the headers that must not be returned to a caller.
pub fn sanitize_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(REQUEST_RAN);
    remove_host_headers(headers);
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in connection_options.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP {
        headers.remove(name);
    }
}

fn remove_host_headers(headers: &mut HeaderMap) {
    let is_host_header = |it: &&HeaderName| it.as_str().starts_with(HOST_PREFIX);
    let names: Vec<_> = headers.keys().filter(is_host_header).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Returns the query without API key parameters, even if the parameter name is percent-encoded.
pub fn sanitize_query(query: &str) -> String {
    // Some servers also accept semicolons as separators, so a key after a semicolon is removed too.
    let is_key = |it: &str| {
        let name = it.split('=').next().unwrap_or_default().replace('+', " ");
        percent_decode(&name).trim_ascii().eq_ignore_ascii_case(KEY_PARAMETER)
    };
    let parameters = query.split('&').filter_map(|group| {
        let kept: Vec<_> = group.split(';').filter(|it| !is_key(it)).collect();
        (!kept.is_empty()).then(|| kept.join(";"))
    });
    parameters.collect::<Vec<_>>().join("&")
}

/// Percent-decodes a path; returns `None` if backend servers could interpret it differently.
///
/// Dot segments, empty segments, and encoded separators and control characters are refused: a server that resolves them
/// could run another route than the one that was authorised.
pub fn decode_path(path: &str) -> Option<String> {
    let decoded = String::from_utf8(percent_decode(path)).ok()?;
    let is_ambiguous = decoded.matches('/').count() != path.matches('/').count()
        || decoded.contains(['\\', '%'])
        || decoded.chars().any(char::is_control)
        || decoded.contains("//")
        || decoded.split('/').any(|it| matches!(it, "." | ".."));
    (!is_ambiguous && decoded.starts_with('/')).then_some(decoded)
}

/// Decodes `%xx` sequences; other text is unchanged.
fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut idx = 0;
    while let Some(&byte) = bytes.get(idx) {
        let digits = bytes.get(idx + 1..idx + 3).filter(|_| byte == b'%');
        let mut value = [0];
        if digits.is_some_and(|it| hex::decode_to_slice(it, &mut value).is_ok()) {
            decoded.push(value[0]);
            idx += 3;
        } else {
            decoded.push(byte);
            idx += 1;
        }
    }
    decoded
}

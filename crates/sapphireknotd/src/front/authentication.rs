//! Authentication of requests by API key.
//!
//! Every check reads the current configuration. A request is checked when its head has arrived and again before every
//! attempt, because its key may be revoked while the body arrives or the request waits for a slot.

use std::time::Duration;

use http::{HeaderMap, header};
use sapphireknot::{
    ids::OrganisationId,
    keys::KeyDigest,
    refusal::{RefusalReason, RequestRefusal},
};

use super::headers::API_KEY_HEADER;
use crate::context::HostContext;

/// `Retry-After` of a host whose configuration is stale.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the digest of the API key in `headers`.
pub fn presented_key(headers: &HeaderMap) -> Result<KeyDigest, RequestRefusal> {
    let rejected = || RequestRefusal::not_run(RefusalReason::KeyRejected);
    let mut keys = Vec::new();
    for value in headers.get_all(header::AUTHORIZATION) {
        let (scheme, key) = split_scheme(value.as_bytes()).ok_or_else(rejected)?;
        if !scheme.eq_ignore_ascii_case(b"bearer") {
            return Err(rejected());
        }
        keys.push(key);
    }
    keys.extend(headers.get_all(API_KEY_HEADER).iter().map(|it| it.as_bytes().trim_ascii()));
    match keys.as_slice() {
        [] => Err(RequestRefusal::not_run(RefusalReason::KeyMissing)),
        [key] => Ok(KeyDigest::of(key)),
        // Two keys leave it ambiguous which organisation the request belongs to.
        _ => Err(rejected()),
    }
}

fn split_scheme(value: &[u8]) -> Option<(&[u8], &[u8])> {
    let space = value.iter().position(|it| *it == b' ')?;
    Some((&value[..space], value[space..].trim_ascii()))
}

/// Returns the organisation that owns the key `digest` in the current configuration.
pub fn key_owner(
    context: &HostContext,
    digest: &KeyDigest,
) -> Result<OrganisationId, RequestRefusal> {
    let config = context.config.load();
    let config = config.as_ref().ok_or_else(|| RequestRefusal::not_run(RefusalReason::NotReady))?;
    let now = context.clock.now();
    if now >= context.fresh_until.get() {
        let refusal = RequestRefusal::not_run(RefusalReason::Stale);
        return Err(refusal.retry_at(now.after(STALE_RETRY_AFTER)));
    }
    let owner = config.keys.owner(digest);
    let owner = owner.ok_or_else(|| RequestRefusal::not_run(RefusalReason::KeyRejected))?;
    Ok(owner.organisation.clone())
}

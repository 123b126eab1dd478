//! Handler of `GET /v1/lookup`, which returns the nearest hosts for a client.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use ipnet::IpNet;
use sapphireknot::{
    drain::DrainStage,
    ids::OrganisationId,
    lookup::LookupQuery,
    refusal::{RefusalReason, RequestRefusal},
};
use serde_json::json;

use super::refusals::FrontRefusal;
use crate::context::HostContext;

/// Path of look-ups. It shadows a service with the prefix `v1` and the route `/lookup`, because it is matched first.
pub const LOOKUP_PATH: &str = "/v1/lookup";
/// Maximum number of hosts in a response; enough to survive several host failures within a cache lifetime.
const MAX_HOSTS: usize = 8;
/// Prefix lengths (IPv4, IPv6) of the client block when the configuration has none.
const DEFAULT_PREFIX_LENGTHS: (u8, u8) = (24, 48);
/// `Retry-After` of a look-up that found no host.
const EMPTY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a look-up with the parameters in `query`; without the parameter `client`, `peer` is the client.
pub fn answer(
    context: &HostContext,
    query: &str,
    peer: IpAddr,
) -> Result<Response<Bytes>, FrontRefusal> {
    let bad_request = || FrontRefusal::bad_request(StatusCode::BAD_REQUEST);
    let mut client = peer;
    let mut organisation: Option<OrganisationId> = None;
    for (name, value) in url::form_urlencoded::parse(query.as_bytes()) {
        match name.as_ref() {
            "client" => client = value.parse().map_err(|_| bad_request())?,
            "organisation" => organisation = Some(value.parse().map_err(|_| bad_request())?),
            _ => {}
        }
    }
    let config = context.config.load();
    let config = config.as_ref().ok_or_else(|| FrontRefusal::not_run(RefusalReason::NotReady))?;
    let client = client.to_canonical();
    let found = config.blocks.find(client);
    let (block, region) = found.unwrap_or((default_block(client), &context.identity.region));
    let lookup = LookupQuery { organisation: organisation.as_ref(), block, region };
    let is_serving = *context.drain.borrow() == DrainStage::Serving;
    let directory = context.directory.load();
    let hosts: Vec<_> = directory
        .nearest(&lookup, &config.distances, MAX_HOSTS, is_serving)
        .into_iter()
        .map(|it| json!({ "host": it.id, "region": it.region, "address": it.address }))
        .collect();
    if hosts.is_empty() {
        let refusal = RequestRefusal::not_run(RefusalReason::NotReady);
        return Err(refusal.retry_at(context.clock.now().after(EMPTY_RETRY_AFTER)).into());
    }
    let body = json!({ "hosts": hosts, "generation": config.generation });
    let mut response = Response::new(Bytes::from(body.to_string()));
    // Rounded down to whole seconds: a draining host keeps serving for the configured lifetime only.
    let max_age = format!("max-age={}", context.settings.timing.cache_lifetime.0.as_secs());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(max_age) = HeaderValue::from_str(&max_age) {
        headers.insert(header::CACHE_CONTROL, max_age);
    }
    Ok(response)
}

fn default_block(client: IpAddr) -> IpNet {
    let length = if client.is_ipv4() { DEFAULT_PREFIX_LENGTHS.0 } else { DEFAULT_PREFIX_LENGTHS.1 };
    IpNet::new(client, length).map_or_else(|_| client.into(), |it| it.trunc())
}

//! Answers to `GET /v1/lookup`.

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

/// Path of look-ups; no service can have it, as `v1` with a route `/lookup` is found here first.
pub const LOOKUP_PATH: &str = "/v1/lookup";
/// Hosts in an answer; enough to survive several failures within a cache lifetime.
const MAX_HOSTS: usize = 8;
/// Prefix lengths that stand for a block where the configuration has none.
const DEFAULT_BLOCK: (u8, u8) = (24, 48);
/// Time after which a look-up without any host may be repeated.
const EMPTY_RETRY: Duration = Duration::from_secs(1);

/// Answers a look-up with the parameters in `query`; a client without `client` is the one at `peer`.
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
        return Err(refusal.retry_at(context.clock.now().after(EMPTY_RETRY)).into());
    }
    let body = json!({ "hosts": hosts, "generation": config.generation });
    let mut response = Response::new(Bytes::from(body.to_string()));
    // Whole seconds, rounded down: a host that leaves serves on for the lifetime of its settings.
    let max_age = format!("max-age={}", context.settings.timing.cache_lifetime.0.as_secs());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(max_age) = HeaderValue::from_str(&max_age) {
        headers.insert(header::CACHE_CONTROL, max_age);
    }
    Ok(response)
}

fn default_block(client: IpAddr) -> IpNet {
    let length = if client.is_ipv4() { DEFAULT_BLOCK.0 } else { DEFAULT_BLOCK.1 };
    IpNet::new(client, length).map_or_else(|_| client.into(), |it| it.trunc())
}

//! Load probes of backend servers.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Request;
use http_body_util::Full;
use sapphireknot::ids::ServerId;
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{connections::ConnectionPool, pool::RegionalPool};
use crate::context::{DrainStage, HostContext};

/// Interval of probes; leaving servers must stop getting requests within a few seconds.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a probe must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Probes at the same time, so that a large fleet does not open all connections at once.
const PROBES_AT_ONCE: usize = 64;
/// Bytes of an answer.
const MAX_REPORT_BYTES: usize = 4 << 10;

/// What a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether it is to get no new requests.
    pub leaving: bool,
}

/// Probes all backend servers of the configuration until the host ends.
pub async fn run(
    context: Arc<HostContext>,
    servers: Arc<RegionalPool>,
    requests: Arc<ConnectionPool>,
) {
    let pool = ConnectionPool::new(PROBES_AT_ONCE * MAX_REPORT_BYTES);
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while *context.drain.borrow() != DrainStage::Ended {
        ticks.tick().await;
        let targets = targets(&context);
        let addresses: HashSet<_> = targets.iter().map(|(_, address)| *address).collect();
        pool.retain(&addresses);
        requests.retain(&addresses);
        servers.retain(&targets);
        let probes = targets.into_iter().map(|(id, address)| {
            let (pool, servers) = (&pool, &servers);
            async move {
                let sent = servers.in_flight(&id);
                let answer = timeout(PROBE_TIMEOUT, probe(pool, address)).await.ok().flatten();
                if let Some(report) = answer {
                    servers.take_report(&id, report, sent);
                }
            }
        });
        stream::iter(probes).buffer_unordered(PROBES_AT_ONCE).collect::<()>().await;
    }
}

fn targets(context: &HostContext) -> Vec<(ServerId, SocketAddr)> {
    let config = context.config.load();
    let Some(config) = config.as_ref() else { return Vec::new() };
    let servers = config.document.services.iter().flat_map(|it| &it.servers);
    servers.map(|it| (it.id.clone(), it.address)).collect()
}

async fn probe(pool: &ConnectionPool, address: SocketAddr) -> Option<LoadReport> {
    let request = Request::get("/load")
        .header(http::header::HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = pool.exchange(address, request, MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

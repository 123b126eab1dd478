//! Client for load probes, with a connection pool of its own, separate from that of requests.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use sapphireknot::{ids::ServerId, picker::LoadReport};
use serde::Deserialize;
use tokio::{task::JoinHandle, time::timeout};

use super::{
    connections::{ConnectionPool, UsedConnections},
    service::ServiceState,
};
use crate::clock::HostClock;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of concurrent fresh probes per server; more would use up the connections that the server accepts.
const MAX_PROBES_PER_SERVER: u32 = 2;
/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 4 << 10;
/// Memory limit for all load reports being received.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Load report of a backend server.
#[derive(Debug, Deserialize)]
struct ReportBody {
    in_flight: u32,
    connections: u32,
    leaving: bool,
}

/// Client for load probes.
#[derive(Debug)]
pub(super) struct LoadProber {
    connections: ConnectionPool,
    /// Number of fresh probes in flight, by server address.
    pending: Mutex<HashMap<SocketAddr, u32>>,
}

impl Default for LoadProber {
    fn default() -> Self {
        Self { connections: ConnectionPool::new(MAX_BUFFERED_BYTES), pending: Mutex::default() }
    }
}

impl LoadProber {
    /// Starts a fresh probe, unless too many probes of this server are in flight.
    pub(super) fn start(
        self: &Arc<Self>,
        clock: HostClock,
        state: &Arc<ServiceState>,
        server: ServerId,
        address: SocketAddr,
    ) -> Option<JoinHandle<()>> {
        let mut pending = self.pending.lock();
        let count = pending.entry(address).or_default();
        if *count >= MAX_PROBES_PER_SERVER {
            return None;
        }
        *count += 1;
        drop(pending);
        let (prober, state) = (self.clone(), state.clone());
        Some(tokio::spawn(async move {
            prober.probe(clock, &state, &server, address).await;
            let mut pending = prober.pending.lock();
            if let Some(count) = pending.get_mut(&address) {
                *count -= 1;
                if *count == 0 {
                    pending.remove(&address);
                }
            }
        }))
    }

    /// Requests the load of one server and records the report.
    pub(super) async fn probe(
        &self,
        clock: HostClock,
        state: &ServiceState,
        server: &ServerId,
        address: SocketAddr,
    ) {
        let asked_at = clock.now();
        let report_body = timeout(PROBE_TIMEOUT, self.exchange(address)).await.ok().flatten();
        if let Some(body) = report_body {
            let ReportBody { in_flight, connections, leaving: is_leaving } = body;
            let report = LoadReport { probed_at: asked_at, in_flight, connections, is_leaving };
            state.record_report(server, report);
        }
    }

    /// Closes idle connections to servers that are not in `addresses`.
    pub(super) fn retain(&self, addresses: &HashSet<SocketAddr>) {
        self.connections.retain(addresses);
    }

    async fn exchange(&self, address: SocketAddr) -> Option<ReportBody> {
        let request = Request::get("/load")
            .header(http::header::HOST, address.to_string())
            .body(Full::<Bytes>::default())
            .ok()?;
        let used = UsedConnections::default();
        let exchange = self.connections.exchange(address, request, MAX_REPORT_BYTES, &used);
        let response = exchange.await.ok()?;
        serde_json::from_slice(response.body()).ok()
    }
}

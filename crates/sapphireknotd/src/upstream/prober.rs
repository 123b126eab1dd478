//! Sender of load probes, over connections that are kept open apart from those of requests.

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

use super::{connections::ConnectionPool, service::ServiceState};
use crate::clock::HostClock;

/// Time in which a probe must be answered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Fresh probes of one server at the same time; more would use up the connections that the server accepts.
const PROBES_PER_SERVER: u32 = 2;
/// Bytes of an answer.
const MAX_REPORT_BYTES: usize = 4 << 10;
/// Bytes of all answers at the same time.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// What a backend server reports of itself.
#[derive(Debug, Deserialize)]
struct ReportBody {
    in_flight: u32,
    connections: u32,
    leaving: bool,
}

/// Sender of probes.
#[derive(Debug)]
pub(super) struct LoadProber {
    connections: ConnectionPool,
    /// Fresh probes that wait for their answer.
    pending: Mutex<HashMap<SocketAddr, u32>>,
}

impl Default for LoadProber {
    fn default() -> Self {
        Self { connections: ConnectionPool::new(MAX_BUFFERED_BYTES), pending: Mutex::default() }
    }
}

impl LoadProber {
    /// Starts a fresh probe, unless too many of this server wait for their answer.
    pub(super) fn start(
        self: &Arc<Self>,
        clock: HostClock,
        state: &Arc<ServiceState>,
        server: ServerId,
        address: SocketAddr,
    ) -> Option<JoinHandle<()>> {
        let mut pending = self.pending.lock();
        let count = pending.entry(address).or_default();
        if *count >= PROBES_PER_SERVER {
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

    /// Asks one server for its load and records the answer.
    pub(super) async fn probe(
        &self,
        clock: HostClock,
        state: &ServiceState,
        server: &ServerId,
        address: SocketAddr,
    ) {
        let asked_at = clock.now();
        let answer = timeout(PROBE_TIMEOUT, self.exchange(address)).await.ok().flatten();
        if let Some(body) = answer {
            let ReportBody { in_flight, connections, leaving: is_leaving } = body;
            let report = LoadReport { probed_at: asked_at, in_flight, connections, is_leaving };
            state.record_report(server, report);
        }
    }

    /// Keeps only connections to `addresses`.
    pub(super) fn retain(&self, addresses: &HashSet<SocketAddr>) {
        self.connections.retain(addresses);
    }

    async fn exchange(&self, address: SocketAddr) -> Option<ReportBody> {
        let request = Request::get("/load")
            .header(http::header::HOST, address.to_string())
            .body(Full::<Bytes>::default())
            .ok()?;
        let response = self.connections.exchange(address, request, MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice(response.body()).ok()
    }
}

//! Detects cold servers by probing them during a store outage.
//!
//! Two hosts of its region probe each server at an interval. A cold server must be detected well within a second,
//! because the usual requests of one second are more than it tolerates. New results are batched briefly and then sent
//! to all other hosts at once, since the servers of a data centre often turn cold together. No probes are sent while
//! the store answers.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use parking_lot::Mutex;
use sapphireknot::{
    ids::ServerId,
    steering::{cold::ColdReport, core::cold_exchange::ProbeTarget, server_state::server_hash},
};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{cold_broadcast::ColdBroadcaster, state::EntryState};
use crate::upstream::{
    connections::{ConnectionPool, UsedConnections},
    pool_limits::PoolLimits,
};

/// Interval at which this host probes each of its servers. Two hosts probe a server, and a cold one gets 45 requests a
/// second for up to 0.4 s before it exceeds its tolerance of 1.5 times 15 and five in a second.
const INTERVAL: Duration = Duration::from_millis(250);
/// Minimum pause between two probes, which bounds the cost of hundreds of servers to a host.
const MIN_PAUSE: Duration = Duration::from_micros(2_500);
/// Timeout of a probe, which queues for a slot like any request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which new results are batched before they are sent to other hosts.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the queue of results to send to other hosts.
const MAX_QUEUED_REPORTS: usize = 256;
/// Maximum size of a response body.
const MAX_PROBE_BODY_BYTES: usize = 4 << 10;
/// Maximum size of all response bodies in memory.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Limits of the connections for probes; a server gets one probe at a time.
const POOL_LIMITS: PoolLimits = PoolLimits {
    max_idle: 1,
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(4),
    tcp_user_timeout: Some(Duration::from_millis(1_200)),
    receive: None,
};

/// State that all probes share.
struct Prober {
    state: Arc<EntryState>,
    connections: ConnectionPool,
    /// Servers with a probe in flight.
    in_flight: Mutex<HashSet<ServerId>>,
    sender: mpsc::Sender<ColdReport>,
}

/// Probes servers until the process ends.
pub async fn run(state: Arc<EntryState>, broadcaster: Arc<ColdBroadcaster>) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
    let connections = ConnectionPool::with_limits(MAX_BUFFERED_BYTES, POOL_LIMITS);
    let sending = send_batches(broadcaster, receiver);
    let prober = Arc::new(Prober { state, connections, in_flight: Mutex::default(), sender });
    tokio::join!(sending, prober.probe_all());
}

/// Sends the results to other hosts in batches.
async fn send_batches(broadcaster: Arc<ColdBroadcaster>, mut receiver: mpsc::Receiver<ColdReport>) {
    while let Some(first) = receiver.recv().await {
        sleep(BATCH_INTERVAL).await;
        let mut reports = vec![first];
        while let Ok(next) = receiver.try_recv() {
            reports.push(next);
        }
        broadcaster.send_to_all(reports);
    }
}

impl Prober {
    async fn probe_all(self: Arc<Self>) {
        // Spreads the probes of hosts that detect the outage at the same time.
        sleep(INTERVAL.mul_f64(rand::random())).await;
        loop {
            let round_end = Instant::now() + INTERVAL;
            let targets = self.state.core.lock().probe_targets(self.state.clock.now());
            let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
            let pause = INTERVAL.checked_div(count).unwrap_or(INTERVAL).max(MIN_PAUSE);
            for target in targets {
                if self.in_flight.lock().insert(target.server.clone()) {
                    tokio::spawn(self.clone().probe(target));
                }
                sleep(pause).await;
            }
            sleep(round_end.saturating_duration_since(Instant::now())).await;
        }
    }

    async fn probe(self: Arc<Self>, target: ProbeTarget) {
        let result = timeout(PROBE_TIMEOUT, self.exchange(&target)).await;
        self.in_flight.lock().remove(&target.server);
        let (name, report) = match result {
            Ok(Ok(None)) => ("warm", None),
            Ok(Ok(Some(report))) => ("cold", Some(report)),
            Ok(Err(cause)) => {
                log::debug!(server:% = target.server, cause; "ask whether a server is cold");
                ("failed", None)
            }
            Err(_) => ("unanswered", None),
        };
        self.state.meters.count_cold_probe(name);
        let Some(report) = report else { return };
        let now = self.state.clock.now();
        let new_reports = self.state.core.lock().apply_cold_reports(&[report], now);
        for report in new_reports {
            let left_ms = now.until(report.cold_until).as_millis() as u64;
            log::info!(server:% = target.server, left_ms; "server reported that it is cold");
            if self.sender.try_send(report).is_err() {
                log::warn!(server:% = target.server; "queue of cold server reports is full, other hosts are not informed");
            }
        }
    }

    /// Sends one probe; `None` if the server is warm.
    async fn exchange(&self, target: &ProbeTarget) -> Result<Option<ColdReport>, String> {
        let request = Request::get(&target.path).header(header::HOST, target.address.to_string());
        let request = request.body(Full::<Bytes>::default()).map_err(|err| err.to_string())?;
        let check = |_: &http::response::Parts| Ok(());
        let used = UsedConnections::default();
        let exchange = self.connections.exchange_checked(
            target.address,
            request,
            MAX_PROBE_BODY_BYTES,
            &used,
            check,
        );
        let response = exchange.await.map_err(|err| err.to_string())?;
        let health = self.state.platform.dialect.parse_health(response.headers());
        if health.server.as_ref() != Some(&target.server) {
            return Err("response comes from another server".to_owned());
        }
        if health.is_leaving && self.state.record_leaving(&target.server, target.started) {
            log::info!(server:% = target.server; "server announced its shutdown");
        }
        let left = health.warmup_left.filter(|it| !it.is_zero());
        let cold_until = left.map(|it| self.state.clock.now().after(it));
        let server = server_hash(&target.server);
        Ok(cold_until.map(|cold_until| ColdReport { server, cold_until }))
    }
}

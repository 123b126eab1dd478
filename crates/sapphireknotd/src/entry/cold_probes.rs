//! Asks servers whether they are cold while the store is away.
//!
//! Each server is asked at an interval by two hosts of its region. It must be noticed well within a second, as the usual
//! requests of a second are more than a cold server tolerates. What is new is gathered for a moment and told to the other
//! hosts at once, since servers of a data centre often turn cold together. Nothing is asked while the store answers.

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

use super::{cold_peers::ColdPeers, state::EntryState};
use crate::upstream::{connections::ConnectionPool, pool_limits::PoolLimits};

/// Interval at which this host asks each of its servers. Two hosts ask a server, and a cold one gets 45 requests a second
/// for up to 0.4 s before it has more than 1.5 times 15 and five in a second.
const INTERVAL: Duration = Duration::from_millis(250);
/// Shortest pause between two questions, which bounds what hundreds of servers cost a host.
const MIN_PAUSE: Duration = Duration::from_micros(2_500);
/// Time in which a server answers; the question waits for a slot like any request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which findings are gathered before other hosts are told.
const GATHER: Duration = Duration::from_millis(20);
/// Findings that wait to be told.
const MAX_FINDINGS: usize = 256;
/// Bytes of an answer's body.
const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Bytes of bodies of all answers that are read at the same time.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Limits of the connections for questions; one question at a time goes to a server.
const POOL_LIMITS: PoolLimits = PoolLimits {
    max_idle: 1,
    connect_timeout: Duration::from_millis(250),
    idle_timeout: Duration::from_secs(4),
    unacknowledged: Some(Duration::from_millis(1_200)),
    receive: None,
};

/// What the questions share.
struct Prober {
    state: Arc<EntryState>,
    connections: ConnectionPool,
    /// Servers that were asked and have not answered.
    asked: Mutex<HashSet<ServerId>>,
    findings: mpsc::Sender<ColdReport>,
}

/// Asks servers until the process ends.
pub async fn run(state: Arc<EntryState>, peers: Arc<ColdPeers>) {
    let (findings, received) = mpsc::channel(MAX_FINDINGS);
    let connections = ConnectionPool::with_limits(MAX_BUFFERED_BYTES, POOL_LIMITS);
    let telling = tell(peers, received);
    let prober = Arc::new(Prober { state, connections, asked: Mutex::default(), findings });
    tokio::join!(telling, prober.ask_all());
}

/// Tells other hosts of findings, those of a moment together.
async fn tell(peers: Arc<ColdPeers>, mut findings: mpsc::Receiver<ColdReport>) {
    while let Some(first) = findings.recv().await {
        sleep(GATHER).await;
        let mut reports = vec![first];
        while let Ok(next) = findings.try_recv() {
            reports.push(next);
        }
        peers.tell_all(reports);
    }
}

impl Prober {
    async fn ask_all(self: Arc<Self>) {
        // Hosts that notice the loss of the store together do not ask together.
        sleep(INTERVAL.mul_f64(rand::random())).await;
        loop {
            let round_end = Instant::now() + INTERVAL;
            let targets = self.state.core.lock().probe_targets(self.state.clock.now());
            let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
            let pause = INTERVAL.checked_div(count).unwrap_or(INTERVAL).max(MIN_PAUSE);
            for target in targets {
                if self.asked.lock().insert(target.server.clone()) {
                    tokio::spawn(self.clone().ask(target));
                }
                sleep(pause).await;
            }
            sleep(round_end.saturating_duration_since(Instant::now())).await;
        }
    }

    async fn ask(self: Arc<Self>, target: ProbeTarget) {
        let result = timeout(ANSWER_TIMEOUT, self.exchange(&target)).await;
        self.asked.lock().remove(&target.server);
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
        let news = self.state.core.lock().take_cold(&[report], now);
        for report in news {
            let left_ms = now.until(report.cold_until).as_millis() as u64;
            log::info!(server:% = target.server, left_ms; "server is cold, as it tells");
            if self.findings.try_send(report).is_err() {
                log::warn!(server:% = target.server; "too many cold servers to tell other hosts");
            }
        }
    }

    /// What the server tells; `None` if it is warm.
    async fn exchange(&self, target: &ProbeTarget) -> Result<Option<ColdReport>, String> {
        let request = Request::get(&target.path).header(header::HOST, target.address.to_string());
        let request = request.body(Full::<Bytes>::default()).map_err(|err| err.to_string())?;
        let check = |_: &http::response::Parts| Ok(());
        let exchange =
            self.connections.exchange_checked(target.address, request, MAX_ANSWER_BYTES, check);
        let response = exchange.await.map_err(|err| err.to_string())?;
        let health = self.state.platform.dialect.parse_health(response.headers());
        if health.server.as_ref() != Some(&target.server) {
            return Err("another server has the address".to_owned());
        }
        if health.is_leaving && self.state.record_leaving(&target.server, target.started) {
            log::info!(server:% = target.server; "server leaves, as it tells");
        }
        let left = health.warmup_left.filter(|it| !it.is_zero());
        let cold_until = left.map(|it| self.state.clock.now().after(it));
        let server = server_hash(&target.server);
        Ok(cold_until.map(|cold_until| ColdReport { server, cold_until }))
    }
}

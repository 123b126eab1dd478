//! Asks servers whether they are cold while the store is away.
//!
//! Each server is asked at an interval by two hosts of its region. It must be noticed well within a second, as the usual
//! requests of a second are more than a cold server tolerates. What is new is gathered for a moment and told to the other
//! hosts at once, since servers of a data centre often turn cold together. Nothing is asked while the store answers.
//!
//! A question waits for a slot like any request. A full server that turns cold frees none for the time of its now slower
//! requests and would tell too late. One that leaves a question open for far longer than the last one is therefore taken
//! for cold for a moment, unless it has not answered since it was last suspected, as a server does that is down.

use std::{
    collections::HashMap,
    convert::Infallible,
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
/// Time in which a server answers; a cold one may first work off three queued requests a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Usual time to the answer, as a factor, after which a server is suspected to be cold.
const SUSPICIOUS_FACTOR: f64 = 2.0;
/// Least and most time after which it is suspected. The least is the work of a few requests; the most leaves it room for the
/// requests of 0.4 s.
const SUSPICIOUS_WAIT: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(300));
/// Time for which a suspected server counts as cold.
const SUSPICION: Duration = Duration::from_millis(500);
/// Interval at which the suspicion of a server that still does not answer is renewed.
const SUSPICION_RENEWAL: Duration = Duration::from_millis(400);
/// Weight of a new time to the answer.
const WAIT_WEIGHT: f64 = 0.3;
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

/// Answers of one server.
#[derive(Debug, Clone, Copy, Default)]
struct ServerWait {
    /// Whether a question is open.
    is_open: bool,
    /// Usual time to the answer; `None` if the server did not answer since it was suspected.
    usual: Option<Duration>,
}

impl ServerWait {
    /// Counts an answer after `wait`.
    fn record(&mut self, wait: Duration) {
        let usual = self.usual.unwrap_or(wait);
        self.usual = Some(usual.mul_f64(1.0 - WAIT_WEIGHT) + wait.mul_f64(WAIT_WEIGHT));
    }
}

/// What the questions share.
struct Prober {
    state: Arc<EntryState>,
    connections: ConnectionPool,
    /// Servers that were asked.
    waits: Mutex<HashMap<ServerId, ServerWait>>,
    findings: mpsc::Sender<ColdReport>,
}

/// Asks servers until the process ends.
pub async fn run(state: Arc<EntryState>, peers: Arc<ColdPeers>) {
    let (findings, received) = mpsc::channel(MAX_FINDINGS);
    let connections = ConnectionPool::with_limits(MAX_BUFFERED_BYTES, POOL_LIMITS);
    let telling = tell(peers, received);
    let prober = Arc::new(Prober { state, connections, waits: Mutex::default(), findings });
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
            if targets.is_empty() {
                // What servers answered in one outage says nothing of the next one.
                self.waits.lock().retain(|_, it| it.is_open);
            }
            for target in targets {
                if self.open(&target.server) {
                    tokio::spawn(self.clone().ask(target));
                }
                sleep(pause).await;
            }
            sleep(round_end.saturating_duration_since(Instant::now())).await;
        }
    }

    /// Opens a question to `server` unless one is open.
    fn open(&self, server: &ServerId) -> bool {
        let mut waits = self.waits.lock();
        let wait = waits.entry(server.clone()).or_default();
        !std::mem::replace(&mut wait.is_open, true)
    }

    async fn ask(self: Arc<Self>, target: ProbeTarget) {
        let asked_at = Instant::now();
        let result = tokio::select! {
            result = timeout(ANSWER_TIMEOUT, self.exchange(&target)) => result,
            never = self.suspect(&target) => match never {},
        };
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
        if let Some(wait) = self.waits.lock().get_mut(&target.server) {
            wait.is_open = false;
            match name {
                "warm" | "cold" => wait.record(asked_at.elapsed()),
                _ => wait.usual = None,
            }
        }
        if let Some(report) = report {
            self.report(&target, report, "server is cold, as it tells");
        }
    }

    /// Takes a server for cold while it leaves a question open for too long.
    async fn suspect(&self, target: &ProbeTarget) -> Infallible {
        let usual = self.waits.lock().get(&target.server).and_then(|it| it.usual);
        let Some(usual) = usual else { return std::future::pending().await };
        let (least, most) = SUSPICIOUS_WAIT;
        sleep(usual.mul_f64(SUSPICIOUS_FACTOR).clamp(least, most)).await;
        loop {
            let cold_until = self.state.clock.now().after(SUSPICION);
            let report = ColdReport { server: server_hash(&target.server), cold_until };
            self.report(target, report, "server may be cold, as it does not answer");
            sleep(SUSPICION_RENEWAL).await;
        }
    }

    /// Takes a report and tells other hosts what is new.
    fn report(&self, target: &ProbeTarget, report: ColdReport, message: &str) {
        let now = self.state.clock.now();
        let news = self.state.core.lock().take_cold(&[report], now);
        for report in news {
            let left_ms = now.until(report.cold_until).as_millis() as u64;
            log::info!(server:% = target.server, left_ms; "{message}");
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
        let health = self.state.platform.dialect.read_health(response.headers());
        if health.server.as_ref() != Some(&target.server) {
            return Err("another server has the address".to_owned());
        }
        let left = health.warmup_left.filter(|it| !it.is_zero());
        let cold_until = left.map(|it| self.state.clock.now().after(it));
        let server = server_hash(&target.server);
        Ok(cold_until.map(|cold_until| ColdReport { server, cold_until }))
    }
}

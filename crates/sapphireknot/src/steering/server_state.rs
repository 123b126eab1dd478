//! State of one backend server as this host sees it.
//!
//! Load reports arrive with responses and are old for servers that this host rarely uses; requests sent since then are
//! added. Outcomes of this host's own requests lower the preference for a server that fails, slows down or falls
//! silent. In addition, hosts share a failure rate of the responses of a server: each host updates the latest rate that
//! it knows with its own responses, and replaces it by a later one of another host.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    evidence::OutcomeQuality,
    fleet::{FleetServer, ServerRecord},
    server_losses::LOSS_INTERVAL,
    shares::PacedGate,
};
use crate::{
    ids::{RegionId, ServerId},
    picker::ServerOutcome,
    time::MonoTime,
};

/// Time constant of load reports: after it a report has a weight of 1/e, about a third.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(800);
/// Time constant of past failures: after it they have a weight of 1/e, about a third.
const FAILURE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Weight of a new outcome.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Initial pause after a failure to connect; doubled with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause, so that a server that returns is used again soon.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Silence beyond the expected time after which a server is considered unreachable.
pub(super) const SILENCE: Duration = Duration::from_millis(300);
/// Time for which a server counts as unreachable after another host could not reach it; hosts exchange reports more
/// often.
const UNREACHABLE_REPORT_TTL: Duration = Duration::from_secs(1);
/// Failure rate from which a failure is recent; a failure adds 0.2, of which a third is left after the time constant.
const MIN_RECENT_FAILURE_RATE: f64 = 0.06;
/// Upper bound of the assumed failure rate, so that failing servers remain comparable.
const MAX_FAILURE_RATE: f64 = 0.95;

/// Hash that ranks servers and identifies them between hosts.
pub fn server_hash(id: &ServerId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Decaying average of failures, with the time of the last response that it covers.
#[derive(Debug, Clone, Copy, Default)]
struct FailureAverage {
    rate: f64,
    at: MonoTime,
}

impl FailureAverage {
    fn record(&mut self, is_failure: bool, now: MonoTime) {
        let decayed = self.rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        *self = Self { rate: decayed + (sample - decayed) * OUTCOME_WEIGHT, at: now };
    }

    fn rate(&self, now: MonoTime) -> f64 {
        self.rate * decay(now.since(self.at), FAILURE_TIME_CONSTANT)
    }
}

/// Load that a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

impl ServerLoad {
    /// Running and waiting requests.
    pub fn total(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// State of one backend server as this host sees it.
#[derive(Debug)]
pub struct ServerState {
    /// Registration; shared with requests in flight.
    pub record: Arc<ServerRecord>,
    /// Region.
    pub region: RegionId,
    /// End of its cold period.
    pub cold_until: MonoTime,
    pub(super) gate: PacedGate,
    pub(super) hash: u64,
    in_flight: u32,
    sent_since: u32,
    sent_at: MonoTime,
    load: f64,
    load_at: MonoTime,
    /// Failures of this host's own requests, with and without a response.
    failures: FailureAverage,
    /// Failures among the responses to this host.
    responses: FailureAverage,
    /// Known failures among the responses to all hosts.
    shared: FailureAverage,
    slowness: f64,
    paused_until: MonoTime,
    /// End of the backoff that it asked for.
    pub(super) backoff_until: MonoTime,
    /// Failures to connect since the last response.
    connect_failures: u32,
    /// Time from which an attempt without a response is a separate outcome again.
    next_loss_at: MonoTime,
    /// When another host last failed to reach it.
    reported_unreachable_at: Option<MonoTime>,
    /// Time of the last sign of the server, or of sending the oldest request after that.
    silent_since: MonoTime,
}

impl ServerState {
    /// Creates the state of a server of which only the registration is known.
    pub fn new(server: &FleetServer, region: RegionId) -> Self {
        Self {
            hash: server_hash(&server.record.id),
            record: Arc::new(server.record.clone()),
            region,
            cold_until: server.cold_until,
            gate: PacedGate::default(),
            in_flight: 0,
            sent_since: 0,
            sent_at: MonoTime::default(),
            load: 0.0,
            load_at: MonoTime::default(),
            failures: FailureAverage::default(),
            responses: FailureAverage::default(),
            shared: FailureAverage::default(),
            slowness: 1.0,
            paused_until: MonoTime::default(),
            backoff_until: server.backoff_until,
            connect_failures: 0,
            next_loss_at: MonoTime::default(),
            reported_unreachable_at: None,
            silent_since: MonoTime::default(),
        }
    }

    /// Applies a newer registration; a restart of the server resets the state.
    pub fn update(&mut self, server: &FleetServer, region: RegionId) {
        if self.record.started != server.record.started {
            *self = Self { in_flight: self.in_flight, ..Self::new(server, region) };
            return;
        }
        if *self.record != server.record {
            self.record = Arc::new(server.record.clone());
        }
        self.cold_until = server.cold_until;
        self.backoff_until = server.backoff_until;
    }

    /// Records a request that is being sent.
    pub fn record_sent(&mut self, now: MonoTime) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.sent_since += 1;
        self.sent_at = now;
    }

    /// Records a load report that some host received at `at`, unless a later one is known.
    pub fn record_load(&mut self, load: ServerLoad, at: MonoTime) {
        if at < self.load_at {
            return;
        }
        self.load = load.total();
        self.load_at = at;
        self.reported_unreachable_at = self.reported_unreachable_at.filter(|it| *it > at);
        // Requests of this host that the report does not cover still count.
        if self.sent_at <= at {
            self.sent_since = 0;
        }
    }

    /// Records the failure rate of responses that some host knew at `at`, unless a later one is known.
    pub fn record_failure_rate(&mut self, rate: f64, at: MonoTime) {
        if at > self.shared.at {
            self.shared = FailureAverage { rate: rate.clamp(0.0, 1.0), at };
        }
    }

    /// Records that another host could not reach the server at `at`, unless a later load report is known.
    pub fn record_unreachable(&mut self, at: MonoTime) {
        if at > self.load_at {
            self.reported_unreachable_at = Some(at);
        }
    }

    /// Records the end of a request; `slowness` is its duration divided by the expected one.
    pub fn record_end(&mut self, outcome: ServerOutcome, slowness: Option<f64>, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_failure = outcome != ServerOutcome::Succeeded;
        self.failures.record(is_failure, now);
        // Only a response shows that the link works, and a shed request says nothing about other requests.
        if matches!(outcome, ServerOutcome::Succeeded | ServerOutcome::Failed) {
            self.responses.record(is_failure, now);
            self.shared.record(is_failure, now);
        }
        if let Some(slowness) = slowness {
            self.slowness += (slowness.clamp(0.2, 20.0) - self.slowness) * OUTCOME_WEIGHT;
        }
        if outcome != ServerOutcome::Broken {
            self.silent_since = now;
            self.connect_failures = 0;
            self.next_loss_at = MonoTime::default();
        } else if self.loss_quality(now) == Some(OutcomeQuality::Failed) {
            self.next_loss_at = now.after(LOSS_INTERVAL);
        }
    }

    /// Records a request that the caller cancelled; it says nothing about the server.
    pub fn record_abandoned(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Excludes the server for a while because it cannot be reached.
    pub fn pause(&mut self, now: MonoTime) {
        let pause = INITIAL_PAUSE * 2u32.pow(self.connect_failures.min(8));
        self.paused_until = now.after(pause.min(MAX_PAUSE));
        self.connect_failures += 1;
    }

    /// Whether requests may be sent to it.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        !self.record.is_draining && now >= self.paused_until && now >= self.backoff_until
    }

    /// Outcome of an attempt that ends now without a response; `None` if the server cannot be reached.
    pub fn loss_quality(&self, now: MonoTime) -> Option<OutcomeQuality> {
        if now < self.paused_until {
            return None;
        }
        let is_repeated = now < self.next_loss_at || self.is_reported_unreachable(now);
        Some(if is_repeated { OutcomeQuality::RepeatedLoss } else { OutcomeQuality::Failed })
    }

    /// Whether the last attempt to connect failed, or another host recently could not reach it.
    pub fn is_lost(&self, now: MonoTime) -> bool {
        self.connect_failures > 0 || self.is_reported_unreachable(now)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.cold_until
    }

    /// Number of slots, at least one.
    pub fn slots(&self) -> f64 {
        f64::from(self.record.slots.0.max(1))
    }

    /// Estimated running and waiting requests of all hosts; `average` is the load per slot over the servers of this
    /// service.
    pub fn estimated_load(&self, average: f64, now: MonoTime) -> f64 {
        let weight = decay(now.since(self.load_at), REPORT_TIME_CONSTANT);
        let reported = self.load * weight + average * self.slots() * (1.0 - weight);
        let unreported = f64::from(self.sent_since.min(self.in_flight));
        (reported + unreported).max(f64::from(self.in_flight))
    }

    /// Failure rate of recent requests, the higher one of this host's own and the shared one.
    pub fn failure_rate(&self, now: MonoTime) -> f64 {
        self.failures.rate(now).max(self.shared.rate(now)).min(MAX_FAILURE_RATE)
    }

    /// Failure rate of responses, as shared with other hosts.
    pub fn shared_failures(&self, now: MonoTime) -> f64 {
        self.shared.rate(now)
    }

    /// Whether one of its recent responses to this host was a failure; `None` without recent responses.
    pub fn recent_response_failure(&self, now: MonoTime) -> Option<bool> {
        let is_recent = self.responses.at > MonoTime::default()
            && now < self.responses.at.after(FAILURE_TIME_CONSTANT);
        is_recent.then(|| self.responses.rate(now) > MIN_RECENT_FAILURE_RATE)
    }

    /// Duration of its recent requests divided by the expected one, at least one.
    pub fn slowness(&self, now: MonoTime) -> f64 {
        1.0 + (self.slowness - 1.0).max(0.0)
            * decay(now.since(self.failures.at), FAILURE_TIME_CONSTANT)
    }

    /// Time for which requests have been waiting without any response.
    pub fn silence(&self, now: MonoTime) -> Duration {
        if self.in_flight == 0 { Duration::ZERO } else { now.since(self.silent_since) }
    }

    /// Whether it has sent nothing since requests were sent to it.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.silence(now) > SILENCE
    }

    /// Whether another host recently could not reach it.
    pub fn is_reported_unreachable(&self, now: MonoTime) -> bool {
        self.reported_unreachable_at.is_some_and(|it| now < it.after(UNREACHABLE_REPORT_TTL))
    }

    /// Number of this host's requests in flight to it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

//! What this host knows of one backend server.
//!
//! Load reports come with responses and are old for servers that this host seldom uses; requests sent since are added.
//! Outcomes of this host's own requests lower the preference for a server that fails, slows down or falls silent. Besides,
//! hosts share a rate of failures among the responses of a server: each updates the latest one that it knows by its own
//! responses, and takes one of another host that is later.

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

/// Time after which a load report counts for a third.
const REPORT_MEMORY: Duration = Duration::from_millis(800);
/// Time after which past failures count for a third.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Weight of a new outcome.
const OUTCOME_WEIGHT: f64 = 0.2;
/// First pause after a failure to connect; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause, so that a server that returns is used again soon.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Silence beyond the expected time after which a server is taken to be unreachable.
pub(super) const SILENCE: Duration = Duration::from_millis(300);
/// Time for which a server counts as silent after another host could not reach it; hosts exchange reports more often.
const TOLD_SILENCE: Duration = Duration::from_secs(1);
/// Rate of failures from which one of them is recent; a failure adds 0.2, of which a third is left after its time.
const RECENT_FAILURE: f64 = 0.06;
/// Highest failure rate that is assumed, so that a failing server is still comparable.
const MAX_FAILURE_RATE: f64 = 0.95;

/// Hash by which servers are ranked and named between hosts.
pub fn server_hash(id: &ServerId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Rate of recent failures, with the time of the last response that it covers.
#[derive(Debug, Clone, Copy, Default)]
struct FailureTrace {
    rate: f64,
    at: MonoTime,
}

impl FailureTrace {
    fn record(&mut self, is_failure: bool, now: MonoTime) {
        let decayed = self.rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        *self = Self { rate: decayed + (sample - decayed) * OUTCOME_WEIGHT, at: now };
    }

    fn rate(&self, now: MonoTime) -> f64 {
        self.rate * decay(now.since(self.at), FAILURE_MEMORY)
    }
}

/// Load that a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl ServerLoad {
    /// Requests that run or wait.
    pub fn total(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// What this host knows of one backend server.
#[derive(Debug)]
pub struct ServerState {
    /// Registration; shared with requests in flight.
    pub record: Arc<ServerRecord>,
    /// Region.
    pub region: RegionId,
    /// Until when it is cold.
    pub cold_until: MonoTime,
    pub(super) gate: PacedGate,
    pub(super) hash: u64,
    in_flight: u32,
    sent_since: u32,
    sent_at: MonoTime,
    load: f64,
    load_at: MonoTime,
    /// Failures of this host's own requests, with and without a response.
    failures: FailureTrace,
    /// Failures among the responses to this host.
    answered: FailureTrace,
    /// Failures among the responses to all hosts, as far as they are known.
    shared: FailureTrace,
    slowness: f64,
    paused_until: MonoTime,
    /// Until when it wants no requests of this host.
    pub(super) away_until: MonoTime,
    /// Failures to connect since the last response.
    pauses: u32,
    /// From when an attempt without a response is an outcome of its own.
    next_loss_at: MonoTime,
    /// When another host could not reach it.
    unreached_at: Option<MonoTime>,
    /// When the server was last heard of, or when the oldest request was sent after that.
    silent_since: MonoTime,
}

impl ServerState {
    /// A server of which nothing is known but its registration.
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
            failures: FailureTrace::default(),
            answered: FailureTrace::default(),
            shared: FailureTrace::default(),
            slowness: 1.0,
            paused_until: MonoTime::default(),
            away_until: server.away_until,
            pauses: 0,
            next_loss_at: MonoTime::default(),
            unreached_at: None,
            silent_since: MonoTime::default(),
        }
    }

    /// Takes a newer registration; a restart of the server ends what was known.
    pub fn update(&mut self, server: &FleetServer, region: RegionId) {
        if self.record.started != server.record.started {
            *self = Self { in_flight: self.in_flight, ..Self::new(server, region) };
            return;
        }
        if *self.record != server.record {
            self.record = Arc::new(server.record.clone());
        }
        self.cold_until = server.cold_until;
        self.away_until = server.away_until;
    }

    /// Counts a request that is being sent.
    pub fn record_sent(&mut self, now: MonoTime) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.sent_since += 1;
        self.sent_at = now;
    }

    /// Takes a load report that some host got at `at`, unless a later one is known.
    pub fn record_load(&mut self, load: ServerLoad, at: MonoTime) {
        if at < self.load_at {
            return;
        }
        self.load = load.total();
        self.load_at = at;
        self.unreached_at = self.unreached_at.filter(|it| *it > at);
        // Requests of this host that the report does not cover still count.
        if self.sent_at <= at {
            self.sent_since = 0;
        }
    }

    /// Takes the rate of failures among responses that some host knew at `at`, unless a later one is known.
    pub fn record_failing(&mut self, rate: f64, at: MonoTime) {
        if at > self.shared.at {
            self.shared = FailureTrace { rate: rate.clamp(0.0, 1.0), at };
        }
    }

    /// Notes that another host could not reach the server at `at`, unless it was heard of later.
    pub fn record_unreached(&mut self, at: MonoTime) {
        if at > self.load_at {
            self.unreached_at = Some(at);
        }
    }

    /// Counts the end of a request; `slowness` is its time divided by the expected one.
    pub fn record_end(&mut self, outcome: ServerOutcome, slowness: Option<f64>, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_failure = outcome != ServerOutcome::Succeeded;
        self.failures.record(is_failure, now);
        // Only a response shows that the link works; a shed request says nothing of the others.
        if matches!(outcome, ServerOutcome::Succeeded | ServerOutcome::Failed) {
            self.answered.record(is_failure, now);
            self.shared.record(is_failure, now);
        }
        if let Some(slowness) = slowness {
            self.slowness += (slowness.clamp(0.2, 20.0) - self.slowness) * OUTCOME_WEIGHT;
        }
        if outcome != ServerOutcome::Broken {
            self.silent_since = now;
            self.pauses = 0;
            self.next_loss_at = MonoTime::default();
        } else if self.loss_quality(now) == Some(OutcomeQuality::Failed) {
            self.next_loss_at = now.after(LOSS_INTERVAL);
        }
    }

    /// Counts a request that the caller gave up; it says nothing of the server.
    pub fn record_abandoned(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Leaves the server out for a while, as it cannot be reached.
    pub fn pause(&mut self, now: MonoTime) {
        let pause = FIRST_PAUSE * 2u32.pow(self.pauses.min(8));
        self.paused_until = now.after(pause.min(MAX_PAUSE));
        self.pauses += 1;
    }

    /// Whether requests may be sent to it at all.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        !self.record.is_draining && now >= self.paused_until && now >= self.away_until
    }

    /// Outcome that an attempt without a response is which ends now; `None` if the server cannot be reached.
    pub fn loss_quality(&self, now: MonoTime) -> Option<OutcomeQuality> {
        if now < self.paused_until {
            return None;
        }
        let is_again = now < self.next_loss_at || self.is_told_silent(now);
        Some(if is_again { OutcomeQuality::RepeatedLoss } else { OutcomeQuality::Failed })
    }

    /// Whether the last attempt to connect failed, or another host could not reach it a moment ago.
    pub fn is_lost(&self, now: MonoTime) -> bool {
        self.pauses > 0 || self.is_told_silent(now)
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.cold_until
    }

    /// Slots as a number to calculate with.
    pub fn slots(&self) -> f64 {
        f64::from(self.record.slots.0.max(1))
    }

    /// Requests that run or wait there, of all hosts; `usual` is the load of a slot at servers of this service.
    pub fn estimated_load(&self, usual: f64, now: MonoTime) -> f64 {
        let weight = decay(now.since(self.load_at), REPORT_MEMORY);
        let believed = self.load * weight + usual * self.slots() * (1.0 - weight);
        let fresh = f64::from(self.sent_since.min(self.in_flight));
        (believed + fresh).max(f64::from(self.in_flight))
    }

    /// Share of recent requests that failed there, of this host or of the hosts that exchange reports.
    pub fn failure_rate(&self, now: MonoTime) -> f64 {
        self.failures.rate(now).max(self.shared.rate(now)).min(MAX_FAILURE_RATE)
    }

    /// Rate of failures among responses to tell other hosts.
    pub fn shared_failures(&self, now: MonoTime) -> f64 {
        self.shared.rate(now)
    }

    /// Whether this host had responses from it a moment ago, and whether one of them was a failure.
    pub fn recent_answers(&self, now: MonoTime) -> Option<bool> {
        let is_recent =
            self.answered.at > MonoTime::default() && now < self.answered.at.after(FAILURE_MEMORY);
        is_recent.then(|| self.answered.rate(now) > RECENT_FAILURE)
    }

    /// Time of its recent requests divided by the expected one, at least one.
    pub fn slowness(&self, now: MonoTime) -> f64 {
        1.0 + (self.slowness - 1.0).max(0.0) * decay(now.since(self.failures.at), FAILURE_MEMORY)
    }

    /// Time for which requests have been waiting without any response.
    pub fn silence(&self, now: MonoTime) -> Duration {
        if self.in_flight == 0 { Duration::ZERO } else { now.since(self.silent_since) }
    }

    /// Whether it has not been heard of since requests were sent to it.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.silence(now) > SILENCE
    }

    /// Whether another host could not reach it a moment ago.
    pub fn is_told_silent(&self, now: MonoTime) -> bool {
        self.unreached_at.is_some_and(|it| now < it.after(TOLD_SILENCE))
    }

    /// Requests of this host in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}

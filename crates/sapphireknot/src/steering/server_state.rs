//! What this host knows of one backend server.
//!
//! Load reports come with responses and are old for servers that this host seldom uses; requests sent since are added.
//! Outcomes of this host's own requests lower the preference for a server that fails, slows down or falls silent.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    fleet::{FleetServer, ServerRecord},
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
/// Time for which a server counts as silent after another host could not reach it; hosts exchange reports more often.
const TOLD_SILENCE: Duration = Duration::from_secs(1);
/// Highest failure rate that is assumed, so that a failing server is still comparable.
const MAX_FAILURE_RATE: f64 = 0.95;

/// Hash by which servers are ranked and named between hosts.
pub fn server_hash(id: &ServerId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Load that a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
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
    failure_rate: f64,
    failed_at: MonoTime,
    slowness: f64,
    paused_until: MonoTime,
    pauses: u32,
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
            failure_rate: 0.0,
            failed_at: MonoTime::default(),
            slowness: 1.0,
            paused_until: MonoTime::default(),
            pauses: 0,
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
        self.load = f64::from(load.running + load.waiting);
        self.load_at = at;
        self.unreached_at = self.unreached_at.filter(|it| *it > at);
        // Requests of this host that the report does not cover still count.
        if self.sent_at <= at {
            self.sent_since = 0;
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
        let decayed = self.failure_rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = decayed + (sample - decayed) * OUTCOME_WEIGHT;
        self.failed_at = now;
        if let Some(slowness) = slowness {
            self.slowness += (slowness.clamp(0.2, 20.0) - self.slowness) * OUTCOME_WEIGHT;
        }
        if outcome != ServerOutcome::Broken {
            self.silent_since = now;
            self.pauses = 0;
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
        !self.record.is_draining && now >= self.paused_until
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

    /// Share of this host's recent requests that failed there.
    pub fn failure_rate(&self, now: MonoTime) -> f64 {
        let rate = self.failure_rate * decay(now.since(self.failed_at), FAILURE_MEMORY);
        rate.min(MAX_FAILURE_RATE)
    }

    /// Time of its recent requests divided by the expected one, at least one.
    pub fn slowness(&self, now: MonoTime) -> f64 {
        1.0 + (self.slowness - 1.0).max(0.0) * decay(now.since(self.failed_at), FAILURE_MEMORY)
    }

    /// Time for which requests have been waiting without any response.
    pub fn silence(&self, now: MonoTime) -> Duration {
        if self.in_flight == 0 { Duration::ZERO } else { now.since(self.silent_since) }
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

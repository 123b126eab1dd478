//! What one host knows of one backend server.

use std::{collections::VecDeque, time::Duration};

use super::{LoadReport, PickCandidate, PickCriteria, ServerOutcome};
use crate::{
    ids::{RegionId, ServerId, VersionId},
    time::MonoTime,
    units::{SlotCount, TrafficShare},
};

/// Age after which a report says nothing of the present load.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Shortest time for which a server that shed a request counts as full.
const SHED_PAUSE: Duration = Duration::from_millis(10);
/// Doublings of the pause at most; 10 ms then grow to 320 ms.
const MAX_SHED_DOUBLINGS: u32 = 5;
/// Time in which a cold server reaches its full room.
const WARM_UP: Duration = Duration::from_secs(10);
/// Weight of a new sample in the average shed rate, as a divisor.
const SHED_WEIGHT: u32 = 16;
/// Average shed rate above which a server's reports are not believed. Hosts that race for the same slot cause a rate of a few
/// percent at 90% load; a server that reports less than it has causes far more.
const MAX_SHED_RATE: TrafficShare = TrafficShare::percent(20);
/// First time for which reports are not believed; doubled with each further one.
const DISTRUST_PAUSE: Duration = Duration::from_secs(5);
/// Doublings of that time at most.
const MAX_DISTRUST_DOUBLINGS: u32 = 4;
/// Starts that are remembered; more than a server has slots.
const MAX_RECENT_STARTS: usize = 32;
/// Weight of a new sample in the average latency, as a divisor.
const LATENCY_WEIGHT: u64 = 8;

/// Backend server as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Identifier.
    pub id: ServerId,
    /// Region.
    pub region: RegionId,
    /// Version.
    pub version: VersionId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether the configuration withdraws it from new requests.
    pub is_leaving: bool,
}

/// State of one backend server.
#[derive(Debug)]
pub struct TrackedServer {
    spec: ServerSpec,
    in_flight: u32,
    report: Option<LoadReport>,
    /// Requests sent after the last report's probe; they may be missing in the report.
    started_since: u32,
    /// Requests ended after the last report's probe.
    ended_since: u32,
    /// When the last requests were sent, oldest first.
    recent_starts: VecDeque<MonoTime>,
    latency_us: u64,
    full_until: MonoTime,
    sheds: u32,
    shed_rate: TrafficShare,
    distrusted_until: MonoTime,
    distrusts: u32,
    ejected_until: MonoTime,
    ejections: u32,
    warm_at: MonoTime,
    failures: FailureCount,
}

/// Outcomes that count for ejection.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct FailureCount {
    /// Failures since the last success.
    pub(super) in_row: u32,
    /// Samples, halved when they reach the window.
    pub(super) samples: u32,
    /// Failures among the samples.
    pub(super) failed: u32,
}

/// Samples after which the counts of an ejection window are halved.
const FAILURE_WINDOW: u32 = 64;

impl FailureCount {
    fn record(&mut self, is_failure: bool) {
        if self.samples >= FAILURE_WINDOW {
            self.samples /= 2;
            self.failed /= 2;
        }
        self.samples += 1;
        if is_failure {
            self.failed += 1;
            self.in_row += 1;
        } else {
            self.in_row = 0;
        }
    }
}

impl TrackedServer {
    /// A server that was running before this host looked at it.
    pub(super) fn warm(spec: ServerSpec) -> Self {
        Self { warm_at: MonoTime(0), ..Self::cold(spec, MonoTime(0)) }
    }

    /// A server that starts with little room.
    pub(super) fn cold(spec: ServerSpec, now: MonoTime) -> Self {
        Self {
            spec,
            in_flight: 0,
            report: None,
            started_since: 0,
            ended_since: 0,
            recent_starts: VecDeque::new(),
            latency_us: 0,
            full_until: MonoTime(0),
            sheds: 0,
            shed_rate: TrafficShare::NONE,
            distrusted_until: MonoTime(0),
            distrusts: 0,
            ejected_until: MonoTime(0),
            ejections: 0,
            warm_at: now.after(WARM_UP),
            failures: FailureCount::default(),
        }
    }

    /// Takes a changed configuration; another version is another program and starts cold.
    pub(super) fn replace_spec(&mut self, spec: ServerSpec, now: MonoTime) {
        if spec.version != self.spec.version {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::cold(spec, now) };
        } else {
            self.spec = spec;
        }
    }

    pub(super) fn record_report(&mut self, report: LoadReport) {
        let is_newer = self.report.is_none_or(|old| report.probed_at > old.probed_at);
        if is_newer {
            self.report = Some(report);
            // The server may have answered before these requests arrived.
            let is_later = |it: &&MonoTime| **it >= report.probed_at;
            let later = self.recent_starts.iter().rev().take_while(is_later).count();
            self.started_since = u32::try_from(later).unwrap_or(u32::MAX);
            self.ended_since = 0;
        }
    }

    pub(super) fn start(&mut self, now: MonoTime) {
        if self.recent_starts.len() >= MAX_RECENT_STARTS {
            self.recent_starts.pop_front();
        }
        self.recent_starts.push_back(now);
        self.in_flight += 1;
        self.started_since += 1;
    }

    pub(super) fn finish(&mut self, outcome: ServerOutcome, latency_us: u64, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended_since += 1;
        match outcome {
            ServerOutcome::Succeeded => {
                self.sheds = 0;
                self.record_shed(false, now);
                self.failures.record(false);
                self.record_latency(latency_us);
            }
            ServerOutcome::Failed | ServerOutcome::Broken => {
                self.failures.record(true);
                self.record_latency(latency_us);
            }
            ServerOutcome::Shed => {
                let pause = SHED_PAUSE * 2u32.pow(self.sheds.min(MAX_SHED_DOUBLINGS));
                self.full_until = now.after(pause);
                self.sheds += 1;
                self.record_shed(true, now);
            }
            ServerOutcome::Cancelled => {}
        }
    }

    /// A server that sheds often although its reports leave room is not believed for a while.
    fn record_shed(&mut self, is_shed: bool, now: MonoTime) {
        let sample = if is_shed { TrafficShare::WHOLE.0 } else { 0 };
        self.shed_rate =
            TrafficShare((self.shed_rate.0 * (SHED_WEIGHT - 1) + sample) / SHED_WEIGHT);
        if self.shed_rate > MAX_SHED_RATE && now >= self.distrusted_until {
            let doublings = self.distrusts.min(MAX_DISTRUST_DOUBLINGS);
            self.distrusted_until = now.after(DISTRUST_PAUSE * 2u32.pow(doublings));
            self.distrusts += 1;
            self.shed_rate = TrafficShare::NONE;
        }
    }

    fn record_latency(&mut self, latency_us: u64) {
        self.latency_us = match self.latency_us {
            0 => latency_us,
            old => (old * (LATENCY_WEIGHT - 1) + latency_us) / LATENCY_WEIGHT,
        };
    }

    pub(super) fn eject(&mut self, deadline: MonoTime) {
        self.ejected_until = deadline;
        self.ejections += 1;
        // The server is cold for this host when it returns: it starts with little room.
        self.warm_at = deadline.after(WARM_UP);
        self.failures = FailureCount::default();
    }

    /// The configured server.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Requests of this host in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Average latency that this host saw, in microseconds; 0 before the first response.
    pub fn latency_us(&self) -> u64 {
        self.latency_us
    }

    /// Whether the server is left out because of its outcomes.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }

    pub(super) fn ejections(&self) -> u32 {
        self.ejections
    }

    pub(super) fn failures(&self) -> FailureCount {
        self.failures
    }

    pub(super) fn is_usable(&self, criteria: &PickCriteria<'_>, now: MonoTime) -> bool {
        self.spec.version == *criteria.version
            && self.spec.region == *criteria.region
            && !self.spec.is_leaving
            && !self.report.is_some_and(|it| it.is_leaving)
            && !self.is_ejected(now)
            && !criteria.excluded.contains(&self.spec.id)
    }

    /// Requests of all hosts that are believed to run there.
    ///
    /// A report that is too old, or that claims less than this host itself has in flight, does not lower the estimate.
    pub fn estimated_load(&self, now: MonoTime) -> u32 {
        let reported = match self.fresh_report(now) {
            Some(report) => {
                (report.in_flight + self.started_since).saturating_sub(self.ended_since)
            }
            None => 0,
        };
        reported.max(self.in_flight)
    }

    fn fresh_report(&self, now: MonoTime) -> Option<LoadReport> {
        let is_believed = now >= self.distrusted_until;
        self.report.filter(|it| is_believed && now < it.probed_at.after(REPORT_LIFETIME))
    }

    /// Room that a warm server has for one request more; a cold one has less.
    fn usable_slots(&self, now: MonoTime) -> u32 {
        let slots = self.spec.slots.0;
        let left = now.until(self.warm_at).min(WARM_UP);
        let warm = WARM_UP - left;
        let scaled = u128::from(slots) * warm.as_millis() / WARM_UP.as_millis();
        u32::try_from(scaled).unwrap_or(slots).max(1)
    }

    /// Requests that may be sent now.
    pub fn free_slots(&self, now: MonoTime) -> u32 {
        if now < self.full_until {
            return 0;
        }
        self.usable_slots(now).saturating_sub(self.estimated_load(now))
    }

    pub(super) fn candidate(&self, now: MonoTime) -> Option<PickCandidate> {
        let room = self.free_slots(now);
        (room > 0).then(|| PickCandidate {
            server: self.spec.id.clone(),
            own_in_flight: self.in_flight,
            load: self.estimated_load(now),
            slots: self.usable_slots(now),
            latency_us: self.latency_us,
            report_age_us: self.fresh_report(now).map(|it| report_age_us(it, now)),
        })
    }
}

fn report_age_us(report: LoadReport, now: MonoTime) -> u64 {
    u64::try_from(now.since(report.probed_at).as_micros()).unwrap_or(u64::MAX)
}

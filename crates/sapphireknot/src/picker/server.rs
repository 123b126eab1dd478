//! State of one backend server as seen by one host.

use std::{collections::VecDeque, time::Duration};

use super::{LoadReport, PickCandidate, PickCriteria, ServerOutcome};
use crate::{
    ids::{RegionId, ServerId, VersionId},
    time::MonoTime,
    units::{SlotCount, TrafficShare},
};

/// Age after which a load report is ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Initial time for which a server that shed a request counts as full.
const SHED_BACKOFF: Duration = Duration::from_millis(10);
/// Maximum number of doublings of the backoff; 10 ms then grow to 320 ms.
const MAX_SHED_DOUBLINGS: u32 = 5;
/// Time in which the slots of a cold server ramp up to the configured number.
const WARM_UP: Duration = Duration::from_secs(10);
/// Inverse weight of a new sample in the moving average of the shed rate.
const SHED_WEIGHT: u32 = 16;
/// Average shed rate above which the load reports of a server are ignored. Hosts that compete for the same slot cause a
/// rate of a few percent at 90% load; a server that reports less than its actual load causes a far higher rate.
const MAX_SHED_RATE: TrafficShare = TrafficShare::percent(20);
/// Initial time for which load reports are ignored; doubles with each further occurrence.
const REPORT_BLOCK_TIME: Duration = Duration::from_secs(5);
/// Maximum number of doublings of that time.
const MAX_REPORT_BLOCK_DOUBLINGS: u32 = 4;
/// Number of recent request starts that are kept; more than a server has slots.
const MAX_RECENT_STARTS: usize = 32;
/// Inverse weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: u64 = 8;

/// Configuration of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Identifier.
    pub id: ServerId,
    /// Region.
    pub region: RegionId,
    /// Version.
    pub version: VersionId,
    /// Maximum number of concurrent requests.
    pub slots: SlotCount,
    /// Whether the configuration drains the server.
    pub is_leaving: bool,
}

/// Backend server with its observed load, latency and failures.
#[derive(Debug)]
pub struct TrackedServer {
    spec: ServerSpec,
    in_flight: u32,
    report: Option<LoadReport>,
    /// Requests sent after the last report's probe; the report may not include them.
    started_since: u32,
    /// Requests that ended after the last report's probe.
    ended_since: u32,
    /// Start times of the most recent requests, oldest first.
    recent_starts: VecDeque<MonoTime>,
    latency_us: u64,
    full_until: MonoTime,
    sheds: u32,
    shed_rate: TrafficShare,
    reports_blocked_until: MonoTime,
    report_blocks: u32,
    ejected_until: MonoTime,
    ejections: u32,
    warm_at: MonoTime,
    failures: FailureCounts,
}

/// Outcome counts for outlier detection.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct FailureCounts {
    /// Consecutive failures since the last success.
    pub(super) consecutive: u32,
    /// Number of samples; halved when it reaches [`FAILURE_WINDOW`].
    pub(super) samples: u32,
    /// Number of failures among the samples.
    pub(super) failed: u32,
}

/// Number of samples at which the counts are halved, so that old outcomes decay.
const FAILURE_WINDOW: u32 = 64;

impl FailureCounts {
    fn record(&mut self, is_failure: bool) {
        if self.samples >= FAILURE_WINDOW {
            self.samples /= 2;
            self.failed /= 2;
        }
        self.samples += 1;
        if is_failure {
            self.failed += 1;
            self.consecutive += 1;
        } else {
            self.consecutive = 0;
        }
    }
}

impl TrackedServer {
    /// Creates the state of a server that was already running when this host started to track it.
    pub(super) fn warm(spec: ServerSpec) -> Self {
        Self { warm_at: MonoTime(0), ..Self::cold(spec, MonoTime(0)) }
    }

    /// Creates the state of a server whose usable slots ramp up from one.
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
            reports_blocked_until: MonoTime(0),
            report_blocks: 0,
            ejected_until: MonoTime(0),
            ejections: 0,
            warm_at: now.after(WARM_UP),
            failures: FailureCounts::default(),
        }
    }

    /// Applies a changed configuration; a server with another version runs a different program and starts cold.
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
            // The server may have sent the report before these requests arrived.
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
                let backoff = SHED_BACKOFF * 2u32.pow(self.sheds.min(MAX_SHED_DOUBLINGS));
                self.full_until = now.after(backoff);
                self.sheds += 1;
                self.record_shed(true, now);
            }
            ServerOutcome::Cancelled => {}
        }
    }

    /// Updates the shed rate; load reports are ignored for a while if the server sheds often despite reported free
    /// slots.
    fn record_shed(&mut self, is_shed: bool, now: MonoTime) {
        let sample = if is_shed { TrafficShare::WHOLE.0 } else { 0 };
        self.shed_rate =
            TrafficShare((self.shed_rate.0 * (SHED_WEIGHT - 1) + sample) / SHED_WEIGHT);
        if self.shed_rate > MAX_SHED_RATE && now >= self.reports_blocked_until {
            let doublings = self.report_blocks.min(MAX_REPORT_BLOCK_DOUBLINGS);
            self.reports_blocked_until = now.after(REPORT_BLOCK_TIME * 2u32.pow(doublings));
            self.report_blocks += 1;
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
        // The server ramps up again after the ejection.
        self.warm_at = deadline.after(WARM_UP);
        self.failures = FailureCounts::default();
    }

    /// Returns the configuration.
    pub fn spec(&self) -> &ServerSpec {
        &self.spec
    }

    /// Returns the number of requests in flight from this host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the average latency observed by this host, in microseconds; 0 before the first response.
    pub fn latency_us(&self) -> u64 {
        self.latency_us
    }

    /// Returns whether the server is ejected as an outlier.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }

    pub(super) fn ejections(&self) -> u32 {
        self.ejections
    }

    pub(super) fn failures(&self) -> FailureCounts {
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

    /// Estimates the number of requests in flight from all hosts.
    ///
    /// The estimate is never lower than the number of requests in flight from this host; stale and
    /// blocked reports are ignored.
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
        let is_trusted = now >= self.reports_blocked_until;
        self.report.filter(|it| is_trusted && now < it.probed_at.after(REPORT_LIFETIME))
    }

    /// Returns the current limit on concurrent requests; it ramps up linearly while the server warms up.
    fn usable_slots(&self, now: MonoTime) -> u32 {
        let slots = self.spec.slots.0;
        let left = now.until(self.warm_at).min(WARM_UP);
        let warm = WARM_UP - left;
        let scaled = u128::from(slots) * warm.as_millis() / WARM_UP.as_millis();
        u32::try_from(scaled).unwrap_or(slots).max(1)
    }

    /// Returns the number of requests that can be sent now.
    pub fn free_slots(&self, now: MonoTime) -> u32 {
        if now < self.full_until {
            return 0;
        }
        self.usable_slots(now).saturating_sub(self.estimated_load(now))
    }

    pub(super) fn candidate(&self, now: MonoTime) -> Option<PickCandidate> {
        let free_slots = self.free_slots(now);
        (free_slots > 0).then(|| PickCandidate {
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

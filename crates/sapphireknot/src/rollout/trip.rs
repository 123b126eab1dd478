//! Trips: a host rolls a version back on its own evidence, like a circuit breaker.
//!
//! After each outcome of a rising version, a host tests that version against the recent rate of the old version on the
//! same host and route. A version on which nearly every request fails is tripped within about ten requests. A trip
//! needs neither store nor planner and is permanent for its plan. Smaller faults are left to the planner, which has the
//! evidence of all hosts.

use std::collections::BTreeMap;

use crate::{
    ids::{HostId, PlanId, RouteId, VersionId},
    rollout::{
        OutcomeCounts, RateSample, SampleKey, TrafficMove,
        betting::{BettingDetector, log_likelihood_ratio},
    },
};

/// Probability that any host trips a good version during a plan.
pub const TRIP_FALSE_ALARM_RATE: f64 = 0.001;
/// Failure rate of the alternative hypothesis.
const FAULTY_FAILURE_RATE: f64 = 0.75;
/// Rate of very slow responses of the alternative hypothesis.
const FAULTY_SLOW_RATE: f64 = 0.75;
/// Excess over the old version's failure rate that is tolerated.
const FAILURE_TOLERANCE: f64 = 0.01;
/// Excess over the old version's rate of very slow responses that is tolerated.
const SLOW_TOLERANCE: f64 = 0.05;
/// Multiple of the old version's 95th percentile above which a response is very slow. Only very slow responses trip a
/// version, because at a large share a host has too few outcomes of the old version to distinguish a load peak from a
/// slow version.
const VERY_SLOW_FACTOR: u64 = 3;
/// Outcomes of a new version without one of the old version after which the old version is considered idle.
const IDLE_SAMPLES: u32 = 50;
/// Outcomes of the old version that the short window holds; few enough to follow a fault that affects both versions.
const SHORT_WINDOW: f64 = 32.0;

/// Notice that a host has tripped a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TripNotice {
    /// Plan.
    pub plan: PlanId,
    /// Version.
    pub version: VersionId,
    /// Host that tripped it.
    pub host: HostId,
    /// Why it was tripped.
    pub reason: String,
}

/// Trips known to a host. A trip is removed only together with its plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TripSet {
    trips: BTreeMap<(PlanId, VersionId), (HostId, String)>,
}

impl TripSet {
    /// Adds a trip; the result does not depend on the order or number of notices.
    pub fn merge(&mut self, notice: &TripNotice) {
        let reported = (notice.host.clone(), notice.reason.clone());
        let recorded = self.trips.entry((notice.plan.clone(), notice.version.clone()));
        let recorded = recorded.or_insert_with(|| reported.clone());
        if reported < *recorded {
            *recorded = reported;
        }
    }

    /// Removes the trips of plans that are not in `plans`.
    pub fn retain_plans(&mut self, plans: &[PlanId]) {
        self.trips.retain(|(plan, _), _| plans.contains(plan));
    }

    /// Why `version` was tripped.
    pub fn reason(&self, plan: &PlanId, version: &VersionId) -> Option<&str> {
        self.trips.get(&(plan.clone(), version.clone())).map(|it| it.1.as_str())
    }

    /// All trips, to be sent to peers.
    pub fn notices(&self) -> Vec<TripNotice> {
        let notice =
            |((plan, version), (host, reason)): (&(PlanId, VersionId), &(HostId, String))| {
                TripNotice {
                    plan: plan.clone(),
                    version: version.clone(),
                    host: host.clone(),
                    reason: reason.clone(),
                }
            };
        self.trips.iter().map(notice).collect()
    }
}

/// Estimate of the old version's 95th percentile on one route.
///
/// A slow response raises the estimate and any other lowers it by a nineteenth as much, so it converges to the value
/// that one in twenty exceeds, and follows the load. The test compares both versions with the same value, so its
/// validity does not depend on the estimate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlowThreshold {
    latency_us: Option<f64>,
}

impl SlowThreshold {
    /// Updates the estimate with a latency of the old version.
    pub fn update(&mut self, latency_us: u64) {
        let latency = latency_us as f64;
        let estimate = self.latency_us.unwrap_or(2.0 * latency);
        let factor = if latency > estimate { 1.0 + 0.95 * 0.1 } else { 1.0 - 0.05 * 0.1 };
        self.latency_us = Some((estimate * factor).max(1.0));
    }

    /// Whether a latency is slow; false until the first latency of the old version.
    pub fn is_slow(&self, latency_us: u64) -> bool {
        self.latency_us.is_some_and(|it| latency_us as f64 > it)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct BaselineRate {
    short: (f64, f64),
    long: RateSample,
}

impl BaselineRate {
    fn update(&mut self, is_hit: bool) {
        let decay = 1.0 - 1.0 / SHORT_WINDOW;
        let hit = f64::from(u8::from(is_hit));
        self.short = (self.short.0 * decay + hit, self.short.1 * decay + 1.0);
        if self.long.total >= 1_000 {
            self.long = RateSample { hits: self.long.hits / 2, total: self.long.total / 2 };
        }
        self.long.hits += u64::from(is_hit);
        self.long.total += 1;
    }

    fn limit(&self, tolerance: f64) -> f64 {
        let (hits, total) = self.short;
        let short = (hits + 1.0 + 2.0 * hits.sqrt()) / (total + 2.0);
        (short.max(self.long.upper_bound()) + tolerance).min(0.98)
    }
}

#[derive(Debug, Clone, Default)]
struct RouteRates {
    threshold: SlowThreshold,
    failed: BaselineRate,
    slow: BaselineRate,
    new_since_old: u32,
}

/// Outcome counts of one plan on this host, and the tests that trip a version.
#[derive(Debug, Clone)]
pub struct LocalTrip {
    old: Option<VersionId>,
    rising: Vec<VersionId>,
    alpha: f64,
    routes: BTreeMap<RouteId, RouteRates>,
    counts: BTreeMap<SampleKey, OutcomeCounts>,
    detectors: BTreeMap<SampleKey, [BettingDetector; 2]>,
    tripped: Option<(VersionId, String)>,
}

impl LocalTrip {
    /// Creates the tests for a move of a service with `routes` on one of `hosts` hosts.
    pub fn new(traffic: &TrafficMove, routes: &[RouteId], hosts: usize) -> Self {
        let rising = traffic.rising();
        let tests = (2 * routes.len() * rising.len() * hosts).max(1);
        Self {
            old: traffic.old_version(),
            rising,
            alpha: TRIP_FALSE_ALARM_RATE / tests as f64,
            routes: routes.iter().map(|it| (it.clone(), RouteRates::default())).collect(),
            counts: BTreeMap::new(),
            detectors: BTreeMap::new(),
            tripped: None,
        }
    }

    /// Records the outcome of one request.
    pub fn record(
        &mut self,
        version: &VersionId,
        route: &RouteId,
        succeeded: bool,
        latency_us: u64,
    ) {
        let is_old = self.old.as_ref() == Some(version);
        let Some(rates) =
            self.routes.get_mut(route).filter(|_| is_old || self.rising.contains(version))
        else {
            return;
        };
        let key = (version.clone(), route.clone());
        let is_very_slow = succeeded && rates.threshold.is_slow(latency_us / VERY_SLOW_FACTOR);
        let is_idle = !is_old && rates.new_since_old >= IDLE_SAMPLES;
        let is_slow = is_very_slow || succeeded && !is_idle && rates.threshold.is_slow(latency_us);
        let counts = self.counts.entry(key.clone()).or_default();
        counts.failed += u64::from(!succeeded);
        counts.slow += u64::from(is_slow);
        counts.succeeded += u64::from(succeeded && !is_slow);
        if is_old {
            rates.new_since_old = 0;
            rates.failed.update(!succeeded);
            if succeeded {
                rates.slow.update(is_very_slow);
                rates.threshold.update(latency_us);
            }
            return;
        }
        rates.new_since_old = rates.new_since_old.saturating_add(1);
        let [failed, slow] = self.detectors.entry(key).or_default();
        failed.update(log_factor(
            !succeeded,
            FAULTY_FAILURE_RATE,
            rates.failed.limit(FAILURE_TOLERANCE),
        ));
        if succeeded {
            slow.update(log_factor(
                is_very_slow,
                FAULTY_SLOW_RATE,
                rates.slow.limit(SLOW_TOLERANCE),
            ));
        }
        let name = if failed.rejects(self.alpha) { "failed" } else { "slow" };
        if self.tripped.is_none() && (failed.rejects(self.alpha) || slow.rejects(self.alpha)) {
            let hits = if name == "failed" { counts.failed } else { counts.slow };
            let reason = format!("route {route}: {hits} of {} {name} on this host", counts.total());
            self.tripped = Some((version.clone(), reason));
        }
    }

    /// Cumulative outcome counts of this incarnation.
    pub fn counts(&self) -> &BTreeMap<SampleKey, OutcomeCounts> {
        &self.counts
    }

    /// Version that this host tripped, with the reason.
    pub fn tripped(&self) -> Option<&(VersionId, String)> {
        self.tripped.as_ref()
    }
}

fn log_factor(is_hit: bool, guess: f64, limit: f64) -> f64 {
    if guess <= limit {
        return 0.0;
    }
    log_likelihood_ratio(RateSample { hits: u64::from(is_hit), total: 1 }, guess, limit)
}

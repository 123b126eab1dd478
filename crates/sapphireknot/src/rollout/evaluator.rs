//! Statistical evaluation of the evidence of all hosts.
//!
//! Two tests run per rising version, route and kind of bad outcome. The rejecting test runs during the whole rollout
//! and afterwards; it rejects a version that is worse than the old one by more than the tolerated gap. The passing test
//! restarts with each step, so that a fault under load is tested at the load of the step; a step passes once a version
//! that is worse by the harmful gap would rarely produce such good outcomes.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{RouteId, VersionId},
    rollout::{
        OutcomeCounts, RateSample, RolloutTiming, SampleKey, TrafficMove,
        betting::{BettingDetector, HypothesisSide, block_log_ratio, log_likelihood_ratio},
    },
    time::MonoTime,
};

/// Probability that a rollout of a good version is ever rejected, over all its tests.
pub const FALSE_ALARM_RATE: f64 = 0.01;
/// Probability that a step passes a route on which the version is worse by the harmful gap.
pub const MISS_RATE: f64 = 0.01;
/// Outcomes of the new version that a route needs in each step.
pub const MIN_SAMPLES: u64 = 30;
/// Expected outcomes of the new version on a route from which having none blocks the rollout.
const MIN_EXPECTED_SAMPLES: f64 = 3.0;
/// Excess tolerated while the old version is idle and its rate may be out of date.
const IDLE_TOLERANCE: f64 = 0.05;
/// Standard deviations by which the new version must be worse than the old one within the same readings for its
/// outcomes to count as adverse.
const ADVERSE_DEVIATIONS: f64 = 2.0;
/// Outcomes of the new version without one of the old version after which the old version is considered idle.
const IDLE_SAMPLES: u64 = 20;

/// Kind of bad outcome, with the limits of its tests.
#[derive(Debug)]
struct OutcomeKind {
    name: &'static str,
    sample: fn(OutcomeCounts) -> RateSample,
    /// Prior rate of the old version.
    prior: f64,
    /// Excess that is tolerated.
    tolerated: f64,
    /// Excess with which a step must not pass.
    harmful: f64,
    /// Logarithm of the passing test below which even few outcomes count as adverse.
    adverse_bound: f64,
}

// The gaps are far enough apart for about a hundred outcomes to distinguish them.
const KINDS: [OutcomeKind; 2] = [
    OutcomeKind {
        name: "failed",
        sample: OutcomeCounts::failures,
        prior: 0.005,
        tolerated: 0.01,
        harmful: 0.05,
        // A good version may fail once after a few good outcomes, but hardly twice in a row.
        adverse_bound: -2.3,
    },
    OutcomeKind {
        name: "slow",
        sample: OutcomeCounts::slowness,
        prior: 0.05,
        tolerated: 0.05,
        harmful: 0.15,
        // Two slow responses among a few are common.
        adverse_bound: -3.5,
    },
];

/// Assessment of a route in the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAssessment {
    /// Enough good outcomes at the share of this step.
    Passed,
    /// Too few outcomes, which are not adverse.
    TooFewSamples,
    /// Adverse outcomes that do not suffice to reject the version.
    Adverse,
    /// The old version has outcomes on this route and the new one has none.
    NotExercised,
    /// Too few requests to expect any on the new version.
    NoTraffic,
}

#[derive(Debug, Clone, Default)]
struct KindTest {
    /// Detectors of a small and of a large excess.
    rejecting: [BettingDetector; 2],
    passing: f64,
    /// Log-likelihood ratio of the passing test over all steps.
    overall: f64,
    excess: RateExcess,
    old_seen: RateSample,
    recent: (f64, f64),
}

/// Bad outcomes of the new version in excess of those at the pooled rate of both versions, summed over readings.
///
/// A stall of a host or of a server machine affects both versions in the same reading. The passing test compares with
/// the past rate of the old version and attributes the stall to the new one; this comparison does not.
#[derive(Debug, Clone, Copy, Default)]
struct RateExcess {
    hits: f64,
    variance: f64,
}

#[derive(Debug, Clone, Default)]
struct RouteTests {
    new_seen: OutcomeCounts,
    old_seen: OutcomeCounts,
    step_start: u64,
    /// Outcomes of the new version to be expected from the split of traffic over all routes.
    expected: f64,
    expected_until: u64,
    kinds: [KindTest; 2],
}

/// Tests of all rising versions of one plan. They exist only in the memory of the planner.
///
/// A planner that takes over uses the cumulative counts as its first block, so the rejecting test misses no outcome;
/// the passing test restarts.
#[derive(Debug, Clone)]
pub struct EvidenceEvaluator {
    old: Option<VersionId>,
    tests: BTreeMap<SampleKey, RouteTests>,
    step: u64,
    settled_at: Option<MonoTime>,
    version_totals: BTreeMap<VersionId, (u64, u64)>,
    rejection: Option<(VersionId, String)>,
    settle_time: Duration,
}

impl EvidenceEvaluator {
    /// Creates an evaluator of the rising versions of a move.
    pub fn new(traffic: &TrafficMove, routes: &[RouteId]) -> Self {
        let rising = traffic.rising();
        let pairs =
            rising.iter().flat_map(|it| routes.iter().map(|that| (it.clone(), that.clone())));
        Self {
            old: traffic.old_version(),
            tests: pairs.map(|it| (it, RouteTests::default())).collect(),
            step: 0,
            settled_at: None,
            version_totals: BTreeMap::new(),
            rejection: None,
            settle_time: RolloutTiming::default().settle_time,
        }
    }

    /// Returns the evaluator with other timing.
    pub fn with_timing(self, timing: RolloutTiming) -> Self {
        Self { settle_time: timing.settle_time, ..self }
    }

    /// Starts the passing tests of `step`, unless that is the current step.
    pub fn enter_step(&mut self, step: u64, now: MonoTime) {
        if self.step != step {
            self.step = step;
            self.settled_at = Some(now.after(self.settle_time));
        }
    }

    /// Updates the tests with the totals of [`crate::rollout::EvidenceLedger`] at `now`.
    pub fn update(&mut self, totals: &BTreeMap<SampleKey, OutcomeCounts>, now: MonoTime) {
        self.update_expected(totals);
        let alpha = FALSE_ALARM_RATE / (4 * self.tests.len()).max(1) as f64;
        let is_settled = self.settled_at.is_some_and(|it| it <= now);
        for (key, tests) in &mut self.tests {
            let new_total = totals.get(key).copied().unwrap_or_default();
            let old_total = old_counts(totals, self.old.as_ref(), &key.1);
            let (new, old) = (new_total.since(tests.new_seen), old_total.since(tests.old_seen));
            if !is_settled {
                tests.step_start = new_total.total();
            }
            if new.total() == 0 || (old.total() == 0 && new.total() < IDLE_SAMPLES) {
                continue;
            }
            (tests.new_seen, tests.old_seen) = (new_total, old_total);
            for (kind, test) in KINDS.iter().zip(&mut tests.kinds) {
                let new_sample = (kind.sample)(new);
                test.update(kind, new_sample, (kind.sample)(old));
                if !is_settled {
                    test.passing = 0.0;
                }
                if self.rejection.is_none() && test.rejecting.iter().any(|it| it.rejects(alpha)) {
                    let sample = (kind.sample)(new_total);
                    let reason = format!(
                        "version {} on route {}: {} of {} {}",
                        key.0, key.1, sample.hits, sample.total, kind.name
                    );
                    self.rejection = Some((key.0.clone(), reason));
                }
            }
        }
    }

    /// Updates the expected outcomes of the new version on each route from the split of traffic over all routes.
    fn update_expected(&mut self, totals: &BTreeMap<SampleKey, OutcomeCounts>) {
        let mut sums: BTreeMap<VersionId, (u64, u64)> = BTreeMap::new();
        for (version, route) in self.tests.keys() {
            let key = (version.clone(), route.clone());
            let new = totals.get(&key).copied().unwrap_or_default();
            let sum = sums.entry(version.clone()).or_default();
            sum.0 += new.total();
            sum.1 += old_counts(totals, self.old.as_ref(), route).total();
        }
        for (key, tests) in &mut self.tests {
            let (new, old) = sums.get(&key.0).copied().unwrap_or_default();
            let (new_before, old_before) =
                self.version_totals.get(&key.0).copied().unwrap_or_default();
            let odds = new.saturating_sub(new_before) as f64
                / old.saturating_sub(old_before).max(1) as f64;
            let until = old_counts(totals, self.old.as_ref(), &key.1).total();
            tests.expected += odds * until.saturating_sub(tests.expected_until) as f64;
            tests.expected_until = until;
        }
        self.version_totals = sums;
    }

    /// Whether every new version has outcomes.
    pub fn is_exercised(&self) -> bool {
        self.version_totals.values().all(|it| it.0 > 0)
    }

    /// The step whose passing tests are running.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// The rejected version, with the reason.
    pub fn rejection(&self) -> Option<&(VersionId, String)> {
        self.rejection.as_ref()
    }

    /// The assessment of every rising version and route.
    pub fn assessments(&self) -> Vec<(&SampleKey, RouteAssessment)> {
        self.tests.iter().map(|(key, tests)| (key, tests.assessment())).collect()
    }
}

fn old_counts(
    totals: &BTreeMap<SampleKey, OutcomeCounts>,
    old: Option<&VersionId>,
    route: &RouteId,
) -> OutcomeCounts {
    old.and_then(|it| totals.get(&(it.clone(), route.clone()))).copied().unwrap_or_default()
}

impl RouteTests {
    fn assessment(&self) -> RouteAssessment {
        if self.new_seen.total() == 0 {
            let has_no_traffic = self.expected < MIN_EXPECTED_SAMPLES;
            return if has_no_traffic {
                RouteAssessment::NoTraffic
            } else {
                RouteAssessment::NotExercised
            };
        }
        let samples = self.new_seen.total().saturating_sub(self.step_start);
        let passes = |it: &KindTest| it.passing >= -MISS_RATE.ln();
        let is_adverse = KINDS.iter().zip(&self.kinds).any(|(kind, test)| test.is_adverse(kind));
        if samples >= MIN_SAMPLES && self.kinds.iter().all(passes) {
            RouteAssessment::Passed
        } else if is_adverse || self.new_seen.failed == self.new_seen.total() {
            RouteAssessment::Adverse
        } else {
            RouteAssessment::TooFewSamples
        }
    }
}

impl RateExcess {
    fn update(&mut self, new: RateSample, old: RateSample, old_rate: f64) {
        let (new_total, old_total) = (new.total as f64, old.total as f64);
        if old.total == 0 {
            self.hits += new.hits as f64 - new_total * old_rate;
            self.variance += new_total * old_rate * (1.0 - old_rate);
            return;
        }
        let all = new_total + old_total;
        let hits = (new.hits + old.hits) as f64;
        self.hits += new.hits as f64 - new_total * hits / all;
        self.variance += new_total * old_total * hits * (all - hits) / (all * all * (all - 1.0));
    }

    fn is_significant(&self) -> bool {
        self.hits > ADVERSE_DEVIATIONS * self.variance.sqrt()
    }
}

impl KindTest {
    fn is_adverse(&self, kind: &OutcomeKind) -> bool {
        self.passing.min(self.overall) < kind.adverse_bound && self.excess.is_significant()
    }

    fn update(&mut self, kind: &OutcomeKind, new: RateSample, old: RateSample) {
        let old_rate = self.old_seen.estimate(kind.prior);
        let recent = (self.recent.0 + 10.0 * old_rate) / (self.recent.1 + 10.0);
        let guesses = [recent.max(old_rate + 3.0 * kind.tolerated), recent.max(0.5)];
        for (detector, guess) in self.rejecting.iter_mut().zip(guesses) {
            let side = HypothesisSide::AtMost;
            detector.update(if old.total == 0 {
                let limit = (self.old_seen.upper_bound() + IDLE_TOLERANCE).min(0.95);
                log_likelihood_ratio(new, guess.max(limit), limit)
            } else {
                block_log_ratio(new, old, (guess, old_rate), kind.tolerated, side)
            });
        }
        let passing = if old.total == 0 {
            let harmful = (old_rate + kind.harmful).min(0.95);
            log_likelihood_ratio(new, old_rate.clamp(1e-4, harmful), harmful)
        } else {
            let side = HypothesisSide::AtLeast;
            block_log_ratio(new, old, (old_rate, old_rate), kind.harmful, side)
        };
        self.passing += passing;
        self.overall += passing;
        self.excess.update(new, old, old_rate);
        self.old_seen.hits += old.hits;
        self.old_seen.total += old.total;
        // Keeps about the last 200 outcomes, so that a late change is detected.
        let keep = (1.0 - new.total as f64 / 200.0).max(0.0);
        self.recent.0 = self.recent.0 * keep + new.hits as f64;
        self.recent.1 = self.recent.1 * keep + new.total as f64;
    }
}

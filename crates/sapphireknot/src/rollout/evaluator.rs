//! Judgement of the evidence of all hosts.
//!
//! Two tests run per rising version, route and kind of bad outcome. The rejecting test runs over the whole rollout, and
//! afterwards, and takes a version back if it is worse than the old one by more than the tolerated gap. The passing
//! test begins anew with each step, so that a fault under load is judged at the load of the step; it lets a step pass
//! once a version that is worse by the harmful gap would rarely look so good.

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
/// Outcomes that the new version should have had on a route after which having none counts against it.
const SILENT_SAMPLES: f64 = 3.0;
/// Excess tolerated once the old version is idle and its rate may be out of date.
const IDLE_GAP: f64 = 0.05;
/// Standard deviations by which the new version must be worse than the old one in the same readings to be doubted.
const DOUBT_DEVIATIONS: f64 = 2.0;
/// Outcomes of the new version without one of the old after which the old version is taken to be idle.
const IDLE_SAMPLES: u64 = 20;

/// Kind of bad outcome with its limits.
#[derive(Debug)]
struct OutcomeKind {
    name: &'static str,
    sample: fn(OutcomeCounts) -> RateSample,
    /// Rate of the old version before anything is known.
    prior: f64,
    /// Excess that is tolerated.
    tolerated: f64,
    /// Excess that must not pass.
    harmful: f64,
    /// Logarithm of the passing test below which few outcomes speak against the version.
    doubt: f64,
}

// Gaps are far enough apart that about a hundred outcomes decide between them.
const KINDS: [OutcomeKind; 2] = [
    OutcomeKind {
        name: "failed",
        sample: OutcomeCounts::failures,
        prior: 0.005,
        tolerated: 0.01,
        harmful: 0.05,
        // One failure after a few good outcomes happens to good versions; two in a row hardly do.
        doubt: -2.3,
    },
    OutcomeKind {
        name: "slow",
        sample: OutcomeCounts::slowness,
        prior: 0.05,
        tolerated: 0.05,
        harmful: 0.15,
        // Two slow responses among few are common.
        doubt: -3.5,
    },
];

/// How a route stands in the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAssessment {
    /// Enough good outcomes at the share of this step.
    Passed,
    /// Too few outcomes, none of which speaks against the version.
    TooFewSamples,
    /// Outcomes that speak against the version, but do not reject it.
    Adverse,
    /// The old version served this route and the new one never did.
    NotExercised,
    /// Hardly any request on either version.
    NoTraffic,
}

#[derive(Debug, Clone, Default)]
struct KindTest {
    /// One looks for a small excess, one for a large one.
    rejecting: [BettingDetector; 2],
    passing: f64,
    /// Passing test over all steps.
    overall: f64,
    excess: RateExcess,
    old_seen: RateSample,
    recent: (f64, f64),
}

/// Bad outcomes of the new version beyond those that it would have at the rate of both versions, summed over readings.
///
/// A stall of a host or of a server machine makes both versions bad in the same reading. The passing test measures
/// against the past rate of the old version and takes that for a fault of the new one; this comparison does not.
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
    /// Outcomes that the new version should have had by the split of the other routes.
    expected: f64,
    expected_until: u64,
    kinds: [KindTest; 2],
}

/// Tests of all rising versions of one plan; in memory of the planner only.
///
/// A planner that takes over reads the cumulative counts as its first block, so nothing counted is lost to the
/// rejecting test; the passing test starts at zero.
#[derive(Debug, Clone)]
pub struct EvidenceEvaluator {
    old: Option<VersionId>,
    tests: BTreeMap<SampleKey, RouteTests>,
    step: u64,
    settled_at: Option<MonoTime>,
    splits: BTreeMap<VersionId, (u64, u64)>,
    rejection: Option<(VersionId, String)>,
    settle_time: Duration,
}

impl EvidenceEvaluator {
    /// A judge of the rising versions of a move.
    pub fn new(traffic: &TrafficMove, routes: &[RouteId]) -> Self {
        let rising = traffic.rising();
        let pairs =
            rising.iter().flat_map(|it| routes.iter().map(|that| (it.clone(), that.clone())));
        Self {
            old: traffic.old_version(),
            tests: pairs.map(|it| (it, RouteTests::default())).collect(),
            step: 0,
            settled_at: None,
            splits: BTreeMap::new(),
            rejection: None,
            settle_time: RolloutTiming::default().settle_time,
        }
    }

    /// The same judge with other times.
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

    /// Takes the totals of [`crate::rollout::EvidenceLedger`] as they stood at `now`.
    pub fn update(&mut self, totals: &BTreeMap<SampleKey, OutcomeCounts>, now: MonoTime) {
        self.expect_outcomes(totals);
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

    /// Counts what each route of the new version should have had, by the split over all routes.
    fn expect_outcomes(&mut self, totals: &BTreeMap<SampleKey, OutcomeCounts>) {
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
            let (new_before, old_before) = self.splits.get(&key.0).copied().unwrap_or_default();
            let odds = new.saturating_sub(new_before) as f64
                / old.saturating_sub(old_before).max(1) as f64;
            let until = old_counts(totals, self.old.as_ref(), &key.1).total();
            tests.expected += odds * until.saturating_sub(tests.expected_until) as f64;
            tests.expected_until = until;
        }
        self.splits = sums;
    }

    /// Whether the new versions have any outcome.
    pub fn is_exercised(&self) -> bool {
        self.splits.values().all(|it| it.0 > 0)
    }

    /// The step whose passing tests run.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Version that was rejected, with the reason.
    pub fn rejection(&self) -> Option<&(VersionId, String)> {
        self.rejection.as_ref()
    }

    /// Every rising version and route with its standing.
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
            let is_silent = self.expected < SILENT_SAMPLES;
            return if is_silent {
                RouteAssessment::NoTraffic
            } else {
                RouteAssessment::NotExercised
            };
        }
        let samples = self.new_seen.total().saturating_sub(self.step_start);
        let passes = |it: &KindTest| it.passing >= -MISS_RATE.ln();
        let doubts = KINDS.iter().zip(&self.kinds).any(|(kind, test)| test.is_doubtful(kind));
        if samples >= MIN_SAMPLES && self.kinds.iter().all(passes) {
            RouteAssessment::Passed
        } else if doubts || self.new_seen.failed == self.new_seen.total() {
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
        self.hits > DOUBT_DEVIATIONS * self.variance.sqrt()
    }
}

impl KindTest {
    fn is_doubtful(&self, kind: &OutcomeKind) -> bool {
        self.passing.min(self.overall) < kind.doubt && self.excess.is_significant()
    }

    fn update(&mut self, kind: &OutcomeKind, new: RateSample, old: RateSample) {
        let old_rate = self.old_seen.estimate(kind.prior);
        let recent = (self.recent.0 + 10.0 * old_rate) / (self.recent.1 + 10.0);
        let guesses = [recent.max(old_rate + 3.0 * kind.tolerated), recent.max(0.5)];
        for (detector, guess) in self.rejecting.iter_mut().zip(guesses) {
            let side = HypothesisSide::AtMost;
            detector.update(if old.total == 0 {
                let limit = (self.old_seen.upper_bound() + IDLE_GAP).min(0.95);
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
        // Keeps about the last 200 outcomes, so that a late change shows.
        let keep = (1.0 - new.total as f64 / 200.0).max(0.0);
        self.recent.0 = self.recent.0 * keep + new.hits as f64;
        self.recent.1 = self.recent.1 * keep + new.total as f64;
    }
}

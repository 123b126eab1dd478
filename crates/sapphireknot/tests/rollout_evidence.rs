//! Rollout evidence, and the error rates of the tests on it.

use std::{collections::BTreeMap, fmt::Debug, str::FromStr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    config::TrafficPlan,
    ids::{HostId, IncarnationId, RouteId, VersionId},
    rollout::{
        EvidenceEvaluator, EvidenceLedger, LocalTrip, OutcomeCounts, RouteAssessment, SampleKey,
        TrafficMove,
    },
    time::{MonoTime, WallTime},
    units::TrafficShare,
};

/// Parses a valid identifier.
fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("valid identifier")
}

fn traffic() -> TrafficMove {
    let plan = TrafficPlan {
        id: id("move"),
        target: BTreeMap::from([(id("new"), TrafficShare::WHOLE)]),
        deadline: WallTime(600_000),
        cap: TrafficShare::percent(20),
    };
    TrafficMove::new(&plan, &BTreeMap::from([(id("old"), TrafficShare::WHOLE)]))
}

fn key(version: &str) -> SampleKey {
    (id(version), id("reports"))
}

fn counts(succeeded: u64, failed: u64) -> BTreeMap<SampleKey, OutcomeCounts> {
    BTreeMap::from([(key("new"), OutcomeCounts { succeeded, failed, slow: 0 })])
}

/// Guards against counts that are lost or added twice when reports arrive twice, late or after a restart.
#[test]
fn merge_counts_once() {
    let (versions, routes) = ([id("new")], [id("reports")]);
    let mut ledger = EvidenceLedger::new(&versions, &routes);
    let host: HostId = id("a");
    let reports =
        [(1, 10, 1), (1, 30, 2), (1, 20, 1), (1, 30, 2), (2, 5, 0), (1, 40, 9), (2, 5, 0)];
    for (incarnation, succeeded, failed) in reports {
        let counts = counts(succeeded, failed);
        ledger.merge(&host, IncarnationId(incarnation), MonoTime(incarnation), &counts);
    }
    let expected = OutcomeCounts { succeeded: 35, failed: 2, slow: 0 };
    assert_eq!(ledger.totals(), BTreeMap::from([(key("new"), expected)]));
}

/// Guards against a delayed report that makes old counts appear fresh.
#[test]
fn late_report_is_stale() {
    let mut ledger = EvidenceLedger::new(&[id("new")], &[id("reports")]);
    let host: HostId = id("a");
    ledger.merge(&host, IncarnationId(1), MonoTime(9_000_000), &counts(2, 0));
    ledger.merge(&host, IncarnationId(1), MonoTime(1_000_000), &counts(1, 0));
    let fresh = |now| {
        ledger.fresh_hosts(std::slice::from_ref(&host), MonoTime(now), Duration::from_secs(2))
    };
    assert_eq!((fresh(11_000_000), fresh(11_000_001)), (1, 0));
}

/// Rates of failed and of slow requests of the old and the new version.
struct Rates {
    old: (f64, f64),
    new: (f64, f64),
}

/// Outcomes of one simulated rollout.
struct Trial {
    rejected_at: Option<u64>,
    passed_at: Option<u64>,
}

/// Simulates a rollout. Both sequential tests are read after the counts of every second, because their error rates must
/// hold under continuous monitoring.
fn run_trial(rng: &mut ChaCha8Rng, rates: &Rates, new_rate: u64, seconds: u64) -> Trial {
    let route: RouteId = id("reports");
    let mut evaluator = EvidenceEvaluator::new(&traffic(), &[route]);
    evaluator.enter_step(1, MonoTime(0));
    let mut totals: BTreeMap<SampleKey, OutcomeCounts> = BTreeMap::new();
    let mut trial = Trial { rejected_at: None, passed_at: None };
    for second in 1..=seconds {
        for (name, count, rate) in [("new", new_rate, rates.new), ("old", 60 - new_rate, rates.old)]
        {
            let entry = totals.entry(key(name)).or_default();
            for _ in 0..count {
                if rng.random_bool(rate.0) {
                    entry.failed += 1;
                } else if rng.random_bool(rate.1) {
                    entry.slow += 1;
                } else {
                    entry.succeeded += 1;
                }
            }
        }
        evaluator.update(&totals, MonoTime(second * 1_000_000));
        if evaluator.rejection().is_some() {
            trial.rejected_at.get_or_insert(second);
        }
        if evaluator.assessments()[0].1 == RouteAssessment::Passed {
            trial.passed_at.get_or_insert(second);
        }
    }
    trial
}

fn run_trials(rates: &Rates, new_rate: u64, seconds: u64) -> (usize, usize) {
    let trials: Vec<_> = (0..200)
        .map(|seed| run_trial(&mut ChaCha8Rng::seed_from_u64(seed), rates, new_rate, seconds))
        .collect();
    let rejected = trials.iter().filter(|it| it.rejected_at.is_some()).count();
    (rejected, trials.iter().filter(|it| it.passed_at.is_some()).count())
}

/// Guards against a false-alarm rate above the documented 1% for versions within the tolerated difference.
#[test]
fn false_alarms_are_rare() {
    let cases =
        [((0.005, 0.05), (0.005, 0.05)), ((0.0, 0.05), (0.01, 0.1)), ((0.2, 0.4), (0.21, 0.45))];
    for (old, new) in cases {
        for new_rate in [1, 30] {
            let (rejected, _) = run_trials(&Rates { old, new }, new_rate, 100);
            assert!(
                rejected <= 2,
                "{rejected} of 200 rejected, old {old:?}, new {new:?}, {new_rate}/s"
            );
        }
    }
}

/// Guards against a miss rate above the documented 1% for versions that are worse by the harmful difference.
#[test]
fn misses_are_rare() {
    for new in [(0.055, 0.05), (0.005, 0.2), (0.3, 0.05)] {
        for new_rate in [1, 30] {
            let rates = Rates { old: (0.005, 0.05), new };
            let (_, passed) = run_trials(&rates, new_rate, 100);
            assert!(passed <= 2, "{passed} of 200 passed, new {new:?}, {new_rate}/s");
        }
    }
}

/// Guards against sequential tests that do not pass good versions or do not reject bad ones in time.
#[test]
fn tests_have_power() {
    let good = Rates { old: (0.005, 0.05), new: (0.005, 0.05) };
    assert!(run_trials(&good, 12, 60).1 >= 198);
    for new in [(0.1, 0.05), (0.005, 0.3)] {
        let bad = Rates { old: (0.005, 0.05), new };
        let (rejected, _) = run_trials(&bad, 12, 60);
        assert!(rejected >= 198, "{rejected} of 200 rejected, new {new:?}");
    }
}

/// Returns the number of requests to the new version from its fault to the trip, or `None` if the host does not trip.
///
/// The first `good` requests to the new version are served without the fault.
fn trip_after(seed: u64, share: f64, good: u32, failure_rate: f64, slow_rate: f64) -> Option<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let route: RouteId = id("reports");
    let (old, new): (VersionId, VersionId) = (id("old"), id("new"));
    let mut trip = LocalTrip::new(&traffic(), std::slice::from_ref(&route), 12);
    // At larger shares, the host has recorded requests to the old version in earlier steps.
    for _ in 0..if share > 0.1 { 300 } else { 0 } {
        trip.record(&old, &route, !rng.random_bool(0.005), rng.random_range(10_000..30_000));
    }
    let (mut sent, mut sent_faulty) = (0, 0);
    while sent_faulty < 400 {
        let is_new = rng.random_bool(share);
        let is_faulty = is_new && sent >= good;
        let fails = rng.random_bool(if is_faulty { failure_rate } else { 0.005 });
        let latency = rng.random_range(10_000..30_000)
            * if is_faulty && rng.random_bool(slow_rate) { 10 } else { 1 };
        trip.record(if is_new { &new } else { &old }, &route, !fails, latency);
        (sent, sent_faulty) = (sent + u32::from(is_new), sent_faulty + u32::from(is_faulty));
        if trip.tripped().is_some() {
            return Some(sent_faulty);
        }
    }
    None
}

/// Guards against a host that keeps sending requests to a version that fails or slows down nearly all of them.
#[test]
fn trip_within_few_requests() {
    for seed in 0..50 {
        for (share, good) in [(0.01, 0), (0.5, 200), (0.95, 500)] {
            let failed = trip_after(seed, share, good, 1.0, 0.0);
            assert!(failed.is_some_and(|it| it <= 12), "seed {seed}, share {share}: {failed:?}");
            let slow = trip_after(seed, share, good, 0.005, 1.0);
            assert!(slow.is_some_and(|it| it <= 40), "seed {seed}, share {share}: {slow:?}");
        }
    }
}

/// Guards against a host that trips on a good version.
#[test]
fn good_versions_do_not_trip() {
    for seed in 0..100 {
        for share in [0.01, 0.5, 0.95] {
            assert_eq!(trip_after(seed, share, 0, 0.005, 0.0), None, "seed {seed}, share {share}");
        }
    }
}

/// Guards against a good version that is held because one stall of the machine slowed down both versions.
#[test]
fn stall_of_both_versions() {
    let route: RouteId = id("reports");
    let mut evaluator = EvidenceEvaluator::new(&traffic(), &[route]);
    evaluator.enter_step(1, MonoTime(0));
    let mut totals: BTreeMap<SampleKey, OutcomeCounts> = BTreeMap::new();
    for second in 1..=12 {
        let is_stalled = second == 8;
        for (name, count) in [("new", 20), ("old", 10)] {
            let entry = totals.entry(key(name)).or_default();
            entry.slow += if is_stalled { count } else { 0 };
            entry.succeeded += if is_stalled { 0 } else { count };
        }
        evaluator.update(&totals, MonoTime(second * 1_000_000));
        assert_ne!(evaluator.assessments()[0].1, RouteAssessment::Adverse, "after {second} s");
    }
    assert!(evaluator.rejection().is_none());
}

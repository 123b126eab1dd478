//! New versions with slow responses.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::VersionId,
    picker::ServerOutcome,
    steering::{
        core::{AttemptReport, FleetChange, SteeringCore},
        fleet::ServerRecord,
        query::ChosenServer,
        slowness::LatencyBaseline,
        version::{RolloutOrder, RolloutPhase, RolloutRecord},
    },
    time::MonoTime,
};

use crate::support::{TARGET_MS, at, core, host, id, plan, query, server};

/// Requests until the end of the canary phase: 83 a second for 14 s.
const REQUESTS: u64 = 1_162;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

fn record() -> RolloutRecord {
    let (service, phase) = (id("reports"), RolloutPhase::Running);
    let (stable, target) = (id("v1"), id("v2"));
    RolloutRecord { service, stable, target, order: 7, phase, age: None }
}

/// A core with servers of both versions and a running rollout of 16 s.
fn rolling_core() -> SteeringCore {
    let mut changes =
        vec![FleetChange::Plan(plan(1).into()), FleetChange::Host(host("h1", "east"))];
    for version in ["v1", "v2"] {
        for idx in 0..12 {
            let record = server(&format!("{version}-{idx}"), "east");
            changes.push(FleetChange::Server(ServerRecord { version: id(version), ..record }));
        }
    }
    let (service, target, span) = (id("reports"), id("v2"), Duration::from_secs(16));
    let order = RolloutOrder { service, target, span, revision: 7 };
    changes.push(FleetChange::Order(order));
    changes.push(FleetChange::Rollout(record(), 8));
    let mut core = core("east");
    core.apply_changes(changes, at(0));
    core
}

/// Simulates the canary phase and the decision at its end. `respond` returns the outcome of a request and its time in
/// milliseconds. Returns whether the version is found bad.
fn simulate<F>(seed: u64, respond: F) -> bool
where
    F: Fn(bool, &mut StdRng) -> (ServerOutcome, u64),
{
    let mut rng = StdRng::seed_from_u64(seed);
    let mut core = rolling_core();
    let mut running: Vec<(MonoTime, ChosenServer, ServerOutcome, u64)> = Vec::new();
    for step in 0..REQUESTS {
        let now = at(step * 14_000 / REQUESTS);
        while let Some(idx) = running.iter().position(|it| it.0 <= now) {
            let (_, chosen, outcome, millis) = running.swap_remove(idx);
            let elapsed = Duration::from_millis(millis);
            let (chosen, target_ms) = (&chosen, TARGET_MS);
            let report = AttemptReport { chosen, outcome, load: None, target_ms, elapsed };
            if core.record_attempt(report, now) {
                return true;
            }
        }
        let Ok(chosen) = core.choose(&id("reports"), query(None, now), now, &mut rng) else {
            continue;
        };
        let is_new = chosen.record.version == id::<VersionId>("v2");
        let (outcome, millis) = respond(is_new, &mut rng);
        running.push((now.after(Duration::from_millis(millis)), chosen, outcome, millis));
    }
    let settled = RolloutRecord { age: Some(Duration::from_secs(14)), ..record() };
    let settled = RolloutRecord { phase: RolloutPhase::Settled, ..settled };
    core.apply_changes(vec![FleetChange::Rollout(settled, 9)], at(14_000));
    let due = core.due_rollouts(at(15_700));
    due.first().is_some_and(|it| it.record.phase == RolloutPhase::Reverted)
}

/// Response time in milliseconds. Servers of the old version know most objects, those of the new version few.
fn usual_time(is_new: bool, rng: &mut StdRng) -> u64 {
    let is_known = rng.random_bool(if is_new { 0.2 } else { 0.92 });
    if is_known { rng.random_range(80..150) } else { rng.random_range(280..480) }
}

/// Part of the simulated rollouts in which the version is found bad.
fn detection_rate<F>(respond: F) -> f64
where
    F: Fn(bool, &mut StdRng) -> (ServerOutcome, u64),
{
    let count = SEEDS.filter(|seed| simulate(*seed, &respond)).count();
    count as f64 / SEEDS.count() as f64
}

/// A good version must not be reverted because its servers do not know the objects yet, while those of the old version
/// know all of them.
#[test]
fn known_objects() {
    let rate = detection_rate(|is_new, rng| {
        let millis = if is_new { usual_time(true, rng) } else { rng.random_range(60..150) };
        (ServerOutcome::Succeeded, millis)
    });
    assert!(rate == 0.0, "{rate}");
}

/// A slow version must be detected although a few responses of the old one were slow as well.
#[test]
fn slow_exceptions() {
    let rate = detection_rate(|is_new, rng| {
        let is_exception = !is_new && rng.random_bool(0.02);
        let slower = if is_new && rng.random_bool(0.5) { 2 } else { 1 };
        let is_known = rng.random_bool(if is_new { 0.2 } else { 0.92 });
        let millis = if is_known { rng.random_range(60..150) } else { rng.random_range(200..340) };
        (ServerOutcome::Succeeded, if is_exception { 700 } else { millis * slower })
    });
    assert!(rate >= 0.95, "{rate}");
}

/// A version that takes twice as long for half of its requests must be detected, although this is less than three
/// target latencies.
#[test]
fn half_of_requests_slow() {
    let rate = detection_rate(|is_new, rng| {
        let slower = if is_new && rng.random_bool(0.5) { 2 } else { 1 };
        (ServerOutcome::Succeeded, usual_time(is_new, rng) * slower)
    });
    assert!(rate >= 0.95, "{rate}");
}

/// Slow requests that their callers cancel get no response; a version with many of them must be detected.
#[test]
fn cancelled_slow_requests() {
    let rate = detection_rate(|is_new, rng| {
        let is_slow = is_new && rng.random_bool(0.2);
        let outcome = if is_slow { ServerOutcome::Cancelled } else { ServerOutcome::Succeeded };
        (outcome, if is_slow { 1_300 } else { usual_time(is_new, rng) })
    });
    assert!(rate >= 0.95, "{rate}");
}

/// A good version must not be reverted because its servers do not know the objects yet.
#[test]
fn unknown_objects() {
    let rate = detection_rate(|is_new, rng| (ServerOutcome::Succeeded, usual_time(is_new, rng)));
    assert!(rate == 0.0, "{rate}");
}

/// A good version must not be reverted because its servers are slow in the first seconds after their start.
#[test]
fn slow_start() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut core = rolling_core();
    for step in 0..400 {
        let now = at(step * 10);
        let Ok(chosen) = core.choose(&id("reports"), query(None, now), now, &mut rng) else {
            continue;
        };
        let is_new = chosen.record.version == id::<VersionId>("v2");
        let elapsed = Duration::from_millis(if is_new { 800 } else { 100 });
        let (outcome, target_ms) = (ServerOutcome::Succeeded, TARGET_MS);
        let chosen = &chosen;
        let report = AttemptReport { chosen, outcome, load: None, target_ms, elapsed };
        assert!(!core.record_attempt(report, now), "{now:?}");
    }
}

/// A good version must not be reverted because callers cancel requests early.
#[test]
fn early_cancellations() {
    let rate = detection_rate(|is_new, rng| {
        let is_cancelled = rng.random_bool(0.3);
        let outcome =
            if is_cancelled { ServerOutcome::Cancelled } else { ServerOutcome::Succeeded };
        (outcome, if is_cancelled { 100 } else { usual_time(is_new, rng) })
    });
    assert!(rate == 0.0, "{rate}");
}

/// After an overload, or a time with fast responses, the baseline must return to the usual latency within 100
/// responses.
#[test]
fn baseline_recovery() {
    for earlier in [0.001, 3.0] {
        let mut baseline = LatencyBaseline::default();
        for time in std::iter::repeat_n(earlier, 5_000).chain(std::iter::repeat_n(0.5, 100)) {
            baseline.record(time);
        }
        assert!(baseline.is_slow(3.0), "after {earlier}");
        assert!(!baseline.is_slow(2.0), "after {earlier}");
    }
}

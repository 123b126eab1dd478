//! New versions whose responses are slow.

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

/// A host with servers of both versions, while a rollout of 16 s runs.
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

/// Plays the canary phase and the decision at the end; `respond` says of a version and the source of chance how a request
/// ends and after how many milliseconds. Returns whether the version is found bad.
fn play<F>(seed: u64, respond: F) -> bool
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

/// Time of a response in milliseconds: most objects are known at the servers of the old version, few at those of the new.
fn usual_time(is_new: bool, rng: &mut StdRng) -> u64 {
    let is_known = rng.random_bool(if is_new { 0.2 } else { 0.92 });
    if is_known { rng.random_range(80..150) } else { rng.random_range(280..480) }
}

/// Part of the rollouts that are found bad.
fn found<F>(respond: F) -> f64
where
    F: Fn(bool, &mut StdRng) -> (ServerOutcome, u64),
{
    let count = SEEDS.filter(|seed| play(*seed, &respond)).count();
    count as f64 / SEEDS.count() as f64
}

/// Guards against the loss of a good version whose servers do not know the objects yet, while those of the old version
/// know them all.
#[test]
fn known_objects() {
    let part = found(|is_new, rng| {
        let millis = if is_new { usual_time(true, rng) } else { rng.random_range(60..150) };
        (ServerOutcome::Succeeded, millis)
    });
    assert!(part == 0.0, "{part}");
}

/// Guards against a slow version that is overlooked as some responses of the old one were slow too.
#[test]
fn slow_exceptions() {
    let part = found(|is_new, rng| {
        let is_exception = !is_new && rng.random_bool(0.02);
        let slower = if is_new && rng.random_bool(0.5) { 2 } else { 1 };
        let is_known = rng.random_bool(if is_new { 0.2 } else { 0.92 });
        let millis = if is_known { rng.random_range(60..150) } else { rng.random_range(200..340) };
        (ServerOutcome::Succeeded, if is_exception { 700 } else { millis * slower })
    });
    assert!(part >= 0.95, "{part}");
}

/// Guards against a version that is twice as slow for half of its requests, which is still less than three target
/// latencies.
#[test]
fn twice_slow() {
    let part = found(|is_new, rng| {
        let slower = if is_new && rng.random_bool(0.5) { 2 } else { 1 };
        (ServerOutcome::Succeeded, usual_time(is_new, rng) * slower)
    });
    assert!(part >= 0.95, "{part}");
}

/// Guards against a version whose slow requests end when their callers give up, which is no response at all.
#[test]
fn callers_give_up() {
    let part = found(|is_new, rng| {
        let is_slow = is_new && rng.random_bool(0.2);
        let outcome = if is_slow { ServerOutcome::Cancelled } else { ServerOutcome::Succeeded };
        (outcome, if is_slow { 1_300 } else { usual_time(is_new, rng) })
    });
    assert!(part >= 0.95, "{part}");
}

/// Guards against the loss of a good version whose servers do not know the objects yet.
#[test]
fn unknown_objects() {
    let part = found(|is_new, rng| (ServerOutcome::Succeeded, usual_time(is_new, rng)));
    assert!(part == 0.0, "{part}");
}

/// Guards against the loss of a good version whose servers are slow for the first seconds after their start.
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

/// Guards against the loss of a good version when callers leave early.
#[test]
fn early_leavers() {
    let part = found(|is_new, rng| {
        let leaves = rng.random_bool(0.3);
        let outcome = if leaves { ServerOutcome::Cancelled } else { ServerOutcome::Succeeded };
        (outcome, if leaves { 100 } else { usual_time(is_new, rng) })
    });
    assert!(part == 0.0, "{part}");
}

/// Guards against limits that keep the response times of an overload, or of a time with fast responses, for long.
#[test]
fn former_times() {
    for former in [0.001, 3.0] {
        let mut speed = LatencyBaseline::default();
        for time in std::iter::repeat_n(former, 5_000).chain(std::iter::repeat_n(0.5, 100)) {
            speed.record(time);
        }
        assert!(speed.is_slow(3.0), "after {former}");
        assert!(!speed.is_slow(2.0), "after {former}");
    }
}

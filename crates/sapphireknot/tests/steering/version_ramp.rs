//! Versions while operators bring in a new one.

use std::time::Duration;

use sapphireknot::{
    ids::ServiceId,
    steering::{
        evidence::OutcomeQuality,
        version::{RolloutOrder, RolloutPhase, RolloutRecord, VersionTable},
    },
    time::MonoTime,
};

use crate::support::{at, id};

fn reports() -> ServiceId {
    id("reports")
}

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder { service: reports(), target: id("v2"), span: Duration::from_secs(16), revision }
}

fn record(phase: RolloutPhase) -> RolloutRecord {
    RolloutRecord { service: reports(), stable: id("v1"), target: id("v2"), order: 7, phase }
}

/// A table whose servers run v1, and v2 alongside.
fn table() -> VersionTable {
    let mut table = VersionTable::default();
    table.set_servers(&reports(), [id("v1"), id("v1")].iter());
    table.set_servers(&reports(), [id("v1"), id("v1"), id("v2"), id("v2"), id("v2")].iter());
    table
}

fn running() -> VersionTable {
    let mut table = table();
    table.add_order(order(7), at(0));
    table.add_record(record(RolloutPhase::Running), 8);
    table
}

fn quality(is_bad: bool) -> OutcomeQuality {
    if is_bad { OutcomeQuality::Failed } else { OutcomeQuality::Good }
}

fn share(table: &VersionTable, now: MonoTime) -> f64 {
    let draws = (0..1_000).map(|it| f64::from(it) / 1_000.0);
    let new = draws.filter(|it| table.choose(&reports(), *it, now) == Some(id("v2")));
    new.count() as f64 / 1_000.0
}

/// Servers of a new version start before their order is seen; no configuration allows requests to them yet.
#[test]
fn no_order() {
    assert_eq!(share(&table(), at(0)), 0.0);
    let mut table = table();
    table.add_order(order(7), at(0));
    assert_eq!(share(&table, at(100)), 0.0, "the record is not written yet");
    assert_eq!(table.due_changes(at(100))[0].record, record(RolloutPhase::Running));
}

/// A bad version that shows itself at a tenth of the time of the rollout may have had only a small part of the requests.
#[test]
fn small_exposure() {
    let table = running();
    let steps = (0..70).map(|it| share(&table, at(it * 100)));
    let part: f64 = steps.sum::<f64>() / 160.0;
    assert!(part < 0.05, "{part} of all requests of the rollout before 7 s");
}

/// A good version that is not completed in time is taken back by the operators.
#[test]
fn good_completes() {
    let mut table = running();
    for step in 0..1_000 {
        let version = id(if step % 5 == 0 { "v2" } else { "v1" });
        assert!(!table.record_outcome(&reports(), &version, quality(step % 100 == 0)));
    }
    let done = (0..160).map(|it| at(it * 100)).find(|it| !table.due_changes(*it).is_empty());
    let done = done.expect("completed in time");
    assert!(done <= at(14_000));
    assert_eq!(table.due_changes(done)[0].record.phase, RolloutPhase::Completed);
    assert_eq!(share(&table, MonoTime(done.0 - 1_500_000)), 1.0, "the old version is idle by then");
}

/// A version that fails half of its requests must be reverted after a few of them.
#[test]
fn bad_reverts() {
    let mut table = running();
    let mut failures = 0;
    let reverted = (0..100).any(|step| {
        table.record_outcome(&reports(), &id("v1"), quality(false));
        failures += usize::from(step % 2 == 0);
        table.record_outcome(&reports(), &id("v2"), quality(step % 2 == 0))
    });
    assert!(reverted);
    assert!(failures <= 8, "{failures} failures before");
    assert_eq!(share(&table, at(1_000)), 0.0, "at once on this host");
    let change = &table.due_changes(at(1_000))[0];
    assert_eq!((change.record.phase, change.replaces), (RolloutPhase::Reverted, 8));
}

/// Failures that both versions have come from elsewhere; reverting a good version for them misses the deadline.
#[test]
fn common_failures() {
    let mut table = running();
    let is_bad = |step: u32| step.is_multiple_of(3);
    let bad = (0..600).any(|step| {
        let version = id(if step % 2 == 0 { "v1" } else { "v2" });
        table.record_outcome(&reports(), &version, quality(is_bad(step / 2)))
    });
    assert!(!bad);
}

/// After the end of a rollout its loser gets nothing, also on hosts that start later.
#[test]
fn ended_rollouts() {
    for (phase, part) in [(RolloutPhase::Completed, 1.0), (RolloutPhase::Reverted, 0.0)] {
        let mut table = table();
        table.add_order(order(7), at(0));
        table.add_record(record(phase), 9);
        assert_eq!(share(&table, at(100)), part);
        assert!(table.due_changes(at(60_000)).is_empty());
    }
}

/// A second order for the same service starts anew, and an answer that comes late does not bring back an old state.
#[test]
fn second_order() {
    let mut table = running();
    table.add_record(record(RolloutPhase::Reverted), 12);
    table.add_record(record(RolloutPhase::Running), 8);
    table.add_order(RolloutOrder { target: id("v3"), ..order(20) }, at(5_000));
    let change = &table.due_changes(at(5_100))[0];
    assert_eq!(change.record.target, id("v3"));
    assert_eq!(change.record.stable, id("v1"));
    assert_eq!(change.replaces, 12);
}

/// Guards against a host that started during a rollout, or was without the store at its beginning, and still sends
/// requests to the old version when another host completes the rollout, upon which the old servers stop at once.
#[test]
fn late_host_leaves_old_version() {
    let first = running();
    let mut late = table();
    late.add_order(order(7), at(6_000));
    late.add_record(record(RolloutPhase::Running), 8);
    let done = (0..160).map(|it| at(it * 100)).find(|it| !first.due_changes(*it).is_empty());
    let done = done.expect("completed in time");
    assert_eq!(share(&first, done), 1.0);
    assert_eq!(share(&late, done), 1.0, "share of the new version on the late host");
}

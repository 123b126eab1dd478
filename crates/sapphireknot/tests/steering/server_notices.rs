//! Notices that servers send in their responses.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::ServerId,
    steering::{
        core::{FleetChange, SteeringCore},
        fleet::ServerRecord,
    },
    time::MonoTime,
};

use crate::support::{at, core, id, plan, query, server};

fn started(record: &ServerRecord, started: u64) -> FleetChange {
    FleetChange::Server(ServerRecord { started, ..record.clone() })
}

/// A core with one server, whose start is 1.
fn small_core() -> (SteeringCore, ServerRecord) {
    let record = server("s1", "east");
    let mut core = core("east");
    core.apply_changes(vec![FleetChange::Plan(plan(1).into()), started(&record, 1)], at(0));
    (core, record)
}

/// Whether a request at `now` is sent to the server.
fn is_used(core: &mut SteeringCore, now: MonoTime) -> bool {
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = core.choose(&id("reports"), query(None, now), now, &mut rng);
    chosen.inspect(|it| core.withdraw_choice(it)).is_ok()
}

/// A registration of the same start must not revoke the notice of a server that is leaving, and the notice must not
/// apply to a later start.
#[test]
fn leaving_notice() {
    let (mut core, record) = small_core();
    assert!(is_used(&mut core, at(0)));
    assert!(core.record_leaving(&record.id, 1, at(100)));
    assert!(!core.record_leaving(&record.id, 1, at(200)), "a repeated notice counts as new");
    assert!(!is_used(&mut core, at(200)));
    core.apply_changes(vec![started(&record, 1)], at(300));
    assert!(!is_used(&mut core, at(300)), "still registered as ready");
    core.apply_changes(vec![FleetChange::ServerGone(record.id.clone())], at(400));
    core.apply_changes(vec![started(&record, 1)], at(60_000));
    assert!(!is_used(&mut core, at(60_000)), "registered again");
    core.apply_changes(vec![started(&record, 2)], at(60_100));
    assert!(is_used(&mut core, at(60_100)), "started again");
    core.record_leaving(&record.id, 1, at(60_200));
    assert!(is_used(&mut core, at(60_200)), "a late notice of the earlier start");
}

/// A shorter back-off must not end a longer one, nor may a registration of the same start.
#[test]
fn longest_backoff() {
    let (mut core, record) = small_core();
    core.record_backoff(&record, at(5_000), at(0));
    core.record_backoff(&record, at(2_000), at(100));
    core.apply_changes(vec![started(&record, 1)], at(200));
    assert!(!is_used(&mut core, at(4_900)));
    assert_eq!(core.next_backoff_end(&id("reports"), at(4_900)), Some(at(5_000)));
    assert!(is_used(&mut core, at(5_000)));
    core.record_backoff(&record, at(9_000), at(5_000));
    core.apply_changes(vec![started(&record, 2)], at(5_100));
    assert!(is_used(&mut core, at(5_100)), "started again");
}

/// No order of notices, registrations and restarts may let a request through; the oracle keeps the latest notices of
/// each start.
#[test]
fn random_order() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut core, record) = small_core();
        let name: ServerId = record.id.clone();
        let (mut start, mut is_leaving, mut backoff_end) = (1, false, at(0));
        for step in 1..200 {
            let now = at(step * 50);
            match rng.random_range(0..8) {
                0 => {
                    is_leaving = true;
                    core.record_leaving(&name, start, now);
                }
                1 | 2 => {
                    let until = at(step * 50 + rng.random_range(0..2_000));
                    backoff_end = backoff_end.max(until);
                    let record = ServerRecord { started: start, ..record.clone() };
                    core.record_backoff(&record, until, now);
                }
                3 => {
                    (start, is_leaving, backoff_end) = (start + 1, false, at(0));
                    core.apply_changes(vec![started(&record, start)], now);
                }
                4 => drop(core.record_leaving(&name, start - 1, now)),
                5 => core.apply_changes(vec![FleetChange::ServerGone(name.clone())], now),
                _ => {}
            }
            core.apply_changes(vec![started(&record, start)], now);
            let expected = !is_leaving && now >= backoff_end;
            assert_eq!(is_used(&mut core, now), expected, "seed {seed}, step {step}");
        }
    }
}

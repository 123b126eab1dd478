//! Choice of a backend server.

use std::{collections::HashSet, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::{RegionId, ServerId},
    picker::ServerOutcome,
    steering::{
        choice::ServicePicker,
        fleet::ServerRecord,
        plan::RequestPriority,
        query::{ChoiceQuery, ChosenServer},
        rejection::{ChoiceError, RejectionCause},
        server_state::ServerLoad,
    },
    time::MonoTime,
};

use crate::support::{TARGET_MS, at, east, id, picker, query, server};

fn choose(picker: &ServicePicker, object: u64, now: MonoTime) -> Result<ChosenServer, ChoiceError> {
    picker.choose(&query(Some(object), now), now, &mut StdRng::seed_from_u64(object))
}

fn no_server(cause: RejectionCause) -> ChoiceError {
    ChoiceError::NoServer { cause, kept_in: None }
}

fn name(chosen: &ChosenServer) -> String {
    chosen.record.id.to_string()
}

/// Hosts must send an object to the same server, or several servers do the work of a first request.
#[test]
fn hosts_agree() {
    let (first, second) = (picker("east", &east(8)), picker("east", &east(8)));
    for object in 0..200 {
        let (a, b) = (choose(&first, object, at(1)), choose(&second, object, at(1)));
        assert_eq!(name(&a.unwrap()), name(&b.unwrap()));
    }
}

/// When a server leaves, only its own objects may move; other objects would be unknown to their new servers.
#[test]
fn stable_on_leave() {
    let (before, after) = (picker("east", &east(8)), picker("east", &east(7)));
    for object in 0..500 {
        let old = name(&choose(&before, object, at(1)).unwrap());
        let new = name(&choose(&after, object, at(1)).unwrap());
        assert!(old == new || old == "s7", "object {object} moved from {old} to {new}");
    }
}

/// Objects must be spread evenly over all servers.
#[test]
fn even_spread() {
    let picker = picker("east", &east(8));
    let mut counts = std::collections::HashMap::<String, u32>::new();
    for object in 0..4_000u64 {
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        *counts.entry(name(&choose(&picker, object, at(1)).unwrap())).or_default() += 1;
    }
    assert!(counts.values().all(|it| (350..650).contains(it)), "{counts:?}");
}

/// A full server must be skipped while another one has capacity.
#[test]
fn full_server() {
    let mut picker = picker("east", &east(4));
    let first = choose(&picker, 7, at(1)).unwrap();
    picker.record_load(&first.record.id, ServerLoad { running: 4, waiting: 12 }, at(2));
    let second = choose(&picker, 7, at(3)).unwrap();
    assert_ne!(name(&first), name(&second));
}

/// When all servers are full, a request must be rejected with a time to retry instead of lengthening the queues.
#[test]
fn all_full() {
    let mut picker = picker("east", &east(4));
    for record in east(4) {
        picker.record_load(&record.id, ServerLoad { running: 4, waiting: 12 }, at(2));
    }
    let rejection = choose(&picker, 7, at(3)).unwrap_err();
    assert!(
        matches!(rejection, ChoiceError::NoRoom { wait, .. } if wait > Duration::from_millis(10))
    );
}

/// A request of a higher priority must be accepted at a load at which one of a lower priority is rejected.
#[test]
fn priority_limits() {
    let mut picker = picker("east", &east(1));
    picker.record_load(&id("s0"), ServerLoad { running: 4, waiting: 6 }, at(2));
    let mut rng = StdRng::seed_from_u64(1);
    let urgent = ChoiceQuery { priority: RequestPriority(0), ..query(Some(7), at(3)) };
    assert!(picker.choose(&urgent, at(3), &mut rng).is_ok());
    assert!(picker.choose(&query(Some(7), at(3)), at(3), &mut rng).is_err());
}

/// A request that no server can finish in time must be rejected before it is sent.
#[test]
fn insufficient_time() {
    let picker = picker("east", &east(2));
    let late = ChoiceQuery { deadline: at(5), ..query(Some(7), at(1)) };
    let rejection = picker.choose(&late, at(1), &mut StdRng::seed_from_u64(1)).unwrap_err();
    assert!(matches!(rejection, ChoiceError::NoRoom { .. }));
}

/// A server that fails its requests must lose them to other servers although it reports no load.
#[test]
fn failing_server() {
    let mut picker = picker("east", &east(4));
    let first = choose(&picker, 7, at(1)).unwrap();
    for step in 0..10 {
        picker.record_sent(&first.record.id, at(step));
        let now = at(step + 1);
        let elapsed = Duration::from_millis(20);
        picker.record_end(&first, ServerOutcome::Failed, TARGET_MS, elapsed, now);
    }
    assert_ne!(name(&first), name(&choose(&picker, 7, at(12)).unwrap()));
    assert_eq!(
        name(&first),
        name(&choose(&picker, 7, at(30_000)).unwrap()),
        "not tried again later"
    );
}

/// A server that no longer responds must get no more requests, which would wait until their deadlines.
#[test]
fn silent_server() {
    let mut picker = picker("east", &east(4));
    let first = choose(&picker, 7, at(1)).unwrap();
    picker.record_sent(&first.record.id, at(1));
    assert!(!picker.is_silent(&first.record.id, at(200)));
    assert!(picker.is_silent(&first.record.id, at(1_500)));
    assert_ne!(name(&first), name(&choose(&picker, 7, at(1_500)).unwrap()));
}

/// Servers that are unreachable, draining, in an evacuated data centre or already tried for the request must not be
/// chosen.
#[test]
fn unusable_servers() {
    let mut records = east(3);
    records[0].is_draining = true;
    let mut picker = picker("east", &records);
    picker.pause(&id("s1"), at(0));
    for object in 0..50 {
        assert_eq!(name(&choose(&picker, object, at(1)).unwrap()), "s2");
    }
    let tried: [ServerId; 1] = [id("s2")];
    let again = ChoiceQuery { excluded: &tried, ..query(Some(1), at(1)) };
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(
        picker.choose(&again, at(1), &mut rng).unwrap_err(),
        no_server(RejectionCause::Tried)
    );
    picker.set_evacuated(HashSet::from([id("east-a")]));
    assert_eq!(choose(&picker, 1, at(1)).unwrap_err(), no_server(RejectionCause::Unusable));
}

/// Requests that are bound to a region must not be served elsewhere, even if their region has no server.
#[test]
fn bound_regions() {
    let picker = picker("east", &[server("s0", "east"), server("s1", "west")]);
    let homes: HashSet<RegionId> = HashSet::from([id("west")]);
    let mut rng = StdRng::seed_from_u64(1);
    for object in 0..50 {
        let bound = ChoiceQuery { homes: Some(&homes), ..query(Some(object), at(1)) };
        assert_eq!(name(&picker.choose(&bound, at(1), &mut rng).unwrap()), "s1");
    }
    let nowhere = HashSet::from([id("north")]);
    let bound = ChoiceQuery { homes: Some(&nowhere), ..query(Some(1), at(1)) };
    let rejection = picker.choose(&bound, at(1), &mut rng).unwrap_err();
    assert!(
        matches!(rejection, ChoiceError::NoServer { cause: RejectionCause::Homes, .. }),
        "{rejection:?}"
    );
}

fn west(count: usize) -> Vec<ServerRecord> {
    (0..count).map(|it| server(&format!("w{it}"), "west")).collect()
}

/// Chooses a server for a request for `object` that is bound to the region west.
fn choose_west(
    picker: &ServicePicker,
    object: u64,
    now: MonoTime,
) -> Result<ChosenServer, ChoiceError> {
    let homes: HashSet<RegionId> = HashSet::from([id("west")]);
    let query = ChoiceQuery { homes: Some(&homes), ..query(Some(object), now) };
    picker.choose(&query, now, &mut StdRng::seed_from_u64(object))
}

/// Hosts in and out of the homes must send the object of a bound request to the same server. A host that places it
/// outside the homes would rank none of their servers.
#[test]
fn bound_affinity() {
    let records = [east(4), west(4)].concat();
    let (far, near) = (picker("east", &records), picker("west", &records));
    for object in 0..50 {
        let there = choose_west(&far, object, at(1)).unwrap();
        let here = choose_west(&near, object, at(1)).unwrap();
        assert_eq!((there.rank, name(&there)), (0, name(&here)), "object {object}");
    }
}

/// At a host outside the homes, servers of the homes must not all have the limit for overflow, or requests are rejected
/// for which the first server has capacity.
#[test]
fn bound_load_limit() {
    let mut far = picker("east", &[east(4), west(4)].concat());
    for record in west(4) {
        far.record_load(&record.id, ServerLoad { running: 4, waiting: 0 }, at(100));
    }
    let rejected = (0..50).filter(|it| choose_west(&far, *it, at(100)).is_err()).count();
    assert_eq!(rejected, 0, "rejected requests of 50, at one request per slot");
}

/// Callers in a region without a server of the service need ranks elsewhere. If their objects counted as placed at
/// home, every server would have the limit for overflow and requests would be rejected although servers have capacity.
#[test]
fn region_without_servers() {
    let (mut far, near) = (picker("east", &west(4)), picker("west", &west(4)));
    for object in 0..50 {
        let (there, here) =
            (choose(&far, object, at(1)).unwrap(), choose(&near, object, at(1)).unwrap());
        assert_eq!((there.rank, name(&there)), (0, name(&here)), "object {object}");
    }
    for record in west(4) {
        far.record_load(&record.id, ServerLoad { running: 4, waiting: 0 }, at(100));
    }
    let rejected = (0..50).filter(|it| choose(&far, *it, at(100)).is_err()).count();
    assert_eq!(rejected, 0, "rejected requests of 50, at one request per slot");
}

/// A cold server must get single requests at a rate that holds over all hosts; more of them crash it.
#[test]
fn cold_server() {
    let cold = ServerRecord { warmup_left: Duration::from_secs(3), ..server("s0", "east") };
    let mut picker = picker("east", &[cold]);
    let mut sent = 0;
    for step in 0..2_000 {
        if let Ok(chosen) = choose(&picker, step, at(step)) {
            picker.record_sent(&id("s0"), at(step));
            let elapsed = Duration::from_millis(1);
            picker.record_end(&chosen, ServerOutcome::Succeeded, TARGET_MS, elapsed, at(step));
            sent += 1;
        }
    }
    assert!((20..=30).contains(&sent), "{sent} requests by a single host in two seconds");
    assert!(choose(&picker, 1, at(3_100)).is_ok(), "not used after its cold period");
}

/// Requests that their callers cancelled must count neither as failures of the server nor as its load.
#[test]
fn cancelled_requests() {
    let mut picker = picker("east", &east(1));
    let chosen = choose(&picker, 7, at(1)).unwrap();
    for step in 0..10 {
        picker.record_sent(&chosen.record.id, at(step));
        let elapsed = Duration::from_millis(5);
        picker.record_end(&chosen, ServerOutcome::Cancelled, TARGET_MS, elapsed, at(step));
    }
    let state = &picker.servers()[0];
    assert_eq!((state.in_flight(), state.failure_rate(at(20))), (0, 0.0));
}

/// A picker whose servers have reported `running` requests each until 50 ms.
fn picker_at_load(running: u32) -> ServicePicker {
    let mut picker = picker("east", &east(4));
    for step in 0..50 {
        for record in east(4) {
            picker.record_load(&record.id, ServerLoad { running, waiting: 0 }, at(step));
        }
    }
    picker
}

/// Overflow to servers that do not know the object occupies their slots for longer. It lengthens all queues while the
/// service is busy, but serves the request sooner while it is idle.
#[test]
fn busy_overflow() {
    for (running, overflows) in [(0, true), (3, false)] {
        let mut picker = picker_at_load(running);
        let first = choose(&picker, 7, at(50)).unwrap();
        picker.record_load(&first.record.id, ServerLoad { running: 4, waiting: 2 }, at(51));
        let chosen = choose(&picker, 7, at(52)).unwrap();
        assert_eq!(
            name(&chosen) != name(&first),
            overflows,
            "{running} running requests per server"
        );
    }
}

/// The work at servers of further ranks is measured: requests overflow to them if they know their objects, and wait
/// otherwise.
#[test]
fn measured_ranks() {
    for (elapsed_ms, overflows) in [(80, true), (600, false)] {
        let mut picker = picker_at_load(0);
        let full = ServerLoad { running: 4, waiting: 2 };
        let first = choose(&picker, 7, at(50)).unwrap();
        picker.record_load(&first.record.id, full, at(51));
        let second = choose(&picker, 7, at(52)).unwrap();
        for step in 0..100 {
            let now = at(53 + step);
            for (chosen, elapsed_ms) in [(&first, 100), (&second, elapsed_ms)] {
                let elapsed = Duration::from_millis(elapsed_ms);
                // The expected time equals the measured one, so that the server does not count as slow.
                let expected_ms = elapsed_ms as f64;
                let chosen = ChosenServer { expected_ms, ..chosen.clone() };
                picker.record_end(&chosen, ServerOutcome::Succeeded, TARGET_MS, elapsed, now);
            }
        }
        picker.record_load(&first.record.id, full, at(200));
        let chosen = choose(&picker, 7, at(201)).unwrap();
        assert_eq!(name(&chosen) != name(&first), overflows, "{elapsed_ms} ms at the next rank");
    }
}

/// In an overload every request is queued; the estimate of the work must still follow the responses.
#[test]
fn queued_samples() {
    let mut picker = picker("east", &east(1));
    let before = choose(&picker, 7, at(1)).unwrap();
    // Seven requests at four slots: the request waits for one round of work before its own.
    let queued = ChosenServer { load: 7.0, expected_ms: 600.0, ..before.clone() };
    for step in 0..200 {
        let elapsed = Duration::from_millis(600);
        picker.record_end(&queued, ServerOutcome::Succeeded, TARGET_MS, elapsed, at(2 + step));
    }
    let after = choose(&picker, 7, at(300)).unwrap();
    assert_eq!(before.work_ms, 100.0);
    assert!((290.0..=300.0).contains(&after.work_ms), "{after:?}");
}

//! Reasons for which no backend server accepts a request.

use std::{collections::HashSet, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::{RegionId, ServerId},
    steering::{
        choice::ServicePicker,
        fleet::ServerRecord,
        plan::RequestPriority,
        query::ChoiceQuery,
        rejection::{ChoiceError, NearestCandidate, RejectionCause},
        server_state::ServerLoad,
    },
    time::MonoTime,
};

use crate::support::{at, east, id, picker, query, server};

fn rejection(picker: &ServicePicker, query: &ChoiceQuery<'_>, now: MonoTime) -> ChoiceError {
    picker.choose(query, now, &mut StdRng::seed_from_u64(1)).expect_err("a rejection")
}

/// The number of candidates and the nearest one.
fn nearest(rejection: ChoiceError) -> (usize, NearestCandidate) {
    match rejection {
        ChoiceError::NoRoom { candidates, nearest, .. } => (candidates, *nearest),
        ChoiceError::NoServer { cause, .. } => panic!("no server: {cause:?}"),
    }
}

fn first_server(picker: &ServicePicker, object: u64) -> ServerId {
    let chosen = picker.choose(&query(Some(object), at(1)), at(1), &mut StdRng::seed_from_u64(1));
    chosen.expect("a server").record.id.clone()
}

/// A picker in which the first server of object 7 has `first` requests and the three others have `others`, with four
/// slots each.
fn loaded(first: u32, others: u32) -> (ServicePicker, ServerId) {
    let mut picker = picker("east", &east(4));
    let first_id = first_server(&picker, 7);
    for record in east(4) {
        let requests = if record.id == first_id { first } else { others };
        let load = ServerLoad { running: requests.min(4), waiting: requests.saturating_sub(4) };
        picker.record_load(&record.id, load, at(100));
    }
    (picker, first_id)
}

/// A rejection by a limit must report the server that is nearest to its own limit, not the one with the lowest load, as
/// limits differ by rank.
#[test]
fn nearest_limit() {
    // 2.5 requests per slot at the first server, with the limit 2.3 of the priority; 2 at the others, with 1.2 at most.
    let (picker, first) = loaded(10, 8);
    let query = query(Some(7), at(100));
    let (candidates, near) = nearest(rejection(&picker, &query, at(100)));
    assert_eq!((candidates, &near.record.id, near.cause), (4, &first, RejectionCause::Priority));
    assert_eq!((near.rank, near.load_limit), (Some(0), Some(2.3 * 4.0)));
    assert!((9.9..=10.1).contains(&near.load), "{}", near.load);
}

/// A server with the limit of its rank must be reported if it is nearer to it than a first server with a long queue.
#[test]
fn rank_limit() {
    let (picker, first) = loaded(16, 5);
    let query = query(Some(7), at(100));
    let (_, near) = nearest(rejection(&picker, &query, at(100)));
    assert_ne!(near.record.id, first);
    assert_eq!((near.cause, near.rank), (RejectionCause::Rank, Some(1)));
    assert_eq!(near.load_limit, Some(1.2 * 4.0));
}

/// Servers outside the region of the object have a limit of their own, which must not be reported as that of a rank.
#[test]
fn other_region() {
    let records = [east(1), vec![server("w0", "west")]].concat();
    let mut picker = picker("east", &records);
    picker.record_load(&id("s0"), ServerLoad { running: 4, waiting: 12 }, at(100));
    picker.record_load(&id("w0"), ServerLoad { running: 4, waiting: 0 }, at(100));
    let (candidates, near) = nearest(rejection(&picker, &query(Some(7), at(100)), at(100)));
    assert_eq!((candidates, near.record.id.as_str()), (2, "w0"));
    assert_eq!((near.cause, near.load_limit), (RejectionCause::OtherRegion, Some(3.0)));
}

/// If idle servers need more time than the caller has left, the time must be reported, not the load.
#[test]
fn time_left() {
    let picker = picker("east", &east(2));
    let query = ChoiceQuery { deadline: at(41), ..query(Some(7), at(1)) };
    let (candidates, near) = nearest(rejection(&picker, &query, at(1)));
    assert_eq!((candidates, near.cause), (2, RejectionCause::TimeLeft));
    // Limit: nine tenths of the 40 ms that are left. Expected: half of the target latency of 200 ms.
    assert!(near.time_limit_ms.is_some_and(|it| (35.9..=36.1).contains(&it)), "{near:?}");
    assert!(near.expected_ms >= 100.0, "{near:?}");
}

/// If the rate of cold servers decides, no limit was compared, so none may be reported.
#[test]
fn cold_rate() {
    let cold = ServerRecord { warmup_left: Duration::from_secs(3), ..server("s0", "east") };
    let mut cold_only = picker("east", std::slice::from_ref(&cold));
    cold_only.record_sent(&id("s0"), at(1));
    let (candidates, near) = nearest(rejection(&cold_only, &query(Some(7), at(2)), at(2)));
    assert_eq!((candidates, near.cause), (1, RejectionCause::Cold));
    assert_eq!((near.load_limit, near.time_limit_ms), (None, None));
    // A full warm server takes precedence over a cold one.
    let mut mixed = picker("east", &[cold, server("s1", "east")]);
    mixed.record_sent(&id("s0"), at(1));
    mixed.record_load(&id("s1"), ServerLoad { running: 4, waiting: 12 }, at(1));
    let (candidates, near) = nearest(rejection(&mixed, &query(Some(7), at(2)), at(2)));
    assert_eq!((candidates, near.record.id.as_str()), (2, "s1"));
}

/// A request without an object has no ranks; rank 0 would be read as affinity.
#[test]
fn no_object() {
    let (picker, _) = loaded(12, 12);
    let (candidates, near) = nearest(rejection(&picker, &query(None, at(100)), at(100)));
    assert_eq!((candidates, near.cause, near.rank), (4, RejectionCause::Priority, None));
    let urgent = ChoiceQuery { priority: RequestPriority(0), ..query(None, at(100)) };
    let (_, near) = nearest(rejection(&picker, &urgent, at(100)));
    assert_eq!(near.load_limit, Some(3.0 * 4.0));
}

/// Without candidates, the condition that excluded the last ones must be reported. Servers in other regions must not
/// hide that the homes have none.
#[test]
fn no_candidate() {
    let mut picker = picker("east", &east(2));
    let cause =
        |picker: &ServicePicker, query: &ChoiceQuery<'_>| match rejection(picker, query, at(1)) {
            ChoiceError::NoServer { cause, .. } => cause,
            other => panic!("{other:?}"),
        };
    let homes: HashSet<RegionId> = HashSet::from([id("west")]);
    let version = id("v2");
    let tried: [ServerId; 2] = [id("s0"), id("s1")];
    let plain = query(Some(7), at(1));
    assert_eq!(
        cause(&picker, &ChoiceQuery { homes: Some(&homes), ..plain }),
        RejectionCause::Homes
    );
    let plain = query(Some(7), at(1));
    assert_eq!(
        cause(&picker, &ChoiceQuery { version: Some(&version), ..plain }),
        RejectionCause::Version
    );
    let plain = query(Some(7), at(1));
    assert_eq!(cause(&picker, &ChoiceQuery { excluded: &tried, ..plain }), RejectionCause::Tried);
    picker.set_evacuated(HashSet::from([id("east-a")]));
    assert_eq!(cause(&picker, &query(Some(7), at(1))), RejectionCause::Unusable);
}

/// Regions are reported for requests that are bound to homes, and for no others.
#[test]
fn chosen_regions() {
    let picker = picker("east", &[east(1), vec![server("w0", "west")]].concat());
    let homes: HashSet<RegionId> = HashSet::from([id("east")]);
    let mut rng = StdRng::seed_from_u64(1);
    let plain = picker.choose(&query(Some(7), at(1)), at(1), &mut rng).unwrap();
    assert_eq!(plain.regions, None);
    let bound = ChoiceQuery { homes: Some(&homes), ..query(Some(7), at(1)) };
    let regions = picker.choose(&bound, at(1), &mut rng).unwrap().regions.unwrap();
    assert_eq!((regions.kept_in, regions.region), (Some(id("east")), id("east")));
    let bound = ChoiceQuery { homes: Some(&homes), ..query(None, at(1)) };
    let regions = picker.choose(&bound, at(1), &mut rng).unwrap().regions.unwrap();
    assert_eq!((regions.kept_in, regions.region), (None, id("east")));
}

//! Quotas while hosts that are not registered serve on and other hosts start.
//!
//! Twelve hosts in three regions; a host serves callers whether or not it is registered.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphireknot::{
    steering::{
        core::{FleetChange, HostLocation, SteeringCore},
        fleet::{HolderRecord, HostRecord},
    },
    time::MonoTime,
    units::TrafficShare,
};

use crate::{
    quota_owners::{RATE, acme, allowed, allowed_in, most_in_window, records, request},
    support::{at, bounds, host, location, organisation, plan},
};

/// Time at which the registrations of the hosts in the region `west` end, in milliseconds.
const LAPSE_MS: u64 = 6_000;
/// Time at which the other hosts know of it, and at which processes are killed.
const RESTART_MS: u64 = 6_500;
/// End of the test.
const END_MS: u64 = 16_000;
/// Interval at which hosts that start register.
const REGISTRATION_MS: u64 = 300;

/// Contents of the store.
struct StoreContents {
    registered: Vec<HostRecord>,
    holders: Vec<HostRecord>,
}

fn holder(record: &HostRecord) -> FleetChange {
    let record = HolderRecord { id: record.id.clone(), region: record.region.clone() };
    FleetChange::Holder(record, 1)
}

/// Starts a host that has read `store`, from the store or from another host.
fn start(record: &HostRecord, store: &StoreContents, now: MonoTime) -> SteeringCore {
    let own = HostLocation { host: record.id.clone(), ..location(record.region.as_str()) };
    let mut core = SteeringCore::new(own, bounds());
    let mut plan = plan(1);
    plan.organisations.insert(acme(), organisation(RATE, RATE));
    let mut changes = vec![FleetChange::Plan(Arc::new(plan))];
    changes.extend(store.registered.iter().cloned().map(FleetChange::Host));
    changes.extend(store.holders.iter().map(holder));
    core.replace(changes, now);
    core
}

/// Starts all hosts, registered for as long as the store serves them; those in `west` until [`LAPSE_MS`].
fn start_all(records: &[HostRecord]) -> Vec<SteeringCore> {
    let store = StoreContents { registered: records.to_vec(), holders: records.to_vec() };
    let start = |record: &HostRecord| {
        let mut core = start(record, &store, at(0));
        let until = if is_west(record) { at(LAPSE_MS) } else { at(3_600_000) };
        core.set_registered(record, until, at(0));
        core
    };
    records.iter().map(start).collect()
}

fn is_west(record: &HostRecord) -> bool {
    record.region.as_str() == "west"
}

/// Presses on all hosts for the whole test and returns the times of admitted requests. `step` is called each
/// millisecond.
fn press<S>(cores: &mut Vec<SteeringCore>, seed: u64, mut step: S) -> Vec<MonoTime>
where
    S: FnMut(&mut Vec<SteeringCore>, u64),
{
    let mut rng = StdRng::seed_from_u64(seed);
    let mut admitted = Vec::new();
    for millis in 0..END_MS {
        step(cores, millis);
        for core in cores.iter_mut().filter(|_| millis.is_multiple_of(250)) {
            core.tick(at(millis));
        }
        let idx = rng.random_range(0..cores.len());
        if rng.random_bool(0.6) && request(cores, idx, at(millis), true) {
            admitted.push(at(millis));
        }
    }
    admitted
}

fn check(admitted: &[MonoTime], seed: u64) {
    let most = most_in_window(admitted);
    assert!(most <= allowed(), "seed {seed}: {most} in 5 s, allowed {}", allowed());
    let expected = RATE * END_MS / 1_000 * 7 / 10;
    assert!(admitted.len() as u64 >= expected, "seed {seed}: {} admitted", admitted.len());
}

/// Registers the hosts at `indices` one after the other from [`RESTART_MS`] on; those that are registered see it.
fn register_in_turn(
    cores: &mut [SteeringCore],
    records: &[HostRecord],
    indices: &[usize],
    millis: u64,
) {
    let Some(elapsed) = millis.checked_sub(RESTART_MS) else { return };
    let turn = (elapsed / REGISTRATION_MS) as usize;
    let Some(&idx) = indices.get(turn).filter(|_| elapsed.is_multiple_of(REGISTRATION_MS)) else {
        return;
    };
    for &other in indices {
        let changes = vec![FleetChange::Host(records[idx].clone()), holder(&records[idx])];
        cores[other].apply_changes(changes, at(millis));
    }
    cores[idx].set_registered(&records[idx], at(3_600_000), at(millis));
}

/// Guards against hosts of a region without registered hosts that take the whole region's share each: the store turns
/// them away, they are killed, and start from the copy of another host.
#[test]
fn unlisted_region_restarts() {
    for seed in 1..4 {
        let records = records(12);
        let mut cores = start_all(&records);
        let admitted = press(&mut cores, seed, |cores, millis| {
            if millis != RESTART_MS {
                return;
            }
            let registered = records.iter().filter(|it| !is_west(it)).cloned().collect();
            let store = StoreContents { registered, holders: records.clone() };
            for (core, record) in cores.iter_mut().zip(&records) {
                if is_west(record) {
                    *core = start(record, &store, at(millis));
                } else {
                    let west = records.iter().filter(|it| is_west(it));
                    let gone = west.map(|it| FleetChange::HostGone(it.id.clone()));
                    core.apply_changes(gone.collect(), at(millis));
                }
            }
        });
        check(&admitted, seed);
    }
}

/// Guards against hosts that start and take over the shares of those that the store turns away and that serve on.
#[test]
fn registered_hosts_restart() {
    for seed in 1..4 {
        let records = records(12);
        let indices: Vec<usize> = (0..12).filter(|it| !is_west(&records[*it])).collect();
        let mut cores = start_all(&records);
        let admitted = press(&mut cores, seed, |cores, millis| {
            if millis == RESTART_MS {
                let store = StoreContents { registered: Vec::new(), holders: records.clone() };
                for &idx in &indices {
                    cores[idx] = start(&records[idx], &store, at(millis));
                }
            }
            register_in_turn(cores, &records, &indices, millis);
        });
        check(&admitted, seed);
    }
}

/// Guards against hosts that start while no other one is registered and take the whole quota each.
#[test]
fn all_hosts_restart() {
    for seed in 1..4 {
        let records = records(12);
        let indices: Vec<usize> = (0..12).collect();
        let mut cores = start_all(&records);
        let admitted = press(&mut cores, seed, |cores, millis| {
            if millis == RESTART_MS {
                let store = StoreContents { registered: Vec::new(), holders: records.clone() };
                for (core, record) in cores.iter_mut().zip(&records) {
                    *core = start(record, &store, at(millis));
                }
            }
            register_in_turn(cores, &records, &indices, millis);
        });
        check(&admitted, seed);
    }
}

/// Guards against a new host that uses a share before the other hosts count it.
#[test]
fn new_host_without_store() {
    let records = records(12);
    let store = StoreContents { registered: records.clone(), holders: records.clone() };
    let record = host("new", "east");
    let mut core = start(&record, &store, at(0));
    assert_eq!(core.share(at(0)).traffic, TrafficShare(0));
    assert!((0..10_000).all(|it| core.admit_locally(&acme(), at(it)).is_err()));
    let grantors = core.local_grantors(&acme(), at(10_000));
    let owner = core.quota_owner(&acme(), at(10_000)).expect("owner");
    assert_eq!((&grantors[0], grantors.len()), (owner, 3), "the owner first, others if it is gone");
    assert!(grantors.iter().all(|it| it.region == record.region));
    assert_eq!(core.remote_owners(&acme(), at(10_000)).len(), 2);
    core.set_registered(&record, at(3_600_000), at(10_000));
    assert!(core.share(at(10_000)).traffic > TrafficShare(0));
}

/// Guards against a new host that gets no admissions while the owner does not answer: another host lends it the part of
/// its share that it uses without the owner, and the two together stay within that share.
#[test]
fn share_is_lent() {
    let records = records(12);
    let store = StoreContents { registered: records.clone(), holders: records.clone() };
    let mut lender = start(&records[0], &store, at(0));
    lender.set_registered(&records[0], at(2_000), at(0));
    lender.tick(at(1_500));
    assert_eq!(lender.lend(&acme(), 1, at(1_500)), Some(Ok(1)), "while it is registered");
    let mut new = start(&host("new", "east"), &store, at(0));
    assert!(new.lend(&acme(), 1, at(1_500)).is_none(), "a host without a share");
    lender.tick(at(2_250));
    let mut admitted = 0;
    for millis in 2_250..12_250 {
        admitted += u32::from(matches!(lender.lend(&acme(), 1, at(millis)), Some(Ok(1))));
        admitted += u32::from(lender.admit_locally(&acme(), at(millis)).is_ok());
    }
    let share = f64::from(lender.share(at(12_250)).traffic.0) / f64::from(TrafficShare::WHOLE.0);
    let allowed = allowed_in(Duration::from_secs(10)) * share;
    assert!(admitted > 20 && f64::from(admitted) <= allowed, "{admitted}, allowed {allowed}");
}

/// Guards against a lost host that keeps its share for ever, and against the removal of the record of one that is
/// registered or was until recently.
#[test]
fn lapsed_holder_is_removed() {
    let records = records(3);
    let store = StoreContents { registered: records.clone(), holders: records.clone() };
    let mut cores: Vec<_> = records.iter().map(|it| start(it, &store, at(0))).collect();
    let lost = &records[2];
    let share = cores[0].share(at(0)).traffic;
    for core in &mut cores[..2] {
        core.apply_changes(vec![FleetChange::HostGone(lost.id.clone())], at(1_000));
        assert!(core.take_lapsed_holders(at(60_000)).is_empty());
        assert_eq!(core.share(at(60_000)).traffic, share);
    }
    let due = at(61_001);
    let lapsed: Vec<_> = cores[..2].iter_mut().flat_map(|it| it.take_lapsed_holders(due)).collect();
    assert_eq!(lapsed, [(lost.id.clone(), 1)], "one host removes the record");
    for core in &mut cores[..2] {
        assert!(core.take_lapsed_holders(due).is_empty(), "a pause before the next try");
        core.apply_changes(vec![FleetChange::HolderGone(lost.id.clone())], due);
        assert!(core.share(due).traffic > share);
    }
    cores[2].apply_changes(
        vec![FleetChange::HostGone(lost.id.clone()), FleetChange::HolderGone(lost.id.clone())],
        due,
    );
    assert_eq!(cores[2].share(due).traffic, TrafficShare(0), "share of the lost host");
}

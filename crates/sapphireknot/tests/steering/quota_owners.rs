//! Quotas that one host of a region owns for the others.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::OrganisationId,
    steering::{
        core::{FleetChange, HostLocation, SteeringCore},
        fleet::HostRecord,
        shares::quota_owner,
        tokens::{AdmissionDecision, TokenPool},
    },
    time::MonoTime,
};

use crate::support::{at, bounds, host, id, organisation, place, plan};

const RATE: u64 = 40;

fn acme() -> OrganisationId {
    id("acme")
}

fn records(count: usize) -> Vec<HostRecord> {
    let regions = crate::support::REGIONS;
    (0..count).map(|it| host(&format!("h-{it:02}"), regions[it % regions.len()])).collect()
}

/// Cores of hosts that all know each other and are registered for the whole test.
fn cores(records: &[HostRecord]) -> Vec<SteeringCore> {
    let start = |record: &HostRecord| {
        let own = HostLocation { host: record.id.clone(), ..place(record.region.as_str()) };
        let mut core = SteeringCore::new(own, bounds());
        let mut plan = plan(1);
        plan.organisations.insert(acme(), organisation(RATE, RATE));
        let hosts = records.iter().cloned().map(FleetChange::Host);
        let changes = [FleetChange::Plan(Arc::new(plan))].into_iter().chain(hosts);
        core.replace(changes.collect(), at(0));
        core.set_registered(record, at(3_600_000), at(0));
        core
    };
    records.iter().map(start).collect()
}

/// One request at host `idx`, whose calls reach the owner if `is_reached`.
fn request(cores: &mut [SteeringCore], idx: usize, now: MonoTime, is_reached: bool) -> bool {
    let count = match cores[idx].admit(&acme(), now) {
        AdmissionDecision::Admitted => return true,
        AdmissionDecision::Denied(_) => return false,
        AdmissionDecision::RequestTokens(count) => count,
    };
    let owner = cores[idx].quota_owner(&acme(), now).map(|it| it.id.clone());
    let position = owner.and_then(|owner| cores.iter().position(|it| *it.host() == owner));
    let grant = match position {
        Some(position) if is_reached || position == idx => {
            cores[position].grant(&acme(), count, now)
        }
        _ => None,
    };
    match grant {
        Some(Ok(granted)) => {
            cores[idx].fill_pool(&acme(), granted, now, now);
            cores[idx].admit_again(&acme(), now) == AdmissionDecision::Admitted
        }
        Some(Err(retry_at)) => {
            cores[idx].fill_pool(&acme(), 0, retry_at, now);
            false
        }
        None => cores[idx].admit_locally(&acme(), now).is_ok(),
    }
}

fn most_in_window(admitted: &[MonoTime]) -> usize {
    let window = |(idx, start): (usize, &MonoTime)| {
        let end = start.after(Duration::from_secs(5));
        admitted[idx..].iter().take_while(|it| **it <= end).count()
    };
    admitted.iter().enumerate().map(window).max().unwrap_or_default()
}

fn allowed() -> usize {
    ((RATE as f64 * 5.0 + RATE as f64) * 1.1 + 20.0) as usize
}

/// Hosts with the same list must name the same owner, or two of them grant the same part.
#[test]
fn one_owner() {
    let records = records(20);
    let mut reversed = records.clone();
    reversed.reverse();
    let owners = |records: &[HostRecord]| {
        (0..50)
            .map(|it| {
                let organisation: OrganisationId = id(&format!("org-{it}"));
                quota_owner(&organisation, records.iter()).map(|it| it.id.clone())
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(owners(&records), owners(&reversed));
    let used: std::collections::HashSet<_> = owners(&records).into_iter().collect();
    assert!(used.len() > 10, "organisations spread over hosts");
}

/// An organisation that sends far more than its rate stays within rate and burst over all hosts, also while some hosts
/// do not reach the owner.
#[test]
fn bound_over_hosts() {
    for (seed, cut) in [(1, 0.0), (2, 0.0), (3, 0.35), (4, 0.35)] {
        let records = records(12);
        let mut cores = cores(&records);
        let mut rng = StdRng::seed_from_u64(seed);
        let cut_off: Vec<bool> = records.iter().map(|_| rng.random_bool(cut)).collect();
        let mut admitted = Vec::new();
        for step in 0..15_000 {
            let now = at(step);
            let idx = rng.random_range(0..records.len());
            let is_cut = cut_off[idx] && step > 5_000;
            if rng.random_bool(0.4) && request(&mut cores, idx, now, !is_cut) {
                admitted.push(now);
            }
        }
        let most = most_in_window(&admitted);
        assert!(most <= allowed(), "seed {seed}: {most} in 5 s, allowed {}", allowed());
        assert!(admitted.len() > 400, "seed {seed}: {} of 600 admitted", admitted.len());
    }
}

/// An organisation within its rate is not refused because its requests arrive at many hosts.
#[test]
fn few_requests_many_hosts() {
    let records = records(60);
    let mut cores = cores(&records);
    let mut rng = StdRng::seed_from_u64(7);
    let (mut sent, mut refused) = (0, 0);
    for step in 0..20_000 {
        if rng.random_bool(0.02) {
            let idx = rng.random_range(0..records.len());
            let is_admitted = request(&mut cores, idx, at(step + 2_000), true);
            sent += 1;
            refused += u32::from(!is_admitted);
        }
    }
    assert!(refused * 50 <= sent, "{refused} of {sent} refused at half of the rate");
}

/// A host whose registration lapsed may not go on as the owner: the others have a new one by then.
#[test]
fn lapsed_owner() {
    let records = records(6);
    let mut cores = cores(&records);
    for (core, record) in cores.iter_mut().zip(&records) {
        core.set_registered(record, at(1_000), at(0));
        core.tick(at(1_100));
        assert!(core.quota_owner(&acme(), at(1_100)).is_none());
        assert!(core.grant(&acme(), 1, at(1_100)).is_none());
    }
    let admitted = (0..5_000).flat_map(|step| {
        let now = at(1_100 + step);
        let part = cores.iter_mut().map(|it| it.admit_locally(&acme(), now).is_ok());
        part.filter(|it| *it).collect::<Vec<_>>()
    });
    let count = admitted.count();
    assert!((100..=allowed()).contains(&count), "{count} by all hosts alone");
}

/// A pool asks for more at once when requests come fast, and for one when they are rare; unused admissions expire.
#[test]
fn pool_demand() {
    let mut pool = TokenPool::default();
    assert_eq!(pool.admit(&acme(), at(0)), AdmissionDecision::RequestTokens(1));
    let mut last = HashMap::new();
    for step in 0..200 {
        if let AdmissionDecision::RequestTokens(count) = pool.admit(&acme(), at(step * 5)) {
            last.insert("asked", count);
        }
    }
    assert!(last["asked"] > 10, "{last:?}");
    pool.fill(&acme(), 5, at(1_000), at(1_000));
    assert_eq!(pool.admit(&acme(), at(1_100)), AdmissionDecision::Admitted);
    assert!(
        matches!(pool.admit(&acme(), at(1_700)), AdmissionDecision::RequestTokens(_)),
        "expired"
    );
    pool.fill(&acme(), 0, at(2_500), at(1_700));
    assert_eq!(pool.admit(&acme(), at(1_800)), AdmissionDecision::Denied(at(2_500)));
}

/// One owner of each other region is asked when the own part is used up; all parts together are the whole quota.
#[test]
fn far_owners() {
    let records = records(9);
    let mut cores = cores(&records);
    let far = cores[0].remote_owners(&acme(), at(10));
    let regions: Vec<_> = far.iter().map(|it| it.region.to_string()).collect();
    assert_eq!(regions, ["north", "west"]);
    let mut granted = 0;
    for step in 0..5_000 {
        for core in &mut cores {
            granted += u32::from(matches!(core.grant(&acme(), 1, at(step)), Some(Ok(1))));
        }
    }
    assert!((180..=allowed() as u32).contains(&granted), "{granted} in 5 s");
    cores[0].tick(at(3_600_001));
    assert!(cores[0].remote_owners(&acme(), at(3_600_001)).is_empty(), "lapsed");
}

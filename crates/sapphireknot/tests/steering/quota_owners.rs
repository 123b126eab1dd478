//! Quotas of a region that one of its hosts owns for the others.

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

use crate::support::{at, bounds, host, id, location, organisation, plan};

/// Rate and burst of the organisation.
pub(crate) const RATE: u64 = 40;

pub(crate) fn acme() -> OrganisationId {
    id("acme")
}

pub(crate) fn records(count: usize) -> Vec<HostRecord> {
    let regions = crate::support::REGIONS;
    (0..count).map(|it| host(&format!("h-{it:02}"), regions[it % regions.len()])).collect()
}

/// Cores of hosts that all know each other and stay registered for the whole test.
fn cores(records: &[HostRecord]) -> Vec<SteeringCore> {
    let start = |record: &HostRecord| {
        let own = HostLocation { host: record.id.clone(), ..location(record.region.as_str()) };
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

/// Sends one request to the host `idx`; `is_reached` says whether its calls reach the owner. Returns whether the
/// request is admitted.
pub(crate) fn request(
    cores: &mut [SteeringCore],
    idx: usize,
    now: MonoTime,
    is_reached: bool,
) -> bool {
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

/// Highest number of admitted requests in any window of 5 s.
pub(crate) fn most_in_window(admitted: &[MonoTime]) -> usize {
    let window = |(idx, start): (usize, &MonoTime)| {
        let end = start.after(Duration::from_secs(5));
        admitted[idx..].iter().take_while(|it| **it <= end).count()
    };
    admitted.iter().enumerate().map(window).max().unwrap_or_default()
}

/// Number of requests that may be admitted in 5 s: rate and burst with tolerance and slack.
pub(crate) fn allowed() -> usize {
    allowed_in(Duration::from_secs(5)) as usize
}

/// Number of requests that may be admitted in `window`.
pub(crate) fn allowed_in(window: Duration) -> f64 {
    (RATE as f64 * window.as_secs_f64() + RATE as f64) * 1.1 + 20.0
}

/// Hosts with the same list of hosts must determine the same owner, or two owners would grant the same share.
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
    assert!(used.len() > 10, "only {} of 20 hosts own quotas", used.len());
}

/// An organisation that sends far more than its rate must stay within rate and burst over all hosts, also while some
/// hosts cannot reach the owner.
#[test]
fn quota_over_hosts() {
    for (seed, cut_ratio) in [(1, 0.0), (2, 0.0), (3, 0.35), (4, 0.35)] {
        let records = records(12);
        let mut cores = cores(&records);
        let mut rng = StdRng::seed_from_u64(seed);
        let cut_off: Vec<bool> = records.iter().map(|_| rng.random_bool(cut_ratio)).collect();
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

/// An organisation within its rate must not be denied because its requests arrive at many hosts.
#[test]
fn few_requests_many_hosts() {
    let records = records(60);
    let mut cores = cores(&records);
    let mut rng = StdRng::seed_from_u64(7);
    let (mut sent, mut denied) = (0, 0);
    for step in 0..20_000 {
        if rng.random_bool(0.02) {
            let idx = rng.random_range(0..records.len());
            let is_admitted = request(&mut cores, idx, at(step + 2_000), true);
            sent += 1;
            denied += u32::from(!is_admitted);
        }
    }
    assert!(denied * 50 <= sent, "{denied} of {sent} denied at half of the rate");
}

/// A host whose registration lapsed must not act as the owner, as the others have a new one by then.
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
        let decisions = cores.iter_mut().map(|it| it.admit_locally(&acme(), now).is_ok());
        decisions.filter(|it| *it).collect::<Vec<_>>()
    });
    let count = admitted.count();
    assert!((100..=allowed()).contains(&count), "{count} admitted by the shares of single hosts");
}

/// A pool must request many admissions at once while requests are frequent and one while they are rare, and unused
/// admissions must expire.
#[test]
fn pool_demand() {
    let mut pool = TokenPool::default();
    assert_eq!(pool.admit(&acme(), at(0)), AdmissionDecision::RequestTokens(1));
    let mut last = HashMap::new();
    for step in 0..200 {
        if let AdmissionDecision::RequestTokens(count) = pool.admit(&acme(), at(step * 5)) {
            last.insert("requested", count);
        }
    }
    assert!(last["requested"] > 10, "{last:?}");
    pool.fill(&acme(), 5, at(1_000), at(1_000));
    assert_eq!(pool.admit(&acme(), at(1_100)), AdmissionDecision::Admitted);
    assert!(
        matches!(pool.admit(&acme(), at(1_700)), AdmissionDecision::RequestTokens(_)),
        "an expired admission was used"
    );
    pool.fill(&acme(), 0, at(2_500), at(1_700));
    assert_eq!(pool.admit(&acme(), at(1_800)), AdmissionDecision::Denied(at(2_500)));
}

/// When the share of the own region is used up, the owner of each other region is asked. The shares of all regions
/// together must equal the quota.
#[test]
fn remote_owners() {
    let records = records(9);
    let mut cores = cores(&records);
    let remote = cores[0].remote_owners(&acme(), at(10));
    let regions: Vec<_> = remote.iter().map(|it| it.region.to_string()).collect();
    assert_eq!(regions, ["north", "west"]);
    let mut granted = 0;
    for step in 0..5_000 {
        for core in &mut cores {
            granted += u32::from(matches!(core.grant(&acme(), 1, at(step)), Some(Ok(1))));
        }
    }
    assert!((180..=allowed() as u32).contains(&granted), "{granted} in 5 s");
    cores[0].tick(at(3_600_001));
    assert!(
        cores[0].remote_owners(&acme(), at(3_600_001)).is_empty(),
        "owners for a host whose registration lapsed"
    );
}

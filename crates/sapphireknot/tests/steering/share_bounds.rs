//! Bounds over all hosts together.

use std::collections::HashMap;

use sapphireknot::{
    ids::RegionId,
    steering::shares::{HostShare, PacedGate, QuotaShares, QuotaSlack},
    time::MonoTime,
    units::{RequestRate, TrafficShare},
};

use crate::support::{at, id, organisation, plan};

fn counts(hosts: &[(&str, u32)]) -> HashMap<RegionId, u32> {
    hosts.iter().map(|(region, count)| (id(region), *count)).collect()
}

/// Parts that add up to more than the whole break every bound that is divided by them.
#[test]
fn parts_of_whole() {
    for hosts in
        [[("east", 5), ("north", 4), ("west", 3)], [("east", 1), ("north", 1), ("west", 9)]]
    {
        let counts = counts(&hosts);
        let sum: u32 = hosts
            .iter()
            .map(|(region, count)| HostShare::new(&counts, &id(region)).traffic.0 * count)
            .sum();
        assert!(sum <= TrafficShare::WHOLE.0, "{sum} parts per million");
    }
}

/// Twelve hosts that each admit as much as they can must not exceed rate and burst of an organisation in any window.
#[test]
fn quota_over_hosts() {
    let mut plan = plan(1);
    plan.organisations.insert(id("acme"), organisation(50, 50));
    let counts = counts(&[("east", 5), ("north", 4), ("west", 3)]);
    let slack = QuotaSlack { tolerance: 0.1, requests: 20 };
    let mut admitted: Vec<MonoTime> = Vec::new();
    for (region, count) in &counts {
        for _ in 0..*count {
            let mut quotas = QuotaShares::default();
            let share = HostShare::new(&counts, region);
            quotas.install(&plan, share.traffic, slack, at(0), |_| true);
            for step in 0..20_000 {
                let now = at(step);
                if quotas.admit(&id("acme"), now).is_ok() {
                    admitted.push(now);
                }
            }
        }
    }
    admitted.sort();
    let allowed = (50.0 * 5.0 + 50.0) * 1.1 + 20.0;
    for (idx, start) in admitted.iter().enumerate() {
        let end = MonoTime(start.0 + 5_000_000);
        let window = admitted[idx..].iter().take_while(|it| **it <= end).count();
        assert!(window as f64 <= allowed, "{window} requests in 5 s, allowed {allowed}");
    }
    assert!(admitted.len() > 900, "nearly all of the rate is admitted: {}", admitted.len());
}

/// A host that starts anew must not spend the burst that it may have spent before.
#[test]
fn restart_without_burst() {
    let mut plan = plan(1);
    plan.organisations.insert(id("acme"), organisation(50, 50));
    let mut quotas = QuotaShares::default();
    let share = HostShare::new(&counts(&[("east", 1)]), &id("east"));
    quotas.install(&plan, share.traffic, QuotaSlack::default(), at(0), |_| true);
    assert!(quotas.admit(&id("acme"), at(1)).is_err());
}

/// A cold server crashes well above its rate; all hosts together must stay below it in every second.
#[test]
fn cold_rate() {
    let rate = RequestRate::per_second(15);
    let mut passed: Vec<u64> = Vec::new();
    for host in 0..12 {
        let mut gate = PacedGate::default();
        for step in 0..5_000 {
            let now = at(step + host * 7);
            if gate.is_open(now) {
                gate.pass(rate, 12, now);
                passed.push(now.0);
            }
        }
    }
    passed.sort_unstable();
    for (idx, start) in passed.iter().enumerate() {
        let window = passed[idx..].iter().take_while(|it| **it <= start + 1_000_000).count();
        assert!(window as f64 <= 15.0 * 1.5 + 5.0, "{window} requests in a second");
    }
}

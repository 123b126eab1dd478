//! Limits that are divided among the hosts.

use std::collections::HashMap;

use sapphireknot::{
    ids::{HostId, RegionId},
    steering::shares::{HostShare, PacedGate, QuotaShares, QuotaSlack, WarmupSenders},
    time::MonoTime,
    units::{RequestRate, TrafficShare},
};

use crate::support::{at, id, organisation, plan};

fn counts(hosts: &[(&str, u32)]) -> HashMap<RegionId, u32> {
    hosts.iter().map(|(region, count)| (id(region), *count)).collect()
}

/// The shares of all hosts must add up to no more than the whole, or every limit that is divided by them is exceeded.
#[test]
fn shares_of_whole() {
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
    assert!(admitted.len() > 900, "only {} requests admitted", admitted.len());
}

/// A host that restarts must not use a burst that it may have used before.
#[test]
fn restart_without_burst() {
    let mut plan = plan(1);
    plan.organisations.insert(id("acme"), organisation(50, 50));
    let mut quotas = QuotaShares::default();
    let share = HostShare::new(&counts(&[("east", 1)]), &id("east"));
    quotas.install(&plan, share.traffic, QuotaSlack::default(), at(0), |_| true);
    assert!(quotas.admit(&id("acme"), at(1)).is_err());
}

/// A cold server crashes well above its rate, so all hosts together must stay below it in every second, with few hosts
/// or many.
#[test]
fn cold_rate() {
    for (hosts, per_second, slack) in [(12, 15, 5.0), (68, 4, 8.0), (300, 1, 5.0), (2, 15, 5.0)] {
        let rate = RequestRate::per_second(per_second);
        let names: Vec<HostId> = (0..hosts).map(|it| id(&format!("h-{it}"))).collect();
        for server in [1u64, 0x9e37_79b9_7f4a_7c15, 77] {
            let mut passed: Vec<u64> = Vec::new();
            for (idx, name) in names.iter().enumerate() {
                let senders = WarmupSenders::new(name, names.iter());
                if !senders.is_sender(server, rate) {
                    continue;
                }
                let mut gate = PacedGate::default();
                for step in 0..5_000 {
                    let now = at(step + idx as u64 * 7);
                    if gate.is_open(now) {
                        gate.pass(rate, &senders, now);
                        passed.push(now.0);
                    }
                }
            }
            passed.sort_unstable();
            assert!(passed.len() as u64 >= 3 * per_second, "only {} requests in 5 s", passed.len());
            let allowed = per_second as f64 * 1.5 + slack;
            for (idx, start) in passed.iter().enumerate() {
                let window = passed[idx..].iter().take_while(|it| **it <= start + 1_000_000);
                let count = window.count();
                assert!(count as f64 <= allowed, "{hosts} hosts sent {count} in a second");
            }
        }
    }
}

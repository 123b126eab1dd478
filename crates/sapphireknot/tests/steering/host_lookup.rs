//! Hosts that a look-up returns to callers.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphireknot::steering::{fleet::HostRecord, host_lookup::select_hosts, plan::RouteRule};

use crate::support::{host, id, plan, route};

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

/// Callers must get the hosts of their region, or each of their requests takes a round trip between regions.
#[test]
fn hosts_of_own_region() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let selected = select_hosts(hosts.iter(), None, "survey.example", &id("west"), &mut rng());
    assert_eq!(selected, [hosts[1].address]);
}

/// Callers in a region without hosts must get hosts of other regions; a response without addresses is an error.
#[test]
fn region_without_hosts() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let selected = select_hosts(hosts.iter(), None, "survey.example", &id("north"), &mut rng());
    assert_eq!(selected.len(), 2);
}

/// Callers in a region without hosts must not be sent to a region that their route does not allow.
#[test]
fn home_hosts() {
    let mut plan = plan(1);
    plan.add_route(RouteRule { homes: vec![id("west")], ..route("homed", "/homed/") });
    let hosts = [host("h1", "east"), host("h22", "west")];
    let selected =
        select_hosts(hosts.iter(), Some(&plan), "survey.example", &id("north"), &mut rng());
    assert_eq!(selected, [hosts[1].address]);
}

/// If a region has more hosts than a response holds, each of them must still be returned in some responses.
#[test]
fn many_hosts() {
    let hosts: Vec<HostRecord> = (0..100_u8)
        .map(|idx| HostRecord {
            address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, idx), 80)),
            ..host(&format!("h{idx}"), "west")
        })
        .collect();
    let mut rng = rng();
    let mut seen = HashSet::new();
    for _ in 0..40 {
        let selected = select_hosts(hosts.iter(), None, "survey.example", &id("west"), &mut rng);
        assert_eq!(selected.len(), 64);
        seen.extend(selected);
    }
    assert_eq!(seen.len(), hosts.len());
}

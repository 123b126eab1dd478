//! Hosts that callers are told.

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

/// Callers that are sent to another region pay a round trip between regions for each request.
#[test]
fn near_hosts() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = select_hosts(hosts.iter(), None, "survey.example", &id("west"), &mut rng());
    assert_eq!(named, [hosts[1].address]);
}

/// A region without hosts still gets an answer; one without addresses counts as a failure.
#[test]
fn far_hosts() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = select_hosts(hosts.iter(), None, "survey.example", &id("north"), &mut rng());
    assert_eq!(named.len(), 2);
}

/// A caller without a host nearby must not be sent to a region that its route does not allow.
#[test]
fn home_hosts() {
    let mut plan = plan(1);
    plan.add_route(RouteRule { homes: vec![id("west")], ..route("homed", "/homed/") });
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = select_hosts(hosts.iter(), Some(&plan), "survey.example", &id("north"), &mut rng());
    assert_eq!(named, [hosts[1].address]);
}

/// A region may have more hosts than one answer holds; none of them must stay without callers.
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
        let named = select_hosts(hosts.iter(), None, "survey.example", &id("west"), &mut rng);
        assert_eq!(named.len(), 64);
        seen.extend(named);
    }
    assert_eq!(seen.len(), hosts.len());
}

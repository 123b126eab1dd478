//! Hosts that callers are told.

use sapphireknot::steering::{naming::name_hosts, plan::RouteRule};

use crate::support::{host, id, plan, route};

/// Callers that are sent to another region pay a round trip between regions for each request.
#[test]
fn near_hosts() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = name_hosts(hosts.iter(), None, "survey.example", &id("west"));
    assert_eq!(named, [hosts[1].address]);
}

/// A region without hosts still gets an answer; one without addresses counts as a failure.
#[test]
fn far_hosts() {
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = name_hosts(hosts.iter(), None, "survey.example", &id("north"));
    assert_eq!(named.len(), 2);
}

/// A caller without a host nearby must not be sent to a region that its route does not allow.
#[test]
fn home_hosts() {
    let mut plan = plan(1);
    plan.add_route(RouteRule { homes: vec![id("west")], ..route("homed", "/homed/") });
    let hosts = [host("h1", "east"), host("h22", "west")];
    let named = name_hosts(hosts.iter(), Some(&plan), "survey.example", &id("north"));
    assert_eq!(named, [hosts[1].address]);
}

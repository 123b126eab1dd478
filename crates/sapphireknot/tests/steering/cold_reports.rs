//! Servers that tell themselves that they are cold.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    steering::{
        cold::ColdReport,
        core::{FleetChange, HostLocation, SteeringCore},
        fleet::ServerRecord,
        server_state::server_hash,
    },
    time::MonoTime,
};

use crate::support::{at, bounds, host, id, place, plan, query, server};

/// A host in `region` that knows `hosts` and 20 servers in the region east, and whose store is away from second 1 on.
fn core_of(name: &str, region: &str, hosts: &[(&str, &str)]) -> SteeringCore {
    let mut core = SteeringCore::new(HostLocation { host: id(name), ..place(region) }, bounds());
    let mut changes = vec![FleetChange::Plan(plan(1).into())];
    changes.extend(hosts.iter().map(|(name, region)| FleetChange::Host(host(name, region))));
    changes.extend((0..20).map(|it| FleetChange::Server(server(&format!("s{it}"), "east"))));
    core.apply_changes(changes, at(0));
    core.record_outage(at(1_000));
    core
}

fn report(name: &str, until: u64) -> ColdReport {
    ColdReport { server: server_hash(&id(name)), cold_until: at(until) }
}

/// Whether the server is cold at `now`.
fn is_cold(core: &SteeringCore, name: &str, now: MonoTime) -> bool {
    let servers = core.pickers()[&id("reports")].servers();
    servers.iter().find(|it| it.record.id == id(name)).expect("server").is_cold(now)
}

/// Guards against a server that no host asks, or all of them, and against one whose only asking host is gone.
#[test]
fn two_hosts_ask() {
    let hosts = [("h1", "east"), ("h2", "east"), ("h3", "east"), ("w1", "west")];
    let cores = hosts.map(|(name, region)| core_of(name, region, &hosts));
    let targets = cores.each_ref().map(|it| it.probe_targets(at(1_500)));
    for idx in 0..20 {
        let name = id(&format!("s{idx}"));
        let askers = targets.iter().filter(|it| it.iter().any(|it| it.server == name)).count();
        assert_eq!(askers, 2, "s{idx}");
    }
    assert!(targets[3].is_empty(), "a host of another region asks");
    assert!(targets[..3].iter().all(|it| it.len() < 20), "the servers are divided");
    assert!(targets[0].iter().all(|it| it.path == "/health"));
}

/// Guards against servers in a region without a host, which nobody would ask.
#[test]
fn region_without_hosts() {
    let hosts = [("w1", "west"), ("w2", "west"), ("n1", "north")];
    let cores = hosts.map(|(name, region)| core_of(name, region, &hosts));
    let asked: usize = cores.iter().map(|it| it.probe_targets(at(1_500)).len()).sum();
    assert_eq!(asked, 40);
}

/// Guards against questions while the store tells what the servers would answer.
#[test]
fn store_answers() {
    let core = core_of("h1", "east", &[("h1", "east")]);
    assert_eq!(core.probe_targets(at(1_500)).len(), 20);
    assert!(core.probe_targets(at(3_500)).is_empty(), "servers registered again");
    let plan_only = SteeringCore::new(place("east"), bounds());
    assert!(plan_only.probe_targets(at(0)).is_empty());
}

/// Guards against hosts that tell each other the same again and again, and against a word about an unknown server.
#[test]
fn news_once() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    let news = core.apply_cold_reports(&[report("s1", 4_000), report("gone", 4_000)], at(1_500));
    assert_eq!(news, [report("s1", 4_000)]);
    assert!(is_cold(&core, "s1", at(3_999)) && !is_cold(&core, "s1", at(4_000)));
    assert!(!is_cold(&core, "s2", at(1_500)));
    assert!(
        core.apply_cold_reports(&[report("s1", 4_100)], at(1_600)).is_empty(),
        "within the slack"
    );
    assert_eq!(core.apply_cold_reports(&[report("s1", 4_900)], at(2_500)).len(), 1, "cold anew");
}

/// Guards against a request to a cold server right after another one that was sent while it was not known to be cold: all
/// hosts may send one at once then.
#[test]
fn sent_before() {
    let mut core = SteeringCore::new(place("east"), bounds());
    let changes = [
        FleetChange::Plan(plan(1).into()),
        FleetChange::Host(host("h1", "east")),
        FleetChange::Server(server("s1", "east")),
    ];
    core.apply_changes(changes.to_vec(), at(0));
    let mut rng = StdRng::seed_from_u64(1);
    let mut choose = |core: &mut SteeringCore, now| {
        core.choose(&id("reports"), query(None, now), now, &mut rng).is_ok()
    };
    assert!(choose(&mut core, at(1_500)));
    core.apply_cold_reports(&[report("s1", 4_000)], at(1_510));
    // A single host sends at most 13.5 requests a second.
    assert!(!choose(&mut core, at(1_520)));
    assert!(choose(&mut core, at(1_575)));
}

/// Guards against a server that is left out for hours because of a wrong number; servers warm up in 3 s.
#[test]
fn longest_time() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    core.apply_cold_reports(&[report("s1", 3_600_000)], at(2_000));
    assert!(!is_cold(&core, "s1", at(5_000)));
}

/// Guards against an old registration that makes a cold server warm, and against a word that outlives a restart.
#[test]
fn later_registrations() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    core.apply_cold_reports(&[report("s1", 4_000)], at(1_500));
    core.apply_changes(vec![FleetChange::Server(server("s1", "east"))], at(2_000));
    assert!(is_cold(&core, "s1", at(3_900)), "an old registration");
    let restarted = ServerRecord {
        started: 2,
        warmup_left: Duration::from_millis(500),
        ..server("s1", "east")
    };
    core.apply_changes(vec![FleetChange::Server(restarted)], at(2_500));
    assert!(is_cold(&core, "s1", at(2_900)) && !is_cold(&core, "s1", at(3_100)), "a restart");
}

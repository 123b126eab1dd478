//! Probes of servers for being cold, and the reports of their results.

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

use crate::support::{at, bounds, host, id, location, plan, query, server};

/// A host in `region` that knows `hosts` and 20 servers in the region east, and whose store is unavailable from 1 s on.
fn core_of(name: &str, region: &str, hosts: &[(&str, &str)]) -> SteeringCore {
    let mut core = SteeringCore::new(HostLocation { host: id(name), ..location(region) }, bounds());
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

/// Each server must be probed by two hosts of its region: not by none or all of them, and not by a single one, which
/// may fail.
#[test]
fn two_hosts_probe() {
    let hosts = [("h1", "east"), ("h2", "east"), ("h3", "east"), ("w1", "west")];
    let cores = hosts.map(|(name, region)| core_of(name, region, &hosts));
    let targets = cores.each_ref().map(|it| it.probe_targets(at(1_500)));
    for idx in 0..20 {
        let name = id(&format!("s{idx}"));
        let probers = targets.iter().filter(|it| it.iter().any(|it| it.server == name)).count();
        assert_eq!(probers, 2, "s{idx}");
    }
    assert!(targets[3].is_empty(), "a host of another region probes");
    assert!(targets[..3].iter().all(|it| it.len() < 20), "a host probes all servers");
    assert!(targets[0].iter().all(|it| it.path == "/health"));
}

/// Servers in a region without a host must be probed by hosts of other regions.
#[test]
fn region_without_hosts() {
    let hosts = [("w1", "west"), ("w2", "west"), ("n1", "north")];
    let cores = hosts.map(|(name, region)| core_of(name, region, &hosts));
    let probed: usize = cores.iter().map(|it| it.probe_targets(at(1_500)).len()).sum();
    assert_eq!(probed, 40);
}

/// Hosts must not probe while the store reports which servers are cold.
#[test]
fn no_probes_with_store() {
    let core = core_of("h1", "east", &[("h1", "east")]);
    assert_eq!(core.probe_targets(at(1_500)).len(), 20);
    assert!(
        core.probe_targets(at(3_500)).is_empty(),
        "probes after servers had time to register again"
    );
    let plan_only = SteeringCore::new(location("east"), bounds());
    assert!(plan_only.probe_targets(at(0)).is_empty());
}

/// A report must be forwarded once only, or hosts would exchange it without end. Reports on unknown servers are
/// ignored.
#[test]
fn only_new_reports() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    let new = core.apply_cold_reports(&[report("s1", 4_000), report("gone", 4_000)], at(1_500));
    assert_eq!(new, [report("s1", 4_000)]);
    assert!(is_cold(&core, "s1", at(3_999)) && !is_cold(&core, "s1", at(4_000)));
    assert!(!is_cold(&core, "s2", at(1_500)));
    assert!(
        core.apply_cold_reports(&[report("s1", 4_100)], at(1_600)).is_empty(),
        "a report within the tolerance"
    );
    assert_eq!(
        core.apply_cold_reports(&[report("s1", 4_900)], at(2_500)).len(),
        1,
        "a later cold period"
    );
}

/// All hosts may have sent a request to a server just before they learned that it is cold. That request must count for
/// the rate of the cold server, so that none of them sends another one at once.
#[test]
fn request_before_report() {
    let mut core = SteeringCore::new(location("east"), bounds());
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

/// A report with a wrong time must not exclude a server for hours: the cold period is limited to the warm-up time of
/// three seconds.
#[test]
fn cold_time_limit() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    core.apply_cold_reports(&[report("s1", 3_600_000)], at(2_000));
    assert!(!is_cold(&core, "s1", at(5_000)));
}

/// A registration of the same start must not make a cold server warm, and a report must not apply to a later start.
#[test]
fn later_registrations() {
    let mut core = core_of("h1", "east", &[("h1", "east")]);
    core.apply_cold_reports(&[report("s1", 4_000)], at(1_500));
    core.apply_changes(vec![FleetChange::Server(server("s1", "east"))], at(2_000));
    assert!(is_cold(&core, "s1", at(3_900)), "registration of the same start");
    let restarted = ServerRecord {
        started: 2,
        warmup_left: Duration::from_millis(500),
        ..server("s1", "east")
    };
    core.apply_changes(vec![FleetChange::Server(restarted)], at(2_500));
    assert!(
        is_cold(&core, "s1", at(2_900)) && !is_cold(&core, "s1", at(3_100)),
        "registration of a later start"
    );
}

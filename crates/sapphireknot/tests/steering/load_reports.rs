//! Load reports that the hosts of a region exchange.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    picker::ServerOutcome,
    steering::{
        core::{AttemptReport, FleetChange, HostLocation, SteeringCore},
        fleet::{HostCapacity, HostRecord},
        loads::{LoadReport, LoadReportTable, ReportPosition},
        plan::RequestPriority,
        query::{ChoiceQuery, ChosenServer},
        server_state::{ServerLoad, server_hash},
    },
    time::MonoTime,
};

use crate::support::{at, bounds, host, id, location, plan, server};

const FULL: ServerLoad = ServerLoad { running: 4, waiting: 12 };

/// A host of the region east that knows the hosts `h1` to `h3` and four servers.
fn core_of(name: &str) -> SteeringCore {
    let mut core = SteeringCore::new(HostLocation { host: id(name), ..location("east") }, bounds());
    let mut changes = vec![FleetChange::Plan(plan(1).into())];
    changes.extend(["h1", "h2", "h3"].map(|it| FleetChange::Host(host(it, "east"))));
    changes.extend((0..4).map(|it| FleetChange::Server(server(&format!("s{it}"), "east"))));
    core.apply_changes(changes, at(0));
    core
}

fn choose(core: &mut SteeringCore, object: u64, now: MonoTime) -> ChosenServer {
    let query = ChoiceQuery {
        target_ms: 200.0,
        priority: RequestPriority(2),
        object: Some(object),
        version: None,
        homes: None,
        excluded: &[],
        deadline: now.after(Duration::from_millis(1_200)),
    };
    core.choose(&id("reports"), query, now, &mut StdRng::seed_from_u64(object)).expect("server")
}

fn report_load(core: &mut SteeringCore, chosen: &ChosenServer, load: ServerLoad, now: MonoTime) {
    let outcome = ServerOutcome::Succeeded;
    let elapsed = Duration::from_millis(100);
    let report = AttemptReport { chosen, outcome, load: Some(load), target_ms: 200.0, elapsed };
    core.record_attempt(report, now);
}

fn report_full(core: &mut SteeringCore, chosen: &ChosenServer, now: MonoTime) {
    report_load(core, chosen, FULL, now);
}

fn report(server: u64, millis: u64) -> LoadReport {
    LoadReport { server, load: Some(FULL), failure_rate: None, at: at(millis) }
}

/// A host that never used a server must not send it requests if other hosts reported it as full.
#[test]
fn reports_of_others() {
    let mut cores = ["h1", "h2", "h3"].map(core_of);
    let collector = cores[0].load_collector().unwrap().id.clone();
    assert!(
        cores.iter().all(|it| it.load_collector().unwrap().id == collector),
        "hosts name different collectors"
    );
    let position = cores.iter().position(|it| *it.host() == collector).unwrap();
    cores.swap(0, position);
    let [collector, first, second] = &mut cores;

    let chosen = choose(first, 7, at(1));
    report_full(first, &chosen, at(100));
    let sent = first.unsent_loads(at(110));
    assert_eq!(sent.len(), 1);
    let (new_reports, _) = collector.collect_loads(&sent, ReportPosition::default(), at(111));
    assert!(new_reports.is_empty(), "a host gets its own report back");
    assert!(first.unsent_loads(at(120)).is_empty(), "a report is sent twice");

    let (new_reports, position) = collector.collect_loads(&[], ReportPosition::default(), at(120));
    second.apply_load_reports(&new_reports);
    assert_ne!(choose(second, 7, at(121)).record.id, chosen.record.id);
    assert_ne!(choose(collector, 7, at(121)).record.id, chosen.record.id);
    assert!(
        collector.collect_loads(&[], position, at(122)).0.is_empty(),
        "a report is returned twice"
    );
}

/// A report that arrives late must not replace a later one, neither at a host nor at the collector.
#[test]
fn latest_report_wins() {
    let mut core = core_of("h1");
    let chosen = choose(&mut core, 7, at(1));
    let idle = ServerLoad { running: 0, waiting: 0 };
    report_full(&mut core, &chosen, at(100));
    let late = core.unsent_loads(at(100)).into_iter().map(|it| LoadReport {
        load: Some(idle),
        at: at(50),
        ..it
    });
    core.apply_load_reports(&late.collect::<Vec<_>>());
    assert_ne!(choose(&mut core, 7, at(101)).record.id, chosen.record.id);

    let mut table = LoadReportTable::default();
    table.add(report(1, 100));
    table.add(report(1, 50));
    assert_eq!(table.since(ReportPosition::default()), [report(1, 100)]);
}

/// A host that called an earlier incarnation of the collector must get the reports of the new one, whose positions
/// start anew.
#[test]
fn new_collector() {
    let mut table = LoadReportTable::default();
    table.add(report(1, 100));
    assert_eq!(table.since(ReportPosition(40)), [report(1, 100)]);
}

/// Reports on servers that left or are not used must expire, or they would accumulate.
#[test]
fn expired_reports() {
    let mut table = LoadReportTable::default();
    table.add(report(1, 100));
    table.add(report(2, 2_000));
    table.expire(at(2_100));
    assert_eq!(table.since(ReportPosition::default()), [report(2, 2_000)]);
}

/// A server that one host cannot reach must not get the first request of each other host as well, and must be used
/// again once it responded to any host.
#[test]
fn unreachable_server() {
    let (mut first, mut second) = (core_of("h1"), core_of("h2"));
    let chosen = choose(&mut first, 7, at(1));
    first.pause_server(&chosen.record, at(500));
    let sent = first.unsent_loads(at(510));
    second.apply_load_reports(&sent);
    assert_ne!(choose(&mut second, 7, at(511)).record.id, chosen.record.id);
    let idle = ServerLoad { running: 0, waiting: 0 };
    let response = LoadReport { load: Some(idle), at: at(600), ..sent[0] };
    second.apply_load_reports(&[response]);
    assert_eq!(choose(&mut second, 7, at(601)).record.id, chosen.record.id);
    second.apply_load_reports(&sent);
    assert_eq!(
        choose(&mut second, 7, at(602)).record.id,
        chosen.record.id,
        "an older report replaced a later one"
    );
}

/// A host that can reach no server must not keep other hosts from using the servers.
#[test]
fn cut_off_host() {
    let (mut first, mut second) = (core_of("h1"), core_of("h2"));
    let usual = choose(&mut second, 7, at(1)).record.id.clone();
    let records: Vec<_> =
        first.pickers()[&id("reports")].servers().iter().map(|it| it.record.clone()).collect();
    for record in &records {
        first.pause_server(record, at(500));
    }
    second.apply_load_reports(&first.unsent_loads(at(510)));
    assert_eq!(choose(&mut second, 7, at(511)).record.id, usual);
}

/// A host of `region` in a fleet with two servers in each of two regions.
fn two_region_core(name: &str, region: &str) -> SteeringCore {
    let mut core = SteeringCore::new(HostLocation { host: id(name), ..location(region) }, bounds());
    let mut changes = vec![FleetChange::Plan(plan(1).into())];
    changes.extend(
        [("h1", "east"), ("h2", "west"), ("h3", "east")]
            .map(|(it, region)| FleetChange::Host(host(it, region))),
    );
    for (name, region) in [("s0", "east"), ("s1", "east"), ("s2", "west"), ("s3", "west")] {
        changes.push(FleetChange::Server(server(name, region)));
    }
    core.apply_changes(changes, at(0));
    core
}

fn home_share(core: &SteeringCore) -> f64 {
    core.pickers()[&id("reports")].home_share()
}

/// A region learns the load of others only through its collector. When it is full, it must move objects to a region
/// with capacity, and all of its hosts must use the same share, or they send the same objects to different regions.
#[test]
fn region_load_exchange() {
    let [mut east, mut west, mut other] = [("h1", "east"), ("h2", "west"), ("h3", "east")]
        .map(|(name, region)| two_region_core(name, region));
    assert_eq!(east.remote_collectors().len(), 1);
    assert_eq!(east.remote_collectors()[0].id, id("h2"));
    let load = |running| Some(ServerLoad { running, waiting: 0 });
    let report_loads = |core: &mut SteeringCore, names: [&str; 2], running: u32, now: MonoTime| {
        let report = |it: &str| LoadReport {
            server: server_hash(&id(it)),
            load: load(running),
            failure_rate: None,
            at: now,
        };
        core.apply_load_reports(&names.map(report));
    };
    // Shares are updated when a request chooses its server.
    let step_share = |core: &mut SteeringCore, now: MonoTime| {
        let chosen = choose(core, 7, now);
        core.withdraw_choice(&chosen);
    };
    step_share(&mut east, at(0));
    step_share(&mut other, at(0));
    for step in 1..=20 {
        let now = at(step * 500);
        report_loads(&mut east, ["s0", "s1"], 6, now);
        report_loads(&mut west, ["s2", "s3"], 1, now);
        east.apply_region_loads(west.own_region_loads(now));
        other.apply_region_loads(east.region_loads(now));
        step_share(&mut east, now);
        step_share(&mut other, now);
    }
    let (share, other_share) = (home_share(&east), home_share(&other));
    assert!((0.55..0.85).contains(&share), "{share} kept at home");
    assert!((share - other_share).abs() < 0.05, "{share} and {other_share}");
}

/// The collector must be a host with spare processor time and a wide link, as all hosts of its region call it.
#[test]
fn collector_by_capacity() {
    let hosts = |strong: &[&str]| {
        let hosts = ["h1", "h2", "h3", "h4", "h5", "h6"].map(|it| {
            let capacity = HostCapacity::new(if strong.contains(&it) { 0.5 } else { 0.1 }, 200.0);
            FleetChange::Host(HostRecord { capacity, ..host(it, "east") })
        });
        let mut core = SteeringCore::new(location("east"), bounds());
        core.apply_changes(hosts.to_vec(), at(0));
        core
    };
    for strong in ["h1", "h2", "h3", "h4", "h5", "h6"] {
        let core = hosts(&[strong]);
        assert_eq!(core.load_collector().unwrap().id.as_str(), strong);
    }
    let mut core = hosts(&["h2", "h5"]);
    let first = core.load_collector().unwrap().id.clone();
    core.apply_changes(vec![FleetChange::HostGone(first.clone())], at(100));
    let next = core.load_collector().unwrap().id.clone();
    assert!(first != next && ["h2", "h5"].contains(&next.as_str()), "{first}, {next}");
}

/// The sum of a reported load must not overflow: the server would look idle, or the host would panic.
#[test]
fn highest_load() {
    let mut core = core_of("h1");
    let first = choose(&mut core, 7, at(1));
    let load = ServerLoad { running: u32::MAX, waiting: 1 };
    report_load(&mut core, &first, load, at(100));
    let second = choose(&mut core, 7, at(110));
    assert_ne!(first.record.id, second.record.id);
}

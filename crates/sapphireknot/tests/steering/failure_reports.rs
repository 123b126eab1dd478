//! Failure rates of servers that the hosts of a region exchange.

use std::{collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphireknot::{
    ids::ServerId,
    picker::ServerOutcome,
    steering::{
        core::{AttemptReport, FleetChange, HostLocation, SteeringCore},
        loads::ReportPosition,
        plan::RequestPriority,
        query::{ChoiceQuery, ChosenServer},
        server_state::ServerLoad,
    },
    time::MonoTime,
};

use crate::support::{at, bounds, exchange_ms, host, id, location, plan, server};

/// Number of hosts in the region.
const HOSTS: usize = 20;
/// Number of servers; `s0` is the one that may fail.
const SERVERS: usize = 12;
/// Requests per second over all hosts.
const RATE: u64 = 200;

/// Hosts of a region that exchange reports with their collector.
struct Region {
    cores: Vec<SteeringCore>,
    collector: usize,
    positions: HashMap<usize, ReportPosition>,
    rng: StdRng,
}

impl Region {
    fn new(seed: u64) -> Self {
        let names: Vec<String> = (0..HOSTS).map(|it| format!("h{it}")).collect();
        let mut changes = vec![FleetChange::Plan(plan(1).into())];
        changes.extend(names.iter().map(|it| FleetChange::Host(host(it, "east"))));
        changes
            .extend((0..SERVERS).map(|it| FleetChange::Server(server(&format!("s{it}"), "east"))));
        let cores: Vec<SteeringCore> = names
            .iter()
            .map(|it| {
                let mut core =
                    SteeringCore::new(HostLocation { host: id(it), ..location("east") }, bounds());
                core.apply_changes(changes.clone(), at(0));
                core
            })
            .collect();
        let collector = cores[0].load_collector().expect("collector").id.clone();
        let collector =
            cores.iter().position(|it| *it.host() == collector).expect("core of the collector");
        Self { cores, collector, positions: HashMap::new(), rng: StdRng::seed_from_u64(seed) }
    }

    fn choose(&mut self, idx: usize, object: u64, now: MonoTime) -> ChosenServer {
        let query = ChoiceQuery {
            target_ms: 200.0,
            priority: RequestPriority(2),
            object: Some(object),
            version: None,
            homes: None,
            excluded: &[],
            deadline: now.after(Duration::from_millis(1_200)),
        };
        self.cores[idx].choose(&id("reports"), query, now, &mut self.rng).expect("server")
    }

    /// Server that would get a request for `object`.
    fn preferred(&mut self, idx: usize, object: u64, now: MonoTime) -> ServerId {
        let chosen = self.choose(idx, object, now);
        self.cores[idx].withdraw_choice(&chosen);
        chosen.record.id.clone()
    }

    fn end(&mut self, idx: usize, chosen: &ChosenServer, is_failure: bool, now: MonoTime) {
        let outcome = if is_failure { ServerOutcome::Failed } else { ServerOutcome::Succeeded };
        let load = Some(ServerLoad { running: 1, waiting: 0 });
        let elapsed = Duration::from_millis(100);
        let report = AttemptReport { chosen, outcome, load, target_ms: 200.0, elapsed };
        self.cores[idx].record_attempt(report, now);
    }

    /// Each host calls the collector once.
    fn exchange(&mut self, now: MonoTime) {
        for idx in (0..HOSTS).filter(|it| *it != self.collector) {
            let reports = self.cores[idx].unsent_loads(now);
            let position = self.positions.get(&idx).copied().unwrap_or_default();
            let (new_reports, position) =
                self.cores[self.collector].collect_loads(&reports, position, now);
            self.cores[idx].apply_load_reports(&new_reports);
            self.positions.insert(idx, position);
        }
    }

    /// Sends requests until `until_ms`; `is_failure` returns, for a server, a host and a random draw, whether a request
    /// fails. Returns the number of requests that `s0` received.
    fn run<F>(&mut self, from_ms: u64, until_ms: u64, is_failure: F) -> u32
    where
        F: Fn(&str, usize, f64) -> bool,
    {
        let mut count = 0;
        for step in from_ms * RATE / 1_000..until_ms * RATE / 1_000 {
            let now = at(step * 1_000 / RATE);
            if (step * 1_000 / RATE).is_multiple_of(exchange_ms(false)) {
                self.exchange(now);
            }
            let idx = self.rng.random_range(0..HOSTS);
            let object = self.rng.random_range(0..400);
            let chosen = self.choose(idx, object, now);
            let name = chosen.record.id.as_str().to_owned();
            count += u32::from(name == "s0");
            let is_failure = is_failure(&name, idx, self.rng.random());
            self.end(idx, &chosen, is_failure, now);
        }
        count
    }
}

/// Sum of the results of `run` over fixed seeds.
fn over_seeds<R>(run: R) -> u32
where
    R: Fn(&mut Region) -> u32,
{
    (1..=4).map(|seed| run(&mut Region::new(seed))).sum()
}

/// A server that responds but fails its requests must be avoided by all hosts after a few failures in total, not after
/// a few at each host.
#[test]
fn failing_server() {
    let usual = over_seeds(|it| it.run(0, 6_000, |_, _, _| false));
    let all = over_seeds(|it| it.run(0, 6_000, |name, _, _| name == "s0"));
    let half = over_seeds(|it| it.run(0, 6_000, |name, _, draw| name == "s0" && draw < 0.5));
    assert!(all * 5 < usual && half * 2 < usual, "{all} and {half} requests instead of {usual}");
}

/// A server that no longer fails must get its share of requests again.
#[test]
fn recovered_server() {
    let usual = over_seeds(|it| it.run(10_000, 14_000, |_, _, _| false));
    let after = over_seeds(|it| {
        it.run(0, 5_000, |name, _, _| name == "s0");
        it.run(5_000, 10_000, |_, _, _| false);
        it.run(10_000, 14_000, |_, _, _| false)
    });
    assert!(after * 10 > usual * 8, "{after} requests instead of {usual}");
}

/// A host whose requests fail at every server, such as those of one organisation, must not make other hosts avoid the
/// servers.
#[test]
fn failing_host() {
    let mut region = Region::new(1);
    region.exchange(at(0));
    let usual: Vec<_> = (0..40).map(|it| region.preferred(1, it, at(1))).collect();
    for object in 0..120 {
        let chosen = region.choose(2, object, at(10));
        // It reports only half of the servers, so that the other half would look better to all hosts.
        if chosen.record.id.as_str() < "s4" {
            region.end(2, &chosen, true, at(100 + object));
        } else {
            region.cores[2].withdraw_choice(&chosen);
        }
    }
    region.exchange(at(400));
    region.exchange(at(401));
    let now = (0..40).map(|it| region.preferred(1, it, at(402)));
    let same = now.zip(&usual).filter(|(now, usual)| now == *usual);
    let same = same.count();
    assert!(same >= 30, "only {same} of 40 objects kept their server");
}

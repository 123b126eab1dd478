//! Member tables of all hosts in one process, with messages that are encoded and no network.
//!
//! Every host probes once a second at its own phase. A message takes one of two delays by region. A host that hears of
//! a higher generation has it after a fixed time for the fetch. Nothing is lost.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    error::Error,
    time::{Duration, Instant},
};

use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::{ConfigGeneration, HostId, IncarnationId},
    membership::{
        MemberAction, MemberEvent, MemberRecord, MemberSettings, MemberState, MemberTable,
    },
    time::MonoTime,
};
use sapphireknot_wire::peer::{ExchangeRequest, Gossip};
use sapphireknotd::peer::convert::member_to_wire;

use crate::{
    table::{MeasureRun, MeasureTable, quantile},
    target::members,
    usage::{mebibytes, resident_bytes},
};

/// Interval of probes, and the first time at which something happens.
const SECOND: u64 = 1_000_000;
/// One-way delay within a region and between regions, in microseconds.
const DELAYS: (u64, u64) = (500, 12_000);
/// Time to fetch, check and install a generation, in microseconds.
const FETCH: u64 = 500_000;
/// Time after which a probe counts as missed, in microseconds.
const TIMEOUT: u64 = 300_000;
/// Interval of deadline checks, in microseconds.
const TICK: u64 = 500_000;
/// Seconds after which a change counts as not in time, several times the bound.
const LIMIT: u64 = 60;
/// Hosts of a data centre that hear of a change from the store.
const WATCHERS: usize = 2;

#[derive(Debug)]
enum WireEvent {
    Probe,
    Tick,
    Request { from: usize, told: Box<(MemberRecord, Vec<MemberRecord>)> },
    Reply { told: Box<(MemberRecord, Vec<MemberRecord>)> },
    Missed { target: HostId, incarnation: IncarnationId, is_indirect: bool },
    Installed(ConfigGeneration),
}

/// All hosts and the messages under way.
struct FakeWire {
    tables: Vec<MemberTable>,
    is_up: Vec<bool>,
    fetching: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<WireEvent>>,
    positions: std::collections::HashMap<HostId, usize>,
    rng: ChaCha8Rng,
    now: u64,
    messages: u64,
    bytes: u64,
}

impl FakeWire {
    fn new(records: &[MemberRecord], seed: u64) -> Self {
        let settings = MemberSettings {
            suspicion: Duration::from_secs(2),
            retention: Duration::from_secs(600),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let table = |record: &MemberRecord| MemberTable::new(settings, record.clone());
        let tables: Vec<_> = records.iter().map(table).collect();
        let positions = records.iter().enumerate().map(|(idx, it)| (it.id.clone(), idx)).collect();
        let phases: Vec<_> = records.iter().map(|_| rng.random_range(0..SECOND)).collect();
        let mut wire = Self {
            is_up: vec![true; tables.len()],
            fetching: vec![1; tables.len()],
            tables,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            positions,
            rng,
            now: SECOND,
            messages: 0,
            bytes: 0,
        };
        for (idx, phase) in phases.into_iter().enumerate() {
            let seeded = MemberEvent::Seeded(records.to_vec());
            wire.tables[idx].handle(MonoTime(wire.now), seeded, &mut wire.rng);
            wire.push(phase, idx, WireEvent::Probe);
            wire.push(phase % TICK, idx, WireEvent::Tick);
        }
        wire
    }

    fn push(&mut self, delay: u64, host: usize, event: WireEvent) {
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, self.events.len() as u64 - 1, host)));
    }

    fn gossip(&mut self, from: usize, to: usize) -> Box<(MemberRecord, Vec<MemberRecord>)> {
        let peer = self.tables[to].own().id.clone();
        let records = self.tables[from].updates_for(Some(&peer), &mut self.rng);
        let sent = records.iter().map(|it| it.id.clone()).collect();
        let now = MonoTime(self.now);
        self.tables[from].handle(now, MemberEvent::UpdatesSent(sent), &mut self.rng);
        let own = self.tables[from].own().clone();
        let gossip = Gossip {
            sender: Some(member_to_wire(&own)),
            members: records.iter().map(member_to_wire).collect(),
            generation: own.generation.0,
            freshness_age_us: Some(SECOND),
            ..Gossip::default()
        };
        let request = ExchangeRequest { gossip: Some(gossip) };
        self.messages += 1;
        self.bytes += request.encode_to_vec().len() as u64;
        Box::new((own, records))
    }

    fn delay(&self, one: usize, other: usize) -> u64 {
        let is_near = self.tables[one].own().region == self.tables[other].own().region;
        if is_near { DELAYS.0 } else { DELAYS.1 }
    }

    fn send(&mut self, from: usize, to: &MemberRecord, is_probe: bool) {
        let Some(&target) = self.positions.get(&to.id) else { return };
        let told = self.gossip(from, target);
        if self.is_up[target] {
            self.push(self.delay(from, target), target, WireEvent::Request { from, told });
        } else if is_probe {
            let (target, incarnation) = (to.id.clone(), to.incarnation);
            let missed = WireEvent::Missed { target, incarnation, is_indirect: false };
            self.push(TIMEOUT, from, missed);
        }
    }

    fn apply(&mut self, host: usize, event: MemberEvent) {
        let actions = self.tables[host].handle(MonoTime(self.now), event, &mut self.rng);
        for action in actions {
            match action {
                MemberAction::Probe(target) => self.send(host, &target, true),
                MemberAction::Notify(peers) => {
                    for peer in peers {
                        self.send(host, &peer, false);
                    }
                }
                MemberAction::ProbeVia { target, .. } => {
                    let is_up = self.positions.get(&target.id).is_some_and(|it| self.is_up[*it]);
                    if !is_up {
                        let MemberRecord { id, incarnation, .. } = target;
                        let missed =
                            WireEvent::Missed { target: id, incarnation, is_indirect: true };
                        self.push(2 * TIMEOUT, host, missed);
                    }
                }
            }
        }
    }

    fn hear(&mut self, host: usize, told: (MemberRecord, Vec<MemberRecord>)) {
        let (sender, members) = told;
        let generation = sender.generation;
        self.apply(host, MemberEvent::MessageReceived { sender: Box::new(sender), members });
        if generation.0 > self.fetching[host] {
            self.fetching[host] = generation.0;
            self.push(FETCH, host, WireEvent::Installed(generation));
        }
    }

    /// Runs until `end`.
    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number, host))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events[number as usize].take() else { continue };
            if self.is_up[host] {
                self.run_event(host, event);
            }
        }
        self.now = end;
    }

    fn run_event(&mut self, host: usize, event: WireEvent) {
        match event {
            WireEvent::Probe => {
                self.apply(host, MemberEvent::ProbeDue);
                self.push(SECOND, host, WireEvent::Probe);
            }
            WireEvent::Tick => {
                self.apply(host, MemberEvent::TimePassed);
                self.push(TICK, host, WireEvent::Tick);
            }
            WireEvent::Request { from, told } => {
                self.hear(host, *told);
                let told = self.gossip(host, from);
                self.push(self.delay(host, from), from, WireEvent::Reply { told });
            }
            WireEvent::Reply { told } => self.hear(host, *told),
            WireEvent::Missed { target, incarnation, is_indirect: false } => {
                self.apply(host, MemberEvent::DirectProbeFailed { target, incarnation });
            }
            WireEvent::Missed { target, incarnation, is_indirect: true } => {
                self.apply(host, MemberEvent::IndirectProbeFailed { target, incarnation });
            }
            WireEvent::Installed(generation) => {
                self.apply(host, MemberEvent::Installed(generation));
            }
        }
    }

    /// Runs until `holds` or for `limit` seconds; the time that it took in seconds.
    fn time_until<F>(&mut self, limit: u64, holds: F) -> Option<f64>
    where
        F: Fn(&Self) -> bool,
    {
        let began = self.now;
        while !holds(self) {
            if self.now >= began + limit * SECOND {
                return None;
            }
            self.run_until(self.now + SECOND / 10);
        }
        Some((self.now - began) as f64 / SECOND as f64)
    }

    fn live(&self) -> impl Iterator<Item = &MemberTable> {
        self.tables.iter().zip(&self.is_up).filter(|(_, is_up)| **is_up).map(|(table, _)| table)
    }
}

/// Time until `generation` is in force everywhere, and until every host knows that it is.
fn change(wire: &mut FakeWire, generation: u64, limit: u64) -> (Option<f64>, Option<f64>) {
    let mut watchers = std::collections::HashMap::<_, usize>::new();
    for host in 0..wire.tables.len() {
        let count = watchers.entry(wire.tables[host].own().datacentre.clone()).or_default();
        *count += 1;
        if wire.is_up[host] && *count <= WATCHERS {
            wire.fetching[host] = generation;
            wire.push(FETCH, host, WireEvent::Installed(ConfigGeneration(generation)));
        }
    }
    let has_it = |it: &MemberRecord| it.generation.0 >= generation || !it.state.is_live();
    let began = wire.now;
    let in_force = wire.time_until(limit, |wire| wire.live().all(|it| has_it(it.own())));
    // One host that is asked for the state of the change is enough.
    let known = in_force
        .and_then(|_| wire.time_until(limit, |wire| wire.tables[1].members().iter().all(has_it)))
        .map(|_| (wire.now - began) as f64 / SECOND as f64);
    (in_force, known)
}

/// Time until the end of the host `failed` is known everywhere.
fn failure(wire: &mut FakeWire, failed: usize) -> (Option<f64>, Option<f64>) {
    wire.is_up[failed] = false;
    let id = wire.tables[failed].own().id.clone();
    let state = |table: &MemberTable| table.member(&id).map(|it| it.state);
    let began = wire.now;
    let is_out = |table: &MemberTable| state(table).is_none_or(|it| !it.takes_callers());
    let suspected = wire.time_until(60, |wire| wire.live().all(is_out));
    let is_failed = |table: &MemberTable| state(table).is_none_or(|it| it >= MemberState::Failed);
    let known = wire.time_until(60, |wire| wire.live().all(is_failed));
    (suspected, known.map(|_| (wire.now - began) as f64 / SECOND as f64))
}

fn median(times: &[Option<f64>]) -> String {
    let mut sorted: Vec<_> = times.iter().flatten().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let missed = times.len() - sorted.len();
    let text = format!("{:.1} / {:.1}", quantile(&sorted, 0.5), quantile(&sorted, 1.0));
    if missed == 0 { text } else { format!("{text}, {missed} not in time") }
}

/// Measures tables of growing numbers of hosts.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let (sizes, changes): (&[usize], u64) =
        if run.is_small { (&[12, 48], 2) } else { (&[12, 48, 192, 1_400], 4) };
    let columns = [
        "hosts",
        "messages/s/host",
        "bytes/message",
        "bytes/s/host",
        "us/message",
        "ppm of a core",
        "table KiB/host",
    ];
    let mut costs = MeasureTable::new(
        format!("gossip: 10 s without change, both directions, seed {}", run.seed),
        &columns,
    );
    let mut spread = MeasureTable::new(
        format!("gossip: seconds, median / maximum of {changes} changes"),
        &["hosts", "in force", "known to be", "left out", "failure known"],
    );
    for &size in sizes {
        run.step(format!("{size} hosts"));
        let before = resident_bytes(None);
        let mut wire = FakeWire::new(&members(size)?, run.seed);
        let memory = resident_bytes(None).saturating_sub(before) / size as u64;
        // The records that were seeded are news at first.
        wire.run_until(wire.now + 15 * SECOND);
        (wire.messages, wire.bytes) = (0, 0);
        let began = Instant::now();
        wire.run_until(wire.now + 10 * SECOND);
        let spent = began.elapsed().as_secs_f64();
        let (messages, bytes) = (wire.messages as f64, wire.bytes as f64);
        let seconds = 10.0 * size as f64;
        costs.push(&[
            &size,
            &format!("{:.2}", messages / seconds),
            &format!("{:.0}", bytes / messages),
            &format!("{:.0}", bytes / seconds),
            &format!("{:.1}", spent * 1e6 / messages),
            &format!("{:.0}", spent * 1e6 / seconds),
            &mebibytes(memory * 1024),
        ]);
        let (mut forces, mut knows) = (Vec::new(), Vec::new());
        for generation in 0..changes {
            run.step(format!("{size} hosts, change {generation}"));
            let (in_force, known) = change(&mut wire, generation + 2, LIMIT);
            forces.push(in_force);
            knows.push(known);
        }
        let (mut outs, mut ends) = (Vec::new(), Vec::new());
        for number in 0..changes as usize / 2 {
            run.step(format!("{size} hosts, failure {number}"));
            let (suspected, known) = failure(&mut wire, size - 1 - number);
            outs.push(suspected);
            ends.push(known);
        }
        let cells = [median(&forces), median(&knows), median(&outs), median(&ends)];
        spread.push(&[&size, &cells[0], &cells[1], &cells[2], &cells[3]]);
    }
    Ok(vec![costs, spread])
}

//! Discrete-event simulation of the member tables of all hosts, with encoded messages and without a network.
//!
//! Every host probes once a second, with a random phase. The delay of a message depends on whether it crosses regions;
//! no message is lost. A host that learns of a higher generation installs it after a fixed delay.

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
    target_size::members,
    usage::{mebibytes, resident_bytes},
};

/// One second in microseconds: the probe interval and the start of virtual time.
const SECOND: u64 = 1_000_000;
/// One-way message delay within a region and between regions, in microseconds.
const MESSAGE_DELAYS: (u64, u64) = (500, 12_000);
/// Time to fetch, check and install a generation, in microseconds.
const INSTALL_DELAY: u64 = 500_000;
/// Time after which a direct probe has failed, in microseconds; an indirect one takes twice as long.
const PROBE_TIMEOUT: u64 = 300_000;
/// Interval at which member tables check their deadlines, in microseconds.
const TICK_INTERVAL: u64 = 500_000;
/// Time limit of a change in seconds, several times the bound on its propagation.
const CHANGE_LIMIT: u64 = 60;
/// Hosts per data centre that watch the store and learn of a change from it.
const STORE_WATCHERS: usize = 2;

/// Event at one host.
#[derive(Debug)]
enum SimEvent {
    Probe,
    Tick,
    /// Gossip received from the host `from`: its own record and those of other members.
    Request {
        from: usize,
        message: Box<(MemberRecord, Vec<MemberRecord>)>,
    },
    Reply {
        message: Box<(MemberRecord, Vec<MemberRecord>)>,
    },
    ProbeFailed {
        target: HostId,
        incarnation: IncarnationId,
        is_indirect: bool,
    },
    Installed(ConfigGeneration),
}

/// Member tables of all hosts, and the queue of pending events.
struct GossipSimulation {
    tables: Vec<MemberTable>,
    is_up: Vec<bool>,
    /// Highest generation that each host has installed or is fetching.
    requested_generations: Vec<u64>,
    /// Time, index in `events` and host of each pending event, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// All events so far; taken when they are handled.
    events: Vec<Option<SimEvent>>,
    positions: std::collections::HashMap<HostId, usize>,
    rng: ChaCha8Rng,
    now: u64,
    messages: u64,
    bytes: u64,
}

impl GossipSimulation {
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
        let mut simulation = Self {
            is_up: vec![true; tables.len()],
            requested_generations: vec![1; tables.len()],
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
            simulation.tables[idx].handle(MonoTime(simulation.now), seeded, &mut simulation.rng);
            simulation.push(phase, idx, SimEvent::Probe);
            simulation.push(phase % TICK_INTERVAL, idx, SimEvent::Tick);
        }
        simulation
    }

    fn push(&mut self, delay: u64, host: usize, event: SimEvent) {
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, self.events.len() as u64 - 1, host)));
    }

    /// Takes the gossip that `from` has for `to`, and counts the encoded message.
    fn take_gossip(&mut self, from: usize, to: usize) -> Box<(MemberRecord, Vec<MemberRecord>)> {
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

    fn delay(&self, from: usize, to: usize) -> u64 {
        let is_same_region = self.tables[from].own().region == self.tables[to].own().region;
        if is_same_region { MESSAGE_DELAYS.0 } else { MESSAGE_DELAYS.1 }
    }

    /// Sends a message to `to`; a probe of a failed host times out.
    fn send(&mut self, from: usize, to: &MemberRecord, is_probe: bool) {
        let Some(&target) = self.positions.get(&to.id) else { return };
        let message = self.take_gossip(from, target);
        if self.is_up[target] {
            self.push(self.delay(from, target), target, SimEvent::Request { from, message });
        } else if is_probe {
            let (target, incarnation) = (to.id.clone(), to.incarnation);
            let timed_out = SimEvent::ProbeFailed { target, incarnation, is_indirect: false };
            self.push(PROBE_TIMEOUT, from, timed_out);
        }
    }

    /// Passes an event to the member table of `host` and carries out the resulting actions.
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
                        let timed_out =
                            SimEvent::ProbeFailed { target: id, incarnation, is_indirect: true };
                        self.push(2 * PROBE_TIMEOUT, host, timed_out);
                    }
                }
            }
        }
    }

    /// Delivers a message to `host`, and starts a fetch if the sender has a higher generation.
    fn receive(&mut self, host: usize, message: (MemberRecord, Vec<MemberRecord>)) {
        let (sender, members) = message;
        let generation = sender.generation;
        self.apply(host, MemberEvent::MessageReceived { sender: Box::new(sender), members });
        if generation.0 > self.requested_generations[host] {
            self.requested_generations[host] = generation.0;
            self.push(INSTALL_DELAY, host, SimEvent::Installed(generation));
        }
    }

    /// Handles all events up to the virtual time `end`; those of failed hosts are dropped.
    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, index, host))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let Some(event) = self.events[index as usize].take() else { continue };
            if self.is_up[host] {
                self.handle_event(host, event);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, host: usize, event: SimEvent) {
        match event {
            SimEvent::Probe => {
                self.apply(host, MemberEvent::ProbeDue);
                self.push(SECOND, host, SimEvent::Probe);
            }
            SimEvent::Tick => {
                self.apply(host, MemberEvent::TimePassed);
                self.push(TICK_INTERVAL, host, SimEvent::Tick);
            }
            SimEvent::Request { from, message } => {
                self.receive(host, *message);
                let message = self.take_gossip(host, from);
                self.push(self.delay(host, from), from, SimEvent::Reply { message });
            }
            SimEvent::Reply { message } => self.receive(host, *message),
            SimEvent::ProbeFailed { target, incarnation, is_indirect: false } => {
                self.apply(host, MemberEvent::DirectProbeFailed { target, incarnation });
            }
            SimEvent::ProbeFailed { target, incarnation, is_indirect: true } => {
                self.apply(host, MemberEvent::IndirectProbeFailed { target, incarnation });
            }
            SimEvent::Installed(generation) => {
                self.apply(host, MemberEvent::Installed(generation));
            }
        }
    }

    /// Runs until `condition` holds, and returns the virtual time that it took in seconds.
    ///
    /// Returns `None` if the condition does not hold within `limit` seconds.
    fn time_until<F>(&mut self, limit: u64, condition: F) -> Option<f64>
    where
        F: Fn(&Self) -> bool,
    {
        let started = self.now;
        while !condition(self) {
            if self.now >= started + limit * SECOND {
                return None;
            }
            self.run_until(self.now + SECOND / 10);
        }
        Some((self.now - started) as f64 / SECOND as f64)
    }

    /// Iterates over the member tables of the hosts that have not failed.
    fn live_tables(&self) -> impl Iterator<Item = &MemberTable> {
        self.tables.iter().zip(&self.is_up).filter(|(_, is_up)| **is_up).map(|(table, _)| table)
    }
}

/// Measures the time until every host has installed `generation`, and until one host knows that all have.
fn measure_change(
    simulation: &mut GossipSimulation,
    generation: u64,
    limit: u64,
) -> (Option<f64>, Option<f64>) {
    let mut watchers = std::collections::HashMap::<_, usize>::new();
    for host in 0..simulation.tables.len() {
        let count = watchers.entry(simulation.tables[host].own().datacentre.clone()).or_default();
        *count += 1;
        if simulation.is_up[host] && *count <= STORE_WATCHERS {
            simulation.requested_generations[host] = generation;
            simulation.push(INSTALL_DELAY, host, SimEvent::Installed(ConfigGeneration(generation)));
        }
    }
    let has_generation = |it: &MemberRecord| it.generation.0 >= generation || !it.state.is_live();
    let started = simulation.now;
    let in_force = simulation.time_until(limit, |simulation| {
        simulation.live_tables().all(|it| has_generation(it.own()))
    });
    // Checks a single host, since an operator asks one host for the state of a change.
    let known = in_force
        .and_then(|_| {
            simulation.time_until(limit, |simulation| {
                simulation.tables[1].members().iter().all(has_generation)
            })
        })
        .map(|_| (simulation.now - started) as f64 / SECOND as f64);
    (in_force, known)
}

/// Fails the host `failed`, and measures the time until no host lists it for callers and until all know of its failure.
fn measure_failure(simulation: &mut GossipSimulation, failed: usize) -> (Option<f64>, Option<f64>) {
    simulation.is_up[failed] = false;
    let id = simulation.tables[failed].own().id.clone();
    let state = |table: &MemberTable| table.member(&id).map(|it| it.state);
    let started = simulation.now;
    let is_excluded = |table: &MemberTable| state(table).is_none_or(|it| !it.takes_callers());
    let excluded =
        simulation.time_until(60, |simulation| simulation.live_tables().all(is_excluded));
    let is_failed = |table: &MemberTable| state(table).is_none_or(|it| it >= MemberState::Failed);
    let known = simulation.time_until(60, |simulation| simulation.live_tables().all(is_failed));
    (excluded, known.map(|_| (simulation.now - started) as f64 / SECOND as f64))
}

/// Formats median and maximum, and the number of times that exceeded the limit.
fn format_times(times: &[Option<f64>]) -> String {
    let mut sorted: Vec<_> = times.iter().flatten().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let exceeded = times.len() - sorted.len();
    let text = format!("{:.1} / {:.1}", quantile(&sorted, 0.5), quantile(&sorted, 1.0));
    if exceeded == 0 { text } else { format!("{text}, {exceeded} not in time") }
}

/// Measures message costs and convergence times for growing numbers of hosts.
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
    let mut convergence = MeasureTable::new(
        format!("gossip: seconds, median / maximum of {changes} changes"),
        &["hosts", "in force", "known to be", "left out", "failure known"],
    );
    for &size in sizes {
        run.step(format!("{size} hosts"));
        let before = resident_bytes(None);
        let mut simulation = GossipSimulation::new(&members(size)?, run.seed);
        let memory = resident_bytes(None).saturating_sub(before) / size as u64;
        // Lets the gossip about the seeded records subside.
        simulation.run_until(simulation.now + 15 * SECOND);
        (simulation.messages, simulation.bytes) = (0, 0);
        let started = Instant::now();
        simulation.run_until(simulation.now + 10 * SECOND);
        let elapsed = started.elapsed().as_secs_f64();
        let (messages, bytes) = (simulation.messages as f64, simulation.bytes as f64);
        let seconds = 10.0 * size as f64;
        costs.push(&[
            &size,
            &format!("{:.2}", messages / seconds),
            &format!("{:.0}", bytes / messages),
            &format!("{:.0}", bytes / seconds),
            &format!("{:.1}", elapsed * 1e6 / messages),
            &format!("{:.0}", elapsed * 1e6 / seconds),
            &mebibytes(memory * 1024),
        ]);
        let (mut in_force_times, mut known_times) = (Vec::new(), Vec::new());
        for generation in 0..changes {
            run.step(format!("{size} hosts, change {generation}"));
            let (in_force, known) = measure_change(&mut simulation, generation + 2, CHANGE_LIMIT);
            in_force_times.push(in_force);
            known_times.push(known);
        }
        let (mut excluded_times, mut failure_times) = (Vec::new(), Vec::new());
        for number in 0..changes as usize / 2 {
            run.step(format!("{size} hosts, failure {number}"));
            let (excluded, known) = measure_failure(&mut simulation, size - 1 - number);
            excluded_times.push(excluded);
            failure_times.push(known);
        }
        let cells = [
            format_times(&in_force_times),
            format_times(&known_times),
            format_times(&excluded_times),
            format_times(&failure_times),
        ];
        convergence.push(&[&size, &cells[0], &cells[1], &cells[2], &cells[3]]);
    }
    Ok(vec![costs, convergence])
}

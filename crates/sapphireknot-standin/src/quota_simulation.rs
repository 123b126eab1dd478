//! Discrete-event simulation of the quota ledgers of several hosts, a store and an unreliable network.
//!
//! The sum over all hosts is checked against one token bucket for the whole resource. A run takes its faults from
//! `Unstructured`: messages are lost, duplicated, delayed and reordered; processes are killed, paused, replaced while the
//! old one is paused, and stopped; the store does not respond or its replies are lost; limits change host by host; and
//! clocks drift within the supported margin. In some runs the invariants are checked after every event.

mod event;
mod oracle;
mod process;
mod steps;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{QuotaLimits, ResourceId},
    units::{BurstSize, RequestRate, TokenCount, TrafficShare},
};

use self::{
    event::SimulationEvent,
    oracle::ReferenceBucket,
    process::{ProcessState, SimulatedProcess},
};
use crate::quota_store::QuotaStore;

/// Number of simulated hosts.
const HOSTS: usize = 4;
/// Microseconds per millisecond, the time resolution of the simulation.
const MICROS_PER_MILLI: u64 = 1_000;

/// State of one simulation run.
#[derive(Debug)]
pub struct QuotaSimulation {
    now: u64,
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    queued: u64,
    store: QuotaStore,
    processes: Vec<SimulatedProcess>,
    whole: Vec<ReferenceBucket>,
    configured: Vec<(ResourceId, QuotaLimits)>,
    /// Percentage of messages that are lost, and also of those that are duplicated.
    fault_percent: u32,
    /// Speed of each host's clock, in millionths of true time.
    clock_ppm: [u64; HOSTS],
    /// Whether the invariants are checked after every event. A check advances the ledgers to the current time, so only
    /// runs without it cover a host that was idle past a deadline.
    checks_each_event: bool,
}

/// Runs one simulation and checks the requests that all hosts admit, and the shares and tokens that they hold.
///
/// # Panics
///
/// Panics if the hosts together exceed the limits of a resource.
pub fn check_run(u: &mut Unstructured<'_>) -> Result<()> {
    let mut simulation = QuotaSimulation::new(u)?;
    // A step without a live process consumes no input, so the loop would not terminate.
    while !u.is_empty() && simulation.has_live_process() {
        simulation.step(u)?;
    }
    Ok(())
}

impl QuotaSimulation {
    fn has_live_process(&self) -> bool {
        self.processes.iter().any(|it| it.state != ProcessState::Dead)
    }

    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut clock_ppm = [1_000_000; HOSTS];
        if u.ratio(2, 3)? {
            for ppm in &mut clock_ppm {
                *ppm = *u.choose(&[950_000, 950_000, 1_000_000, 1_050_000])?;
            }
        }
        let fastest = clock_ppm.iter().copied().max().unwrap_or(1_000_000);
        let mut configured = Vec::new();
        for name in ["organisation/a", "spill/reports/dublin"] {
            let resource = name.parse().map_err(|_| arbtest::arbitrary::Error::IncorrectFormat)?;
            configured.push((resource, draw_limits(u)?));
        }
        let whole = configured.iter().map(|it| ReferenceBucket::new(it.1, fastest)).collect();
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            store: QuotaStore::default(),
            processes: Vec::new(),
            whole,
            configured,
            fault_percent: *u.choose(&[0, 5, 20])?,
            clock_ppm,
            checks_each_event: u.arbitrary()?,
        };
        for host in 0..HOSTS {
            simulation.start_process(host);
        }
        Ok(simulation)
    }

    fn start_process(&mut self, host: usize) {
        let process = self.processes.len();
        let Ok(id) = format!("h{host}").parse::<HostId>() else { return };
        let incarnation = IncarnationId(process as u64 + 1);
        // The clock of every process has a different origin.
        let clock = (process as u64 * 1_000_000_000, self.clock_ppm[host]);
        let limits = &self.configured;
        self.processes.push(SimulatedProcess::new(id, incarnation, clock, self.now, limits));
        self.send(0, SimulationEvent::Heartbeat { process });
    }

    fn send(&mut self, delay: u64, event: SimulationEvent) {
        self.queued += 1;
        self.queue.insert((self.now + delay, self.queued), event);
    }

    /// Sends a message over the network, which may lose, duplicate or delay it.
    fn transmit(&mut self, u: &mut Unstructured<'_>, event: SimulationEvent) -> Result<()> {
        let delay = u.int_in_range(0..=40)? * MICROS_PER_MILLI;
        let fault_draw = u.int_in_range(0..=99)?;
        if fault_draw < self.fault_percent {
            return Ok(());
        }
        if fault_draw < 2 * self.fault_percent {
            let later = u.int_in_range(0..=8_000)? * MICROS_PER_MILLI;
            self.send(later, event.clone());
        }
        self.send(delay, event);
        Ok(())
    }

    /// Advances true time and delivers the events that become due.
    fn advance(&mut self, u: &mut Unstructured<'_>, millis: u64) -> Result<()> {
        let end = self.now + millis * MICROS_PER_MILLI;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.set_now(at.max(self.now));
            self.deliver(u, event)?;
            if self.checks_each_event {
                self.check_invariants();
            }
        }
        self.set_now(end);
        Ok(())
    }

    fn set_now(&mut self, now: u64) {
        self.now = now;
        self.whole.iter_mut().for_each(|it| it.refill(now));
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>, event: SimulationEvent) -> Result<()> {
        let Some(receiver) = event.receiver() else {
            return self.handle(u, event);
        };
        match self.processes[receiver].state {
            ProcessState::Running => self.handle(u, event),
            ProcessState::Paused => {
                self.processes[receiver].inbox.push(event);
                Ok(())
            }
            ProcessState::Dead => Ok(()),
        }
    }

    /// Returns the newest process of a host, to which the host's address leads.
    fn newest_process(&self, host: &HostId) -> Option<usize> {
        self.processes.iter().rposition(|it| it.host == *host)
    }

    /// Applies limits on one process; the reference bucket allows the largest limits in force on any host.
    fn set_limits(&mut self, process: usize, resource: usize, limits: QuotaLimits) {
        let target = &mut self.processes[process];
        let local = target.local_time(self.now);
        target.ledger.set_limits(local, &self.configured[resource].0, limits);
        target.limits[resource] = limits;
        self.update_reference_limits();
    }

    fn update_reference_limits(&mut self) {
        for (resource, whole) in self.whole.iter_mut().enumerate() {
            let alive = self.processes.iter().filter(|it| it.state != ProcessState::Dead);
            let mut limits = QuotaLimits::default();
            for held in alive.map(|it| it.limits[resource]) {
                limits.rate = limits.rate.max(held.rate);
                limits.burst = limits.burst.max(held.burst);
            }
            whole.set_limits(limits);
        }
    }

    /// Takes up to `count` tokens on one host.
    fn take(&mut self, process: usize, resource: usize, count: u32) {
        let now = self.now;
        let taker = &mut self.processes[process];
        for _ in 0..count {
            if !taker.ledger.try_take(taker.local_time(now), &self.configured[resource].0) {
                break;
            }
            let is_allowed = self.whole[resource].take();
            assert!(is_allowed, "{} admitted beyond the whole at {now} us", taker.host);
        }
    }

    /// Lowers the reference buckets to the tokens that the hosts hold, unless a process is paused: its tokens are known
    /// only once it runs again.
    fn lower_to_held_tokens(&mut self) {
        self.check_invariants();
        if self.processes.iter().any(|it| it.state == ProcessState::Paused) {
            return;
        }
        for (idx, (resource, _)) in self.configured.iter().enumerate() {
            let running = self.processes.iter().filter(|it| it.is_running());
            let tokens =
                running.filter_map(|it| it.ledger.view(resource)).map(|it| it.tokens.0 + 1);
            self.whole[idx].lower_level(TokenCount(tokens.sum()));
        }
    }

    /// Checks that the shares and tokens of all running processes do not exceed the whole resource.
    fn check_invariants(&mut self) {
        for (idx, (resource, _)) in self.configured.iter().enumerate() {
            let mut share = 0;
            let mut tokens = TokenCount::NONE;
            for process in self.processes.iter_mut().filter(|it| it.is_running()) {
                let local = process.local_time(self.now);
                process.ledger.settle(local);
                let Some(view) = process.ledger.view(resource) else { continue };
                share += view.active.0;
                tokens = tokens.saturating_add(view.tokens);
            }
            assert!(share <= TrafficShare::WHOLE.0, "{share} ppm in use at {} us", self.now);
            assert!(self.whole[idx].covers(tokens), "{tokens} tokens too many at {} us", self.now);
        }
    }
}

fn draw_limits(u: &mut Unstructured<'_>) -> Result<QuotaLimits> {
    Ok(QuotaLimits {
        rate: RequestRate::per_second(*u.choose(&[0, 7, 50, 200])?),
        burst: BurstSize(*u.choose(&[1, 10, 60, 300])?),
    })
}

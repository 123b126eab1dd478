//! Hosts, a store and a network that fails, to check quota decisions against a bucket of the whole.
//!
//! A run draws its faults from `Unstructured`: messages are lost, doubled, delayed and reordered, processes are killed,
//! paused, replaced while the old one is paused, and stopped, the store is silent or its answers are lost, limits change
//! host by host, and clocks drift within the margin. After every step the run may compare all hosts with the whole.

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
    event::WorldEvent,
    oracle::WholeBucket,
    process::{ProcessState, WorldProcess},
};
use crate::quota_store::QuotaStore;

/// Hosts of a world.
const HOSTS: usize = 4;
/// Microseconds of a millisecond, the resolution of time in a world.
const MILLI: u64 = 1_000;

/// One run.
#[derive(Debug)]
pub struct QuotaSimulation {
    now: u64,
    queue: BTreeMap<(u64, u64), WorldEvent>,
    queued: u64,
    store: QuotaStore,
    processes: Vec<WorldProcess>,
    whole: Vec<WholeBucket>,
    configured: Vec<(ResourceId, QuotaLimits)>,
    /// Percent of messages that are lost, and as many that are doubled.
    fault_percent: u32,
    clocks: [u64; HOSTS],
    /// Whether hosts are compared with the whole after every message. An audit brings ledgers to the present, so runs
    /// without it see what a host does that was idle past a deadline.
    is_audited: bool,
}

/// Checks one run: the requests that all hosts admit, and the shares and tokens that they hold.
///
/// # Panics
///
/// If the hosts together exceed the whole.
pub fn check_run(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = QuotaSimulation::new(u)?;
    // A step without a process to act on reads no input, so that the loop would not end.
    while !u.is_empty() && world.has_process() {
        world.step(u)?;
    }
    Ok(())
}

impl QuotaSimulation {
    fn has_process(&self) -> bool {
        self.processes.iter().any(|it| it.state != ProcessState::Dead)
    }

    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut clocks = [1_000_000; HOSTS];
        if u.ratio(2, 3)? {
            for clock in &mut clocks {
                *clock = *u.choose(&[950_000, 950_000, 1_000_000, 1_050_000])?;
            }
        }
        let fastest = clocks.iter().copied().max().unwrap_or(1_000_000);
        let mut configured = Vec::new();
        for name in ["organisation/a", "spill/reports/dublin"] {
            let resource = name.parse().map_err(|_| arbtest::arbitrary::Error::IncorrectFormat)?;
            configured.push((resource, draw_limits(u)?));
        }
        let whole = configured.iter().map(|it| WholeBucket::new(it.1, fastest)).collect();
        let mut world = Self {
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            store: QuotaStore::default(),
            processes: Vec::new(),
            whole,
            configured,
            fault_percent: *u.choose(&[0, 5, 20])?,
            clocks,
            is_audited: u.arbitrary()?,
        };
        for host in 0..HOSTS {
            world.start_process(host);
        }
        Ok(world)
    }

    fn start_process(&mut self, host: usize) {
        let process = self.processes.len();
        let Ok(id) = format!("h{host}").parse::<HostId>() else { return };
        let incarnation = IncarnationId(process as u64 + 1);
        // Every process has another zero of its clock.
        let clock = (process as u64 * 1_000_000_000, self.clocks[host]);
        let limits = &self.configured;
        self.processes.push(WorldProcess::new(id, incarnation, clock, self.now, limits));
        self.send(0, WorldEvent::Heartbeat { process });
    }

    fn send(&mut self, delay: u64, event: WorldEvent) {
        self.queued += 1;
        self.queue.insert((self.now + delay, self.queued), event);
    }

    /// Sends a message over the network: it may be lost, doubled and delayed.
    fn transmit(&mut self, u: &mut Unstructured<'_>, event: WorldEvent) -> Result<()> {
        let delay = u.int_in_range(0..=40)? * MILLI;
        let fate = u.int_in_range(0..=99)?;
        if fate < self.fault_percent {
            return Ok(());
        }
        if fate < 2 * self.fault_percent {
            let later = u.int_in_range(0..=8_000)? * MILLI;
            self.send(later, event.clone());
        }
        self.send(delay, event);
        Ok(())
    }

    /// Lets time pass and handles what arrives.
    fn advance(&mut self, u: &mut Unstructured<'_>, millis: u64) -> Result<()> {
        let end = self.now + millis * MILLI;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.set_now(at.max(self.now));
            self.deliver(u, event)?;
            if self.is_audited {
                self.audit();
            }
        }
        self.set_now(end);
        Ok(())
    }

    fn set_now(&mut self, now: u64) {
        self.now = now;
        self.whole.iter_mut().for_each(|it| it.settle(now));
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>, event: WorldEvent) -> Result<()> {
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

    /// The newest process of a host, which has the host's address.
    fn current(&self, host: &HostId) -> Option<usize> {
        self.processes.iter().rposition(|it| it.host == *host)
    }

    /// Applies limits on one process; the whole allows the largest limits in force anywhere.
    fn set_limits(&mut self, process: usize, resource: usize, limits: QuotaLimits) {
        let target = &mut self.processes[process];
        let local = target.local(self.now);
        target.ledger.set_limits(local, &self.configured[resource].0, limits);
        target.limits[resource] = limits;
        self.update_whole();
    }

    fn update_whole(&mut self) {
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
            if !taker.ledger.try_take(taker.local(now), &self.configured[resource].0) {
                break;
            }
            let is_allowed = self.whole[resource].take();
            assert!(is_allowed, "{} admitted beyond the whole at {now} us", taker.host);
        }
    }

    /// Lowers the whole to what the hosts hold, if none is paused. Tokens of paused hosts are known only when they run.
    fn tighten(&mut self) {
        self.audit();
        if self.processes.iter().any(|it| it.state == ProcessState::Paused) {
            return;
        }
        for (idx, (resource, _)) in self.configured.iter().enumerate() {
            let running = self.processes.iter().filter(|it| it.is_running());
            let tokens =
                running.filter_map(|it| it.ledger.view(resource)).map(|it| it.tokens.0 + 1);
            self.whole[idx].tighten(TokenCount(tokens.sum()));
        }
    }

    /// Compares shares and tokens of all running hosts with the whole.
    fn audit(&mut self) {
        for (idx, (resource, _)) in self.configured.iter().enumerate() {
            let mut share = 0;
            let mut tokens = TokenCount::NONE;
            for process in self.processes.iter_mut().filter(|it| it.is_running()) {
                let local = process.local(self.now);
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

//! Requests, ticks and delayed messages of one run.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    load::{Fault, HOSTS, RATES, RUN_END, SECOND, WARM_UP, latency, next_gap, pick_host},
    stats::Tally,
};

/// Time that a request waits for a token at most.
const LONGEST_WAIT: u64 = SECOND / 4;
/// Interval at which a host looks after its quotas.
const TICK: u64 = SECOND / 20;

/// What admits requests on all hosts.
pub(crate) trait QuotaPolicy {
    /// Takes a token on a host; `is_first` unless the request asked before.
    fn try_take(&mut self, host: usize, organisation: usize, now: u64, is_first: bool) -> bool;

    /// Regular work of a host.
    fn tick(&mut self, host: usize, now: u64, net: &mut Network);

    /// Requests of a host and organisation wait for tokens.
    fn want(&mut self, place: (usize, usize), waiting: u32, now: u64, net: &mut Network);

    /// A message arrives. Returns the host and organisation whose waiting requests may try again.
    fn receive(&mut self, message: u64, now: u64, net: &mut Network) -> Option<(usize, usize)>;

    /// The host was killed or started again.
    fn restart(&mut self, host: usize, now: u64);
}

#[derive(Debug, Clone, Copy)]
enum WorldEvent {
    Request(usize),
    Tick(usize),
    Message { id: u64, to: usize },
    Expire { host: usize, organisation: usize, arrived: u64 },
}

/// Queue of messages and other events. A policy keeps the content of a message under its id.
pub(crate) struct Network {
    queue: BTreeMap<(u64, u64), WorldEvent>,
    next: u64,
    pub(crate) fault: Fault,
    sent: u64,
    pub(crate) now: u64,
}

impl Network {
    fn push(&mut self, at: u64, event: WorldEvent) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    /// Sends a message from host to host and returns whether it arrives.
    pub(crate) fn send(&mut self, from: usize, to: usize, id: u64) -> bool {
        self.deliver(from, to, id, latency(from, to))
    }

    /// Sends a message that arrives after `delay`.
    pub(crate) fn deliver(&mut self, from: usize, to: usize, id: u64, delay: u64) -> bool {
        self.sent += u64::from(self.now >= WARM_UP);
        let is_lost = self.fault.is_cut(from, to, self.now);
        if !is_lost {
            self.push(self.now + delay, WorldEvent::Message { id, to });
        }
        !is_lost
    }
}

struct Waiting {
    host: usize,
    organisation: usize,
    arrived: u64,
}

/// Runs one load against a policy.
pub(crate) fn run_world(mut policy: Box<dyn QuotaPolicy>, fault: Fault, seed: u64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net = Network { queue: BTreeMap::new(), next: 0, fault, sent: 0, now: 0 };
    let mut tally = Tally::new();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut dead = [false; HOSTS];
    for organisation in 0..RATES.len() {
        net.push(organisation as u64 * 1_000, WorldEvent::Request(organisation));
    }
    for host in 0..HOSTS {
        net.push(host as u64 * 3_700, WorldEvent::Tick(host));
    }
    while let Some(((now, _), event)) = net.queue.pop_first() {
        if now >= RUN_END {
            break;
        }
        net.now = now;
        match event {
            WorldEvent::Request(organisation) => {
                let host = pick_host(organisation, now, seed, fault, &mut rng);
                let gap = next_gap(organisation, now, &mut rng);
                net.push(now + gap, WorldEvent::Request(organisation));
                if policy.try_take(host, organisation, now, true) {
                    tally.admit(organisation, now, now);
                } else {
                    waiting.push(Waiting { host, organisation, arrived: now });
                    want(&mut *policy, &waiting, (host, organisation), &mut net);
                    let event = WorldEvent::Expire { host, organisation, arrived: now };
                    net.push(now + LONGEST_WAIT, event);
                }
            }
            WorldEvent::Tick(host) => {
                net.push(now + TICK, WorldEvent::Tick(host));
                let is_dead = fault.is_dead(host, now);
                if dead[host] != is_dead {
                    dead[host] = is_dead;
                    policy.restart(host, now);
                }
                if !is_dead {
                    policy.tick(host, now, &mut net);
                    for organisation in 0..RATES.len() {
                        retry(&mut *policy, &mut waiting, &mut tally, (host, organisation), now);
                        want(&mut *policy, &waiting, (host, organisation), &mut net);
                    }
                }
            }
            WorldEvent::Message { id, to } => {
                if to < HOSTS && fault.is_dead(to, now) {
                    continue;
                }
                if let Some(place) = policy.receive(id, now, &mut net) {
                    retry(&mut *policy, &mut waiting, &mut tally, place, now);
                    want(&mut *policy, &waiting, place, &mut net);
                }
            }
            WorldEvent::Expire { host, organisation, arrived } => {
                retry(&mut *policy, &mut waiting, &mut tally, (host, organisation), now);
                let expired = |it: &Waiting| {
                    (it.host, it.organisation, it.arrived) == (host, organisation, arrived)
                };
                if let Some(idx) = waiting.iter().position(expired) {
                    waiting.remove(idx);
                    tally.refuse(organisation, now, arrived);
                }
            }
        }
    }
    tally.finish(net.sent, (RUN_END - WARM_UP) / SECOND * HOSTS as u64);
    tally
}

/// Lets waiting requests try again, in the order of their arrival.
fn retry(
    policy: &mut dyn QuotaPolicy,
    waiting: &mut Vec<Waiting>,
    tally: &mut Tally,
    place: (usize, usize),
    now: u64,
) {
    let is_there = |it: &Waiting| (it.host, it.organisation) == place;
    while let Some(idx) = waiting.iter().position(is_there) {
        if !policy.try_take(place.0, place.1, now, false) {
            return;
        }
        let request = waiting.remove(idx);
        tally.admit(place.1, now, request.arrived);
    }
}

/// Lets the policy fetch tokens for the requests that wait.
fn want(
    policy: &mut dyn QuotaPolicy,
    waiting: &[Waiting],
    place: (usize, usize),
    net: &mut Network,
) {
    let count = waiting.iter().filter(|it| (it.host, it.organisation) == place).count();
    if count > 0 {
        policy.want(place, count as u32, net.now, net);
    }
}

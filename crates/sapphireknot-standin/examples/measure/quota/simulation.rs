//! Discrete-event simulation of one run: requests, ticks of the hosts and delayed messages.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    load::{Fault, HOSTS, RATES, RUN_END, SECOND, WARM_UP_END, latency, next_gap, pick_host},
    stats::AdmissionStats,
};

/// Longest time that a request waits for a token, in microseconds.
const MAX_TOKEN_WAIT: u64 = SECOND / 4;
/// Interval at which a host maintains its quotas, in microseconds.
const TICK_INTERVAL: u64 = SECOND / 20;

/// Policy that admits requests on all hosts. Times are microseconds of virtual time; an account is a pair of host and
/// organisation.
pub(crate) trait QuotaPolicy {
    /// Takes a token on a host and returns whether there was one. `is_first` is false for a request that tries again.
    fn try_take(&mut self, host: usize, organisation: usize, now: u64, is_first: bool) -> bool;

    /// Does the periodic work of a host.
    fn tick(&mut self, host: usize, now: u64, net: &mut Network);

    /// Requests tokens for `waiting` requests of an account.
    fn request_tokens(
        &mut self,
        account: (usize, usize),
        waiting: u32,
        now: u64,
        net: &mut Network,
    );

    /// Handles a message that arrives. Returns the account whose waiting requests may try again.
    fn receive(&mut self, message: u64, now: u64, net: &mut Network) -> Option<(usize, usize)>;

    /// Resets the state of a host that was killed or started again.
    fn restart(&mut self, host: usize, now: u64);
}

#[derive(Debug, Clone, Copy)]
enum SimulationEvent {
    /// The next request of an organisation arrives.
    Request(usize),
    /// Periodic work of a host is due.
    Tick(usize),
    /// A message arrives.
    Message { id: u64, to: usize },
    /// A request has waited for `MAX_TOKEN_WAIT`.
    Expire { host: usize, organisation: usize, arrived: u64 },
}

/// Event queue with the simulated network. It carries only the ids of messages; the policy keeps their content.
pub(crate) struct Network {
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    /// Sequence number that keeps events of the same time in the order in which they were scheduled.
    next_sequence: u64,
    pub(crate) fault: Fault,
    /// Messages sent after the warm-up, including lost ones.
    sent_messages: u64,
    pub(crate) now: u64,
}

impl Network {
    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.next_sequence += 1;
        self.queue.insert((at, self.next_sequence), event);
    }

    /// Sends a message with the latency between two hosts and returns whether the network carries it. A host that is
    /// down on arrival still misses it.
    pub(crate) fn send(&mut self, from: usize, to: usize, id: u64) -> bool {
        self.send_with_delay(from, to, id, latency(from, to))
    }

    /// Sends a message that arrives after `delay` and returns whether the network carries it. A lost one counts as
    /// sent.
    pub(crate) fn send_with_delay(&mut self, from: usize, to: usize, id: u64, delay: u64) -> bool {
        self.sent_messages += u64::from(self.now >= WARM_UP_END);
        let is_lost = self.fault.is_message_lost(from, to, self.now);
        if !is_lost {
            self.schedule(self.now + delay, SimulationEvent::Message { id, to });
        }
        !is_lost
    }
}

/// Request that waits for a token.
struct WaitingRequest {
    host: usize,
    organisation: usize,
    arrived: u64,
}

/// Runs the workload of one seed against a policy and returns its counts.
pub(crate) fn run_simulation(
    mut policy: Box<dyn QuotaPolicy>,
    fault: Fault,
    seed: u64,
) -> AdmissionStats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut net =
        Network { queue: BTreeMap::new(), next_sequence: 0, fault, sent_messages: 0, now: 0 };
    let mut stats = AdmissionStats::new();
    let mut waiting: Vec<WaitingRequest> = Vec::new();
    let mut was_down = [false; HOSTS];
    for organisation in 0..RATES.len() {
        net.schedule(organisation as u64 * 1_000, SimulationEvent::Request(organisation));
    }
    for host in 0..HOSTS {
        net.schedule(host as u64 * 3_700, SimulationEvent::Tick(host));
    }
    while let Some(((now, _), event)) = net.queue.pop_first() {
        if now >= RUN_END {
            break;
        }
        net.now = now;
        match event {
            SimulationEvent::Request(organisation) => {
                let host = pick_host(organisation, now, seed, fault, &mut rng);
                let gap = next_gap(organisation, now, &mut rng);
                net.schedule(now + gap, SimulationEvent::Request(organisation));
                if policy.try_take(host, organisation, now, true) {
                    stats.admit(organisation, now, now);
                } else {
                    waiting.push(WaitingRequest { host, organisation, arrived: now });
                    request_for_waiting(&mut *policy, &waiting, (host, organisation), &mut net);
                    let event = SimulationEvent::Expire { host, organisation, arrived: now };
                    net.schedule(now + MAX_TOKEN_WAIT, event);
                }
            }
            SimulationEvent::Tick(host) => {
                net.schedule(now + TICK_INTERVAL, SimulationEvent::Tick(host));
                let is_down = fault.is_host_down(host, now);
                if was_down[host] != is_down {
                    was_down[host] = is_down;
                    policy.restart(host, now);
                }
                if !is_down {
                    policy.tick(host, now, &mut net);
                    for organisation in 0..RATES.len() {
                        retry_waiting(
                            &mut *policy,
                            &mut waiting,
                            &mut stats,
                            (host, organisation),
                            now,
                        );
                        request_for_waiting(&mut *policy, &waiting, (host, organisation), &mut net);
                    }
                }
            }
            SimulationEvent::Message { id, to } => {
                if to < HOSTS && fault.is_host_down(to, now) {
                    continue;
                }
                if let Some(account) = policy.receive(id, now, &mut net) {
                    retry_waiting(&mut *policy, &mut waiting, &mut stats, account, now);
                    request_for_waiting(&mut *policy, &waiting, account, &mut net);
                }
            }
            SimulationEvent::Expire { host, organisation, arrived } => {
                retry_waiting(&mut *policy, &mut waiting, &mut stats, (host, organisation), now);
                let expired = |it: &WaitingRequest| {
                    (it.host, it.organisation, it.arrived) == (host, organisation, arrived)
                };
                if let Some(idx) = waiting.iter().position(expired) {
                    waiting.remove(idx);
                    stats.refuse(organisation, now, arrived);
                }
            }
        }
    }
    stats.finish(net.sent_messages, (RUN_END - WARM_UP_END) / SECOND * HOSTS as u64);
    stats
}

/// Admits the waiting requests of an account in the order of their arrival, until the policy has no token left.
fn retry_waiting(
    policy: &mut dyn QuotaPolicy,
    waiting: &mut Vec<WaitingRequest>,
    stats: &mut AdmissionStats,
    account: (usize, usize),
    now: u64,
) {
    let matches_account = |it: &WaitingRequest| (it.host, it.organisation) == account;
    while let Some(idx) = waiting.iter().position(matches_account) {
        if !policy.try_take(account.0, account.1, now, false) {
            return;
        }
        let request = waiting.remove(idx);
        stats.admit(account.1, now, request.arrived);
    }
}

/// Has the policy request tokens for the waiting requests of an account, if there are any.
fn request_for_waiting(
    policy: &mut dyn QuotaPolicy,
    waiting: &[WaitingRequest],
    account: (usize, usize),
    net: &mut Network,
) {
    let count = waiting.iter().filter(|it| (it.host, it.organisation) == account).count();
    if count > 0 {
        policy.request_tokens(account, count as u32, net.now, net);
    }
}

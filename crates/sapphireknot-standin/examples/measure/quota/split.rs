//! Baseline policies: an equal split of each quota, and a split by the demand of the last second.

use std::collections::HashMap;

use sapphireknot::{
    quota::TokenBucket,
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

use super::{
    load::{HOSTS, RATES, SECOND, limits},
    simulation::{Network, QuotaPolicy},
};

const ORGANISATIONS: usize = RATES.len();

/// Buckets and demand of one host.
struct SplitHost {
    buckets: Vec<TokenBucket>,
    /// Requests per organisation since the last exchange.
    counts: [u64; ORGANISATIONS],
    /// Last demand that each host reported, and the time at which the report arrived.
    reported: [([u64; ORGANISATIONS], u64); HOSTS],
    next_exchange: u64,
}

/// Token buckets whose shares are equal, or proportional to the demand that the hosts report to one another every
/// second.
pub(crate) struct SplitPolicy {
    hosts: Vec<SplitHost>,
    follows_demand: bool,
    /// Sender, receiver and demand of each report in transit, by message id.
    messages: HashMap<u64, (usize, usize, [u64; ORGANISATIONS])>,
    next_message: u64,
}

impl SplitPolicy {
    /// Policy in which every host keeps an equal share.
    pub(crate) fn equal() -> Self {
        Self::new(false)
    }

    /// Policy in which shares follow the demand of the last second.
    pub(crate) fn by_last_second() -> Self {
        Self::new(true)
    }

    fn new(follows_demand: bool) -> Self {
        let hosts = (0..HOSTS).map(|_| new_host(0)).collect();
        Self { hosts, follows_demand, messages: HashMap::new(), next_message: 0 }
    }
}

fn new_host(now: u64) -> SplitHost {
    let equal = TrafficShare(TrafficShare::WHOLE.0 / HOSTS as u32);
    let bucket = |organisation| {
        let mut bucket = TokenBucket::new(limits(organisation), MonoTime(now));
        bucket.set_share(equal);
        bucket
    };
    SplitHost {
        buckets: (0..ORGANISATIONS).map(bucket).collect(),
        counts: [0; ORGANISATIONS],
        reported: [([0; ORGANISATIONS], now); HOSTS],
        next_exchange: now + SECOND,
    }
}

impl SplitHost {
    /// Sets each share to the host's part of the demand in reports of the last three seconds, or to an equal share if
    /// these contain no demand.
    fn update_shares(&mut self, host: usize, now: u64) {
        for organisation in 0..ORGANISATIONS {
            let recent = self.reported.iter().filter(|it| it.1 + 3 * SECOND >= now);
            let sum: u64 = recent.map(|it| it.0[organisation]).sum();
            let own = self.reported[host].0[organisation];
            let whole = u64::from(TrafficShare::WHOLE.0);
            let share = (own * whole).checked_div(sum).unwrap_or(whole / HOSTS as u64);
            let bucket = &mut self.buckets[organisation];
            bucket.refill(MonoTime(now));
            bucket.set_share(TrafficShare(share as u32));
        }
    }
}

impl QuotaPolicy for SplitPolicy {
    fn try_take(&mut self, host: usize, organisation: usize, now: u64, is_first: bool) -> bool {
        let host = &mut self.hosts[host];
        host.counts[organisation] += u64::from(is_first);
        host.buckets[organisation].refill(MonoTime(now));
        host.buckets[organisation].try_take(TokenCount::ONE)
    }

    fn tick(&mut self, host: usize, now: u64, net: &mut Network) {
        let state = &mut self.hosts[host];
        if !self.follows_demand || now < state.next_exchange {
            return;
        }
        state.next_exchange = now + SECOND;
        let counts = std::mem::take(&mut state.counts);
        state.reported[host] = (counts, now);
        state.update_shares(host, now);
        for to in (0..HOSTS).filter(|it| *it != host) {
            self.next_message += 1;
            if net.send(host, to, self.next_message) {
                self.messages.insert(self.next_message, (host, to, counts));
            }
        }
    }

    fn request_tokens(&mut self, _: (usize, usize), _: u32, _: u64, _: &mut Network) {}

    fn receive(&mut self, message: u64, now: u64, _: &mut Network) -> Option<(usize, usize)> {
        let (from, to, counts) = self.messages.remove(&message)?;
        self.hosts[to].reported[from] = (counts, now);
        None
    }

    fn restart(&mut self, host: usize, now: u64) {
        self.hosts[host] = new_host(now);
    }
}

//! Baselines: an equal split, and a split by the demand of the last second.

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

struct SplitHost {
    buckets: Vec<TokenBucket>,
    /// Requests since the last exchange.
    counts: [u64; ORGANISATIONS],
    /// Last demand that each host told, and when.
    told: [([u64; ORGANISATIONS], u64); HOSTS],
    next_exchange: u64,
}

/// Buckets whose shares are equal, or follow the last demand that hosts told one another.
pub(crate) struct SplitPolicy {
    hosts: Vec<SplitHost>,
    follows_demand: bool,
    messages: HashMap<u64, (usize, usize, [u64; ORGANISATIONS])>,
    next: u64,
}

impl SplitPolicy {
    pub(crate) fn equal() -> Self {
        Self::new(false)
    }

    pub(crate) fn by_last_second() -> Self {
        Self::new(true)
    }

    fn new(follows_demand: bool) -> Self {
        let hosts = (0..HOSTS).map(|_| new_host(0)).collect();
        Self { hosts, follows_demand, messages: HashMap::new(), next: 0 }
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
        told: [([0; ORGANISATIONS], now); HOSTS],
        next_exchange: now + SECOND,
    }
}

impl SplitHost {
    /// Sets each share to the host's part of the demand told within the last three seconds; equal if there is none.
    fn split(&mut self, host: usize, now: u64) {
        for organisation in 0..ORGANISATIONS {
            let recent = self.told.iter().filter(|it| it.1 + 3 * SECOND >= now);
            let sum: u64 = recent.map(|it| it.0[organisation]).sum();
            let own = self.told[host].0[organisation];
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
        state.told[host] = (counts, now);
        state.split(host, now);
        for to in (0..HOSTS).filter(|it| *it != host) {
            self.next += 1;
            if net.send(host, to, self.next) {
                self.messages.insert(self.next, (host, to, counts));
            }
        }
    }

    fn want(&mut self, _: (usize, usize), _: u32, _: u64, _: &mut Network) {}

    fn receive(&mut self, message: u64, now: u64, _: &mut Network) -> Option<(usize, usize)> {
        let (from, to, counts) = self.messages.remove(&message)?;
        self.hosts[to].told[from] = (counts, now);
        None
    }

    fn restart(&mut self, host: usize, now: u64) {
        self.hosts[host] = new_host(now);
    }
}

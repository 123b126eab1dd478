//! Demand of a resource on this host, and the order in which peers are asked.

use std::time::Duration;

use crate::{
    ids::HostId,
    quota::QuotaLimits,
    time::MonoTime,
    units::{RequestRate, TrafficShare},
};

/// Length of a slot in which requests are counted. Shorter ones see too few requests at a few tens per second.
const SLOT: Duration = Duration::from_millis(100);
/// Slots of a second.
const SLOTS_PER_SECOND: u64 = 10;
/// How long the highest demand counts for giving back. Shorter ones send share back and forth in uneven demand.
const PEAK_HOLD: Duration = Duration::from_secs(2);
/// Slots without any call after which the demand counts as nothing.
const IDLE_SLOTS: u32 = 64;

/// Time for which a peer that lent too little is passed over.
const PASS_OVER: Duration = Duration::from_millis(50);
/// Times that this time is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// Demand as a short and a long moving average; the larger one counts, so that it rises fast and falls slowly.
#[derive(Debug, Clone)]
pub struct DemandEstimate {
    slot_end: MonoTime,
    count: u64,
    fast: u64,
    slow: u64,
    peak: RequestRate,
    peak_ends: MonoTime,
}

impl DemandEstimate {
    /// No demand.
    pub fn new(now: MonoTime) -> Self {
        Self {
            slot_end: now.after(SLOT),
            count: 0,
            fast: 0,
            slow: 0,
            peak: RequestRate(0),
            peak_ends: now,
        }
    }

    /// Counts one request, whether or not it is admitted.
    pub fn record(&mut self, now: MonoTime) {
        self.advance(now);
        self.count += 1;
    }

    /// Closes the slots that ended before `now`.
    pub fn advance(&mut self, now: MonoTime) {
        for _ in 0..IDLE_SLOTS {
            if now < self.slot_end {
                return;
            }
            let rate = RequestRate::per_second(self.count * SLOTS_PER_SECOND).0;
            self.fast = (self.fast + self.certain_rate()) / 2;
            self.slow = (self.slow * 15 + rate) / 16;
            if self.rate() >= self.peak || self.slot_end >= self.peak_ends {
                self.peak = self.rate();
                self.peak_ends = self.slot_end.after(PEAK_HOLD);
            }
            self.count = 0;
            self.slot_end = self.slot_end.after(SLOT);
        }
        *self = Self::new(now);
    }

    /// Rate of the open slot less its standard deviation, so that a single request is not taken for a burst.
    fn certain_rate(&self) -> u64 {
        RequestRate::per_second((self.count - self.count.isqrt()) * SLOTS_PER_SECOND).0
    }

    /// Demand of the slots closed so far; the open slot counts once it exceeds them.
    pub fn rate(&self) -> RequestRate {
        RequestRate(self.fast.max(self.slow).max(self.certain_rate()))
    }

    /// Highest demand of the last two seconds.
    pub fn peak_rate(&self) -> RequestRate {
        self.peak.max(self.rate())
    }
}

/// Share of `limits` that covers `demand` with a quarter to spare, rounded up.
pub(super) fn share_for_demand(demand: RequestRate, limits: QuotaLimits) -> TrafficShare {
    if limits.rate.0 == 0 {
        return TrafficShare::NONE;
    }
    let whole = u128::from(TrafficShare::WHOLE.0);
    let share = (u128::from(demand.0) * 5 / 4 * whole).div_ceil(u128::from(limits.rate.0));
    TrafficShare(u32::try_from(share.min(whole)).unwrap_or(TrafficShare::WHOLE.0))
}

/// How far a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerDistance {
    /// Same data centre.
    Datacentre,
    /// Same region.
    Region,
    /// Another region.
    OtherRegion,
}

/// Peers in the order in which they are asked; one that had nothing to lend is passed over for a while.
#[derive(Debug, Clone, Default)]
pub struct PeerOrder {
    peers: Vec<RankedPeer>,
}

#[derive(Debug, Clone)]
struct RankedPeer {
    distance: PeerDistance,
    id: HostId,
    passed_over_until: MonoTime,
    /// Times in a row that the peer lent nothing.
    misses: u32,
}

impl PeerOrder {
    /// Replaces the peers; those that stay keep their state. Peers at the same distance are ordered by `rank`, which a
    /// caller derives from its own id so that not all hosts ask the same peer first.
    pub fn set_peers<Peers>(&mut self, peers: Peers)
    where
        Peers: IntoIterator<Item = (PeerDistance, u64, HostId)>,
    {
        let mut ranked: Vec<_> = peers.into_iter().collect();
        ranked.sort();
        let fresh = ranked.into_iter().map(|(distance, _, id)| {
            let known = self.peers.iter().find(|it| it.id == id);
            let (passed_over_until, misses) =
                known.map(|it| (it.passed_over_until, it.misses)).unwrap_or_default();
            RankedPeer { distance, id, passed_over_until, misses }
        });
        self.peers = fresh.collect();
    }

    /// Passes a peer over until `until`, because it lent nothing or did not answer.
    pub fn back_off(&mut self, peer: &HostId, until: MonoTime) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.passed_over_until = until;
        }
    }

    /// Passes a peer over that lent less than was wanted. The time doubles each time that it lends nothing, so that peers
    /// without spare share are rarely asked while an organisation is over its rate.
    pub fn record_shortage(&mut self, peer: &HostId, now: MonoTime, lent_nothing: bool) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.misses = if lent_nothing { (ranked.misses + 1).min(MOST_DOUBLINGS) } else { 0 };
            ranked.passed_over_until = now.after(PASS_OVER * (1 << ranked.misses));
        }
    }

    /// Records that a peer lent all that was wanted.
    pub fn record_full_loan(&mut self, peer: &HostId) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.misses = 0;
        }
    }

    /// The nearest peers that are worth asking, at most `count`.
    pub fn nearest(&self, now: MonoTime, count: usize) -> Vec<(PeerDistance, &HostId)> {
        let worth = self.peers.iter().filter(|it| it.passed_over_until <= now);
        worth.map(|it| (it.distance, &it.id)).take(count).collect()
    }
}

//! Demand of a resource on this host, and the order in which peers are asked.

use std::time::Duration;

use crate::{
    ids::HostId,
    quota::QuotaLimits,
    time::MonoTime,
    units::{RequestRate, TokenCount, TrafficShare},
};

/// Length of a slot in which requests are counted. Shorter ones see too few requests at a few tens per second.
const SLOT: Duration = Duration::from_millis(100);
/// Slots of a second.
const SLOTS_PER_SECOND: u64 = 10;
/// Slots without any call after which the demand counts as nothing.
const IDLE_SLOTS: u32 = 64;

/// Demand as a short and a long moving average; the larger one counts, so that it rises fast and falls slowly.
#[derive(Debug, Clone)]
pub struct DemandEstimate {
    slot_end: MonoTime,
    count: u64,
    fast: u64,
    slow: u64,
}

impl DemandEstimate {
    /// No demand.
    pub fn new(now: MonoTime) -> Self {
        Self { slot_end: now.after(SLOT), count: 0, fast: 0, slow: 0 }
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
            self.fast = (self.fast + rate) / 2;
            self.slow = (self.slow * 15 + rate) / 16;
            self.count = 0;
            self.slot_end = self.slot_end.after(SLOT);
        }
        *self = Self::new(now);
    }

    /// Demand of the slots closed so far; the open slot counts once it exceeds them.
    pub fn rate(&self) -> RequestRate {
        let open = RequestRate::per_second(self.count * SLOTS_PER_SECOND).0 / 2;
        RequestRate(self.fast.max(self.slow).max(open))
    }

    /// Share that covers the demand with a quarter to spare, rounded up.
    pub fn needed_share(&self, limits: QuotaLimits) -> TrafficShare {
        let wanted = u128::from(self.rate().0) * 5 / 4 * u128::from(TrafficShare::WHOLE.0);
        if limits.rate.0 == 0 {
            return TrafficShare::NONE;
        }
        let share =
            wanted.div_ceil(u128::from(limits.rate.0)).min(u128::from(TrafficShare::WHOLE.0));
        TrafficShare(u32::try_from(share).unwrap_or(TrafficShare::WHOLE.0))
    }

    /// Tokens that the demand uses up within `span`, rounded up to at least one if there is any demand.
    pub fn needed_tokens(&self, span: Duration) -> TokenCount {
        let rate = self.rate();
        if rate.0 == 0 {
            return TokenCount::NONE;
        }
        rate.accrued(MonoTime(0), MonoTime(0).after(span)).max(TokenCount::ONE)
    }
}

/// How far a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerDistance {
    /// Same data centre.
    Datacentre,
    /// Same region.
    Region,
    /// Another region.
    Elsewhere,
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
            let passed_over_until = known.map(|it| it.passed_over_until).unwrap_or_default();
            RankedPeer { distance, id, passed_over_until }
        });
        self.peers = fresh.collect();
    }

    /// Passes a peer over until `until`, because it lent nothing or did not answer.
    pub fn pass_over(&mut self, peer: &HostId, until: MonoTime) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.passed_over_until = until;
        }
    }

    /// The nearest peers that are worth asking, at most `count`.
    pub fn nearest(&self, now: MonoTime, count: usize) -> Vec<(PeerDistance, &HostId)> {
        let worth = self.peers.iter().filter(|it| it.passed_over_until <= now);
        worth.map(|it| (it.distance, &it.id)).take(count).collect()
    }
}

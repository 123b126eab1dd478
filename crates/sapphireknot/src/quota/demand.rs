//! Estimate of the demand for a resource on this host, and the order in which peers are asked for share.

use std::time::Duration;

use crate::{
    ids::HostId,
    quota::QuotaLimits,
    time::MonoTime,
    units::{RequestRate, TrafficShare},
};

/// Length of a window in which requests are counted. A shorter one holds too few requests at a few tens per second.
const WINDOW: Duration = Duration::from_millis(100);
/// Windows per second.
const WINDOWS_PER_SECOND: u64 = 10;
/// Time for which the peak demand keeps borrowed share from being given back. With a shorter time, uneven demand makes
/// hosts borrow and return the same share repeatedly.
const PEAK_HOLD: Duration = Duration::from_secs(2);
/// Windows without a call after which the estimate is reset to zero.
const IDLE_WINDOWS: u32 = 64;

/// Time for which a peer that lent too little is not asked again.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Largest number of times that [`BASE_BACKOFF`] is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Demand estimate from a fast and a slow moving average. The larger one counts, so the estimate rises fast and falls
/// slowly.
#[derive(Debug, Clone)]
pub struct DemandEstimate {
    window_end: MonoTime,
    count: u64,
    fast: u64,
    slow: u64,
    peak: RequestRate,
    peak_until: MonoTime,
}

impl DemandEstimate {
    /// Creates an estimate of zero demand.
    pub fn new(now: MonoTime) -> Self {
        Self {
            window_end: now.after(WINDOW),
            count: 0,
            fast: 0,
            slow: 0,
            peak: RequestRate(0),
            peak_until: now,
        }
    }

    /// Counts one request, whether or not it is admitted.
    pub fn record(&mut self, now: MonoTime) {
        self.advance(now);
        self.count += 1;
    }

    /// Closes the windows that ended by `now`.
    pub fn advance(&mut self, now: MonoTime) {
        for _ in 0..IDLE_WINDOWS {
            if now < self.window_end {
                return;
            }
            let rate = RequestRate::per_second(self.count * WINDOWS_PER_SECOND).0;
            self.fast = (self.fast + self.rate_lower_bound()) / 2;
            self.slow = (self.slow * 15 + rate) / 16;
            if self.rate() >= self.peak || self.window_end >= self.peak_until {
                self.peak = self.rate();
                self.peak_until = self.window_end.after(PEAK_HOLD);
            }
            self.count = 0;
            self.window_end = self.window_end.after(WINDOW);
        }
        *self = Self::new(now);
    }

    /// Rate of the open window less its standard deviation, so that a single request does not look like a burst.
    fn rate_lower_bound(&self) -> u64 {
        RequestRate::per_second((self.count - self.count.isqrt()) * WINDOWS_PER_SECOND).0
    }

    /// Demand of the closed windows, or of the open window once it exceeds them.
    pub fn rate(&self) -> RequestRate {
        RequestRate(self.fast.max(self.slow).max(self.rate_lower_bound()))
    }

    /// Highest demand of the last two seconds.
    pub fn peak_rate(&self) -> RequestRate {
        self.peak.max(self.rate())
    }
}

/// Share of `limits` that covers `demand` with a reserve of a quarter, rounded up.
pub(super) fn share_for_demand(demand: RequestRate, limits: QuotaLimits) -> TrafficShare {
    if limits.rate.0 == 0 {
        return TrafficShare::NONE;
    }
    let whole = u128::from(TrafficShare::WHOLE.0);
    let share = (u128::from(demand.0) * 5 / 4 * whole).div_ceil(u128::from(limits.rate.0));
    TrafficShare(u32::try_from(share.min(whole)).unwrap_or(TrafficShare::WHOLE.0))
}

/// Network distance of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerDistance {
    /// Same data centre.
    Datacentre,
    /// Same region.
    Region,
    /// Another region.
    OtherRegion,
}

/// Peers in the order in which they are asked for share, with a backoff for those that could not lend.
#[derive(Debug, Clone, Default)]
pub struct PeerOrder {
    peers: Vec<RankedPeer>,
}

#[derive(Debug, Clone)]
struct RankedPeer {
    distance: PeerDistance,
    id: HostId,
    backoff_until: MonoTime,
    /// Consecutive requests to which the peer lent nothing.
    misses: u32,
}

impl PeerOrder {
    /// Replaces the peers; those that stay keep their backoff. Peers at the same distance are ordered by the rank in
    /// the second field, which a caller derives from its own id so that not all hosts ask the same peer first.
    pub fn set_peers<Peers>(&mut self, peers: Peers)
    where
        Peers: IntoIterator<Item = (PeerDistance, u64, HostId)>,
    {
        let mut ranked: Vec<_> = peers.into_iter().collect();
        ranked.sort();
        let updated = ranked.into_iter().map(|(distance, _, id)| {
            let known = self.peers.iter().find(|it| it.id == id);
            let (backoff_until, misses) =
                known.map(|it| (it.backoff_until, it.misses)).unwrap_or_default();
            RankedPeer { distance, id, backoff_until, misses }
        });
        self.peers = updated.collect();
    }

    /// Does not ask a peer again until `until`, because it lent nothing or did not answer.
    pub fn back_off(&mut self, peer: &HostId, until: MonoTime) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.backoff_until = until;
        }
    }

    /// Backs off from a peer that lent less than was requested. The backoff doubles with each request to which it lends
    /// nothing, so that peers without spare share are rarely asked while an organisation is over its rate.
    pub fn record_shortage(&mut self, peer: &HostId, now: MonoTime, lent_nothing: bool) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.misses =
                if lent_nothing { (ranked.misses + 1).min(MAX_BACKOFF_DOUBLINGS) } else { 0 };
            ranked.backoff_until = now.after(BASE_BACKOFF * (1 << ranked.misses));
        }
    }

    /// Records that a peer lent all that was requested.
    pub fn record_full_loan(&mut self, peer: &HostId) {
        if let Some(ranked) = self.peers.iter_mut().find(|it| it.id == *peer) {
            ranked.misses = 0;
        }
    }

    /// The nearest peers without a backoff, at most `count`.
    pub fn nearest(&self, now: MonoTime, count: usize) -> Vec<(PeerDistance, &HostId)> {
        let available = self.peers.iter().filter(|it| it.backoff_until <= now);
        available.map(|it| (it.distance, &it.id)).take(count).collect()
    }
}

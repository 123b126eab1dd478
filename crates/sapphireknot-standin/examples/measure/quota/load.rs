//! Workload and faults of the runs: 12 hosts in 6 data centres and 3 regions, and 8 organisations with skewed demand.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    quota::QuotaLimits,
    units::{BurstSize, RequestRate},
};

pub(crate) const HOSTS: usize = 12;
/// One second in microseconds, the unit of all times here.
pub(crate) const SECOND: u64 = 1_000_000;
/// End of the warm-up, in which the buckets fill. Requests that arrive earlier are not counted.
pub(crate) const WARM_UP_END: u64 = 10 * SECOND;
/// End of a run.
pub(crate) const RUN_END: u64 = 100 * SECOND;
/// Rate limits of the organisations in requests per second.
pub(crate) const RATES: [u64; 8] = [400, 200, 100, 50, 25, 12, 6, 3];
/// Burst size of an organisation, in seconds of its rate.
const BURST_SECONDS: u64 = 2;
/// Length of a surge, in which demand is five times the rate. The burst size covers the excess of four times the rate
/// for half a second.
const SURGE_LENGTH: u64 = SECOND * 4 / 10;
const SURGE_INTERVAL: u64 = 20 * SECOND;
/// Interval at which the demand of every organisation moves to other hosts.
const DEMAND_MOVE_INTERVAL: u64 = 15 * SECOND;
const FAULT_START: u64 = 40 * SECOND;
const FAULT_END: u64 = 60 * SECOND;

/// Limits of an organisation over all hosts.
pub(crate) fn limits(organisation: usize) -> QuotaLimits {
    let rate = RATES[organisation];
    QuotaLimits { rate: RequestRate::per_second(rate), burst: BurstSize(rate * BURST_SECONDS) }
}

pub(crate) fn region(host: usize) -> usize {
    host / 4
}

/// One-way latency between two hosts in microseconds. The store is next to host 0, in region 0.
pub(crate) fn latency(from: usize, to: usize) -> u64 {
    if region(from) == region(to) { 500 } else { 12_000 }
}

/// Fault that is active from `FAULT_START` to `FAULT_END`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Host 4 is killed and starts again at the end of the fault.
    HostKilled,
    /// Messages between region 2 and the other regions are lost.
    RegionCutOff,
    /// The store does not answer.
    StoreDown,
}

impl Fault {
    pub(crate) const ALL: [Self; 4] =
        [Self::None, Self::HostKilled, Self::RegionCutOff, Self::StoreDown];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::HostKilled => "host killed",
            Self::RegionCutOff => "region cut off",
            Self::StoreDown => "store down",
        }
    }

    fn is_active(self, now: u64) -> bool {
        (FAULT_START..FAULT_END).contains(&now)
    }

    pub(crate) fn is_host_down(self, host: usize, now: u64) -> bool {
        self == Self::HostKilled && host == 4 && self.is_active(now)
    }

    pub(crate) fn is_store_down(self, now: u64) -> bool {
        self == Self::StoreDown && self.is_active(now)
    }

    /// Whether a message is lost because it crosses the border of the isolated region 2.
    pub(crate) fn is_message_lost(self, from: usize, to: usize, now: u64) -> bool {
        let is_across = (region(from) == 2) != (region(to) == 2);
        self == Self::RegionCutOff && is_across && self.is_active(now)
    }
}

/// Hosts at which an organisation's requests arrive, in order of preference. They change with every
/// `DEMAND_MOVE_INTERVAL`.
fn home_hosts(organisation: usize, now: u64, seed: u64) -> [usize; 3] {
    let period = now / DEMAND_MOVE_INTERVAL;
    let first = (organisation * 5 + (period + seed) as usize * 7) % HOSTS;
    [first, (first + 1) % HOSTS, (first + 6) % HOSTS]
}

/// Draws the host of one request: the first home host for 70%, the second for 20% and the third for 10% of the
/// requests. If that host is down, the next one takes its place.
pub(crate) fn pick_host(
    organisation: usize,
    now: u64,
    seed: u64,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> usize {
    let homes = home_hosts(organisation, now, seed);
    let draw: f64 = rng.random();
    let start = usize::from(draw >= 0.7) + usize::from(draw >= 0.9);
    let order = (0..3).map(|step| homes[(start + step) % 3]);
    order.into_iter().find(|&it| !fault.is_host_down(it, now)).unwrap_or(homes[0])
}

/// Draws the time to the next request: exponential gaps at 60% of the rate limit, or at five times the limit in a
/// surge.
pub(crate) fn next_gap(organisation: usize, now: u64, rng: &mut ChaCha8Rng) -> u64 {
    let phase = (now + organisation as u64 * SECOND * 2) % SURGE_INTERVAL;
    let factor = if phase < SURGE_LENGTH { 5.0 } else { 0.6 };
    let rate = RATES[organisation] as f64 * factor;
    let draw: f64 = rng.random();
    let gap = (-(1.0 - draw).ln() / rate * SECOND as f64) as u64;
    // At least 1 us, so that time advances. A new factor applies from the next arrival on.
    gap.max(1)
}

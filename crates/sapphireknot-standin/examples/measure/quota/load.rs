//! Load and faults: 12 hosts in 6 data centres and 3 regions, 8 organisations of skewed demand.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    quota::QuotaLimits,
    units::{BurstSize, RequestRate},
};

pub(crate) const HOSTS: usize = 12;
pub(crate) const SECOND: u64 = 1_000_000;
/// Start of what is counted; buckets fill before.
pub(crate) const WARM_UP: u64 = 10 * SECOND;
/// End of a run.
pub(crate) const RUN_END: u64 = 100 * SECOND;
/// Rates of the organisations, requests per second.
pub(crate) const RATES: [u64; 8] = [400, 200, 100, 50, 25, 12, 6, 3];
/// Burst of an organisation in seconds of its rate.
const BURST_SECONDS: u64 = 2;
/// Length of a burst to five times the rate: the burst size covers four times the rate for half a second.
const SURGE: u64 = SECOND * 4 / 10;
const SURGE_EVERY: u64 = 20 * SECOND;
const MOVE_EVERY: u64 = 15 * SECOND;
const FAULT_START: u64 = 40 * SECOND;
const FAULT_END: u64 = 60 * SECOND;

pub(crate) fn limits(organisation: usize) -> QuotaLimits {
    let rate = RATES[organisation];
    QuotaLimits { rate: RequestRate::per_second(rate), burst: BurstSize(rate * BURST_SECONDS) }
}

pub(crate) fn region(host: usize) -> usize {
    host / 4
}

/// One-way latency in microseconds; the store is in region 0.
pub(crate) fn latency(from: usize, to: usize) -> u64 {
    if region(from) == region(to) { 500 } else { 12_000 }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    HostKilled,
    RegionCutOff,
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

    pub(crate) fn is_dead(self, host: usize, now: u64) -> bool {
        self == Self::HostKilled && host == 4 && self.is_active(now)
    }

    pub(crate) fn is_store_down(self, now: u64) -> bool {
        self == Self::StoreDown && self.is_active(now)
    }

    /// Whether a message between regions is lost; region 2 is the one that is cut off.
    pub(crate) fn is_cut(self, from: usize, to: usize, now: u64) -> bool {
        let is_across = (region(from) == 2) != (region(to) == 2);
        self == Self::RegionCutOff && is_across && self.is_active(now)
    }
}

/// Hosts at which an organisation's requests arrive in a period; they change when demand moves.
fn homes(organisation: usize, now: u64, seed: u64) -> [usize; 3] {
    let period = now / MOVE_EVERY;
    let first = (organisation * 5 + (period + seed) as usize * 7) % HOSTS;
    [first, (first + 1) % HOSTS, (first + 6) % HOSTS]
}

/// The host of one request: mostly the first home, the next one if it is dead.
pub(crate) fn pick_host(
    organisation: usize,
    now: u64,
    seed: u64,
    fault: Fault,
    rng: &mut ChaCha8Rng,
) -> usize {
    let homes = homes(organisation, now, seed);
    let draw: f64 = rng.random();
    let start = usize::from(draw >= 0.7) + usize::from(draw >= 0.9);
    let order = (0..3).map(|step| homes[(start + step) % 3]);
    order.into_iter().find(|&it| !fault.is_dead(it, now)).unwrap_or(homes[0])
}

/// Time to the next request, with exponential gaps at 60% of the rate and at five times the rate in a surge.
pub(crate) fn next_gap(organisation: usize, now: u64, rng: &mut ChaCha8Rng) -> u64 {
    let phase = (now + organisation as u64 * SECOND * 2) % SURGE_EVERY;
    let factor = if phase < SURGE { 5.0 } else { 0.6 };
    let rate = RATES[organisation] as f64 * factor;
    let draw: f64 = rng.random();
    let gap = (-(1.0 - draw).ln() / rate * SECOND as f64) as u64;
    // A change of the factor is seen at the latest after a tenth of a second.
    gap.max(1)
}

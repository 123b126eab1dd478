//! Token bucket with exact arithmetic.
//!
//! The level is kept in units of 10^-15 tokens. In this unit both the fill of a microsecond, `rate (1/1000 per second)
//! × share (1/1000000)`, and the capacity, `burst × share`, are whole numbers, so nothing is ever rounded and a sum over
//! hosts equals the bucket of the whole.

use std::time::Duration;

use crate::{
    quota::QuotaLimits,
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Units of the level in a millionth of a token.
const UNITS_PER_MICRO: u128 = 1_000_000_000;

/// Bucket that fills at a share of a rate up to the same share of a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limits: QuotaLimits,
    share: TrafficShare,
    level: u128,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// An empty bucket without share.
    pub fn new(limits: QuotaLimits, now: MonoTime) -> Self {
        Self { limits, share: TrafficShare::NONE, level: 0, refilled_at: now }
    }

    /// Adds what accrued until `now`; a time before the last one changes nothing.
    pub fn refill(&mut self, now: MonoTime) {
        if now <= self.refilled_at {
            return;
        }
        let filled = self.units_per_us() * u128::from(now.0 - self.refilled_at.0);
        self.level = (self.level + filled).min(self.capacity_units());
        self.refilled_at = now;
    }

    /// Replaces the share from the settled time on; the level is clipped and never raised.
    pub fn set_share(&mut self, share: TrafficShare) {
        self.share = share;
        self.clip();
    }

    /// Replaces rate and burst from the settled time on; the level is clipped and never raised.
    pub fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
        self.clip();
    }

    /// Takes `count` if that much is there.
    pub fn try_take(&mut self, count: TokenCount) -> bool {
        let wanted = u128::from(count.0) * UNITS_PER_MICRO;
        let is_enough = self.level >= wanted;
        if is_enough {
            self.level -= wanted;
        }
        is_enough
    }

    /// Adds tokens that another host subtracted, up to the capacity.
    pub fn add(&mut self, count: TokenCount) {
        self.level += u128::from(count.0) * UNITS_PER_MICRO;
        self.clip();
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.capacity_units());
    }

    fn units_per_us(&self) -> u128 {
        u128::from(self.limits.rate.0) * u128::from(self.share.0)
    }

    fn capacity_units(&self) -> u128 {
        u128::from(self.limits.burst.0) * u128::from(self.share.0) * UNITS_PER_MICRO
    }

    /// Share in force.
    pub fn share(&self) -> TrafficShare {
        self.share
    }

    /// Time up to which the level is known.
    pub fn refilled_at(&self) -> MonoTime {
        self.refilled_at
    }

    /// Rate and burst of the whole.
    pub fn limits(&self) -> QuotaLimits {
        self.limits
    }

    /// Tokens at the settled time, rounded down.
    pub fn tokens(&self) -> TokenCount {
        TokenCount(u64::try_from(self.level / UNITS_PER_MICRO).unwrap_or(u64::MAX))
    }

    /// Most tokens that the bucket holds.
    pub fn capacity(&self) -> TokenCount {
        self.limits.burst.scaled(self.share)
    }

    /// When `count` tokens are there if none is taken before; `None` if never.
    pub fn ready_at(&self, count: TokenCount) -> Option<MonoTime> {
        let wanted = u128::from(count.0) * UNITS_PER_MICRO;
        let missing = wanted.saturating_sub(self.level);
        if missing == 0 {
            return Some(self.refilled_at);
        }
        if wanted > self.capacity_units() || self.units_per_us() == 0 {
            return None;
        }
        let micros = u64::try_from(missing.div_ceil(self.units_per_us())).unwrap_or(u64::MAX);
        Some(self.refilled_at.after(Duration::from_micros(micros)))
    }
}

//! Token bucket with exact arithmetic.
//!
//! The level is kept in units of 10^-15 tokens. In this unit both the refill per microsecond, `rate (1/1000 per second)
//! × share (1/1000000)`, and the capacity, `burst × share`, are whole numbers. Nothing is ever rounded, so the buckets
//! of all hosts together equal a single bucket with the whole quota.

use std::time::Duration;

use crate::{
    quota::QuotaLimits,
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Level units per millionth of a token.
const UNITS_PER_MICRO: u128 = 1_000_000_000;

/// Token bucket that refills at a share of a rate, up to the same share of a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    limits: QuotaLimits,
    share: TrafficShare,
    level: u128,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Creates an empty bucket with a share of zero.
    pub fn new(limits: QuotaLimits, now: MonoTime) -> Self {
        Self { limits, share: TrafficShare::NONE, level: 0, refilled_at: now }
    }

    /// Adds the tokens that accrued until `now`; does nothing if `now` is not after the last refill.
    pub fn refill(&mut self, now: MonoTime) {
        if now <= self.refilled_at {
            return;
        }
        let filled = self.units_per_us() * u128::from(now.0 - self.refilled_at.0);
        self.level = (self.level + filled).min(self.capacity_units());
        self.refilled_at = now;
    }

    /// Replaces the share from the last refill on; the level is clamped to the new capacity and never raised.
    pub fn set_share(&mut self, share: TrafficShare) {
        self.share = share;
        self.clamp_level();
    }

    /// Replaces rate and burst from the last refill on; the level is clamped to the new capacity and never raised.
    pub fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
        self.clamp_level();
    }

    /// Takes `count` tokens if the bucket holds that many; returns whether it did.
    pub fn try_take(&mut self, count: TokenCount) -> bool {
        let wanted = u128::from(count.0) * UNITS_PER_MICRO;
        let is_enough = self.level >= wanted;
        if is_enough {
            self.level -= wanted;
        }
        is_enough
    }

    /// Adds tokens that another host has subtracted, up to the capacity.
    pub fn add(&mut self, count: TokenCount) {
        self.level += u128::from(count.0) * UNITS_PER_MICRO;
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
        self.level = self.level.min(self.capacity_units());
    }

    fn units_per_us(&self) -> u128 {
        u128::from(self.limits.rate.0) * u128::from(self.share.0)
    }

    fn capacity_units(&self) -> u128 {
        u128::from(self.limits.burst.0) * u128::from(self.share.0) * UNITS_PER_MICRO
    }

    /// Share of the quota that this bucket has.
    pub fn share(&self) -> TrafficShare {
        self.share
    }

    /// Time of the last refill.
    pub fn refilled_at(&self) -> MonoTime {
        self.refilled_at
    }

    /// Rate and burst of the whole quota.
    pub fn limits(&self) -> QuotaLimits {
        self.limits
    }

    /// Tokens at the last refill, rounded down.
    pub fn tokens(&self) -> TokenCount {
        TokenCount(u64::try_from(self.level / UNITS_PER_MICRO).unwrap_or(u64::MAX))
    }

    /// Largest number of tokens that the bucket holds.
    pub fn capacity(&self) -> TokenCount {
        self.limits.burst.scaled(self.share)
    }

    /// When the bucket will hold `count` tokens if none are taken; `None` if it never will.
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

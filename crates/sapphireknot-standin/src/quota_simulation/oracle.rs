//! Test oracle: one token bucket for the whole resource, on true time.

use sapphireknot::{quota::QuotaLimits, units::TokenCount};

/// Level units per token, as in the buckets under test.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000;

/// Upper bound of the requests that all hosts together may admit. It starts empty, as the ledgers do, which is stricter
/// than rate and burst require: tokens created in error are detected at once instead of after a full burst.
#[derive(Debug, Default)]
pub(super) struct ReferenceBucket {
    level: u128,
    settled: u64,
    limits: QuotaLimits,
    clock_ppm: u64,
}

impl ReferenceBucket {
    /// Creates an empty bucket; `clock_ppm` is the speed of the fastest host clock, in millionths of true time.
    pub(super) fn new(limits: QuotaLimits, clock_ppm: u64) -> Self {
        Self { limits, clock_ppm, ..Self::default() }
    }

    /// Refills the bucket up to `now`.
    pub(super) fn refill(&mut self, now: u64) {
        let micros = u128::from(now - self.settled);
        let filled = u128::from(self.limits.rate.0) * micros * u128::from(self.clock_ppm);
        self.settled = now;
        self.level = (self.level + filled).min(self.capacity());
    }

    /// Sets the limits to the largest that any host has in force.
    pub(super) fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
        self.level = self.level.min(self.capacity());
    }

    /// Lowers the level to the tokens that exist, so that tokens created later in error are detected at once.
    pub(super) fn lower_level(&mut self, tokens: TokenCount) {
        let existing = u128::from(tokens.0 + 1) * (UNITS_PER_TOKEN / 1_000_000);
        self.level = self.level.min(existing);
    }

    fn capacity(&self) -> u128 {
        u128::from(self.limits.burst.0) * UNITS_PER_TOKEN
    }

    /// Takes one token; returns false if there is none.
    pub(super) fn take(&mut self) -> bool {
        let has_token = self.level >= UNITS_PER_TOKEN;
        self.level = self.level.saturating_sub(UNITS_PER_TOKEN);
        has_token
    }

    /// Returns whether the hosts together may hold this many tokens.
    pub(super) fn covers(&self, tokens: TokenCount) -> bool {
        u128::from(tokens.0) * (UNITS_PER_TOKEN / 1_000_000) <= self.level
    }
}

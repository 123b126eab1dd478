//! Bucket of the whole resource on true time.

use sapphireknot::{quota::QuotaLimits, units::TokenCount};

/// Units of the level in a token, as in the buckets under test.
const UNITS: u128 = 1_000_000_000_000_000;

/// What may be admitted over all hosts. It starts empty, as the system does, which is stricter than rate and burst
/// require: tokens that are created show at once instead of after a burst's worth.
#[derive(Debug, Default)]
pub(super) struct WholeBucket {
    level: u128,
    settled: u64,
    limits: QuotaLimits,
    clock_ppm: u64,
}

impl WholeBucket {
    /// An empty bucket; hosts' clocks run at most `clock_ppm` millionths as fast as true time.
    pub(super) fn new(limits: QuotaLimits, clock_ppm: u64) -> Self {
        Self { limits, clock_ppm, ..Self::default() }
    }

    pub(super) fn settle(&mut self, now: u64) {
        let micros = u128::from(now - self.settled);
        let filled = u128::from(self.limits.rate.0) * micros * u128::from(self.clock_ppm);
        self.settled = now;
        self.level = (self.level + filled).min(self.capacity());
    }

    /// The largest limits that any host has in force.
    pub(super) fn set_limits(&mut self, limits: QuotaLimits) {
        self.limits = limits;
        self.level = self.level.min(self.capacity());
    }

    /// Lowers the level to the tokens that exist, so that a later creation shows at once.
    pub(super) fn tighten(&mut self, tokens: TokenCount) {
        let existing = u128::from(tokens.0 + 1) * (UNITS / 1_000_000);
        self.level = self.level.min(existing);
    }

    fn capacity(&self) -> u128 {
        u128::from(self.limits.burst.0) * UNITS
    }

    /// Takes one token; false if the whole has none.
    pub(super) fn take(&mut self) -> bool {
        let is_there = self.level >= UNITS;
        self.level = self.level.saturating_sub(UNITS);
        is_there
    }

    /// Whether the hosts may hold this many tokens together.
    pub(super) fn covers(&self, tokens: TokenCount) -> bool {
        u128::from(tokens.0) * (UNITS / 1_000_000) <= self.level
    }
}

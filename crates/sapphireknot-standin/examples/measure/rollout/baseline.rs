//! Two simple ways to raise a share.

/// Outcomes of the new version over all hosts and routes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PooledCounts {
    pub(crate) total: u64,
    pub(crate) failed: u64,
    pub(crate) slow: u64,
}

/// Shares of the ramp in percent, the same as the planner's with a cap of 20% and a warm-up factor of 3.
const RAMP: [f64; 9] = [0.0, 1.0, 3.0, 9.0, 27.0, 47.0, 67.0, 87.0, 100.0];

/// Share of a ramp that looks at the clock only and ends at 80% of the time.
pub(crate) fn timed_share(second: u64, deadline: u64) -> f64 {
    let place = second * 10 * (RAMP.len() as u64 - 1) / (deadline * 8);
    RAMP[usize::try_from(place + 1).unwrap_or(usize::MAX).min(RAMP.len() - 1)] / 100.0
}

/// Ramp that steps every 30 s while the last 10 s were below fixed thresholds.
#[derive(Debug, Clone, Default)]
pub(crate) struct ThresholdRamp {
    place: usize,
    is_reverted: bool,
    last: PooledCounts,
}

impl ThresholdRamp {
    /// Takes the counts at the end of a window of 10 s.
    pub(crate) fn observe(&mut self, second: u64, counts: PooledCounts, is_healthy: bool) {
        let total = (counts.total - self.last.total).max(1) as f64;
        let failed = (counts.failed - self.last.failed) as f64 / total;
        let slow = (counts.slow - self.last.slow) as f64 / total;
        self.last = counts;
        // Usual alert values: 5% failures, twice the expected 5% of slow responses plus room for noise.
        self.is_reverted |= failed > 0.05 || slow > 0.15 || !is_healthy;
        if second.is_multiple_of(30) {
            self.place = (self.place + 1).min(RAMP.len() - 1);
        }
    }

    /// Share of the new version.
    pub(crate) fn share(&self) -> f64 {
        if self.is_reverted { 0.0 } else { RAMP[self.place] / 100.0 }
    }
}

//! Baselines for the rollout planner: a ramp with fixed thresholds and a timed ramp.

/// Cumulative outcomes of the new version over all hosts and routes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PooledCounts {
    pub(crate) total: u64,
    pub(crate) failed: u64,
    pub(crate) slow: u64,
}

/// Shares of the new version at the steps of a ramp, in percent: those of the planner with a cap of 20% and a warm-up
/// factor of 3.
const RAMP_PERCENT: [f64; 9] = [0.0, 1.0, 3.0, 9.0, 27.0, 47.0, 67.0, 87.0, 100.0];

/// Share of the new version under a ramp that depends on the time only. Its eight steps divide the first 80% of the
/// time to the deadline, and the last step is 100%.
pub(crate) fn timed_share(second: u64, deadline: u64) -> f64 {
    let step = second * 10 * (RAMP_PERCENT.len() as u64 - 1) / (deadline * 8);
    RAMP_PERCENT[usize::try_from(step + 1).unwrap_or(usize::MAX).min(RAMP_PERCENT.len() - 1)]
        / 100.0
}

/// Ramp that advances every 30 s and reverts for good once a window of 10 s exceeds a fixed threshold.
#[derive(Debug, Clone, Default)]
pub(crate) struct ThresholdRamp {
    step: usize,
    is_reverted: bool,
    /// Counts at the end of the previous window.
    last_counts: PooledCounts,
}

impl ThresholdRamp {
    /// Evaluates the cumulative counts at the end of a window of 10 s.
    pub(crate) fn observe(&mut self, second: u64, counts: PooledCounts, is_healthy: bool) {
        let total = (counts.total - self.last_counts.total).max(1) as f64;
        let failed = (counts.failed - self.last_counts.failed) as f64 / total;
        let slow = (counts.slow - self.last_counts.slow) as f64 / total;
        self.last_counts = counts;
        // Common alert thresholds: 5% failures, and for slow responses twice the expected 5% plus a margin for noise.
        self.is_reverted |= failed > 0.05 || slow > 0.15 || !is_healthy;
        if second.is_multiple_of(30) {
            self.step = (self.step + 1).min(RAMP_PERCENT.len() - 1);
        }
    }

    /// Share of the new version, from 0 to 1.
    pub(crate) fn share(&self) -> f64 {
        if self.is_reverted { 0.0 } else { RAMP_PERCENT[self.step] / 100.0 }
    }
}

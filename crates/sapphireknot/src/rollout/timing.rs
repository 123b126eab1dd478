//! Times of a rollout.

use std::time::Duration;

/// Shortest time between steps; hosts learn shares by gossip in this time.
pub const STEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time in which hosts take up a step; outcomes in it may belong to the step before.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Shortest time left when the target is reached.
pub const SPARE_TIME: Duration = Duration::from_secs(10);

/// Times of a rollout, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutTiming {
    /// Shortest time between steps.
    pub step_interval: Duration,
    /// Time in which hosts take up a step.
    pub settle_time: Duration,
    /// Shortest time left when the target is reached.
    pub spare_time: Duration,
}

impl Default for RolloutTiming {
    fn default() -> Self {
        Self { step_interval: STEP_INTERVAL, settle_time: SETTLE_TIME, spare_time: SPARE_TIME }
    }
}

//! Timing parameters of a rollout.

use std::time::Duration;

/// Shortest time between steps, within which gossip distributes the shares to the hosts.
pub const STEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time within which hosts apply a step; outcomes during this time may belong to the previous step.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Shortest time that must remain before the deadline when the target is reached.
pub const SPARE_TIME: Duration = Duration::from_secs(10);

/// Timing parameters of a rollout, the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutTiming {
    /// Shortest time between steps.
    pub step_interval: Duration,
    /// Time within which hosts apply a step.
    pub settle_time: Duration,
    /// Shortest time that must remain before the deadline when the target is reached.
    pub spare_time: Duration,
}

impl Default for RolloutTiming {
    fn default() -> Self {
        Self { step_interval: STEP_INTERVAL, settle_time: SETTLE_TIME, spare_time: SPARE_TIME }
    }
}

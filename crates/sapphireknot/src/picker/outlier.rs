//! Outlier detection for backend servers.
//!
//! A server is ejected after consecutive failures or at a high failure rate. The ejected part of a service is bounded:
//! if most servers fail, the cause is more likely the request or the network, and the remaining servers could not carry
//! the load.

use std::time::Duration;

use super::TrackedServer;
use crate::{time::MonoTime, units::TrafficShare};

/// Thresholds and durations of outlier ejection.
#[derive(Debug, Clone, Copy)]
pub struct OutlierLimits {
    /// Consecutive failures that cause an ejection.
    pub consecutive_failures: u32,
    /// Minimum number of samples for the failure rate to apply.
    pub min_samples: u32,
    /// Failure rate that causes an ejection.
    pub failure_rate: TrafficShare,
    /// Duration of the first ejection of a server; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Limits concurrent ejections to the number of servers of the service divided by this value.
    pub ejection_divisor: usize,
}

impl Default for OutlierLimits {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            min_samples: 20,
            failure_rate: TrafficShare::percent(50),
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(60),
            ejection_divisor: 3,
        }
    }
}

/// Decides whether to eject a server.
#[derive(Debug)]
pub struct OutlierDetector {
    limits: OutlierLimits,
}

impl OutlierDetector {
    /// Creates a detector with `limits`.
    pub fn new(limits: OutlierLimits) -> Self {
        Self { limits }
    }

    /// Returns the end of the ejection if the server is to be ejected; `ejected` of `total` servers already are.
    pub fn ejected_until(
        &self,
        tracked: &TrackedServer,
        ejected: usize,
        total: usize,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if tracked.is_ejected(now) || !self.is_outlier(tracked) || !self.may_eject(ejected, total) {
            return None;
        }
        let doublings = tracked.ejections().min(16);
        let ejection_time = self.limits.base_ejection_time * 2u32.pow(doublings);
        Some(now.after(ejection_time.min(self.limits.max_ejection_time)))
    }

    fn is_outlier(&self, tracked: &TrackedServer) -> bool {
        let failures = tracked.failures();
        let rate = u64::from(failures.failed) * u64::from(TrafficShare::WHOLE.0);
        let limit = u64::from(self.limits.failure_rate.0) * u64::from(failures.samples);
        failures.consecutive >= self.limits.consecutive_failures
            || (failures.samples >= self.limits.min_samples && rate >= limit)
    }

    fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) * self.limits.ejection_divisor <= total
    }
}

//! Ejection of backend servers by outcome.
//!
//! A server is ejected after failures in a row or a high failure rate. At most a part of a service is ejected at the
//! same time: if most servers fail, the cause is more likely the request or the network, and the remaining servers could not
//! carry the load.

use std::time::Duration;

use super::TrackedServer;
use crate::{time::MonoTime, units::TrafficShare};

/// Limits of ejection.
#[derive(Debug, Clone, Copy)]
pub struct OutlierLimits {
    /// Failures in a row that eject.
    pub consecutive_failures: u32,
    /// Samples before a failure rate counts.
    pub min_samples: u32,
    /// Failure rate that ejects.
    pub failure_rate: TrafficShare,
    /// First ejection; doubled with each further one.
    pub base_ejection_time: Duration,
    /// Longest ejection.
    pub max_ejection_time: Duration,
    /// One in this many servers of a service may be ejected.
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

/// Decision whether to eject a server.
#[derive(Debug)]
pub struct OutlierDetector {
    limits: OutlierLimits,
}

impl OutlierDetector {
    /// A guard with `limits`.
    pub fn new(limits: OutlierLimits) -> Self {
        Self { limits }
    }

    /// Until when the server is to be left out, given how many of `total` servers are ejected already.
    pub fn ejected_until(
        &self,
        track: &TrackedServer,
        ejected: usize,
        total: usize,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if track.is_ejected(now) || !self.is_outlier(track) || !self.may_eject(ejected, total) {
            return None;
        }
        let doublings = track.ejections().min(16);
        let pause = self.limits.base_ejection_time * 2u32.pow(doublings);
        Some(now.after(pause.min(self.limits.max_ejection_time)))
    }

    fn is_outlier(&self, track: &TrackedServer) -> bool {
        let failures = track.failures();
        let rate = u64::from(failures.failed) * u64::from(TrafficShare::WHOLE.0);
        let limit = u64::from(self.limits.failure_rate.0) * u64::from(failures.samples);
        failures.in_row >= self.limits.consecutive_failures
            || (failures.samples >= self.limits.min_samples && rate >= limit)
    }

    fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) * self.limits.ejection_divisor <= total
    }
}

//! Ejection of backend servers by outcome.
//!
//! A server is ejected after failures in a row or a high failure rate. At most a part of a service is ejected at the
//! same time: if most servers fail, the cause is more likely the request or the network, and the remaining servers could not
//! carry the load.

use std::time::Duration;

use super::ServerTrack;
use crate::{time::MonoTime, units::TrafficShare};

/// Limits of ejection.
#[derive(Debug, Clone, Copy)]
pub struct OutlierLimits {
    /// Failures in a row that eject.
    pub failures_in_row: u32,
    /// Samples before a failure rate counts.
    pub min_samples: u32,
    /// Failure rate that ejects.
    pub failure_rate: TrafficShare,
    /// First ejection; doubled with each further one.
    pub first_pause: Duration,
    /// Longest ejection.
    pub max_pause: Duration,
    /// One in this many servers of a service may be ejected.
    pub one_ejected_in: usize,
}

impl Default for OutlierLimits {
    fn default() -> Self {
        Self {
            failures_in_row: 5,
            min_samples: 20,
            failure_rate: TrafficShare::percent(50),
            first_pause: Duration::from_secs(5),
            max_pause: Duration::from_secs(60),
            one_ejected_in: 3,
        }
    }
}

/// Decision whether to eject a server.
#[derive(Debug)]
pub struct OutlierGuard {
    limits: OutlierLimits,
}

impl OutlierGuard {
    /// A guard with `limits`.
    pub fn new(limits: OutlierLimits) -> Self {
        Self { limits }
    }

    /// Until when the server is to be left out, given how many of `total` servers are ejected already.
    pub fn ejection(
        &self,
        track: &ServerTrack,
        ejected: usize,
        total: usize,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if track.is_ejected(now) || !self.is_outlier(track) || !self.may_eject(ejected, total) {
            return None;
        }
        let doublings = track.ejections().min(16);
        let pause = self.limits.first_pause * 2u32.pow(doublings);
        Some(now.after(pause.min(self.limits.max_pause)))
    }

    fn is_outlier(&self, track: &ServerTrack) -> bool {
        let failures = track.failures();
        let rate = u64::from(failures.failed) * u64::from(TrafficShare::WHOLE.0);
        let limit = u64::from(self.limits.failure_rate.0) * u64::from(failures.samples);
        failures.in_row >= self.limits.failures_in_row
            || (failures.samples >= self.limits.min_samples && rate >= limit)
    }

    fn may_eject(&self, ejected: usize, total: usize) -> bool {
        (ejected + 1) * self.limits.one_ejected_in <= total
    }
}

//! Stages of a graceful shutdown.
//!
//! A host that leaves is still named by look-ups that callers cached, so it serves on until these have run out. Then it
//! takes no new request and ends once nothing is in flight.

use std::time::Duration;

use crate::time::MonoTime;

/// Stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Serves.
    Serving,
    /// Left out of look-ups; still serves callers that cached one.
    Leaving,
    /// Takes no new request; finishes those in flight.
    Closing,
    /// Nothing is in flight and all roles and grants are given back.
    Ended,
}

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub struct DrainLimits {
    /// Longest time for which a look-up that names this host may be used.
    pub cache_lifetime: Duration,
    /// Time in which the shutdown ends if requests in flight allow it.
    pub drain_limit: Duration,
    /// Longest time that a request may still take.
    pub longest_request: Duration,
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct DrainTracker {
    stage: DrainStage,
    leaving_until: MonoTime,
    closing_until: MonoTime,
}

impl DrainTracker {
    /// A shutdown that starts now.
    pub fn begin(now: MonoTime, limits: DrainLimits) -> Self {
        let limit = now.after(limits.drain_limit);
        let leaving_until = now.after(limits.cache_lifetime).min(limit);
        // A request that arrived just before closing is not interrupted, even if that exceeds the limit.
        let closing_until = leaving_until.after(limits.longest_request).max(limit);
        Self { stage: DrainStage::Leaving, leaving_until, closing_until }
    }

    /// The stage.
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    /// When the stage changes at the latest.
    pub fn deadline(&self) -> MonoTime {
        match self.stage {
            DrainStage::Serving | DrainStage::Leaving => self.leaving_until,
            DrainStage::Closing | DrainStage::Ended => self.closing_until,
        }
    }

    /// Advances to the stage at `now` with `in_flight` unfinished requests.
    pub fn advance(&mut self, now: MonoTime, in_flight: usize) {
        // One stage at a time: requests count as none in flight only after new ones are refused.
        match self.stage {
            DrainStage::Leaving if now >= self.leaving_until => self.stage = DrainStage::Closing,
            DrainStage::Closing if in_flight == 0 || now >= self.closing_until => {
                self.stage = DrainStage::Ended;
            }
            _ => {}
        }
    }
}

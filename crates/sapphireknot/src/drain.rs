//! Stages of a graceful shutdown.
//!
//! Callers may still use cached look-up results that contain a leaving host, so the host keeps serving until these have
//! expired. After that it rejects new requests and terminates once no request is in flight.

use std::time::Duration;

use crate::time::MonoTime;

/// Stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Normal operation.
    Serving,
    /// Excluded from look-ups; still serves callers with cached results.
    Leaving,
    /// Rejects new requests; completes those in flight.
    Closing,
    /// No request is in flight and all roles and grants are released.
    Ended,
}

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub struct DrainLimits {
    /// Maximum time for which callers cache a look-up result.
    pub cache_lifetime: Duration,
    /// Time limit of the shutdown, unless requests in flight need longer.
    pub drain_limit: Duration,
    /// Maximum remaining duration of a request.
    pub longest_request: Duration,
}

impl DrainStage {
    /// Whether a host in this stage may send a request to a backend server, if the request may take until `deadline`
    /// and the shutdown ends at `end` at the latest.
    ///
    /// A closing host sends only requests that end before it does; any other could be cut off while it runs.
    pub fn allows_request(self, deadline: MonoTime, end: Option<MonoTime>) -> bool {
        match self {
            Self::Serving | Self::Leaving => true,
            Self::Closing => end.is_some_and(|it| deadline <= it),
            Self::Ended => false,
        }
    }
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct DrainTracker {
    stage: DrainStage,
    leaving_until: MonoTime,
    closing_until: MonoTime,
}

impl DrainTracker {
    /// Starts a graceful shutdown at `now`.
    pub fn begin(now: MonoTime, limits: DrainLimits) -> Self {
        let limit = now.after(limits.drain_limit);
        let leaving_until = now.after(limits.cache_lifetime).min(limit);
        // A request that arrives just before closing is not interrupted, even if this exceeds the limit.
        let closing_until = leaving_until.after(limits.longest_request).max(limit);
        Self { stage: DrainStage::Leaving, leaving_until, closing_until }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    /// Returns the latest time of the next stage change.
    pub fn deadline(&self) -> MonoTime {
        match self.stage {
            DrainStage::Serving | DrainStage::Leaving => self.leaving_until,
            DrainStage::Closing | DrainStage::Ended => self.closing_until,
        }
    }

    /// Returns the time at which the shutdown ends at the latest.
    pub fn end(&self) -> MonoTime {
        self.closing_until
    }

    /// Advances to the next stage if it is due at `now` with `in_flight` requests.
    pub fn advance(&mut self, now: MonoTime, in_flight: usize) {
        // Advances by one stage at a time: `in_flight` can only be final after new requests are rejected.
        match self.stage {
            DrainStage::Leaving if now >= self.leaving_until => self.stage = DrainStage::Closing,
            DrainStage::Closing if in_flight == 0 || now >= self.closing_until => {
                self.stage = DrainStage::Ended;
            }
            _ => {}
        }
    }
}

//! How much of the traffic a new version may have had at each moment of its rollout.
//!
//! A version may turn bad at any moment, and requests that it had while it was good count as well. Its share therefore
//! follows from what it may have had at the deadline if nothing is ever found: a small canary share until shortly before
//! the deadline, and everything for the rest, in which the old version answers what it has before its servers stop. With
//! a limit of a tenth, the canary share is 0.03 and the version has everything for 0.065 of the time, together less than
//! 0.095 of the requests. The requests that are allowed beyond the part give a service with little traffic more of both.
//!
//! The rollout is announced before the version takes everything, so that each host has the record by then; without the
//! announcement nothing moves, as the rollout could not be completed either.

use std::time::Duration;

use crate::time::MonoTime;

/// Part of the limit that the canary share takes.
const CANARY_PART: f64 = 0.3;
/// Part of the requests beyond the limit that the canary share takes.
const CANARY_SLACK: f64 = 0.5;
/// Highest canary share.
const MAX_CANARY: f64 = 0.25;
/// Part of the limit that the time takes in which the version has everything.
const WHOLE_PART: f64 = 0.65;
/// Part of the requests beyond the limit that this time takes. The rest is for requests that are sent between two reads
/// of the clock, and for draws that differ from the share.
const WHOLE_SLACK: f64 = 0.2;
/// Longest time in which the version has everything, as a part of the rollout.
const MAX_WHOLE: f64 = 0.38;
/// Time between the completion of a rollout and its deadline: the write of the first host and, if that one is lost, of
/// the second.
const COMPLETION_MARGIN: Duration = Duration::from_millis(400);

/// What a bad version may have of the requests during its rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// Part of all requests.
    pub share: f64,
    /// Requests beyond that part.
    pub requests: u32,
}

impl Default for ExposureLimit {
    fn default() -> Self {
        Self { share: 0.1, requests: 50 }
    }
}

/// When a rollout moves on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSchedule {
    /// Share of the new version until it takes everything.
    pub canary: f64,
    /// When the record announces that the new version is about to take everything.
    pub announced_at: MonoTime,
    /// When the new version takes everything.
    pub whole_at: MonoTime,
    /// When the rollout is completed.
    pub completed_at: MonoTime,
}

impl RolloutSchedule {
    /// Schedule of a rollout that started at `start`, for a service with `rate` requests per second over all hosts.
    pub fn new(
        start: MonoTime,
        span: Duration,
        rate: f64,
        limit: ExposureLimit,
        apply_time: Duration,
    ) -> Self {
        let seconds = span.as_secs_f64().max(0.001);
        // Time in which the service gets the requests beyond the limit.
        let slack = f64::from(limit.requests) / rate.max(0.001) / seconds;
        let canary = (CANARY_PART * limit.share + CANARY_SLACK * slack).min(MAX_CANARY);
        let whole = (WHOLE_PART * limit.share + WHOLE_SLACK * slack).min(MAX_WHOLE);
        let whole = span.mul_f64(whole);
        let margin = COMPLETION_MARGIN.min(whole / 2);
        let deadline = start.after(span);
        let (whole_at, completed_at) = (deadline.before(whole), deadline.before(margin));
        let announced_at = whole_at.min(completed_at.before(apply_time));
        Self { canary, announced_at, whole_at, completed_at }
    }

    /// Time in which the old version answers what it has.
    pub fn drain_time(&self) -> Duration {
        self.completed_at.since(self.whole_at)
    }
}

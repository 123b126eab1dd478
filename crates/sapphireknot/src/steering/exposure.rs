//! Exposure limit: the traffic that a new version may receive by each moment of its rollout.
//!
//! A version may turn bad at any moment, and the requests that it got while it was good count as well. Its share
//! therefore follows from what it may have received by the deadline if no fault is ever found: a small canary share
//! until shortly before the deadline, and all requests for the rest, in which the old version finishes its requests
//! before its servers stop. With a limit of a tenth, the version receives everything for 0.072 to 0.075 of the time;
//! the canary share, which increases, is about 0.02 on average. Together this is less than 0.095 of the requests. The
//! requests that are allowed beyond the limit give a service with little traffic more of both.
//!
//! The rollout is announced before the version receives everything, so that each host has the record by then. Without
//! the announcement the shares do not change, as the rollout could not be completed either.

use std::{ops::RangeInclusive, time::Duration};

use crate::time::MonoTime;

/// Part of the limit that a rollout uses. The rest covers requests that are sent between two reads of the clock, and
/// random draws that deviate from the share.
const USED_LIMIT_PART: f64 = 0.95;
/// Part of the allowed requests beyond the limit that a rollout uses.
const USED_SLACK: f64 = 0.7;
/// Highest mean canary share.
const MAX_CANARY: f64 = 0.25;
/// First and last canary share, relative to the mean. A late fault leaves little time to detect it, whereas an early
/// one is detected before it has done much harm.
const CANARY_RAMP: (f64, f64) = (0.5, 1.5);
/// Preferred time in which the version receives everything, for evidence and for the margin before the deadline.
const FULL_TIME: Duration = Duration::from_millis(1_200);
/// Minimum and maximum part of the limit that this time uses; the canary share uses the rest.
const FULL_PART: RangeInclusive<f64> = 0.65..=0.75;
/// Minimum and maximum part of the requests beyond the limit that this time uses.
const FULL_SLACK: RangeInclusive<f64> = 0.2..=0.35;
/// Minimum part of the limit that this time uses regardless of the traffic, so that the old version has a second to
/// finish its requests in rollouts of 24 s and longer.
const MIN_FULL_PART: f64 = 0.72;
/// Maximum time in which the version receives everything, as a part of the rollout.
const MAX_FULL_PART: f64 = 0.38;
/// Time between the completion of a rollout and its deadline: an order is noticed up to 0.3 s late, and operators poll
/// the state at intervals.
const COMPLETION_MARGIN: Duration = Duration::from_millis(650);
/// Time before the completion in which the version receives everything: outcomes arrive and reach the other hosts, and
/// the old version finishes its requests.
const EVIDENCE_TIME: Duration = Duration::from_millis(550);
/// Minimum part of the full time that the margin takes where that time is short.
const MIN_MARGIN_PART: f64 = 0.45;

/// Limit of the requests that a bad version may receive during its rollout.
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

/// Times of the steps of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSchedule {
    /// When the first host saw the order.
    pub started_at: MonoTime,
    /// Mean share of the new version until it receives everything.
    pub canary: f64,
    /// When the record announces that the new version is about to receive everything.
    pub announced_at: MonoTime,
    /// When the new version receives everything.
    pub full_at: MonoTime,
    /// When the rollout is completed.
    pub completed_at: MonoTime,
}

impl RolloutSchedule {
    /// Computes the schedule of a rollout that started at `start`, for a service with `rate` requests per second over
    /// all hosts.
    pub fn new(
        start: MonoTime,
        span: Duration,
        rate: f64,
        limit: ExposureLimit,
        apply_time: Duration,
    ) -> Self {
        let seconds = span.as_secs_f64();
        // Time in which the service receives as many requests as are allowed beyond the limit.
        let slack = f64::from(limit.requests) / rate.max(0.001);
        let allowed =
            |part: f64, slack_part: f64| part * limit.share * seconds + slack_part * slack;
        let most = allowed(*FULL_PART.end(), *FULL_SLACK.end()).min(MAX_FULL_PART * seconds);
        let least = allowed(*FULL_PART.start(), *FULL_SLACK.start());
        let least = least.max(allowed(MIN_FULL_PART, 0.0)).min(most);
        let full = FULL_TIME.as_secs_f64().clamp(least, most);
        let canary = (allowed(USED_LIMIT_PART, USED_SLACK) - full) / seconds.max(0.001);
        let canary = canary.min(MAX_CANARY);
        let full = Duration::from_secs_f64(full);
        let margin = full.saturating_sub(EVIDENCE_TIME).max(full.mul_f64(MIN_MARGIN_PART));
        let margin = margin.min(COMPLETION_MARGIN);
        let deadline = start.after(span);
        let (full_at, completed_at) = (deadline.before(full), deadline.before(margin));
        let announced_at = full_at.min(completed_at.before(apply_time));
        Self { started_at: start, canary, announced_at, full_at, completed_at }
    }

    /// Share of the new version at `now`, before it receives everything.
    pub fn share_at(&self, now: MonoTime) -> f64 {
        let span = self.full_at.since(self.started_at).as_secs_f64().max(0.001);
        let elapsed_part = (now.since(self.started_at).as_secs_f64() / span).min(1.0);
        let (first, last) = CANARY_RAMP;
        self.canary * (first + (last - first) * elapsed_part)
    }

    /// Mean share from the start until `now`.
    pub fn mean_share(&self, now: MonoTime) -> f64 {
        (self.share_at(self.started_at) + self.share_at(now)) / 2.0
    }

    /// Time in which the old version finishes its requests.
    pub fn drain_time(&self) -> Duration {
        self.completed_at.since(self.full_at)
    }
}

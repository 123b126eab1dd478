//! How much of the traffic a new version may have had at each moment of its rollout.
//!
//! A version may turn bad at any moment, and requests that it had while it was good count as well. Its share therefore
//! follows from what it may have had at the deadline if nothing is ever found: a small canary share until shortly before
//! the deadline, and everything for the rest, in which the old version answers what it has before its servers stop. With
//! a limit of a tenth, the version has everything for 0.072 to 0.075 of the time and the canary share, which rises, is about
//! 0.02 in the mean, together less than 0.095 of the requests. The requests that are allowed beyond the part give a
//! service with little traffic more of both.
//!
//! The rollout is announced before the version takes everything, so that each host has the record by then; without the
//! announcement nothing moves, as the rollout could not be completed either.

use std::{ops::RangeInclusive, time::Duration};

use crate::time::MonoTime;

/// Part of the limit that a rollout uses. The rest is for requests that are sent between two reads of the clock, and for
/// draws that differ from the share.
const USED_PART: f64 = 0.95;
/// Part of the requests beyond the limit that it uses.
const USED_SLACK: f64 = 0.7;
/// Highest mean canary share.
const MAX_CANARY: f64 = 0.25;
/// First and last share in parts of the mean. A late fault leaves little time to find it, an early one is found before it
/// has cost much.
const CANARY_RISE: (f64, f64) = (0.5, 1.5);
/// Time in which the version has everything, for evidence and for the margin before the deadline.
const WHOLE_TIME: Duration = Duration::from_millis(1_200);
/// Parts of the limit that this time takes at least and at most; the canary share takes the others.
const WHOLE_PART: RangeInclusive<f64> = 0.65..=0.75;
/// Parts of the requests beyond the limit that it takes at least and at most.
const WHOLE_SLACK: RangeInclusive<f64> = 0.2..=0.35;
/// Part of the limit that it takes at least whatever the traffic, so that the old version has a second for what it has in
/// rollouts of 24 s and longer.
const LONG_PART: f64 = 0.72;
/// Longest time in which the version has everything, as a part of the rollout.
const MAX_WHOLE: f64 = 0.38;
/// Time between the completion of a rollout and its deadline: the order is noticed up to 0.3 s late, and operators read
/// the state at intervals.
const COMPLETION_MARGIN: Duration = Duration::from_millis(650);
/// Time before the completion in which the version has everything: outcomes come and reach the other hosts, and the old
/// version answers what it has.
const EVIDENCE_TIME: Duration = Duration::from_millis(550);
/// Part of the whole time that the margin takes at least where that time is short.
const MARGIN_PART: f64 = 0.45;

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
    /// When the first host saw the order.
    pub started_at: MonoTime,
    /// Mean share of the new version until it takes everything.
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
        let seconds = span.as_secs_f64();
        // Time in which the service gets the requests beyond the limit.
        let slack = f64::from(limit.requests) / rate.max(0.001);
        let allowed =
            |part: f64, slack_part: f64| part * limit.share * seconds + slack_part * slack;
        let most = allowed(*WHOLE_PART.end(), *WHOLE_SLACK.end()).min(MAX_WHOLE * seconds);
        let least = allowed(*WHOLE_PART.start(), *WHOLE_SLACK.start());
        let least = least.max(allowed(LONG_PART, 0.0)).min(most);
        let whole = WHOLE_TIME.as_secs_f64().clamp(least, most);
        let canary = (allowed(USED_PART, USED_SLACK) - whole) / seconds.max(0.001);
        let canary = canary.min(MAX_CANARY);
        let whole = Duration::from_secs_f64(whole);
        let margin = whole.saturating_sub(EVIDENCE_TIME).max(whole.mul_f64(MARGIN_PART));
        let margin = margin.min(COMPLETION_MARGIN);
        let deadline = start.after(span);
        let (whole_at, completed_at) = (deadline.before(whole), deadline.before(margin));
        let announced_at = whole_at.min(completed_at.before(apply_time));
        Self { started_at: start, canary, announced_at, whole_at, completed_at }
    }

    /// Share of the new version before it takes everything.
    pub fn share_at(&self, now: MonoTime) -> f64 {
        let span = self.whole_at.since(self.started_at).as_secs_f64().max(0.001);
        let elapsed_part = (now.since(self.started_at).as_secs_f64() / span).min(1.0);
        let (first, last) = CANARY_RISE;
        self.canary * (first + (last - first) * elapsed_part)
    }

    /// Mean of the share until `now`.
    pub fn mean_share(&self, now: MonoTime) -> f64 {
        (self.share_at(self.started_at) + self.share_at(now)) / 2.0
    }

    /// Time in which the old version answers what it has.
    pub fn drain_time(&self) -> Duration {
        self.completed_at.since(self.whole_at)
    }
}

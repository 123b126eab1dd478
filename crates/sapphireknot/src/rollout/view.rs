//! Traffic shares in use on a host.
//!
//! The view merges the decisions received from peers and from the store. The newest one by token and step wins; a trip
//! or the deadline of an unfinished move overrides it. A host that missed steps, or has just started, catches up in
//! capped steps.

use std::time::Duration;

use crate::{
    config::TrafficPlan,
    ids::{FencingToken, PlanId, VersionId},
    rollout::{RolloutState, RolloutTiming, RolloutVerdict, ShareMap, TrafficMove, TripSet},
    time::WallTime,
    units::TrafficShare,
};

/// Decision of a planner, as hosts exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareNotice {
    /// Plan.
    pub plan: PlanId,
    /// Token of the planner.
    pub token: FencingToken,
    /// Number of the decision.
    pub step: u64,
    /// Shares of the versions.
    pub shares: ShareMap,
    /// Verdict on the rollout.
    pub verdict: RolloutVerdict,
    /// Reason for the verdict.
    pub reason: Option<String>,
}

impl From<&RolloutState> for ShareNotice {
    fn from(state: &RolloutState) -> Self {
        Self {
            plan: state.plan.clone(),
            token: state.token,
            step: state.step,
            shares: state.shares.clone(),
            verdict: state.verdict,
            reason: state.reason.clone(),
        }
    }
}

/// This host's view of the rollout of one service.
#[derive(Debug, Clone)]
pub struct RolloutView {
    plan: TrafficPlan,
    traffic: TrafficMove,
    newest: Option<ShareNotice>,
    applied: TrafficShare,
    next_rise: WallTime,
    is_expired: bool,
    step_interval: Duration,
}

impl RolloutView {
    /// Creates a view that starts from the shares `base`.
    pub fn new(plan: &TrafficPlan, base: &ShareMap) -> Self {
        Self {
            plan: plan.clone(),
            traffic: TrafficMove::new(plan, base),
            newest: None,
            applied: TrafficShare::NONE,
            next_rise: WallTime(0),
            is_expired: false,
            step_interval: RolloutTiming::default().step_interval,
        }
    }

    /// Returns the view with other timing.
    pub fn with_timing(self, timing: RolloutTiming) -> Self {
        Self { step_interval: timing.step_interval, ..self }
    }

    /// Adopts a decision if it belongs to this plan and is newer than the current one.
    pub fn merge(&mut self, notice: &ShareNotice, now: WallTime) {
        let newest = self.newest.as_ref().map(|it| (it.token, it.step));
        if notice.plan == self.plan.id && Some((notice.token, notice.step)) > newest {
            self.newest = Some(notice.clone());
        }
        self.advance(now);
    }

    /// Moves the shares in use towards the decided ones; must be called about every second.
    pub fn advance(&mut self, now: WallTime) {
        // Remains set if the clock is set back; a verdict of done overrides it.
        self.is_expired |= now >= self.plan.deadline;
        let target_share =
            if self.is_active(now) { self.target_share() } else { TrafficShare::NONE };
        if target_share <= self.applied {
            self.applied = target_share;
        } else if now >= self.next_rise {
            self.applied = target_share.min(self.applied.saturating_add(self.plan.cap));
            self.next_rise = now.after(self.step_interval);
        }
    }

    /// The newest decision, to be sent to peers.
    pub fn newest(&self) -> Option<&ShareNotice> {
        self.newest.as_ref()
    }

    /// Shares to use.
    pub fn shares(&self, trips: &TripSet, now: WallTime) -> ShareMap {
        let rising = self.traffic.rising();
        let is_tripped = |it: &&VersionId| trips.reason(&self.plan.id, it).is_some();
        let tripped: Vec<_> = rising.iter().filter(is_tripped).collect();
        if tripped.is_empty() && self.is_active(now) {
            return self.traffic.shares_at(self.applied);
        }
        let mut shares = self.traffic.base().clone();
        if let Some(old) = self.traffic.old_version() {
            for version in tripped {
                let freed = shares.insert(version.clone(), TrafficShare::NONE).unwrap_or_default();
                let share = shares.entry(old.clone()).or_default();
                *share = share.saturating_add(freed);
            }
        }
        shares
    }

    /// Whether the deadline has passed on this host; remains true if the clock is set back.
    pub fn is_expired(&self) -> bool {
        self.is_expired
    }

    /// The move of the plan.
    pub fn traffic(&self) -> &TrafficMove {
        &self.traffic
    }

    /// Chooses the version for one request; `draw` is uniformly distributed in `0..1_000_000`.
    pub fn choose(&self, trips: &TripSet, now: WallTime, draw: u32) -> Option<VersionId> {
        let mut bound = 0;
        let mut shares = self.shares(trips, now).into_iter();
        shares.find_map(|(version, share)| {
            bound += share.0;
            (draw < bound).then_some(version)
        })
    }

    fn is_active(&self, now: WallTime) -> bool {
        match self.newest.as_ref().map(|it| it.verdict) {
            None | Some(RolloutVerdict::Reverted) => false,
            Some(RolloutVerdict::Running) => !self.is_expired && now < self.plan.deadline,
            Some(RolloutVerdict::Done) => true,
        }
    }

    fn target_share(&self) -> TrafficShare {
        let Some(notice) = &self.newest else { return TrafficShare::NONE };
        let base = self.traffic.base();
        let gain = |it: &VersionId| {
            let share = notice.shares.get(it).copied().unwrap_or_default();
            share.saturating_sub(base.get(it).copied().unwrap_or_default()).0
        };
        TrafficShare(self.traffic.rising().iter().map(gain).sum()).min(self.traffic.whole())
    }
}

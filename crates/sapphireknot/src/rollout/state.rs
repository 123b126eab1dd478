//! Stored state of a rollout.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    config::TrafficPlan,
    ids::{FencingToken, PlanId, VersionId},
    time::WallTime,
    units::TrafficShare,
};

/// Share of each version.
pub type ShareMap = BTreeMap<VersionId, TrafficShare>;

/// Verdict on a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutVerdict {
    /// In progress.
    Running,
    /// Target reached; the evidence is still evaluated.
    Done,
    /// Rolled back permanently.
    Reverted,
}

/// Value of `rollout/<service>` in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Plan.
    pub plan: PlanId,
    /// Token of the planner that wrote it.
    pub token: FencingToken,
    /// Number of the decision; increases by one with every write.
    pub step: u64,
    /// Traffic moved so far.
    pub moved: TrafficShare,
    /// Shares of the versions after this move.
    pub shares: ShareMap,
    /// Verdict on the rollout.
    pub verdict: RolloutVerdict,
    /// Why it was reverted, or which routes had too little traffic.
    pub reason: Option<String>,
    /// When the first state was written.
    pub started_at: WallTime,
    /// When this state was written.
    pub stepped_at: WallTime,
}

/// Path from the shares before a plan to the target of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficMove {
    base: ShareMap,
    target: ShareMap,
}

impl TrafficMove {
    /// Creates the move of `plan` from the shares `base`.
    pub fn new(plan: &TrafficPlan, base: &ShareMap) -> Self {
        Self { base: base.clone(), target: plan.target.clone() }
    }

    /// Shares before the move.
    pub fn base(&self) -> &ShareMap {
        &self.base
    }

    /// All versions of the base and the target.
    pub fn versions(&self) -> Vec<VersionId> {
        let mut versions: Vec<_> = self.base.keys().chain(self.target.keys()).cloned().collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Versions whose share increases.
    pub fn rising(&self) -> Vec<VersionId> {
        self.changes(&self.target, &self.base).into_iter().map(|it| it.0).collect()
    }

    /// Version with which the rising ones are compared: the one with the largest base share among those that do not
    /// rise.
    pub fn old_version(&self) -> Option<VersionId> {
        let rising = self.rising();
        let candidates = self.base.iter().filter(|(it, _)| !rising.contains(it));
        candidates.max_by_key(|(_, share)| **share).map(|(it, _)| it.clone())
    }

    /// Share of traffic that the complete move shifts.
    pub fn whole(&self) -> TrafficShare {
        TrafficShare(self.changes(&self.target, &self.base).iter().map(|it| it.1).sum())
    }

    /// Shares once `moved` of [`TrafficMove::whole`] has been shifted.
    pub fn shares_at(&self, moved: TrafficShare) -> ShareMap {
        let whole = self.whole().0;
        let moved = moved.0.min(whole);
        let mut shares = self.base.clone();
        for (version, part) in
            split_in_proportion(&self.changes(&self.target, &self.base), moved, whole)
        {
            let share = shares.entry(version).or_default();
            *share = share.saturating_add(TrafficShare(part));
        }
        for (version, part) in
            split_in_proportion(&self.changes(&self.base, &self.target), moved, whole)
        {
            let share = shares.entry(version).or_default();
            *share = share.saturating_sub(TrafficShare(part));
        }
        shares
    }

    fn changes(&self, high: &ShareMap, low: &ShareMap) -> Vec<(VersionId, u32)> {
        let share = |it: &VersionId| low.get(it).copied().unwrap_or_default();
        let excess = high.iter().map(|(it, that)| (it.clone(), that.saturating_sub(share(it)).0));
        excess.filter(|it| it.1 > 0).collect()
    }
}

/// Splits `moved` of `whole` in proportion to the changes; rounding the running sum keeps the sum of the parts exact.
fn split_in_proportion(
    changes: &[(VersionId, u32)],
    moved: u32,
    whole: u32,
) -> Vec<(VersionId, u32)> {
    let scaled = |sum: u32| {
        let part = u64::from(sum) * u64::from(moved) / u64::from(whole.max(1));
        u32::try_from(part).unwrap_or(u32::MAX)
    };
    let (mut sum, mut parts) = (0, Vec::with_capacity(changes.len()));
    for (version, change) in changes {
        parts.push((version.clone(), scaled(sum + change) - scaled(sum)));
        sum += change;
    }
    parts
}

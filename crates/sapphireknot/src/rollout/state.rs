//! State of a rollout in the store.

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

/// How a rollout stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutVerdict {
    /// On its way.
    Running,
    /// Target reached; still watched.
    Done,
    /// Taken back for good.
    Reverted,
}

/// Value of `rollout/<service>` in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Plan.
    pub plan: PlanId,
    /// Token of the planner that wrote it.
    pub token: FencingToken,
    /// Number of the decision; rises by one with every write.
    pub step: u64,
    /// Traffic moved so far.
    pub moved: TrafficShare,
    /// Shares that follow from it.
    pub shares: ShareMap,
    /// Verdict.
    pub verdict: RolloutVerdict,
    /// Why it was reverted or what remains unproven.
    pub reason: Option<String>,
    /// When the first state was written.
    pub started_at: WallTime,
    /// When this state was written.
    pub stepped_at: WallTime,
}

/// Way from the shares before a plan to its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficMove {
    base: ShareMap,
    target: ShareMap,
}

impl TrafficMove {
    /// The move of `plan` from the shares `base`.
    pub fn new(plan: &TrafficPlan, base: &ShareMap) -> Self {
        Self { base: base.clone(), target: plan.target.clone() }
    }

    /// Shares before the move.
    pub fn base(&self) -> &ShareMap {
        &self.base
    }

    /// All versions concerned.
    pub fn versions(&self) -> Vec<VersionId> {
        let mut versions: Vec<_> = self.base.keys().chain(self.target.keys()).cloned().collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Versions that gain.
    pub fn rising(&self) -> Vec<VersionId> {
        self.changes(&self.target, &self.base).into_iter().map(|it| it.0).collect()
    }

    /// Version against which the rising ones are compared: the largest share that does not rise.
    pub fn old_version(&self) -> Option<VersionId> {
        let rising = self.rising();
        let candidates = self.base.iter().filter(|(it, _)| !rising.contains(it));
        candidates.max_by_key(|(_, share)| **share).map(|(it, _)| it.clone())
    }

    /// Traffic that the whole move shifts.
    pub fn whole(&self) -> TrafficShare {
        TrafficShare(self.changes(&self.target, &self.base).iter().map(|it| it.1).sum())
    }

    /// Shares after `moved` of the whole.
    pub fn shares_at(&self, moved: TrafficShare) -> ShareMap {
        let whole = self.whole().0;
        let moved = moved.0.min(whole);
        let mut shares = self.base.clone();
        for (version, part) in split(&self.changes(&self.target, &self.base), moved, whole) {
            let share = shares.entry(version).or_default();
            *share = share.saturating_add(TrafficShare(part));
        }
        for (version, part) in split(&self.changes(&self.base, &self.target), moved, whole) {
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

/// Splits `moved` of `whole` in proportion; rounding the running sum keeps the parts' sum exact.
fn split(changes: &[(VersionId, u32)], moved: u32, whole: u32) -> Vec<(VersionId, u32)> {
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

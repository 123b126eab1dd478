//! Versions of one service: which of them takes a request, and what is due.

use std::{collections::HashMap, time::Duration};

use super::{RolloutBounds, RolloutOrder, RolloutPhase, RolloutRecord};
use crate::{
    ids::{RegionId, VersionId},
    steering::{
        evidence::{
            EvidenceHistory, OwnEvidence, RegionEvidence, VersionCounts, is_bad, is_doubtful,
            total_counts,
        },
        exposure::RolloutSchedule,
        slowness::LatencyBaseline,
    },
    time::MonoTime,
};

/// Requests by which a host's part of the canary may exceed the share.
const CANARY_EXCESS: f64 = 1.0;
/// Requests that may come without being counted yet when a rate is derived from counts.
const UNCOUNTED: f64 = 5.0;
/// Standard deviations by which a rate that is derived from counts is raised.
const RATE_DEVIATIONS: f64 = 3.0;
/// Least time by which a host must have seen an order later than the announcement tells to count as late; messages between
/// hosts take less.
const LATE_TIME: Duration = Duration::from_millis(50);

/// Requests that this host sent since an order.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SentRequests {
    /// To the new version.
    pub(super) new: u32,
    /// To both versions.
    pub(super) all: u32,
}

/// Versions of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceVersions {
    /// Latest order and when the first host saw it, as far as this one knows.
    pub(super) order: Option<(RolloutOrder, MonoTime)>,
    /// When this host saw the order.
    pub(super) noticed: MonoTime,
    pub(super) sent: SentRequests,
    pub(super) record: Option<(RolloutRecord, u64)>,
    /// When this host saw that the rollout of the record is settled.
    pub(super) settled: Option<MonoTime>,
    /// Whether this host learnt the age of the order from the settled record only.
    pub(super) is_late: bool,
    /// Version that most servers run, while there is no record.
    pub(super) common: Option<VersionId>,
    /// Orders whose target this host found bad.
    pub(super) reverted: Option<u64>,
    /// Response times on this host of the version that takes the requests without a rollout.
    pub(super) usual: LatencyBaseline,
    /// Outcomes on this host since the order.
    pub(super) own: OwnEvidence,
    /// Outcomes on other hosts since the order, by region.
    pub(super) told: HashMap<RegionId, RegionEvidence>,
    /// Outcomes that were known at earlier moments.
    pub(super) history: EvidenceHistory,
}

impl ServiceVersions {
    /// Order of the rollout that the record says is under way, and when the first host saw it.
    pub(super) fn ordered(&self) -> Option<(&RolloutOrder, MonoTime)> {
        let (order, seen) = self.order.as_ref()?;
        let (record, _) = self.record.as_ref()?;
        let is_open = matches!(record.phase, RolloutPhase::Running | RolloutPhase::Settled);
        (record.order == order.revision && is_open).then_some((order, *seen))
    }

    /// The same while this host has not found the version bad.
    pub(super) fn running(&self) -> Option<(&RolloutOrder, MonoTime)> {
        self.ordered().filter(|(order, _)| self.reverted != Some(order.revision))
    }

    /// Judges a rollout that runs; says whether it looks bad.
    pub(super) fn judge(&mut self) -> bool {
        let Some((order, _)) = self.running() else { return false };
        let revision = order.revision;
        let own = self.own.counts();
        let is_bad = is_bad(own, self.told.values()) || self.history.is_bad(own, &self.told);
        self.history.record(own, &self.told);
        if is_bad {
            self.reverted = Some(revision);
        }
        is_bad
    }

    pub(super) fn stable(&self) -> Option<&VersionId> {
        let record = self.record.as_ref().map(|(record, _)| match record.phase {
            RolloutPhase::Completed => &record.target,
            RolloutPhase::Running | RolloutPhase::Settled | RolloutPhase::Reverted => {
                &record.stable
            }
        });
        record.or(self.common.as_ref())
    }

    /// Outcomes on all hosts as far as this one knows.
    pub(super) fn known_counts(&self) -> VersionCounts {
        total_counts(self.own.counts(), self.told.values())
    }

    /// Requests per second over all hosts, rather too many than too few: hosts that told nothing yet are taken to have as
    /// much traffic as this one.
    pub(super) fn rate(&self, seen: MonoTime, bounds: &RolloutBounds, now: MonoTime) -> f64 {
        let known = f64::from(self.known_counts().requests());
        let raised = known + RATE_DEVIATIONS * known.sqrt() + UNCOUNTED;
        let own = f64::from(self.own.counts().requests()) * f64::from(bounds.hosts);
        let per_second =
            |count: f64, start: MonoTime| count / now.since(start).as_secs_f64().max(0.001);
        per_second(raised, seen).max(per_second(own, self.noticed))
    }

    pub(super) fn schedule(
        &self,
        order: &RolloutOrder,
        seen: MonoTime,
        bounds: &RolloutBounds,
        now: MonoTime,
    ) -> RolloutSchedule {
        let rate = self.rate(seen, bounds, now);
        RolloutSchedule::new(seen, order.span, rate, bounds.exposure, bounds.apply_time)
    }

    /// Whether a request, for a uniform `draw`, goes to the new version of a rollout that runs.
    pub(super) fn takes_new(
        &self,
        (order, seen): (&RolloutOrder, MonoTime),
        draw: f64,
        bounds: &RolloutBounds,
        now: MonoTime,
    ) -> bool {
        let schedule = self.schedule(order, seen, bounds, now);
        let is_whole = self.is_whole(&schedule, now);
        // Servers of the old version that turn requests away must not raise the part of the new one.
        let allowed = schedule.mean_share(now) * f64::from(self.sent.all) + CANARY_EXCESS;
        is_whole || (draw < schedule.share_at(now) && f64::from(self.sent.new) < allowed)
    }

    /// Whether the new version takes everything.
    pub(super) fn is_whole(&self, schedule: &RolloutSchedule, now: MonoTime) -> bool {
        self.is_settled() && (self.is_late || now >= schedule.whole_at)
    }

    /// State that a rollout in state `phase` is to get.
    pub(super) fn due_phase(
        &self,
        phase: RolloutPhase,
        bounds: &RolloutBounds,
        now: MonoTime,
    ) -> Option<RolloutPhase> {
        let (order, seen) = self.order.as_ref()?;
        let schedule = self.schedule(order, *seen, bounds, now);
        match phase {
            RolloutPhase::Completed | RolloutPhase::Reverted => None,
            _ if self.reverted == Some(order.revision) => Some(RolloutPhase::Reverted),
            RolloutPhase::Running => {
                (now >= schedule.announced_at).then_some(RolloutPhase::Settled)
            }
            RolloutPhase::Settled => {
                let settled = self.settled?;
                let whole_at = if self.is_late { settled } else { settled.max(schedule.whole_at) };
                let drain_time = schedule.drain_time().min(bounds.apply_time);
                let is_idle = now >= whole_at.after(drain_time);
                if now < schedule.completed_at || !is_idle {
                    return None;
                }
                let own = self.own.counts();
                let is_doubtful = is_doubtful(own, self.told.values())
                    || self.history.is_doubtful(own, &self.told);
                Some(if is_doubtful { RolloutPhase::Reverted } else { RolloutPhase::Completed })
            }
        }
    }

    /// Takes from a settled rollout how old its order is at least, if this host does not know that by then.
    pub(super) fn catch_up(&mut self) {
        let (Some((order, seen)), Some((record, _)), Some(settled)) =
            (&mut self.order, &self.record, self.settled)
        else {
            return;
        };
        let Some(age) = record.age.filter(|_| record.order == order.revision) else { return };
        let start = settled.before(age);
        if start.after(LATE_TIME) < *seen {
            (*seen, self.is_late) = (start, true);
        }
    }

    /// Whether the record says that all requests are about to go to the new version.
    pub(super) fn is_settled(&self) -> bool {
        self.record.as_ref().is_some_and(|(it, _)| it.phase == RolloutPhase::Settled)
    }
}

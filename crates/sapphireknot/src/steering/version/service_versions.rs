//! Versions of one service: selection for a request, and the rollout steps that are due.

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

/// Requests by which a host may exceed its share of the canary.
const CANARY_EXCESS: f64 = 1.0;
/// Allowance for requests that are not counted yet when a rate is derived from counts.
const UNCOUNTED_REQUESTS: f64 = 5.0;
/// Standard deviations by which a rate that is derived from counts is raised.
const RATE_DEVIATIONS: f64 = 3.0;
/// Minimum delay between the order's announced start and the time at which a host saw it for the host to count as late;
/// messages between hosts take less.
const MIN_LATENESS: Duration = Duration::from_millis(50);

/// Number of requests that this host sent since an order.
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
    /// Latest order and when the first host saw it, to this host's knowledge.
    pub(super) order: Option<(RolloutOrder, MonoTime)>,
    /// When this host saw the order.
    pub(super) noticed_at: MonoTime,
    pub(super) sent: SentRequests,
    pub(super) record: Option<(RolloutRecord, u64)>,
    /// When this host saw that the rollout of the record is settled.
    pub(super) settled_at: Option<MonoTime>,
    /// Whether this host learnt the age of the order only from the settled record.
    pub(super) is_late: bool,
    /// Version that most servers run, while there is no record.
    pub(super) prevalent: Option<VersionId>,
    /// Revision of the order whose target this host found bad.
    pub(super) bad_order: Option<u64>,
    /// Response times on this host of the version that serves requests outside of a rollout.
    pub(super) baseline: LatencyBaseline,
    /// Outcomes on this host since the order.
    pub(super) own: OwnEvidence,
    /// Outcomes on other hosts since the order, by region.
    pub(super) remote: HashMap<RegionId, RegionEvidence>,
    /// Checkpoints of the known outcomes.
    pub(super) history: EvidenceHistory,
}

impl ServiceVersions {
    /// Order of the rollout that is under way according to the record, and when the first host saw it.
    pub(super) fn open_rollout(&self) -> Option<(&RolloutOrder, MonoTime)> {
        let (order, seen) = self.order.as_ref()?;
        let (record, _) = self.record.as_ref()?;
        let is_open = matches!(record.phase, RolloutPhase::Running | RolloutPhase::Settled);
        (record.order == order.revision && is_open).then_some((order, *seen))
    }

    /// Returns [`Self::open_rollout`] unless this host found its version bad.
    pub(super) fn running(&self) -> Option<(&RolloutOrder, MonoTime)> {
        self.open_rollout().filter(|(order, _)| self.bad_order != Some(order.revision))
    }

    /// Evaluates the running rollout; returns whether it looks bad.
    pub(super) fn evaluate(&mut self) -> bool {
        let Some((order, _)) = self.running() else { return false };
        let revision = order.revision;
        let own = self.own.counts();
        let is_bad = is_bad(own, self.remote.values()) || self.history.is_bad(own, &self.remote);
        self.history.record(own, &self.remote);
        if is_bad {
            self.bad_order = Some(revision);
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
        record.or(self.prevalent.as_ref())
    }

    /// Known outcomes on all hosts.
    pub(super) fn known_counts(&self) -> VersionCounts {
        total_counts(self.own.counts(), self.remote.values())
    }

    /// Estimated requests per second over all hosts, biased upwards: hosts that sent no evidence yet are assumed to
    /// have as much traffic as this one.
    pub(super) fn rate(&self, seen: MonoTime, bounds: &RolloutBounds, now: MonoTime) -> f64 {
        let known = f64::from(self.known_counts().requests());
        let raised = known + RATE_DEVIATIONS * known.sqrt() + UNCOUNTED_REQUESTS;
        let own = f64::from(self.own.counts().requests()) * f64::from(bounds.hosts);
        let per_second =
            |count: f64, start: MonoTime| count / now.since(start).as_secs_f64().max(0.001);
        per_second(raised, seen).max(per_second(own, self.noticed_at))
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

    /// Whether a request, for a uniform `draw`, goes to the new version of a running rollout.
    pub(super) fn takes_new(
        &self,
        (order, seen): (&RolloutOrder, MonoTime),
        draw: f64,
        bounds: &RolloutBounds,
        now: MonoTime,
    ) -> bool {
        let schedule = self.schedule(order, seen, bounds, now);
        let is_full = self.is_full(&schedule, now);
        // Counted over the requests sent, so that rejections by servers of the old version do not raise the share of
        // the new one.
        let allowed = schedule.mean_share(now) * f64::from(self.sent.all) + CANARY_EXCESS;
        is_full || (draw < schedule.share_at(now) && f64::from(self.sent.new) < allowed)
    }

    /// Whether the new version receives all requests.
    pub(super) fn is_full(&self, schedule: &RolloutSchedule, now: MonoTime) -> bool {
        self.is_settled() && (self.is_late || now >= schedule.full_at)
    }

    /// Phase that is due for a rollout in `phase`; `None` if none is.
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
            _ if self.bad_order == Some(order.revision) => Some(RolloutPhase::Reverted),
            RolloutPhase::Running => {
                (now >= schedule.announced_at).then_some(RolloutPhase::Settled)
            }
            RolloutPhase::Settled => {
                let settled = self.settled_at?;
                let full_at = if self.is_late { settled } else { settled.max(schedule.full_at) };
                let drain_time = schedule.drain_time().min(bounds.apply_time);
                let is_idle = now >= full_at.after(drain_time);
                if now < schedule.completed_at || !is_idle {
                    return None;
                }
                let own = self.own.counts();
                let is_doubtful = is_doubtful(own, self.remote.values())
                    || self.history.is_doubtful(own, &self.remote);
                Some(if is_doubtful { RolloutPhase::Reverted } else { RolloutPhase::Completed })
            }
        }
    }

    /// Takes the minimum age of the order from the record of a settled rollout, if this host assumed a later start.
    pub(super) fn apply_announced_age(&mut self) {
        let (Some((order, seen)), Some((record, _)), Some(settled)) =
            (&mut self.order, &self.record, self.settled_at)
        else {
            return;
        };
        let Some(age) = record.age.filter(|_| record.order == order.revision) else { return };
        let start = settled.before(age);
        if start.after(MIN_LATENESS) < *seen {
            (*seen, self.is_late) = (start, true);
        }
    }

    /// Whether, according to the record, all requests are about to go to the new version.
    pub(super) fn is_settled(&self) -> bool {
        self.record.as_ref().is_some_and(|(it, _)| it.phase == RolloutPhase::Settled)
    }
}

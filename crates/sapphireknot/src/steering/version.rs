//! Versions of a service while operators bring in a new one.
//!
//! The state of a rollout is a record in the store that hosts change by compare-and-swap, so that no host leads. Between
//! its changes every host derives the share of the new version from the time since the start. Each host judges the new
//! version by its own requests and by what other hosts told of theirs ([`super::evidence`]), and reverts the rollout for
//! all hosts when it looks bad; the share returns to nothing on this host at once.
//!
//! Hosts see an order at different times: one may start during the rollout, or may have been without the store. They
//! tell each other with the evidence how long ago they saw it, and the earliest time counts. The servers of the old
//! version may stop as soon as a rollout is completed, so that it is settled first: this record sends all requests of a
//! host that reads it to the new version, also when no other host told it anything, and a rollout is completed when the
//! record has had the time to reach all hosts.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::evidence::{OutcomeQuality, OwnEvidence, RegionEvidence, VersionCounts, is_bad};
use crate::{
    ids::{RegionId, ServiceId, VersionId},
    time::MonoTime,
};

/// Share of the new version from a part of the rollout's time on. A bad version that shows itself before the share
/// reaches a quarter has had less than a twentieth of the requests.
const RAMP: [(f64, f64); 6] =
    [(0.0, 0.02), (0.10, 0.05), (0.30, 0.10), (0.44, 0.25), (0.54, 0.50), (SETTLE_AT, 1.0)];
/// Part of a rollout's time after which it is settled; the share is whole from here on.
const SETTLE_AT: f64 = 0.62;
/// Part of a rollout's time after which it completes. The old version got nothing for the time in between, so that its
/// servers have answered what they had.
const COMPLETE_AT: f64 = 0.76;
/// Part of a rollout's time after which it completes even if the record that settled it may not have reached all hosts,
/// so that an order with little time is completed before its deadline.
const COMPLETE_BY: f64 = 0.88;

/// What operators asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceId,
    /// Version that is to take all requests.
    pub target: VersionId,
    /// Time in which it is to be done.
    pub span: Duration,
    /// Revision of the order; tells a repeated order from an earlier one.
    pub revision: u64,
}

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutPhase {
    /// The share of the new version rises.
    Running,
    /// The new version takes all requests, and the servers of the old one still run.
    Settled,
    /// The new version takes all requests.
    Completed,
    /// The old version takes all requests.
    Reverted,
}

/// Record of a service's latest rollout in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Service.
    pub service: ServiceId,
    /// Version that takes the requests without a rollout.
    pub stable: VersionId,
    /// Version of the rollout.
    pub target: VersionId,
    /// Revision of the order.
    pub order: u64,
    /// State.
    pub phase: RolloutPhase,
}

/// Change of a record that a host is to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChange {
    /// Record to write.
    pub record: RolloutRecord,
    /// Revision of the record that it replaces; zero if there is none.
    pub replaces: u64,
}

/// Versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Latest order and when the first host saw it, as far as this one knows.
    order: Option<(RolloutOrder, MonoTime)>,
    record: Option<(RolloutRecord, u64)>,
    /// When this host saw that the rollout of the record is settled.
    settled: Option<MonoTime>,
    /// Version that most servers run, while there is no record.
    common: Option<VersionId>,
    /// Orders whose target this host found bad.
    reverted: Option<u64>,
    /// Outcomes on this host since the order.
    own: OwnEvidence,
    /// Outcomes on other hosts since the order, by region.
    told: HashMap<RegionId, RegionEvidence>,
}

impl ServiceVersions {
    fn running(&self) -> Option<(&RolloutOrder, MonoTime)> {
        let (order, seen) = self.order.as_ref()?;
        let (record, _) = self.record.as_ref()?;
        let is_running = matches!(record.phase, RolloutPhase::Running | RolloutPhase::Settled);
        let is_current = record.order == order.revision && is_running;
        (is_current && self.reverted != Some(order.revision)).then_some((order, *seen))
    }

    /// Judges a rollout that runs; says whether it looks bad.
    fn judge(&mut self) -> bool {
        let Some((order, _)) = self.running() else { return false };
        let revision = order.revision;
        let is_bad = is_bad(self.own.counts(), self.told.values());
        if is_bad {
            self.reverted = Some(revision);
        }
        is_bad
    }

    fn stable(&self) -> Option<&VersionId> {
        let record = self.record.as_ref().map(|(record, _)| match record.phase {
            RolloutPhase::Completed => &record.target,
            RolloutPhase::Running | RolloutPhase::Settled | RolloutPhase::Reverted => {
                &record.stable
            }
        });
        record.or(self.common.as_ref())
    }

    fn progress(order: &RolloutOrder, seen: MonoTime, now: MonoTime) -> f64 {
        now.since(seen).as_secs_f64() / order.span.as_secs_f64().max(0.001)
    }

    /// State that a rollout in state `phase` is to get.
    fn due_phase(
        &self,
        phase: RolloutPhase,
        apply_time: Duration,
        now: MonoTime,
    ) -> Option<RolloutPhase> {
        let (order, seen) = self.order.as_ref()?;
        let progress = Self::progress(order, *seen, now);
        let is_everywhere = self.settled.is_some_and(|it| now >= it.after(apply_time));
        match phase {
            RolloutPhase::Completed | RolloutPhase::Reverted => None,
            _ if self.reverted == Some(order.revision) => Some(RolloutPhase::Reverted),
            RolloutPhase::Running if progress >= SETTLE_AT => Some(RolloutPhase::Settled),
            RolloutPhase::Settled
                if progress >= COMPLETE_BY || (progress >= COMPLETE_AT && is_everywhere) =>
            {
                Some(RolloutPhase::Completed)
            }
            RolloutPhase::Running | RolloutPhase::Settled => None,
        }
    }

    /// Takes from a settled rollout that its order was seen long enough ago for that.
    fn catch_up(&mut self) {
        let (Some((order, seen)), Some((record, _)), Some(settled)) =
            (&mut self.order, &self.record, self.settled)
        else {
            return;
        };
        if record.order == order.revision {
            *seen = (*seen).min(settled.before(order.span.mul_f64(SETTLE_AT)));
        }
    }

    /// Whether all requests go to the new version of a rollout that runs.
    fn is_settled(&self) -> bool {
        self.record.as_ref().is_some_and(|(it, _)| it.phase == RolloutPhase::Settled)
    }
}

/// Versions of all services.
#[derive(Debug, Default)]
pub struct VersionTable {
    services: HashMap<ServiceId, ServiceVersions>,
}

impl VersionTable {
    /// Takes an order.
    pub fn add_order(&mut self, order: RolloutOrder, now: MonoTime) {
        let versions = self.services.entry(order.service.clone()).or_default();
        if versions.order.as_ref().is_some_and(|(it, _)| it.revision == order.revision) {
            return;
        }
        versions.own = OwnEvidence::default();
        versions.told.clear();
        versions.order = Some((order, now));
        versions.catch_up();
    }

    /// Ends an order; its record stays.
    pub fn remove_order(&mut self, service: &ServiceId) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.order = None;
        }
    }

    /// Takes a record as the store holds it at `revision`.
    pub fn add_record(&mut self, record: RolloutRecord, revision: u64, now: MonoTime) {
        let versions = self.services.entry(record.service.clone()).or_default();
        if versions.record.as_ref().is_none_or(|(_, known)| *known < revision) {
            versions.settled = (record.phase == RolloutPhase::Settled).then_some(now);
            versions.record = Some((record, revision));
            versions.catch_up();
        }
    }

    /// Takes the versions of a service's servers, one entry per server.
    pub fn set_servers<'a, I>(&mut self, service: &ServiceId, servers: I)
    where
        I: Iterator<Item = &'a VersionId>,
    {
        let mut counts: HashMap<&VersionId, usize> = HashMap::new();
        for version in servers {
            *counts.entry(version).or_default() += 1;
        }
        let versions = self.services.entry(service.clone()).or_default();
        // The version in use stays as long as a server runs it; servers of a new one may start before their order is seen.
        if versions.common.as_ref().is_some_and(|it| counts.contains_key(it)) {
            return;
        }
        let common = counts.into_iter().max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(a.0)));
        versions.common = common.map(|(version, _)| version.clone()).or(versions.common.take());
    }

    /// Version that takes a request, for a uniform `draw` between 0 and 1; `None` if any may.
    pub fn choose(&self, service: &ServiceId, draw: f64, now: MonoTime) -> Option<VersionId> {
        let versions = self.services.get(service)?;
        let Some((order, seen)) = versions.running() else { return versions.stable().cloned() };
        let progress = ServiceVersions::progress(order, seen, now);
        let step = RAMP.iter().rev().find(|(from, _)| progress >= *from);
        let share = if versions.is_settled() { 1.0 } else { step.map_or(0.0, |(_, it)| *it) };
        if draw < share { Some(order.target.clone()) } else { versions.stable().cloned() }
    }

    /// New version of a service while a rollout runs.
    pub fn new_version(&self, service: &ServiceId) -> Option<&VersionId> {
        let (order, _) = self.services.get(service)?.running()?;
        Some(&order.target)
    }

    /// Version that takes the requests of a service but for a rollout.
    pub fn stable(&self, service: &ServiceId) -> Option<&VersionId> {
        self.services.get(service)?.stable()
    }

    /// Counts the outcome of a request, and says whether the rollout looks bad since this one.
    pub fn record_outcome(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        quality: OutcomeQuality,
    ) -> bool {
        let Some(versions) = self.services.get_mut(service) else { return false };
        let Some((order, _)) = versions.running() else { return false };
        let is_new = order.target == *version;
        versions.own.record(is_new, quality);
        versions.judge()
    }

    /// Takes what other hosts told, and says whether the rollout looks bad since then.
    pub fn take_evidence(&mut self, evidence: RegionEvidence) -> bool {
        let Some(versions) = self.services.get_mut(&evidence.service) else { return false };
        let Some((_, seen)) =
            versions.order.as_mut().filter(|(it, _)| it.revision == evidence.order)
        else {
            return false;
        };
        *seen = (*seen).min(evidence.seen);
        versions.told.insert(evidence.region.clone(), evidence);
        versions.judge()
    }

    /// Outcomes on this host of rollouts that run, with the order and when the first host saw it.
    pub fn own_evidence(&self) -> impl Iterator<Item = (&RolloutOrder, MonoTime, VersionCounts)> {
        self.services.values().filter_map(|versions| {
            let (order, seen) = versions.running()?;
            Some((order, seen, versions.own.counts()))
        })
    }

    /// Outcomes by which a rollout was judged, for reports.
    pub fn known_evidence(&self, service: &ServiceId) -> Option<VersionCounts> {
        let versions = self.services.get(service)?;
        let told = versions.told.values().map(|it| it.sum);
        Some(told.fold(versions.own.counts(), |sum, it| sum + it))
    }

    /// Changes of records that are due, if a record reaches all hosts within `apply_time`.
    pub fn due_changes(&self, apply_time: Duration, now: MonoTime) -> Vec<RecordChange> {
        let changes = self.services.iter().filter_map(|(service, versions)| {
            let (order, _) = versions.order.as_ref()?;
            let known = versions.record.as_ref().filter(|(it, _)| it.order == order.revision);
            let replaces = versions.record.as_ref().map_or(0, |(_, revision)| *revision);
            let stable = versions.stable()?.clone();
            let phase = match known {
                None => RolloutPhase::Running,
                Some((record, _)) => versions.due_phase(record.phase, apply_time, now)?,
            };
            let record = RolloutRecord {
                service: service.clone(),
                stable,
                target: order.target.clone(),
                order: order.revision,
                phase,
            };
            Some(RecordChange { record, replaces })
        });
        changes.collect()
    }
}

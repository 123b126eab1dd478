//! Versions of a service while operators bring in a new one.
//!
//! The state of a rollout is a record in the store that hosts change by compare-and-swap, so that no host leads. Between
//! its changes every host derives the share of the new version from the time since the start ([`super::exposure`]). Each
//! host judges the new version by its own requests and by what other hosts told of theirs ([`super::evidence`]), and
//! reverts the rollout for all hosts when it looks bad; the share returns to nothing on this host at once.
//!
//! Hosts see an order at different times: one may start during the rollout, or may have been without the store. They
//! tell each other with the evidence how long ago they saw it, and the earliest time counts. The servers of the old
//! version may stop as soon as a rollout is completed, so that it is settled first: this record announces that the new
//! version takes everything soon. A host that would do so too late, as no other host told it the age of the order, sends
//! all requests to the new version as soon as it reads the announcement.

mod service_versions;

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use self::service_versions::{SentRequests, ServiceVersions};
use super::{
    evidence::{EvidenceHistory, OutcomeQuality, OwnEvidence, RegionEvidence, VersionCounts},
    exposure::ExposureLimit,
    slowness::LatencyBaseline,
};
use crate::{
    ids::{ServiceId, VersionId},
    time::MonoTime,
};

/// Part of a rollout's time from which the response times of both versions are compared.
const COMPARED_FROM: f64 = 0.25;

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
    /// The new version has its canary share.
    Running,
    /// The new version takes all requests soon, and the servers of the old one still run.
    Settled,
    /// The new version takes all requests.
    Completed,
    /// The old version takes all requests.
    Reverted,
}

/// Record of a service's latest rollout in the store.
#[serde_as]
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
    /// Time from the order to the announcement that the rollout is settled, for hosts that saw the order later.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub age: Option<Duration>,
}

/// Change of a record that a host is to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChange {
    /// Record to write.
    pub record: RolloutRecord,
    /// Revision of the record that it replaces; zero if there is none.
    pub replaces: u64,
}

/// Bounds of rollouts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// What a bad version may have.
    pub exposure: ExposureLimit,
    /// Time in which a record reaches all hosts.
    pub apply_time: Duration,
    /// Hosts that share the traffic.
    pub hosts: u32,
}

impl Default for RolloutBounds {
    fn default() -> Self {
        Self { exposure: ExposureLimit::default(), apply_time: Duration::from_secs(2), hosts: 1 }
    }
}

/// Versions of all services.
#[derive(Debug, Default)]
pub struct VersionTable {
    bounds: RolloutBounds,
    services: HashMap<ServiceId, ServiceVersions>,
}

impl VersionTable {
    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: RolloutBounds) {
        self.bounds = bounds;
    }

    /// Takes an order.
    pub fn add_order(&mut self, order: RolloutOrder, now: MonoTime) {
        let versions = self.services.entry(order.service.clone()).or_default();
        if versions.order.as_ref().is_some_and(|(it, _)| it.revision == order.revision) {
            return;
        }
        versions.own = OwnEvidence::default();
        versions.told.clear();
        versions.history = EvidenceHistory::default();
        (versions.sent, versions.noticed) = (SentRequests::default(), now);
        versions.is_late = false;
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
        let Some(running) = versions.running() else { return versions.stable().cloned() };
        if versions.takes_new(running, draw, &self.bounds, now) {
            Some(running.0.target.clone())
        } else {
            versions.stable().cloned()
        }
    }

    /// Counts a request that is sent to `version`.
    pub fn record_sent(&mut self, service: &ServiceId, version: &VersionId) {
        let Some(versions) = self.services.get_mut(service) else { return };
        let Some((order, _)) = versions.running() else { return };
        let is_new = order.target == *version;
        versions.sent.all = versions.sent.all.saturating_add(1);
        versions.sent.new = versions.sent.new.saturating_add(u32::from(is_new));
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

    /// Takes the response time of a request, in target latencies.
    pub fn record_time(&mut self, service: &ServiceId, version: &VersionId, time: f64) {
        let Some(versions) = self.services.get_mut(service) else { return };
        if versions.stable() == Some(version) {
            versions.usual.record(time);
        }
    }

    /// Whether a response time, in target latencies, is slow for a service; `is_cold` says whether the server was cold.
    pub fn is_slow(&self, service: &ServiceId, time: f64, is_cold: bool, now: MonoTime) -> bool {
        let Some(versions) = self.services.get(service) else { return false };
        let Some((order, seen)) = versions.running() else { return false };
        // Under all requests its servers wait longer, and the old version has none to compare with.
        let is_whole =
            || versions.is_whole(&versions.schedule(order, seen, &self.bounds, now), now);
        // Servers that have just started are slower for some seconds, whether they are cold or not.
        let is_early = now < seen.after(order.span.mul_f64(COMPARED_FROM));
        if is_cold || is_early || is_whole() {
            LatencyBaseline::is_always_slow(time)
        } else {
            versions.usual.is_slow(time)
        }
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
    pub fn apply_evidence(&mut self, evidence: RegionEvidence) -> bool {
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

    /// Outcomes on this host of rollouts that the record says are under way, with the order and when the first host saw
    /// it. Those that this host found bad are among them: the record may not be written yet, and hosts that start
    /// meanwhile know nothing else.
    pub fn own_evidence(&self) -> impl Iterator<Item = (&RolloutOrder, MonoTime, VersionCounts)> {
        self.services.values().filter_map(|versions| {
            let (order, seen) = versions.ordered()?;
            Some((order, seen, versions.own.counts()))
        })
    }

    /// Outcomes by which a rollout was judged, for reports.
    pub fn known_evidence(&self, service: &ServiceId) -> Option<VersionCounts> {
        Some(self.services.get(service)?.known_counts())
    }

    /// When the next change of a record is due after `now`.
    pub fn next_change(&self, now: MonoTime) -> Option<MonoTime> {
        let times = self.services.values().filter_map(|versions| {
            let (order, seen) = versions.running()?;
            let schedule = versions.schedule(order, seen, &self.bounds, now);
            Some([schedule.announced_at, schedule.completed_at])
        });
        times.flatten().filter(|it| *it > now).min()
    }

    /// Whether the record says that the new version of a service takes all requests soon or already.
    pub fn is_settled(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|it| it.running().is_some() && it.is_settled())
    }

    /// Whether a rollout is about to be completed.
    pub fn is_completion_near(&self, now: MonoTime) -> bool {
        self.services.values().filter(|it| it.is_settled()).any(|versions| {
            let Some((order, seen)) = versions.running() else { return false };
            let schedule = versions.schedule(order, seen, &self.bounds, now);
            now >= schedule.completed_at.before(self.bounds.apply_time)
        })
    }

    /// Changes of records that are due.
    pub fn due_changes(&self, now: MonoTime) -> Vec<RecordChange> {
        let changes = self.services.iter().filter_map(|(service, versions)| {
            let (order, seen) = versions.order.as_ref()?;
            let known = versions.record.as_ref().filter(|(it, _)| it.order == order.revision);
            let replaces = versions.record.as_ref().map_or(0, |(_, revision)| *revision);
            let stable = versions.stable()?.clone();
            let phase = match known {
                None => RolloutPhase::Running,
                Some((record, _)) => versions.due_phase(record.phase, &self.bounds, now)?,
            };
            let record = RolloutRecord {
                service: service.clone(),
                stable,
                target: order.target.clone(),
                order: order.revision,
                phase,
                age: (phase == RolloutPhase::Settled).then(|| now.since(*seen)),
            };
            Some(RecordChange { record, replaces })
        });
        changes.collect()
    }
}

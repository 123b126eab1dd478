//! Versions of a service during the rollout of a new one.
//!
//! The state of a rollout is a record in the store that hosts change by compare-and-swap, so that no leader is needed.
//! Between changes every host derives the share of the new version from the time since the start ([`super::exposure`]).
//! Each host evaluates the new version by its own requests and by the evidence of other hosts ([`super::evidence`]),
//! and reverts the rollout for all hosts when it looks bad; on this host the share drops to zero at once.
//!
//! Hosts see an order at different times: a host may start during the rollout, or may have been without the store. They
//! send each other, with the evidence, how long ago they saw it, and the earliest time counts. The servers of the old
//! version may stop as soon as a rollout is completed, so the rollout is settled first: this record announces that the
//! new version receives everything soon. A host that would switch too late, because no other host sent it the age of
//! the order, sends all requests to the new version as soon as it reads the announcement.

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

/// Part of a rollout's time after which the response times of both versions are compared.
const COMPARISON_START: f64 = 0.25;

/// Operators' order to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: ServiceId,
    /// Version that is to serve all requests.
    pub target: VersionId,
    /// Time within which the rollout is to be completed.
    pub span: Duration,
    /// Revision of the order; distinguishes a repeated order from an earlier one.
    pub revision: u64,
}

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutPhase {
    /// The new version has its canary share.
    Running,
    /// The new version is about to serve all requests, and the servers of the old one still run.
    Settled,
    /// The new version serves all requests.
    Completed,
    /// The old version serves all requests.
    Reverted,
}

/// Record of a service's latest rollout in the store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Service.
    pub service: ServiceId,
    /// Version that serves requests outside of a rollout.
    pub stable: VersionId,
    /// Version of the rollout.
    pub target: VersionId,
    /// Revision of the order.
    pub order: u64,
    /// State.
    pub phase: RolloutPhase,
    /// Time from the order to the announcement of settling, for hosts that saw the order later.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub age: Option<Duration>,
}

/// Change of a rollout record that a host must write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChange {
    /// Record to write.
    pub record: RolloutRecord,
    /// Revision of the record that it replaces; zero if there is none.
    pub replaces: u64,
}

/// Limits of rollouts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Limit of the requests that a bad version may receive.
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

    /// Adds an order, unless it is known.
    pub fn add_order(&mut self, order: RolloutOrder, now: MonoTime) {
        let versions = self.services.entry(order.service.clone()).or_default();
        if versions.order.as_ref().is_some_and(|(it, _)| it.revision == order.revision) {
            return;
        }
        versions.own = OwnEvidence::default();
        versions.remote.clear();
        versions.history = EvidenceHistory::default();
        (versions.sent, versions.noticed_at) = (SentRequests::default(), now);
        versions.is_late = false;
        versions.order = Some((order, now));
        versions.apply_announced_age();
    }

    /// Ends an order; its record stays.
    pub fn remove_order(&mut self, service: &ServiceId) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.order = None;
        }
    }

    /// Adds a record that the store holds at `revision`, unless a later one is known.
    pub fn add_record(&mut self, record: RolloutRecord, revision: u64, now: MonoTime) {
        let versions = self.services.entry(record.service.clone()).or_default();
        if versions.record.as_ref().is_none_or(|(_, known)| *known < revision) {
            versions.settled_at = (record.phase == RolloutPhase::Settled).then_some(now);
            versions.record = Some((record, revision));
            versions.apply_announced_age();
        }
    }

    /// Updates the prevalent version from the versions of a service's servers, one entry per server.
    pub fn set_servers<'a, I>(&mut self, service: &ServiceId, servers: I)
    where
        I: Iterator<Item = &'a VersionId>,
    {
        let mut counts: HashMap<&VersionId, usize> = HashMap::new();
        for version in servers {
            *counts.entry(version).or_default() += 1;
        }
        let versions = self.services.entry(service.clone()).or_default();
        // The version in use is kept as long as a server runs it; servers of a new one may start before their order is
        // seen.
        if versions.prevalent.as_ref().is_some_and(|it| counts.contains_key(it)) {
            return;
        }
        let common = counts.into_iter().max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(a.0)));
        versions.prevalent =
            common.map(|(version, _)| version.clone()).or(versions.prevalent.take());
    }

    /// Selects the version that serves a request, for a uniform `draw` between 0 and 1; `None` if any may.
    pub fn choose(&self, service: &ServiceId, draw: f64, now: MonoTime) -> Option<VersionId> {
        let versions = self.services.get(service)?;
        let Some(running) = versions.running() else { return versions.stable().cloned() };
        if versions.takes_new(running, draw, &self.bounds, now) {
            Some(running.0.target.clone())
        } else {
            versions.stable().cloned()
        }
    }

    /// Records a request that is sent to `version`.
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

    /// Version that serves the requests of a service outside of a rollout.
    pub fn stable(&self, service: &ServiceId) -> Option<&VersionId> {
        self.services.get(service)?.stable()
    }

    /// Records the response time of a request, in target latencies.
    pub fn record_time(&mut self, service: &ServiceId, version: &VersionId, time: f64) {
        let Some(versions) = self.services.get_mut(service) else { return };
        if versions.stable() == Some(version) {
            versions.baseline.record(time);
        }
    }

    /// Whether a response time, in target latencies, is slow for a service; `is_cold` is whether the server was cold.
    pub fn is_slow(&self, service: &ServiceId, time: f64, is_cold: bool, now: MonoTime) -> bool {
        let Some(versions) = self.services.get(service) else { return false };
        let Some((order, seen)) = versions.running() else { return false };
        // When the new version receives all requests, they queue longer at its servers, and the old one has no
        // responses to compare with.
        let is_full = || versions.is_full(&versions.schedule(order, seen, &self.bounds, now), now);
        // Servers that just started are slower for some seconds, whether they are cold or not.
        let is_early = now < seen.after(order.span.mul_f64(COMPARISON_START));
        if is_cold || is_early || is_full() {
            LatencyBaseline::is_always_slow(time)
        } else {
            versions.baseline.is_slow(time)
        }
    }

    /// Records the outcome of a request, and returns whether it makes the rollout look bad.
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
        versions.evaluate()
    }

    /// Applies evidence of other hosts, and returns whether it makes the rollout look bad.
    pub fn apply_evidence(&mut self, evidence: RegionEvidence) -> bool {
        let Some(versions) = self.services.get_mut(&evidence.service) else { return false };
        let Some((_, seen)) =
            versions.order.as_mut().filter(|(it, _)| it.revision == evidence.order)
        else {
            return false;
        };
        *seen = (*seen).min(evidence.seen);
        versions.remote.insert(evidence.region.clone(), evidence);
        versions.evaluate()
    }

    /// Outcomes on this host of rollouts that are under way according to their record, with the order and when the
    /// first host saw it. Rollouts that this host found bad are included: the record may not be written yet, and hosts
    /// that start meanwhile have no other source.
    pub fn own_evidence(&self) -> impl Iterator<Item = (&RolloutOrder, MonoTime, VersionCounts)> {
        self.services.values().filter_map(|versions| {
            let (order, seen) = versions.open_rollout()?;
            Some((order, seen, versions.own.counts()))
        })
    }

    /// Outcomes by which a rollout was evaluated, for reports.
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

    /// Whether, according to the record, the new version of a service serves all requests or is about to.
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

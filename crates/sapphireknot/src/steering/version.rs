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

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{
    evidence::{OutcomeQuality, OwnEvidence, RegionEvidence, VersionCounts, is_bad, is_doubtful},
    exposure::{ExposureLimit, RolloutSchedule},
    slowness::UsualSpeed,
};
use crate::{
    ids::{RegionId, ServiceId, VersionId},
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

/// Requests that this host sent since an order.
#[derive(Debug, Clone, Copy, Default)]
struct SentRequests {
    /// To the new version.
    new: u32,
    /// To both versions.
    all: u32,
}

/// Versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Latest order and when the first host saw it, as far as this one knows.
    order: Option<(RolloutOrder, MonoTime)>,
    /// When this host saw the order.
    noticed: MonoTime,
    sent: SentRequests,
    record: Option<(RolloutRecord, u64)>,
    /// When this host saw that the rollout of the record is settled.
    settled: Option<MonoTime>,
    /// Whether this host learnt the age of the order from the settled record only.
    is_late: bool,
    /// Version that most servers run, while there is no record.
    common: Option<VersionId>,
    /// Orders whose target this host found bad.
    reverted: Option<u64>,
    /// Response times on this host of the version that takes the requests without a rollout.
    usual: UsualSpeed,
    /// Outcomes on this host since the order.
    own: OwnEvidence,
    /// Outcomes on other hosts since the order, by region.
    told: HashMap<RegionId, RegionEvidence>,
}

impl ServiceVersions {
    /// Order of the rollout that the record says is under way, and when the first host saw it.
    fn ordered(&self) -> Option<(&RolloutOrder, MonoTime)> {
        let (order, seen) = self.order.as_ref()?;
        let (record, _) = self.record.as_ref()?;
        let is_open = matches!(record.phase, RolloutPhase::Running | RolloutPhase::Settled);
        (record.order == order.revision && is_open).then_some((order, *seen))
    }

    /// The same while this host has not found the version bad.
    fn running(&self) -> Option<(&RolloutOrder, MonoTime)> {
        self.ordered().filter(|(order, _)| self.reverted != Some(order.revision))
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

    /// Outcomes on all hosts as far as this one knows.
    fn known_counts(&self) -> VersionCounts {
        self.told.values().fold(self.own.counts(), |sum, it| sum + it.sum)
    }

    /// Requests per second over all hosts, rather too many than too few: hosts that told nothing yet are taken to have as
    /// much traffic as this one.
    fn rate(&self, seen: MonoTime, bounds: &RolloutBounds, now: MonoTime) -> f64 {
        let known = f64::from(self.known_counts().requests());
        let raised = known + RATE_DEVIATIONS * known.sqrt() + UNCOUNTED;
        let own = f64::from(self.own.counts().requests()) * f64::from(bounds.hosts);
        let per_second =
            |count: f64, start: MonoTime| count / now.since(start).as_secs_f64().max(0.001);
        per_second(raised, seen).max(per_second(own, self.noticed))
    }

    fn schedule(
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
    fn takes_new(
        &self,
        (order, seen): (&RolloutOrder, MonoTime),
        draw: f64,
        bounds: &RolloutBounds,
        now: MonoTime,
    ) -> bool {
        let schedule = self.schedule(order, seen, bounds, now);
        let is_whole = self.is_whole(&schedule, now);
        // Servers of the old version that turn requests away must not raise the part of the new one.
        let allowed = schedule.canary * f64::from(self.sent.all) + CANARY_EXCESS;
        is_whole || (draw < schedule.canary && f64::from(self.sent.new) < allowed)
    }

    /// Whether the new version takes everything.
    fn is_whole(&self, schedule: &RolloutSchedule, now: MonoTime) -> bool {
        self.is_settled() && (self.is_late || now >= schedule.whole_at)
    }

    /// State that a rollout in state `phase` is to get.
    fn due_phase(
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
                let is_due = now >= schedule.completed_at && is_idle;
                let is_doubtful = is_doubtful(self.own.counts(), self.told.values());
                let last =
                    if is_doubtful { RolloutPhase::Reverted } else { RolloutPhase::Completed };
                is_due.then_some(last)
            }
        }
    }

    /// Takes from a settled rollout how old its order is at least, if this host does not know that by then.
    fn catch_up(&mut self) {
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
    fn is_settled(&self) -> bool {
        self.record.as_ref().is_some_and(|(it, _)| it.phase == RolloutPhase::Settled)
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
        let is_whole = versions.is_whole(&versions.schedule(order, seen, &self.bounds, now), now);
        if is_cold || is_whole {
            UsualSpeed::is_always_slow(time)
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

    /// Whether a new version takes all requests soon or already, and may still be taken back.
    pub fn is_deciding(&self) -> bool {
        self.services.values().any(|it| it.running().is_some() && it.is_settled())
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

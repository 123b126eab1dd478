//! Table of the rollouts of all services on this host.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::{Mutex, MutexGuard};
use sapphireknot::{
    ids::{ConfigGeneration, PlanId, ServerId, ServiceId, VersionId},
    operator::RolloutStatus,
    picker::ServerOutcome,
    rollout::{DrainSchedule, ShareNotice, TripNotice},
    time::WallTime,
};
use tokio::sync::Notify;

use super::{
    choice::usable_versions,
    service::{LocalEvidence, RolloutContext, ServiceRollout},
};
use crate::{
    interfaces::{VersionRouter, VersionSample},
    published::PublishedState,
};

/// Smallest number of hosts over which the false-alarm rate of trips is divided, since a starting host does not know
/// all other hosts yet.
const MIN_HOSTS: usize = 12;

/// Decisions and trips that hosts exchange by gossip.
#[derive(Debug, Clone, Default)]
pub struct RolloutUpdates {
    /// Newest decision on each service.
    pub notices: Vec<(ServiceId, ShareNotice)>,
    /// Trips of the plans in force.
    pub trips: Vec<(ServiceId, TripNotice)>,
}

#[derive(Debug, Default)]
struct TableInner {
    generation: ConfigGeneration,
    services: BTreeMap<ServiceId, ServiceRollout>,
    drains: BTreeMap<ServiceId, DrainSchedule>,
    /// Incremented by every change of the drains.
    drain_revision: u64,
}

impl TableInner {
    /// Advances the drains of leaving servers whose next step is due.
    fn advance_drains(&mut self, state: &PublishedState) {
        let now = state.clock.now();
        let settings = &state.settings;
        let config = state.config.load();
        let Some(config) = config.as_ref().filter(|it| it.generation == self.generation) else {
            return;
        };
        for (id, drain) in &mut self.drains {
            let Some(entry) = config.routes.service(id) else { continue };
            let cap = entry.traffic.as_ref().map_or(settings.limits.drain_cap, |it| it.cap);
            let step_interval = settings.timing.rollout_step.0;
            if drain.advance(entry.servers.iter(), cap, step_interval, now) {
                self.drain_revision += 1;
            }
        }
    }
}

/// State of the rollouts of all services on this host.
#[derive(Debug)]
pub struct RolloutTable {
    state: Arc<PublishedState>,
    inner: Mutex<TableInner>,
    tripped: Notify,
}

impl RolloutTable {
    /// Creates a table that reads the configuration in `state`.
    pub fn new(state: Arc<PublishedState>) -> Self {
        Self { state, inner: Mutex::default(), tripped: Notify::new() }
    }

    /// Waits until a version has tripped on this host.
    pub async fn wait_for_trip(&self) {
        self.tripped.notified().await;
    }

    /// Locks the table after applying the configuration in force to it.
    fn lock_current(&self) -> MutexGuard<'_, TableInner> {
        let mut inner = self.inner.lock();
        let config = self.state.config.load();
        let Some(config) = config.as_ref().filter(|it| it.generation != inner.generation) else {
            return inner;
        };
        let live = self.state.members.load().iter().filter(|it| it.state.is_live()).count();
        let timing = self.state.settings.timing.rollout();
        let context = RolloutContext {
            timing,
            hosts: live.max(MIN_HOSTS),
            now: self.state.clock.now(),
            wall: self.state.clock.wall(),
        };
        inner.generation = config.generation;
        let services = &config.document.services;
        inner.services.retain(|id, _| services.iter().any(|it| it.id == *id));
        for entry in services {
            let usable = usable_versions(&config.document, entry, &self.state.identity.region);
            let service = inner
                .services
                .entry(entry.id.clone())
                .or_insert_with(|| ServiceRollout::new(usable.clone()));
            service.install(entry, usable, context);
            let drain = inner.drains.entry(entry.id.clone()).or_default();
            drain.replace_servers(entry.servers.iter());
        }
        inner.drains.retain(|id, _| services.iter().any(|it| it.id == *id));
        inner.drain_revision += 1;
        inner.advance_drains(&self.state);
        inner
    }

    /// Moves the shares in use towards the decided ones, and advances the drains.
    pub fn advance(&self) {
        let now = self.state.clock.wall();
        let mut inner = self.lock_current();
        inner.services.values_mut().for_each(|it| it.advance(now));
        inner.advance_drains(&self.state);
    }

    /// Returns a revision that increases whenever the result of [`Self::draining_servers`] may have changed.
    pub fn drain_revision(&self) -> u64 {
        self.lock_current().drain_revision
    }

    /// Returns the leaving servers of `service` that are not drained yet.
    pub fn draining_servers(&self, service: &ServiceId) -> Vec<ServerId> {
        let inner = self.inner.lock();
        inner.drains.get(service).map(|it| it.draining().cloned().collect()).unwrap_or_default()
    }

    /// Returns the generation in force if all its leaving servers are drained on this host.
    pub fn drained_generation(&self) -> Option<ConfigGeneration> {
        let inner = self.lock_current();
        let is_drained = inner.drains.values().all(|it| it.draining().next().is_none());
        is_drained.then_some(inner.generation)
    }

    /// Returns the decisions and trips to send to peers.
    pub fn updates(&self) -> RolloutUpdates {
        let mut updates = RolloutUpdates::default();
        for (id, service) in &self.lock_current().services {
            updates.notices.extend(service.newest().map(|it| (id.clone(), it.clone())));
            let trips = service.trips().notices().into_iter();
            updates.trips.extend(trips.map(|it| (id.clone(), it)));
        }
        updates
    }

    /// Merges decisions and trips from a peer or the store. Returns whether any of them is new.
    pub fn merge(&self, updates: &RolloutUpdates) -> bool {
        let now = self.state.clock.wall();
        let mut inner = self.lock_current();
        let mut is_new = false;
        // Trips first, so that a decision is not used before the trip that overrides it.
        for (id, trip) in &updates.trips {
            is_new |= inner.services.get_mut(id).is_some_and(|it| it.merge_trip(trip));
        }
        for (id, notice) in &updates.notices {
            is_new |= inner.services.get_mut(id).is_some_and(|it| it.merge_notice(notice, now));
        }
        is_new
    }

    /// Returns the services whose plan has been in force for at least `span` without a known decision.
    pub fn undecided_services(&self, span: Duration) -> Vec<ServiceId> {
        let now = self.state.clock.now();
        let inner = self.lock_current();
        let services = inner.services.iter();
        let is_due = |it: &ServiceRollout| {
            it.undecided_since().is_some_and(|since| now.since(since) >= span)
        };
        services.filter(|(_, it)| is_due(it)).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the trips of `service`.
    pub fn trips(&self, service: &ServiceId) -> sapphireknot::rollout::TripSet {
        self.inner.lock().services.get(service).map(|it| it.trips().clone()).unwrap_or_default()
    }

    /// Returns the outcomes counted by this host for a plan, or `None` if the plan is not in force here.
    pub fn evidence(&self, service: &ServiceId, plan: &PlanId) -> Option<LocalEvidence> {
        self.lock_current().services.get(service)?.evidence(plan)
    }

    /// Sets the reason why the planner is holding the rollout, or clears it.
    pub fn set_hold_reason(&self, service: &ServiceId, plan: &PlanId, hold_reason: Option<String>) {
        if let Some(service) = self.inner.lock().services.get_mut(service) {
            service.set_hold_reason(plan, hold_reason);
        }
    }

    /// Returns the status of every plan in force.
    pub fn statuses(&self) -> Vec<RolloutStatus> {
        let now: WallTime = self.state.clock.wall();
        let inner = self.lock_current();
        inner.services.iter().filter_map(|(id, it)| it.status(id, now)).collect()
    }
}

impl VersionRouter for RolloutTable {
    fn choose(&self, service: &ServiceId, draw: u32) -> Option<VersionId> {
        let now = self.state.clock.wall();
        self.lock_current().services.get(service)?.choose(now, draw)
    }

    fn record(&self, sample: VersionSample) {
        let succeeded = match sample.outcome {
            ServerOutcome::Succeeded => true,
            ServerOutcome::Failed | ServerOutcome::Broken => false,
            // Neither outcome is evidence about the version.
            ServerOutcome::Shed | ServerOutcome::Cancelled => return,
        };
        let VersionSample { service, version, route, latency_us, .. } = &sample;
        let mut inner = self.lock_current();
        let Some(service) = inner.services.get_mut(service) else { return };
        if service.record(version, route, succeeded, *latency_us, &self.state.identity.id) {
            self.tripped.notify_one();
        }
    }
}

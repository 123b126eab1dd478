//! Backend servers and request queue of one service.
//!
//! Every request passes through the fair queue, so that a new request does not overtake queued ones. The queue is
//! dispatched whenever capacity may have become available: a request ended, a load report arrived, or a tick elapsed
//! while requests are queued.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, seq::IteratorRandom};
use sapphireknot::{
    admission::{FairQueue, QueueError, QueueItem, QueueLimits},
    ids::{OrganisationId, RegionId, ServerId, ServiceId, VersionId},
    installed::InstalledConfig,
    membership::MemberRecord,
    picker::{
        FreshProbes, LoadReport, OutlierLimits, PickCriteria, PickError, ServerOutcome,
        ServerPicker,
    },
    time::MonoTime,
};
use tokio::sync::oneshot;

use super::{
    specs::server_specs,
    ticket::{PoolTicket, SlotOwner},
};
use crate::{
    interfaces::{PickQuery, PickRefusal, SpillGate, VersionRouter},
    published::PublishedState,
    rollout::RolloutTable,
};

/// Queue limits per service on this host. Every queued request is examined whenever capacity appears, so a longer queue
/// would cost much processor time; the limit of 64 per organisation leaves room for others.
const QUEUE_LIMITS: QueueLimits = QueueLimits { per_organisation: 64, total: 256 };
/// Divisor of the weight of a new sample in the average latency.
const LATENCY_WEIGHT_DIVISOR: u64 = 8;

/// Dependencies of the pool.
pub(super) struct PoolDependencies {
    /// Published state.
    pub(super) state: Arc<PublishedState>,
    /// Selection of versions by traffic share.
    pub(super) versions: Arc<dyn VersionRouter>,
    /// Rollouts, which drain servers step by step.
    pub(super) rollouts: Arc<RolloutTable>,
    /// Admission of requests into other regions.
    pub(super) spill: Arc<dyn SpillGate>,
}

/// Queued request.
struct WaitingRequest {
    /// Uniform random number that selects the version.
    draw: u32,
    version: VersionId,
    excluded: Vec<ServerId>,
    sender: oneshot::Sender<PoolTicket>,
}

/// Handle to a queued request.
pub(super) struct QueuedRequest {
    pub(super) ticket: oneshot::Receiver<PoolTicket>,
    /// Latest time at which the request may start.
    pub(super) start_by: MonoTime,
}

/// State of one service.
pub(super) struct ServiceState {
    pub(super) id: ServiceId,
    dependencies: Arc<PoolDependencies>,
    inner: Mutex<ServiceInner>,
}

struct ServiceInner {
    picker: ServerPicker,
    queue: FairQueue<WaitingRequest, Option<OrganisationId>>,
    /// Configuration and members from which the server list was derived.
    config: Option<Arc<InstalledConfig>>,
    members: Arc<Vec<MemberRecord>>,
    /// Revision of the draining servers from which the server list was derived.
    drain_revision: u64,
    addresses: HashMap<ServerId, SocketAddr>,
    /// Own region, followed by the regions with a spill rule in order of distance.
    regions: Vec<RegionId>,
    /// Moving average of the latency of successful requests.
    average_latency_us: u64,
    is_ticking: bool,
}

impl ServiceState {
    pub(super) fn new(id: ServiceId, dependencies: Arc<PoolDependencies>) -> Self {
        let inner = ServiceInner {
            picker: ServerPicker::new(Box::new(FreshProbes::default()), OutlierLimits::default()),
            queue: FairQueue::new(QUEUE_LIMITS),
            config: None,
            members: Arc::default(),
            drain_revision: 0,
            addresses: HashMap::new(),
            regions: Vec::new(),
            average_latency_us: 0,
            is_ticking: false,
        };
        Self { id, dependencies, inner: Mutex::new(inner) }
    }

    /// Adds a request to the queue. The second value is true if the caller has to start the ticks.
    pub(super) fn enqueue(
        &self,
        query: &PickQuery<'_>,
        draw: u32,
    ) -> Result<(QueuedRequest, bool), PickRefusal> {
        let now = self.dependencies.state.clock.now();
        let version =
            self.dependencies.versions.choose(&self.id, draw).ok_or(PickRefusal::NoServer)?;
        let mut inner = self.inner.lock();
        inner.refresh(&self.dependencies, &self.id, now)?;
        if !inner.has_server(&version, query.excluded, now) {
            return Err(PickRefusal::NoServer);
        }
        let organisation = query.organisation.cloned();
        if inner.queue.is_full(&organisation) {
            inner.queue.retain(|it, start_by| now < start_by && !it.sender.is_closed());
        }
        let weight = inner.weight(query.organisation);
        let start_by = inner.start_by(query.deadline, now);
        let (sender, ticket) = oneshot::channel();
        let excluded = query.excluded.to_vec();
        let waiting = WaitingRequest { draw, version, excluded, sender };
        inner.queue.push(organisation, weight, start_by, now, waiting).map_err(|it| match it {
            QueueError::Full => PickRefusal::NoRoom,
            QueueError::DeadlinePassed => PickRefusal::Deadline,
        })?;
        let needs_ticks = !std::mem::replace(&mut inner.is_ticking, true);
        Ok((QueuedRequest { ticket, start_by }, needs_ticks))
    }

    /// Assigns free slots to queued requests.
    pub(super) fn dispatch(self: &Arc<Self>) {
        // Dropping an undelivered ticket releases its slot, which needs the lock, so these are dropped after it.
        let mut undelivered = Vec::new();
        let mut inner = self.inner.lock();
        let now = self.dependencies.state.clock.now();
        if inner.refresh(&self.dependencies, &self.id, now).is_err() {
            return;
        }
        let mut full_versions = Vec::new();
        while !inner.queue.is_empty() {
            let ServiceInner { picker, queue, regions, addresses, .. } = &mut *inner;
            let mut chosen = None;
            let pass =
                DispatchPass { dependencies: &self.dependencies, service: &self.id, regions, now };
            let item = queue.pop_where(now, |it| {
                match pass.pick(picker, it, &mut full_versions, addresses) {
                    Some(server) => {
                        chosen = Some(server);
                        true
                    }
                    None => false,
                }
            });
            let Some(item) = item else { break };
            let (QueueItem::Ready(waiting), Some((server, address))) = (item, chosen) else {
                continue;
            };
            picker.start(&server, now);
            let ticket = PoolTicket {
                owner: self.clone(),
                server,
                address,
                version: waiting.version,
                started: now,
                outcome: ServerOutcome::Cancelled,
            };
            undelivered.extend(waiting.sender.send(ticket).err());
        }
        drop(inner);
    }

    /// Removes cancelled and expired requests; returns true and ends the ticks if the queue is empty.
    pub(super) fn stop_ticks_if_empty(&self, now: MonoTime) -> bool {
        let mut inner = self.inner.lock();
        inner.queue.retain(|it, start_by| now < start_by && !it.sender.is_closed());
        inner.is_ticking = !inner.queue.is_empty();
        !inner.is_ticking
    }

    /// Records the end of a request at `server` that started at `started`.
    fn finish(&self, server: &ServerId, outcome: ServerOutcome, started: MonoTime) {
        let now = self.dependencies.state.clock.now();
        let latency_us = u64::try_from(now.since(started).as_micros()).unwrap_or(u64::MAX);
        let mut inner = self.inner.lock();
        inner.picker.finish(server, outcome, latency_us, now);
        if outcome == ServerOutcome::Succeeded {
            inner.average_latency_us = match inner.average_latency_us {
                0 => latency_us,
                old => (old * (LATENCY_WEIGHT_DIVISOR - 1) + latency_us) / LATENCY_WEIGHT_DIVISOR,
            };
        }
    }

    pub(super) fn record_report(&self, server: &ServerId, report: LoadReport) {
        self.inner.lock().picker.record_report(server, report);
    }

    /// Applies changes of the configuration and the members.
    pub(super) fn refresh(&self) {
        let now = self.dependencies.state.clock.now();
        let refreshed = self.inner.lock().refresh(&self.dependencies, &self.id, now);
        if let Err(err) = refreshed {
            log::debug!(service:% = self.id, error:? = err; "service is not configured");
        }
    }

    /// Returns up to `count` random servers of the own region to probe.
    pub(super) fn probe_targets<R>(
        &self,
        count: usize,
        excluded: &[ServerId],
        rng: &mut R,
    ) -> Vec<(ServerId, SocketAddr)>
    where
        R: Rng,
    {
        let inner = self.inner.lock();
        let Some(own_region) = inner.regions.first() else { return Vec::new() };
        let usable =
            inner.picker.servers().map(|it| it.spec()).filter(|it| {
                it.region == *own_region && !it.is_leaving && !excluded.contains(&it.id)
            });
        let sampled = usable.sample(rng, count);
        sampled
            .into_iter()
            .filter_map(|it| Some((it.id.clone(), *inner.addresses.get(&it.id)?)))
            .collect()
    }

    /// Returns all servers to which this host may send requests.
    pub(super) fn servers(&self) -> Vec<(ServerId, SocketAddr)> {
        let inner = self.inner.lock();
        let usable_servers = inner.picker.servers().map(|it| it.spec()).filter(|it| !it.is_leaving);
        usable_servers
            .filter_map(|it| Some((it.id.clone(), *inner.addresses.get(&it.id)?)))
            .collect()
    }
}

impl SlotOwner for ServiceState {
    fn release(self: Arc<Self>, server: &ServerId, outcome: ServerOutcome, started: MonoTime) {
        self.finish(server, outcome, started);
        self.dispatch();
    }
}

/// Inputs of one dispatch pass over the queue.
struct DispatchPass<'a> {
    dependencies: &'a PoolDependencies,
    service: &'a ServiceId,
    regions: &'a [RegionId],
    now: MonoTime,
}

impl DispatchPass<'_> {
    /// Selects a server for `waiting`, after updating its version to the current traffic shares.
    fn pick(
        &self,
        picker: &ServerPicker,
        waiting: &mut WaitingRequest,
        full_versions: &mut Vec<VersionId>,
        addresses: &HashMap<ServerId, SocketAddr>,
    ) -> Option<(ServerId, SocketAddr)> {
        if waiting.sender.is_closed() || full_versions.contains(&waiting.version) {
            return None;
        }
        waiting.version = self.dependencies.versions.choose(self.service, waiting.draw)?;
        if full_versions.contains(&waiting.version) {
            return None;
        }
        for (index, region) in self.regions.iter().enumerate() {
            let criteria =
                PickCriteria { version: &waiting.version, region, excluded: &waiting.excluded };
            let Ok(server) = picker.pick(&criteria, self.now, &mut rand::rng()) else { continue };
            let is_allowed = index == 0 || self.dependencies.spill.try_spill(self.service, region);
            if let Some(address) = addresses.get(&server).filter(|_| is_allowed) {
                return Some((server, *address));
            }
        }
        if waiting.excluded.is_empty() {
            full_versions.push(waiting.version.clone());
        }
        None
    }
}

impl ServiceInner {
    fn refresh(
        &mut self,
        dependencies: &PoolDependencies,
        id: &ServiceId,
        now: MonoTime,
    ) -> Result<(), PickRefusal> {
        let PoolDependencies { state, rollouts, .. } = dependencies;
        let config = state.config.load_full().ok_or(PickRefusal::NoServer)?;
        let service = config.routes.service(id).ok_or(PickRefusal::NoServer)?.clone();
        let members = state.members.load_full();
        let is_current = self.config.as_ref().is_some_and(|it| Arc::ptr_eq(it, &config));
        let drain_revision = rollouts.drain_revision();
        let is_current = is_current && self.drain_revision == drain_revision;
        if is_current && Arc::ptr_eq(&self.members, &members) {
            return Ok(());
        }
        let draining = rollouts.draining_servers(id);
        let own_region = &state.identity.region;
        let mut regions: Vec<_> = service.spill.iter().map(|it| it.into.clone()).collect();
        regions.retain(|it| it != own_region);
        regions.sort_by_key(|it| config.distances.between(own_region, it));
        regions.insert(0, own_region.clone());
        self.addresses = service.servers.iter().map(|it| (it.id.clone(), it.address)).collect();
        let specs = server_specs(&state.identity.id, &config, &service, &members, &draining);
        self.picker.replace_servers(specs, now);
        self.regions = regions;
        self.members = members;
        self.drain_revision = drain_revision;
        self.config = Some(config);
        Ok(())
    }

    fn has_server(&self, version: &VersionId, excluded: &[ServerId], now: MonoTime) -> bool {
        self.regions.iter().any(|region| {
            let criteria = PickCriteria { version, region, excluded };
            self.picker.pick(&criteria, now, &mut rand::rng()) != Err(PickError::NoServer)
        })
    }

    fn weight(&self, organisation: Option<&OrganisationId>) -> u32 {
        let config = self.config.as_ref().zip(organisation);
        let entry = config.and_then(|(config, it)| config.document.organisation(it));
        entry.map_or(1, |it| it.weight)
    }

    /// Returns the latest time at which a request may start.
    ///
    /// At least half of the remaining time is always allowed for waiting. Otherwise a service that has become slower
    /// than its deadlines would get no requests, and its recovery would go unnoticed.
    fn start_by(&self, deadline: MonoTime, now: MonoTime) -> MonoTime {
        let average = Duration::from_micros(self.average_latency_us);
        deadline.before(average.min(now.until(deadline) / 2))
    }
}

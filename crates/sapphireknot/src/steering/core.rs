//! Routing state of one host.
//!
//! The core applies the store's [`FleetChange`]s and serves the queries of the request path. It is the only owner of
//! this state; the request path holds its lock for one query at a time.

pub mod cold_exchange;
mod evidence_exchange;
mod load_exchange;
mod notices;
mod quotas;
mod rollouts;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::quotas::QuotaState;
use super::{
    choice::{ServicePicker, ServicePickers},
    evidence::{EvidenceTable, OutcomeQuality},
    exposure::ExposureLimit,
    fleet::{FleetTable, HolderRecord, HostRecord, ServerRecord},
    loads::{LoadReport, LoadReportTable, ReportPosition},
    plan::{RequestPriority, RouteRule, RoutingPlan},
    query::{ChoiceQuery, ChosenServer},
    rejection::{ChoiceError, RejectionCause},
    server_state::{ServerLoad, server_hash},
    shares::{HostShare, QuotaSlack, WarmupSenders, host_of},
    version::{RolloutBounds, RolloutOrder, RolloutRecord, VersionTable},
};
use crate::{
    ids::{DatacentreId, HostId, RegionId, RouteId, ServerId, ServiceId, VersionId},
    picker::ServerOutcome,
    retry::{RetryBudget, RetryLimits},
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Part of the global retry budget that is used; the rest covers requests that are delayed from one window into the
/// next.
const USED_RETRY_PART: f64 = 0.75;

/// Limits that apply to all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedBounds {
    /// Amount by which quotas may be exceeded.
    pub quota: QuotaSlack,
    /// Ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries beyond that ratio in one window.
    pub retry_slack: u32,
    /// Time within which a change in the store takes effect on every host.
    pub apply_time: Duration,
    /// Share of the requests that a bad version may receive during its rollout.
    pub exposure: ExposureLimit,
}

/// Location of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostLocation {
    /// Host.
    pub host: HostId,
    /// Region.
    pub region: RegionId,
    /// Region of each data centre.
    pub regions: HashMap<DatacentreId, RegionId>,
}

/// Change that the store reports.
#[derive(Debug, Clone)]
pub enum FleetChange {
    /// New configuration of the operators.
    Plan(Arc<RoutingPlan>),
    /// A backend server registered.
    Server(ServerRecord),
    /// The registration of a backend server ended.
    ServerGone(ServerId),
    /// Operators ordered another version of a service.
    Order(RolloutOrder),
    /// The order for a service ended.
    OrderGone(ServiceId),
    /// Operators evacuated a data centre, which gets no requests from then on.
    Evacuation(DatacentreId),
    /// The evacuation of a data centre ended.
    EvacuationGone(DatacentreId),
    /// A host registered.
    Host(HostRecord),
    /// A host's registration ended.
    HostGone(HostId),
    /// The record of a share holder changed, at the given revision of the store.
    Holder(HolderRecord, u64),
    /// The record of a share holder was removed.
    HolderGone(HostId),
    /// The record of a rollout changed, at the given revision of the store.
    Rollout(RolloutRecord, u64),
}

/// Result of one attempt at a backend server.
#[derive(Debug, Clone, Copy)]
pub struct AttemptReport<'a> {
    /// Server to which the attempt was sent.
    pub chosen: &'a ChosenServer,
    /// Outcome.
    pub outcome: ServerOutcome,
    /// Load that the response reported.
    pub load: Option<ServerLoad>,
    /// Target latency of the route, in milliseconds.
    pub target_ms: f64,
    /// Time from sending to the response.
    pub elapsed: Duration,
}

/// Routing state of one host.
#[derive(Debug)]
pub struct SteeringCore {
    location: HostLocation,
    bounds: SharedBounds,
    plan: Option<Arc<RoutingPlan>>,
    fleet: FleetTable,
    versions: VersionTable,
    pickers: ServicePickers,
    quotas: QuotaState,
    loads: LoadReportTable,
    /// Position up to which reports were sent to the collector.
    sent_position: ReportPosition,
    evidence: EvidenceTable,
    budgets: HashMap<ServiceId, RetryBudget>,
    evacuated: HashSet<DatacentreId>,
    /// Scheduling credit of each part of a split route, for smooth weighted round robin.
    split_credits: HashMap<RouteId, Vec<i64>>,
}

impl SteeringCore {
    /// Creates an empty core.
    pub fn new(location: HostLocation, bounds: SharedBounds) -> Self {
        Self {
            location,
            bounds,
            plan: None,
            fleet: FleetTable::default(),
            versions: VersionTable::default(),
            pickers: HashMap::new(),
            quotas: QuotaState::default(),
            loads: LoadReportTable::default(),
            sent_position: ReportPosition::default(),
            evidence: EvidenceTable::default(),
            budgets: HashMap::new(),
            evacuated: HashSet::new(),
            split_credits: HashMap::new(),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: SharedBounds, now: MonoTime) {
        self.bounds = bounds;
        self.refresh(now);
    }

    /// Notes that the store could not be read until `now`.
    pub fn record_outage(&mut self, now: MonoTime) {
        self.fleet.record_outage(now);
    }

    /// Replaces everything that a complete read of the store covers.
    pub fn replace(&mut self, changes: Vec<FleetChange>, now: MonoTime) {
        let (mut servers, mut hosts, mut rest) = (Vec::new(), Vec::new(), Vec::new());
        let mut holders = Vec::new();
        let (mut ordered, mut evacuated) = (HashSet::new(), HashSet::new());
        for change in changes {
            match change {
                FleetChange::Server(record) => servers.push(record),
                FleetChange::Host(record) => hosts.push(record),
                FleetChange::Holder(record, revision) => holders.push((record, revision)),
                other => {
                    match &other {
                        FleetChange::Order(order) => drop(ordered.insert(order.service.clone())),
                        FleetChange::Evacuation(id) => drop(evacuated.insert(id.clone())),
                        _ => {}
                    }
                    rest.push(other);
                }
            }
        }
        self.fleet.replace_servers(servers, now);
        self.fleet.replace_hosts(hosts, now);
        self.fleet.replace_holders(holders, now);
        let services: Vec<ServiceId> = self.pickers.keys().cloned().collect();
        for service in services.iter().filter(|it| !ordered.contains(*it)) {
            self.versions.remove_order(service);
        }
        let ended: Vec<DatacentreId> = self.evacuated.difference(&evacuated).cloned().collect();
        for datacentre in ended {
            self.apply(FleetChange::EvacuationGone(datacentre), now);
        }
        for change in rest {
            self.apply(change, now);
        }
        self.refresh(now);
    }

    /// Applies changes in the order in which the store reported them.
    pub fn apply_changes(&mut self, changes: Vec<FleetChange>, now: MonoTime) {
        for change in changes {
            self.apply(change, now);
        }
        self.refresh(now);
    }

    fn apply(&mut self, change: FleetChange, now: MonoTime) {
        match change {
            FleetChange::Plan(plan) => {
                // After an outage the store is read again; a slow connection may then return an older state.
                if self.plan.as_ref().is_none_or(|it| it.generation < plan.generation) {
                    self.plan = Some(plan);
                }
            }
            FleetChange::Server(record) => self.fleet.register(record, now),
            FleetChange::ServerGone(id) => self.fleet.unregister(&id, now),
            FleetChange::Order(order) => self.versions.add_order(order, now),
            FleetChange::OrderGone(service) => self.versions.remove_order(&service),
            FleetChange::Evacuation(datacentre) => drop(self.evacuated.insert(datacentre)),
            FleetChange::EvacuationGone(datacentre) => {
                self.evacuated.remove(&datacentre);
                // Servers that got no requests for a while may be cold and not have reported it yet.
                self.fleet.cool_down(&datacentre, now.after(self.longest_warmup()));
            }
            FleetChange::Host(record) => self.fleet.add_host(record, now),
            FleetChange::HostGone(id) => self.fleet.remove_host(&id, now),
            FleetChange::Holder(record, revision) => self.fleet.add_holder(record, revision, now),
            FleetChange::HolderGone(id) => self.fleet.remove_holder(&id),
            FleetChange::Rollout(record, revision) => {
                self.versions.add_record(record, revision, now)
            }
        }
    }

    /// Recomputes the state of the request path from the applied changes and the time.
    pub fn refresh(&mut self, now: MonoTime) {
        self.fleet.expire(now);
        let Some(plan) = self.plan.clone() else { return };
        let share = self.share(now);
        self.install_quotas(&plan, share, now);
        let limits = self.retry_limits(share.hosts);
        let SharedBounds { exposure, apply_time, .. } = self.bounds;
        self.versions.set_bounds(RolloutBounds { exposure, apply_time, hosts: share.hosts });
        self.budgets.retain(|id, _| plan.services.contains_key(id));
        self.pickers.retain(|id, _| plan.services.contains_key(id));
        let least_urgent = least_urgent_ranks(&plan);
        let warmup_senders =
            WarmupSenders::new(&self.location.host, self.fleet.hosts().map(|it| &it.id));
        for (id, rule) in &plan.services {
            let budget = self.budgets.entry(id.clone());
            budget.or_insert_with(|| RetryBudget::new(limits)).set_limits(limits);
            let picker = self
                .pickers
                .entry(id.clone())
                .or_insert_with(|| ServicePicker::new(rule.clone(), self.location.region.clone()));
            let rank = least_urgent.get(id).copied().unwrap_or_default();
            picker.set_rule(rule.clone(), rank, warmup_senders.clone());
            picker.set_evacuated(self.evacuated.clone());
            let servers = self.fleet.servers().filter(|it| it.record.service == *id);
            let placed = servers.clone().filter_map(|it| {
                Some((it, self.location.regions.get(&it.record.datacentre)?.clone()))
            });
            picker.set_servers(placed);
            let usable = servers.filter(|it| !it.record.is_draining);
            self.versions.set_servers(id, usable.map(|it| &it.record.version));
        }
    }

    /// Expires registrations that end at `now`.
    pub fn tick(&mut self, now: MonoTime) {
        let is_expired = self.fleet.next_expiry().is_some_and(|it| now >= it);
        if self.quotas.end_registration(now) || is_expired {
            self.refresh(now);
        }
    }

    fn retry_limits(&self, hosts: u32) -> RetryLimits {
        let micros =
            |part: f64| TokenCount((part * USED_RETRY_PART * TokenCount::ONE.0 as f64) as u64);
        let most = micros(f64::from(self.bounds.retry_slack) / f64::from(hosts.max(1)));
        let deposit = self.bounds.retry_ratio * USED_RETRY_PART * f64::from(TrafficShare::WHOLE.0);
        RetryLimits { deposit: TrafficShare(deposit as u32), max_balance: most, initial: most }
    }

    /// Selects the service for the next request of `route`, by smooth weighted round robin, so that the parts match the
    /// weights exactly.
    pub fn next_service(&mut self, route: &RouteRule) -> Option<ServiceId> {
        if let [part] = route.split.as_slice() {
            return Some(part.service.clone());
        }
        let split_credits = self.split_credits.entry(route.id.clone()).or_default();
        split_credits.resize(route.split.len(), 0);
        let total: i64 = route.split.iter().map(|it| i64::from(it.weight)).sum();
        for (credit, part) in split_credits.iter_mut().zip(&route.split) {
            *credit += i64::from(part.weight);
        }
        let (idx, credit) =
            split_credits.iter_mut().enumerate().max_by_key(|(_, credit)| **credit)?;
        *credit -= total;
        route.split.get(idx).map(|it| it.service.clone())
    }

    /// Chooses a server of `service` and counts the request as sent to it.
    pub fn choose<R>(
        &mut self,
        service: &ServiceId,
        query: ChoiceQuery<'_>,
        now: MonoTime,
        rng: &mut R,
    ) -> Result<ChosenServer, ChoiceError>
    where
        R: Rng,
    {
        let unknown = ChoiceError::NoServer { cause: RejectionCause::Unusable, kept_in: None };
        let picker = self.pickers.get_mut(service).ok_or(unknown)?;
        picker.rebalance(now);
        let draw = rand::RngExt::random::<f64>(rng);
        let mut version = self.versions.choose(service, draw, now);
        let new = self.versions.new_version(service);
        let can_reach = |it: Option<&VersionId>| it.is_some_and(|it| picker.can_reach(it, now));
        let is_old_gone = || !can_reach(self.versions.stable(service));
        if self.versions.is_settled(service) && is_old_gone() && can_reach(new) {
            // Another host may have completed the rollout, and this host has not received the record yet.
            version = new.cloned();
        }
        let mut chosen =
            picker.choose(&ChoiceQuery { version: version.as_ref(), ..query }, now, rng);
        if chosen.is_err() && new.is_some() {
            // The new version may not have enough warm servers yet, or the servers of the old one may have stopped
            // already.
            let other = if !can_reach(new) {
                self.versions.stable(service).cloned()
            } else if is_old_gone() {
                new.cloned()
            } else {
                self.versions.choose(service, 1.0 - draw, now)
            };
            if other != version {
                let query = ChoiceQuery { version: other.as_ref(), ..query };
                chosen = picker.choose(&query, now, rng);
            }
        }
        if let Ok(chosen) = &chosen {
            picker.record_sent(&chosen.record.id, now);
            self.versions.record_sent(service, &chosen.record.version);
        }
        chosen
    }

    /// Records the end of an attempt, and returns whether this outcome makes a rollout look bad.
    pub fn record_attempt(&mut self, report: AttemptReport<'_>, now: MonoTime) -> bool {
        let AttemptReport { chosen, outcome, load, target_ms, elapsed } = report;
        let record = &chosen.record;
        let (mut is_reported, mut loss) = (false, Some(OutcomeQuality::Failed));
        if let Some(picker) = self.pickers.get_mut(&record.service) {
            loss = picker.loss_quality(&record.id, now);
            let is_unreachable =
                outcome == ServerOutcome::Broken && picker.is_silent(&record.id, now);
            if load.is_some() || is_unreachable {
                is_reported = true;
            }
            if let Some(load) = load {
                picker.record_load(&record.id, load, now);
            }
            picker.record_end(chosen, outcome, target_ms, elapsed, now);
        }
        if is_reported {
            let picker = self.pickers.get(&record.service);
            let failure_rate = picker.and_then(|it| it.shared_failures(&record.id, now));
            let server = server_hash(&record.id);
            self.loads.add(LoadReport { server, load, failure_rate, at: now });
        }
        let picker = self.pickers.get(&record.service);
        let is_cold = picker.is_some_and(|it| it.is_cold(&record.id, now));
        let time = elapsed.as_secs_f64() * 1_000.0 / target_ms.max(1.0);
        let is_slow = self.versions.is_slow(&record.service, time, is_cold, now);
        let quality = match outcome {
            // Callers often cancel a slow request before it ends.
            ServerOutcome::Succeeded | ServerOutcome::Cancelled if is_slow => OutcomeQuality::Slow,
            ServerOutcome::Succeeded => OutcomeQuality::Good,
            ServerOutcome::Failed => OutcomeQuality::Failed,
            ServerOutcome::Broken => match loss {
                Some(quality) => quality,
                None => return false,
            },
            ServerOutcome::Shed | ServerOutcome::Cancelled => return false,
        };
        if outcome == ServerOutcome::Succeeded {
            self.versions.record_time(&record.service, &record.version, time);
        }
        self.versions.record_outcome(&record.service, &record.version, quality)
    }

    /// Records the load that a server reported with a response whose body is still being received.
    pub fn record_load(&mut self, record: &ServerRecord, load: ServerLoad, now: MonoTime) {
        let Some(picker) = self.pickers.get_mut(&record.service) else { return };
        picker.record_load(&record.id, load, now);
        let failure_rate = picker.shared_failures(&record.id, now);
        let load = Some(load);
        self.loads.add(LoadReport { server: server_hash(&record.id), load, failure_rate, at: now });
    }

    /// Reverts the accounting of a chosen server to which nothing was sent.
    pub fn withdraw_choice(&mut self, chosen: &ChosenServer) {
        if let Some(picker) = self.pickers.get_mut(&chosen.record.service) {
            picker.withdraw(&chosen.record.id);
        }
    }

    /// Whether a server has sent nothing for longer than its requests take.
    pub fn is_silent(&self, record: &ServerRecord, now: MonoTime) -> bool {
        let picker = self.pickers.get(&record.service);
        picker.is_some_and(|it| it.is_silent(&record.id, now))
    }

    /// Excludes a server for a while because it cannot be reached or another one has its address.
    pub fn pause_server(&mut self, record: &ServerRecord, now: MonoTime) {
        if let Some(picker) = self.pickers.get_mut(&record.service) {
            picker.pause(&record.id, now);
        }
        self.loads.add(LoadReport {
            server: server_hash(&record.id),
            load: None,
            failure_rate: None,
            at: now,
        });
    }

    /// Retry budget of a service.
    pub fn budget_mut(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let limits = RetryLimits { initial: TokenCount::NONE, ..RetryLimits::default() };
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits))
    }

    /// This host's share of the global limits.
    pub fn share(&self, now: MonoTime) -> HostShare {
        let share = HostShare::new(&self.fleet.host_counts(now), &self.location.region);
        if self.has_share(now) { share } else { share.of_uncounted_host() }
    }

    /// Returns the records of share holders that this host has to remove from the store, with their revisions.
    pub fn take_lapsed_holders(&mut self, now: MonoTime) -> Vec<(HostId, u64)> {
        let lapsed = self.fleet.take_lapsed_holders(now);
        let own = &self.location.host;
        let is_own_task = |id: &HostId| {
            let remover = host_of(xxh3_64(id.as_str().as_bytes()), self.fleet.hosts());
            remover.is_some_and(|it| it.id == *own)
        };
        lapsed.into_iter().filter(|(id, _)| is_own_task(id)).collect()
    }

    /// Identifier of this host.
    pub fn host(&self) -> &HostId {
        &self.location.host
    }

    /// Whether the store lists this host as registered.
    pub fn is_listed(&self) -> bool {
        self.fleet.hosts().any(|it| it.id == self.location.host)
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&Arc<RoutingPlan>> {
        self.plan.as_ref()
    }

    /// Registered hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.fleet.hosts()
    }

    /// Pickers by service.
    pub fn pickers(&self) -> &ServicePickers {
        &self.pickers
    }
}

/// Rank of the least urgent requests by service.
fn least_urgent_ranks(plan: &RoutingPlan) -> HashMap<&ServiceId, RequestPriority> {
    let mut ranks: HashMap<&ServiceId, RequestPriority> = HashMap::new();
    for route in plan.routes() {
        for part in &route.split {
            let rank = ranks.entry(&part.service).or_default();
            *rank = (*rank).max(route.priority);
        }
    }
    ranks
}

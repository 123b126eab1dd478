//! Choice of a backend server for a request.
//!
//! The estimated response time at each usable server is the sum of the network round trip, the wait for a slot and the
//! work, which is shorter where the object was served recently. Rendezvous hashing determines which servers know an
//! object, so that all hosts agree without exchanging messages. The request goes to the server with the lowest cost,
//! which moves it to another one if its first choice is full, slow, failing or silent. A request that cannot finish in
//! time on any server is rejected before it is sent.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{
    fleet::FleetServer,
    limits::AffinityPosition,
    loads::{LoadReport, RegionLoad},
    placement::{PlacementTable, sum_by_region},
    plan::{RequestPriority, ServiceRule},
    query::{ChoiceQuery, ChosenRegions, ChosenServer},
    rejection::{ChoiceError, NearestRejection, RejectedServer, RejectionCause},
    server_state::{SILENCE, ServerLoad, ServerState},
    shares::WarmupSenders,
    work::{RANKS, WorkEstimate, queue_rounds, wait_ms},
};
use crate::{
    ids::{DatacentreId, RegionId, ServerId, ServiceId},
    picker::ServerOutcome,
    rendezvous::{rendezvous_draw, rendezvous_score},
    time::MonoTime,
};

/// Assumed round trip to a server outside of the object's region, in milliseconds, until one was measured.
const CROSS_REGION_MS: f64 = 30.0;
/// Growth of the shortest measured round trip with each longer measurement, so that a permanently longer path is
/// followed.
const ROUND_TRIP_GROWTH: f64 = 1.05;
/// Weight of a new sample in the average load.
const LOAD_WEIGHT: f64 = 0.05;
/// Highest load per slot that enters the average, above all limits on load; a false report of one server must not make
/// the others look full.
const MAX_LOAD_SAMPLE: f64 = 10.0;
/// Part of the remaining time that the expected response time may take; estimates are too low for half of the requests.
const DEADLINE_PART: f64 = 0.9;
/// Limit of running and waiting requests per slot at a server for the least urgent requests of a service.
const LEAST_URGENT_LOAD: f64 = 2.3;
/// The same limit for more urgent requests; a server queues up to three waiting requests per slot.
const MOST_URGENT_LOAD: f64 = 3.0;
/// Weight of the capacity that a request takes from others, relative to the load per slot. Work on an object that the
/// server does not know occupies a slot several times as long, which its own response time does not show.
const DISPLACEMENT_WEIGHT: f64 = 3.0;
/// Random part of the work that breaks ties between otherwise equal servers.
const JITTER: f64 = 0.05;
/// Factor on the expected time at a silent server.
const SILENCE_FACTOR: f64 = 8.0;

/// Estimates for one request at a server.
#[derive(Debug)]
struct ServerEstimate {
    work_ms: f64,
    expected_ms: f64,
    rank: usize,
    load: f64,
}

/// Servers of one service.
#[derive(Debug)]
pub struct ServicePicker {
    servers: Vec<ServerState>,
    placement: PlacementTable,
    region_loads: HashMap<RegionId, RegionLoad>,
    /// Shortest recently measured round trip to a region, in milliseconds.
    round_trips_ms: HashMap<RegionId, f64>,
    /// Work by the bits of the target latency, which distinguishes kinds of requests.
    work: HashMap<u64, WorkEstimate>,
    /// Average of running and waiting requests per slot over all servers.
    average_load: f64,
    evacuated: HashSet<DatacentreId>,
    rule: ServiceRule,
    /// Hosts that share the rates of cold servers.
    warmup_senders: WarmupSenders,
    /// Priority of the least urgent requests.
    least_urgent: RequestPriority,
}

impl ServicePicker {
    /// Creates a picker for callers in `region`.
    pub fn new(rule: ServiceRule, region: RegionId) -> Self {
        Self {
            servers: Vec::new(),
            placement: PlacementTable::new(region),
            region_loads: HashMap::new(),
            round_trips_ms: HashMap::new(),
            work: HashMap::new(),
            average_load: 0.3,
            evacuated: HashSet::new(),
            rule,
            warmup_senders: WarmupSenders::default(),
            least_urgent: RequestPriority::default(),
        }
    }

    /// Replaces the registered servers of the service, with their regions.
    pub fn set_servers<'a, I>(&mut self, servers: I)
    where
        I: Iterator<Item = (&'a FleetServer, RegionId)>,
    {
        let mut known: HashMap<ServerId, ServerState> =
            self.servers.drain(..).map(|it| (it.record.id.clone(), it)).collect();
        for (server, region) in servers {
            let state = match known.remove(&server.record.id) {
                Some(mut state) => {
                    state.update(server, region);
                    state
                }
                None => ServerState::new(server, region),
            };
            self.servers.push(state);
        }
        self.servers.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    }

    /// Replaces the configuration of the service and the hosts that share the rates of cold servers.
    pub fn set_rule(
        &mut self,
        rule: ServiceRule,
        least_urgent: RequestPriority,
        warmup_senders: WarmupSenders,
    ) {
        self.rule = rule;
        self.least_urgent = least_urgent;
        self.warmup_senders = warmup_senders;
    }

    /// Replaces the evacuated data centres.
    pub fn set_evacuated(&mut self, evacuated: HashSet<DatacentreId>) {
        self.evacuated = evacuated;
    }

    /// Adjusts the share of objects kept in the own region if a step is due.
    pub fn rebalance(&mut self, now: MonoTime) {
        if now < self.placement.next_step() {
            return;
        }
        let average = self.average_load;
        let usable = self.servers.iter().filter(|it| self.may_receive(it, now) && !it.is_cold(now));
        let loads =
            usable.map(|it| (&it.region, it.record.slots.0, it.estimated_load(average, now)));
        let mut capacities = sum_by_region(loads);
        self.region_loads.retain(|_, it| !it.is_expired(now));
        for capacity in &mut capacities {
            if let Some(reported) = self.region_loads.get(&capacity.region) {
                capacity.utilisation = reported.utilisation;
            }
        }
        let collector_share = self.region_loads.get(self.placement.own()).map(|it| it.home_share);
        self.placement.step(&capacities, collector_share, now);
    }

    /// Applies the load that the collector of a region reported, unless a later one is known.
    pub fn apply_region_load(&mut self, load: RegionLoad) {
        if let Some(round_trip) = load.round_trip {
            let round_trip_ms = round_trip.as_secs_f64() * 1_000.0;
            let known = self.round_trips_ms.get(&load.region);
            let round_trip_ms =
                known.map_or(round_trip_ms, |it| round_trip_ms.min(it * ROUND_TRIP_GROWTH));
            self.round_trips_ms.insert(load.region.clone(), round_trip_ms);
        }
        let known = self.region_loads.get(&load.region);
        if known.is_none_or(|it| it.at < load.at) {
            self.region_loads.insert(load.region.clone(), load);
        }
    }

    /// Load of the own region as this host sees it; `service` is the service of this picker.
    pub fn own_region(&self, service: &ServiceId, now: MonoTime) -> Option<RegionLoad> {
        let average = self.average_load;
        let usable = self.servers.iter().filter(|it| self.may_receive(it, now) && !it.is_cold(now));
        let own = usable.filter(|it| it.region == *self.placement.own());
        let loads = own.map(|it| (&it.region, it.record.slots.0, it.estimated_load(average, now)));
        let capacity = sum_by_region(loads).pop()?;
        Some(RegionLoad {
            service: service.clone(),
            region: capacity.region,
            utilisation: capacity.utilisation,
            home_share: self.placement.home_share(),
            round_trip: None,
            at: now,
        })
    }

    /// Loads that the collectors of other regions reported recently.
    pub fn other_regions(&self, now: MonoTime) -> impl Iterator<Item = &RegionLoad> {
        let own = self.placement.own();
        self.region_loads.values().filter(move |it| it.region != *own && !it.is_expired(now))
    }

    /// Whether this host may send a request to a cold server now.
    fn may_send_to_cold(&self, server: &ServerState, now: MonoTime) -> bool {
        server.gate.is_open(now)
            && self.warmup_senders.is_sender(server.hash, self.rule.warmup_rate)
    }

    fn may_receive(&self, server: &ServerState, now: MonoTime) -> bool {
        server.is_usable(now) && !self.evacuated.contains(&server.record.datacentre)
    }

    /// Chooses a server.
    pub fn choose<R>(
        &self,
        query: &ChoiceQuery<'_>,
        now: MonoTime,
        rng: &mut R,
    ) -> Result<ChosenServer, ChoiceError>
    where
        R: Rng,
    {
        let work = self.work_of(query.target_ms);
        let home = query.object.and_then(|it| match query.homes {
            Some(homes) => self.placement.region_among(it, homes),
            None => Some(self.placement.region_of(it)),
        });
        let seed = query.object.unwrap_or_else(|| rng.random());
        let left_ms = now.until(query.deadline).as_secs_f64() * 1_000.0;
        let max_load = self.max_load(query.priority);
        let mut ranked: Vec<(u64, &ServerState)> = Vec::with_capacity(self.servers.len());
        for server in self.servers.iter().filter(|it| self.is_candidate(it, query, now)) {
            let draw = rendezvous_draw(seed, server.hash);
            ranked.push((rendezvous_score(draw, server.record.slots.0.max(1)), server));
        }
        let at_home = |it: &ServerState| home.is_none_or(|region| it.region == *region);
        ranked.sort_unstable_by_key(|(score, it)| (!at_home(it), std::cmp::Reverse(*score)));
        let mut best: Option<(f64, &ServerState, ServerEstimate)> = None;
        // First server with a free slot whose expected time alone exceeds the limit.
        let mut trial: Option<(&ServerState, ServerEstimate)> = None;
        let mut shortest_wait = f64::INFINITY;
        let mut nearest = NearestRejection::default();
        for (position, (_, server)) in ranked.iter().enumerate() {
            let affinity = match home {
                Some(_) if at_home(server) => AffinityPosition::Kept(position),
                Some(_) => AffinityPosition::OtherRegion,
                None => AffinityPosition::Any,
            };
            let rank = affinity.rank().unwrap_or_default();
            let cross_region_ms = if affinity == AffinityPosition::OtherRegion {
                self.cross_region_ms(server)
            } else {
                0.0
            };
            let load = server.estimated_load(self.average_load, now);
            let work_ms = work.by_rank[rank].max(work.warm()) * server.slowness(now);
            let wait = wait_ms(load, server.slots(), work.warm() * server.slowness(now));
            let expected_ms = cross_region_ms + wait + work_ms;
            let (max_load, cause) = affinity.max_load(max_load);
            let rejected = RejectedServer {
                record: &server.record,
                cause,
                rank: affinity.rank(),
                load,
                load_limit: max_load * server.slots(),
                expected_ms,
                time_limit_ms: left_ms * DEADLINE_PART,
            };
            if server.is_cold(now) && !self.may_send_to_cold(server, now) {
                shortest_wait = shortest_wait.min(wait.max(work_ms));
                nearest.add(RejectedServer { cause: RejectionCause::Cold, ..rejected });
                continue;
            }
            if load >= rejected.load_limit || expected_ms > rejected.time_limit_ms {
                shortest_wait = shortest_wait.min(wait.max(work.warm()));
                nearest.add(rejected);
                if load < server.slots().min(rejected.load_limit) && trial.is_none() {
                    trial = Some((server, ServerEstimate { work_ms, expected_ms, rank, load }));
                }
                continue;
            }
            let success_weight = (1.0 - server.failure_rate(now)).powi(2);
            let displaced = work_ms * self.average_load.min(1.0) * DISPLACEMENT_WEIGHT;
            let jitter = work.warm() * JITTER * rng.random::<f64>();
            let mut cost = (expected_ms + displaced + jitter) / success_weight;
            let silence_limit = SILENCE + Duration::from_secs_f64(expected_ms * 2e-3);
            // The host that reported the server as unreachable may itself be cut off, so its report only raises the
            // cost.
            if server.silence(now) > silence_limit || server.is_reported_unreachable(now) {
                cost *= SILENCE_FACTOR;
            }
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, server, ServerEstimate { work_ms, expected_ms, rank, load }));
            }
        }
        let kept_in = home.filter(|_| query.homes.is_some()).cloned();
        let best = best.map(|(_, server, estimate)| (server, estimate));
        if let Some((server, estimate)) = best.or_else(|| trial.filter(|_| work.is_trial(now, rng)))
        {
            let ServerEstimate { work_ms, expected_ms, rank, load } = estimate;
            let region = query.homes.map(|_| server.region.clone());
            let regions = region.map(|region| ChosenRegions { kept_in, region });
            let record = server.record.clone();
            return Ok(ChosenServer { record, work_ms, expected_ms, rank, load, regions });
        }
        let Some(nearest) = nearest.into_candidate() else {
            return Err(ChoiceError::NoServer {
                cause: self.no_candidate_cause(query, now),
                kept_in,
            });
        };
        let wait = Duration::try_from_secs_f64(shortest_wait / 1_000.0).unwrap_or(Duration::MAX);
        let (candidates, nearest) = (ranked.len(), Box::new(nearest));
        Err(ChoiceError::NoRoom { wait, candidates, nearest, kept_in })
    }

    /// The first of the conditions usable, version, homes and not yet tried that leaves no candidate.
    fn no_candidate_cause(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> RejectionCause {
        let mut cause = RejectionCause::Unusable;
        for server in self.servers.iter().filter(|it| self.may_receive(it, now)) {
            if !query.is_version(server) {
                if cause == RejectionCause::Unusable {
                    cause = RejectionCause::Version;
                }
            } else if !query.is_in_homes(server) {
                cause = RejectionCause::Homes;
            } else {
                return RejectionCause::Tried;
            }
        }
        cause
    }

    fn is_candidate(&self, server: &ServerState, query: &ChoiceQuery<'_>, now: MonoTime) -> bool {
        self.may_receive(server, now)
            && query.is_version(server)
            && query.is_in_homes(server)
            && !query.excluded.contains(&server.record.id)
    }

    /// Round trip to the region of a server, in milliseconds.
    fn cross_region_ms(&self, server: &ServerState) -> f64 {
        self.round_trips_ms.get(&server.region).copied().unwrap_or(CROSS_REGION_MS)
    }

    /// Limit of requests per slot at a server for requests of this priority.
    fn max_load(&self, priority: RequestPriority) -> f64 {
        if priority < self.least_urgent { MOST_URGENT_LOAD } else { LEAST_URGENT_LOAD }
    }

    fn work_of(&self, target_ms: f64) -> WorkEstimate {
        let known = self.work.get(&target_ms.to_bits()).copied();
        known.unwrap_or_else(|| WorkEstimate::initial(target_ms))
    }

    /// Records a request that is being sent to `id`.
    pub fn record_sent(&mut self, id: &ServerId, now: MonoTime) {
        let Ok(idx) = self.servers.binary_search_by(|it| it.record.id.cmp(id)) else { return };
        let server = &mut self.servers[idx];
        server.record_sent(now);
        // Counts for servers that are not cold too: a server may turn cold within the second for which its rate
        // applies.
        server.gate.pass(self.rule.warmup_rate, &self.warmup_senders, now);
    }

    /// Reverts a request that was recorded and not sent.
    pub fn withdraw(&mut self, id: &ServerId) {
        if let Some(server) = self.server_mut(id) {
            server.record_abandoned();
        }
    }

    /// State of a server.
    pub(super) fn server(&self, id: &ServerId) -> Option<&ServerState> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get(idx)
    }

    /// Whether a server has sent nothing since requests were sent to it.
    pub fn is_silent(&self, id: &ServerId, now: MonoTime) -> bool {
        self.server(id).is_none_or(|it| it.is_silent(now))
    }

    /// Excludes a server until its backoff ends.
    pub fn set_backoff(&mut self, id: &ServerId, until: MonoTime) {
        if let Some(server) = self.server_mut(id) {
            server.backoff_until = until;
        }
    }

    /// When the first backoff of a server ends.
    pub fn next_backoff_end(&self, now: MonoTime) -> Option<MonoTime> {
        let backing_off = self.servers.iter().filter(|it| !it.record.is_draining);
        backing_off.map(|it| it.backoff_until).filter(|it| *it > now).min()
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, id: &ServerId, now: MonoTime) -> bool {
        self.server(id).is_some_and(|it| it.is_cold(now))
    }

    /// Records a load report of `id`.
    pub fn record_load(&mut self, id: &ServerId, load: ServerLoad, now: MonoTime) {
        let Some(server) = self.server_mut(id) else { return };
        server.record_load(load, now);
        let per_slot = (load.total() / server.slots()).min(MAX_LOAD_SAMPLE);
        self.average_load += (per_slot - self.average_load) * LOAD_WEIGHT;
    }

    /// Applies the reports of other hosts, by the hash of the server.
    pub fn apply_load_reports(&mut self, reports: &HashMap<u64, LoadReport>) {
        for server in &mut self.servers {
            if let Some(report) = reports.get(&server.hash) {
                match report.load {
                    Some(load) => server.record_load(load, report.at),
                    None => server.record_unreachable(report.at),
                }
                if let Some(rate) = report.failure_rate {
                    server.record_failure_rate(rate, report.at);
                }
            }
        }
    }

    /// Failure rate among the responses of `id` to all hosts.
    pub fn shared_failures(&self, id: &ServerId, now: MonoTime) -> Option<f64> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get(idx).map(|it| it.shared_failures(now))
    }

    /// Records the end of a request at the server that was chosen for it.
    pub fn record_end(
        &mut self,
        chosen: &ChosenServer,
        outcome: ServerOutcome,
        target_ms: f64,
        elapsed: Duration,
        now: MonoTime,
    ) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let is_sample = outcome == ServerOutcome::Succeeded;
        let ratio = is_sample.then(|| elapsed_ms / chosen.expected_ms.max(1.0));
        if let Some(server) = self.server_mut(&chosen.record.id) {
            match outcome {
                ServerOutcome::Cancelled => server.record_abandoned(),
                outcome => server.record_end(outcome, ratio, now),
            }
        }
        if is_sample {
            // Queueing time is not work and is divided out. In an overload all requests queue, so that ignoring queued
            // ones would keep an estimate from before the overload.
            let slots = f64::from(chosen.record.slots.0.max(1));
            let rounds = 1.0 + queue_rounds(chosen.load, slots);
            let mut work = self.work_of(target_ms);
            work.record(chosen.rank, elapsed_ms / rounds, now);
            self.work.insert(target_ms.to_bits(), work);
        }
    }

    /// Excludes a server for a while because it cannot be reached or another one has its address.
    pub fn pause(&mut self, id: &ServerId, now: MonoTime) {
        if let Some(server) = self.server_mut(id) {
            server.pause(now);
        }
    }

    /// Summary of this host's view of the service.
    pub fn summary(&self, now: MonoTime) -> PickerSummary {
        let usable = || self.servers.iter().filter(|it| self.may_receive(it, now));
        PickerSummary {
            registered: self.servers.len(),
            usable: usable().count(),
            cold: usable().filter(|it| it.is_cold(now)).count(),
            load_per_slot: self.average_load,
            work_ms: self.work.values().map(|it| it.by_rank).collect(),
            home_share: self.placement.home_share(),
        }
    }

    /// Registered servers with their state.
    pub fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    /// Share of objects that is kept in the callers' region.
    pub fn home_share(&self) -> f64 {
        self.placement.home_share()
    }

    fn server_mut(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get_mut(idx)
    }
}

/// Summary of a host's view of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PickerSummary {
    /// Registered servers.
    pub registered: usize,
    /// Servers that may receive requests.
    pub usable: usize,
    /// Usable servers that are cold.
    pub cold: usize,
    /// Running and waiting requests per slot, by recent reports.
    pub load_per_slot: f64,
    /// Work of each kind of request by the rank of the server for the object, in milliseconds.
    pub work_ms: Vec<[f64; RANKS]>,
    /// Share of objects that is kept in the callers' region.
    pub home_share: f64,
}

/// Pickers of all services.
pub type ServicePickers = HashMap<ServiceId, ServicePicker>;

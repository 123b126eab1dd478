//! Choice of a backend server for a request.
//!
//! Each usable server gets an expected time to the response: the way there, the wait for a slot, and the work, which is
//! shorter where the object was served lately. Which servers know an object follows from rendezvous hashing, so that all
//! hosts agree without exchanging messages. The request goes to the server with the lowest expected time, which moves it
//! to another one when its first choice is full, slow, failing or silent. A request that cannot finish in time anywhere
//! is refused before it is sent.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{Rng, RngExt};

use super::{
    fleet::FleetServer,
    limits::ObjectPlace,
    loads::{LoadReport, RegionLoad},
    placement::{PlacementTable, sum_rooms},
    plan::{RequestPriority, ServiceRule},
    query::{ChoiceQuery, ChosenRegions, ChosenServer},
    rejection::{ChoiceError, NearestServer, PassedServer, RejectionCause},
    server_state::{SILENCE, ServerLoad, ServerState},
    shares::ColdHosts,
    work::{RANKS, WorkEstimate, queue_rounds, wait_ms},
};
use crate::{
    ids::{DatacentreId, RegionId, ServerId, ServiceId},
    picker::ServerOutcome,
    rendezvous::{rendezvous_draw, rendezvous_score},
    time::MonoTime,
};

/// Time that a server in another region than that of the object costs, in milliseconds, until the way was measured.
const AWAY_MS: f64 = 30.0;
/// Growth of the shortest measured way with each longer measurement, so that a detour is followed.
const WAY_GROWTH: f64 = 1.05;
/// Weight of a new sample in the usual load.
const USUAL_WEIGHT: f64 = 0.05;
/// Highest load per slot that counts for the usual one, above all limits on load; a false report of one server must not
/// make the others look full.
const MOST_USUAL_LOAD: f64 = 10.0;
/// Part of the remaining time that the expected time may take; estimates are too low for half of the requests.
const TIME_PART: f64 = 0.9;
/// Requests per slot that may run or wait at a server for the least urgent requests of a service.
const LEAST_URGENT_LOAD: f64 = 2.3;
/// The same for the most urgent ones; a server keeps up to three waiting requests a slot.
const MOST_URGENT_LOAD: f64 = 3.0;
/// Weight of the work that a request takes away from others, as a part of the load per slot. Work at a server that does
/// not know the object takes a slot for several times as long, which the request itself does not feel.
const DISPLACED: f64 = 3.0;
/// Part of the work that decides between servers that are otherwise alike, at random.
const JITTER: f64 = 0.05;
/// Factor on the expected time at a silent server.
const SILENCE_FACTOR: f64 = 8.0;

/// What is expected of a server for one request.
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
    place: PlacementTable,
    region_loads: HashMap<RegionId, RegionLoad>,
    /// Shortest way to a region and back that was measured lately, in milliseconds.
    ways_ms: HashMap<RegionId, f64>,
    /// Work by target latency, which tells kinds of requests apart.
    work: HashMap<u64, WorkEstimate>,
    /// Requests that run or wait per slot, over all servers.
    usual_load: f64,
    evacuated: HashSet<DatacentreId>,
    rule: ServiceRule,
    /// Hosts that share the rates of cold servers.
    hosts: ColdHosts,
    /// Rank of the least urgent requests.
    least_urgent: RequestPriority,
}

impl ServicePicker {
    /// A picker for callers in `region`.
    pub fn new(rule: ServiceRule, region: RegionId) -> Self {
        Self {
            servers: Vec::new(),
            place: PlacementTable::new(region),
            region_loads: HashMap::new(),
            ways_ms: HashMap::new(),
            work: HashMap::new(),
            usual_load: 0.3,
            evacuated: HashSet::new(),
            rule,
            hosts: ColdHosts::default(),
            least_urgent: RequestPriority::default(),
        }
    }

    /// Takes the registered servers of the service with their regions.
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

    /// Takes what the plan says, and the hosts.
    pub fn set_rule(&mut self, rule: ServiceRule, least_urgent: RequestPriority, hosts: ColdHosts) {
        self.rule = rule;
        self.least_urgent = least_urgent;
        self.hosts = hosts;
    }

    /// Takes the data centres that get nothing.
    pub fn set_evacuated(&mut self, evacuated: HashSet<DatacentreId>) {
        self.evacuated = evacuated;
    }

    /// Moves objects between regions if a step is due.
    pub fn rebalance(&mut self, now: MonoTime) {
        if now < self.place.next_step() {
            return;
        }
        let usual = self.usual_load;
        let usable = self.servers.iter().filter(|it| self.may_get(it, now) && !it.is_cold(now));
        let loads = usable.map(|it| (&it.region, it.record.slots.0, it.estimated_load(usual, now)));
        let mut rooms = sum_rooms(loads);
        self.region_loads.retain(|_, it| !it.is_expired(now));
        for room in &mut rooms {
            if let Some(told) = self.region_loads.get(&room.region) {
                room.utilisation = told.utilisation;
            }
        }
        let told = self.region_loads.get(self.place.own()).map(|it| it.home_share);
        self.place.step(&rooms, told, now);
    }

    /// Takes what the collector of a region told, unless something later is known.
    pub fn record_region(&mut self, load: RegionLoad) {
        if let Some(way) = load.round_trip {
            let way_ms = way.as_secs_f64() * 1_000.0;
            let known = self.ways_ms.get(&load.region);
            let way_ms = known.map_or(way_ms, |it| way_ms.min(it * WAY_GROWTH));
            self.ways_ms.insert(load.region.clone(), way_ms);
        }
        let known = self.region_loads.get(&load.region);
        if known.is_none_or(|it| it.at < load.at) {
            self.region_loads.insert(load.region.clone(), load);
        }
    }

    /// The own region's servers of `service`, which is that of this picker, as this host sees them.
    pub fn own_region(&self, service: &ServiceId, now: MonoTime) -> Option<RegionLoad> {
        let usual = self.usual_load;
        let usable = self.servers.iter().filter(|it| self.may_get(it, now) && !it.is_cold(now));
        let own = usable.filter(|it| it.region == *self.place.own());
        let loads = own.map(|it| (&it.region, it.record.slots.0, it.estimated_load(usual, now)));
        let room = sum_rooms(loads).pop()?;
        Some(RegionLoad {
            service: service.clone(),
            region: room.region,
            utilisation: room.utilisation,
            home_share: self.place.home_share(),
            round_trip: None,
            at: now,
        })
    }

    /// What collectors of other regions told lately.
    pub fn other_regions(&self, now: MonoTime) -> impl Iterator<Item = &RegionLoad> {
        let own = self.place.own();
        self.region_loads.values().filter(move |it| it.region != *own && !it.is_expired(now))
    }

    /// Whether a cold server may get a request of this host.
    fn may_warm(&self, server: &ServerState, now: MonoTime) -> bool {
        server.gate.is_open(now) && self.hosts.is_sender(server.hash, self.rule.warmup_rate)
    }

    fn may_get(&self, server: &ServerState, now: MonoTime) -> bool {
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
            Some(homes) => self.place.region_among(it, homes),
            None => Some(self.place.region_of(it)),
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
        // First server with a free slot that only lacks time.
        let mut trial: Option<(&ServerState, ServerEstimate)> = None;
        let mut shortest_wait = f64::INFINITY;
        let mut nearest = NearestServer::default();
        for (position, (_, server)) in ranked.iter().enumerate() {
            let place = match home {
                Some(_) if at_home(server) => ObjectPlace::Kept(position),
                Some(_) => ObjectPlace::OtherRegion,
                None => ObjectPlace::Any,
            };
            let rank = place.rank().unwrap_or_default();
            let away = if place == ObjectPlace::OtherRegion { self.away_ms(server) } else { 0.0 };
            let load = server.estimated_load(self.usual_load, now);
            let work_ms = work.by_rank[rank].max(work.warm()) * server.slowness(now);
            let wait = wait_ms(load, server.slots(), work.warm() * server.slowness(now));
            let expected_ms = away + wait + work_ms;
            let (max_load, cause) = place.max_load(max_load);
            let passed = PassedServer {
                record: &server.record,
                cause,
                rank: place.rank(),
                load,
                load_limit: max_load * server.slots(),
                expected_ms,
                time_limit_ms: left_ms * TIME_PART,
            };
            if server.is_cold(now) && !self.may_warm(server, now) {
                shortest_wait = shortest_wait.min(wait.max(work_ms));
                nearest.add(PassedServer { cause: RejectionCause::Cold, ..passed });
                continue;
            }
            if load >= passed.load_limit || expected_ms > passed.time_limit_ms {
                shortest_wait = shortest_wait.min(wait.max(work.warm()));
                nearest.add(passed);
                if load < server.slots().min(passed.load_limit) && trial.is_none() {
                    trial = Some((server, ServerEstimate { work_ms, expected_ms, rank, load }));
                }
                continue;
            }
            let failing = (1.0 - server.failure_rate(now)).powi(2);
            let displaced = work_ms * self.usual_load.min(1.0) * DISPLACED;
            let jitter = work.warm() * JITTER * rng.random::<f64>();
            let mut cost = (expected_ms + displaced + jitter) / failing;
            let patience = SILENCE + Duration::from_secs_f64(expected_ms * 2e-3);
            // Another host may be the one that is cut off, so that its word alone rules nothing out.
            if server.silence(now) > patience || server.is_told_silent(now) {
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
        let Some(nearest) = nearest.into_miss() else {
            return Err(ChoiceError::NoServer { cause: self.absence_cause(query, now), kept_in });
        };
        let wait = Duration::try_from_secs_f64(shortest_wait / 1_000.0).unwrap_or(Duration::MAX);
        let (candidates, nearest) = (ranked.len(), Box::new(nearest));
        Err(ChoiceError::NoRoom { wait, candidates, nearest, kept_in })
    }

    /// The first condition that leaves no candidate.
    fn absence_cause(&self, query: &ChoiceQuery<'_>, now: MonoTime) -> RejectionCause {
        let mut cause = RejectionCause::Unusable;
        for server in self.servers.iter().filter(|it| self.may_get(it, now)) {
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
        self.may_get(server, now)
            && query.is_version(server)
            && query.is_in_homes(server)
            && !query.excluded.contains(&server.record.id)
    }

    /// What the way to the region of a server costs that is not that of the object.
    fn away_ms(&self, server: &ServerState) -> f64 {
        self.ways_ms.get(&server.region).copied().unwrap_or(AWAY_MS)
    }

    /// Requests per slot that a server may have for a request of this rank.
    fn max_load(&self, priority: RequestPriority) -> f64 {
        if priority < self.least_urgent { MOST_URGENT_LOAD } else { LEAST_URGENT_LOAD }
    }

    fn work_of(&self, target_ms: f64) -> WorkEstimate {
        let known = self.work.get(&target_ms.to_bits()).copied();
        known.unwrap_or_else(|| WorkEstimate::first(target_ms))
    }

    /// Counts a request that is being sent to `id`.
    pub fn record_sent(&mut self, id: &ServerId, now: MonoTime) {
        let Ok(idx) = self.servers.binary_search_by(|it| it.record.id.cmp(id)) else { return };
        let server = &mut self.servers[idx];
        server.record_sent(now);
        // A server may turn cold later within the second for which its rate holds.
        server.gate.pass(self.rule.warmup_rate, &self.hosts, now);
    }

    /// Takes back a request that was counted and not sent.
    pub fn withdraw(&mut self, id: &ServerId) {
        if let Some(server) = self.server_mut(id) {
            server.record_abandoned();
        }
    }

    /// What this host knows of a server.
    pub(super) fn server(&self, id: &ServerId) -> Option<&ServerState> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get(idx)
    }

    /// Whether a server has not been heard of since requests were sent to it.
    pub fn is_silent(&self, id: &ServerId, now: MonoTime) -> bool {
        self.server(id).is_none_or(|it| it.is_silent(now))
    }

    /// Leaves a server out until it wants requests again.
    pub fn set_away(&mut self, id: &ServerId, until: MonoTime) {
        if let Some(server) = self.server_mut(id) {
            server.away_until = until;
        }
    }

    /// When the first of the servers that want no requests for now wants some again.
    pub fn next_backoff_end(&self, now: MonoTime) -> Option<MonoTime> {
        let away = self.servers.iter().filter(|it| !it.record.is_draining);
        away.map(|it| it.away_until).filter(|it| *it > now).min()
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, id: &ServerId, now: MonoTime) -> bool {
        self.server(id).is_some_and(|it| it.is_cold(now))
    }

    /// Takes a load report of `id`.
    pub fn record_load(&mut self, id: &ServerId, load: ServerLoad, now: MonoTime) {
        let Some(server) = self.server_mut(id) else { return };
        server.record_load(load, now);
        let per_slot = (load.total() / server.slots()).min(MOST_USUAL_LOAD);
        self.usual_load += (per_slot - self.usual_load) * USUAL_WEIGHT;
    }

    /// Takes the reports of other hosts, by the hash of the server.
    pub fn record_reports(&mut self, reports: &HashMap<u64, LoadReport>) {
        for server in &mut self.servers {
            if let Some(report) = reports.get(&server.hash) {
                match report.load {
                    Some(load) => server.record_load(load, report.at),
                    None => server.record_unreached(report.at),
                }
                if let Some(rate) = report.failure_rate {
                    server.record_failing(rate, report.at);
                }
            }
        }
    }

    /// Rate of failures among responses of `id` to all hosts.
    pub fn shared_failures(&self, id: &ServerId, now: MonoTime) -> Option<f64> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get(idx).map(|it| it.shared_failures(now))
    }

    /// Counts the end of a request at the server that was chosen for it.
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
            // Time that was spent in a queue is no work. In an overload all requests queue, so that leaving them out would
            // keep an estimate from before it.
            let slots = f64::from(chosen.record.slots.0.max(1));
            let rounds = 1.0 + queue_rounds(chosen.load, slots);
            let mut work = self.work_of(target_ms);
            work.record(chosen.rank, elapsed_ms / rounds, now);
            self.work.insert(target_ms.to_bits(), work);
        }
    }

    /// Leaves a server out for a while, as it cannot be reached or another one has its address.
    pub fn pause(&mut self, id: &ServerId, now: MonoTime) {
        if let Some(server) = self.server_mut(id) {
            server.pause(now);
        }
    }

    /// What this host believes of the service.
    pub fn summary(&self, now: MonoTime) -> PickerSummary {
        let usable = || self.servers.iter().filter(|it| self.may_get(it, now));
        PickerSummary {
            registered: self.servers.len(),
            usable: usable().count(),
            cold: usable().filter(|it| it.is_cold(now)).count(),
            load_per_slot: self.usual_load,
            work_ms: self.work.values().map(|it| it.by_rank).collect(),
            home_share: self.place.home_share(),
        }
    }

    /// Servers with their state.
    pub fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    /// Share of objects that is kept in the callers' region.
    pub fn home_share(&self) -> f64 {
        self.place.home_share()
    }

    fn server_mut(&mut self, id: &ServerId) -> Option<&mut ServerState> {
        let idx = self.servers.binary_search_by(|it| it.record.id.cmp(id)).ok()?;
        self.servers.get_mut(idx)
    }
}

/// What a host believes of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PickerSummary {
    /// Registered servers.
    pub registered: usize,
    /// Servers that may get requests.
    pub usable: usize,
    /// Those of them that are cold.
    pub cold: usize,
    /// Requests that run or wait per slot, by recent reports.
    pub load_per_slot: f64,
    /// Work of each kind of request by the rank of the server for the object, in milliseconds.
    pub work_ms: Vec<[f64; RANKS]>,
    /// Share of objects that is kept in the callers' region.
    pub home_share: f64,
}

/// Pickers of all services.
pub type ServicePickers = HashMap<ServiceId, ServicePicker>;

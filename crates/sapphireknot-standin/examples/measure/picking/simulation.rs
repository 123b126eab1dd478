//! Discrete-event simulation of hosts and backend servers in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    ids::{RegionId, ServerId, VersionId},
    picker::{LoadReport, OutlierLimits, PickCriteria, ServerOutcome, ServerPicker, ServerSpec},
    time::MonoTime,
    units::SlotCount,
};

use super::{PickCase, PolicyVariant, ServerFault};

const HOSTS: usize = 12;
const SERVERS: usize = 14;
/// Requests that a server works on at once.
const SLOTS: u32 = 4;
/// One-way latency between data centres.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Mean of the exponentially distributed time that a server works on a request, in microseconds.
const MEAN_SERVICE_TIME_US: f64 = 20_000.0;
/// Requests that a server queues; it sheds further ones.
const SERVER_QUEUE_LIMIT: usize = 4;
/// Time that a request waits at its host for a usable server.
const HOST_QUEUE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a host tries to send its waiting requests.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Attempts per request; all requests are idempotent.
const MAX_ATTEMPTS: u32 = 2;

/// Request and its latest attempt.
#[derive(Debug)]
pub(super) struct PickRequest {
    arrived: MonoTime,
    sent: MonoTime,
    attempts: u32,
    host: usize,
    /// Servers that failed or shed the request.
    excluded: Vec<ServerId>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PickEvent {
    /// The next request arrives at a random host.
    Arrival,
    /// A regular probe of a server by a host is due.
    Probe { host: usize, server: usize },
    /// A host sends its waiting requests.
    SendWaiting { host: usize },
    /// The answer to a probe arrives at the host.
    ProbeAnswer { host: usize, server: usize, probed_at: MonoTime, load: u32 },
    /// A request arrives at a server.
    ServerArrival { server: usize, request: usize },
    /// A server completes a request.
    ServiceEnd { server: usize, request: usize },
    /// The response to a request arrives at its host.
    Response { server: usize, request: usize, outcome: u8 },
    /// A host tries to send its waiting requests, and again after `HOST_POLL_INTERVAL`.
    Poll { host: usize },
}

/// Backend server with slots and a queue of limited length.
#[derive(Debug, Default)]
struct SimulatedServer {
    running: u32,
    queue: VecDeque<usize>,
    /// Load of the first report, which a server with frozen reports repeats.
    frozen_load: Option<u32>,
}

/// State of one run: all hosts with their pickers, all servers and the event queue.
pub(super) struct PickSimulation {
    case: PickCase,
    variant: PolicyVariant,
    pub(super) now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, u64, PickEvent)>>,
    /// Keeps events of the same time in the order in which they were scheduled.
    sequence: u64,
    rng: ChaCha8Rng,
    pickers: Vec<ServerPicker>,
    servers: Vec<SimulatedServer>,
    pub(super) requests: Vec<PickRequest>,
    /// Requests that wait at each host.
    waiting: Vec<VecDeque<usize>>,
    ids: Vec<ServerId>,
    region: RegionId,
    version: VersionId,
    /// Time from the arrival of a request to its successful response, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Requests that found no usable server in time, or were shed at the last attempt.
    pub(super) refused: u64,
    /// Requests that failed at the last attempt.
    pub(super) failed: u64,
    /// Attempts that a server shed.
    pub(super) shed: u64,
}

const SUCCEEDED: u8 = 0;
const FAILED: u8 = 1;
const SHED: u8 = 2;

impl PickSimulation {
    pub(super) fn new(case: PickCase, variant: PolicyVariant, seed: u64) -> Self {
        let region: RegionId = "north".parse().expect("valid identifier");
        let version: VersionId = "v1".parse().expect("valid identifier");
        let ids: Vec<ServerId> =
            (0..SERVERS).map(|it| format!("s{it}").parse().expect("valid identifier")).collect();
        let spec = |id: &ServerId| ServerSpec {
            id: id.clone(),
            region: region.clone(),
            version: version.clone(),
            slots: SlotCount(SLOTS),
            is_leaving: false,
        };
        let picker = || {
            let mut picker = ServerPicker::new((variant.policy)(), OutlierLimits::default());
            picker.replace_servers(ids.iter().map(spec).collect(), MonoTime(0));
            picker
        };
        Self {
            case,
            variant,
            now: MonoTime(1_000_000),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pickers: (0..HOSTS).map(|_| picker()).collect(),
            servers: (0..SERVERS).map(|_| SimulatedServer::default()).collect(),
            requests: Vec::new(),
            waiting: vec![VecDeque::new(); HOSTS],
            ids,
            region,
            version,
            latency: Histogram::new(3).expect("3 significant digits are in the allowed range"),
            refused: 0,
            failed: 0,
            shed: 0,
        }
    }

    fn schedule(&mut self, time: MonoTime, event: PickEvent) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn draw_exponential(&mut self, mean_us: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_micros((-draw.ln() * mean_us) as u64)
    }

    /// Runs the simulation until `end`.
    pub(super) fn run(&mut self, end: MonoTime) {
        self.schedule(self.now, PickEvent::Arrival);
        if let Some(interval) = self.case.probe_interval {
            for host in 0..HOSTS {
                for server in 0..SERVERS {
                    let offset = self.rng.random_range(0..interval.as_micros() as u64);
                    let time = MonoTime(self.now.0 + offset);
                    self.schedule(time, PickEvent::Probe { host, server });
                }
                self.schedule(self.now.after(HOST_POLL_INTERVAL), PickEvent::Poll { host });
            }
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: PickEvent) {
        match event {
            PickEvent::Arrival => self.arrive_at_host(),
            PickEvent::Probe { host, server } => {
                if let Some(interval) = self.case.probe_interval {
                    self.schedule(self.now.after(interval), PickEvent::Probe { host, server });
                }
                self.probe(host, server);
            }
            PickEvent::SendWaiting { host } => self.send_waiting(host),
            PickEvent::ProbeAnswer { host, server, probed_at, load } => {
                let report =
                    LoadReport { probed_at, in_flight: load, connections: 0, is_leaving: false };
                self.pickers[host].record_report(&self.ids[server], report);
            }
            PickEvent::ServerArrival { server, request } => self.arrive_at_server(server, request),
            PickEvent::ServiceEnd { server, request } => self.end_service(server, request),
            PickEvent::Response { server, request, outcome } => {
                self.receive_response(server, request, outcome);
            }
            PickEvent::Poll { host } => {
                self.send_waiting(host);
                self.schedule(self.now.after(HOST_POLL_INTERVAL), PickEvent::Poll { host });
            }
        }
    }

    /// Schedules the next arrival, queues the new request at a random host and sends its probes.
    fn arrive_at_host(&mut self) {
        let rate = self.case.load * f64::from(SLOTS) * SERVERS as f64 / MEAN_SERVICE_TIME_US;
        let gap = self.draw_exponential(1.0 / rate);
        self.schedule(self.now.after(gap), PickEvent::Arrival);
        let host = self.rng.random_range(0..HOSTS);
        self.requests.push(PickRequest {
            arrived: self.now,
            sent: self.now,
            attempts: 0,
            host,
            excluded: Vec::new(),
        });
        self.waiting[host].push_back(self.requests.len() - 1);
        for _ in 0..self.variant.probes_per_request {
            let server = self.rng.random_range(0..SERVERS);
            self.probe(host, server);
        }
        if self.variant.waits_for_probes {
            self.schedule(self.now.after(HOP_LATENCY * 2), PickEvent::SendWaiting { host });
        } else {
            self.send_waiting(host);
        }
    }

    /// Probes a server. The answer holds the load at the time of the call and arrives after a round trip.
    fn probe(&mut self, host: usize, server: usize) {
        let is_frozen = self.case.reports_frozen;
        let reports_no_load = server == 0 && self.case.fault == Some(ServerFault::ReportsIdle);
        let simulated = &mut self.servers[server];
        let mut load = simulated.running + simulated.queue.len() as u32;
        if is_frozen {
            load = *simulated.frozen_load.get_or_insert(load);
        }
        if reports_no_load {
            load = 0;
        }
        let answer = PickEvent::ProbeAnswer { host, server, probed_at: self.now, load };
        self.schedule(self.now.after(HOP_LATENCY * 2), answer);
    }

    /// Sends the waiting requests of a host in order, until the picker finds no server. Requests that waited too long
    /// are refused.
    fn send_waiting(&mut self, host: usize) {
        while let Some(&request) = self.waiting[host].front() {
            let criteria = PickCriteria {
                version: &self.version,
                region: &self.region,
                excluded: &self.requests[request].excluded,
            };
            match self.pickers[host].pick(&criteria, self.now, &mut self.rng) {
                Ok(id) => {
                    self.waiting[host].pop_front();
                    self.pickers[host].start(&id, self.now);
                    let server = self.ids.iter().position(|it| *it == id).unwrap_or(0);
                    self.requests[request].sent = self.now;
                    self.requests[request].attempts += 1;
                    self.schedule(
                        self.now.after(HOP_LATENCY),
                        PickEvent::ServerArrival { server, request },
                    );
                }
                Err(_) if self.now.since(self.requests[request].arrived) > HOST_QUEUE_TIMEOUT => {
                    self.waiting[host].pop_front();
                    self.refused += 1;
                }
                Err(_) => return,
            }
        }
    }

    /// Starts, queues, fails or sheds a request that arrives at a server.
    fn arrive_at_server(&mut self, server: usize, request: usize) {
        if server == 0 && self.case.fault == Some(ServerFault::FailsFast) {
            let event = PickEvent::Response { server, request, outcome: FAILED };
            self.schedule(self.now.after(HOP_LATENCY), event);
        } else if self.servers[server].running < SLOTS {
            self.begin_service(server, request);
        } else if self.servers[server].queue.len() < SERVER_QUEUE_LIMIT {
            self.servers[server].queue.push_back(request);
        } else {
            let event = PickEvent::Response { server, request, outcome: SHED };
            self.schedule(self.now.after(HOP_LATENCY), event);
        }
    }

    fn begin_service(&mut self, server: usize, request: usize) {
        self.servers[server].running += 1;
        let is_slow = server == 0 && self.case.fault == Some(ServerFault::Slow);
        let time = self.draw_exponential(MEAN_SERVICE_TIME_US) * if is_slow { 5 } else { 1 };
        self.schedule(self.now.after(time), PickEvent::ServiceEnd { server, request });
    }

    fn end_service(&mut self, server: usize, request: usize) {
        self.servers[server].running -= 1;
        let event = PickEvent::Response { server, request, outcome: SUCCEEDED };
        self.schedule(self.now.after(HOP_LATENCY), event);
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.begin_service(server, next);
        }
    }

    /// Records the outcome of an attempt and queues the request for another one if it may be retried.
    fn receive_response(&mut self, server: usize, request: usize, outcome: u8) {
        let host = self.requests[request].host;
        let latency_us = self.now.since(self.requests[request].sent).as_micros() as u64;
        let server_outcome = match outcome {
            SUCCEEDED => ServerOutcome::Succeeded,
            FAILED => ServerOutcome::Failed,
            _ => ServerOutcome::Shed,
        };
        let id = self.ids[server].clone();
        self.pickers[host].finish(&id, server_outcome, latency_us, self.now);
        if outcome == SUCCEEDED {
            let total = self.now.since(self.requests[request].arrived);
            self.latency.record(total.as_micros() as u64).expect("the histogram resizes itself");
        } else if self.requests[request].attempts < MAX_ATTEMPTS {
            self.requests[request].excluded.push(id);
            self.waiting[host].push_front(request);
        } else if outcome == FAILED {
            self.failed += 1;
        } else {
            self.refused += 1;
        }
        if outcome == SHED {
            self.shed += 1;
        }
        self.send_waiting(host);
    }
}

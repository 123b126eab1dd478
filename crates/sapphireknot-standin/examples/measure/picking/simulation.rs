//! Hosts and backend servers on virtual time.

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

use super::{PickCase, PickWay, ServerFault};

const HOSTS: usize = 12;
const SERVERS: usize = 14;
const SLOTS: u32 = 4;
/// One-way latency between data centres.
const HOP: Duration = Duration::from_micros(500);
/// Mean time that a server works on a request.
const MEAN_SERVICE_US: f64 = 20_000.0;
/// Requests that wait at a server before it sheds.
const SERVER_QUEUE: usize = 4;
/// Time that a request waits at its host for room.
const HOST_WAIT: Duration = Duration::from_millis(200);
/// Interval at which a host looks for room for its waiting requests.
const HOST_POLL: Duration = Duration::from_millis(2);
/// Attempts of an idempotent request.
const ATTEMPTS: u32 = 2;
#[derive(Debug)]
pub(super) struct PickRequest {
    arrived: MonoTime,
    sent: MonoTime,
    attempts: u32,
    host: usize,
    excluded: Vec<ServerId>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PickEvent {
    Arrival,
    Probe {
        host: usize,
        server: usize,
    },
    /// Host sends what waits.
    Send {
        host: usize,
    },
    ProbeAnswer {
        host: usize,
        server: usize,
        asked_at: MonoTime,
        load: u32,
    },
    Reaches {
        server: usize,
        request: usize,
    },
    Done {
        server: usize,
        request: usize,
    },
    Response {
        server: usize,
        request: usize,
        outcome: u8,
    },
    Poll {
        host: usize,
    },
}

#[derive(Debug, Default)]
struct FakeServer {
    running: u32,
    queue: VecDeque<usize>,
    frozen_load: Option<u32>,
}

pub(super) struct PickBench {
    case: PickCase,
    way: PickWay,
    pub(super) now: MonoTime,
    events: BinaryHeap<Reverse<(MonoTime, u64, PickEvent)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    pickers: Vec<ServerPicker>,
    servers: Vec<FakeServer>,
    pub(super) requests: Vec<PickRequest>,
    waiting: Vec<VecDeque<usize>>,
    ids: Vec<ServerId>,
    region: RegionId,
    version: VersionId,
    pub(super) latency: Histogram<u64>,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) shed: u64,
}

const SUCCEEDED: u8 = 0;
const FAILED: u8 = 1;
const SHED: u8 = 2;
impl PickBench {
    pub(super) fn new(case: PickCase, way: PickWay, seed: u64) -> Self {
        let region: RegionId = "north".parse().expect("constant is an id");
        let version: VersionId = "v1".parse().expect("constant is an id");
        let ids: Vec<ServerId> =
            (0..SERVERS).map(|it| format!("s{it}").parse().expect("text is an id")).collect();
        let spec = |id: &ServerId| ServerSpec {
            id: id.clone(),
            region: region.clone(),
            version: version.clone(),
            slots: SlotCount(SLOTS),
            is_leaving: false,
        };
        let picker = || {
            let mut picker = ServerPicker::new((way.policy)(), OutlierLimits::default());
            picker.replace_servers(ids.iter().map(spec).collect(), MonoTime(0));
            picker
        };
        Self {
            case,
            way,
            now: MonoTime(1_000_000),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pickers: (0..HOSTS).map(|_| picker()).collect(),
            servers: (0..SERVERS).map(|_| FakeServer::default()).collect(),
            requests: Vec::new(),
            waiting: vec![VecDeque::new(); HOSTS],
            ids,
            region,
            version,
            latency: Histogram::new(3).expect("3 digits are allowed"),
            refused: 0,
            failed: 0,
            shed: 0,
        }
    }

    fn schedule(&mut self, time: MonoTime, event: PickEvent) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn exponential(&mut self, mean_us: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_micros((-draw.ln() * mean_us) as u64)
    }

    pub(super) fn run(&mut self, end: MonoTime) {
        self.schedule(self.now, PickEvent::Arrival);
        if let Some(interval) = self.case.probe_interval {
            for host in 0..HOSTS {
                for server in 0..SERVERS {
                    let offset = self.rng.random_range(0..interval.as_micros() as u64);
                    let time = MonoTime(self.now.0 + offset);
                    self.schedule(time, PickEvent::Probe { host, server });
                }
                self.schedule(self.now.after(HOST_POLL), PickEvent::Poll { host });
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
            PickEvent::Arrival => self.arrive(),
            PickEvent::Probe { host, server } => {
                if let Some(interval) = self.case.probe_interval {
                    self.schedule(self.now.after(interval), PickEvent::Probe { host, server });
                }
                self.probe(host, server);
            }
            PickEvent::Send { host } => self.send_waiting(host),
            PickEvent::ProbeAnswer { host, server, asked_at, load } => {
                let report = LoadReport {
                    probed_at: asked_at,
                    in_flight: load,
                    connections: 0,
                    is_leaving: false,
                };
                self.pickers[host].record_report(&self.ids[server], report);
            }
            PickEvent::Reaches { server, request } => self.reach(server, request),
            PickEvent::Done { server, request } => self.end_service(server, request),
            PickEvent::Response { server, request, outcome } => {
                self.respond(server, request, outcome);
            }
            PickEvent::Poll { host } => {
                self.send_waiting(host);
                self.schedule(self.now.after(HOST_POLL), PickEvent::Poll { host });
            }
        }
    }

    fn arrive(&mut self) {
        let rate = self.case.load * f64::from(SLOTS) * SERVERS as f64 / MEAN_SERVICE_US;
        let gap = self.exponential(1.0 / rate);
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
        for _ in 0..self.way.probes {
            let server = self.rng.random_range(0..SERVERS);
            self.probe(host, server);
        }
        if self.way.waits {
            self.schedule(self.now.after(HOP * 2), PickEvent::Send { host });
        } else {
            self.send_waiting(host);
        }
    }

    fn probe(&mut self, host: usize, server: usize) {
        let is_frozen = self.case.reports_frozen;
        let is_lying = server == 0 && self.case.fault == Some(ServerFault::Lies);
        let fake = &mut self.servers[server];
        let mut load = fake.running + fake.queue.len() as u32;
        if is_frozen {
            load = *fake.frozen_load.get_or_insert(load);
        }
        if is_lying {
            load = 0;
        }
        let answer = PickEvent::ProbeAnswer { host, server, asked_at: self.now, load };
        self.schedule(self.now.after(HOP * 2), answer);
    }

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
                    self.schedule(self.now.after(HOP), PickEvent::Reaches { server, request });
                }
                Err(_) if self.now.since(self.requests[request].arrived) > HOST_WAIT => {
                    self.waiting[host].pop_front();
                    self.refused += 1;
                }
                Err(_) => return,
            }
        }
    }

    fn reach(&mut self, server: usize, request: usize) {
        if server == 0 && self.case.fault == Some(ServerFault::FailsFast) {
            let event = PickEvent::Response { server, request, outcome: FAILED };
            self.schedule(self.now.after(HOP), event);
        } else if self.servers[server].running < SLOTS {
            self.begin_service(server, request);
        } else if self.servers[server].queue.len() < SERVER_QUEUE {
            self.servers[server].queue.push_back(request);
        } else {
            let event = PickEvent::Response { server, request, outcome: SHED };
            self.schedule(self.now.after(HOP), event);
        }
    }

    fn begin_service(&mut self, server: usize, request: usize) {
        self.servers[server].running += 1;
        let is_slow = server == 0 && self.case.fault == Some(ServerFault::Slow);
        let time = self.exponential(MEAN_SERVICE_US) * if is_slow { 5 } else { 1 };
        self.schedule(self.now.after(time), PickEvent::Done { server, request });
    }

    fn end_service(&mut self, server: usize, request: usize) {
        self.servers[server].running -= 1;
        let event = PickEvent::Response { server, request, outcome: SUCCEEDED };
        self.schedule(self.now.after(HOP), event);
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.begin_service(server, next);
        }
    }

    fn respond(&mut self, server: usize, request: usize, outcome: u8) {
        let host = self.requests[request].host;
        let latency_us = self.now.since(self.requests[request].sent).as_micros() as u64;
        let kind = match outcome {
            SUCCEEDED => ServerOutcome::Succeeded,
            FAILED => ServerOutcome::Failed,
            _ => ServerOutcome::Shed,
        };
        let id = self.ids[server].clone();
        self.pickers[host].finish(&id, kind, latency_us, self.now);
        if outcome == SUCCEEDED {
            let total = self.now.since(self.requests[request].arrived);
            self.latency.record(total.as_micros() as u64).expect("the histogram grows");
        } else if self.requests[request].attempts < ATTEMPTS {
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

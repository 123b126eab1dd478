//! State that the requests and the control handler of a backend server share.

use std::{
    collections::{BTreeMap, VecDeque},
    fs::{File, OpenOptions},
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use http::{HeaderMap, request::Parts};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::plan::{BackendFaults, BackendPlan, DefectEffect, LoadFault, LoadReport};
use crate::fault::{FaultRule, SeededRng};

/// Number of recent requests that are recorded.
const MAX_RECORDS: usize = 10_000;

/// Received request, whether it ran or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
}

/// Counters of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Requests that started to run.
    pub begun: u64,
    /// Requests that ran to completion before their deadline.
    pub ended: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Runs by request id.
    pub by_request: BTreeMap<String, u32>,
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Largest number of requests that were running or waiting at the same time.
    pub peak: u32,
}

/// Journal record of a request that started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request id.
    pub request_id: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Path with query.
    pub target: String,
}

/// Returns a header if it is present and printable ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

#[derive(Debug)]
struct FaultState {
    faults: BackendFaults,
    since: Instant,
    frozen: LoadReport,
}

/// State of a backend server.
#[derive(Debug)]
pub struct BackendState {
    pub(super) plan: BackendPlan,
    pub(super) slots: Semaphore,
    pub(super) rng: SeededRng,
    started: Mutex<Instant>,
    in_flight: AtomicU32,
    pending: AtomicU32,
    connections: AtomicU32,
    leaving: AtomicBool,
    faults: Mutex<FaultState>,
    counts: Mutex<RunCounts>,
    records: Mutex<VecDeque<RequestRecord>>,
    journal: Option<Mutex<File>>,
}

impl BackendState {
    pub(super) fn new(plan: BackendPlan) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let journal = plan.journal.as_ref().map(open).transpose()?;
        let now = Instant::now();
        let frozen = LoadReport::default();
        Ok(Self {
            slots: Semaphore::new(plan.slots as usize),
            rng: SeededRng::new(plan.seed),
            started: Mutex::new(now),
            in_flight: AtomicU32::new(0),
            pending: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            faults: Mutex::new(FaultState { faults: BackendFaults::default(), since: now, frozen }),
            counts: Mutex::default(),
            records: Mutex::default(),
            journal: journal.map(Mutex::new),
            plan,
        })
    }

    /// Returns the configuration.
    pub fn plan(&self) -> &BackendPlan {
        &self.plan
    }

    /// Replaces the faults; `after_ms` of defects counts from now.
    pub fn set_faults(&self, faults: BackendFaults) {
        let frozen = self.actual_load();
        *self.faults.lock() = FaultState { faults, since: Instant::now(), frozen };
    }

    /// Returns the current faults; `next` of a rule is the number of calls that are still to get it.
    pub fn faults(&self) -> BackendFaults {
        self.faults.lock().faults.clone()
    }

    /// Sets whether load reports announce that the server is leaving; it serves requests in either case.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Restarts the warm-up.
    pub fn reset_warmup(&self) {
        *self.started.lock() = Instant::now();
    }

    /// Returns the request counters.
    pub fn counts(&self) -> RunCounts {
        self.counts.lock().clone()
    }

    /// Returns the most recent requests.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().iter().cloned().collect()
    }

    /// Returns the actual load, regardless of faults.
    pub fn actual_load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight.load(Ordering::Acquire),
            slots: self.plan.slots,
            connections: self.connections.load(Ordering::Acquire),
            leaving: self.leaving.load(Ordering::Acquire),
        }
    }

    /// Returns the load as reported; `None` if reports fail.
    pub fn reported_load(&self) -> Option<LoadReport> {
        let state = self.faults.lock();
        match state.faults.load {
            LoadFault::None => Some(self.actual_load()),
            LoadFault::Frozen => Some(state.frozen),
            LoadFault::Fixed(report) => Some(report),
            LoadFault::Failing => None,
        }
    }

    pub(super) fn load_report_delay(&self) -> Duration {
        Duration::from_millis(self.faults.lock().faults.load_delay_ms)
    }

    pub(super) fn response_delay(&self) -> Duration {
        Duration::from_millis(self.faults.lock().faults.late_ms)
    }

    pub(super) fn should_inject<F>(&self, rule: F) -> bool
    where
        F: FnOnce(&mut BackendFaults) -> &mut FaultRule,
    {
        rule(&mut self.faults.lock().faults).should_inject(&self.rng)
    }

    /// Draws the service time of a request, and whether it fails.
    pub(super) fn draw_outcome(&self, path: &str) -> (Duration, bool) {
        let age = self.started.lock().elapsed();
        let mut time = self.plan.service_time(self.rng.sample(), age);
        let mut fails = false;
        let in_flight = self.in_flight.load(Ordering::Acquire);
        let state = self.faults.lock();
        for defect in &state.faults.defects {
            if defect.applies_to(state.since.elapsed(), in_flight, path, self.rng.sample()) {
                match defect.effect {
                    DefectEffect::Fail => fails = true,
                    DefectEffect::SlowMs(millis) => time += Duration::from_millis(millis),
                }
            }
        }
        (time, fails)
    }

    pub(super) fn record_arrival(&self, parts: &Parts) {
        let text = |it: &http::HeaderValue| String::from_utf8_lossy(it.as_bytes()).into_owned();
        let headers = parts.headers.iter().map(|(name, it)| (name.to_string(), text(it)));
        let record = RequestRecord {
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: headers.collect(),
        };
        let mut records = self.records.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Records the start of a run; on an error the journal was not written, and the request must not run.
    pub(super) fn record_begin(&self, parts: &Parts) -> io::Result<()> {
        let text = |name| header_text(&parts.headers, name).map(str::to_owned);
        let (request_id, key) = (text("x-request-id"), text("idempotency-key"));
        let record = RunRecord { request_id, key, target: parts.uri.to_string() };
        if let Some(journal) = &self.journal {
            let mut line = serde_json::to_vec(&record)?;
            line.push(b'\n');
            journal.lock().write_all(&line)?;
        }
        let mut counts = self.counts.lock();
        counts.begun += 1;
        if let Some(id) = record.request_id {
            *counts.by_request.entry(id).or_default() += 1;
        }
        if let Some(key) = record.key {
            *counts.by_key.entry(key).or_default() += 1;
        }
        Ok(())
    }

    pub(super) fn record_end(&self) {
        self.counts.lock().ended += 1;
    }

    pub(super) fn record_shed(&self) {
        self.counts.lock().shed += 1;
    }
}

/// Increments a gauge and decrements it when dropped.
#[derive(Debug)]
pub(super) struct GaugeGuard {
    state: Arc<BackendState>,
    gauge: fn(&BackendState) -> &AtomicU32,
}

impl GaugeGuard {
    pub(super) fn running(state: &Arc<BackendState>) -> Self {
        Self::increment(state, |it| &it.in_flight)
    }

    /// Counts a request from its arrival, while it waits or runs.
    pub(super) fn pending(state: &Arc<BackendState>) -> Self {
        let guard = Self::increment(state, |it| &it.pending);
        let mut counts = state.counts.lock();
        counts.peak = counts.peak.max(state.pending.load(Ordering::Acquire));
        drop(counts);
        guard
    }

    pub(super) fn connection(state: &Arc<BackendState>) -> Self {
        Self::increment(state, |it| &it.connections)
    }

    fn increment(state: &Arc<BackendState>, gauge: fn(&BackendState) -> &AtomicU32) -> Self {
        gauge(state).fetch_add(1, Ordering::AcqRel);
        Self { state: state.clone(), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        (self.gauge)(&self.state).fetch_sub(1, Ordering::AcqRel);
    }
}

//! Properties of a backend server and its faults.

use std::{path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};

use crate::fault::FaultRule;

/// Properties of a backend server for its whole life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendPlan {
    /// Name, returned in the header `x-server`.
    pub name: String,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Milliseconds for which a request waits for a slot before it is shed.
    pub queue_ms: u64,
    /// Least service time in microseconds.
    pub base_us: u64,
    /// Mean of the exponentially distributed part of the service time, in microseconds.
    pub mean_us: u64,
    /// Seed of service times and faults.
    pub seed: u64,
    /// Milliseconds after the start until the server is warm.
    pub cold_ms: u64,
    /// Factor of the service time at the start; falls linearly to one.
    pub cold_factor: f64,
    /// Bytes by which the content of a response is extended.
    pub padding_bytes: usize,
    /// File to which each run is appended before it begins, so that runs can be counted after the server was killed.
    pub journal: Option<PathBuf>,
}

impl Default for BackendPlan {
    fn default() -> Self {
        Self {
            name: "backend".to_owned(),
            slots: 4,
            queue_ms: 5,
            base_us: 1_000,
            mean_us: 1_000,
            seed: 1,
            cold_ms: 0,
            cold_factor: 1.0,
            padding_bytes: 0,
            journal: None,
        }
    }
}

impl BackendPlan {
    /// The service time for a uniform `draw` at `age` after the start.
    pub fn service_time(&self, draw: f64, age: Duration) -> Duration {
        let tail = -(1.0 - draw).ln() * self.mean_us as f64;
        let cold = Duration::from_millis(self.cold_ms);
        let coldness = if age < cold { 1.0 - age.as_secs_f64() / cold.as_secs_f64() } else { 0.0 };
        let factor = 1.0 + (self.cold_factor - 1.0) * coldness;
        Duration::from_secs_f64(((self.base_us as f64 + tail) * factor / 1e6).max(0.0))
    }
}

/// Load of a backend server, as it reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether the server is about to stop.
    pub leaving: bool,
}

/// What is wrong with load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadFault {
    /// Nothing.
    #[default]
    None,
    /// Reports repeat what was true when the fault began.
    Frozen,
    /// Reports state these figures.
    Fixed(LoadReport),
    /// Reports are answered with status 500.
    Failing,
}

/// What a defect does to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DefectEffect {
    /// Runs and is answered with status 500.
    Fail,
    /// Takes this many milliseconds longer.
    SlowMs(u64),
}

/// Defect of a bad version; every condition must hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionDefect {
    /// Effect.
    pub effect: DefectEffect,
    /// Milliseconds after the faults were set.
    #[serde(default)]
    pub after_ms: u64,
    /// Strikes only while more requests than this run, the struck one included.
    #[serde(default)]
    pub above_in_flight: u32,
    /// Strikes only paths that start with this.
    #[serde(default)]
    pub path_prefix: String,
    /// Probability, from 0 to 1.
    #[serde(default = "certain")]
    pub share: f64,
}

fn certain() -> f64 {
    1.0
}

impl VersionDefect {
    /// A defect that strikes every request at once.
    pub fn always(effect: DefectEffect) -> Self {
        Self {
            effect,
            after_ms: 0,
            above_in_flight: 0,
            path_prefix: String::new(),
            share: certain(),
        }
    }

    /// Whether a request is struck.
    pub fn applies_to(&self, age: Duration, in_flight: u32, path: &str, draw: f64) -> bool {
        age >= Duration::from_millis(self.after_ms)
            && in_flight > self.above_in_flight
            && path.starts_with(&self.path_prefix)
            && draw < self.share
    }
}

/// Faults of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Load reports.
    pub load: LoadFault,
    /// Milliseconds by which load reports are late.
    pub load_delay_ms: u64,
    /// Defects of the version that runs.
    pub defects: Vec<VersionDefect>,
    /// Requests that are shed although slots are free.
    pub shed: FaultRule,
    /// Responses that are sent `late_ms` after the request ran.
    pub late: FaultRule,
    /// Milliseconds by which a late response is late.
    pub late_ms: u64,
    /// Responses whose content ends early.
    pub truncated: FaultRule,
    /// Connections that are closed before the request runs.
    pub reset_before: FaultRule,
    /// Connections that are closed after the request ran.
    pub reset_after: FaultRule,
}

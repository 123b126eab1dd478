//! Configuration and faults of a stand-in backend server.

use std::{path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};

use crate::fault::FaultRule;

/// Configuration of a backend server, fixed at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendPlan {
    /// Name, sent in the response header `x-server`.
    pub name: String,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Longest wait for a slot in milliseconds, after which a request is shed.
    pub queue_ms: u64,
    /// Minimum service time in microseconds.
    pub base_us: u64,
    /// Mean of the exponentially distributed addition to the service time, in microseconds.
    pub mean_us: u64,
    /// Seed of the service times and of random faults.
    pub seed: u64,
    /// Duration of the warm-up after the start, in milliseconds.
    pub cold_ms: u64,
    /// Factor of the service time at the start; decreases linearly to one over the warm-up.
    pub cold_factor: f64,
    /// Number of padding bytes in each response body.
    pub padding_bytes: usize,
    /// File to which each run is appended before it starts, so that runs can be counted even if the server is killed.
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
    /// Returns the service time for a uniform random number `draw` in [0, 1) at `age` after the start.
    pub fn service_time(&self, draw: f64, age: Duration) -> Duration {
        let tail = -(1.0 - draw).ln() * self.mean_us as f64;
        let cold = Duration::from_millis(self.cold_ms);
        let cold_share =
            if age < cold { 1.0 - age.as_secs_f64() / cold.as_secs_f64() } else { 0.0 };
        let factor = 1.0 + (self.cold_factor - 1.0) * cold_share;
        Duration::from_secs_f64(((self.base_us as f64 + tail) * factor / 1e6).max(0.0))
    }
}

/// Load report of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub in_flight: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Whether the server is draining before its stop.
    pub leaving: bool,
}

/// Fault of the load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadFault {
    /// Reports are correct.
    #[default]
    None,
    /// Reports repeat the load at the time when the faults were set.
    Frozen,
    /// Reports contain these fixed values.
    Fixed(LoadReport),
    /// Report requests get status 500.
    Failing,
}

/// Effect of a defect on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DefectEffect {
    /// The request runs and gets status 500.
    Fail,
    /// The request takes this many milliseconds longer.
    SlowMs(u64),
}

/// Defect of a faulty version. It applies to requests that meet all conditions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionDefect {
    /// Effect.
    pub effect: DefectEffect,
    /// Applies only from this many milliseconds after the faults were set.
    #[serde(default)]
    pub after_ms: u64,
    /// Applies only while more requests than this run, including the request itself.
    #[serde(default)]
    pub above_in_flight: u32,
    /// Applies only to paths with this prefix.
    #[serde(default)]
    pub path_prefix: String,
    /// Probability that it applies to a request that meets the other conditions, from 0 to 1.
    #[serde(default = "certain")]
    pub share: f64,
}

fn certain() -> f64 {
    1.0
}

impl VersionDefect {
    /// Creates a defect that applies to every request from the start.
    pub fn always(effect: DefectEffect) -> Self {
        Self {
            effect,
            after_ms: 0,
            above_in_flight: 0,
            path_prefix: String::new(),
            share: certain(),
        }
    }

    /// Returns whether the defect applies to a request; `age` counts from the time the faults were set, and `draw` is
    /// a uniform random number in [0, 1).
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
    /// Fault of the load reports.
    pub load: LoadFault,
    /// Delay of load reports in milliseconds.
    pub load_delay_ms: u64,
    /// Defects of the running version.
    pub defects: Vec<VersionDefect>,
    /// Requests that are shed although a slot is free.
    pub shed: FaultRule,
    /// Responses that are delayed by `late_ms` after the request ran.
    pub late: FaultRule,
    /// Delay of the responses that `late` selects, in milliseconds.
    pub late_ms: u64,
    /// Responses whose body ends before its announced length.
    pub truncated: FaultRule,
    /// Connections that are closed before the request runs.
    pub reset_before: FaultRule,
    /// Connections that are closed after the request ran.
    pub reset_after: FaultRule,
}

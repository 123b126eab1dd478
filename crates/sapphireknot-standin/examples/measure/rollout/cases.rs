//! Cases of the measurement: good and faulty versions, load peaks and faults of the control plane.

/// Fault of a version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionFault {
    /// Failure rate while the fault is active.
    pub(crate) failure_rate: f64,
    /// Factor by which latency is multiplied while the fault is active.
    pub(crate) latency_factor: f64,
    /// Second from which the fault is active.
    pub(crate) start_second: u64,
    /// Route to which the fault is limited; all routes if `None`.
    pub(crate) route: Option<usize>,
    /// Smallest share of the new version, as a mean over all hosts, at which the fault is active.
    pub(crate) min_share: f64,
}

/// Health that the backend servers of the new version report about themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthReport {
    /// Always healthy.
    Healthy,
    /// Always unhealthy.
    Unhealthy,
}

/// Fault of the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ControlFault {
    /// No fault.
    None,
    /// The planner is killed at 60 s; another one takes over the role 7 s later.
    PlannerKilled,
    /// The store does not answer from 50 s to 110 s.
    StoreOutage,
    /// The planner pauses from 60 s to 90 s; another one takes over the role 7 s after the start of the pause.
    PlannerPaused,
}

/// Conditions of a run.
#[derive(Debug, Clone)]
pub(crate) struct RolloutCase {
    pub(crate) name: &'static str,
    pub(crate) fault: Option<VersionFault>,
    pub(crate) health: HealthReport,
    /// Whether the latency of both versions doubles from 120 s to 300 s and from 500 s to 700 s.
    pub(crate) has_load_peaks: bool,
    pub(crate) control: ControlFault,
}

impl RolloutCase {
    /// Whether the new version has no fault, so that its rollout should complete.
    pub(crate) fn is_good(&self) -> bool {
        self.fault.is_none()
    }
}

/// Returns all cases, in the order in which they are printed.
pub(crate) fn all_cases() -> Vec<RolloutCase> {
    let good = |name| RolloutCase {
        name,
        fault: None,
        health: HealthReport::Healthy,
        has_load_peaks: false,
        control: ControlFault::None,
    };
    let fault = VersionFault {
        failure_rate: 0.0,
        latency_factor: 1.0,
        start_second: 0,
        route: None,
        min_share: 0.0,
    };
    let fails = VersionFault { failure_rate: 0.9, ..fault };
    let slows = VersionFault { latency_factor: 5.0, ..fault };
    let bad = |name, fault| RolloutCase { fault: Some(fault), ..good(name) };
    vec![
        good("good"),
        RolloutCase { has_load_peaks: true, ..good("good, peaks of load") },
        RolloutCase { health: HealthReport::Unhealthy, ..good("good, reports bad health") },
        RolloutCase { control: ControlFault::PlannerKilled, ..good("good, planner killed") },
        RolloutCase { control: ControlFault::StoreOutage, ..good("good, store outage") },
        RolloutCase { control: ControlFault::PlannerPaused, ..good("good, planner paused") },
        bad("fails at once", fails),
        bad("fails 10% at once", VersionFault { failure_rate: 0.1, ..fault }),
        bad("fails late", VersionFault { start_second: 600, ..fails }),
        bad("fails 30% under load", VersionFault { failure_rate: 0.3, min_share: 0.3, ..fault }),
        bad("fails on one route", VersionFault { route: Some(2), ..fails }),
        bad("fails on a quiet route", VersionFault { route: Some(3), ..fails }),
        bad("slow at once", slows),
        bad("slow late", VersionFault { start_second: 600, ..slows }),
        bad("slow under load", VersionFault { min_share: 0.3, ..slows }),
        bad("slow on one route", VersionFault { route: Some(2), ..slows }),
        RolloutCase {
            control: ControlFault::PlannerKilled,
            ..bad("fails in the ramp, planner killed", VersionFault { start_second: 61, ..fails })
        },
        RolloutCase {
            control: ControlFault::StoreOutage,
            ..bad("fails in the ramp, store outage", VersionFault { start_second: 61, ..fails })
        },
        RolloutCase {
            control: ControlFault::PlannerPaused,
            ..bad("fails in the ramp, planner paused", VersionFault { start_second: 61, ..fails })
        },
    ]
}

//! Versions and disturbances.

/// What a version does wrong.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionFault {
    /// Failure rate while the fault is active.
    pub(crate) failing: f64,
    /// Factor of latency while the fault is active.
    pub(crate) slowing: f64,
    /// Second from which it is active.
    pub(crate) from: u64,
    /// Only route on which it is active.
    pub(crate) route: Option<usize>,
    /// Share of traffic from which it is active.
    pub(crate) load: f64,
}

/// What the backend servers of the new version report of their health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthReport {
    /// Always fine.
    Fine,
    /// Always bad.
    Bad,
}

/// What happens to the control side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ControlFault {
    /// Nothing.
    None,
    /// The planner dies at 60 s; another one takes the role 7 s later.
    PlannerKilled,
    /// The store does not answer from 50 s to 110 s.
    StoreOutage,
    /// The planner pauses from 60 s to 90 s; another one takes the role after 7 s.
    PlannerPaused,
}

/// One kind of run.
#[derive(Debug, Clone)]
pub(crate) struct RolloutCase {
    pub(crate) name: &'static str,
    pub(crate) fault: Option<VersionFault>,
    pub(crate) health: HealthReport,
    /// Whether both versions take twice as long from 120 s to 300 s and from 500 s to 700 s.
    pub(crate) has_peaks: bool,
    pub(crate) control: ControlFault,
}

impl RolloutCase {
    /// Whether the version should complete.
    pub(crate) fn is_good(&self) -> bool {
        self.fault.is_none()
    }
}

/// All kinds of runs.
pub(crate) fn all_cases() -> Vec<RolloutCase> {
    let good = |name| RolloutCase {
        name,
        fault: None,
        health: HealthReport::Fine,
        has_peaks: false,
        control: ControlFault::None,
    };
    let fault = VersionFault { failing: 0.0, slowing: 1.0, from: 0, route: None, load: 0.0 };
    let fails = VersionFault { failing: 0.9, ..fault };
    let slows = VersionFault { slowing: 5.0, ..fault };
    let bad = |name, fault| RolloutCase { fault: Some(fault), ..good(name) };
    vec![
        good("good"),
        RolloutCase { has_peaks: true, ..good("good, peaks of load") },
        RolloutCase { health: HealthReport::Bad, ..good("good, reports bad health") },
        RolloutCase { control: ControlFault::PlannerKilled, ..good("good, planner killed") },
        RolloutCase { control: ControlFault::StoreOutage, ..good("good, store outage") },
        RolloutCase { control: ControlFault::PlannerPaused, ..good("good, planner paused") },
        bad("fails at once", fails),
        bad("fails 10% at once", VersionFault { failing: 0.1, ..fault }),
        bad("fails late", VersionFault { from: 600, ..fails }),
        bad("fails 30% under load", VersionFault { failing: 0.3, load: 0.3, ..fault }),
        bad("fails on one route", VersionFault { route: Some(2), ..fails }),
        bad("fails on a quiet route", VersionFault { route: Some(3), ..fails }),
        bad("slow at once", slows),
        bad("slow late", VersionFault { from: 600, ..slows }),
        bad("slow under load", VersionFault { load: 0.3, ..slows }),
        bad("slow on one route", VersionFault { route: Some(2), ..slows }),
        RolloutCase {
            control: ControlFault::PlannerKilled,
            ..bad("fails in the ramp, planner killed", VersionFault { from: 61, ..fails })
        },
        RolloutCase {
            control: ControlFault::StoreOutage,
            ..bad("fails in the ramp, store outage", VersionFault { from: 61, ..fails })
        },
        RolloutCase {
            control: ControlFault::PlannerPaused,
            ..bad("fails in the ramp, planner paused", VersionFault { from: 61, ..fails })
        },
    ]
}

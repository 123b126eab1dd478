//! Simulation of twelve hosts with their requests, under the rollout planner or a baseline.

use std::{collections::BTreeMap, fmt::Debug, str::FromStr};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    config::TrafficPlan,
    ids::{FencingToken, HostId, IncarnationId, RouteId, VersionId},
    rollout::{
        EvidenceEvaluator, EvidenceLedger, LocalTrip, PlannerAction, PlannerInput, PlannerLimits,
        RolloutPlanner, RolloutState, RolloutView, ShareMap, ShareNotice, TripNotice, TripSet,
        planner::REPORT_AGE,
    },
    time::{MonoTime, WallTime},
    units::TrafficShare,
};

use super::{
    baseline::{PooledCounts, ThresholdRamp, timed_share},
    cases::{ControlFault, HealthReport, RolloutCase},
};

const HOSTS: usize = 12;
/// Requests of the service per second and host.
const HOST_REQUEST_RATE: u64 = 25;
/// Routes and their weights. The last one gets 3 requests per second over all hosts.
const ROUTES: [(&str, f64); 4] =
    [("status", 0.6), ("reports", 0.25), ("calendar", 0.14), ("bookings", 0.01)];
/// Deadline of the plan, in seconds after its start.
const DEADLINE: u64 = 900;
/// Failure rate of a version without a fault.
const BASELINE_FAILURE_RATE: f64 = 0.003;
/// Ticks per second.
const TICKS_PER_SECOND: u64 = 10;

/// Method that sets the shares of the versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RolloutMethod {
    /// Planner, views and trips of the library, which evaluate evidence of the hosts.
    Evidence,
    /// Ramp with fixed thresholds.
    Thresholds,
    /// Ramp that depends on the time only.
    Timed,
}

impl RolloutMethod {
    pub(crate) const ALL: [Self; 3] = [Self::Evidence, Self::Thresholds, Self::Timed];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Thresholds => "fixed thresholds",
            Self::Timed => "timed ramp",
        }
    }
}

/// Result of one run.
#[derive(Debug)]
pub(crate) struct RunResult {
    /// Whether the new version had all traffic on every host at the deadline and at the end.
    pub(crate) is_completed: bool,
    /// Whether the new version had no traffic on any host at the end.
    pub(crate) is_reverted: bool,
    /// Requests that failed or were slowed down while the fault applied to them.
    pub(crate) harmed: u64,
    /// Mean share of the new version over all hosts, 2 s after the first harmed request.
    pub(crate) share_after_2s: Option<f64>,
    /// Second of the last change of the shares.
    pub(crate) last_change_second: u64,
    /// Reason in the stored state of the rollout.
    pub(crate) reason: Option<String>,
}

struct Host {
    id: HostId,
    view: RolloutView,
    trips: TripSet,
    local_trip: LocalTrip,
}

/// Planner process with its evidence and its copy of the stored state.
struct Controller {
    token: FencingToken,
    ledger: EvidenceLedger,
    evaluator: EvidenceEvaluator,
    trips: TripSet,
    state: Option<RolloutState>,
    /// Write that the planner decided before its pause and sends after it.
    pending_write: Option<PlannerAction>,
}

struct RolloutSimulation<'a> {
    case: &'a RolloutCase,
    method: RolloutMethod,
    rng: ChaCha8Rng,
    tick: u64,
    plan: TrafficPlan,
    planner: RolloutPlanner,
    routes: Vec<RouteId>,
    versions: [VersionId; 2],
    hosts: Vec<Host>,
    controllers: Vec<Controller>,
    stored: Option<RolloutState>,
    ramp: ThresholdRamp,
    /// Notices that reach all hosts in the next tick.
    share_notices: Vec<ShareNotice>,
    trip_notices: Vec<TripNotice>,
    harmed: u64,
    first_harm_tick: Option<u64>,
    share_after_2s: Option<f64>,
    last_share: f64,
    last_change_tick: u64,
}

fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("valid identifier")
}

/// Runs a case until one minute after the deadline.
pub(crate) fn run_case(case: &RolloutCase, method: RolloutMethod, seed: u64) -> RunResult {
    let mut simulation = RolloutSimulation::new(case, method, seed);
    let mut is_complete_at_deadline = false;
    while simulation.tick < (DEADLINE + 60) * TICKS_PER_SECOND {
        simulation.tick += 1;
        simulation.run_tick();
        if simulation.tick == DEADLINE * TICKS_PER_SECOND {
            is_complete_at_deadline = (0..HOSTS).all(|it| simulation.share_of(it) >= 0.9999);
        }
    }
    let at_end: Vec<_> = (0..HOSTS).map(|it| simulation.share_of(it)).collect();
    RunResult {
        is_completed: is_complete_at_deadline && at_end.iter().all(|it| *it >= 0.9999),
        is_reverted: at_end.iter().all(|it| *it == 0.0),
        harmed: simulation.harmed,
        share_after_2s: simulation.share_after_2s,
        last_change_second: simulation.last_change_tick / TICKS_PER_SECOND,
        reason: simulation.stored.and_then(|it| it.reason),
    }
}

impl<'a> RolloutSimulation<'a> {
    fn new(case: &'a RolloutCase, method: RolloutMethod, seed: u64) -> Self {
        let base: ShareMap = BTreeMap::from([(id("old"), TrafficShare::WHOLE)]);
        let plan = TrafficPlan {
            id: id("move"),
            target: BTreeMap::from([(id("new"), TrafficShare::WHOLE)]),
            deadline: WallTime(DEADLINE * 1_000),
            cap: TrafficShare::percent(20),
        };
        let planner = RolloutPlanner::new(&plan, &base);
        let routes: Vec<RouteId> = ROUTES.iter().map(|it| id(it.0)).collect();
        let host = |idx: usize| Host {
            id: id(&format!("host-{idx}")),
            view: RolloutView::new(&plan, &base),
            trips: TripSet::default(),
            local_trip: LocalTrip::new(planner.traffic(), &routes, HOSTS),
        };
        let hosts = (0..HOSTS).map(host).collect();
        let mut simulation = Self {
            case,
            method,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tick: 0,
            hosts,
            plan,
            planner,
            routes,
            versions: [id("old"), id("new")],
            controllers: Vec::new(),
            stored: None,
            ramp: ThresholdRamp::default(),
            share_notices: Vec::new(),
            trip_notices: Vec::new(),
            harmed: 0,
            first_harm_tick: None,
            share_after_2s: None,
            last_share: 0.0,
            last_change_tick: 0,
        };
        simulation.start_controller();
        simulation
    }

    /// Starts a planner with the next fencing token and no evidence.
    fn start_controller(&mut self) {
        let token = FencingToken(self.controllers.last().map_or(1, |it| it.token.0 + 1));
        self.controllers.push(Controller {
            token,
            ledger: EvidenceLedger::new(&self.versions, &self.routes),
            evaluator: EvidenceEvaluator::new(self.planner.traffic(), &self.routes),
            trips: TripSet::default(),
            state: None,
            pending_write: None,
        });
    }

    fn second(&self) -> u64 {
        self.tick / TICKS_PER_SECOND
    }

    fn wall_time(&self) -> WallTime {
        WallTime(self.tick * 1_000 / TICKS_PER_SECOND)
    }

    fn mono_time(&self) -> MonoTime {
        MonoTime(self.tick * 1_000_000 / TICKS_PER_SECOND)
    }

    /// Share of the new version on a host.
    fn share_of(&self, host: usize) -> f64 {
        match self.method {
            RolloutMethod::Evidence => {
                let host = &self.hosts[host];
                let shares = host.view.shares(&host.trips, self.wall_time());
                shares.get(&self.versions[1]).copied().unwrap_or_default().as_fraction()
            }
            RolloutMethod::Thresholds => self.ramp.share(),
            RolloutMethod::Timed => timed_share(self.second(), DEADLINE),
        }
    }

    /// Delivers the notices of the last tick, serves requests and, once per second, runs the method.
    fn run_tick(&mut self) {
        let now = self.wall_time();
        let is_whole_second = self.tick.is_multiple_of(TICKS_PER_SECOND);
        let (notices, trips) =
            (std::mem::take(&mut self.share_notices), std::mem::take(&mut self.trip_notices));
        for host in &mut self.hosts {
            notices.iter().for_each(|it| host.view.merge(it, now));
            trips.iter().for_each(|it| host.trips.merge(it));
            if is_whole_second {
                host.view.advance(now);
            }
        }
        for controller in &mut self.controllers {
            trips.iter().for_each(|it| controller.trips.merge(it));
        }
        self.serve();
        if is_whole_second {
            match self.method {
                RolloutMethod::Evidence => self.run_controllers(),
                RolloutMethod::Thresholds => self.run_threshold_ramp(),
                RolloutMethod::Timed => {}
            }
        }
        let share = (0..HOSTS).map(|it| self.share_of(it)).sum::<f64>() / HOSTS as f64;
        if (share - self.last_share).abs() > 1e-9 {
            (self.last_share, self.last_change_tick) = (share, self.tick);
        }
        if self.first_harm_tick.is_some_and(|it| it + 2 * TICKS_PER_SECOND == self.tick) {
            self.share_after_2s = Some(share);
        }
    }

    /// Serves the requests of one tick on all hosts, records their outcomes and collects new trips.
    fn serve(&mut self) {
        let second = self.second();
        let has_peak = self.case.has_load_peaks && matches!(second, 120..300 | 500..700);
        let total: f64 = (0..HOSTS).map(|it| self.share_of(it)).sum::<f64>() / HOSTS as f64;
        for idx in 0..HOSTS {
            let share = self.share_of(idx);
            // Two or three requests per tick with equal probability.
            let count = HOST_REQUEST_RATE / TICKS_PER_SECOND + u64::from(self.rng.random_bool(0.5));
            for _ in 0..count {
                let route = self.draw_route();
                let is_new = self.rng.random_bool(share);
                let fault = self.case.fault.filter(|it| {
                    let is_on_route = it.route.is_none_or(|that| that == route);
                    is_new && second >= it.start_second && total >= it.min_share && is_on_route
                });
                let failure_rate =
                    fault.map_or(0.0, |it| it.failure_rate).max(BASELINE_FAILURE_RATE);
                let is_failed = self.rng.random_bool(failure_rate);
                // The product of two uniform draws gives latencies from 20 ms to 80 ms, most of them near 40 ms.
                let spread = self.rng.random_range(1.0..2.0) * self.rng.random_range(1.0..2.0);
                let latency_factor =
                    fault.map_or(1.0, |it| it.latency_factor) * if has_peak { 2.0 } else { 1.0 };
                let latency_us = (20_000.0 * spread * latency_factor) as u64;
                if let Some(fault) = fault
                    && (is_failed || fault.latency_factor > 1.0)
                {
                    self.harmed += 1;
                    self.first_harm_tick.get_or_insert(self.tick);
                }
                let version = &self.versions[usize::from(is_new)];
                self.hosts[idx].local_trip.record(
                    version,
                    &self.routes[route],
                    !is_failed,
                    latency_us,
                );
            }
            let host = &mut self.hosts[idx];
            if self.method == RolloutMethod::Evidence
                && let Some((version, reason)) = host.local_trip.tripped()
                && host.trips.reason(&self.plan.id, version).is_none()
            {
                let notice = TripNotice {
                    plan: self.plan.id.clone(),
                    version: version.clone(),
                    host: host.id.clone(),
                    reason: reason.clone(),
                };
                host.trips.merge(&notice);
                self.trip_notices.push(notice);
            }
        }
    }

    /// Draws a route by weight.
    fn draw_route(&mut self) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0);
        ROUTES
            .iter()
            .position(|it| {
                draw -= it.1;
                draw < 0.0
            })
            .unwrap_or(ROUTES.len() - 1)
    }

    /// Evaluates the threshold ramp every 10 s, unless the control plane is down.
    fn run_threshold_ramp(&mut self) {
        let second = self.second();
        let is_down = match self.case.control {
            ControlFault::None => false,
            ControlFault::PlannerKilled | ControlFault::PlannerPaused => (60..67).contains(&second),
            ControlFault::StoreOutage => (50..110).contains(&second),
        };
        if !second.is_multiple_of(10) || is_down {
            return;
        }
        let mut pooled = PooledCounts::default();
        let counts = self.hosts.iter().flat_map(|it| it.local_trip.counts());
        for (_, counted) in counts.filter(|(key, _)| key.0 == self.versions[1]) {
            pooled.total += counted.total();
            pooled.failed += counted.failed;
            pooled.slow += counted.slow;
        }
        self.ramp.observe(second, pooled, self.case.health == HealthReport::Healthy);
    }

    /// Applies the fault of the control plane and runs every planner that is not paused.
    fn run_controllers(&mut self) {
        let second = self.second();
        match (self.case.control, second) {
            (ControlFault::PlannerKilled, 60) => self.controllers.clear(),
            (ControlFault::PlannerKilled | ControlFault::PlannerPaused, 67) => {
                self.start_controller();
                // A killed planner is no longer listed, so `start_controller` would use its token again.
                if let Some(last) = self.controllers.last_mut() {
                    last.token = FencingToken(2);
                }
            }
            _ => {}
        }
        let is_paused =
            self.case.control == ControlFault::PlannerPaused && (60..90).contains(&second);
        for idx in 0..self.controllers.len() {
            if !(idx == 0 && is_paused) {
                self.run_controller(idx);
            }
        }
    }

    fn run_controller(&mut self, idx: usize) {
        if let Some(pending_write) = self.controllers[idx].pending_write.take() {
            self.write(idx, pending_write);
        }
        let (now, mono) = (self.wall_time(), self.mono_time());
        let is_store_up = self.is_store_up();
        let is_paused_planner = self.case.control == ControlFault::PlannerPaused && idx == 0;
        let controller = &mut self.controllers[idx];
        // In its first run after the pause, the planner still has the state and the reports from before.
        if is_store_up && !(is_paused_planner && self.tick == 90 * TICKS_PER_SECOND) {
            controller.state = self.stored.clone();
        }
        if let Some(state) = &controller.state {
            controller.evaluator.enter_step(state.step, mono);
        }
        controller.evaluator.update(&controller.ledger.totals(), mono);
        let live: Vec<_> = self.hosts.iter().map(|it| it.id.clone()).collect();
        let fresh = controller.ledger.fresh_hosts(&live, mono, REPORT_AGE);
        let action = self.planner.decide(&PlannerInput {
            state: controller.state.as_ref(),
            evaluator: &controller.evaluator,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(live.len()),
            trips: &controller.trips,
            token: controller.token,
            limits: PlannerLimits::default(),
            now,
        });
        // Reports that are requested now arrive after this decision, so they are merged for the next one.
        for host in &self.hosts {
            controller.ledger.merge(&host.id, IncarnationId(1), mono, host.local_trip.counts());
        }
        if matches!(action, PlannerAction::Write { .. }) {
            if is_paused_planner && self.tick / TICKS_PER_SECOND == 59 {
                controller.pending_write = Some(action);
            } else {
                self.write(idx, action);
            }
        }
    }

    fn is_store_up(&self) -> bool {
        self.case.control != ControlFault::StoreOutage || !(50..110).contains(&self.second())
    }

    /// Writes a decision to the store if the store is up, the write is in time and the stored state is the expected
    /// one.
    fn write(&mut self, idx: usize, action: PlannerAction) {
        let PlannerAction::Write { expected, state, send_before } = action else { return };
        let found = self.stored.as_ref().map(|it| (it.token, it.step));
        if !self.is_store_up() || self.wall_time() > send_before || found != expected {
            return;
        }
        self.share_notices.push(ShareNotice::from(&state));
        self.stored = Some(state.clone());
        self.controllers[idx].state = Some(state);
    }
}

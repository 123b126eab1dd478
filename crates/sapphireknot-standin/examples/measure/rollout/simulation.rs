//! Twelve hosts, their requests and whoever steers the shares.

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
const HOST_RATE: u64 = 25;
/// Weights of the routes; the last gets 3 requests a second over all hosts.
const ROUTES: [(&str, f64); 4] =
    [("status", 0.6), ("reports", 0.25), ("calendar", 0.14), ("bookings", 0.01)];
const DEADLINE: u64 = 900;
/// Failure rate of a good version.
const USUAL_FAILING: f64 = 0.003;
/// Ticks per second.
const TICKS: u64 = 10;

/// Who steers the shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SteeringMethod {
    /// Planner, views and trips of this workspace.
    Evidence,
    /// Fixed thresholds.
    Thresholds,
    /// Clock only.
    Timed,
}

impl SteeringMethod {
    pub(crate) const ALL: [Self; 3] = [Self::Evidence, Self::Thresholds, Self::Timed];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Thresholds => "fixed thresholds",
            Self::Timed => "timed ramp",
        }
    }
}

/// End of one run.
#[derive(Debug)]
pub(crate) struct RunResult {
    /// Whether the new version had the whole on every host before the deadline and kept it.
    pub(crate) is_completed: bool,
    /// Whether the new version had nothing on every host at the end.
    pub(crate) is_taken_back: bool,
    /// Requests that the fault failed or slowed.
    pub(crate) harmed: u64,
    /// Mean share over hosts 2 s after the fault first harmed a request.
    pub(crate) share_after_2s: Option<f64>,
    /// Second of the last change of the shares.
    pub(crate) seconds: u64,
    /// Reason in the store.
    pub(crate) reason: Option<String>,
}

struct Host {
    id: HostId,
    view: RolloutView,
    trips: TripSet,
    tally: LocalTrip,
}

struct Controller {
    token: FencingToken,
    ledger: EvidenceLedger,
    judge: EvidenceEvaluator,
    trips: TripSet,
    state: Option<RolloutState>,
    pending: Option<PlannerAction>,
}

struct World<'a> {
    case: &'a RolloutCase,
    method: SteeringMethod,
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
    notices: Vec<ShareNotice>,
    trips: Vec<TripNotice>,
    harmed: u64,
    first_harm: Option<u64>,
    result_share: Option<f64>,
    last_share: f64,
    changed_at: u64,
}

fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("valid identifier")
}

/// Runs a case to one minute after the deadline.
pub(crate) fn run_case(case: &RolloutCase, method: SteeringMethod, seed: u64) -> RunResult {
    let mut world = World::new(case, method, seed);
    let mut is_whole_at_deadline = false;
    while world.tick < (DEADLINE + 60) * TICKS {
        world.tick += 1;
        world.run_tick();
        if world.tick == DEADLINE * TICKS {
            is_whole_at_deadline = (0..HOSTS).all(|it| world.share_of(it) >= 0.9999);
        }
    }
    let at_end: Vec<_> = (0..HOSTS).map(|it| world.share_of(it)).collect();
    RunResult {
        is_completed: is_whole_at_deadline && at_end.iter().all(|it| *it >= 0.9999),
        is_taken_back: at_end.iter().all(|it| *it == 0.0),
        harmed: world.harmed,
        share_after_2s: world.result_share,
        seconds: world.changed_at / TICKS,
        reason: world.stored.and_then(|it| it.reason),
    }
}

impl<'a> World<'a> {
    fn new(case: &'a RolloutCase, method: SteeringMethod, seed: u64) -> Self {
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
            tally: LocalTrip::new(planner.traffic(), &routes, HOSTS),
        };
        let hosts = (0..HOSTS).map(host).collect();
        let mut world = Self {
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
            notices: Vec::new(),
            trips: Vec::new(),
            harmed: 0,
            first_harm: None,
            result_share: None,
            last_share: 0.0,
            changed_at: 0,
        };
        world.start_controller();
        world
    }

    fn start_controller(&mut self) {
        let token = FencingToken(self.controllers.last().map_or(1, |it| it.token.0 + 1));
        self.controllers.push(Controller {
            token,
            ledger: EvidenceLedger::new(&self.versions, &self.routes),
            judge: EvidenceEvaluator::new(self.planner.traffic(), &self.routes),
            trips: TripSet::default(),
            state: None,
            pending: None,
        });
    }

    fn second(&self) -> u64 {
        self.tick / TICKS
    }

    fn wall(&self) -> WallTime {
        WallTime(self.tick * 1_000 / TICKS)
    }

    fn mono(&self) -> MonoTime {
        MonoTime(self.tick * 1_000_000 / TICKS)
    }

    fn share_of(&self, host: usize) -> f64 {
        match self.method {
            SteeringMethod::Evidence => {
                let host = &self.hosts[host];
                let shares = host.view.shares(&host.trips, self.wall());
                shares.get(&self.versions[1]).copied().unwrap_or_default().as_fraction()
            }
            SteeringMethod::Thresholds => self.ramp.share(),
            SteeringMethod::Timed => timed_share(self.second(), DEADLINE),
        }
    }

    fn run_tick(&mut self) {
        let now = self.wall();
        let is_whole_second = self.tick.is_multiple_of(TICKS);
        let (notices, trips) = (std::mem::take(&mut self.notices), std::mem::take(&mut self.trips));
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
                SteeringMethod::Evidence => self.run_controllers(),
                SteeringMethod::Thresholds => self.run_ramp(),
                SteeringMethod::Timed => {}
            }
        }
        let share = (0..HOSTS).map(|it| self.share_of(it)).sum::<f64>() / HOSTS as f64;
        if (share - self.last_share).abs() > 1e-9 {
            (self.last_share, self.changed_at) = (share, self.tick);
        }
        if self.first_harm.is_some_and(|it| it + 2 * TICKS == self.tick) {
            self.result_share = Some(share);
        }
    }

    fn serve(&mut self) {
        let second = self.second();
        let has_peak = self.case.has_peaks && matches!(second, 120..300 | 500..700);
        let total: f64 = (0..HOSTS).map(|it| self.share_of(it)).sum::<f64>() / HOSTS as f64;
        for idx in 0..HOSTS {
            let share = self.share_of(idx);
            // Two or three requests a tick, by chance.
            let count = HOST_RATE / TICKS + u64::from(self.rng.random_bool(0.5));
            for _ in 0..count {
                let route = self.draw_route();
                let is_new = self.rng.random_bool(share);
                let fault = self.case.fault.filter(|it| {
                    let is_here = it.route.is_none_or(|that| that == route);
                    is_new && second >= it.from && total >= it.load && is_here
                });
                let failing = fault.map_or(0.0, |it| it.failing).max(USUAL_FAILING);
                let is_failed = self.rng.random_bool(failing);
                // Product of two uniform draws: most near 20 ms, a tail up to 80 ms.
                let spread = self.rng.random_range(1.0..2.0) * self.rng.random_range(1.0..2.0);
                let slowing = fault.map_or(1.0, |it| it.slowing) * if has_peak { 2.0 } else { 1.0 };
                let latency_us = (20_000.0 * spread * slowing) as u64;
                if let Some(fault) = fault
                    && (is_failed || fault.slowing > 1.0)
                {
                    self.harmed += 1;
                    self.first_harm.get_or_insert(self.tick);
                }
                let version = &self.versions[usize::from(is_new)];
                self.hosts[idx].tally.record(version, &self.routes[route], !is_failed, latency_us);
            }
            let host = &mut self.hosts[idx];
            if self.method == SteeringMethod::Evidence
                && let Some((version, reason)) = host.tally.tripped()
                && host.trips.reason(&self.plan.id, version).is_none()
            {
                let notice = TripNotice {
                    plan: self.plan.id.clone(),
                    version: version.clone(),
                    host: host.id.clone(),
                    reason: reason.clone(),
                };
                host.trips.merge(&notice);
                self.trips.push(notice);
            }
        }
    }

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

    fn run_ramp(&mut self) {
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
        let counts = self.hosts.iter().flat_map(|it| it.tally.counts());
        for (_, counted) in counts.filter(|(key, _)| key.0 == self.versions[1]) {
            pooled.total += counted.total();
            pooled.failed += counted.failed;
            pooled.slow += counted.slow;
        }
        self.ramp.observe(second, pooled, self.case.health == HealthReport::Fine);
    }

    fn run_controllers(&mut self) {
        let second = self.second();
        match (self.case.control, second) {
            (ControlFault::PlannerKilled, 60) => self.controllers.clear(),
            (ControlFault::PlannerKilled | ControlFault::PlannerPaused, 67) => {
                self.start_controller();
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
        if let Some(pending) = self.controllers[idx].pending.take() {
            self.write(idx, pending);
        }
        let (now, mono) = (self.wall(), self.mono());
        let is_store_up = self.is_store_up();
        let is_late_pauser = self.case.control == ControlFault::PlannerPaused && idx == 0;
        let controller = &mut self.controllers[idx];
        // The paused planner wakes with the state and the reports that it remembers.
        if is_store_up && !(is_late_pauser && self.tick == 90 * TICKS) {
            controller.state = self.stored.clone();
        }
        if let Some(state) = &controller.state {
            controller.judge.enter_step(state.step, mono);
        }
        controller.judge.update(&controller.ledger.totals(), mono);
        let live: Vec<_> = self.hosts.iter().map(|it| it.id.clone()).collect();
        let fresh = controller.ledger.fresh_hosts(&live, mono, REPORT_AGE);
        let action = self.planner.decide(&PlannerInput {
            state: controller.state.as_ref(),
            evaluator: &controller.judge,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(live.len()),
            trips: &controller.trips,
            token: controller.token,
            limits: PlannerLimits::default(),
            now,
        });
        // Reports asked for now are merged before the next decision.
        for host in &self.hosts {
            controller.ledger.merge(&host.id, IncarnationId(1), mono, host.tally.counts());
        }
        if matches!(action, PlannerAction::Write { .. }) {
            if is_late_pauser && self.tick / TICKS == 59 {
                controller.pending = Some(action);
            } else {
                self.write(idx, action);
            }
        }
    }

    fn is_store_up(&self) -> bool {
        self.case.control != ControlFault::StoreOutage || !(50..110).contains(&self.second())
    }

    fn write(&mut self, idx: usize, action: PlannerAction) {
        let PlannerAction::Write { expected, state, send_before } = action else { return };
        let found = self.stored.as_ref().map(|it| (it.token, it.step));
        if !self.is_store_up() || self.wall() > send_before || found != expected {
            return;
        }
        self.notices.push(ShareNotice::from(&state));
        self.stored = Some(state.clone());
        self.controllers[idx].state = Some(state);
    }
}

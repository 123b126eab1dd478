//! Simulation of one rollout with hosts, planners, a store and messages, checked by an oracle.

use std::{collections::BTreeMap, fmt::Debug, str::FromStr};

use arbtest::arbitrary::{Result, Unstructured};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sapphireknot::{
    config::TrafficPlan,
    ids::{FencingToken, HostId, IncarnationId, RouteId, VersionId},
    rollout::{
        EvidenceEvaluator, EvidenceLedger, LocalTrip, OutcomeCounts, PlannerAction, PlannerInput,
        PlannerLimits, RolloutPlanner, RolloutState, RolloutVerdict, RolloutView, SampleKey,
        ShareMap, ShareNotice, TripNotice, TripSet, planner::REPORT_AGE, timing::STEP_INTERVAL,
    },
    time::{MonoTime, WallTime},
    units::TrafficShare,
};

const HOSTS: usize = 4;
const PLANNERS: usize = 2;
const ROUTES: [(&str, u32); 2] = [("reports", 40), ("bookings", 5)];
/// Maximum time in seconds from a decision to its write.
const MAX_SEND_SECONDS: u64 = 1;
const DEADLINE_SECONDS: u64 = 240;

fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("valid identifier")
}

#[derive(Debug, Clone)]
enum Message {
    Shares(usize, ShareNotice),
    Trip(usize, TripNotice),
    PlannerTrip(usize, TripNotice),
    Report {
        planner: usize,
        host: usize,
        incarnation: IncarnationId,
        requested_at: u64,
        counts: BTreeMap<SampleKey, OutcomeCounts>,
    },
}

struct Host {
    incarnation: IncarnationId,
    partitioned_until: u64,
    view: RolloutView,
    trips: TripSet,
    local_trip: LocalTrip,
    last_share: TrafficShare,
    saw_trip: bool,
    saw_revert: bool,
}

struct Planner {
    token: Option<FencingToken>,
    paused_until: u64,
    state: Option<RolloutState>,
    ledger: EvidenceLedger,
    evaluator: EvidenceEvaluator,
    trips: TripSet,
    pending: Option<PlannerAction>,
    last_reports: [Option<u64>; HOSTS],
}

/// State of the simulation.
pub(crate) struct RolloutSimulation {
    second: u64,
    rng: ChaCha8Rng,
    plan: TrafficPlan,
    planner: RolloutPlanner,
    hosts: Vec<Host>,
    planners: Vec<Planner>,
    stored: Option<RolloutState>,
    store_down_until: u64,
    last_token: u64,
    is_response_lost: bool,
    messages: Vec<Message>,
    faulty_from: u64,
    failure_rate: f64,
    actual_requests: BTreeMap<SampleKey, u64>,
    trips: usize,
}

/// Runs a simulation and returns its final state; the oracle panics on a violated invariant.
pub(crate) fn run_simulation(u: &mut Unstructured<'_>) -> Result<RolloutSimulation> {
    let mut simulation = RolloutSimulation::new(u)?;
    while !u.is_empty() && simulation.second < DEADLINE_SECONDS + 60 {
        simulation.second += 1;
        simulation.inject_fault(u)?;
        simulation.serve_requests();
        simulation.gossip(u)?;
        for idx in 0..PLANNERS {
            simulation.run_planner(idx, u)?;
        }
        simulation.deliver_messages(u)?;
        simulation.check_hosts();
    }
    Ok(simulation)
}

fn routes() -> Vec<RouteId> {
    ROUTES.iter().map(|it| id(it.0)).collect()
}

fn host_ids() -> Vec<HostId> {
    (0..HOSTS).map(|it| id(&format!("host-{it}"))).collect()
}

impl Host {
    fn new(
        incarnation: u64,
        plan: &TrafficPlan,
        base: &ShareMap,
        planner: &RolloutPlanner,
    ) -> Self {
        Self {
            incarnation: IncarnationId(incarnation),
            partitioned_until: 0,
            view: RolloutView::new(plan, base),
            trips: TripSet::default(),
            local_trip: LocalTrip::new(planner.traffic(), &routes(), HOSTS),
            last_share: TrafficShare::NONE,
            saw_trip: false,
            saw_revert: false,
        }
    }

    fn apply_trip(&mut self, notice: &TripNotice) {
        self.trips.merge(notice);
        self.saw_trip = true;
    }
}

impl Planner {
    fn new(planner: &RolloutPlanner) -> Self {
        Self {
            token: None,
            paused_until: 0,
            state: None,
            ledger: EvidenceLedger::new(&planner.traffic().versions(), &routes()),
            evaluator: EvidenceEvaluator::new(planner.traffic(), &routes()),
            trips: TripSet::default(),
            pending: None,
            last_reports: [None; HOSTS],
        }
    }
}

impl RolloutSimulation {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let base: ShareMap = BTreeMap::from([(id("old"), TrafficShare::WHOLE)]);
        let plan = TrafficPlan {
            id: id("move"),
            target: BTreeMap::from([(id("new"), TrafficShare::WHOLE)]),
            deadline: WallTime(DEADLINE_SECONDS * 1_000),
            cap: TrafficShare::percent(u.int_in_range(10..=50)?),
        };
        let planner = RolloutPlanner::new(&plan, &base);
        let (is_faulty, failure_rate) = (u.ratio(1, 2)?, if u.arbitrary()? { 1.0 } else { 0.3 });
        Ok(Self {
            second: 0,
            rng: ChaCha8Rng::seed_from_u64(u.arbitrary()?),
            hosts: (0..HOSTS).map(|_| Host::new(1, &plan, &base, &planner)).collect(),
            planners: (0..PLANNERS).map(|_| Planner::new(&planner)).collect(),
            plan,
            planner,
            stored: None,
            store_down_until: 0,
            last_token: 0,
            is_response_lost: false,
            messages: Vec::new(),
            faulty_from: if is_faulty { u.int_in_range(0..=200)? } else { u64::MAX },
            failure_rate,
            actual_requests: BTreeMap::new(),
            trips: 0,
        })
    }

    /// Returns whether the rollout completed.
    pub(crate) fn is_done(&self) -> bool {
        self.stored.as_ref().is_some_and(|it| it.verdict == RolloutVerdict::Done)
    }

    /// Returns whether the rollout was reverted.
    pub(crate) fn is_reverted(&self) -> bool {
        self.stored.as_ref().is_some_and(|it| it.verdict == RolloutVerdict::Reverted)
    }

    /// Returns whether a host tripped.
    pub(crate) fn has_trip(&self) -> bool {
        self.trips > 0
    }

    fn wall(&self) -> WallTime {
        WallTime(self.second * 1_000)
    }

    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let is_role_held = self.planners.iter().any(|it| it.token.is_some());
        if !is_role_held && self.second.is_multiple_of(8) {
            self.acquire_role(u.choose_index(PLANNERS)?);
        }
        let (fault, span) = (u.arbitrary::<u8>()?, u64::from(u.arbitrary::<u8>()? % 30));
        let (host, planner) = (usize::from(fault) % HOSTS, usize::from(fault) % PLANNERS);
        match fault {
            0..4 => {
                let incarnation = self.hosts[host].incarnation.0 + 1;
                let base = self.planner.traffic().base();
                self.hosts[host] = Host::new(incarnation, &self.plan, base, &self.planner);
            }
            4..6 => self.planners[planner] = Planner::new(&self.planner),
            6..10 => self.planners[planner].paused_until = self.second + span,
            10..12 => self.acquire_role(planner),
            12 => self.store_down_until = self.second + 4 * span,
            13..16 => self.is_response_lost = true,
            16..20 => self.hosts[host].partitioned_until = self.second + span,
            _ => {}
        }
        Ok(())
    }

    /// Assigns the role to a planner; the previous holder does not notice, as after a pause.
    fn acquire_role(&mut self, idx: usize) {
        self.last_token += 1;
        self.planners[idx].token = Some(FencingToken(self.last_token));
    }

    fn serve_requests(&mut self) {
        let (now, is_faulty) = (self.wall(), self.second >= self.faulty_from);
        for idx in 0..HOSTS {
            let host = &mut self.hosts[idx];
            host.view.advance(now);
            let shares = host.view.shares(&host.trips, now);
            let share = shares.get(&id::<VersionId>("new")).copied().unwrap_or_default();
            for (route, requests) in ROUTES {
                for _ in 0..requests {
                    let is_new = self.rng.random_range(0..1_000_000) < share.0;
                    let failure_rate = if is_new && is_faulty { self.failure_rate } else { 0.003 };
                    let key: SampleKey = (id(if is_new { "new" } else { "old" }), id(route));
                    let latency = self.rng.random_range(10_000..30_000);
                    host.local_trip.record(
                        &key.0,
                        &key.1,
                        !self.rng.random_bool(failure_rate),
                        latency,
                    );
                    *self.actual_requests.entry(key).or_default() += 1;
                }
            }
            let Some((version, reason)) = host.local_trip.tripped() else { continue };
            let (plan, version, reason) = (self.plan.id.clone(), version.clone(), reason.clone());
            let notice = TripNotice { plan, version, host: host_ids()[idx].clone(), reason };
            host.apply_trip(&notice);
            self.trips += 1;
            self.messages.extend((0..HOSTS).map(|it| Message::Trip(it, notice.clone())));
            self.messages.extend((0..PLANNERS).map(|it| Message::PlannerTrip(it, notice.clone())));
        }
    }

    fn gossip(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for idx in 0..HOSTS {
            let (host, peer) = (&self.hosts[idx], u.choose_index(HOSTS)?);
            self.messages.extend(host.view.newest().map(|it| Message::Shares(peer, it.clone())));
            let trips = host.trips.notices();
            self.messages.extend(trips.into_iter().map(|it| Message::Trip(peer, it)));
        }
        Ok(())
    }

    fn run_planner(&mut self, idx: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let (now, mono) = (self.wall(), MonoTime(self.second * 1_000_000));
        let Some(token) = self.planners[idx].token else { return Ok(()) };
        if self.planners[idx].paused_until > self.second {
            return Ok(());
        }
        if let Some(pending) = self.planners[idx].pending.take() {
            self.write(idx, pending);
        }
        let is_store_up = self.store_down_until <= self.second;
        let planner = &mut self.planners[idx];
        // Otherwise the planner continues with its cached state.
        if is_store_up && u.ratio(7, 8)? {
            planner.state = self.stored.clone();
        }
        if let Some(state) = &planner.state {
            planner.evaluator.enter_step(state.step, mono);
        }
        planner.evaluator.update(&planner.ledger.totals(), mono);
        for (key, counts) in planner.ledger.totals() {
            assert!(
                counts.total() <= self.actual_requests[&key],
                "outcomes of {key:?} are counted twice"
            );
        }
        let hosts = host_ids();
        let fresh = planner.ledger.fresh_hosts(&hosts, mono, REPORT_AGE);
        let action = self.planner.decide(&PlannerInput {
            state: planner.state.as_ref(),
            evaluator: &planner.evaluator,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(HOSTS),
            trips: &planner.trips,
            token,
            limits: PlannerLimits::default(),
            now,
        });
        for (host, served) in self.hosts.iter().enumerate() {
            let counts = served.local_trip.counts().clone();
            let (incarnation, requested_at) = (served.incarnation, self.second);
            self.messages.push(Message::Report {
                planner: idx,
                host,
                incarnation,
                requested_at,
                counts,
            });
        }
        if let PlannerAction::Write { .. } = action {
            if u.ratio(1, 4)? {
                planner.pending = Some(action);
            } else {
                self.write(idx, action);
            }
        }
        Ok(())
    }

    fn write(&mut self, idx: usize, action: PlannerAction) {
        let PlannerAction::Write { expected, state, send_before } = action else { return };
        let found = self.stored.as_ref().map(|it| (it.token, it.step));
        if self.wall() > send_before || self.store_down_until > self.second || found != expected {
            return;
        }
        self.check_write(idx, &state);
        self.stored = Some(state.clone());
        if std::mem::take(&mut self.is_response_lost) {
            return;
        }
        let notice = ShareNotice::from(&state);
        self.planners[idx].state = Some(state);
        self.messages.extend((0..HOSTS).map(|it| Message::Shares(it, notice.clone())));
    }

    fn check_write(&self, idx: usize, state: &RolloutState) {
        let sum: u32 = state.shares.values().map(|it| it.0).sum();
        assert_eq!(sum, TrafficShare::WHOLE.0, "shares do not add up to the whole: {state:?}");
        let Some(before) = &self.stored else {
            assert_eq!(state.moved, TrafficShare::NONE);
            return;
        };
        assert!(before.verdict != RolloutVerdict::Reverted, "{state:?} follows a reverted state");
        if state.moved <= before.moved {
            return;
        }
        let increase = state.moved.saturating_sub(before.moved);
        assert!(increase <= self.plan.cap, "step of {increase} exceeds the cap {}", self.plan.cap);
        assert!(
            state.moved.0 <= (before.moved.0 * 3).max(10_000),
            "step of {increase} exceeds the warm-up factor"
        );
        assert!(
            state.stepped_at >= before.stepped_at.after(STEP_INTERVAL),
            "step before the end of the step interval"
        );
        let oldest = self.second.saturating_sub(REPORT_AGE.as_secs() + MAX_SEND_SECONDS);
        let last_reports = &self.planners[idx].last_reports;
        assert!(
            last_reports.iter().all(|it| it.is_some_and(|that| that >= oldest)),
            "share increases at {} s on stale reports: {last_reports:?}",
            self.second
        );
        assert!(self.wall() < self.plan.deadline, "share increases after the deadline");
    }

    /// Delivers, drops, duplicates or delays each message, in random order.
    fn deliver_messages(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut queued = std::mem::take(&mut self.messages);
        // A store watch also delivers the state to a host.
        if self.store_down_until <= self.second {
            let host = u.choose_index(HOSTS)?;
            queued
                .extend(self.stored.iter().map(|it| Message::Shares(host, ShareNotice::from(it))));
        }
        while !queued.is_empty() {
            let order = u.arbitrary::<u8>()?;
            let message = queued.swap_remove(usize::from(order) % queued.len());
            match u.arbitrary::<u8>()? {
                0..5 => {}
                5..12 => self.messages.push(message),
                12..20 => {
                    self.messages.push(message.clone());
                    self.receive(message);
                }
                _ => self.receive(message),
            }
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) {
        let now = self.wall();
        let is_partitioned = |it: &Host| it.partitioned_until > self.second;
        match message {
            Message::Shares(host, notice) if !is_partitioned(&self.hosts[host]) => {
                let host = &mut self.hosts[host];
                host.view.merge(&notice, now);
                host.saw_revert |= notice.verdict == RolloutVerdict::Reverted;
            }
            Message::Trip(host, notice) if !is_partitioned(&self.hosts[host]) => {
                self.hosts[host].apply_trip(&notice);
            }
            Message::PlannerTrip(planner, notice) => self.planners[planner].trips.merge(&notice),
            Message::Report { planner, host, incarnation, requested_at, counts }
                if !is_partitioned(&self.hosts[host]) =>
            {
                let receiver = &mut self.planners[planner];
                let requested = MonoTime(requested_at * 1_000_000);
                receiver.ledger.merge(&host_ids()[host], incarnation, requested, &counts);
                receiver.last_reports[host] = receiver.last_reports[host].max(Some(requested_at));
            }
            _ => {}
        }
    }

    fn check_hosts(&mut self) {
        let now = self.wall();
        for (idx, host) in self.hosts.iter_mut().enumerate() {
            host.view.advance(now);
            let shares = host.view.shares(&host.trips, now);
            let share = shares.get(&id::<VersionId>("new")).copied().unwrap_or_default();
            let increase = share.saturating_sub(host.last_share);
            let cap = self.plan.cap;
            assert!(increase <= cap, "host {idx}: increase of {increase} exceeds the cap {cap}");
            host.last_share = share;
            let verdict = host.view.newest().map(|it| it.verdict);
            let is_past_deadline =
                now >= self.plan.deadline && verdict != Some(RolloutVerdict::Done);
            let must_be_reverted = host.saw_trip || host.saw_revert || is_past_deadline;
            assert!(
                !must_be_reverted || share == TrafficShare::NONE,
                "host {idx} has share {share}: trip {}, revert {}, past deadline {is_past_deadline}",
                host.saw_trip,
                host.saw_revert
            );
            let draw = self.rng.random_range(0..1_000_000);
            let chosen = host.view.choose(&host.trips, now, draw);
            assert!(
                share > TrafficShare::NONE || chosen == Some(id("old")),
                "host {idx} chose {chosen:?}"
            );
        }
        let fails_every_request = self.faulty_from == 0 && self.failure_rate >= 1.0;
        assert!(
            !fails_every_request || !self.is_done(),
            "a version that always fails was rolled out"
        );
    }
}

//! Hosts, planners, a store and messages between them, with the oracle.

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
/// Longest time in seconds from a decision to its write.
const SEND_SECONDS: u64 = 1;
const DEADLINE: u64 = 240;

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
        asked_at: u64,
        counts: BTreeMap<SampleKey, OutcomeCounts>,
    },
}

struct Host {
    incarnation: IncarnationId,
    cut_until: u64,
    view: RolloutView,
    trips: TripSet,
    tally: LocalTrip,
    last_share: TrafficShare,
    saw_trip: bool,
    saw_revert: bool,
}

struct Planner {
    token: Option<FencingToken>,
    paused_until: u64,
    state: Option<RolloutState>,
    ledger: EvidenceLedger,
    judge: EvidenceEvaluator,
    trips: TripSet,
    pending: Option<PlannerAction>,
    answered: [Option<u64>; HOSTS],
}

/// World of one rollout.
pub(crate) struct World {
    second: u64,
    rng: ChaCha8Rng,
    plan: TrafficPlan,
    planner: RolloutPlanner,
    hosts: Vec<Host>,
    planners: Vec<Planner>,
    stored: Option<RolloutState>,
    store_down_until: u64,
    last_token: u64,
    is_answer_lost: bool,
    messages: Vec<Message>,
    bad_from: u64,
    failing: f64,
    truth: BTreeMap<SampleKey, u64>,
    trips: usize,
}

/// Runs a world and answers its end; the oracle panics on a broken rule.
pub(crate) fn run_world(u: &mut Unstructured<'_>) -> Result<World> {
    let mut world = World::new(u)?;
    while !u.is_empty() && world.second < DEADLINE + 60 {
        world.second += 1;
        world.inject_fault(u)?;
        world.serve();
        world.gossip(u)?;
        for idx in 0..PLANNERS {
            world.run_planner(idx, u)?;
        }
        world.deliver(u)?;
        world.check_hosts();
    }
    Ok(world)
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
            cut_until: 0,
            view: RolloutView::new(plan, base),
            trips: TripSet::default(),
            tally: LocalTrip::new(planner.traffic(), &routes(), HOSTS),
            last_share: TrafficShare::NONE,
            saw_trip: false,
            saw_revert: false,
        }
    }

    fn take_trip(&mut self, notice: &TripNotice) {
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
            judge: EvidenceEvaluator::new(planner.traffic(), &routes()),
            trips: TripSet::default(),
            pending: None,
            answered: [None; HOSTS],
        }
    }
}

impl World {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let base: ShareMap = BTreeMap::from([(id("old"), TrafficShare::WHOLE)]);
        let plan = TrafficPlan {
            id: id("move"),
            target: BTreeMap::from([(id("new"), TrafficShare::WHOLE)]),
            deadline: WallTime(DEADLINE * 1_000),
            cap: TrafficShare::percent(u.int_in_range(10..=50)?),
        };
        let planner = RolloutPlanner::new(&plan, &base);
        let (is_bad, failing) = (u.ratio(1, 2)?, if u.arbitrary()? { 1.0 } else { 0.3 });
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
            is_answer_lost: false,
            messages: Vec::new(),
            bad_from: if is_bad { u.int_in_range(0..=200)? } else { u64::MAX },
            failing,
            truth: BTreeMap::new(),
            trips: 0,
        })
    }

    /// Whether the move ended well.
    pub(crate) fn is_done(&self) -> bool {
        self.stored.as_ref().is_some_and(|it| it.verdict == RolloutVerdict::Done)
    }

    /// Whether the move was taken back.
    pub(crate) fn is_reverted(&self) -> bool {
        self.stored.as_ref().is_some_and(|it| it.verdict == RolloutVerdict::Reverted)
    }

    /// Whether a host tripped.
    pub(crate) fn has_trip(&self) -> bool {
        self.trips > 0
    }

    fn wall(&self) -> WallTime {
        WallTime(self.second * 1_000)
    }

    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let held = self.planners.iter().any(|it| it.token.is_some());
        if !held && self.second.is_multiple_of(8) {
            self.take_role(u.choose_index(PLANNERS)?);
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
            10..12 => self.take_role(planner),
            12 => self.store_down_until = self.second + 4 * span,
            13..16 => self.is_answer_lost = true,
            16..20 => self.hosts[host].cut_until = self.second + span,
            _ => {}
        }
        Ok(())
    }

    /// The former holder is not told, as after a pause.
    fn take_role(&mut self, idx: usize) {
        self.last_token += 1;
        self.planners[idx].token = Some(FencingToken(self.last_token));
    }

    fn serve(&mut self) {
        let (now, is_bad) = (self.wall(), self.second >= self.bad_from);
        for idx in 0..HOSTS {
            let host = &mut self.hosts[idx];
            host.view.advance(now);
            let shares = host.view.shares(&host.trips, now);
            let share = shares.get(&id::<VersionId>("new")).copied().unwrap_or_default();
            for (route, requests) in ROUTES {
                for _ in 0..requests {
                    let is_new = self.rng.random_range(0..1_000_000) < share.0;
                    let failing = if is_new && is_bad { self.failing } else { 0.003 };
                    let key: SampleKey = (id(if is_new { "new" } else { "old" }), id(route));
                    let latency = self.rng.random_range(10_000..30_000);
                    host.tally.record(&key.0, &key.1, !self.rng.random_bool(failing), latency);
                    *self.truth.entry(key).or_default() += 1;
                }
            }
            let Some((version, reason)) = host.tally.tripped() else { continue };
            let (plan, version, reason) = (self.plan.id.clone(), version.clone(), reason.clone());
            let notice = TripNotice { plan, version, host: host_ids()[idx].clone(), reason };
            host.take_trip(&notice);
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
        // Now and then the planner goes on with the state that it remembers.
        if is_store_up && u.ratio(7, 8)? {
            planner.state = self.stored.clone();
        }
        if let Some(state) = &planner.state {
            planner.judge.enter_step(state.step, mono);
        }
        planner.judge.update(&planner.ledger.totals(), mono);
        for (key, counted) in planner.ledger.totals() {
            assert!(counted.total() <= self.truth[&key], "outcomes of {key:?} were counted twice");
        }
        let hosts = host_ids();
        let fresh = planner.ledger.fresh_hosts(&hosts, mono, REPORT_AGE);
        let action = self.planner.decide(&PlannerInput {
            state: planner.state.as_ref(),
            evaluator: &planner.judge,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(HOSTS),
            trips: &planner.trips,
            token,
            limits: PlannerLimits::default(),
            now,
        });
        for (host, served) in self.hosts.iter().enumerate() {
            let counts = served.tally.counts().clone();
            let (incarnation, asked_at) = (served.incarnation, self.second);
            self.messages.push(Message::Report {
                planner: idx,
                host,
                incarnation,
                asked_at,
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
        if std::mem::take(&mut self.is_answer_lost) {
            return;
        }
        let notice = ShareNotice::from(&state);
        self.planners[idx].state = Some(state);
        self.messages.extend((0..HOSTS).map(|it| Message::Shares(it, notice.clone())));
    }

    fn check_write(&self, idx: usize, state: &RolloutState) {
        let sum: u32 = state.shares.values().map(|it| it.0).sum();
        assert_eq!(sum, TrafficShare::WHOLE.0, "shares of {state:?}");
        let Some(before) = &self.stored else {
            assert_eq!(state.moved, TrafficShare::NONE);
            return;
        };
        assert!(before.verdict != RolloutVerdict::Reverted, "{state:?} follows a reverted state");
        if state.moved <= before.moved {
            return;
        }
        let rise = state.moved.saturating_sub(before.moved);
        assert!(rise <= self.plan.cap, "step of {rise} over the cap {}", self.plan.cap);
        assert!(
            state.moved.0 <= (before.moved.0 * 3).max(10_000),
            "step of {rise} onto cold caches"
        );
        assert!(
            state.stepped_at >= before.stepped_at.after(STEP_INTERVAL),
            "steps follow too closely"
        );
        let oldest = self.second.saturating_sub(REPORT_AGE.as_secs() + SEND_SECONDS);
        let answered = &self.planners[idx].answered;
        assert!(
            answered.iter().all(|it| it.is_some_and(|that| that >= oldest)),
            "share rises at {} on reports of {answered:?}",
            self.second
        );
        assert!(self.wall() < self.plan.deadline, "share rises after the deadline");
    }

    /// Delivers, drops, doubles or keeps each message, in any order.
    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut waiting = std::mem::take(&mut self.messages);
        // A store watch brings the state to a host as well.
        if self.store_down_until <= self.second {
            let host = u.choose_index(HOSTS)?;
            waiting
                .extend(self.stored.iter().map(|it| Message::Shares(host, ShareNotice::from(it))));
        }
        while !waiting.is_empty() {
            let order = u.arbitrary::<u8>()?;
            let message = waiting.swap_remove(usize::from(order) % waiting.len());
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
        let is_cut = |it: &Host| it.cut_until > self.second;
        match message {
            Message::Shares(host, notice) if !is_cut(&self.hosts[host]) => {
                let host = &mut self.hosts[host];
                host.view.merge(&notice, now);
                host.saw_revert |= notice.verdict == RolloutVerdict::Reverted;
            }
            Message::Trip(host, notice) if !is_cut(&self.hosts[host]) => {
                self.hosts[host].take_trip(&notice);
            }
            Message::PlannerTrip(planner, notice) => self.planners[planner].trips.merge(&notice),
            Message::Report { planner, host, incarnation, asked_at, counts }
                if !is_cut(&self.hosts[host]) =>
            {
                let asker = &mut self.planners[planner];
                let asked = MonoTime(asked_at * 1_000_000);
                asker.ledger.merge(&host_ids()[host], incarnation, asked, &counts);
                asker.answered[host] = asker.answered[host].max(Some(asked_at));
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
            let rise = share.saturating_sub(host.last_share);
            let cap = self.plan.cap;
            assert!(rise <= cap, "host {idx} rises by {rise} over the cap {cap}");
            host.last_share = share;
            let verdict = host.view.newest().map(|it| it.verdict);
            let is_late = now >= self.plan.deadline && verdict != Some(RolloutVerdict::Done);
            let is_over = host.saw_trip || host.saw_revert || is_late;
            assert!(
                !is_over || share == TrafficShare::NONE,
                "host {idx} uses {share}: trip {}, revert {}, late {is_late}",
                host.saw_trip,
                host.saw_revert
            );
            let draw = self.rng.random_range(0..1_000_000);
            let chosen = host.view.choose(&host.trips, now, draw);
            assert!(
                share > TrafficShare::NONE || chosen == Some(id("old")),
                "host {idx}: {chosen:?}"
            );
        }
        let is_bad_at_once = self.bad_from == 0 && self.failing >= 1.0;
        assert!(!is_bad_at_once || !self.is_done(), "a bad version passed");
    }
}

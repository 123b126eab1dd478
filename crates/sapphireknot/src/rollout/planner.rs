//! Decision on the next state of a rollout.
//!
//! The caller reads the state from the store, gathers evidence, asks [`RolloutPlanner::decide`] and writes the answer
//! by compare-and-swap against the revision that it read; the value there must still have the expected token and step.
//! It must hold the planner role by its own clock when it sends the write, send it before its deadline, and tell hosts of a state only after the
//! store confirmed it or a read returned it. After any other answer it reads the state again and decides anew.

use std::time::Duration;

use crate::{
    config::TrafficPlan,
    ids::FencingToken,
    rollout::{
        EvidenceEvaluator, RolloutState, RolloutTiming, RolloutVerdict, RouteAssessment, ShareMap,
        TrafficMove, TripSet,
    },
    time::WallTime,
    units::TrafficShare,
};

/// Largest first step.
pub const FIRST_SHARE: TrafficShare = TrafficShare::percent(1);
/// Age at which the reports of a host are stale; two gossip intervals.
pub const REPORT_AGE: Duration = Duration::from_secs(2);
/// Longest time from a decision to its write, so that a pause in between does not raise a share on old evidence.
const SEND_TIME: Duration = Duration::from_secs(1);
/// Parts of the whole time of which the last is spared.
const SPARE_PARTS: u32 = 10;

/// Bounds of a step besides the cap of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLimits {
    /// Growth of the moved traffic in one step, as a whole factor; caches of new servers warm up in between.
    pub warmup_factor: u32,
    /// Further bound of a step, such as what links bear.
    pub step_limit: Option<TrafficShare>,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self { warmup_factor: 3, step_limit: None }
    }
}

/// What a decision rests on.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// State as last read from the store; none before the first.
    pub state: Option<&'a RolloutState>,
    /// Evidence.
    pub evaluator: &'a EvidenceEvaluator,
    /// Whether enough live hosts answered lately; see [`RolloutPlanner::needed_hosts`].
    pub is_fresh: bool,
    /// Trips known to this host.
    pub trips: &'a TripSet,
    /// Token of the planner role.
    pub token: FencingToken,
    /// Bounds.
    pub limits: PlannerLimits,
    /// Time.
    pub now: WallTime,
}

/// What the planner wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Write this state if the stored one still has the expected token and step.
    Write {
        /// Token and step of the state that is replaced; none if there is none.
        expected: Option<(FencingToken, u64)>,
        /// New state.
        state: RolloutState,
        /// When the evidence is too old to send the write.
        send_before: WallTime,
    },
    /// Nothing changes now.
    Hold {
        /// What it waits for.
        reason: String,
    },
}

/// Planner of one traffic plan.
#[derive(Debug, Clone)]
pub struct RolloutPlanner {
    plan: TrafficPlan,
    traffic: TrafficMove,
    timing: RolloutTiming,
}

impl RolloutPlanner {
    /// A planner of `plan`, which starts from the shares `base`.
    pub fn new(plan: &TrafficPlan, base: &ShareMap) -> Self {
        let timing = RolloutTiming::default();
        Self { plan: plan.clone(), traffic: TrafficMove::new(plan, base), timing }
    }

    /// The same planner with other times.
    pub fn with_timing(self, timing: RolloutTiming) -> Self {
        Self { timing, ..self }
    }

    /// The move that is planned.
    pub fn traffic(&self) -> &TrafficMove {
        &self.traffic
    }

    /// Hosts whose reports a rise needs: all but a tenth, rounded down.
    pub fn needed_hosts(live: usize) -> usize {
        (live - live / 10).max(1)
    }

    /// The next action.
    pub fn decide(&self, input: &PlannerInput<'_>) -> PlannerAction {
        let Some(state) = input.state.filter(|it| it.plan == self.plan.id) else {
            return self.begin(input);
        };
        if input.token < state.token {
            return hold("another host is the planner");
        }
        if state.verdict == RolloutVerdict::Reverted {
            return hold("reverted");
        }
        let trip = self.traffic.rising().into_iter().find_map(|it| {
            input
                .trips
                .reason(&self.plan.id, &it)
                .map(|that| format!("version {it} tripped: {that}"))
        });
        let rejection = input.evaluator.rejection().map(|it| it.1.clone());
        if let Some(reason) = trip.or(rejection) {
            return self.revert(input, state, reason);
        }
        if state.verdict == RolloutVerdict::Done {
            return hold("done");
        }
        let steps = self.steps_left(state.moved, input.limits);
        let finish = self.finish_by(state.started_at);
        let next_at = input.now.max(state.stepped_at.after(self.timing.step_interval));
        let last_at = |steps: u32| next_at.after(self.timing.step_interval * (steps - 1));
        let Some(steps) = steps.filter(|it| last_at(*it) <= finish) else {
            let reason = match self.blocking(input, state, 1) {
                Some(cause) => format!("target not reachable before the deadline: {cause}"),
                None => "target not reachable before the deadline".to_owned(),
            };
            return self.revert(input, state, reason);
        };
        if let Some(reason) = self.blocking(input, state, steps) {
            return PlannerAction::Hold { reason };
        }
        self.advance(input, state)
    }

    fn begin(&self, input: &PlannerInput<'_>) -> PlannerAction {
        if input.state.is_some_and(|it| input.token < it.token) {
            return hold("another host is the planner");
        }
        let state = RolloutState {
            plan: self.plan.id.clone(),
            token: input.token,
            step: input.state.map_or(1, |it| it.step + 1),
            moved: TrafficShare::NONE,
            shares: self.traffic.base().clone(),
            verdict: RolloutVerdict::Running,
            reason: None,
            started_at: input.now,
            stepped_at: input.now,
        };
        let expected = input.state.map(|it| (it.token, it.step));
        PlannerAction::Write { expected, state, send_before: input.now.after(SEND_TIME) }
    }

    fn revert(
        &self,
        input: &PlannerInput<'_>,
        state: &RolloutState,
        reason: String,
    ) -> PlannerAction {
        self.write(input, state, TrafficShare::NONE, RolloutVerdict::Reverted, Some(reason))
    }

    fn advance(&self, input: &PlannerInput<'_>, state: &RolloutState) -> PlannerAction {
        if state.moved < self.traffic.whole() {
            let moved = self.next_moved(state.moved, input.limits);
            return self.write(input, state, moved, RolloutVerdict::Running, None);
        }
        let unproven =
            input.evaluator.assessments().into_iter().filter(|it| it.1 != RouteAssessment::Passed);
        let names: Vec<_> = unproven.map(|(key, _)| key.1.to_string()).collect();
        let reason =
            (!names.is_empty()).then(|| format!("too little traffic on: {}", names.join(", ")));
        self.write(input, state, state.moved, RolloutVerdict::Done, reason)
    }

    fn write(
        &self,
        input: &PlannerInput<'_>,
        state: &RolloutState,
        moved: TrafficShare,
        verdict: RolloutVerdict,
        reason: Option<String>,
    ) -> PlannerAction {
        let next = RolloutState {
            plan: state.plan.clone(),
            token: input.token,
            step: state.step + 1,
            moved,
            shares: self.traffic.shares_at(moved),
            verdict,
            reason,
            started_at: state.started_at,
            stepped_at: input.now,
        };
        let expected = Some((state.token, state.step));
        PlannerAction::Write { expected, state: next, send_before: input.now.after(SEND_TIME) }
    }

    /// What speaks against a step now.
    fn blocking(
        &self,
        input: &PlannerInput<'_>,
        state: &RolloutState,
        steps: u32,
    ) -> Option<String> {
        if !input.is_fresh {
            return Some("measurements of too many hosts are missing or stale".to_owned());
        }
        if input.evaluator.step() != state.step {
            return Some("no evidence of this step yet".to_owned());
        }
        if input.now < state.stepped_at.after(self.timing.step_interval) {
            return Some("hosts are taking up the last step".to_owned());
        }
        if state.moved < self.traffic.whole()
            && self.next_moved(state.moved, input.limits) <= state.moved
        {
            return Some("the step limit allows no step".to_owned());
        }
        if state.moved == TrafficShare::NONE {
            return None;
        }
        if !input.evaluator.is_exercised() {
            return Some("the new version has no requests".to_owned());
        }
        // A route with little traffic may use an equal part of the time left; then its few outcomes must do.
        let time_left = state.stepped_at.until(self.finish_by(state.started_at));
        let is_patient = input.now < state.stepped_at.after(time_left / (steps + 1));
        let blocks = |assessment| match assessment {
            RouteAssessment::Passed => false,
            RouteAssessment::TooFewSamples | RouteAssessment::NoTraffic => is_patient,
            RouteAssessment::Adverse | RouteAssessment::NotExercised => true,
        };
        let mut assessments = input.evaluator.assessments().into_iter();
        let (key, assessment) = assessments.find(|it| blocks(it.1))?;
        let cause = match assessment {
            RouteAssessment::NotExercised => "the old version has requests and the new one none",
            RouteAssessment::Adverse => "outcomes speak against the new version",
            _ => "too few outcomes of the new version",
        };
        Some(format!("route {}: {cause}", key.1))
    }

    fn finish_by(&self, started_at: WallTime) -> WallTime {
        let spare =
            (started_at.until(self.plan.deadline) / SPARE_PARTS).max(self.timing.spare_time);
        let millis = u64::try_from(spare.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.plan.deadline.0.saturating_sub(millis))
    }

    fn next_moved(&self, moved: TrafficShare, limits: PlannerLimits) -> TrafficShare {
        let step = self.plan.cap.min(limits.step_limit.unwrap_or(TrafficShare::WHOLE));
        let grown = TrafficShare(moved.0.saturating_mul(limits.warmup_factor)).max(FIRST_SHARE);
        let mut next =
            TrafficShare(moved.0.saturating_add(step.0)).min(grown).min(self.traffic.whole());
        // Rounding may give one version of several a millionth more than its part.
        let now = self.traffic.shares_at(moved);
        while next > moved && risen(&now, &self.traffic.shares_at(next)) > step.0 {
            next = TrafficShare(next.0 - 1);
        }
        next
    }

    /// Writes until the verdict, the one that sets it included; none if no step is possible.
    fn steps_left(&self, moved: TrafficShare, limits: PlannerLimits) -> Option<u32> {
        let (mut moved, mut steps) = (moved, 1);
        while moved < self.traffic.whole() {
            let next = self.next_moved(moved, limits);
            if next <= moved || steps >= 10_000 {
                // A closed limit may open again; only the time spent waiting counts against the plan.
                return (next <= moved).then_some(steps + 1);
            }
            (moved, steps) = (next, steps + 1);
        }
        Some(steps)
    }
}

fn risen(from: &ShareMap, to: &ShareMap) -> u32 {
    to.iter()
        .map(|(it, share)| share.saturating_sub(from.get(it).copied().unwrap_or_default()).0)
        .sum()
}

fn hold(reason: &str) -> PlannerAction {
    PlannerAction::Hold { reason: reason.to_owned() }
}

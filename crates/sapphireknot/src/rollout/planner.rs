//! Decisions on the next state of a rollout.
//!
//! The caller reads the state from the store, collects evidence, calls [`RolloutPlanner::decide`] and writes the result
//! by compare-and-swap against the revision that it read; the stored value must still have the expected token and step.
//! The caller must hold the planner role by its own clock when it sends the write, and must send it before its
//! deadline. It distributes a state only after the store has confirmed it or a read has returned it. After any other
//! answer it reads the state again and makes a new decision.

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

/// Largest share that the first step may move.
pub const FIRST_SHARE: TrafficShare = TrafficShare::percent(1);
/// Age from which the reports of a host are stale; two gossip intervals.
pub const REPORT_AGE: Duration = Duration::from_secs(2);
/// Longest time from a decision to its write, so that a pause in between cannot raise a share on stale evidence.
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);
/// The time reserved before the deadline is one part in this many of the duration of the plan.
const SPARE_DIVISOR: u32 = 10;

/// Limits of a step in addition to the cap of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerLimits {
    /// Largest factor by which a step may raise the moved traffic, so that the caches of new servers can warm up.
    pub warmup_factor: u32,
    /// Additional limit of a step, such as the capacity of links.
    pub step_limit: Option<TrafficShare>,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self { warmup_factor: 3, step_limit: None }
    }
}

/// Input of a decision.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// State as last read from the store; `None` if there is none yet.
    pub state: Option<&'a RolloutState>,
    /// Evaluation of the evidence.
    pub evaluator: &'a EvidenceEvaluator,
    /// Whether enough live hosts have answered recently; see [`RolloutPlanner::needed_hosts`].
    pub is_fresh: bool,
    /// Trips known to this host.
    pub trips: &'a TripSet,
    /// Token of the planner role.
    pub token: FencingToken,
    /// Limits of a step.
    pub limits: PlannerLimits,
    /// Current time.
    pub now: WallTime,
}

/// Action that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Write this state if the stored one still has the expected token and step.
    Write {
        /// Token and step of the state to be replaced; `None` if there is none.
        expected: Option<(FencingToken, u64)>,
        /// New state.
        state: RolloutState,
        /// Time from which the evidence is too old to send the write.
        send_before: WallTime,
    },
    /// Do not change the state.
    Hold {
        /// What the planner is waiting for.
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
    /// Creates a planner of `plan`, which starts from the shares `base`.
    pub fn new(plan: &TrafficPlan, base: &ShareMap) -> Self {
        let timing = RolloutTiming::default();
        Self { plan: plan.clone(), traffic: TrafficMove::new(plan, base), timing }
    }

    /// Returns the planner with other timing.
    pub fn with_timing(self, timing: RolloutTiming) -> Self {
        Self { timing, ..self }
    }

    /// The move of the plan.
    pub fn traffic(&self) -> &TrafficMove {
        &self.traffic
    }

    /// Number of hosts whose reports are required to raise a share: all but a tenth of them, rounded down.
    pub fn needed_hosts(live: usize) -> usize {
        (live - live / 10).max(1)
    }

    /// Decides on the next action.
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
            let reason = match self.blocking_reason(input, state, 1) {
                Some(cause) => format!("target not reachable before the deadline: {cause}"),
                None => "target not reachable before the deadline".to_owned(),
            };
            return self.revert(input, state, reason);
        };
        if let Some(reason) = self.blocking_reason(input, state, steps) {
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
        PlannerAction::Write { expected, state, send_before: input.now.after(MAX_SEND_DELAY) }
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
        PlannerAction::Write { expected, state: next, send_before: input.now.after(MAX_SEND_DELAY) }
    }

    /// The reason why no step may be taken now.
    fn blocking_reason(
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
        // A route with little traffic may wait for an equal part of the time left; then its few outcomes suffice.
        let time_left = state.stepped_at.until(self.finish_by(state.started_at));
        let may_wait = input.now < state.stepped_at.after(time_left / (steps + 1));
        let blocks = |assessment| match assessment {
            RouteAssessment::Passed => false,
            RouteAssessment::TooFewSamples | RouteAssessment::NoTraffic => may_wait,
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
            (started_at.until(self.plan.deadline) / SPARE_DIVISOR).max(self.timing.spare_time);
        let millis = u64::try_from(spare.as_millis()).unwrap_or(u64::MAX);
        WallTime(self.plan.deadline.0.saturating_sub(millis))
    }

    fn next_moved(&self, moved: TrafficShare, limits: PlannerLimits) -> TrafficShare {
        let step = self.plan.cap.min(limits.step_limit.unwrap_or(TrafficShare::WHOLE));
        let grown = TrafficShare(moved.0.saturating_mul(limits.warmup_factor)).max(FIRST_SHARE);
        let mut next =
            TrafficShare(moved.0.saturating_add(step.0)).min(grown).min(self.traffic.whole());
        // Rounding may give one of several versions a millionth more than its part.
        let now = self.traffic.shares_at(moved);
        while next > moved && total_increase(&now, &self.traffic.shares_at(next)) > step.0 {
            next = TrafficShare(next.0 - 1);
        }
        next
    }

    /// Number of writes up to and including the verdict; `None` if 10,000 steps do not reach the target.
    fn steps_left(&self, moved: TrafficShare, limits: PlannerLimits) -> Option<u32> {
        let (mut moved, mut steps) = (moved, 1);
        while moved < self.traffic.whole() {
            let next = self.next_moved(moved, limits);
            if next <= moved || steps >= 10_000 {
                // A limit that allows no step now may be raised later; until then only the time spent waiting counts.
                return (next <= moved).then_some(steps + 1);
            }
            (moved, steps) = (next, steps + 1);
        }
        Some(steps)
    }
}

fn total_increase(from: &ShareMap, to: &ShareMap) -> u32 {
    to.iter()
        .map(|(it, share)| share.saturating_sub(from.get(it).copied().unwrap_or_default()).0)
        .sum()
}

fn hold(reason: &str) -> PlannerAction {
    PlannerAction::Hold { reason: reason.to_owned() }
}

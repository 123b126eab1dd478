//! Planning of one service on the host that holds its planner role.

use std::time::Duration;

use sapphireknot::{
    config::{ServiceEntry, TrafficPlan},
    ids::{FencingToken, HostId, RouteId},
    rollout::{
        EvidenceEvaluator, EvidenceLedger, PlannerAction, PlannerInput, PlannerLimits,
        RolloutPlanner, RolloutState, RolloutTiming, ShareMap, TripNotice, TripSet,
    },
    time::{MonoTime, WallTime},
};

use crate::peer::PeerCounts;

/// Counts of one round.
#[derive(Debug)]
pub(super) struct EvidenceRound {
    /// Counts of hosts with the time before they were asked.
    pub(super) counts: Vec<(HostId, MonoTime, PeerCounts)>,
    /// Live hosts.
    pub(super) live: Vec<HostId>,
    /// Time.
    pub(super) now: MonoTime,
}

/// Planner of one plan with its evidence; begun anew when the role, the plan or the routes change.
#[derive(Debug)]
pub(super) struct PlannedService {
    plan: TrafficPlan,
    base: ShareMap,
    routes: Vec<RouteId>,
    token: FencingToken,
    planner: RolloutPlanner,
    ledger: EvidenceLedger,
    judge: EvidenceEvaluator,
    live: Vec<HostId>,
}

impl PlannedService {
    pub(super) fn new(
        entry: &ServiceEntry,
        plan: &TrafficPlan,
        token: FencingToken,
        timing: RolloutTiming,
    ) -> Self {
        let routes: Vec<_> = entry.routes.iter().map(|it| it.id.clone()).collect();
        let planner = RolloutPlanner::new(plan, &entry.versions).with_timing(timing);
        let traffic = planner.traffic();
        let ledger = EvidenceLedger::new(&traffic.versions(), &routes);
        let judge = EvidenceEvaluator::new(traffic, &routes).with_timing(timing);
        let (plan, base) = (plan.clone(), entry.versions.clone());
        Self { plan, base, routes, token, planner, ledger, judge, live: Vec::new() }
    }

    pub(super) fn is_for(
        &self,
        entry: &ServiceEntry,
        plan: &TrafficPlan,
        token: FencingToken,
    ) -> bool {
        self.token == token
            && self.plan == *plan
            && self.base == entry.versions
            && self.routes.iter().eq(entry.routes.iter().map(|it| &it.id))
    }

    pub(super) fn plan(&self) -> &TrafficPlan {
        &self.plan
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes the counts of a round; `state` is what the store held.
    pub(super) fn absorb(&mut self, state: Option<&RolloutState>, round: EvidenceRound) {
        if let Some(state) = state.filter(|it| it.plan == self.plan.id) {
            self.judge.enter_step(state.step, round.now);
        }
        for (host, asked, counts) in &round.counts {
            self.ledger.merge(host, counts.incarnation, *asked, &counts.counts);
        }
        self.judge.update(&self.ledger.totals(), round.now);
        self.live = round.live;
    }

    /// The next action for the state that the store held.
    pub(super) fn decide(
        &self,
        state: Option<&RolloutState>,
        trips: &TripSet,
        max_age: Duration,
        now: MonoTime,
        wall: WallTime,
    ) -> PlannerAction {
        let fresh = self.ledger.fresh_hosts(&self.live, now, max_age);
        self.planner.decide(&PlannerInput {
            state,
            evaluator: &self.judge,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(self.live.len()),
            trips,
            token: self.token,
            limits: PlannerLimits::default(),
            now: wall,
        })
    }

    /// The rejection by the evidence of all hosts, as a trip of the host `own`.
    pub(super) fn rejection_notice(&self, own: &HostId) -> Option<TripNotice> {
        let (version, reason) = self.judge.rejection()?.clone();
        Some(TripNotice { plan: self.plan.id.clone(), version, host: own.clone(), reason })
    }
}

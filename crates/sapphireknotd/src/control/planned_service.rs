//! Rollout planning of one service on the host that holds its planner role.

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

/// Outcome counts collected in one planning round.
#[derive(Debug)]
pub(super) struct EvidenceRound {
    /// Counts per host, with the time just before the host was queried.
    pub(super) counts: Vec<(HostId, MonoTime, PeerCounts)>,
    /// Hosts that are live members.
    pub(super) live_hosts: Vec<HostId>,
    /// Time at which the round is evaluated.
    pub(super) now: MonoTime,
}

/// Planner of one traffic plan and its evidence. Recreated when the role, the plan or the routes change.
#[derive(Debug)]
pub(super) struct PlannedService {
    plan: TrafficPlan,
    base_shares: ShareMap,
    routes: Vec<RouteId>,
    token: FencingToken,
    planner: RolloutPlanner,
    ledger: EvidenceLedger,
    evaluator: EvidenceEvaluator,
    live_hosts: Vec<HostId>,
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
        let evaluator = EvidenceEvaluator::new(traffic, &routes).with_timing(timing);
        let (plan, base_shares) = (plan.clone(), entry.versions.clone());
        Self {
            plan,
            base_shares,
            routes,
            token,
            planner,
            ledger,
            evaluator,
            live_hosts: Vec::new(),
        }
    }

    pub(super) fn matches(
        &self,
        entry: &ServiceEntry,
        plan: &TrafficPlan,
        token: FencingToken,
    ) -> bool {
        self.token == token
            && self.plan == *plan
            && self.base_shares == entry.versions
            && self.routes.iter().eq(entry.routes.iter().map(|it| &it.id))
    }

    pub(super) fn plan(&self) -> &TrafficPlan {
        &self.plan
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    /// Merges the counts of a round into the evidence; `state` is the rollout state read from the store.
    pub(super) fn record_round(&mut self, state: Option<&RolloutState>, round: EvidenceRound) {
        if let Some(state) = state.filter(|it| it.plan == self.plan.id) {
            self.evaluator.enter_step(state.step, round.now);
        }
        for (host, requested_at, counts) in &round.counts {
            self.ledger.merge(host, counts.incarnation, *requested_at, &counts.counts);
        }
        self.evaluator.update(&self.ledger.totals(), round.now);
        self.live_hosts = round.live_hosts;
    }

    /// Returns the next action for the rollout state read from the store.
    pub(super) fn decide(
        &self,
        state: Option<&RolloutState>,
        trips: &TripSet,
        max_age: Duration,
        now: MonoTime,
        wall: WallTime,
    ) -> PlannerAction {
        let fresh = self.ledger.fresh_hosts(&self.live_hosts, now, max_age);
        self.planner.decide(&PlannerInput {
            state,
            evaluator: &self.evaluator,
            is_fresh: fresh >= RolloutPlanner::needed_hosts(self.live_hosts.len()),
            trips,
            token: self.token,
            limits: PlannerLimits::default(),
            now: wall,
        })
    }

    /// Returns the rejection found in the evidence of all hosts, as a trip reported by this host, `own_host`.
    pub(super) fn rejection_notice(&self, own_host: &HostId) -> Option<TripNotice> {
        let (version, reason) = self.evaluator.rejection()?.clone();
        Some(TripNotice { plan: self.plan.id.clone(), version, host: own_host.clone(), reason })
    }
}

//! State of the rollout of one service on this host.

use std::collections::BTreeMap;

use sapphireknot::{
    config::{ServiceEntry, TrafficPlan},
    ids::{HostId, PlanId, RouteId, ServiceId, VersionId},
    operator::{ItemState, RolloutStatus},
    rollout::{
        LocalTrip, OutcomeCounts, RolloutTiming, RolloutVerdict, RolloutView, SampleKey, ShareMap,
        ShareNotice, TripNotice, TripSet,
    },
    time::{MonoTime, WallTime},
};

use super::choice::choose_usable;

/// Outcomes counted by this host for a traffic plan.
#[derive(Debug, Clone)]
pub struct LocalEvidence {
    /// Cumulative counts since the start of this incarnation.
    pub counts: BTreeMap<SampleKey, OutcomeCounts>,
    /// Whether this host knows of a trip in the plan.
    pub is_tripped: bool,
}

/// State of the traffic plan in force.
#[derive(Debug)]
struct PlanProgress {
    plan: TrafficPlan,
    routes: Vec<RouteId>,
    view: RolloutView,
    local: LocalTrip,
    old: Option<VersionId>,
    /// Time at which this host installed the plan.
    since: MonoTime,
    /// Reason why the planner is holding the rollout, if this host holds the planner role.
    hold: Option<String>,
}

/// Rollout of one service on this host.
#[derive(Debug)]
pub struct ServiceRollout {
    base: ShareMap,
    usable: Vec<VersionId>,
    progress: Option<PlanProgress>,
    trips: TripSet,
}

/// Parameters that are common to all services.
#[derive(Debug, Clone, Copy)]
pub(super) struct RolloutFacts {
    pub(super) timing: RolloutTiming,
    pub(super) hosts: usize,
    pub(super) now: MonoTime,
    pub(super) wall: WallTime,
}

impl ServiceRollout {
    pub(super) fn new(usable: Vec<VersionId>) -> Self {
        Self { base: ShareMap::new(), usable, progress: None, trips: TripSet::default() }
    }

    /// Applies a configuration. The newest decision and the trips of a plan that stays in force are kept.
    pub(super) fn install(
        &mut self,
        entry: &ServiceEntry,
        usable: Vec<VersionId>,
        facts: RolloutFacts,
    ) {
        self.usable = usable;
        let routes: Vec<_> = entry.routes.iter().map(|it| it.id.clone()).collect();
        let is_same = self.base == entry.versions
            && self.progress.as_ref().map(|it| &it.plan) == entry.traffic.as_ref()
            && self.progress.as_ref().is_none_or(|it| it.routes == routes);
        if is_same {
            return;
        }
        self.base.clone_from(&entry.versions);
        let known = self.progress.take().and_then(|it| it.view.newest().cloned());
        let Some(plan) = &entry.traffic else {
            self.trips = TripSet::default();
            return;
        };
        self.trips.retain_plans(std::slice::from_ref(&plan.id));
        let mut view = RolloutView::new(plan, &self.base).with_timing(facts.timing);
        if let Some(notice) = known {
            view.merge(&notice, facts.wall);
        }
        let local = LocalTrip::new(view.traffic(), &routes, facts.hosts);
        let old = view.traffic().old_version();
        let plan = plan.clone();
        let since = facts.now;
        self.progress = Some(PlanProgress { plan, routes, view, local, old, since, hold: None });
    }

    /// Returns the traffic plan in force.
    pub fn plan(&self) -> Option<&TrafficPlan> {
        self.progress.as_ref().map(|it| &it.plan)
    }

    /// Returns the newest decision, which is sent to peers.
    pub fn newest(&self) -> Option<&ShareNotice> {
        self.progress.as_ref().and_then(|it| it.view.newest())
    }

    /// Returns the trips of the plan in force.
    pub fn trips(&self) -> &TripSet {
        &self.trips
    }

    /// Returns when this host installed the plan in force, if no decision on it is known yet.
    pub(super) fn unheard_since(&self) -> Option<MonoTime> {
        let progress = self.progress.as_ref()?;
        progress.view.newest().is_none().then_some(progress.since)
    }

    pub(super) fn choose(&self, now: WallTime, draw: u32) -> Option<VersionId> {
        match &self.progress {
            Some(it) => {
                let shares = it.view.shares(&self.trips, now);
                choose_usable(&shares, &self.usable, it.old.as_ref(), draw)
            }
            None => choose_usable(&self.base, &self.usable, None, draw),
        }
    }

    /// Counts an outcome. Returns whether it tripped a version.
    pub(super) fn record(
        &mut self,
        version: &VersionId,
        route: &RouteId,
        succeeded: bool,
        latency_us: u64,
        own: &HostId,
    ) -> bool {
        let Some(progress) = &mut self.progress else { return false };
        progress.local.record(version, route, succeeded, latency_us);
        let Some((version, reason)) = progress.local.tripped() else { return false };
        let plan = progress.plan.id.clone();
        if self.trips.reason(&plan, version).is_some() {
            return false;
        }
        let (version, host, reason) = (version.clone(), own.clone(), reason.clone());
        log::warn!(plan:%, version:%, reason; "version tripped on this host");
        self.trips.merge(&TripNotice { plan, version, host, reason });
        true
    }

    /// Merges a trip of the plan in force. Returns whether it is new.
    pub(super) fn take_trip(&mut self, notice: &TripNotice) -> bool {
        if self.plan().is_none_or(|it| it.id != notice.plan) {
            return false;
        }
        let is_new = self.trips.reason(&notice.plan, &notice.version).is_none();
        self.trips.merge(notice);
        is_new
    }

    /// Merges a decision on the plan in force. Returns whether it is new.
    pub(super) fn take_notice(&mut self, notice: &ShareNotice, now: WallTime) -> bool {
        let Some(progress) = &mut self.progress else { return false };
        let before = progress.view.newest().map(|it| (it.token, it.step));
        progress.view.merge(notice, now);
        progress.view.newest().map(|it| (it.token, it.step)) > before
    }

    pub(super) fn advance(&mut self, now: WallTime) {
        if let Some(progress) = &mut self.progress {
            progress.view.advance(now);
        }
    }

    pub(super) fn set_hold(&mut self, plan: &PlanId, hold: Option<String>) {
        if let Some(progress) = self.progress.as_mut().filter(|it| it.plan.id == *plan) {
            progress.hold = hold;
        }
    }

    pub(super) fn evidence(&self, plan: &PlanId) -> Option<LocalEvidence> {
        let progress = self.progress.as_ref().filter(|it| it.plan.id == *plan)?;
        let is_tripped = !self.trips.notices().is_empty();
        Some(LocalEvidence { counts: progress.local.counts().clone(), is_tripped })
    }

    pub(super) fn status(&self, service: &ServiceId, now: WallTime) -> Option<RolloutStatus> {
        let progress = self.progress.as_ref()?;
        let newest = progress.view.newest();
        let trip = self.trips.notices().into_iter().next();
        let (state, reason) = match (newest.map(|it| it.verdict), trip) {
            (Some(RolloutVerdict::Reverted), _) => {
                (ItemState::Reverted, newest.and_then(|it| it.reason.clone()))
            }
            (_, Some(trip)) => {
                let TripNotice { version, host, reason, .. } = trip;
                let reason = format!("version {version} tripped on host {host}: {reason}");
                (ItemState::Reverted, Some(reason))
            }
            (Some(RolloutVerdict::Done), None) => {
                (ItemState::Done, newest.and_then(|it| it.reason.clone()))
            }
            (_, None) if progress.view.is_expired() => {
                (ItemState::Reverted, Some("the deadline has passed".to_owned()))
            }
            (_, None) => (ItemState::Pending, progress.hold.clone()),
        };
        let shares = progress.view.shares(&self.trips, now).into_iter().collect();
        Some(RolloutStatus {
            service: service.clone(),
            plan: progress.plan.id.clone(),
            shares,
            state,
            reason,
        })
    }
}

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

use super::choice::choose_version;

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
struct ActivePlan {
    plan: TrafficPlan,
    routes: Vec<RouteId>,
    view: RolloutView,
    local_trip: LocalTrip,
    old_version: Option<VersionId>,
    /// Time at which this host installed the plan.
    installed_at: MonoTime,
    /// Reason why the planner is holding the rollout, if this host holds the planner role.
    hold_reason: Option<String>,
}

/// Rollout of one service on this host.
#[derive(Debug)]
pub struct ServiceRollout {
    base_shares: ShareMap,
    usable: Vec<VersionId>,
    active: Option<ActivePlan>,
    trips: TripSet,
}

/// Parameters that are common to all services.
#[derive(Debug, Clone, Copy)]
pub(super) struct RolloutContext {
    pub(super) timing: RolloutTiming,
    pub(super) hosts: usize,
    pub(super) now: MonoTime,
    pub(super) wall: WallTime,
}

impl ServiceRollout {
    pub(super) fn new(usable: Vec<VersionId>) -> Self {
        Self { base_shares: ShareMap::new(), usable, active: None, trips: TripSet::default() }
    }

    /// Applies a configuration. The newest decision and the trips of a plan that stays in force are kept.
    pub(super) fn install(
        &mut self,
        entry: &ServiceEntry,
        usable: Vec<VersionId>,
        context: RolloutContext,
    ) {
        self.usable = usable;
        let routes: Vec<_> = entry.routes.iter().map(|it| it.id.clone()).collect();
        let is_same = self.base_shares == entry.versions
            && self.active.as_ref().map(|it| &it.plan) == entry.traffic.as_ref()
            && self.active.as_ref().is_none_or(|it| it.routes == routes);
        if is_same {
            return;
        }
        self.base_shares.clone_from(&entry.versions);
        let known = self.active.take().and_then(|it| it.view.newest().cloned());
        let Some(plan) = &entry.traffic else {
            self.trips = TripSet::default();
            return;
        };
        self.trips.retain_plans(std::slice::from_ref(&plan.id));
        let mut view = RolloutView::new(plan, &self.base_shares).with_timing(context.timing);
        if let Some(notice) = known {
            view.merge(&notice, context.wall);
        }
        let local_trip = LocalTrip::new(view.traffic(), &routes, context.hosts);
        let old_version = view.traffic().old_version();
        let plan = plan.clone();
        let installed_at = context.now;
        self.active = Some(ActivePlan {
            plan,
            routes,
            view,
            local_trip,
            old_version,
            installed_at,
            hold_reason: None,
        });
    }

    /// Returns the traffic plan in force.
    pub fn plan(&self) -> Option<&TrafficPlan> {
        self.active.as_ref().map(|it| &it.plan)
    }

    /// Returns the newest decision, which is sent to peers.
    pub fn newest(&self) -> Option<&ShareNotice> {
        self.active.as_ref().and_then(|it| it.view.newest())
    }

    /// Returns the trips of the plan in force.
    pub fn trips(&self) -> &TripSet {
        &self.trips
    }

    /// Returns when this host installed the plan in force, if no decision on it is known yet.
    pub(super) fn undecided_since(&self) -> Option<MonoTime> {
        let active = self.active.as_ref()?;
        active.view.newest().is_none().then_some(active.installed_at)
    }

    pub(super) fn choose(&self, now: WallTime, draw: u32) -> Option<VersionId> {
        match &self.active {
            Some(it) => {
                let shares = it.view.shares(&self.trips, now);
                choose_version(&shares, &self.usable, it.old_version.as_ref(), draw)
            }
            None => choose_version(&self.base_shares, &self.usable, None, draw),
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
        let Some(active) = &mut self.active else { return false };
        active.local_trip.record(version, route, succeeded, latency_us);
        let Some((version, reason)) = active.local_trip.tripped() else { return false };
        let plan = active.plan.id.clone();
        if self.trips.reason(&plan, version).is_some() {
            return false;
        }
        let (version, host, reason) = (version.clone(), own.clone(), reason.clone());
        log::warn!(plan:%, version:%, reason; "version tripped on this host");
        self.trips.merge(&TripNotice { plan, version, host, reason });
        true
    }

    /// Merges a trip of the plan in force. Returns whether it is new.
    pub(super) fn merge_trip(&mut self, notice: &TripNotice) -> bool {
        if self.plan().is_none_or(|it| it.id != notice.plan) {
            return false;
        }
        let is_new = self.trips.reason(&notice.plan, &notice.version).is_none();
        self.trips.merge(notice);
        is_new
    }

    /// Merges a decision on the plan in force. Returns whether it is new.
    pub(super) fn merge_notice(&mut self, notice: &ShareNotice, now: WallTime) -> bool {
        let Some(active) = &mut self.active else { return false };
        let before = active.view.newest().map(|it| (it.token, it.step));
        active.view.merge(notice, now);
        active.view.newest().map(|it| (it.token, it.step)) > before
    }

    pub(super) fn advance(&mut self, now: WallTime) {
        if let Some(active) = &mut self.active {
            active.view.advance(now);
        }
    }

    pub(super) fn set_hold_reason(&mut self, plan: &PlanId, hold_reason: Option<String>) {
        if let Some(active) = self.active.as_mut().filter(|it| it.plan.id == *plan) {
            active.hold_reason = hold_reason;
        }
    }

    pub(super) fn evidence(&self, plan: &PlanId) -> Option<LocalEvidence> {
        let active = self.active.as_ref().filter(|it| it.plan.id == *plan)?;
        let is_tripped = !self.trips.notices().is_empty();
        Some(LocalEvidence { counts: active.local_trip.counts().clone(), is_tripped })
    }

    pub(super) fn status(&self, service: &ServiceId, now: WallTime) -> Option<RolloutStatus> {
        let active = self.active.as_ref()?;
        let newest = active.view.newest();
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
            (_, None) if active.view.is_expired() => {
                (ItemState::Reverted, Some("the deadline has passed".to_owned()))
            }
            (_, None) => (ItemState::Pending, active.hold_reason.clone()),
        };
        let shares = active.view.shares(&self.trips, now).into_iter().collect();
        Some(RolloutStatus {
            service: service.clone(),
            plan: active.plan.id.clone(),
            shares,
            state,
            reason,
        })
    }
}

//! Log line of a request that ended: what the host knew when it decided.
//!
//! A field that was not computed is absent, so that a zero is always a measured one.

use std::{sync::Arc, time::Duration};

use sapphireknot::{
    ids::{OrganisationId, RegionId, ServiceId},
    refusal::RequestRefusal,
    steering::{
        choice::PickerSummary,
        miss::{ChoiceMiss, MissCause, NearMiss},
        plan::{RouteRule, RoutingPlan},
        query::ChosenServer,
    },
    time::MonoTime,
};
use sapphireknot_platform::RequestMetadata;

use super::decision_log::LineKind;

/// Request that was answered, for logs and metrics.
pub(super) struct RequestTrail {
    pub(super) head: RequestMetadata,
    /// Configuration that was in force when it arrived.
    pub(super) plan: Option<Arc<RoutingPlan>>,
    pub(super) route: Option<Arc<RouteRule>>,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) service: Option<ServiceId>,
    pub(super) notes: AttemptNotes,
}

/// What decided the attempts of a request.
#[derive(Debug, Default)]
pub(super) struct AttemptNotes {
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Whether servers were ranked for an object.
    pub(super) has_object: bool,
    /// Server whose response ended the request, or that of the last attempt.
    pub(super) chosen: Option<ChosenServer>,
    /// Why no attempt, or no further one, was made.
    pub(super) miss: Option<ChoiceMiss>,
}

/// How a request ended.
pub(super) struct RequestEnd<'a> {
    pub(super) result: &'a str,
    pub(super) kind: LineKind,
    pub(super) refusal: Option<&'a RequestRefusal>,
    /// Why a response broke off after a part of it was passed on.
    pub(super) cause: Option<&'a str>,
    pub(super) elapsed: Duration,
    /// What the host believes of the service, for a refusal without an attempt.
    pub(super) belief: Option<PickerSummary>,
    /// Lines of the kind that were left out before this one.
    pub(super) dropped: u64,
}

impl AttemptNotes {
    /// Counts an attempt.
    pub(super) fn record(&mut self, chosen: &ChosenServer) {
        self.attempts += 1;
        self.chosen = Some(chosen.clone());
    }

    fn miss_cause(&self) -> Option<MissCause> {
        match self.miss.as_ref()? {
            ChoiceMiss::NoServer { cause, .. } => Some(*cause),
            ChoiceMiss::NoRoom { nearest, .. } => Some(nearest.cause),
        }
    }

    fn candidates(&self) -> Option<usize> {
        match self.miss.as_ref()? {
            ChoiceMiss::NoServer { .. } => Some(0),
            ChoiceMiss::NoRoom { candidates, .. } => Some(*candidates),
        }
    }

    fn nearest(&self) -> Option<&NearMiss> {
        match self.miss.as_ref()? {
            ChoiceMiss::NoServer { .. } => None,
            ChoiceMiss::NoRoom { nearest, .. } => Some(nearest),
        }
    }

    /// Region in which the object of a request with homes was last taken to be kept.
    fn kept_in(&self) -> Option<&RegionId> {
        let kept_in = match &self.miss {
            Some(ChoiceMiss::NoServer { kept_in, .. } | ChoiceMiss::NoRoom { kept_in, .. }) => {
                kept_in.as_ref()
            }
            None => self.chosen.as_ref()?.place.as_ref()?.kept_in.as_ref(),
        };
        kept_in.filter(|_| self.has_object)
    }

    fn served_in(&self) -> Option<&RegionId> {
        Some(&self.chosen.as_ref()?.place.as_ref()?.region)
    }
}

impl RequestTrail {
    /// Writes the line.
    pub(super) fn write(&self, end: &RequestEnd<'_>, now: MonoTime) {
        let notes = &self.notes;
        let (chosen, nearest) = (notes.chosen.as_ref(), notes.nearest());
        let retry_at = end.refusal.and_then(|it| it.retry_at);
        log::info!(
            request = self.head.request_id.as_ref().and_then(|it| it.to_str().ok()),
            route = self.route.as_ref().map(|it| it.id.as_str()),
            organisation = self.organisation.as_ref().map(|it| it.as_str()),
            service = self.service.as_ref().map_or("", |it| it.as_str()),
            result = end.result, cause = end.cause, is_late = end.kind == LineKind::Late,
            ran = end.refusal.map(|it| it.ran.to_string()),
            elapsed_ms = end.elapsed.as_millis() as u64,
            target_ms = self.route.as_ref().map(|it| it.target_latency.as_millis() as u64),
            patience_ms = self.head.caller_timeout.map(|it| it.as_millis() as u64),
            retry_ms = retry_at.map(|it| now.until(it).as_millis() as u64),
            attempts = notes.attempts,
            server = chosen.map(|it| it.record.id.as_str()),
            expected_ms = chosen.map(|it| it.expected_ms as u64),
            server_load = chosen.map(|it| hundredths(it.load)),
            rank = chosen.filter(|_| notes.has_object).map(|it| it.rank),
            miss = notes.miss_cause().map(MissCause::as_str),
            candidates = notes.candidates(),
            nearest = nearest.map(|it| it.record.id.as_str()),
            nearest_rank = nearest.and_then(|it| it.rank),
            nearest_load = nearest.map(|it| hundredths(it.load)),
            nearest_load_limit = nearest.and_then(|it| it.load_limit).map(hundredths),
            nearest_ms = nearest.map(|it| it.expected_ms as u64),
            nearest_limit_ms = nearest.and_then(|it| it.time_limit_ms).map(|it| it as u64),
            homes = self.homes(),
            kept_in = notes.kept_in().map(|it| it.as_str()),
            served_in = notes.served_in().map(|it| it.as_str()),
            usable_servers = end.belief.as_ref().map(|it| it.usable),
            cold_servers = end.belief.as_ref().map(|it| it.cold),
            load_per_slot = end.belief.as_ref().map(|it| it.load_per_slot),
            plan = self.plan.as_ref().map(|it| it.generation.0),
            lines_dropped = end.dropped;
            "request ended"
        );
    }

    /// Regions in which the request may be served, in alphabetical order; `None` for all.
    fn homes(&self) -> Option<String> {
        let homes = self.plan.as_ref()?.homes(self.route.as_ref()?, self.organisation.as_ref())?;
        let mut names: Vec<&str> = homes.iter().map(|it| it.as_str()).collect();
        names.sort_unstable();
        Some(names.join(","))
    }
}

/// A load as lines show it.
fn hundredths(load: f64) -> f64 {
    (load * 100.0).round() / 100.0
}

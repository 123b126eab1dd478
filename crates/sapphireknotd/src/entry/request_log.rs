//! Log line for a completed request, with the data behind the decisions of the host.
//!
//! A field that was not computed is absent, so that a zero is always a measured value.

use std::{sync::Arc, time::Duration};

use sapphireknot::{
    ids::{OrganisationId, RegionId, ServiceId},
    refusal::RequestRefusal,
    steering::{
        choice::PickerSummary,
        plan::{RouteRule, RoutingPlan},
        query::ChosenServer,
        rejection::{ChoiceError, NearestCandidate, RejectionCause},
    },
    time::MonoTime,
};
use sapphireknot_platform::RequestMetadata;

use super::log_limiter::LineKind;

/// Request data for its log line and metrics.
pub(super) struct RequestContext {
    pub(super) metadata: RequestMetadata,
    /// Configuration in force when the request arrived.
    pub(super) plan: Option<Arc<RoutingPlan>>,
    pub(super) route: Option<Arc<RouteRule>>,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) service: Option<ServiceId>,
    pub(super) attempt_summary: AttemptSummary,
}

/// Attempts of a request and the reasons for them.
#[derive(Debug, Default)]
pub(super) struct AttemptSummary {
    /// Number of attempts so far.
    pub(super) attempts: u32,
    /// Whether servers were ranked for an object.
    pub(super) has_object: bool,
    /// Server whose response ended the request, or that of the last attempt.
    pub(super) chosen: Option<ChosenServer>,
    /// Reason why no attempt, or no further one, was made.
    pub(super) choice_error: Option<ChoiceError>,
}

/// Result of a request.
pub(super) struct RequestEnd<'a> {
    pub(super) result: &'a str,
    pub(super) kind: LineKind,
    pub(super) refusal: Option<&'a RequestRefusal>,
    /// Error that cut a partly sent response short.
    pub(super) cause: Option<&'a str>,
    pub(super) elapsed: Duration,
    /// State of the service as this host sees it, for a refusal without an attempt.
    pub(super) service_state: Option<PickerSummary>,
    /// Lines of the same kind that were dropped before this one.
    pub(super) dropped: u64,
}

impl AttemptSummary {
    /// Counts an attempt.
    pub(super) fn record(&mut self, chosen: &ChosenServer) {
        self.attempts += 1;
        self.chosen = Some(chosen.clone());
    }

    fn rejection_cause(&self) -> Option<RejectionCause> {
        match self.choice_error.as_ref()? {
            ChoiceError::NoServer { cause, .. } => Some(*cause),
            ChoiceError::NoRoom { nearest, .. } => Some(nearest.cause),
        }
    }

    fn candidates(&self) -> Option<usize> {
        match self.choice_error.as_ref()? {
            ChoiceError::NoServer { .. } => Some(0),
            ChoiceError::NoRoom { candidates, .. } => Some(*candidates),
        }
    }

    fn nearest(&self) -> Option<&NearestCandidate> {
        match self.choice_error.as_ref()? {
            ChoiceError::NoServer { .. } => None,
            ChoiceError::NoRoom { nearest, .. } => Some(nearest),
        }
    }

    /// Region in which this host last believed the object of a request with home regions to be kept.
    fn kept_in(&self) -> Option<&RegionId> {
        let kept_in = match &self.choice_error {
            Some(ChoiceError::NoServer { kept_in, .. } | ChoiceError::NoRoom { kept_in, .. }) => {
                kept_in.as_ref()
            }
            None => self.chosen.as_ref()?.regions.as_ref()?.kept_in.as_ref(),
        };
        kept_in.filter(|_| self.has_object)
    }

    fn served_in(&self) -> Option<&RegionId> {
        Some(&self.chosen.as_ref()?.regions.as_ref()?.region)
    }
}

impl RequestContext {
    /// Writes the line.
    pub(super) fn write(&self, end: &RequestEnd<'_>, now: MonoTime) {
        let summary = &self.attempt_summary;
        let (chosen, nearest) = (summary.chosen.as_ref(), summary.nearest());
        let retry_at = end.refusal.and_then(|it| it.retry_at);
        log::info!(
            request = self.metadata.request_id.as_ref().and_then(|it| it.to_str().ok()),
            route = self.route.as_ref().map(|it| it.id.as_str()),
            organisation = self.organisation.as_ref().map(|it| it.as_str()),
            service = self.service.as_ref().map_or("", |it| it.as_str()),
            result = end.result, cause = end.cause, is_late = end.kind == LineKind::Late,
            ran = end.refusal.map(|it| it.ran.to_string()),
            elapsed_ms = end.elapsed.as_millis() as u64,
            target_ms = self.route.as_ref().map(|it| it.target_latency.as_millis() as u64),
            patience_ms = self.metadata.caller_timeout.map(|it| it.as_millis() as u64),
            retry_ms = retry_at.map(|it| now.until(it).as_millis() as u64),
            attempts = summary.attempts,
            server = chosen.map(|it| it.record.id.as_str()),
            expected_ms = chosen.map(|it| it.expected_ms as u64),
            server_load = chosen.map(|it| round_load(it.load)),
            rank = chosen.filter(|_| summary.has_object).map(|it| it.rank),
            miss = summary.rejection_cause().map(RejectionCause::as_str),
            candidates = summary.candidates(),
            nearest = nearest.map(|it| it.record.id.as_str()),
            nearest_rank = nearest.and_then(|it| it.rank),
            nearest_load = nearest.map(|it| round_load(it.load)),
            nearest_load_limit = nearest.and_then(|it| it.load_limit).map(round_load),
            nearest_ms = nearest.map(|it| it.expected_ms as u64),
            nearest_limit_ms = nearest.and_then(|it| it.time_limit_ms).map(|it| it as u64),
            homes = self.homes(),
            kept_in = summary.kept_in().map(|it| it.as_str()),
            served_in = summary.served_in().map(|it| it.as_str()),
            usable_servers = end.service_state.as_ref().map(|it| it.usable),
            cold_servers = end.service_state.as_ref().map(|it| it.cold),
            load_per_slot = end.service_state.as_ref().map(|it| it.load_per_slot),
            plan = self.plan.as_ref().map(|it| it.generation.0),
            lines_dropped = end.dropped;
            "request ended"
        );
    }

    /// Home regions of the request in alphabetical order; `None` if it may be served in all regions.
    fn homes(&self) -> Option<String> {
        let homes = self.plan.as_ref()?.homes(self.route.as_ref()?, self.organisation.as_ref())?;
        let mut names: Vec<&str> = homes.iter().map(|it| it.as_str()).collect();
        names.sort_unstable();
        Some(names.join(","))
    }
}

/// Rounds a load to two decimals.
fn round_load(load: f64) -> f64 {
    (load * 100.0).round() / 100.0
}

//! Report of a request's end: its metrics, its log line and its span.

use std::sync::Arc;

use http::StatusCode;
use sapphireknot::{
    refusal::{RefusalReason, RequestRefusal},
    time::MonoTime,
};

use super::{
    decision_line::{RequestEnd, RequestTrail},
    decision_log::LineKind,
    state::EntryState,
};
use crate::telemetry::HopSpan;

/// How a request ended.
#[derive(Debug)]
pub(super) enum RequestResult<'a> {
    /// The caller got a complete response of a backend server.
    Answered(StatusCode),
    /// A response broke off after a part of it was passed on.
    BrokenOff(String),
    /// The caller was refused.
    Refused(&'a RequestRefusal),
}

/// Request whose end is to be reported; one whose caller leaves has none.
pub(super) struct RequestReport {
    pub(super) state: Arc<EntryState>,
    pub(super) trail: RequestTrail,
    pub(super) started: MonoTime,
    pub(super) span: Option<HopSpan>,
}

impl RequestResult<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(status) if status.is_success() => "passed",
            Self::Answered(_) => "server-error",
            Self::BrokenOff(_) => "broken-off",
            Self::Refused(refusal) => refusal.reason.as_str(),
        }
    }

    fn cause(&self) -> Option<&str> {
        match self {
            Self::BrokenOff(cause) => Some(cause),
            Self::Answered(_) | Self::Refused(_) => None,
        }
    }

    fn refusal(&self) -> Option<&RequestRefusal> {
        match self {
            Self::Answered(_) | Self::BrokenOff(_) => None,
            Self::Refused(refusal) => Some(refusal),
        }
    }
}

impl RequestReport {
    /// Reports the end.
    pub(super) fn finish(self, result: RequestResult<'_>) {
        let Self { state, trail, started, span } = self;
        let now = state.clock.now();
        let elapsed = now.since(started);
        let service = trail.service.as_ref().map_or("", |it| it.as_str());
        state.meters.count_request(service, result.name(), elapsed);
        let kind = match (&result, &trail.route) {
            (RequestResult::Answered(status), Some(route)) if status.is_success() => {
                if elapsed > route.target_latency { LineKind::Late } else { LineKind::Good }
            }
            (RequestResult::Refused(refusal), _) if is_callers_fault(refusal.reason) => {
                LineKind::Rejected
            }
            _ => LineKind::Failed,
        };
        let refusal = result.refusal();
        let request_id = trail.head.request_id.as_ref();
        if let Some(dropped) = state.decisions.take_line(kind, request_id, now) {
            // What a host believes of the service decides a refusal without an attempt.
            let refused_at_once = trail.notes.attempts == 0 && refusal.is_some();
            let refused_by = trail.service.as_ref().filter(|_| refused_at_once);
            let belief =
                refused_by.and_then(|it| Some(state.core.lock().pickers().get(it)?.summary(now)));
            let (result, cause) = (result.name(), result.cause());
            let end = RequestEnd { result, kind, refusal, cause, elapsed, belief, dropped };
            trail.write(&end, now);
        }
        if let Some(span) = span {
            match &result {
                RequestResult::Answered(_) => {}
                RequestResult::BrokenOff(_) => span.set_error("broken off"),
                RequestResult::Refused(_) => span.set_error("refused"),
            }
        }
    }
}

/// Whether the same request would be refused by every host at any time.
fn is_callers_fault(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::KeyMissing
            | RefusalReason::KeyRejected
            | RefusalReason::UnknownRoute
            | RefusalReason::BadRequest
    )
}

//! Report of a completed request: its metrics, its log line and its span.

use std::sync::Arc;

use http::StatusCode;
use sapphireknot::{
    refusal::{RefusalReason, RequestRefusal},
    time::MonoTime,
};

use super::{
    log_limiter::LineKind,
    request_log::{RequestContext, RequestEnd},
    state::EntryState,
};
use crate::telemetry::HopSpan;

/// Result of a request.
#[derive(Debug)]
pub(super) enum RequestResult<'a> {
    /// The caller got a complete response from a backend server.
    Answered(StatusCode),
    /// The response was cut short after a part of it was sent.
    Truncated(String),
    /// The request was refused.
    Refused(&'a RequestRefusal),
}

/// Request whose result is still to be reported; a request whose caller disconnects is never reported.
pub(super) struct RequestReport {
    pub(super) state: Arc<EntryState>,
    pub(super) context: RequestContext,
    pub(super) started: MonoTime,
    pub(super) span: Option<HopSpan>,
}

impl RequestResult<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(status) if status.is_success() => "passed",
            Self::Answered(_) => "server-error",
            Self::Truncated(_) => "broken-off",
            Self::Refused(refusal) => refusal.reason.as_str(),
        }
    }

    fn cause(&self) -> Option<&str> {
        match self {
            Self::Truncated(cause) => Some(cause),
            Self::Answered(_) | Self::Refused(_) => None,
        }
    }

    fn refusal(&self) -> Option<&RequestRefusal> {
        match self {
            Self::Answered(_) | Self::Truncated(_) => None,
            Self::Refused(refusal) => Some(refusal),
        }
    }
}

impl RequestReport {
    /// Reports the result.
    pub(super) fn finish(self, result: RequestResult<'_>) {
        let Self { state, context, started, span } = self;
        let now = state.clock.now();
        let elapsed = now.since(started);
        let service = context.service.as_ref().map_or("", |it| it.as_str());
        state.meters.count_request(service, result.name(), elapsed);
        let kind = match (&result, &context.route) {
            (RequestResult::Answered(status), Some(route)) if status.is_success() => {
                if elapsed > route.target_latency { LineKind::Late } else { LineKind::OnTime }
            }
            (RequestResult::Refused(refusal), _) if is_caller_error(refusal.reason) => {
                LineKind::Rejected
            }
            _ => LineKind::Failed,
        };
        let refusal = result.refusal();
        let request_id = context.metadata.request_id.as_ref();
        if let Some(dropped) = state.log_limiter.take_line(kind, request_id, now) {
            // A refusal without an attempt is based on the state of the service as this host sees it.
            let refused_at_once = context.attempt_summary.attempts == 0 && refusal.is_some();
            let refusing_service = context.service.as_ref().filter(|_| refused_at_once);
            let service_state = refusing_service
                .and_then(|it| Some(state.core.lock().pickers().get(it)?.summary(now)));
            let (result, cause) = (result.name(), result.cause());
            let end = RequestEnd { result, kind, refusal, cause, elapsed, service_state, dropped };
            context.write(&end, now);
        }
        if let Some(span) = span {
            match &result {
                RequestResult::Answered(_) => {}
                RequestResult::Truncated(_) => span.set_error("broken off"),
                RequestResult::Refused(_) => span.set_error("refused"),
            }
        }
    }
}

/// Whether every host would refuse the same request at any time.
fn is_caller_error(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::KeyMissing
            | RefusalReason::KeyRejected
            | RefusalReason::UnknownRoute
            | RefusalReason::BadRequest
    )
}

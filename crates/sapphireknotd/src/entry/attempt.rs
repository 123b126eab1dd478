//! One attempt of a request at a backend server: the exchange, what its end means, and the report of its outcome.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use opentelemetry::trace::SpanKind;
use sapphireknot::{
    ids::ServerId,
    picker::ServerOutcome,
    refusal::RefusalReason,
    retry::AttemptEnd,
    steering::{core::AttemptReport, query::ChosenServer, server_state::ServerLoad},
    time::MonoTime,
};
use sapphireknot_platform::{AnswerKind, ServerAnswer, ServerHead};
use tokio::time::timeout_at;

use super::{
    caller_server::CallerServer,
    decision_log::LineKind,
    fleet_actor::FleetMessage,
    forward::{EntryRequest, target_ms},
};
use crate::{constants, telemetry::HopSpan, upstream::connections::ExchangeError};

/// Attempt that ended without a response to pass on.
pub(super) struct AttemptFailure {
    pub(super) end: AttemptEnd,
    pub(super) reason: RefusalReason,
    /// What the caller gets if no attempt follows.
    pub(super) fallback: Option<Response<Bytes>>,
}

/// Attempt that ended.
pub(super) struct AttemptEnded {
    pub(super) chosen: ChosenServer,
    pub(super) result: Result<Response<Bytes>, AttemptFailure>,
}

/// Attempt in flight; when dropped before its end it counts as cancelled, or as broken if another one was made beside it.
struct AttemptTicket<'a> {
    server: &'a CallerServer,
    chosen: ChosenServer,
    target_ms: f64,
    started: MonoTime,
    is_overtaken: Arc<AtomicBool>,
    has_ended: bool,
}

impl AttemptTicket<'_> {
    fn finish(&mut self, outcome: ServerOutcome, load: Option<ServerLoad>) {
        self.has_ended = true;
        let state = &self.server.state;
        let service = &self.chosen.record.service;
        state.meters.count_attempt(service.as_str(), outcome_name(outcome));
        let now = state.clock.now();
        let elapsed = now.since(self.started);
        let report = AttemptReport {
            chosen: &self.chosen,
            outcome,
            load,
            target_ms: self.target_ms,
            elapsed,
        };
        let is_bad = state.core.lock().record_attempt(report, now);
        if is_bad
            && let Err(err) = self.server.fleet.cast(FleetMessage::RolloutBad(service.clone()))
        {
            log::error!(error:% = err; "tell of a bad version");
        }
    }
}

impl Drop for AttemptTicket<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let is_overtaken = self.is_overtaken.load(Ordering::Relaxed);
            let outcome =
                if is_overtaken { ServerOutcome::Broken } else { ServerOutcome::Cancelled };
            self.finish(outcome, None);
        }
    }
}

impl CallerServer {
    /// Sends `request` to `chosen` and waits for its response until the deadline.
    pub(super) async fn attempt(
        &self,
        request: &EntryRequest<'_>,
        chosen: ChosenServer,
        may_repeat: bool,
        is_overtaken: Arc<AtomicBool>,
        span: Option<&HopSpan>,
    ) -> AttemptEnded {
        let span = span.map(|it| HopSpan::start("attempt", SpanKind::Client, it.context()));
        if let Some(span) = &span {
            span.note("server", chosen.record.id.to_string());
        }
        let started = self.state.clock.now();
        let record = Arc::clone(&chosen.record);
        let mut ticket = AttemptTicket {
            server: self,
            chosen: chosen.clone(),
            target_ms: target_ms(request.route),
            started,
            is_overtaken,
            has_ended: false,
        };
        let dialect = &self.state.platform.dialect;
        let request_id = request.head.request_id.as_ref();
        let read = |head: &http::response::Parts| {
            dialect.read_response(request_id, head.status, &head.headers)
        };
        let check = |head: &http::response::Parts| match read(head).kind {
            AnswerKind::Foreign => Err("response to another request".to_owned()),
            AnswerKind::Ran | AnswerKind::NotRun | AnswerKind::OtherServer => Ok(()),
        };
        let outgoing = self.outgoing(request, &record.id, started);
        let exchange = self.connections.exchange_checked(
            record.address,
            outgoing,
            constants::MAX_RESPONSE_BYTES,
            check,
        );
        let result = timeout_at(self.state.clock.instant(request.deadline), exchange).await;
        let (outcome, load, result) = match result {
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let ServerAnswer { kind, load } = read(&parts);
                let response = Response::from_parts(parts, body);
                let (outcome, ended) = judge(kind, response, may_repeat);
                if kind == AnswerKind::OtherServer {
                    self.state.core.lock().pause_server(&record, self.state.clock.now());
                }
                (outcome, load, ended)
            }
            Ok(Err(err)) => {
                let now = self.state.clock.now();
                let end = match &err {
                    ExchangeError::NotSent { .. } => AttemptEnd::NotSent,
                    ExchangeError::Broken { .. } => AttemptEnd::MaybeRan,
                };
                if end == AttemptEnd::NotSent {
                    self.state.core.lock().pause_server(&record, now);
                }
                self.log_failure(request, &record.id, &err.to_string(), now);
                (ServerOutcome::Broken, None, Err(failed(end, RefusalReason::UpstreamFailed)))
            }
            Err(_) => {
                let now = self.state.clock.now();
                self.log_failure(request, &record.id, "no answer in time", now);
                let failure = failed(AttemptEnd::MaybeRan, RefusalReason::Deadline);
                (ServerOutcome::Broken, None, Err(failure))
            }
        };
        ticket.finish(outcome, load);
        AttemptEnded { chosen, result }
    }

    fn log_failure(
        &self,
        request: &EntryRequest<'_>,
        server: &ServerId,
        cause: &str,
        now: MonoTime,
    ) {
        let request_id = request.head.request_id.as_ref();
        let line = self.state.decisions.take_line(LineKind::Failed, request_id, now);
        let Some(dropped) = line else { return };
        let id = request_id.and_then(|it| it.to_str().ok());
        log::info!(
            request = id, service:% = request.service, server:%, cause,
            left_ms = now.until(request.deadline).as_millis() as u64, lines_dropped = dropped;
            "attempt failed"
        );
    }

    fn outgoing(
        &self,
        request: &EntryRequest<'_>,
        server: &ServerId,
        now: MonoTime,
    ) -> Request<Full<Bytes>> {
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.target.clone();
        let mut headers = request.headers.clone();
        let patience = request.caller_deadline.map(|it| now.until(it));
        let head = ServerHead { server, organisation: request.organisation, patience };
        self.state.platform.dialect.write_request(&mut headers, &head);
        *outgoing.headers_mut() = headers;
        outgoing
    }
}

pub(super) fn failed(end: AttemptEnd, reason: RefusalReason) -> AttemptFailure {
    AttemptFailure { end, reason, fallback: None }
}

/// What a complete response means.
fn judge(
    kind: AnswerKind,
    response: Response<Bytes>,
    may_repeat: bool,
) -> (ServerOutcome, Result<Response<Bytes>, AttemptFailure>) {
    match kind {
        AnswerKind::NotRun => {
            (ServerOutcome::Shed, Err(failed(AttemptEnd::Shed, RefusalReason::NoRoom)))
        }
        AnswerKind::OtherServer => {
            (ServerOutcome::Broken, Err(failed(AttemptEnd::Shed, RefusalReason::NoServer)))
        }
        AnswerKind::Foreign | AnswerKind::Ran if response.status().is_server_error() => {
            if !may_repeat {
                return (ServerOutcome::Failed, Ok(response));
            }
            let failure = AttemptFailure {
                end: AttemptEnd::MaybeRan,
                reason: RefusalReason::UpstreamFailed,
                fallback: Some(response),
            };
            (ServerOutcome::Failed, Err(failure))
        }
        AnswerKind::Foreign | AnswerKind::Ran => (ServerOutcome::Succeeded, Ok(response)),
    }
}

fn outcome_name(outcome: ServerOutcome) -> &'static str {
    match outcome {
        ServerOutcome::Succeeded => "succeeded",
        ServerOutcome::Failed => "failed",
        ServerOutcome::Shed => "shed",
        ServerOutcome::Broken => "broken",
        ServerOutcome::Cancelled => "cancelled",
    }
}

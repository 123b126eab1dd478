//! One attempt of a request at a backend server: the exchange, and what its end means.
//!
//! The attempt whose long response is passed on ends with the last byte of it, and reports its outcome then.

use std::sync::{Arc, atomic::AtomicBool};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use opentelemetry::trace::SpanKind;
use sapphireknot::{
    ids::ServerId,
    picker::ServerOutcome,
    refusal::RefusalReason,
    retry::AttemptOutcome,
    steering::{fleet::ServerRecord, query::ChosenServer},
    time::MonoTime,
};
use sapphireknot_platform::{ConnectionUse, ForwardMetadata, ResponseKind, ResponseMetadata};
use tokio::time::timeout_at;

use super::{
    attempt_ticket::AttemptTicket,
    caller_body::EntryBody,
    caller_server::CallerServer,
    decision_log::LineKind,
    forward::{EntryRequest, target_ms},
};
use crate::{constants, telemetry::HopSpan, upstream::connections::ExchangeError};

/// Attempt that ended without a response to pass on.
pub(super) struct AttemptFailure {
    pub(super) end: AttemptOutcome,
    pub(super) reason: RefusalReason,
    /// What the caller gets if no attempt follows.
    pub(super) fallback: Option<Response<EntryBody>>,
}

/// Attempt that ended.
pub(super) struct AttemptEnded {
    pub(super) chosen: ChosenServer,
    pub(super) result: Result<Response<EntryBody>, AttemptFailure>,
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
        let target_ms = target_ms(request.route);
        let mut ticket = AttemptTicket::new(
            self.state.clone(),
            self.fleet.clone(),
            chosen.clone(),
            target_ms,
            is_overtaken,
        );
        let dialect = &self.state.platform.dialect;
        let request_id = request.head.request_id.as_ref();
        let read = |head: &http::response::Parts| {
            let connection = head.extensions.get().copied().unwrap_or(ConnectionUse::Reused);
            dialect.parse_response(request_id, head.status, &head.headers, connection)
        };
        let check = |head: &http::response::Parts| {
            let answer = read(head);
            self.take_notices(&record, &answer);
            match answer.kind {
                ResponseKind::Mismatched => Err("response to another request".to_owned()),
                ResponseKind::Ran | ResponseKind::NotRun | ResponseKind::Misdirected => Ok(()),
            }
        };
        let deadline = self.state.clock.instant(request.deadline);
        let outgoing = self.outgoing(request, &record.id, started);
        let exchange = self.connections.exchange_pieces(
            record.address,
            outgoing,
            constants::MAX_RESPONSE_BYTES,
            deadline,
            check,
        );
        let result = timeout_at(deadline, exchange).await;
        let (outcome, load, mut result) = match result {
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let ResponseMetadata { kind, load, .. } = read(&parts);
                let body = EntryBody::new(body, self.state.clock, request.deadline);
                let response = Response::from_parts(parts, body);
                let (outcome, ended) = judge(kind, response, may_repeat);
                if kind == ResponseKind::Misdirected {
                    self.state.core.lock().pause_server(&record, self.state.clock.now());
                }
                (outcome, load, ended)
            }
            Ok(Err(err)) => {
                let now = self.state.clock.now();
                let end = match &err {
                    ExchangeError::NotSent { .. } => AttemptOutcome::NotSent,
                    ExchangeError::NoMemory { .. } | ExchangeError::Broken { .. } => {
                        AttemptOutcome::MaybeRan
                    }
                };
                if end == AttemptOutcome::NotSent {
                    self.state.core.lock().pause_server(&record, now);
                }
                self.log_failure(request, &record.id, &err.to_string(), now);
                // The callers who hold the memory of the host say nothing of the server.
                let outcome = match &err {
                    ExchangeError::NoMemory { .. } => ServerOutcome::Cancelled,
                    ExchangeError::NotSent { .. } | ExchangeError::Broken { .. } => {
                        ServerOutcome::Broken
                    }
                };
                (outcome, None, Err(failed(end, RefusalReason::UpstreamFailed)))
            }
            Err(_) => {
                let now = self.state.clock.now();
                self.log_failure(request, &record.id, "no answer in time", now);
                let failure = failed(AttemptOutcome::MaybeRan, RefusalReason::Deadline);
                (ServerOutcome::Broken, None, Err(failure))
            }
        };
        let rest = result.as_mut().ok().and_then(|it| it.body_mut().passed_mut());
        match rest {
            Some(rest) => {
                if let Some(load) = load {
                    let now = self.state.clock.now();
                    self.state.core.lock().record_load(&record, load, now);
                }
                rest.report_attempt(ticket.passing(), outcome, span);
            }
            None => ticket.finish(outcome, load),
        }
        AttemptEnded { chosen, result }
    }

    /// Takes what a server told of itself with a response, whatever that means for the request.
    fn take_notices(&self, record: &ServerRecord, answer: &ResponseMetadata) {
        let server = &record.id;
        if answer.is_leaving && self.state.record_leaving(server, record.started) {
            log::info!(service:% = record.service, server:%; "server leaves, as it tells");
        }
        let Some(away) = answer.retry_after.filter(|it| !it.is_zero()) else { return };
        let now = self.state.clock.now();
        self.state.core.lock().record_away(record, now.after(away), now);
        self.state.meters.count_server_notice("away");
        let Some(dropped) = self.state.decisions.take_line(LineKind::Failed, None, now) else {
            return;
        };
        let away_ms = away.as_millis() as u64;
        log::info!(
            service:% = record.service, server:%, away_ms, lines_dropped = dropped;
            "server wants no requests, as it tells"
        );
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
        let head = ForwardMetadata {
            server,
            organisation: request.organisation,
            caller_timeout: patience,
        };
        self.state.platform.dialect.rewrite_request(&mut headers, &head);
        *outgoing.headers_mut() = headers;
        outgoing
    }
}

pub(super) fn failed(end: AttemptOutcome, reason: RefusalReason) -> AttemptFailure {
    AttemptFailure { end, reason, fallback: None }
}

/// What a complete response means.
fn judge(
    kind: ResponseKind,
    response: Response<EntryBody>,
    may_repeat: bool,
) -> (ServerOutcome, Result<Response<EntryBody>, AttemptFailure>) {
    match kind {
        ResponseKind::NotRun => {
            (ServerOutcome::Shed, Err(failed(AttemptOutcome::Shed, RefusalReason::NoRoom)))
        }
        ResponseKind::Misdirected => {
            (ServerOutcome::Broken, Err(failed(AttemptOutcome::Shed, RefusalReason::NoServer)))
        }
        ResponseKind::Mismatched | ResponseKind::Ran if response.status().is_server_error() => {
            if !may_repeat {
                return (ServerOutcome::Failed, Ok(response));
            }
            let failure = AttemptFailure {
                end: AttemptOutcome::MaybeRan,
                reason: RefusalReason::UpstreamFailed,
                fallback: Some(response),
            };
            (ServerOutcome::Failed, Err(failure))
        }
        ResponseKind::Mismatched | ResponseKind::Ran => (ServerOutcome::Succeeded, Ok(response)),
    }
}

//! Forwarding of a request to backend servers.
//!
//! An idempotent request whose server stays silent for long is also sent to another server. The first attempt goes on
//! meanwhile: silence does not show that the server is not at work, and the other attempt may fail. The first response
//! ends the others. The retry and the other server are reserved together, so that neither is missing afterwards.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use opentelemetry::trace::SpanKind;
use sapphireknot::{
    ids::{OrganisationId, RegionId, ServerId, ServiceId},
    picker::ServerOutcome,
    refusal::{RefusalReason, RequestRefusal, RunState},
    retry::{AttemptEnd, RetryPolicy, RetryVerdict},
    steering::{
        core::AttemptReport,
        fleet::ServerRecord,
        miss::ChoiceMiss,
        plan::{RequestPriority, RouteRule},
        query::{ChoiceQuery, ChosenServer},
        server_state::ServerLoad,
    },
    time::MonoTime,
};
use sapphireknot_platform::{AnswerKind, CallerHead, ServerAnswer, ServerHead};
use tokio::time::timeout_at;

use super::{
    caller_server::CallerServer, decision_line::AttemptNotes, decision_log::LineKind,
    fleet_actor::FleetMessage,
};
use crate::{constants, telemetry::HopSpan, upstream::connections::ExchangeError};

/// Least time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Times of the expected time after which an idempotent request goes to another server too.
const PATIENCE_FACTOR: f64 = 3.0;
/// Least time after which it does.
const MIN_PATIENCE: Duration = Duration::from_millis(250);
/// Part of the remaining time after which it does at the latest, so that another server has time to answer.
const PATIENCE_PART: f64 = 0.6;

/// Request that was admitted.
pub(super) struct EntryRequest<'a> {
    pub(super) route: &'a RouteRule,
    pub(super) service: &'a ServiceId,
    pub(super) organisation: Option<&'a OrganisationId>,
    pub(super) homes: Option<HashSet<RegionId>>,
    pub(super) priority: RequestPriority,
    pub(super) head: &'a CallerHead,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// When the response is due at the latest.
    pub(super) deadline: MonoTime,
    /// When the caller no longer waits.
    pub(super) caller_deadline: Option<MonoTime>,
}

impl EntryRequest<'_> {
    /// Hash of the object that a backend server may know.
    fn object(&self) -> Option<u64> {
        self.head.object.filter(|_| self.route.has_affinity)
    }
}

/// Why no attempt is made.
enum AttemptMiss {
    /// The time is over.
    Deadline,
    /// No server takes the request.
    Choice(ChoiceMiss),
}

impl AttemptMiss {
    /// What a caller is told without an attempt.
    fn refusal(&self, now: MonoTime) -> RequestRefusal {
        match self {
            Self::Deadline => RequestRefusal::not_run(RefusalReason::Deadline),
            Self::Choice(ChoiceMiss::NoServer { .. }) => {
                RequestRefusal::not_run(RefusalReason::NoServer)
                    .retry_at(now.after(MIN_RETRY_AFTER * 3))
            }
            Self::Choice(ChoiceMiss::NoRoom { wait, .. }) => {
                let wait = (*wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                RequestRefusal::not_run(RefusalReason::NoRoom).retry_at(now.after(wait))
            }
        }
    }

    fn into_choice(self) -> Option<ChoiceMiss> {
        match self {
            Self::Deadline => None,
            Self::Choice(miss) => Some(miss),
        }
    }
}

/// Attempt that ended without a response to pass on.
struct AttemptFailure {
    end: AttemptEnd,
    reason: RefusalReason,
    /// What the caller gets if no attempt follows.
    fallback: Option<Response<Bytes>>,
}

/// Attempt that ended.
struct AttemptEnded {
    chosen: ChosenServer,
    result: Result<Response<Bytes>, AttemptFailure>,
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

/// Latest attempt, for which another one may be made beside it.
struct LatestAttempt {
    record: Arc<ServerRecord>,
    /// When another one is considered.
    patience_until: MonoTime,
    is_overtaken: Arc<AtomicBool>,
}

impl CallerServer {
    /// Sends `request` until a response is complete or no further attempt is allowed.
    pub(super) async fn forward(
        &self,
        request: &EntryRequest<'_>,
        notes: &mut AttemptNotes,
        span: Option<&HopSpan>,
    ) -> Result<Response<Bytes>, RequestRefusal> {
        let route = request.route;
        let mut policy = RetryPolicy::new(route.is_idempotent, route.max_attempts);
        let mut tried: Vec<ServerId> = Vec::new();
        let mut failure: Option<AttemptFailure> = None;
        let mut running = FuturesUnordered::new();
        let mut latest: Option<LatestAttempt> = None;
        self.state.core.lock().budget_mut(request.service).deposit();
        notes.has_object = request.object().is_some();
        let mut next = match self.choose(request, &tried) {
            Ok(chosen) => Some(chosen),
            Err(miss) => {
                let refusal = miss.refusal(self.state.clock.now());
                notes.miss = miss.into_choice();
                return Err(refusal);
            }
        };
        loop {
            if let Some(chosen) = next.take() {
                tried.push(chosen.record.id.clone());
                notes.record(&chosen);
                let may_repeat = route.is_idempotent && tried.len() < route.max_attempts as usize;
                let patience_until = patience_end(request, &chosen, self.state.clock.now());
                let is_overtaken = Arc::new(AtomicBool::new(false));
                latest = may_repeat.then(|| LatestAttempt {
                    record: chosen.record.clone(),
                    patience_until,
                    is_overtaken: is_overtaken.clone(),
                });
                running.push(self.attempt(request, chosen, may_repeat, is_overtaken, span));
            }
            let ended = match &latest {
                Some(attempt) => {
                    let until = self.state.clock.instant(attempt.patience_until);
                    timeout_at(until, running.next()).await
                }
                None => Ok(running.next().await),
            };
            let Ok(ended) = ended else {
                if let Some(attempt) = latest.take() {
                    next = self.reserve_other(request, &mut policy, &tried, &attempt.record);
                    attempt.is_overtaken.store(next.is_some(), Ordering::Relaxed);
                }
                continue;
            };
            let ended = match ended {
                Some(AttemptEnded { chosen, result: Ok(response) }) => {
                    notes.chosen = Some(chosen);
                    return Ok(response);
                }
                Some(AttemptEnded { result: Err(failure), .. }) => failure,
                None => failed(AttemptEnd::NotSent, RefusalReason::NoServer),
            };
            latest = None;
            let now = self.state.clock.now();
            let verdict = {
                let mut core = self.state.core.lock();
                policy.after(ended.end, core.budget_mut(request.service))
            };
            let reason = ended.reason;
            // A server's own answer is passed on rather than a failure of a later attempt.
            let has_answer = ended.fallback.is_none()
                && failure.as_ref().is_some_and(|it| it.fallback.is_some());
            if !has_answer {
                failure = Some(ended);
            }
            let mut refusal = RequestRefusal::not_run(reason).retry_at(now.after(MIN_RETRY_AFTER));
            if verdict == RetryVerdict::Again {
                match self.choose(request, &tried) {
                    Ok(chosen) => {
                        next = Some(chosen);
                        continue;
                    }
                    Err(miss) => {
                        self.state.core.lock().budget_mut(request.service).refund();
                        refusal = miss.refusal(now);
                        notes.miss = miss.into_choice();
                    }
                }
            }
            let has_answer = failure.as_ref().is_some_and(|it| it.fallback.is_some());
            if running.is_empty() || has_answer {
                return give_up(&policy, failure, refusal);
            }
        }
    }

    /// Reserves a retry and another server for a request whose attempt at `running` takes long.
    fn reserve_other(
        &self,
        request: &EntryRequest<'_>,
        policy: &mut RetryPolicy,
        tried: &[ServerId],
        running: &ServerRecord,
    ) -> Option<ChosenServer> {
        {
            let mut core = self.state.core.lock();
            // A server that answers other requests is at work on this one too.
            if !core.is_silent(running, self.state.clock.now())
                || !policy.reserve(core.budget_mut(request.service))
            {
                return None;
            }
        }
        let chosen = self.choose(request, tried).ok();
        if chosen.is_none() {
            policy.release(self.state.core.lock().budget_mut(request.service));
        }
        chosen
    }

    fn choose(
        &self,
        request: &EntryRequest<'_>,
        tried: &[ServerId],
    ) -> Result<ChosenServer, AttemptMiss> {
        let now = self.state.clock.now();
        if now >= request.deadline {
            return Err(AttemptMiss::Deadline);
        }
        let query = ChoiceQuery {
            target_ms: target_ms(request.route),
            priority: request.priority,
            object: request.object(),
            version: None,
            homes: request.homes.as_ref(),
            excluded: tried,
            deadline: request.deadline,
        };
        let chosen = self.state.core.lock().choose(request.service, query, now, &mut rand::rng());
        chosen.map_err(AttemptMiss::Choice)
    }

    async fn attempt(
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

fn target_ms(route: &RouteRule) -> f64 {
    route.target_latency.as_secs_f64() * 1_000.0
}

/// When a silent server is no longer waited for alone, so that another one has time to answer.
fn patience_end(request: &EntryRequest<'_>, chosen: &ChosenServer, now: MonoTime) -> MonoTime {
    let expected = Duration::from_secs_f64(chosen.expected_ms * PATIENCE_FACTOR / 1_000.0);
    let left = now.until(request.deadline);
    now.after((expected + MIN_PATIENCE).max(left.mul_f64(PATIENCE_PART))).min(request.deadline)
}

fn failed(end: AttemptEnd, reason: RefusalReason) -> AttemptFailure {
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

/// The result of the last attempt, or `refusal` if there was none.
fn give_up(
    policy: &RetryPolicy,
    failure: Option<AttemptFailure>,
    refusal: RequestRefusal,
) -> Result<Response<Bytes>, RequestRefusal> {
    let Some(failure) = failure else { return Err(refusal) };
    if let Some(response) = failure.fallback {
        return Ok(response);
    }
    let ran = if policy.may_have_run() { RunState::Unknown } else { RunState::NotRun };
    let retry_at = refusal.retry_at.filter(|_| ran == RunState::NotRun);
    Err(RequestRefusal { reason: failure.reason, ran, retry_at })
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

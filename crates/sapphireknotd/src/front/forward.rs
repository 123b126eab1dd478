//! Forwarding of requests to backend servers, with retries.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::Full;
use opentelemetry::{KeyValue, trace::SpanKind};
use rand::RngExt;
use sapphireknot::{
    ids::{OrganisationId, ServerId},
    keys::KeyDigest,
    picker::ServerOutcome,
    refusal::{RefusalReason, RequestRefusal, RunState},
    retry::{AttemptOutcome, RetryDecision, RetryPolicy},
    routes::RouteMatch,
    time::MonoTime,
};
use tokio::time::{sleep, timeout_at};

use super::{
    FrontServer, authentication,
    headers::{DEADLINE, ORGANISATION, REQUEST_RAN},
};
use crate::{
    claims::RequestClaim,
    interfaces::{PickQuery, PickRefusal, ServerTicket, VersionSample},
    telemetry::{self, HopSpan},
    upstream::connections::{ExchangeError, REQUEST_ID, UsedConnections},
};

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum jitter before a retry, which keeps the retries of many requests from arriving at once.
const RETRY_JITTER: Duration = Duration::from_millis(10);
/// Default `Retry-After` for a service without free slots.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum `Retry-After` accepted from a backend server.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Request that passed authentication and admission.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) matched: RouteMatch,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) digest: Option<KeyDigest>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) request_id: String,
    pub(super) deadline: MonoTime,
    /// Claim on the idempotency key of this request.
    pub(super) claim: Option<RequestClaim>,
}

/// Result of one attempt.
enum AttemptResult {
    /// Response for the caller.
    Completed(Response<Bytes>),
    /// The attempt failed and may be retried.
    Failed(AttemptFailure),
}

/// Failed attempt.
struct AttemptFailure {
    outcome: AttemptOutcome,
    reason: RefusalReason,
    /// Response to return if no retry follows.
    fallback: Option<Response<Bytes>>,
    /// When the backend server may have free slots again.
    retry_at: Option<MonoTime>,
}

impl FrontServer {
    /// Sends `request` until a response is complete or the retry policy allows no further attempt.
    pub(super) async fn forward(
        &self,
        request: &AdmittedRequest,
        span: &HopSpan,
    ) -> Result<Response<Bytes>, RequestRefusal> {
        let route = request.matched.route();
        let mut policy = RetryPolicy::new(route.idempotent, MAX_ATTEMPTS);
        let (mut failed, mut shed_by): (Vec<ServerId>, Vec<ServerId>) = Default::default();
        let mut failure: Option<(RefusalReason, Option<Response<Bytes>>)> = None;
        let used = UsedConnections::default();
        self.retry_budget.lock().deposit();
        loop {
            let excluded = [failed.as_slice(), &shed_by].concat();
            let mut picked = self.pick(request, &excluded).await;
            if matches!(&picked, Err(it) if it.reason == RefusalReason::NoServer) {
                // No other server is left; one that shed the request may have a free slot by now.
                picked = self.pick(request, &failed).await;
            }
            let ticket = match picked {
                Ok(ticket) => ticket,
                Err(refusal) => {
                    if failure.is_some() {
                        self.retry_budget.lock().refund();
                    }
                    return final_result(&policy, failure, refusal);
                }
            };
            // The key may have been revoked while the body arrived, during an earlier attempt or while waiting for a
            // slot.
            self.revalidate(request).map_err(|err| with_run_state(&policy, err))?;
            let server = ticket.server().clone();
            let attempt_failure = match self.attempt(request, ticket, &used, span).await {
                AttemptResult::Completed(response) => return Ok(response),
                AttemptResult::Failed(failure) => failure,
            };
            let AttemptFailure { outcome, reason, fallback, retry_at } = attempt_failure;
            let decision = policy.record_attempt(outcome, &mut self.retry_budget.lock());
            failure = Some((reason, fallback));
            let tried = if outcome == AttemptOutcome::Shed { &mut shed_by } else { &mut failed };
            tried.push(server);
            if decision != RetryDecision::Retry {
                let refusal = RequestRefusal { retry_at, ..RequestRefusal::not_run(reason) };
                return final_result(&policy, failure, refusal);
            }
            if outcome == AttemptOutcome::MaybeRan {
                let fraction = rand::rng().random_range(0.0..1.0);
                sleep(RETRY_JITTER.mul_f64(fraction)).await;
            }
        }
    }

    /// Refuses a request whose key was revoked or whose deadline has passed.
    fn revalidate(&self, request: &AdmittedRequest) -> Result<(), RequestRefusal> {
        if let Some(digest) = &request.digest {
            let owner = authentication::key_owner(&self.context, digest)?;
            if request.organisation.as_ref() != Some(&owner) {
                return Err(RequestRefusal::not_run(RefusalReason::KeyRejected));
            }
        }
        if self.context.clock.now() >= request.deadline {
            return Err(RequestRefusal::not_run(RefusalReason::Deadline));
        }
        Ok(())
    }

    async fn pick(
        &self,
        request: &AdmittedRequest,
        excluded: &[ServerId],
    ) -> Result<Box<dyn ServerTicket>, RequestRefusal> {
        let query = PickQuery {
            service: &request.matched.service.id,
            route: request.matched.route(),
            organisation: request.organisation.as_ref(),
            excluded,
            deadline: request.deadline,
        };
        self.context.servers.pick(query).await.map_err(|err| match err {
            PickRefusal::Deadline => RequestRefusal::not_run(RefusalReason::Deadline),
            PickRefusal::NoServer => RequestRefusal::not_run(RefusalReason::NoServer),
            PickRefusal::NoRoom => RequestRefusal::not_run(RefusalReason::NoRoom)
                .retry_at(self.context.clock.now().after(DEFAULT_RETRY_AFTER)),
        })
    }

    async fn attempt(
        &self,
        request: &AdmittedRequest,
        ticket: Box<dyn ServerTicket>,
        used: &UsedConnections,
        parent: &HopSpan,
    ) -> AttemptResult {
        let span = HopSpan::start("attempt", SpanKind::Client, parent.context());
        span.set_attribute("server", ticket.server().to_string());
        span.set_attribute("version", ticket.version().to_string());
        let started = self.context.clock.now();
        let peer = ticket.address();
        let upstream_request = self.upstream_request(request, ticket.as_ref(), &span);
        let max_bytes = self.context.settings.limits.max_response_bytes;
        if let Some(claim) = &request.claim {
            claim.record_sent();
        }
        let exchange = self.connections.exchange(peer, upstream_request, max_bytes, used);
        let until = self.context.clock.instant(request.deadline);
        let (outcome, result) = match timeout_at(until, exchange).await {
            Ok(Ok(response)) => classify_response(request, response, self.context.clock.now()),
            Ok(Err(err)) => {
                log::warn!(request = request.request_id, server:% = ticket.server(), error:% = err; "attempt failed");
                let attempt_outcome = match err {
                    ExchangeError::NotSent { .. } => AttemptOutcome::NotSent,
                    ExchangeError::NoMemory { .. } | ExchangeError::Broken { .. } => {
                        AttemptOutcome::MaybeRan
                    }
                };
                (
                    ServerOutcome::Broken,
                    failed_attempt(attempt_outcome, RefusalReason::UpstreamFailed),
                )
            }
            Err(_) => (
                ServerOutcome::Broken,
                failed_attempt(AttemptOutcome::MaybeRan, RefusalReason::Deadline),
            ),
        };
        if outcome != ServerOutcome::Succeeded {
            span.set_error("attempt failed");
        }
        let latency = self.context.clock.now().since(started);
        self.context.versions.record(VersionSample {
            service: request.matched.service.id.clone(),
            version: ticket.version().clone(),
            route: request.matched.route().id.clone(),
            outcome,
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
        });
        self.metrics.attempts.add(1, &[KeyValue::new("outcome", format!("{outcome:?}"))]);
        ticket.finish(outcome);
        result
    }

    fn upstream_request(
        &self,
        request: &AdmittedRequest,
        ticket: &dyn ServerTicket,
        span: &HopSpan,
    ) -> Request<Full<Bytes>> {
        let mut upstream_request = Request::new(Full::new(request.body.clone()));
        *upstream_request.method_mut() = request.method.clone();
        *upstream_request.uri_mut() = request.target.clone();
        let mut headers = request.headers.clone();
        let remaining_ms = self.context.clock.now().until(request.deadline).as_millis().to_string();
        let organisation = request.organisation.as_ref().map(|it| it.to_string());
        let added = [
            (header::HOST.as_str(), Some(ticket.address().to_string())),
            (ORGANISATION, organisation),
            (REQUEST_ID, Some(request.request_id.clone())),
            (DEADLINE, Some(remaining_ms)),
        ];
        for (name, value) in added {
            let value = value.and_then(|it| HeaderValue::from_str(&it).ok());
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
        telemetry::inject_parent(span.context(), &mut headers);
        *upstream_request.headers_mut() = headers;
        upstream_request
    }
}

fn failed_attempt(outcome: AttemptOutcome, reason: RefusalReason) -> AttemptResult {
    AttemptResult::Failed(AttemptFailure { outcome, reason, fallback: None, retry_at: None })
}

/// Classifies a complete response: pass it on, or treat the attempt as failed.
fn classify_response(
    request: &AdmittedRequest,
    response: Response<Bytes>,
    now: MonoTime,
) -> (ServerOutcome, AttemptResult) {
    let status = response.status().as_u16();
    let ran = response.headers().get(REQUEST_RAN).map(HeaderValue::as_bytes);
    if status == 503 && ran == Some(b"no") {
        let failure = AttemptFailure {
            outcome: AttemptOutcome::Shed,
            reason: RefusalReason::NoRoom,
            fallback: None,
            retry_at: Some(now.after(retry_after(response.headers()))),
        };
        return (ServerOutcome::Shed, AttemptResult::Failed(failure));
    }
    if request.matched.route().idempotent && matches!(status, 502..=504) {
        let failure = AttemptFailure {
            outcome: AttemptOutcome::MaybeRan,
            reason: RefusalReason::UpstreamFailed,
            fallback: Some(response),
            retry_at: None,
        };
        return (ServerOutcome::Failed, AttemptResult::Failed(failure));
    }
    let outcome = if status >= 500 { ServerOutcome::Failed } else { ServerOutcome::Succeeded };
    (outcome, AttemptResult::Completed(response))
}

/// The `Retry-After` of a backend server that shed the request, within fixed bounds.
///
/// The value is capped because another server may have a free slot earlier.
fn retry_after(headers: &HeaderMap) -> Duration {
    let text = headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok());
    let seconds = text.and_then(|it| it.parse().ok()).map(Duration::from_secs);
    seconds.unwrap_or(DEFAULT_RETRY_AFTER).clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Sets the run state of `refusal` from the earlier attempts.
fn with_run_state(policy: &RetryPolicy, refusal: RequestRefusal) -> RequestRefusal {
    let ran = if policy.may_have_run() { RunState::Unknown } else { RunState::NotRun };
    RequestRefusal { ran, ..refusal }
}

/// The result of the last attempt, or `refusal` if there was no attempt.
fn final_result(
    policy: &RetryPolicy,
    failure: Option<(RefusalReason, Option<Response<Bytes>>)>,
    refusal: RequestRefusal,
) -> Result<Response<Bytes>, RequestRefusal> {
    match failure {
        Some((_, Some(response))) => Ok(response),
        Some((reason, None)) => Err(with_run_state(policy, RequestRefusal { reason, ..refusal })),
        None => Err(refusal),
    }
}

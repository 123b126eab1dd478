//! Forwarding of requests to backend servers, with retries and hedging.
//!
//! An idempotent request whose server stays silent for long is hedged: it is also sent to another server. The first
//! attempt continues, because silence does not show that the server has stopped working on it, and the second attempt
//! may fail. The first response cancels the other attempts. The retry and the second server are reserved together, so
//! that neither is missing when the hedge starts.

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
use http::{HeaderMap, Method, Response, Uri};
use sapphireknot::{
    ids::{OrganisationId, RegionId, ServerId, ServiceId},
    refusal::{RefusalReason, RequestRefusal, RunState},
    retry::{AttemptOutcome, RetryDecision, RetryPolicy},
    steering::{
        fleet::ServerRecord,
        plan::{RequestPriority, RouteRule},
        query::{ChoiceQuery, ChosenServer},
        rejection::ChoiceError,
    },
    time::MonoTime,
};
use sapphireknot_platform::RequestMetadata;
use tokio::time::timeout_at;

use super::{
    attempt::{AttemptFailure, FinishedAttempt, attempt_failure},
    caller_body::EntryBody,
    caller_server::CallerServer,
    request_log::AttemptSummary,
};
use crate::{telemetry::HopSpan, upstream::connections::UsedConnections};

/// Minimum delay after which a caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Maximum delay after which a caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Multiple of the expected latency after which an idempotent request is hedged.
const HEDGE_LATENCY_FACTOR: f64 = 3.0;
/// Minimum delay before a request is hedged; added to that multiple.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Minimum fraction of the remaining time that passes before a request is hedged; the rest is left for the other server.
const MIN_HEDGE_FRACTION: f64 = 0.6;

/// Request that was admitted.
pub(super) struct EntryRequest<'a> {
    pub(super) route: &'a RouteRule,
    pub(super) service: &'a ServiceId,
    pub(super) organisation: Option<&'a OrganisationId>,
    pub(super) homes: Option<HashSet<RegionId>>,
    pub(super) priority: RequestPriority,
    pub(super) metadata: &'a RequestMetadata,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Latest time for the response.
    pub(super) deadline: MonoTime,
    /// Time at which the caller stops waiting, if its request states one.
    pub(super) caller_deadline: Option<MonoTime>,
}

impl EntryRequest<'_> {
    /// Hash of the object for which the route has server affinity.
    fn object(&self) -> Option<u64> {
        self.metadata.object.filter(|_| self.route.has_affinity)
    }
}

/// Reason why no attempt is made.
enum SelectionFailure {
    /// The deadline of the request has passed.
    Deadline,
    /// The host is shutting down and may end before the request does.
    Draining,
    /// No server can be selected.
    Choice(ChoiceError),
}

impl SelectionFailure {
    /// Refusal to return to the caller if there was no attempt.
    ///
    /// `next_return` returns the next time at which a server that currently takes no requests takes them again.
    fn refusal<F>(&self, next_return: F, now: MonoTime) -> RequestRefusal
    where
        F: FnOnce() -> Option<MonoTime>,
    {
        match self {
            Self::Deadline => RequestRefusal::not_run(RefusalReason::Deadline),
            Self::Draining => draining_refusal(now),
            Self::Choice(ChoiceError::NoServer { .. }) => {
                let retry_at = next_return().unwrap_or(now.after(MIN_RETRY_AFTER * 3));
                RequestRefusal::not_run(RefusalReason::NoServer).retry_at(retry_at)
            }
            Self::Choice(ChoiceError::NoRoom { wait, .. }) => {
                let wait = (*wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                RequestRefusal::not_run(RefusalReason::NoRoom).retry_at(now.after(wait))
            }
        }
    }

    fn into_choice(self) -> Option<ChoiceError> {
        match self {
            Self::Deadline | Self::Draining => None,
            Self::Choice(error) => Some(error),
        }
    }
}

/// Latest attempt, which may still be hedged.
struct LatestAttempt {
    record: Arc<ServerRecord>,
    /// Time at which a hedge is considered.
    hedge_at: MonoTime,
    is_hedged: Arc<AtomicBool>,
}

impl CallerServer {
    /// Sends `request` until a response is complete or no further attempt is allowed.
    pub(super) async fn forward(
        &self,
        request: &EntryRequest<'_>,
        summary: &mut AttemptSummary,
        span: Option<&HopSpan>,
    ) -> Result<Response<EntryBody>, RequestRefusal> {
        let route = request.route;
        let mut policy = RetryPolicy::new(route.is_idempotent, route.max_attempts);
        let mut tried: Vec<ServerId> = Vec::new();
        let mut failure: Option<AttemptFailure> = None;
        let used = UsedConnections::default();
        let mut running = FuturesUnordered::new();
        let mut latest: Option<LatestAttempt> = None;
        self.state.core.lock().budget_mut(request.service).deposit();
        summary.has_object = request.object().is_some();
        let mut next = match self.choose(request, &tried) {
            Ok(chosen) => Some(chosen),
            Err(selection_failure) => {
                let refusal = self.refusal(request, &selection_failure);
                summary.choice_error = selection_failure.into_choice();
                return Err(refusal);
            }
        };
        loop {
            if let Some(chosen) = next.take() {
                tried.push(chosen.record.id.clone());
                summary.record(&chosen);
                let may_retry = route.is_idempotent && tried.len() < route.max_attempts as usize;
                let hedge_at = hedge_time(request, &chosen, self.state.clock.now());
                let is_hedged = Arc::new(AtomicBool::new(false));
                latest = may_retry.then(|| LatestAttempt {
                    record: chosen.record.clone(),
                    hedge_at,
                    is_hedged: is_hedged.clone(),
                });
                running.push(self.attempt(request, chosen, may_retry, is_hedged, &used, span));
            }
            let ended = match &latest {
                Some(attempt) => {
                    let until = self.state.clock.instant(attempt.hedge_at);
                    timeout_at(until, running.next()).await
                }
                None => Ok(running.next().await),
            };
            let Ok(ended) = ended else {
                if let Some(attempt) = latest.take() {
                    next = self.reserve_hedge(request, &mut policy, &tried, &attempt.record);
                    attempt.is_hedged.store(next.is_some(), Ordering::Relaxed);
                }
                continue;
            };
            let ended = match ended {
                Some(FinishedAttempt { chosen, result: Ok(response) }) => {
                    summary.chosen = Some(chosen);
                    return Ok(response);
                }
                Some(FinishedAttempt { result: Err(failure), .. }) => failure,
                None => attempt_failure(AttemptOutcome::NotSent, RefusalReason::NoServer),
            };
            latest = None;
            let now = self.state.clock.now();
            let decision = {
                let mut core = self.state.core.lock();
                policy.record_attempt(ended.outcome, core.budget_mut(request.service))
            };
            let reason = ended.reason;
            // A response from a server takes precedence over the failure of a later attempt.
            let has_response = ended.fallback.is_none()
                && failure.as_ref().is_some_and(|it| it.fallback.is_some());
            if !has_response {
                failure = Some(ended);
            }
            let mut refusal = RequestRefusal::not_run(reason).retry_at(now.after(MIN_RETRY_AFTER));
            if decision == RetryDecision::Retry {
                match self.choose(request, &tried) {
                    Ok(chosen) => {
                        next = Some(chosen);
                        continue;
                    }
                    Err(selection_failure) => {
                        self.state.core.lock().budget_mut(request.service).refund();
                        refusal = self.refusal(request, &selection_failure);
                        summary.choice_error = selection_failure.into_choice();
                    }
                }
            }
            let has_response = failure.as_ref().is_some_and(|it| it.fallback.is_some());
            if running.is_empty() || has_response {
                return final_result(&policy, failure, refusal);
            }
        }
    }

    /// Reserves a retry and another server for a request whose attempt at `running` takes long.
    fn reserve_hedge(
        &self,
        request: &EntryRequest<'_>,
        policy: &mut RetryPolicy,
        tried: &[ServerId],
        running: &ServerRecord,
    ) -> Option<ChosenServer> {
        {
            let mut core = self.state.core.lock();
            // A server that answers other requests is likely to be working on this one too.
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

    fn refusal(&self, request: &EntryRequest<'_>, failure: &SelectionFailure) -> RequestRefusal {
        let now = self.state.clock.now();
        failure.refusal(|| self.state.core.lock().next_backoff_end(request.service, now), now)
    }

    fn choose(
        &self,
        request: &EntryRequest<'_>,
        tried: &[ServerId],
    ) -> Result<ChosenServer, SelectionFailure> {
        let now = self.state.clock.now();
        if now >= request.deadline {
            return Err(SelectionFailure::Deadline);
        }
        if !self.state.allows_request(request.deadline) {
            return Err(SelectionFailure::Draining);
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
        chosen.map_err(SelectionFailure::Choice)
    }
}

pub(super) fn target_ms(route: &RouteRule) -> f64 {
    route.target_latency.as_secs_f64() * 1_000.0
}

/// Time at which a request to a silent server is hedged, so that another server still has time to answer.
fn hedge_time(request: &EntryRequest<'_>, chosen: &ChosenServer, now: MonoTime) -> MonoTime {
    let expected = Duration::from_secs_f64(chosen.expected_ms * HEDGE_LATENCY_FACTOR / 1_000.0);
    let left = now.until(request.deadline);
    now.after((expected + MIN_HEDGE_DELAY).max(left.mul_f64(MIN_HEDGE_FRACTION)))
        .min(request.deadline)
}

/// Refusal of a request that this host may not complete before it shuts down; other hosts serve it at once.
pub(super) fn draining_refusal(now: MonoTime) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::Draining).retry_at(now)
}

/// Result of the last attempt, or `refusal` if there was none.
fn final_result(
    policy: &RetryPolicy,
    failure: Option<AttemptFailure>,
    refusal: RequestRefusal,
) -> Result<Response<EntryBody>, RequestRefusal> {
    let Some(failure) = failure else { return Err(refusal) };
    if let Some(response) = failure.fallback {
        return Ok(response);
    }
    let ran = if policy.may_have_run() { RunState::Unknown } else { RunState::NotRun };
    let retry_at = refusal.retry_at.filter(|_| ran == RunState::NotRun);
    Err(RequestRefusal { reason: failure.reason, ran, retry_at })
}

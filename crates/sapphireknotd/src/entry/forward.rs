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
use http::{HeaderMap, Method, Response, Uri};
use sapphireknot::{
    ids::{OrganisationId, RegionId, ServerId, ServiceId},
    refusal::{RefusalReason, RequestRefusal, RunState},
    retry::{AttemptOutcome, RetryDecision, RetryPolicy},
    steering::{
        fleet::ServerRecord,
        miss::ChoiceMiss,
        plan::{RequestPriority, RouteRule},
        query::{ChoiceQuery, ChosenServer},
    },
    time::MonoTime,
};
use sapphireknot_platform::RequestMetadata;
use tokio::time::timeout_at;

use super::{
    attempt::{AttemptEnded, AttemptFailure, failed},
    caller_body::EntryBody,
    caller_server::CallerServer,
    decision_line::AttemptNotes,
};
use crate::telemetry::HopSpan;

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
    pub(super) head: &'a RequestMetadata,
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
    ///
    /// `next_return` says when a server that wants no requests for now wants some again.
    fn refusal<F>(&self, next_return: F, now: MonoTime) -> RequestRefusal
    where
        F: FnOnce() -> Option<MonoTime>,
    {
        match self {
            Self::Deadline => RequestRefusal::not_run(RefusalReason::Deadline),
            Self::Choice(ChoiceMiss::NoServer { .. }) => {
                let retry_at = next_return().unwrap_or(now.after(MIN_RETRY_AFTER * 3));
                RequestRefusal::not_run(RefusalReason::NoServer).retry_at(retry_at)
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
    ) -> Result<Response<EntryBody>, RequestRefusal> {
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
                let refusal = self.refusal(request, &miss);
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
                None => failed(AttemptOutcome::NotSent, RefusalReason::NoServer),
            };
            latest = None;
            let now = self.state.clock.now();
            let verdict = {
                let mut core = self.state.core.lock();
                policy.record_attempt(ended.end, core.budget_mut(request.service))
            };
            let reason = ended.reason;
            // A server's own answer is passed on rather than a failure of a later attempt.
            let has_answer = ended.fallback.is_none()
                && failure.as_ref().is_some_and(|it| it.fallback.is_some());
            if !has_answer {
                failure = Some(ended);
            }
            let mut refusal = RequestRefusal::not_run(reason).retry_at(now.after(MIN_RETRY_AFTER));
            if verdict == RetryDecision::Retry {
                match self.choose(request, &tried) {
                    Ok(chosen) => {
                        next = Some(chosen);
                        continue;
                    }
                    Err(miss) => {
                        self.state.core.lock().budget_mut(request.service).refund();
                        refusal = self.refusal(request, &miss);
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

    fn refusal(&self, request: &EntryRequest<'_>, miss: &AttemptMiss) -> RequestRefusal {
        let now = self.state.clock.now();
        miss.refusal(|| self.state.core.lock().next_return(request.service, now), now)
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
}

pub(super) fn target_ms(route: &RouteRule) -> f64 {
    route.target_latency.as_secs_f64() * 1_000.0
}

/// When a silent server is no longer waited for alone, so that another one has time to answer.
fn patience_end(request: &EntryRequest<'_>, chosen: &ChosenServer, now: MonoTime) -> MonoTime {
    let expected = Duration::from_secs_f64(chosen.expected_ms * PATIENCE_FACTOR / 1_000.0);
    let left = now.until(request.deadline);
    now.after((expected + MIN_PATIENCE).max(left.mul_f64(PATIENCE_PART))).min(request.deadline)
}

/// The result of the last attempt, or `refusal` if there was none.
fn give_up(
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

//! Serves callers: finds the route, checks key and quota, and forwards.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::trace::SpanKind;
use ractor::ActorRef;
use sapphireknot::{
    drain::DrainStage,
    ids::OrganisationId,
    refusal::{RefusalReason, RequestRefusal, RunState},
    steering::plan::{RouteRule, RoutingPlan},
    time::MonoTime,
};
use sapphireknot_platform::CallerHead;
use tokio::net::TcpListener;

use super::{
    decision_line::{AttemptNotes, RequestEnd, RequestTrail},
    decision_log::LineKind,
    fleet_actor::FleetMessage,
    forward::EntryRequest,
    quota_peers::QuotaPeers,
    state::EntryState,
};
use crate::{
    buffers::BufferBudget,
    constants,
    front::{
        bodies::read_body,
        connections::{ConnectionLimits, accept_connections, serve_connection},
        headers::drop_hop_by_hop,
        refusals::FrontRefusal,
    },
    telemetry::{self, HopSpan},
    upstream::connections::{ConnectionPool, PoolLimits},
};

/// Connections of callers at the same time; leaves descriptors for backend servers out of the 4,100 of a host.
const MAX_CONNECTIONS: usize = 2_400;
/// Time to open a connection to a backend server; ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections that are kept per backend server; twelve hosts stay far below its limit.
const MAX_IDLE: usize = 12;
/// Time for which an idle connection to a backend server is used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which bytes to a backend server may stay unacknowledged before the connection counts as silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_200);
/// Time that a connection may be idle beyond the limit that callers know, so that it is they who stop using it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time after which a host without a plan is asked again.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Server for callers.
pub struct CallerServer {
    pub(super) state: Arc<EntryState>,
    pub(super) connections: ConnectionPool,
    pub(super) fleet: ActorRef<FleetMessage>,
    quotas: QuotaPeers,
    buffers: BufferBudget,
    /// Held by each connection that may have a request in flight.
    busy: Arc<()>,
    /// Whether spans leave the process; without a receiver they are not produced.
    has_traces: bool,
}

impl CallerServer {
    /// A server that tells `fleet` of rollouts that look bad.
    pub fn new(state: Arc<EntryState>, fleet: ActorRef<FleetMessage>) -> Self {
        let limits = PoolLimits {
            max_idle: MAX_IDLE,
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            unacknowledged: Some(UNACKNOWLEDGED),
        };
        let has_traces = state.settings.load().telemetry.otlp.is_some();
        Self {
            state,
            connections: ConnectionPool::with_limits(constants::MAX_BUFFERED_BYTES, limits),
            fleet,
            quotas: QuotaPeers::default(),
            // A request that has not run is refused rather than kept waiting for memory.
            buffers: BufferBudget::new(constants::MAX_BUFFERED_BYTES),
            busy: Arc::default(),
            has_traces,
        }
    }

    /// Connections that may have a request in flight.
    pub fn in_flight(&self) -> usize {
        Arc::strong_count(&self.busy) - 1
    }

    /// Accepts connections until the host closes.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let serve = |stream, _peer| {
            let server = self.clone();
            async move {
                let answer = |request| server.handle(request);
                let limits = server.connection_limits();
                let drain = &server.state.drain;
                serve_connection(stream, limits, drain, &server.busy, answer).await;
            }
        };
        let drain = &self.state.drain;
        accept_connections(listener, MAX_CONNECTIONS, drain, DrainStage::Closing, serve).await;
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let plan = self.state.plan.load_full();
        let limits = plan.as_ref().map(|it| &it.limits);
        ConnectionLimits {
            // The time of an idle connection counts too, so that the limit for headers would close it too early.
            header_timeout: limits
                .map_or(constants::HEADER_TIMEOUT.0, |it| it.idle_timeout + IDLE_MARGIN),
            max_header_bytes: limits.map_or(constants::MAX_HEADER_BYTES, |it| it.max_header_bytes),
            write_timeout: constants::WRITE_TIMEOUT.0,
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let started = self.state.clock.now();
        let head = self.state.platform.dialect.read_request(request.headers());
        let span = self.has_traces.then(|| {
            let parent = telemetry::extract_parent(request.headers());
            HopSpan::start("request", SpanKind::Server, &parent)
        });
        let plan = self.state.plan.load_full();
        let (parts, body) = request.into_parts();
        let route = plan.as_deref().and_then(|plan| {
            let host_name = host_name(&parts)?;
            plan.find_route(host_name, parts.uri.path()).cloned()
        });
        let mut trail = RequestTrail {
            head: &head,
            plan: plan.as_deref(),
            route: route.as_deref(),
            organisation: None,
            service: None,
            notes: AttemptNotes::default(),
        };
        let result = match (&plan, &route) {
            (None, _) => {
                let refusal = RequestRefusal::not_run(RefusalReason::NotReady);
                Err(refusal.retry_at(started.after(NOT_READY_RETRY)).into())
            }
            (Some(_), None) => Err(FrontRefusal::not_run(RefusalReason::UnknownRoute)),
            (Some(plan), Some(route)) => {
                let inputs = RequestInputs { plan, route, head: &head, started };
                self.answer(inputs, parts, body, &mut trail, span.as_ref()).await
            }
        };
        if let (Some(span), Err(_)) = (&span, &result) {
            span.fail("refused");
        }
        Ok(self.finish(result, &trail, started).map(Full::new))
    }

    async fn answer<'a>(
        &self,
        inputs: RequestInputs<'a>,
        parts: http::request::Parts,
        body: Incoming,
        trail: &mut RequestTrail<'a>,
        span: Option<&HopSpan>,
    ) -> Result<Response<Bytes>, FrontRefusal> {
        let RequestInputs { plan, route, head, started } = inputs;
        let organisation = if route.is_open { None } else { Some(key_owner(plan, head)?) };
        trail.organisation = organisation;
        let patience = head.patience.unwrap_or(route.timeout);
        let deadline = started.after(patience.min(route.timeout));
        let caller_deadline = head.patience.map(|it| started.after(it));
        let (max_bytes, until) = (plan.limits.max_body_bytes, self.state.clock.instant(deadline));
        let body = read_body(&self.buffers, &parts.headers, body, max_bytes, until).await?;
        if let Some(organisation) = organisation
            && let Err(retry_at) = self.quotas.admit(&self.state, organisation).await
        {
            let refusal = RequestRefusal::not_run(RefusalReason::OverRate);
            return Err(refusal.retry_at(retry_at).into());
        }
        let service = self.state.core.lock().next_service(route);
        let Some(service) = service else {
            return Err(FrontRefusal::not_run(RefusalReason::NoServer));
        };
        trail.service = Some(service.clone());
        let own_priority = organisation.and_then(|it| plan.organisations.get(it)?.priority);
        let mut headers = parts.headers;
        drop_hop_by_hop(&mut headers);
        for name in [header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        let request = EntryRequest {
            route,
            service: &service,
            organisation,
            homes: plan.homes(route, organisation),
            priority: own_priority.unwrap_or(route.priority),
            head,
            method: parts.method,
            target: parts.uri,
            headers,
            body,
            deadline,
            caller_deadline,
        };
        let result = self.forward(&request, &mut trail.notes, span).await;
        if let (Some(organisation), Err(refusal)) = (organisation, &result)
            && refusal.ran == RunState::NotRun
        {
            self.state.core.lock().refund_quota(organisation, self.state.clock.now());
        }
        Ok(result?)
    }

    /// The response to the caller, with its log line and metrics.
    fn finish(
        &self,
        result: Result<Response<Bytes>, FrontRefusal>,
        trail: &RequestTrail<'_>,
        started: MonoTime,
    ) -> Response<Bytes> {
        let now = self.state.clock.now();
        let elapsed = now.since(started);
        let name = match &result {
            Ok(response) if response.status().is_success() => "passed",
            Ok(_) => "server-error",
            Err(refusal) => refusal.refusal.reason.as_str(),
        };
        let service = trail.service.as_ref().map_or("", |it| it.as_str());
        self.state.meters.count_request(service, name, elapsed);
        let kind = match (&result, trail.route) {
            (Ok(response), Some(route)) if response.status().is_success() => {
                if elapsed > route.target_latency { LineKind::Late } else { LineKind::Good }
            }
            (Err(refusal), _) if is_callers_fault(refusal.refusal.reason) => LineKind::Rejected,
            _ => LineKind::Failed,
        };
        let request_id = trail.head.request_id.as_ref();
        if let Some(dropped) = self.state.decisions.take_line(kind, request_id, now) {
            // What a host believes of the service decides a refusal without an attempt.
            let refused_at_once = trail.notes.attempts == 0 && result.is_err();
            let refused_by = trail.service.as_ref().filter(|_| refused_at_once);
            let belief = refused_by
                .and_then(|it| Some(self.state.core.lock().pickers().get(it)?.summary(now)));
            let refusal = result.as_ref().err().map(|it| &it.refusal);
            let end = RequestEnd { result: name, kind, refusal, elapsed, belief, dropped };
            trail.write(&end, now);
        }
        let mut response = match result {
            Ok(mut response) => {
                drop_hop_by_hop(response.headers_mut());
                response
            }
            Err(refusal) => {
                let dialect = &self.state.platform.dialect;
                let mut response = dialect.refuse(&refusal.refusal, refusal.status, now);
                if let Some(id) = &trail.head.request_id {
                    response.headers_mut().insert(request_id_header(), id.clone());
                }
                response
            }
        };
        response.headers_mut().remove(header::CONTENT_LENGTH);
        if *self.state.drain.borrow() >= DrainStage::Leaving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// What is known of a request before its body is read.
#[derive(Clone, Copy)]
struct RequestInputs<'a> {
    plan: &'a RoutingPlan,
    route: &'a RouteRule,
    head: &'a CallerHead,
    started: MonoTime,
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

fn key_owner<'a>(
    plan: &'a RoutingPlan,
    head: &CallerHead,
) -> Result<&'a OrganisationId, FrontRefusal> {
    let digest = head.key.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyMissing))?;
    let owner = plan.key_owner(&digest);
    owner.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyRejected))
}

fn host_name(parts: &http::request::Parts) -> Option<&str> {
    let named = parts.uri.authority().map(|it| it.as_str());
    named.or_else(|| parts.headers.get(header::HOST)?.to_str().ok())
}

fn request_id_header() -> http::HeaderName {
    http::HeaderName::from_static(crate::upstream::connections::REQUEST_ID)
}

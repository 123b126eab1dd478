//! Serves callers: finds the route, checks key and quota, and forwards.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, Uri, header};
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
use sapphireknot_platform::RequestMetadata;
use tokio::{net::TcpListener, sync::Semaphore};

use super::{
    caller_body::EntryBody,
    decision_line::{AttemptNotes, RequestTrail},
    fleet_actor::FleetMessage,
    forward::EntryRequest,
    quota_peers::QuotaPeers,
    request_report::{RequestReport, RequestResult},
    state::EntryState,
};
use crate::{
    buffers::{BufferBudget, PIECE_BYTES},
    constants,
    front::{
        bodies::read_body,
        connections::{ConnectionLimits, accept_connections, serve_pipelined},
        headers::drop_hop_by_hop,
        pipeline::PipelineService,
        refusals::FrontRefusal,
    },
    telemetry::{self, HopSpan},
    upstream::{
        connections::ConnectionPool,
        pool_limits::{PoolLimits, ReceiveLimits},
    },
};

/// Connections of callers at the same time; leaves descriptors for backend servers out of the 4,100 of a host.
const MAX_CONNECTIONS: usize = 2_400;
/// Requests of all connections that are worked on before earlier ones of their connections are answered; the heads and
/// responses of so many take a few megabytes.
const MAX_AHEAD: usize = 512;
/// Time to open a connection to a backend server; ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections that are kept per backend server; twelve hosts stay far below its limit.
const MAX_IDLE: usize = 12;
/// Time for which an idle connection to a backend server is used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which bytes to a backend server may stay unacknowledged before the connection counts as silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_200);
/// Bytes of a connection that wait to be read. What the system receives for a caller that does not read would otherwise
/// grow to megabytes; a round trip between regions of 24 ms still carries 5 MB/s.
const RECEIVE_LIMITS: ReceiveLimits =
    ReceiveLimits { process_bytes: PIECE_BYTES, system_bytes: constants::SYSTEM_BUFFER_BYTES };
/// Time that a connection may be idle beyond the limit that callers know, so that it is they who stop using it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time after which a host without a plan is asked again.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Server for callers.
pub struct CallerServer {
    pub(super) state: Arc<EntryState>,
    pub(super) connections: Arc<ConnectionPool>,
    pub(super) fleet: ActorRef<FleetMessage>,
    quotas: QuotaPeers,
    buffers: BufferBudget,
    /// Held by each connection that may have a request in flight.
    busy: Arc<()>,
    /// Room for requests that are worked on before earlier ones of their connections are answered.
    ahead: Arc<Semaphore>,
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
            receive: Some(RECEIVE_LIMITS),
        };
        let settings = state.settings.load();
        // As much memory for requests as for responses, so that neither waits for the other.
        let body_bytes = settings.body_bytes();
        let connections = ConnectionPool::with_limits(body_bytes, limits);
        let has_traces = settings.telemetry.otlp.is_some();
        drop(settings);
        Self {
            state,
            connections: Arc::new(connections),
            fleet,
            quotas: QuotaPeers::default(),
            // A request that has not run is refused rather than kept waiting for memory.
            buffers: BufferBudget::new(body_bytes),
            busy: Arc::default(),
            ahead: Arc::new(Semaphore::new(MAX_AHEAD)),
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
                let (limits, ahead) = (server.connection_limits(), server.ahead.clone());
                let (drain, busy) = (&server.state.drain, &server.busy);
                serve_pipelined(stream, limits, ahead, drain, busy, server.clone()).await;
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
            send_bytes: Some(constants::SYSTEM_BUFFER_BYTES),
        }
    }

    async fn handle(
        &self,
        request: Request<Option<Incoming>>,
        started: MonoTime,
    ) -> Response<EntryBody> {
        let head = self.state.platform.dialect.parse_request(request.headers());
        let span = self.has_traces.then(|| {
            let parent = telemetry::extract_parent(request.headers());
            HopSpan::start("request", SpanKind::Server, &parent)
        });
        let plan = self.state.plan.load_full();
        let (parts, body) = request.into_parts();
        let route =
            plan.as_deref().and_then(|it| find_route(it, &parts.uri, &parts.headers)).cloned();
        let mut trail = RequestTrail {
            head: head.clone(),
            plan: plan.clone(),
            route: route.clone(),
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
        let report = RequestReport { state: self.state.clone(), trail, started, span };
        self.finish(result, report)
    }

    async fn answer(
        &self,
        inputs: RequestInputs<'_>,
        parts: http::request::Parts,
        body: Option<Incoming>,
        trail: &mut RequestTrail,
        span: Option<&HopSpan>,
    ) -> Result<Response<EntryBody>, FrontRefusal> {
        let RequestInputs { plan, route, head, started } = inputs;
        let organisation = if route.is_open { None } else { Some(key_owner(plan, head)?) };
        trail.organisation = organisation.cloned();
        let patience = head.caller_timeout.unwrap_or(route.timeout);
        let deadline = started.after(patience.min(route.timeout));
        let caller_deadline = head.caller_timeout.map(|it| started.after(it));
        let (max_bytes, until) = (plan.limits.max_body_bytes, self.state.clock.instant(deadline));
        let body = match body {
            Some(body) => read_body(&self.buffers, &parts.headers, body, max_bytes, until).await?,
            None => Bytes::new(),
        };
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

    /// The response to the caller, whose end is reported once it is complete.
    fn finish(
        &self,
        result: Result<Response<EntryBody>, FrontRefusal>,
        report: RequestReport,
    ) -> Response<EntryBody> {
        let mut response = match result {
            Ok(mut response) => {
                drop_hop_by_hop(response.headers_mut());
                let status = response.status();
                match response.body_mut().passed_mut() {
                    Some(body) => body.report_request(report, status),
                    None => report.finish(RequestResult::Answered(status)),
                }
                response
            }
            Err(refusal) => {
                let dialect = &self.state.platform.dialect;
                let now = self.state.clock.now();
                let mut response = dialect.refusal_response(&refusal.refusal, refusal.status, now);
                if let Some(id) = &report.trail.head.request_id {
                    response.headers_mut().insert(request_id_header(), id.clone());
                }
                report.finish(RequestResult::Refused(&refusal.refusal));
                response.map(EntryBody::from)
            }
        };
        // The length is that of the body, which the library tells.
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }
}

impl PipelineService for CallerServer {
    type Body = EntryBody;

    fn now(&self) -> MonoTime {
        self.state.clock.now()
    }

    fn is_leaving(&self) -> bool {
        *self.state.drain.borrow() >= DrainStage::Leaving
    }

    fn is_idempotent(&self, request: &Request<()>) -> bool {
        let plan = self.state.plan.load();
        let route = plan.as_deref().and_then(|it| find_route(it, request.uri(), request.headers()));
        route.is_some_and(|it| it.is_idempotent)
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Option<Incoming>>,
        arrived: MonoTime,
    ) -> Response<EntryBody> {
        self.handle(request, arrived).await
    }
}

/// What is known of a request before its body is read.
#[derive(Clone, Copy)]
struct RequestInputs<'a> {
    plan: &'a RoutingPlan,
    route: &'a RouteRule,
    head: &'a RequestMetadata,
    started: MonoTime,
}

fn key_owner<'a>(
    plan: &'a RoutingPlan,
    head: &RequestMetadata,
) -> Result<&'a OrganisationId, FrontRefusal> {
    let digest = head.key.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyMissing))?;
    let owner = plan.key_owner(&digest);
    owner.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyRejected))
}

fn find_route<'a>(
    plan: &'a RoutingPlan,
    target: &Uri,
    headers: &HeaderMap,
) -> Option<&'a Arc<RouteRule>> {
    let named = target.authority().map(|it| it.as_str());
    let host_name = named.or_else(|| headers.get(header::HOST)?.to_str().ok())?;
    plan.find_route(host_name, target.path())
}

fn request_id_header() -> http::HeaderName {
    http::HeaderName::from_static(crate::upstream::connections::REQUEST_ID)
}

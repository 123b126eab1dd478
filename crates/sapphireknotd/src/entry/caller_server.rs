//! Serves callers: matches the route, checks the key and the quota, and forwards the request.

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
    fleet_actor::FleetMessage,
    forward::{EntryRequest, draining_refusal},
    quota_client::QuotaClient,
    request_log::{AttemptSummary, RequestContext},
    request_report::{RequestReport, RequestResult},
    state::EntryState,
};
use crate::{
    buffers::{BODY_CHUNK_BYTES, BufferBudget},
    constants,
    front::{
        bodies::read_body,
        connections::{ConnectionLimits, accept_connections, serve_pipelined},
        headers::remove_hop_by_hop,
        pipeline::PipelineService,
        refusals::FrontRefusal,
    },
    telemetry::{self, HopSpan},
    upstream::{
        connections::ConnectionPool,
        pool_limits::{PoolLimits, ReceiveLimits},
    },
};

/// Maximum number of caller connections; leaves file descriptors for backend servers out of the 4,100 of a host.
const MAX_CONNECTIONS: usize = 2_400;
/// Maximum number of pipelined requests, over all connections, that are processed before earlier requests of their
/// connections are answered; the headers and responses of so many take a few megabytes.
const MAX_PIPELINED: usize = 512;
/// Timeout for connecting to a backend server; ten round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections kept per backend server; twelve hosts together stay far below the connection limit of a server.
const MAX_IDLE: usize = 12;
/// Time for which an idle connection to a backend server is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which bytes sent to a backend server may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Receive buffers of a connection to a backend server. The system's buffer for a caller that does not read would
/// otherwise grow to megabytes; with a round trip of 24 ms between regions, these still allow 5 MB/s.
const RECEIVE_LIMITS: ReceiveLimits =
    ReceiveLimits { process_bytes: BODY_CHUNK_BYTES, system_bytes: constants::SYSTEM_BUFFER_BYTES };
/// Margin beyond the published idle timeout, so that callers rather than this host close idle connections.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Retry delay that a host without a plan returns to callers.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Server for callers.
pub struct CallerServer {
    pub(super) state: Arc<EntryState>,
    pub(super) connections: Arc<ConnectionPool>,
    pub(super) fleet: ActorRef<FleetMessage>,
    quotas: QuotaClient,
    buffers: BufferBudget,
    /// Held by each connection that may have a request in flight.
    busy: Arc<()>,
    /// Permits for requests that are processed before earlier requests of their connections are answered.
    pipeline_permits: Arc<Semaphore>,
    /// Whether spans are exported; without an exporter none are created.
    is_tracing: bool,
}

impl CallerServer {
    /// Creates a server that reports defective versions to `fleet`.
    pub fn new(state: Arc<EntryState>, fleet: ActorRef<FleetMessage>) -> Self {
        let limits = PoolLimits {
            max_idle: MAX_IDLE,
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            tcp_user_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            receive: Some(RECEIVE_LIMITS),
        };
        let settings = state.settings.load();
        // Requests and responses have separate budgets of equal size, so that neither waits for the other.
        let body_bytes = settings.body_bytes();
        let connections = ConnectionPool::with_limits(body_bytes, limits);
        let is_tracing = settings.telemetry.otlp.is_some();
        drop(settings);
        Self {
            state,
            connections: Arc::new(connections),
            fleet,
            quotas: QuotaClient::default(),
            // A request that has not run is refused rather than queued for memory.
            buffers: BufferBudget::new(body_bytes),
            busy: Arc::default(),
            pipeline_permits: Arc::new(Semaphore::new(MAX_PIPELINED)),
            is_tracing,
        }
    }

    /// Number of connections that may have a request in flight.
    pub fn in_flight(&self) -> usize {
        Arc::strong_count(&self.busy) - 1
    }

    /// Accepts connections until the host closes.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let serve = |stream, _peer| {
            let server = self.clone();
            async move {
                let (limits, pipeline_permits) =
                    (server.connection_limits(), server.pipeline_permits.clone());
                let (drain, busy) = (&server.state.drain, &server.busy);
                serve_pipelined(stream, limits, pipeline_permits, drain, busy, server.clone())
                    .await;
            }
        };
        let drain = &self.state.drain;
        accept_connections(listener, MAX_CONNECTIONS, drain, DrainStage::Closing, serve).await;
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let plan = self.state.plan.load_full();
        let limits = plan.as_ref().map(|it| &it.limits);
        ConnectionLimits {
            // This timeout also covers the idle time between requests, so that the shorter header timeout would close
            // idle connections too early.
            header_timeout: limits
                .map_or(constants::HEADER_TIMEOUT.0, |it| it.idle_timeout + IDLE_MARGIN),
            max_header_bytes: limits.map_or(constants::MAX_HEADER_BYTES, |it| it.max_header_bytes),
            write_timeout: constants::WRITE_TIMEOUT.0,
            send_buffer_bytes: Some(constants::SYSTEM_BUFFER_BYTES),
        }
    }

    async fn handle(
        &self,
        request: Request<Option<Incoming>>,
        started: MonoTime,
    ) -> Response<EntryBody> {
        let metadata = self.state.platform.dialect.parse_request(request.headers());
        let span = self.is_tracing.then(|| {
            let parent = telemetry::extract_parent(request.headers());
            HopSpan::start("request", SpanKind::Server, &parent)
        });
        let plan = self.state.plan.load_full();
        let (parts, body) = request.into_parts();
        let route =
            plan.as_deref().and_then(|it| find_route(it, &parts.uri, &parts.headers)).cloned();
        let mut context = RequestContext {
            metadata: metadata.clone(),
            plan: plan.clone(),
            route: route.clone(),
            organisation: None,
            service: None,
            attempt_summary: AttemptSummary::default(),
        };
        let result = match (&plan, &route) {
            (None, _) => {
                let refusal = RequestRefusal::not_run(RefusalReason::NotReady);
                Err(refusal.retry_at(started.after(NOT_READY_RETRY)).into())
            }
            (Some(_), None) => Err(FrontRefusal::not_run(RefusalReason::UnknownRoute)),
            (Some(plan), Some(route)) => {
                let inputs = RequestInputs { plan, route, metadata: &metadata, started };
                self.answer(inputs, parts, body, &mut context, span.as_ref()).await
            }
        };
        let report = RequestReport { state: self.state.clone(), context, started, span };
        self.finish(result, report)
    }

    async fn answer(
        &self,
        inputs: RequestInputs<'_>,
        parts: http::request::Parts,
        body: Option<Incoming>,
        context: &mut RequestContext,
        span: Option<&HopSpan>,
    ) -> Result<Response<EntryBody>, FrontRefusal> {
        let RequestInputs { plan, route, metadata, started } = inputs;
        let organisation =
            if route.is_auth_exempt { None } else { Some(key_owner(plan, metadata)?) };
        context.organisation = organisation.cloned();
        let caller_timeout = metadata.caller_timeout.unwrap_or(route.timeout);
        let deadline = started.after(caller_timeout.min(route.timeout));
        let caller_deadline = metadata.caller_timeout.map(|it| started.after(it));
        if !self.state.allows_request(deadline) {
            return Err(draining_refusal(self.state.clock.now()).into());
        }
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
        context.service = Some(service.clone());
        let organisation_priority =
            organisation.and_then(|it| plan.organisations.get(it)?.priority);
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        for name in [header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        let request = EntryRequest {
            route,
            service: &service,
            organisation,
            homes: plan.homes(route, organisation),
            priority: organisation_priority.unwrap_or(route.priority),
            metadata,
            method: parts.method,
            target: parts.uri,
            headers,
            body,
            deadline,
            caller_deadline,
        };
        let result = self.forward(&request, &mut context.attempt_summary, span).await;
        if let (Some(organisation), Err(refusal)) = (organisation, &result)
            && refusal.ran == RunState::NotRun
        {
            self.state.core.lock().refund_quota(organisation, self.state.clock.now());
        }
        Ok(result?)
    }

    /// Builds the response to the caller; its report is written once the body is complete.
    fn finish(
        &self,
        result: Result<Response<EntryBody>, FrontRefusal>,
        report: RequestReport,
    ) -> Response<EntryBody> {
        let mut response = match result {
            Ok(mut response) => {
                remove_hop_by_hop(response.headers_mut());
                let status = response.status();
                match response.body_mut().streamed_mut() {
                    Some(body) => body.report_request(report, status),
                    None => report.finish(RequestResult::Answered(status)),
                }
                response
            }
            Err(refusal) => {
                let dialect = &self.state.platform.dialect;
                let now = self.state.clock.now();
                let mut response = dialect.refusal_response(&refusal.refusal, refusal.status, now);
                if let Some(id) = &report.context.metadata.request_id {
                    response.headers_mut().insert(request_id_header(), id.clone());
                }
                report.finish(RequestResult::Refused(&refusal.refusal));
                response.map(EntryBody::from)
            }
        };
        // Hyper sets the length from the body.
        response.headers_mut().remove(header::CONTENT_LENGTH);
        response
    }
}

impl PipelineService for CallerServer {
    type Body = EntryBody;

    fn now(&self) -> MonoTime {
        self.state.clock.now()
    }

    fn is_draining(&self) -> bool {
        *self.state.drain.borrow() >= DrainStage::Leaving
    }

    fn is_idempotent(&self, request: &Request<()>) -> bool {
        let plan = self.state.plan.load();
        let route = plan.as_deref().and_then(|it| find_route(it, request.uri(), request.headers()));
        route.is_some_and(|it| it.is_idempotent)
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Option<Incoming>>,
        arrived: MonoTime,
    ) -> Response<EntryBody> {
        self.handle(request, arrived).await
    }
}

/// Parts of a request that are known before its body is read.
#[derive(Clone, Copy)]
struct RequestInputs<'a> {
    plan: &'a RoutingPlan,
    route: &'a RouteRule,
    metadata: &'a RequestMetadata,
    started: MonoTime,
}

fn key_owner<'a>(
    plan: &'a RoutingPlan,
    metadata: &RequestMetadata,
) -> Result<&'a OrganisationId, FrontRefusal> {
    let digest = metadata.key.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyMissing))?;
    let owner = plan.key_owner(&digest);
    owner.ok_or_else(|| FrontRefusal::not_run(RefusalReason::KeyRejected))
}

fn find_route<'a>(
    plan: &'a RoutingPlan,
    target: &Uri,
    headers: &HeaderMap,
) -> Option<&'a Arc<RouteRule>> {
    let authority = target.authority().map(|it| it.as_str());
    let host_name = authority.or_else(|| headers.get(header::HOST)?.to_str().ok())?;
    plan.find_route(host_name, target.path())
}

fn request_id_header() -> http::HeaderName {
    http::HeaderName::from_static(crate::upstream::connections::REQUEST_ID)
}

//! HTTP frontend for callers: look-ups, authentication, admission, forwarding and refusals.

pub mod activity;
pub mod authentication;
pub mod bodies;
pub mod connections;
pub mod headers;
pub mod lookups;
pub mod pipeline;
pub mod pipeline_queue;
pub mod refusals;
pub mod request_scan;
pub mod write_timeout;

mod forward;

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::{KeyValue, trace::SpanKind};
use parking_lot::Mutex;
use sapphireknot::{
    drain::DrainStage,
    idempotency::{ClaimKey, ClaimOutcome},
    refusal::{RefusalReason, RequestRefusal, RunState},
    retry::RetryBudget,
    routes::RouteError,
    time::MonoTime,
};
use tokio::net::TcpListener;

use self::{
    connections::{ConnectionLimits, accept_connections, serve_connection},
    forward::AdmittedRequest,
    refusals::FrontRefusal,
};
use crate::{
    buffers::BufferBudget,
    context::HostContext,
    interfaces::QuotaVerdict,
    telemetry::{self, HopSpan, RequestMetrics},
    upstream::connections::{ConnectionPool, REQUEST_ID},
};

/// Maximum length of a request target, in bytes.
const MAX_TARGET_BYTES: usize = 8 << 10;

/// HTTP server that authenticates, admits and forwards requests of callers.
pub struct FrontServer {
    context: Arc<HostContext>,
    connections: Arc<ConnectionPool>,
    retry_budget: Mutex<RetryBudget>,
    buffers: BufferBudget,
    metrics: RequestMetrics,
    /// Reference counter: every connection that may have a request in flight holds a clone.
    active_connections: Arc<()>,
}

impl FrontServer {
    /// Creates a server that forwards requests over `connections`.
    pub fn new(context: Arc<HostContext>, connections: Arc<ConnectionPool>) -> Self {
        let metrics = RequestMetrics::default();
        // The request has not run yet, so a lack of memory refuses it at once instead of queueing it.
        let max_bytes = context.settings.limits.max_buffered_bytes;
        let buffers = BufferBudget::new(max_bytes);
        let retry_budget = Mutex::default();
        Self {
            context,
            connections,
            retry_budget,
            buffers,
            metrics,
            active_connections: Arc::default(),
        }
    }

    /// Number of connections that may have a request in flight.
    pub fn in_flight(&self) -> usize {
        Arc::strong_count(&self.active_connections) - 1
    }

    /// Accepts and serves connections until the host reaches [`DrainStage::Ended`].
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let limits = &self.context.settings.limits;
        let connection_limits = ConnectionLimits {
            header_timeout: limits.header_timeout.0,
            max_header_bytes: limits.max_header_bytes,
            write_timeout: limits.write_timeout.0,
            send_buffer_bytes: None,
        };
        let serve = |stream, peer| {
            let server = self.clone();
            async move {
                let handler = |request| server.handle(request, peer);
                let drain = &server.context.drain;
                serve_connection(
                    stream,
                    connection_limits,
                    drain,
                    &server.active_connections,
                    handler,
                )
                .await;
            }
        };
        let drain = &self.context.drain;
        accept_connections(listener, limits.max_connections, drain, DrainStage::Ended, serve).await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let started = self.context.clock.now();
        let request_id = format!("{:032x}", rand::random::<u128>());
        let parent = telemetry::extract_parent(request.headers());
        let span = HopSpan::start("request", SpanKind::Server, &parent);
        span.set_attribute("request", request_id.clone());
        let is_head = request.method() == Method::HEAD;
        let answer = self.answer(request, peer, &request_id, started, &span).await;
        let now = self.context.clock.now();
        let result = answer.as_ref().err().map_or("passed", |it| it.refusal.reason.as_str());
        let labels = [KeyValue::new("result", result)];
        self.metrics.requests.add(1, &labels);
        self.metrics.latency.record(now.since(started).as_secs_f64(), &labels);
        let mut response = match answer {
            Ok(mut response) => {
                headers::sanitize_response(response.headers_mut());
                response
            }
            Err(refusal) => {
                span.set_error(result);
                log::debug!(request = request_id, reason = result; "request refused");
                refusal.response(&request_id, now)
            }
        };
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        if !is_head {
            response.headers_mut().remove(header::CONTENT_LENGTH);
        }
        // Closing the connection makes the caller look up another host, so that few connections are open when the drain
        // reaches its closing stage.
        if *self.context.drain.borrow() >= DrainStage::Leaving {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(Full::new))
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        request_id: &str,
        started: MonoTime,
        span: &HopSpan,
    ) -> Result<Response<Bytes>, FrontRefusal> {
        if *self.context.drain.borrow() >= DrainStage::Closing {
            return Err(FrontRefusal::not_run(RefusalReason::Draining));
        }
        let (head, body) = request.into_parts();
        let path = validate_path(&head.uri)?;
        let query = head.uri.query().unwrap_or_default();
        if path == lookups::LOOKUP_PATH {
            if head.method != Method::GET {
                return Err(method_not_allowed());
            }
            return lookups::answer(&self.context, query, peer.ip());
        }
        let config = self.context.config.load_full();
        let config = config.ok_or_else(|| FrontRefusal::not_run(RefusalReason::NotReady))?;
        let matched = config.routes.find(head.method.as_str(), &path).map_err(|err| match err {
            RouteError::Path => FrontRefusal::not_run(RefusalReason::UnknownRoute),
            RouteError::Method => method_not_allowed(),
        })?;
        let route = matched.route();
        span.set_attribute("service", matched.service.id.to_string());
        span.set_attribute("route", route.id.to_string());
        let deadline = started.after(route.timeout.0);
        let (digest, organisation) = if route.open {
            (None, None)
        } else {
            let digest = authentication::presented_key(&head.headers)?;
            (Some(digest), Some(authentication::key_owner(&self.context, &digest)?))
        };
        let body = self.read_body(&head.headers, body, deadline).await?;
        if let (Some(digest), Some(organisation)) = (&digest, &organisation) {
            // A key that was revoked while the body arrived must not consume a token.
            authentication::key_owner(&self.context, digest)?;
            span.set_attribute("organisation", organisation.to_string());
            let verdict = self.context.quota.admit(organisation, deadline).await;
            if let QuotaVerdict::OverRate { retry_at } = verdict {
                let refusal = RequestRefusal::not_run(RefusalReason::OverRate);
                return Err(refusal.retry_at(retry_at).into());
            }
        }
        let target = forward_target(head.uri.path(), query)?;
        let mut headers = head.headers;
        headers::sanitize_request(&mut headers);
        let request_id = request_id.to_owned();
        let method = head.method;
        let mut admitted = AdmittedRequest {
            matched,
            organisation,
            digest,
            method,
            target,
            headers,
            body,
            request_id,
            deadline,
            claim: None,
        };
        self.claim(&mut admitted).await?;
        let result = self.forward(&admitted, span).await;
        if let Some(claim) = admitted.claim {
            claim.finish(match &result {
                Ok(_) => ClaimOutcome::Ran,
                Err(refusal) if refusal.ran == RunState::NotRun => ClaimOutcome::NotRun,
                Err(_) => ClaimOutcome::Unknown,
            });
        }
        Ok(result?)
    }

    /// Claims the idempotency key of a request whose route is not idempotent.
    async fn claim(&self, request: &mut AdmittedRequest) -> Result<(), FrontRefusal> {
        let Some(organisation) = &request.organisation else { return Ok(()) };
        if request.matched.route().idempotent {
            return Ok(());
        }
        let Some(digest) = headers::idempotency_key(&request.headers)? else { return Ok(()) };
        let key = ClaimKey { organisation: organisation.clone(), digest };
        let claims = &self.context.claims;
        let claim = claims.claim(&self.context, key, request.deadline).await?;
        // A request that outlives its claim could run a second time after the owners have expired the claim.
        request.deadline = request.deadline.min(claim.send_by());
        request.claim = Some(claim);
        Ok(())
    }

    async fn read_body(
        &self,
        headers: &http::HeaderMap,
        body: Incoming,
        deadline: MonoTime,
    ) -> Result<Bytes, FrontRefusal> {
        let limits = &self.context.settings.limits;
        let until = self.context.clock.now().after(limits.body_timeout.0).min(deadline);
        let until = self.context.clock.instant(until);
        bodies::read_body(&self.buffers, headers, body, limits.max_body_bytes, until).await
    }
}

fn method_not_allowed() -> FrontRefusal {
    let refusal = RequestRefusal::not_run(RefusalReason::UnknownRoute);
    FrontRefusal { refusal, status: Some(StatusCode::METHOD_NOT_ALLOWED) }
}

/// Returns the decoded path, or refuses a target that is too long or whose path is ambiguous.
fn validate_path(uri: &Uri) -> Result<String, FrontRefusal> {
    let bytes = uri.path_and_query().map_or(0, |it| it.as_str().len());
    if bytes > MAX_TARGET_BYTES {
        return Err(FrontRefusal::bad_request(StatusCode::URI_TOO_LONG));
    }
    let path = headers::decode_path(uri.path());
    path.ok_or_else(|| FrontRefusal::bad_request(StatusCode::BAD_REQUEST))
}

/// Builds the request target for the backend server: the path as received, and the query without API keys.
fn forward_target(path: &str, query: &str) -> Result<Uri, FrontRefusal> {
    let query = headers::sanitize_query(query);
    let target = if query.is_empty() { path.to_owned() } else { format!("{path}?{query}") };
    target.parse().map_err(|_| FrontRefusal::bad_request(StatusCode::BAD_REQUEST))
}

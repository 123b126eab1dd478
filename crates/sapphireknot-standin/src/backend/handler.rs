//! Request handling of a stand-in backend server.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_stream::StreamExt;

use super::state::{BackendState, GaugeGuard, header_text};

/// Size limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of request body bytes that the response echoes.
const MAX_ECHO_BYTES: usize = 256;
/// Delay before a truncated response is aborted. Without it, the connection would close before the head and the first
/// half of the body are flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of `x-deadline-ms`, and the deadline of requests without that header.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

type BackendBody = BoxBody<Bytes, io::Error>;

/// Handles one request; an error closes the connection without a response.
pub(super) async fn handle_request(
    state: Arc<BackendState>,
    request: Request<Incoming>,
) -> io::Result<Response<BackendBody>> {
    if request.uri().path() == "/load" {
        sleep(state.load_report_delay()).await;
        return Ok(load_response(&state));
    }
    let deadline = Instant::now() + time_left(request.headers());
    let (parts, body) = request.into_parts();
    state.record_arrival(&parts);
    let pending_guard = GaugeGuard::pending(&state);
    if state.should_inject(|it| &mut it.reset_before) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(io::Error::other)?;
    let body = body.to_bytes();

    let queue_end = deadline.min(Instant::now() + Duration::from_millis(state.plan.queue_ms));
    let slot = match timeout_at(queue_end, state.slots.acquire()).await {
        Ok(Ok(slot)) if !state.should_inject(|it| &mut it.shed) => slot,
        _ => {
            state.record_shed();
            return Ok(shed_response(&parts.headers));
        }
    };
    let running_guard = GaugeGuard::running(&state);
    state.record_begin(&parts)?;
    let (time, fails) = state.draw_outcome(parts.uri.path());
    let end = Instant::now() + time;
    sleep_until(end.min(deadline)).await;
    drop((running_guard, slot, pending_guard));
    if deadline < end {
        let content = response_content(&state, &parts, &body);
        return Ok(plain_response(StatusCode::GATEWAY_TIMEOUT, &parts.headers, content));
    }
    state.record_end();
    finish_request(&state, &parts, &body, fails).await
}

/// Builds the response to a request that ran, and applies the faults of responses.
async fn finish_request(
    state: &BackendState,
    parts: &Parts,
    body: &Bytes,
    fails: bool,
) -> io::Result<Response<BackendBody>> {
    let headers = &parts.headers;
    if state.should_inject(|it| &mut it.reset_after) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if state.should_inject(|it| &mut it.late) {
        sleep(state.response_delay()).await;
    }
    let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let content = response_content(state, parts, body);
    let mut response = if state.should_inject(|it| &mut it.truncated) {
        truncated_response(status, headers, content)
    } else {
        plain_response(status, headers, content)
    };
    if let Ok(name) = state.plan.name.parse() {
        response.headers_mut().insert("x-server", name);
    }
    Ok(response)
}

/// Returns the response body, which identifies the server and the request.
fn response_content(state: &BackendState, parts: &Parts, body: &Bytes) -> Bytes {
    let echo = String::from_utf8_lossy(&body[..body.len().min(MAX_ECHO_BYTES)]);
    let content = json!({
        "server": state.plan.name,
        "request_id": header_text(&parts.headers, "x-request-id"),
        "target": parts.uri.to_string(),
        "key": header_text(&parts.headers, "idempotency-key"),
        "echo": echo,
        "received_bytes": body.len(),
        "padding": "x".repeat(state.plan.padding_bytes),
    });
    content.to_string().into()
}

fn time_left(headers: &HeaderMap) -> Duration {
    let millis = header_text(headers, "x-deadline-ms").and_then(|it| it.parse().ok());
    millis.map_or(MAX_DEADLINE, Duration::from_millis).min(MAX_DEADLINE)
}

fn load_response(state: &BackendState) -> Response<BackendBody> {
    let headers = HeaderMap::new();
    match state.reported_load() {
        Some(report) => {
            let content = serde_json::to_vec(&report).unwrap_or_default();
            plain_response(StatusCode::OK, &headers, content.into())
        }
        None => plain_response(StatusCode::INTERNAL_SERVER_ERROR, &headers, Bytes::new()),
    }
}

fn shed_response(headers: &HeaderMap) -> Response<BackendBody> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new());
    response.headers_mut().insert("x-request-ran", http::HeaderValue::from_static("no"));
    response
}

fn plain_response(
    status: StatusCode,
    headers: &HeaderMap,
    content: Bytes,
) -> Response<BackendBody> {
    let body = Full::new(content).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(id) = headers.get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
    response
}

/// Announces the full length and closes the connection after half of the body.
fn truncated_response(
    status: StatusCode,
    headers: &HeaderMap,
    content: Bytes,
) -> Response<BackendBody> {
    let half = content.slice(..content.len() / 2);
    let frames = [Ok(Frame::data(half)), Err(io::ErrorKind::ConnectionAborted.into())];
    let mut response = plain_response(status, headers, Bytes::new());
    response.headers_mut().insert("content-length", content.len().into());
    let frames = tokio_stream::iter(frames).then(async |frame| {
        if frame.is_err() {
            sleep(FLUSH_DELAY).await;
        }
        frame
    });
    *response.body_mut() = BodyExt::boxed(StreamBody::new(frames));
    response
}

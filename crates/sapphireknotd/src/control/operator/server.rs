//! HTTP server of the operator API.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, service::service_fn};
use ractor::ActorRef;
use sapphireknot::keys::KeyDigest;
use subtle::ConstantTimeEq;
use tokio::{net::TcpListener, sync::watch};

use super::{
    calls::{self, OperatorReply},
    state::OperatorState,
};
use crate::{
    control::{messages::ConfigMessage, notes::NoteWriter, shared::ControlShared},
    serving::{AcceptOptions, OverflowPolicy, accept_connections, http1_builder, serve_http1},
};

/// Largest request body; it has to hold the largest document, which spans several chunks in the store.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest number of concurrent connections; operator tools open only a few.
const MAX_CONNECTIONS: usize = 64;
/// Time within which a request with its body must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Server of the operator API.
pub(crate) struct OperatorServer(OperatorState);

impl OperatorServer {
    /// Creates a server that submits changes through `writer`.
    pub(crate) fn new(
        shared: Arc<ControlShared>,
        writer: NoteWriter,
        config: ActorRef<ConfigMessage>,
    ) -> Self {
        Self(OperatorState { shared, writer, config })
    }

    /// Returns whether the request carries the operator token; digests are compared in constant time.
    fn is_authorized<B>(&self, request: &Request<B>) -> bool {
        let expected = KeyDigest::from_hex(&self.0.shared.context.settings.operator_token_sha256);
        let token = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|it| it.as_bytes().strip_prefix(b"Bearer "));
        let (Some(expected), Some(token)) = (expected, token) else { return false };
        let (expected, found) = (expected.to_hex(), KeyDigest::of(token).to_hex());
        bool::from(expected.as_bytes().ct_eq(found.as_bytes()))
    }

    async fn dispatch(&self, request: Request<Incoming>) -> OperatorReply {
        if !self.is_authorized(&request) {
            return calls::error_reply(StatusCode::UNAUTHORIZED, "the operators' token is needed");
        }
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().trim_start_matches('/').to_owned();
        let body = match tokio::time::timeout(READ_TIMEOUT, read_body(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reply)) => return reply,
            Err(_) => {
                return calls::error_reply(StatusCode::REQUEST_TIMEOUT, "the body is late");
            }
        };
        let segments: Vec<_> = path.split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::PUT, ["v1", "config"]) => calls::put_config(&self.0, &body).await,
            (&Method::GET, ["v1", "config"]) => calls::get_config(&self.0),
            (&Method::POST, ["v1", "check"]) => calls::check_note(&self.0, &body).await,
            (&Method::POST, ["v1", "notes"]) => calls::post_note(&self.0, &body).await,
            (&Method::GET, ["v1", "notes", id]) => calls::get_note(&self.0, id).await,
            (&Method::GET, ["v1", "status"]) => calls::get_status(&self.0),
            (_, ["v1", "config" | "check" | "notes" | "status"] | ["v1", "notes", _]) => {
                calls::error_reply(StatusCode::METHOD_NOT_ALLOWED, "another method is needed")
            }
            _ => calls::error_reply(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, OperatorReply> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => Err(calls::error_reply(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string())),
    }
}

fn to_response(reply: OperatorReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Serves operators until `stopped` completes, and then finishes the calls in progress.
pub(crate) async fn serve_operators<F>(
    server: Arc<OperatorServer>,
    listener: TcpListener,
    stopped: F,
) where
    F: Future<Output = ()>,
{
    let (closing, _) = watch::channel(false);
    let serve = |stream, _peer| {
        let (server, mut closing) = (server.clone(), closing.subscribe());
        async move {
            let service = service_fn(|request| {
                let server = server.clone();
                async move { Ok(to_response(server.dispatch(request).await)) }
            });
            // An error means that the sender was dropped, which also stops the connection.
            let closed = async { drop(closing.wait_for(|it| *it).await) };
            let builder = http1_builder(READ_TIMEOUT);
            if let Err(err) = serve_http1(stream, &builder, service, closed, || true).await {
                log::debug!("operator connection failed: {err}");
            }
        }
    };
    let rules = AcceptOptions {
        max_connections: MAX_CONNECTIONS,
        when_full: OverflowPolicy::Close,
        failure: "accept an operator connection",
    };
    accept_connections(listener, rules, stopped, serve).await;
    closing.send_replace(true);
    // Every connection holds a receiver until it is closed.
    closing.closed().await;
}

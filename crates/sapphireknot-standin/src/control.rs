//! Runtime and control server of a stand-in.
//!
//! Each stand-in has its own runtime, so that stopping it also ends its open connections and pending calls.

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener as BlockingListener},
    sync::Arc,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{net::TcpListener, runtime::Runtime};

/// Tokio runtime of one stand-in; dropping it aborts all of its tasks.
#[derive(Debug)]
pub struct ServiceRuntime(Option<Runtime>);

impl ServiceRuntime {
    /// Starts a runtime with two worker threads.
    pub fn start() -> io::Result<Self> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        Ok(Self(Some(builder.worker_threads(2).enable_all().build()?)))
    }

    /// Binds `address`, spawns the future that `serve` returns for the listener, and returns the bound address.
    pub fn listen<S, F>(&self, address: SocketAddr, serve: S) -> io::Result<SocketAddr>
    where
        S: FnOnce(TcpListener) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let Some(runtime) = &self.0 else { return Err(io::ErrorKind::NotConnected.into()) };
        let listener = BlockingListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let _guard = runtime.enter();
        runtime.spawn(serve(TcpListener::from_std(listener)?));
        Ok(bound)
    }
}

impl Drop for ServiceRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            // A blocking shutdown panics when a test drops the stand-in inside its own runtime.
            runtime.shutdown_background();
        }
    }
}

/// Response to a control call.
#[derive(Debug)]
pub struct ControlReply {
    status: StatusCode,
    body: Value,
}

impl ControlReply {
    /// Status 200 with an empty JSON object.
    pub fn done() -> Self {
        Self { status: StatusCode::OK, body: json!({}) }
    }

    /// Status 200 with `content` as JSON.
    pub fn content<T>(content: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_value(content) {
            Ok(body) => Self { status: StatusCode::OK, body },
            Err(err) => Self::bad_request(&err.to_string()),
        }
    }

    /// Status 400 with the reason.
    pub fn bad_request(reason: &str) -> Self {
        Self { status: StatusCode::BAD_REQUEST, body: json!({ "error": reason }) }
    }

    /// Status 404.
    pub fn not_found() -> Self {
        Self { status: StatusCode::NOT_FOUND, body: json!({ "error": "no such path" }) }
    }
}

/// Parses `body` as JSON and passes the value to `act`; a body that does not parse gets status 400.
pub fn with_body<T, F>(body: &[u8], act: F) -> ControlReply
where
    T: DeserializeOwned,
    F: FnOnce(T) -> ControlReply,
{
    match serde_json::from_slice(body) {
        Ok(value) => act(value),
        Err(err) => ControlReply::bad_request(&err.to_string()),
    }
}

/// Handles the control calls of a stand-in.
pub trait ControlHandler: Send + Sync + 'static {
    /// Returns the response to one call.
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> ControlReply;
}

/// Serves control calls until the runtime shuts down.
pub async fn serve_control(listener: TcpListener, handler: Arc<dyn ControlHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle_request(handler.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A client that closes the connection early is not an error of the stand-in.
            let _ = connection.await;
        });
    }
}

async fn handle_request(
    handler: Arc<dyn ControlHandler>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let reply = match body.collect().await {
        Ok(body) => handler.handle(&parts.method, parts.uri.path(), &body.to_bytes()),
        Err(err) => ControlReply::bad_request(&err.to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(reply.body.to_string())));
    *response.status_mut() = reply.status;
    Ok(response)
}

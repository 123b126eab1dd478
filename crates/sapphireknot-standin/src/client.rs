//! HTTP client for callers' requests and control calls in tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Step of a [`ClientError`] that occurred before any byte of the request was sent.
const CONNECT_STEP: &str = "connect";

/// Failure of a request that got no complete response.
#[derive(Debug, Error)]
#[error("{step} at {peer}: {reason}")]
pub struct ClientError {
    /// Operation that failed.
    pub step: &'static str,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Cause.
    pub reason: String,
}

impl ClientError {
    /// Returns whether the request cannot have reached the server.
    pub fn is_unsent(&self) -> bool {
        self.step == CONNECT_STEP
    }
}

/// HTTP request without an authority; the peer is chosen when it is sent.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl HttpCall {
    /// Creates a call without headers and with an empty body.
    pub fn new<T>(method: Method, target: T) -> Self
    where
        T: Into<String>,
    {
        Self { method, target: target.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a GET call.
    pub fn get<T>(target: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(Method::GET, target)
    }

    /// Adds a header.
    pub fn header<N, V>(mut self, name: N, value: V) -> Self
    where
        N: Into<String>,
        V: Into<String>,
    {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body<B>(self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self { body: body.into(), ..self }
    }
}

/// Complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns a header if it is present and printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }
}

/// HTTP client with a connection pool. It never retries a request.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    time_limit: Duration,
}

impl HttpClient {
    /// Creates a client whose calls fail after `time_limit`.
    pub fn new(time_limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self { client: builder.build(connector), time_limit }
    }

    /// Sends a call and reads the complete response.
    pub async fn send(&self, peer: SocketAddr, call: HttpCall) -> Result<HttpReply, ClientError> {
        let limited = tokio::time::timeout(self.time_limit, self.exchange(peer, call));
        limited.await.unwrap_or_else(|_| Err(failure("send", peer, "time limit exceeded")))
    }

    async fn exchange(&self, peer: SocketAddr, call: HttpCall) -> Result<HttpReply, ClientError> {
        let uri: Uri = format!("http://{peer}{}", call.target)
            .parse()
            .map_err(|err: http::uri::InvalidUri| failure("form target", peer, err))?;
        let mut builder = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        let request =
            builder.body(Full::new(call.body)).map_err(|err| failure("form request", peer, err))?;
        let response = self.client.request(request).await.map_err(|err| {
            failure(if err.is_connect() { CONNECT_STEP } else { "send request" }, peer, err)
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|err| failure("read response", peer, err))?;
        Ok(HttpReply { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }

    /// Sends a GET call to a control address and parses the JSON response.
    pub async fn read_control<T>(&self, peer: SocketAddr, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let reply = self.send(peer, HttpCall::get(path)).await?;
        check_status(peer, &reply)?;
        serde_json::from_slice(&reply.body).map_err(|err| failure("parse reply", peer, err))
    }

    /// Sends `content` as JSON to a control address.
    pub async fn write_control<T>(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        content: &T,
    ) -> Result<(), ClientError>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(content).map_err(|err| failure("form content", peer, err))?;
        let reply = self.send(peer, HttpCall::new(method, path).body(body)).await?;
        check_status(peer, &reply)
    }
}

fn check_status(peer: SocketAddr, reply: &HttpReply) -> Result<(), ClientError> {
    if reply.status.is_success() {
        return Ok(());
    }
    let content = String::from_utf8_lossy(&reply.body).into_owned();
    Err(failure("control call", peer, format!("status {}: {content}", reply.status)))
}

fn failure<R>(step: &'static str, peer: SocketAddr, reason: R) -> ClientError
where
    R: std::fmt::Display,
{
    ClientError { step, peer, reason: reason.to_string() }
}

//! HTTP client of a host's operator address.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::net::TcpStream;

/// Maximum size of a response body.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Failed call to a host.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The host did not send a complete, valid response in time. A change may have taken effect.
    #[error("{step} at host {peer}: no answer: {reason}")]
    Unanswered {
        /// Method and path of the request.
        step: String,
        /// Address of the host.
        peer: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The host responded with an error status.
    #[error("{step} at host {peer}: status {status}: {reason}")]
    Status {
        /// Method and path of the request.
        step: String,
        /// Address of the host.
        peer: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Response body.
        reason: String,
    },
}

impl ClientError {
    /// Whether the host reported that the requested resource does not exist.
    pub fn is_not_found(&self) -> bool {
        matches!(self, Self::Status { status: StatusCode::NOT_FOUND, .. })
    }
}

/// Client of one host's operator address.
#[derive(Debug)]
pub struct HostClient {
    address: SocketAddr,
    token: String,
    timeout: Duration,
}

impl HostClient {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, token: String, timeout: Duration) -> Self {
        Self { address, token, timeout }
    }

    /// Sends a GET request for `path` and decodes the JSON response.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `message` as JSON to `path` and decodes the JSON response.
    pub async fn send<M, T>(
        &self,
        method: Method,
        path: &str,
        message: &M,
    ) -> Result<T, ClientError>
    where
        M: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(message)
            .map_err(|err| self.unanswered(&format!("{method} {path}"), err))?;
        self.call(method, path, Bytes::from(body)).await
    }

    async fn call<T>(&self, method: Method, path: &str, body: Bytes) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let step = format!("{method} {path}");
        let exchange = self.exchange(&step, method, path, body);
        let (status, reply) = match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result?,
            Err(_) => return Err(self.unanswered(&step, "time limit exceeded")),
        };
        // The host also sends a receipt for a refused change (409) and for an unknown outcome (202).
        if status.is_success() || status == StatusCode::CONFLICT {
            return serde_json::from_slice(&reply).map_err(|err| self.unanswered(&step, err));
        }
        let reason = String::from_utf8_lossy(&reply).trim().to_owned();
        Err(ClientError::Status { step, peer: self.address, status, reason })
    }

    async fn exchange(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let stream =
            TcpStream::connect(self.address).await.map_err(|err| self.unanswered(step, err))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| self.unanswered(step, err))?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|err| self.unanswered(step, err))?;
        let response =
            sender.send_request(request).await.map_err(|err| self.unanswered(step, err))?;
        let status = response.status();
        let reply = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|err| self.unanswered(step, err))?;
        Ok((status, reply.to_bytes()))
    }

    fn unanswered<R>(&self, step: &str, reason: R) -> ClientError
    where
        R: ToString,
    {
        ClientError::Unanswered {
            step: step.to_owned(),
            peer: self.address,
            reason: reason.to_string(),
        }
    }
}

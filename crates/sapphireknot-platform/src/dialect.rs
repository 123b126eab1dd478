//! HTTP conventions between hosts, callers and backend servers of a platform.
//!
//! Headers and statuses differ between platforms; their meaning does not. A dialect parses and writes them and makes no
//! decisions.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, Uri};
use sapphireknot::{
    ids::{OrganisationId, RegionId, ServerId},
    keys::KeyDigest,
    refusal::RequestRefusal,
    steering::server_state::ServerLoad,
    time::MonoTime,
};

/// Metadata from the headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// Request identifier exactly as the caller sent it.
    pub request_id: Option<HeaderValue>,
    /// Time for which the caller waits for the response; `None` if the caller set none.
    pub caller_timeout: Option<Duration>,
    /// Digest of the caller's API key.
    pub key: Option<KeyDigest>,
    /// Hash of the affinity key, which identifies the object that the request concerns.
    pub object: Option<u64>,
}

/// Metadata that a host adds to a request forwarded to a backend server.
#[derive(Debug)]
pub struct ForwardMetadata<'a> {
    /// Server that the request is addressed to; another server at its address refuses it.
    pub server: &'a ServerId,
    /// Organisation of the caller; `None` on routes without authentication.
    pub organisation: Option<&'a OrganisationId>,
    /// Remaining time for which the caller waits; `None` if the caller set none.
    pub caller_timeout: Option<Duration>,
}

/// Meaning of a complete response of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The server executed the request.
    Ran,
    /// The server reports that it did not execute the request.
    NotRun,
    /// Another server uses the address; the request was not executed.
    Misdirected,
    /// The status guarantees to callers that the request was not executed, but the server did not report that.
    UnprovenRefusal,
    /// The response does not belong to the request.
    Mismatched,
}

/// Whether a response is the first one on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// First response on the connection.
    First,
    /// The connection has carried other responses before.
    Reused,
}

/// Metadata of a backend server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Meaning of the response.
    pub kind: ResponseKind,
    /// Load of the server, if reported.
    pub load: Option<ServerLoad>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time for which the server asks this host to send no further requests.
    pub retry_after: Option<Duration>,
}

/// Result of a backend server's health check.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerHealth {
    /// Server that uses the address; `None` if not reported.
    pub server: Option<ServerId>,
    /// Remaining warm-up time; `None` if not reported.
    pub warmup_left: Option<Duration>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
}

/// Directory look-up: a caller asks for addresses to connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolveQuery {
    /// Host name that the caller sends requests to.
    pub host_name: String,
    /// Region of the caller, if known.
    pub region: Option<RegionId>,
}

/// Parser and writer of a platform's headers, statuses and directory responses.
pub trait RequestDialect: Send + Sync {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Rewrites a caller's headers for a backend server and removes the caller's key.
    fn rewrite_request(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Parses status and headers of the response to the request with the identifier `request_id`.
    fn parse_response(
        &self,
        request_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
        connection: ConnectionUse,
    ) -> ResponseMetadata;

    /// Parses the headers of a health check response; they are valid for any status.
    fn parse_health(&self, headers: &HeaderMap) -> ServerHealth;

    /// Builds the response that refuses a request, with `status` or else the default status of the refusal.
    ///
    /// A request that was not executed is refused only with statuses that guarantee this to the caller.
    fn refusal_response(
        &self,
        refusal: &RequestRefusal,
        status: Option<StatusCode>,
        now: MonoTime,
    ) -> Response<Bytes>;

    /// Parses a directory look-up; returns `None` if the request is none.
    fn parse_resolve_query(&self, uri: &Uri) -> Option<ResolveQuery>;

    /// Encodes the result of a look-up, which the caller may cache for `lifetime`.
    fn encode_addresses(&self, addresses: &[std::net::SocketAddr], lifetime: Duration) -> Bytes;

    /// Whether a request is a readiness probe.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;
}

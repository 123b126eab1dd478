//! How callers and backend servers of a platform speak.
//!
//! Headers and statuses differ between platforms; what they mean does not. A dialect reads and writes them and decides
//! nothing.

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

/// What the headers of a request say.
#[derive(Debug, Clone, Default)]
pub struct CallerHead {
    /// Identifier of the request, as the caller wrote it.
    pub request_id: Option<HeaderValue>,
    /// Time for which the caller waits.
    pub patience: Option<Duration>,
    /// Digest of the presented key.
    pub key: Option<KeyDigest>,
    /// Hash of the object that the request concerns.
    pub object: Option<u64>,
}

/// What a backend server is told beside the caller's request.
#[derive(Debug)]
pub struct ServerHead<'a> {
    /// Server that is meant; another one at its address refuses.
    pub server: &'a ServerId,
    /// Organisation; `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Time that is left; `None` if the caller named none.
    pub patience: Option<Duration>,
}

/// What a complete response of a backend server means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server ran the request.
    Ran,
    /// The server says that it did not run the request.
    NotRun,
    /// Another server has the address; the request did not run.
    OtherServer,
    /// It belongs to another request, or to none.
    Foreign,
}

/// Whether a response is the first one on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// It is.
    First,
    /// The connection carried others before.
    Again,
}

/// Response of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerAnswer {
    /// Meaning.
    pub kind: AnswerKind,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Time for which it wants no further requests of this host.
    pub away: Option<Duration>,
}

/// What a backend server tells of itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerHealth {
    /// Server that has the address; `None` if it does not say.
    pub server: Option<ServerId>,
    /// Time for which it stays cold; `None` if it does not say.
    pub warmup_left: Option<Duration>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// Question of a caller where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameQuery {
    /// Host name of the requests.
    pub host_name: String,
    /// Region of the caller.
    pub region: Option<RegionId>,
}

/// Headers and statuses of a platform.
pub trait RequestDialect: Send + Sync {
    /// Reads the headers of a request.
    fn read_request(&self, headers: &HeaderMap) -> CallerHead;

    /// Turns the headers of a caller into those for a backend server; the key is removed.
    fn write_request(&self, headers: &mut HeaderMap, head: &ServerHead<'_>);

    /// Reads the response to a request with the identifier `request_id`.
    fn read_response(
        &self,
        request_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
        connection: ConnectionUse,
    ) -> ServerAnswer;

    /// Reads the response of a server that was asked for its health, whatever the status.
    fn read_health(&self, headers: &HeaderMap) -> ServerHealth;

    /// The response that refuses a request; only statuses that promise so are used for one that did not run.
    fn refuse(
        &self,
        refusal: &RequestRefusal,
        status: Option<StatusCode>,
        now: MonoTime,
    ) -> Response<Bytes>;

    /// The question in a call of the directory.
    fn read_name_query(&self, uri: &Uri) -> Option<NameQuery>;

    /// The answer to a question, which the caller may keep for `lifetime`.
    fn write_names(&self, addresses: &[std::net::SocketAddr], lifetime: Duration) -> Bytes;

    /// Whether a call asks if the host is ready.
    fn is_readiness_query(&self, uri: &Uri) -> bool;
}

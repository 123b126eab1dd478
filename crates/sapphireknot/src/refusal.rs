//! Rejections returned to callers.
//!
//! A refusal states whether the request ran. "Not run" is a guarantee: it is only returned if no byte of the request
//! reached a backend server, or if the server stated that it rejected the request before running it.

use std::fmt;

use crate::time::MonoTime;

/// Response header that states whether a refused request ran.
pub const RAN_HEADER: &str = "x-sapphireknot-ran";
/// Response header with the reason of a refusal.
pub const REASON_HEADER: &str = "x-sapphireknot-reason";

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The request provably did not run; the caller can retry it safely.
    NotRun,
    /// The request may have run.
    Unknown,
    /// An earlier request with the same idempotency key ran; this one was not sent.
    Ran,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        })
    }
}

/// Reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No route matches the path or the method.
    UnknownRoute,
    /// The request is malformed or too large.
    BadRequest,
    /// The route requires an API key and the request has none.
    KeyMissing,
    /// The key belongs to no organisation.
    KeyRejected,
    /// The configuration is too old to tell whether the key was withdrawn.
    Stale,
    /// The organisation exceeded its rate and burst.
    OverRate,
    /// Every backend server is full.
    NoRoom,
    /// No backend server is usable.
    NoServer,
    /// The request cannot complete before its deadline.
    Deadline,
    /// The host is shutting down.
    Draining,
    /// The host has not installed a configuration yet.
    NotReady,
    /// The backend server failed or its response was incomplete.
    UpstreamFailed,
    /// A request with this idempotency key is in progress or has run.
    Duplicate,
}

impl RefusalReason {
    /// All reasons, for documentation and metrics.
    pub const ALL: [Self; 13] = [
        Self::UnknownRoute,
        Self::BadRequest,
        Self::KeyMissing,
        Self::KeyRejected,
        Self::Stale,
        Self::OverRate,
        Self::NoRoom,
        Self::NoServer,
        Self::Deadline,
        Self::Draining,
        Self::NotReady,
        Self::UpstreamFailed,
        Self::Duplicate,
    ];

    /// Returns the value of the [`REASON_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownRoute => "unknown-route",
            Self::BadRequest => "bad-request",
            Self::KeyMissing => "key-missing",
            Self::KeyRejected => "key-rejected",
            Self::Stale => "stale",
            Self::OverRate => "over-rate",
            Self::NoRoom => "no-room",
            Self::NoServer => "no-server",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::NotReady => "not-ready",
            Self::UpstreamFailed => "upstream-failed",
            Self::Duplicate => "duplicate",
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownRoute => 404,
            Self::BadRequest => 400,
            Self::KeyMissing | Self::KeyRejected => 401,
            Self::OverRate => 429,
            Self::Deadline => 504,
            Self::UpstreamFailed => 502,
            Self::Duplicate => 409,
            Self::Stale | Self::NoRoom | Self::NoServer | Self::Draining | Self::NotReady => 503,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Refusal of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: RunState,
    /// Earliest time at which a retry may succeed.
    pub retry_at: Option<MonoTime>,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, ran: RunState::NotRun, retry_at: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, ran: RunState::Unknown, retry_at: None }
    }

    /// Sets the earliest time at which a retry may succeed.
    pub fn retry_at(self, time: MonoTime) -> Self {
        Self { retry_at: Some(time), ..self }
    }
}

//! Reasons why no backend server accepts a request.
//!
//! The servers of a service may reject a request for different reasons. The one that came nearest to accepting it shows
//! which limit decides: with slightly more of that resource, the request would have been sent.

use std::{sync::Arc, time::Duration};

use super::fleet::ServerRecord;
use crate::ids::RegionId;

/// Reason why a backend server did not accept a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// Its load reached the limit of its rank for the object.
    Rank,
    /// Its load reached the limit of servers outside of the object's region.
    OtherRegion,
    /// Its load reached the limit of the request's priority.
    Priority,
    /// It is cold, and this host may not send it a request yet.
    Cold,
    /// The expected response time exceeds the remaining time.
    TimeLeft,
    /// No usable server is in the home regions.
    Homes,
    /// No usable server runs the version.
    Version,
    /// The request was already sent to every usable server.
    Tried,
    /// No server is usable.
    Unusable,
}

impl RejectionCause {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rank => "rank",
            Self::OtherRegion => "other-region",
            Self::Priority => "priority",
            Self::Cold => "cold",
            Self::TimeLeft => "time-left",
            Self::Homes => "homes",
            Self::Version => "version",
            Self::Tried => "tried",
            Self::Unusable => "unusable",
        }
    }
}

/// Why no server was chosen.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceError {
    /// No server may take the request at all.
    NoServer {
        /// Condition that left no server.
        cause: RejectionCause,
        /// Region in which the object of a request with homes is kept.
        kept_in: Option<RegionId>,
    },
    /// All servers that may take it are full or cold, or cannot finish in time.
    NoRoom {
        /// Time until a slot is expected to be free.
        wait: Duration,
        /// Servers that may take the request.
        candidates: usize,
        /// Server that came nearest to accepting the request.
        nearest: Box<NearestCandidate>,
        /// Region in which the object of a request with homes is kept.
        kept_in: Option<RegionId>,
    },
}

/// Candidate that came nearest to accepting a request.
#[derive(Debug, Clone, PartialEq)]
pub struct NearestCandidate {
    /// Registration.
    pub record: Arc<ServerRecord>,
    /// Reason why it did not accept the request.
    pub cause: RejectionCause,
    /// Its rank for the object; `None` without an object.
    pub rank: Option<usize>,
    /// Estimated load.
    pub load: f64,
    /// Load from which it accepts no such request; `None` for a cold server.
    pub load_limit: Option<f64>,
    /// Expected time to the response, in milliseconds.
    pub expected_ms: f64,
    /// Maximum expected time, in milliseconds; `None` for a cold server.
    pub time_limit_ms: Option<f64>,
}

/// Candidate that rejected a request, recorded while further ones are examined.
#[derive(Debug, Clone, Copy)]
pub(super) struct RejectedServer<'a> {
    pub(super) record: &'a Arc<ServerRecord>,
    /// Cause if the load exceeds its limit, or `Cold`.
    pub(super) cause: RejectionCause,
    pub(super) rank: Option<usize>,
    pub(super) load: f64,
    pub(super) load_limit: f64,
    pub(super) expected_ms: f64,
    pub(super) time_limit_ms: f64,
}

impl RejectedServer<'_> {
    /// Factor by which it exceeds its limits. Cold servers come last, as they are limited by their request rate and not
    /// by these limits.
    fn excess(&self) -> f64 {
        if self.cause == RejectionCause::Cold {
            return f64::INFINITY;
        }
        self.load_excess().max(self.time_excess())
    }

    fn load_excess(&self) -> f64 {
        self.load / self.load_limit
    }

    fn time_excess(&self) -> f64 {
        self.expected_ms / self.time_limit_ms.max(f64::MIN_POSITIVE)
    }

    fn to_candidate(self) -> NearestCandidate {
        let is_cold = self.cause == RejectionCause::Cold;
        let is_late = !is_cold && self.time_excess() > self.load_excess();
        NearestCandidate {
            record: self.record.clone(),
            cause: if is_late { RejectionCause::TimeLeft } else { self.cause },
            rank: self.rank,
            load: self.load,
            load_limit: (!is_cold).then_some(self.load_limit),
            expected_ms: self.expected_ms,
            time_limit_ms: (!is_cold).then_some(self.time_limit_ms),
        }
    }
}

/// Nearest of the candidates that were rejected so far.
#[derive(Debug, Default)]
pub(super) struct NearestRejection<'a> {
    nearest: Option<(f64, RejectedServer<'a>)>,
}

impl<'a> NearestRejection<'a> {
    /// Adds a candidate; the first of equally near ones is kept.
    pub(super) fn add(&mut self, rejected: RejectedServer<'a>) {
        let excess = rejected.excess();
        if self.nearest.as_ref().is_none_or(|(least, _)| excess < *least) {
            self.nearest = Some((excess, rejected));
        }
    }

    /// Returns the nearest candidate, if there was any.
    pub(super) fn into_candidate(self) -> Option<NearestCandidate> {
        self.nearest.map(|(_, it)| it.to_candidate())
    }
}

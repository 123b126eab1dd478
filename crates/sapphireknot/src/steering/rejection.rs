//! Why no backend server takes a request.
//!
//! A service has many servers that pass over a request for different reasons. The one that came nearest to taking it tells
//! which limit decides: with a little more of that, the request would have been sent.

use std::{sync::Arc, time::Duration};

use super::fleet::ServerRecord;
use crate::ids::RegionId;

/// What kept a backend server from taking a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// Its load, held to the limit of its rank for the object.
    Rank,
    /// Its load, held to the limit of servers in another region than that of the object.
    OtherRegion,
    /// Its load, held to the limit of the request's priority.
    Priority,
    /// It is cold, and this host may not send it a request yet.
    Cold,
    /// The time that is left, which the expected time exceeds.
    TimeLeft,
    /// No usable server is in the homes.
    Homes,
    /// No usable server runs the version.
    Version,
    /// The request was sent to each one already.
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
        /// What left none.
        cause: RejectionCause,
        /// Region in which the object of a request with homes is kept.
        kept_in: Option<RegionId>,
    },
    /// All that may are full or cold, or cannot finish in time.
    NoRoom {
        /// Time until a slot is expected to be free.
        wait: Duration,
        /// Servers that may take the request.
        candidates: usize,
        /// The one that came nearest to it.
        nearest: Box<NearestCandidate>,
        /// Region in which the object of a request with homes is kept.
        kept_in: Option<RegionId>,
    },
}

/// Candidate that came nearest to taking a request.
#[derive(Debug, Clone, PartialEq)]
pub struct NearestCandidate {
    /// Registration.
    pub record: Arc<ServerRecord>,
    /// Why it did not take it.
    pub cause: RejectionCause,
    /// Its rank for the object; `None` without an object.
    pub rank: Option<usize>,
    /// Load that was assumed.
    pub load: f64,
    /// Load from which on it takes no such request; `None` for a cold one.
    pub load_limit: Option<f64>,
    /// Expected time to the response, in milliseconds.
    pub expected_ms: f64,
    /// Longest expected time, in milliseconds; `None` for a cold one.
    pub time_limit_ms: Option<f64>,
}

/// Candidate that did not take a request, while others are still looked at.
#[derive(Debug, Clone, Copy)]
pub(super) struct PassedServer<'a> {
    pub(super) record: &'a Arc<ServerRecord>,
    /// Cause if the load exceeds its limit, or `Cold`.
    pub(super) cause: RejectionCause,
    pub(super) rank: Option<usize>,
    pub(super) load: f64,
    pub(super) load_limit: f64,
    pub(super) expected_ms: f64,
    pub(super) time_limit_ms: f64,
}

impl PassedServer<'_> {
    /// How far it is beyond its limits, as a factor. Cold servers come last, as their pace decides, not their limits.
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

    fn to_miss(self) -> NearestCandidate {
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

/// The nearest of the candidates that were passed over so far.
#[derive(Debug, Default)]
pub(super) struct NearestServer<'a> {
    nearest: Option<(f64, PassedServer<'a>)>,
}

impl<'a> NearestServer<'a> {
    /// Takes the next candidate; the first of equally near ones stays.
    pub(super) fn add(&mut self, passed: PassedServer<'a>) {
        let excess = passed.excess();
        if self.nearest.as_ref().is_none_or(|(least, _)| excess < *least) {
            self.nearest = Some((excess, passed));
        }
    }

    /// The nearest one, if there was any.
    pub(super) fn into_miss(self) -> Option<NearestCandidate> {
        self.nearest.map(|(_, it)| it.to_miss())
    }
}

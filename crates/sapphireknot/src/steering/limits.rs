//! Load limits of a backend server, by its position for the object of a request.
//!
//! Work at a server that does not know the object takes several times as long, so that overflow to it during an
//! overload would only lengthen all queues.

use super::{rejection::RejectionCause, work::RANKS};

/// Requests per slot up to which a server accepts a request, by its rank for the object; at the first rank only the
/// limit of the priority applies.
const MAX_LOAD_BY_RANK: [f64; 3] = [f64::INFINITY, 1.2, 0.9];
/// The same limit for further ranks and other regions.
const MAX_OVERFLOW_LOAD: f64 = 0.75;

/// Position of a server in the affinity order of a request's object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AffinityPosition {
    /// The request has no object.
    Any,
    /// Position among the servers of the region in which the object is kept.
    Kept(usize),
    /// The server is in another region.
    OtherRegion,
}

impl AffinityPosition {
    /// Rank, capped at the last distinguished one; `None` without an object.
    pub(super) fn rank(self) -> Option<usize> {
        match self {
            Self::Any => None,
            Self::Kept(rank) => Some(rank.min(RANKS - 1)),
            Self::OtherRegion => Some(RANKS - 1),
        }
    }

    /// Requests per slot from which a server accepts none, where the priority allows `most`, and the cause of that
    /// limit.
    pub(super) fn max_load(self, most: f64) -> (f64, RejectionCause) {
        let (limit, cause) = match self {
            Self::Any => (f64::INFINITY, RejectionCause::Priority),
            Self::Kept(rank) => {
                let limit = MAX_LOAD_BY_RANK.get(rank.min(RANKS - 1)).copied();
                (limit.unwrap_or(MAX_OVERFLOW_LOAD), RejectionCause::Rank)
            }
            Self::OtherRegion => (MAX_OVERFLOW_LOAD, RejectionCause::OtherRegion),
        };
        if limit < most { (limit, cause) } else { (most, RejectionCause::Priority) }
    }
}

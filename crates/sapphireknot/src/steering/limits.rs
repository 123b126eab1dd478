//! Load up to which a backend server takes a request, by its place for the object.
//!
//! Work at a server that does not know the object takes several times as long, so that overflow in an overload would only
//! lengthen all queues.

use super::{rejection::RejectionCause, work::RANKS};

/// Requests per slot up to which a server takes a request, by its rank for the object; only the limit of the priority
/// holds at the first one.
const MAX_LOAD_BY_RANK: [f64; 3] = [f64::INFINITY, 1.2, 0.9];
/// The same for further ranks and other regions.
const MAX_OVERFLOW_LOAD: f64 = 0.75;

/// Place of a server for the object of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ObjectPlace {
    /// The request has no object.
    Any,
    /// Position among the servers of the region in which the object is kept.
    Kept(usize),
    /// In another region.
    OtherRegion,
}

impl ObjectPlace {
    /// Rank up to the last one that is told apart; `None` without an object.
    pub(super) fn rank(self) -> Option<usize> {
        match self {
            Self::Any => None,
            Self::Kept(rank) => Some(rank.min(RANKS - 1)),
            Self::OtherRegion => Some(RANKS - 1),
        }
    }

    /// Requests per slot from which on a server takes none, where the priority allows `most`, and what sets that limit.
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

//! Requirements of a request on the choice of a backend server, and the result of the choice.

use std::{collections::HashSet, sync::Arc};

use super::{fleet::ServerRecord, plan::RequestPriority, server_state::ServerState};
use crate::{
    ids::{RegionId, ServerId, VersionId},
    time::MonoTime,
};

/// Requirements of a request.
#[derive(Debug)]
pub struct ChoiceQuery<'a> {
    /// Target latency of its route, in milliseconds.
    pub target_ms: f64,
    /// Priority.
    pub priority: RequestPriority,
    /// Hash of its object; `None` without affinity.
    pub object: Option<u64>,
    /// Version that must serve it; `None` for any.
    pub version: Option<&'a VersionId>,
    /// Regions in which it may be served; `None` for all.
    pub homes: Option<&'a HashSet<RegionId>>,
    /// Servers to which it was already sent.
    pub excluded: &'a [ServerId],
    /// Time after which its caller no longer waits.
    pub deadline: MonoTime,
}

impl ChoiceQuery<'_> {
    /// Whether `server` runs a version that may serve it.
    pub(super) fn is_version(&self, server: &ServerState) -> bool {
        self.version.is_none_or(|it| server.record.version == *it)
    }

    /// Whether it may be served in the region of `server`.
    pub(super) fn is_in_homes(&self, server: &ServerState) -> bool {
        self.homes.is_none_or(|it| it.contains(&server.region))
    }
}

/// Chosen server.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// Registration.
    pub record: Arc<ServerRecord>,
    /// Expected time of the work, in milliseconds.
    pub work_ms: f64,
    /// Expected time to the response, in milliseconds.
    pub expected_ms: f64,
    /// Its rank for the object, capped at the last distinguished one.
    pub rank: usize,
    /// Estimated load.
    pub load: f64,
    /// Regions in which a request with homes is kept and served; `None` without homes.
    pub regions: Option<ChosenRegions>,
}

/// Regions of a request with homes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenRegions {
    /// Region in which its object is kept; `None` without an object.
    pub kept_in: Option<RegionId>,
    /// Region of the chosen server.
    pub region: RegionId,
}

//! Hosts to which look-ups may send callers.
//!
//! Built when the members change, so that a look-up ranks only the hosts that it returns.

use std::net::SocketAddr;

use sapphireknot::{
    ids::{HostId, RegionId},
    lookup::{HostCandidate, HostIndex, LookupQuery, RegionDistances},
    membership::MemberRecord,
};

use crate::interfaces::HostIdentity;

/// Host of a directory.
#[derive(Debug)]
pub struct DirectoryEntry {
    /// Identifier.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Address for callers.
    pub address: SocketAddr,
}

/// Hosts that take callers, this one first.
#[derive(Debug)]
pub struct HostDirectory {
    entries: Vec<DirectoryEntry>,
    index: HostIndex,
}

impl HostDirectory {
    /// A directory of this host and the other `members` that take callers.
    pub fn new(own: &HostIdentity, members: &[MemberRecord]) -> Self {
        let own_entry = DirectoryEntry {
            id: own.id.clone(),
            region: own.region.clone(),
            address: own.caller_address,
        };
        let others = members.iter().filter(|it| it.id != own.id && it.state.takes_callers());
        let others = others.map(|it| DirectoryEntry {
            id: it.id.clone(),
            region: it.region.clone(),
            address: it.caller_address,
        });
        let entries: Vec<_> = std::iter::once(own_entry).chain(others).collect();
        let candidates =
            entries.iter().map(|it| HostCandidate { id: &it.id, region: &it.region, weight: 1 });
        let index = HostIndex::new(candidates);
        Self { entries, index }
    }

    /// The first `count` hosts for a caller; this one is left out unless it is `is_serving`.
    pub fn nearest(
        &self,
        query: &LookupQuery<'_>,
        distances: &RegionDistances,
        count: usize,
        is_serving: bool,
    ) -> Vec<&DirectoryEntry> {
        // One more, in case this host has to be left out.
        let positions = self.index.nearest(query, distances, count + 1);
        let is_usable = |position: &usize| is_serving || *position != 0;
        let usable = positions.into_iter().filter(is_usable).take(count);
        usable.map(|it| &self.entries[it]).collect()
    }
}

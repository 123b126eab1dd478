//! Directory of the hosts that look-ups return.
//!
//! Rebuilt when the members change, so that a look-up ranks only the hosts that it returns.

use std::net::SocketAddr;

use sapphireknot::{
    ids::{HostId, RegionId},
    lookup::{HostCandidate, HostIndex, LookupQuery, RegionDistances},
    membership::MemberRecord,
};

use crate::interfaces::HostIdentity;

/// Host in the directory.
#[derive(Debug)]
pub struct DirectoryEntry {
    /// Host identifier.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Address for callers.
    pub address: SocketAddr,
}

/// Hosts that accept callers, with this host at index 0.
#[derive(Debug)]
pub struct HostDirectory {
    entries: Vec<DirectoryEntry>,
    index: HostIndex,
}

impl HostDirectory {
    /// Creates a directory of this host and the other `members` that accept callers.
    pub fn new(own: &HostIdentity, members: &[MemberRecord]) -> Self {
        let this_host = DirectoryEntry {
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
        let entries: Vec<_> = std::iter::once(this_host).chain(others).collect();
        let candidates =
            entries.iter().map(|it| HostCandidate { id: &it.id, region: &it.region, weight: 1 });
        let index = HostIndex::new(candidates);
        Self { entries, index }
    }

    /// Returns the `count` nearest hosts for a client; this host is included only if `is_serving`.
    pub fn nearest(
        &self,
        query: &LookupQuery<'_>,
        distances: &RegionDistances,
        count: usize,
        is_serving: bool,
    ) -> Vec<&DirectoryEntry> {
        // One extra, in case this host has to be excluded.
        let positions = self.index.nearest(query, distances, count + 1);
        let is_usable = |position: &usize| is_serving || *position != 0;
        let usable = positions.into_iter().filter(is_usable).take(count);
        usable.map(|it| &self.entries[it]).collect()
    }
}

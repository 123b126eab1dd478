//! Servers that tell themselves that they are cold.
//!
//! Hosts learn from registrations which servers are cold. While the store is away a server may turn cold unseen and get
//! its usual requests, far more than it tolerates. Two hosts of its region then ask each server, and tell the others what
//! is new.

use xxhash_rust::xxh3::xxh3_64;

use super::{fleet::HostRecord, server_state::server_hash};
use crate::{
    ids::{HostId, RegionId, ServerId},
    rendezvous::rendezvous_draw,
    time::MonoTime,
};

/// Hosts that ask each server, so that one of them may fail and a server is asked twice in an interval.
const PROBERS: usize = 2;

/// Server that says that it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReport {
    /// Hash of the server's id.
    pub server: u64,
    /// Until when.
    pub cold_until: MonoTime,
}

/// Hosts among which the servers of a region are divided.
#[derive(Debug)]
pub struct ProbeGroup {
    own: u64,
    /// The other hosts of the region.
    others: Vec<u64>,
}

impl ProbeGroup {
    /// Team of the host `own` for servers in `region`; `None` if hosts of that region are there to ask them.
    pub fn new<'a, I>(
        own: &HostId,
        own_region: &RegionId,
        region: &RegionId,
        hosts: I,
    ) -> Option<Self>
    where
        I: Iterator<Item = &'a HostRecord> + Clone,
    {
        let has_hosts = own_region == region || hosts.clone().any(|it| it.region == *region);
        if has_hosts && own_region != region {
            return None;
        }
        // A region without a host is left to those of all others.
        let members = hosts.filter(|it| it.id != *own && (!has_hosts || it.region == *region));
        let hash = |id: &HostId| xxh3_64(id.as_str().as_bytes());
        Some(Self { own: hash(own), others: members.map(|it| hash(&it.id)).collect() })
    }

    /// Whether this host asks `server`.
    pub fn asks(&self, server: &ServerId) -> bool {
        let seed = server_hash(server);
        let own = rendezvous_draw(seed, self.own);
        self.others.iter().filter(|it| rendezvous_draw(seed, **it) > own).count() < PROBERS
    }
}

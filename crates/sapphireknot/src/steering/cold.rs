//! Probing of servers for being cold.
//!
//! Hosts learn from registrations which servers are cold. While the store is unavailable, a server could turn cold
//! unnoticed and get its usual request rate, far more than it tolerates. Two hosts of its region therefore probe each
//! server and report new findings to the others.

use xxhash_rust::xxh3::xxh3_64;

use super::{fleet::HostRecord, server_state::server_hash};
use crate::{
    ids::{HostId, RegionId, ServerId},
    rendezvous::rendezvous_draw,
    time::MonoTime,
};

/// Hosts that probe each server: one of them may fail, and a server is probed twice per interval.
const PROBERS_PER_SERVER: usize = 2;

/// Report of a server that it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReport {
    /// Hash of the server's id.
    pub server: u64,
    /// End of the cold period.
    pub cold_until: MonoTime,
}

/// Hosts among which the probes of a region's servers are divided.
#[derive(Debug)]
pub struct ProbeGroup {
    own: u64,
    /// The other hosts of the region.
    others: Vec<u64>,
}

impl ProbeGroup {
    /// Creates the group of the host `own` for servers in `region`; `None` if that region has hosts of its own to probe
    /// them.
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
        // The servers of a region without hosts are probed by the hosts of all other regions.
        let members = hosts.filter(|it| it.id != *own && (!has_hosts || it.region == *region));
        let hash = |id: &HostId| xxh3_64(id.as_str().as_bytes());
        Some(Self { own: hash(own), others: members.map(|it| hash(&it.id)).collect() })
    }

    /// Whether this host probes `server`.
    pub fn probes(&self, server: &ServerId) -> bool {
        let seed = server_hash(server);
        let own = rendezvous_draw(seed, self.own);
        self.others.iter().filter(|it| rendezvous_draw(seed, **it) > own).count()
            < PROBERS_PER_SERVER
    }
}

//! Deterministic subsetting of backend servers.
//!
//! A server accepts a bounded number of connections, so not every host can keep connections to every server. The hosts
//! are ranked per server by rendezvous hashing, and the highest-ranked hosts use the server. A host that joins or
//! leaves changes the subset of few others.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{HostId, ServerId};

/// Connection limits that determine the size of a subset.
#[derive(Debug, Clone, Copy)]
pub struct SubsetLimits {
    /// Maximum number of connections that the server accepts.
    pub server_connections: u32,
    /// Number of connections that a host keeps to a server.
    pub host_connections: u32,
}

fn rank(host: &HostId, server: &ServerId) -> u64 {
    let mut bytes = Vec::with_capacity(host.as_str().len() + server.as_str().len() + 1);
    bytes.extend_from_slice(server.as_str().as_bytes());
    bytes.push(b'/');
    bytes.extend_from_slice(host.as_str().as_bytes());
    xxh3_64(&bytes)
}

/// Returns whether `host`, one of `hosts`, keeps connections to `server`.
pub fn is_in_subset<'a, I>(host: &HostId, server: &ServerId, hosts: I, limits: SubsetLimits) -> bool
where
    I: IntoIterator<Item = &'a HostId>,
{
    let subset_size = (limits.server_connections / limits.host_connections.max(1)).max(1) as usize;
    let own = (rank(host, server), host);
    let higher_ranked = hosts.into_iter().filter(|it| (rank(it, server), *it) > own);
    higher_ranked.take(subset_size).count() < subset_size
}

//! Deterministic subsets of backend servers.
//!
//! A server accepts a bounded number of connections, so not every host may keep some to every server. Each server ranks
//! the hosts by rendezvous hashing, and the hosts of highest rank use it. A host that joins or leaves changes the subset of
//! few others.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{HostId, ServerId};

/// Limits of connections.
#[derive(Debug, Clone, Copy)]
pub struct SubsetLimits {
    /// Connections that the server accepts.
    pub server_connections: u32,
    /// Connections that a host keeps to a server.
    pub host_connections: u32,
}

fn rank(host: &HostId, server: &ServerId) -> u64 {
    let mut bytes = Vec::with_capacity(host.as_str().len() + server.as_str().len() + 1);
    bytes.extend_from_slice(server.as_str().as_bytes());
    bytes.push(b'/');
    bytes.extend_from_slice(host.as_str().as_bytes());
    xxh3_64(&bytes)
}

/// Whether `host`, one of `hosts`, keeps connections to `server`.
pub fn is_in_subset<'a, I>(host: &HostId, server: &ServerId, hosts: I, limits: SubsetLimits) -> bool
where
    I: IntoIterator<Item = &'a HostId>,
{
    let places = (limits.server_connections / limits.host_connections.max(1)).max(1) as usize;
    let own = (rank(host, server), host);
    let better = hosts.into_iter().filter(|it| (rank(it, server), *it) > own);
    better.take(places).count() < places
}

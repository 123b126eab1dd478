//! Hosts that a caller is told.

use std::{collections::HashSet, net::SocketAddr};

use rand::{Rng, seq::SliceRandom};

use super::{fleet::HostRecord, plan::RoutingPlan};
use crate::ids::RegionId;

/// Hosts that one answer names at most.
const MAX_NAMED: usize = 64;

/// Addresses of hosts for a caller in `region` that asks for `host_name`.
///
/// Callers get the hosts of their own region, and hosts of others only if it has none. If all routes of the name bind
/// requests to regions, hosts of those come before any others. Of more hosts than one answer holds each answer names
/// others, so that none of them stays without callers.
pub fn select_hosts<'a, I, R>(
    hosts: I,
    plan: Option<&RoutingPlan>,
    host_name: &str,
    region: &RegionId,
    rng: &mut R,
) -> Vec<SocketAddr>
where
    I: Iterator<Item = &'a HostRecord>,
    R: Rng,
{
    let mut hosts: Vec<&HostRecord> = hosts.collect();
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    let routes = plan.into_iter().flat_map(|it| it.routes_of(host_name));
    let homes: HashSet<&RegionId> = routes.flat_map(|it| &it.homes).collect();
    let mut addresses = |is_named: &dyn Fn(&HostRecord) -> bool| -> Vec<SocketAddr> {
        let named = hosts.iter().filter(|it| is_named(it)).map(|it| it.address);
        let mut named: Vec<SocketAddr> = named.collect();
        if named.len() > MAX_NAMED {
            named.shuffle(rng);
            named.truncate(MAX_NAMED);
        }
        named
    };
    let near = addresses(&|it| it.region == *region);
    if !near.is_empty() {
        return near;
    }
    let home = addresses(&|it| homes.contains(&it.region));
    if home.is_empty() { addresses(&|_| true) } else { home }
}

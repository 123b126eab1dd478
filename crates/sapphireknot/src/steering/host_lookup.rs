//! Selection of the hosts that a look-up returns to a caller.

use std::{collections::HashSet, net::SocketAddr};

use rand::{Rng, seq::SliceRandom};

use super::{fleet::HostRecord, plan::RoutingPlan};
use crate::ids::RegionId;

/// Maximum number of hosts in one response.
const MAX_ADDRESSES: usize = 64;

/// Selects the addresses of hosts for a caller in `region` that looks up `host_name`.
///
/// Callers get the hosts of their own region, and hosts of others only if it has none. If all routes of the name bind
/// requests to regions, hosts of those take precedence over others. If there are more hosts than fit into a response,
/// each response holds a random subset, so that every host gets callers.
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
    let mut addresses = |is_selected: &dyn Fn(&HostRecord) -> bool| -> Vec<SocketAddr> {
        let selected = hosts.iter().filter(|it| is_selected(it)).map(|it| it.address);
        let mut selected: Vec<SocketAddr> = selected.collect();
        if selected.len() > MAX_ADDRESSES {
            selected.shuffle(rng);
            selected.truncate(MAX_ADDRESSES);
        }
        selected
    };
    let near = addresses(&|it| it.region == *region);
    if !near.is_empty() {
        return near;
    }
    let home = addresses(&|it| homes.contains(&it.region));
    if home.is_empty() { addresses(&|_| true) } else { home }
}

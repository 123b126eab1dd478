//! Host look-up for callers.
//!
//! [`BlockTable`] maps a client address to a region by longest prefix match. [`order_hosts`] orders hosts by the
//! distance of their region and then by weighted rendezvous hashing, so that each organisation uses few hosts and a
//! change of the host set moves few organisations. [`HostIndex`] returns the first hosts of the same order without
//! ranking all hosts.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::ConfigDocument,
    ids::{HostId, OrganisationId, RegionId},
    rendezvous::{rendezvous_draw, rendezvous_score},
};

/// Maps client address blocks to regions.
#[derive(Debug, Default)]
pub struct BlockTable {
    regions: Vec<RegionId>,
    // The tries store indexes into `regions`, which keeps nodes small with hundreds of thousands of blocks.
    v4: PrefixMap<Ipv4Net, u32>,
    v6: PrefixMap<Ipv6Net, u32>,
}

impl BlockTable {
    /// Indexes the client blocks of `document`.
    pub fn new(document: &ConfigDocument) -> Self {
        let mut table = Self::default();
        let mut positions = HashMap::new();
        for entry in &document.client_blocks {
            let position = *positions.entry(entry.region.clone()).or_insert_with(|| {
                table.regions.push(entry.region.clone());
                table.regions.len() as u32 - 1
            });
            match entry.block {
                IpNet::V4(block) => drop(table.v4.insert(block, position)),
                IpNet::V6(block) => drop(table.v6.insert(block, position)),
            }
        }
        table
    }

    /// Returns the region of the longest prefix that contains `client`.
    pub fn region(&self, client: IpAddr) -> Option<&RegionId> {
        self.find(client).map(|(_, region)| region)
    }

    /// Returns the longest prefix that contains `client`, and its region.
    pub fn find(&self, client: IpAddr) -> Option<(IpNet, &RegionId)> {
        let (block, position) = match client.to_canonical() {
            IpAddr::V4(address) => {
                let (block, position) = self.v4.get_lpm(&Ipv4Net::from(address))?;
                (IpNet::V4(block), *position)
            }
            IpAddr::V6(address) => {
                let (block, position) = self.v6.get_lpm(&Ipv6Net::from(address))?;
                (IpNet::V6(block), *position)
            }
        };
        Some((block, self.regions.get(position as usize)?))
    }
}

/// One-way latency between regions along the shortest paths over configured links.
#[derive(Debug, Default)]
pub struct RegionDistances {
    // Nested maps, because a look-up in a map keyed by pairs would have to clone the identifiers.
    rows: BTreeMap<RegionId, BTreeMap<RegionId, Duration>>,
}

impl RegionDistances {
    /// Computes all shortest paths over the links of `document` (Floyd-Warshall).
    pub fn new(document: &ConfigDocument) -> Self {
        let mut distances = Self::default();
        for link in &document.links {
            distances.shorten(&link.from, &link.to, link.latency.0);
        }
        for middle in &document.regions {
            for from in &document.regions {
                for to in &document.regions {
                    let first = distances.between(&from.id, &middle.id);
                    let path = first.saturating_add(distances.between(&middle.id, &to.id));
                    if path < Duration::MAX {
                        distances.shorten(&from.id, &to.id, path);
                    }
                }
            }
        }
        distances
    }

    /// Returns the latency from `from` to `to`, or [`Duration::MAX`] if there is no path.
    pub fn between(&self, from: &RegionId, to: &RegionId) -> Duration {
        row_distance(self.rows.get(from), from, to)
    }

    fn shorten(&mut self, from: &RegionId, to: &RegionId, latency: Duration) {
        let row = self.rows.entry(from.clone()).or_default();
        let shortest = row.entry(to.clone()).or_insert(latency);
        *shortest = latency.min(*shortest);
    }
}

/// Returns the latency from `from` to `to`, given the row of `from`.
fn row_distance(
    row: Option<&BTreeMap<RegionId, Duration>>,
    from: &RegionId,
    to: &RegionId,
) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    row.and_then(|it| it.get(to)).copied().unwrap_or(Duration::MAX)
}

/// Host that can be returned to a caller.
#[derive(Debug, Clone, Copy)]
pub struct HostCandidate<'a> {
    /// Identifier.
    pub id: &'a HostId,
    /// Region.
    pub region: &'a RegionId,
    /// Relative share of callers that the host should receive.
    pub weight: u32,
}

/// Look-up request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery<'a> {
    /// Organisation of the caller, if given.
    pub organisation: Option<&'a OrganisationId>,
    /// Block that contains the client address.
    pub block: IpNet,
    /// Region nearest to the client.
    pub region: &'a RegionId,
}

/// Returns the indexes of `candidates` in the order of preference; candidates with weight 0 are omitted.
pub fn order_hosts(
    query: &LookupQuery<'_>,
    candidates: &[HostCandidate<'_>],
    distances: &RegionDistances,
) -> Vec<usize> {
    let seed = query_seed(query);
    let mut order: Vec<_> = candidates
        .iter()
        .enumerate()
        .filter(|(_, it)| it.weight > 0)
        .map(|(idx, it)| {
            let distance = distances.between(query.region, it.region);
            let score = rendezvous_score(rendezvous_draw(seed, host_hash(it.id)), it.weight);
            (distance, Reverse(score), it.id, idx)
        })
        .collect();
    order.sort();
    order.into_iter().map(|(_, _, _, idx)| idx).collect()
}

/// Hosts grouped by region; returns the first hosts in the order of [`order_hosts`] without ranking all hosts.
#[derive(Debug, Default)]
pub struct HostIndex {
    groups: BTreeMap<RegionId, Vec<IndexedHost>>,
}

#[derive(Debug)]
struct IndexedHost {
    // Computed once per index, so that a look-up does not hash host identifiers.
    hash: u64,
    weight: u32,
    position: usize,
    id: HostId,
}

/// Sort key of a host among hosts at the same distance, with its position.
type RankedHost<'a> = (Reverse<u64>, &'a HostId, usize);

impl HostIndex {
    /// Builds an index of `candidates`; positions are indexes into that sequence.
    pub fn new<'a, I>(candidates: I) -> Self
    where
        I: IntoIterator<Item = HostCandidate<'a>>,
    {
        let mut index = Self::default();
        for (position, candidate) in candidates.into_iter().enumerate() {
            if candidate.weight > 0 {
                let group = index.groups.entry(candidate.region.clone()).or_default();
                let HostCandidate { id, weight, .. } = candidate;
                group.push(IndexedHost { hash: host_hash(id), weight, position, id: id.clone() });
            }
        }
        index
    }

    /// Returns the first `count` positions in the order of [`order_hosts`].
    pub fn nearest(
        &self,
        query: &LookupQuery<'_>,
        distances: &RegionDistances,
        count: usize,
    ) -> Vec<usize> {
        let seed = query_seed(query);
        let row = distances.rows.get(query.region);
        let mut regions: Vec<_> = self
            .groups
            .iter()
            .map(|(region, hosts)| (row_distance(row, query.region, region), hosts))
            .collect();
        regions.sort_unstable_by_key(|(distance, _)| *distance);
        let mut order = Vec::with_capacity(count);
        // Hosts of all regions at the same distance are ranked together.
        for group in regions.chunk_by(|one, other| one.0 == other.0) {
            let remaining = count - order.len();
            if remaining == 0 {
                break;
            }
            let hosts = group.iter().flat_map(|(_, hosts)| hosts.iter());
            order.extend(best_hosts(seed, hosts, remaining).into_iter().map(|(_, _, idx)| idx));
        }
        order
    }
}

/// Returns the `count` hosts with the highest scores, in descending order.
fn best_hosts<'a, I>(seed: u64, hosts: I, count: usize) -> Vec<RankedHost<'a>>
where
    I: Iterator<Item = &'a IndexedHost>,
{
    let mut best: Vec<RankedHost<'_>> = Vec::with_capacity(count + 1);
    for host in hosts {
        let uniform = rendezvous_draw(seed, host.hash);
        if best.len() == count
            && let Some((Reverse(lowest), ..)) = best.last()
        {
            // Since -ln(x) >= 1 - x, the score is at most weight / (1 - uniform). This bound avoids most logarithms.
            // The margin exceeds the rounding error of both sides.
            let bound = f64::from_bits(*lowest) * (1.0 - uniform);
            if f64::from(host.weight) < bound * (1.0 - 1e-9) {
                continue;
            }
        }
        let ranked = (Reverse(rendezvous_score(uniform, host.weight)), &host.id, host.position);
        let idx = best.partition_point(|it| *it < ranked);
        if idx < count {
            best.insert(idx, ranked);
            best.truncate(count);
        }
    }
    best
}

/// Returns the hash of a query, computed once per query instead of once per host.
fn query_seed(query: &LookupQuery<'_>) -> u64 {
    let organisation = query.organisation.map_or("", OrganisationId::as_str);
    // Identifiers contain no slash, so the concatenation is unambiguous.
    xxh3_64(format!("{organisation}/{}", query.block).as_bytes())
}

fn host_hash(id: &HostId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

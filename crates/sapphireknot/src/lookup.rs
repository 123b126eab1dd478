//! Look-up of hosts for a caller.
//!
//! [`BlockTable`] finds the region of a client address by the longest prefix. [`order_hosts`] orders hosts by the
//! distance of their region and then by weighted rendezvous hashing, so that an organisation meets few hosts and a
//! change of the hosts moves few organisations. [`HostIndex`] finds the first hosts of the same order without ranking
//! all of them.

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

/// Regions of client blocks.
#[derive(Debug, Default)]
pub struct BlockTable {
    regions: Vec<RegionId>,
    // The trie holds positions in `regions`, which keeps a node small at hundreds of thousands of blocks.
    v4: PrefixMap<Ipv4Net, u32>,
    v6: PrefixMap<Ipv6Net, u32>,
}

impl BlockTable {
    /// The client blocks of `document`.
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

    /// The region of the longest block that contains `client`.
    pub fn region(&self, client: IpAddr) -> Option<&RegionId> {
        self.find(client).map(|(_, region)| region)
    }

    /// The longest block that contains `client`, and its region.
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

/// One-way latency between regions over the links of a document.
#[derive(Debug, Default)]
pub struct RegionDistances {
    // Nested, so that a look-up by reference copies no identifier.
    rows: BTreeMap<RegionId, BTreeMap<RegionId, Duration>>,
}

impl RegionDistances {
    /// The shortest paths over the links of `document`.
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

    /// The latency from `from` to `to`; the longest possible one if no path is known.
    pub fn between(&self, from: &RegionId, to: &RegionId) -> Duration {
        row_distance(self.rows.get(from), from, to)
    }

    fn shorten(&mut self, from: &RegionId, to: &RegionId, latency: Duration) {
        let row = self.rows.entry(from.clone()).or_default();
        let known = row.entry(to.clone()).or_insert(latency);
        *known = latency.min(*known);
    }
}

/// The latency to `to` in the row of `from`.
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

/// Host that a caller may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct HostCandidate<'a> {
    /// Identifier.
    pub id: &'a HostId,
    /// Region.
    pub region: &'a RegionId,
    /// Part of the callers that it should get, relative to the others.
    pub weight: u32,
}

/// Caller that asks for hosts.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery<'a> {
    /// Organisation, if it was named.
    pub organisation: Option<&'a OrganisationId>,
    /// Block of the client address.
    pub block: IpNet,
    /// Region that is nearest to the client.
    pub region: &'a RegionId,
}

/// Positions of `candidates` in the order in which the caller should try them; those of weight 0 are left out.
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

/// Hosts by region, from which the first of the order of [`order_hosts`] are found without ranking all hosts.
#[derive(Debug, Default)]
pub struct HostIndex {
    groups: BTreeMap<RegionId, Vec<IndexedHost>>,
}

#[derive(Debug)]
struct IndexedHost {
    // Hashed once per index, so that a look-up reads no text of the hosts that it does not return.
    hash: u64,
    weight: u32,
    position: usize,
    id: HostId,
}

/// Host with what decides its place within a region distance.
type RankedHost<'a> = (Reverse<u64>, &'a HostId, usize);

impl HostIndex {
    /// An index of `candidates`; positions count from the first one.
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

    /// The first `count` positions of the order of [`order_hosts`].
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
        // Regions at the same distance compete with each other.
        for group in regions.chunk_by(|one, other| one.0 == other.0) {
            let wanted = count - order.len();
            if wanted == 0 {
                break;
            }
            let hosts = group.iter().flat_map(|(_, hosts)| hosts.iter());
            order.extend(best_hosts(seed, hosts, wanted).into_iter().map(|(_, _, idx)| idx));
        }
        order
    }
}

/// The `count` hosts with the highest scores, best first.
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
            // The score is at most weight / (1 - uniform), since -ln(x) >= 1 - x, which spares most logarithms. The
            // margin is above the rounding of both sides.
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

/// Hash of what a caller asks for; hashed once, not once per host.
fn query_seed(query: &LookupQuery<'_>) -> u64 {
    let organisation = query.organisation.map_or("", OrganisationId::as_str);
    // Identifiers contain no slash, so that the text has one reading.
    xxh3_64(format!("{organisation}/{}", query.block).as_bytes())
}

fn host_hash(id: &HostId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

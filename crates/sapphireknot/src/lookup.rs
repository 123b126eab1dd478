//! Look-up of hosts for a caller.
//!
//! [`BlockTable`] finds the region of a client address by the longest prefix. [`order_hosts`] orders hosts by the
//! distance of their region and then by weighted rendezvous hashing, so that an organisation meets few hosts and a
//! change of the hosts moves few organisations.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::Duration,
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    config::ConfigDocument,
    ids::{HostId, OrganisationId, RegionId},
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
        if from == to {
            return Duration::ZERO;
        }
        self.rows.get(from).and_then(|it| it.get(to)).copied().unwrap_or(Duration::MAX)
    }

    fn shorten(&mut self, from: &RegionId, to: &RegionId, latency: Duration) {
        let row = self.rows.entry(from.clone()).or_default();
        let known = row.entry(to.clone()).or_insert(latency);
        *known = latency.min(*known);
    }
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
    let organisation = query.organisation.map_or("", OrganisationId::as_str);
    // Identifiers contain no slash, so that the text has one reading. It is hashed once, not once per host.
    let seed = xxh3_64(format!("{organisation}/{}", query.block).as_bytes());
    let mut order: Vec<_> = candidates
        .iter()
        .enumerate()
        .filter(|(_, it)| it.weight > 0)
        .map(|(idx, it)| {
            let distance = distances.between(query.region, it.region);
            (distance, Reverse(rendezvous_score(seed, it)), it.id, idx)
        })
        .collect();
    order.sort();
    order.into_iter().map(|(_, _, _, idx)| idx).collect()
}

/// Score whose maximum falls on each host in proportion to its weight.
fn rendezvous_score(seed: u64, candidate: &HostCandidate<'_>) -> u64 {
    let hash = xxh3_64_with_seed(candidate.id.as_str().as_bytes(), seed);
    // The upper 53 bits give a uniform number strictly between 0 and 1, so that its logarithm is finite and negative.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let score = f64::from(candidate.weight) / -uniform.ln();
    // The bits of non-negative floats are ordered like the floats.
    score.to_bits()
}

//! Look-up of hosts for a caller.
//!
//! [`BlockTable`] finds the region of a client address by the longest prefix.

use std::{collections::HashMap, net::IpAddr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{config::ConfigDocument, ids::RegionId};

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
        let position = match client.to_canonical() {
            IpAddr::V4(address) => self.v4.get_lpm(&Ipv4Net::from(address)).map(|(_, it)| *it),
            IpAddr::V6(address) => self.v6.get_lpm(&Ipv6Net::from(address)).map(|(_, it)| *it),
        };
        self.regions.get(position? as usize)
    }
}

//! Stored record of the grants of many resources.
//!
//! The record is one JSON value in the store. Hosts are listed once and grants refer to them by position, so a grant
//! takes about 20 bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{HostId, IncarnationId},
    quota::{LeaseKind, ResourceId},
    units::TrafficShare,
};

/// Shares that one host holds of a resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantShares {
    /// Bound to the long lease.
    pub floor: TrafficShare,
    /// Bound to the short lease.
    pub surplus: TrafficShare,
}

impl GrantShares {
    /// The share bound to a lease.
    pub fn get(&self, kind: LeaseKind) -> TrafficShare {
        match kind {
            LeaseKind::Floor => self.floor,
            LeaseKind::Surplus => self.surplus,
        }
    }

    pub(super) fn get_mut(&mut self, kind: LeaseKind) -> &mut TrafficShare {
        match kind {
            LeaseKind::Floor => &mut self.floor,
            LeaseKind::Surplus => &mut self.surplus,
        }
    }

    /// Both shares together.
    pub fn total(&self) -> u64 {
        u64::from(self.floor.0) + u64::from(self.surplus.0)
    }
}

/// Grant to one run of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantEntry {
    /// Holder.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// Granted shares.
    pub shares: GrantShares,
}

/// Grants of the resources of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuotaRecord {
    pub(super) grants: BTreeMap<ResourceId, Vec<GrantEntry>>,
}

/// Error from reading or writing a [`QuotaRecord`].
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value does not have the form of a record.
    #[error("reading quota record: {0}")]
    Form(#[from] serde_json::Error),
    /// A grant refers to a host that is not listed.
    #[error("reading quota record: grant of {resource} names host {position} of {hosts}")]
    Position {
        /// Resource.
        resource: ResourceId,
        /// Position that the grant names.
        position: usize,
        /// Number of hosts.
        hosts: usize,
    },
    /// The grants of a resource exceed the whole.
    #[error("reading quota record: grants of {resource} add up to {total} of 1000000 ppm")]
    Excess {
        /// Resource.
        resource: ResourceId,
        /// Sum in parts per million.
        total: u64,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredRecord {
    hosts: Vec<(HostId, IncarnationId)>,
    /// Position of the host in `hosts`, floor and surplus in parts per million.
    grants: BTreeMap<ResourceId, Vec<(usize, u32, u32)>>,
}

impl QuotaRecord {
    /// Parses the value of a record in the store.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        let stored: StoredRecord = serde_json::from_slice(value)?;
        let mut record = Self::default();
        for (resource, grants) in stored.grants {
            let mut entries = Vec::with_capacity(grants.len());
            for (position, floor, surplus) in grants {
                let hosts = stored.hosts.len();
                let Some((host, incarnation)) = stored.hosts.get(position).cloned() else {
                    return Err(RecordError::Position { resource, position, hosts });
                };
                let shares =
                    GrantShares { floor: TrafficShare(floor), surplus: TrafficShare(surplus) };
                entries.push(GrantEntry { host, incarnation, shares });
            }
            let total = entries.iter().map(|it| it.shares.total()).sum();
            if total > u64::from(TrafficShare::WHOLE.0) {
                return Err(RecordError::Excess { resource, total });
            }
            record.grants.insert(resource, entries);
        }
        Ok(record)
    }

    /// The value of this record in the store.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut positions = BTreeMap::new();
        let mut hosts = Vec::new();
        let mut grants = BTreeMap::new();
        for (resource, entries) in &self.grants {
            let packed = entries.iter().map(|entry| {
                let host = (entry.host.clone(), entry.incarnation);
                let position = *positions.entry(host.clone()).or_insert_with(|| {
                    hosts.push(host);
                    hosts.len() - 1
                });
                (position, entry.shares.floor.0, entry.shares.surplus.0)
            });
            grants.insert(resource.clone(), packed.collect());
        }
        Ok(serde_json::to_vec(&StoredRecord { hosts, grants })?)
    }

    /// Grants of a resource.
    pub fn grants(&self, resource: &ResourceId) -> &[GrantEntry] {
        self.grants.get(resource).map(Vec::as_slice).unwrap_or_default()
    }

    /// Shares that one run of a host holds.
    pub fn shares(
        &self,
        resource: &ResourceId,
        host: &HostId,
        incarnation: IncarnationId,
    ) -> GrantShares {
        let entry = self
            .grants(resource)
            .iter()
            .find(|it| it.host == *host && it.incarnation == incarnation);
        entry.map(|it| it.shares).unwrap_or_default()
    }

    /// Share that nobody holds.
    pub fn unallocated(&self, resource: &ResourceId) -> TrafficShare {
        let total: u64 = self.grants(resource).iter().map(|it| it.shares.total()).sum();
        let total = TrafficShare(u32::try_from(total).unwrap_or(u32::MAX));
        TrafficShare::WHOLE.saturating_sub(total)
    }

    /// Runs of hosts with a grant of any resource, whose leases a claim has to check.
    pub fn holders(&self) -> Vec<(&HostId, IncarnationId)> {
        let mut holders: Vec<_> =
            self.grants.values().flatten().map(|it| (&it.host, it.incarnation)).collect();
        holders.sort();
        holders.dedup();
        holders
    }
}

/// Store key of the record that holds a resource.
pub fn shard_key(resource: &ResourceId, shards: u32) -> String {
    let hash = xxh3_64(resource.to_string().as_bytes());
    format!("quota/{}", hash % u64::from(shards.max(1)))
}

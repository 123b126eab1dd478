//! State of the store: entries and leases.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use sapphireknot_platform::{LeaseId, StoreRevision, StoredEntry, SwapOutcome, SwapWrite};

/// Size limit of a value, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Debug)]
struct LeaseRecord {
    ttl: Duration,
    deadline: Instant,
}

/// Entries by key and leases by id.
#[derive(Debug, Default)]
pub(super) struct EntryMap {
    entries: BTreeMap<String, StoredEntry>,
    leases: HashMap<LeaseId, LeaseRecord>,
    revision: u64,
    last_lease: u64,
}

impl EntryMap {
    pub(super) fn get(&self, key: &str) -> Option<StoredEntry> {
        self.entries.get(key).cloned()
    }

    pub(super) fn revision_of(&self, key: &str) -> StoreRevision {
        self.entries.get(key).map_or(StoreRevision::ABSENT, |it| it.revision)
    }

    pub(super) fn list(&self, prefix: &str) -> Vec<StoredEntry> {
        let entries = self.entries.range(prefix.to_owned()..);
        entries.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, it)| it.clone()).collect()
    }

    /// Returns the earliest deadline of a lease.
    pub(super) fn next_lease_deadline(&self) -> Option<Instant> {
        self.leases.values().map(|it| it.deadline).min()
    }

    /// Revokes the leases whose deadline has passed, and deletes their entries.
    pub(super) fn expire(&mut self, now: Instant) {
        let ended = self.leases.iter().filter(|(_, it)| it.deadline <= now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.revoke(lease);
        }
    }

    pub(super) fn swap(&mut self, write: SwapWrite) -> Result<SwapOutcome, String> {
        let length = write.value.as_ref().map_or(0, Vec::len);
        if length > MAX_VALUE_BYTES {
            return Err(format!("value of {length} bytes exceeds {MAX_VALUE_BYTES}"));
        }
        if write.lease.is_some_and(|it| !self.leases.contains_key(&it)) {
            return Ok(SwapOutcome::LeaseEnded);
        }
        if self.revision_of(&write.key) != write.expected {
            return Ok(SwapOutcome::Conflict(self.get(&write.key)));
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        match write.value {
            Some(value) => {
                let key = write.key.clone();
                let entry = StoredEntry { key, value, revision, lease: write.lease };
                self.entries.insert(write.key, entry);
            }
            None => drop(self.entries.remove(&write.key)),
        }
        Ok(SwapOutcome::Swapped(revision))
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases.insert(lease, LeaseRecord { ttl, deadline: now + ttl });
        lease
    }

    pub(super) fn renew(&mut self, leases: &[LeaseId], now: Instant) -> Vec<LeaseId> {
        let mut alive = Vec::new();
        for lease in leases {
            if let Some(record) = self.leases.get_mut(lease) {
                record.deadline = now + record.ttl;
                alive.push(*lease);
            }
        }
        alive
    }

    pub(super) fn revoke(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.entries.retain(|_, it| it.lease != Some(lease));
        }
    }
}

//! The platform's key-value store.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use thiserror::Error;

/// Revision of the store at which an entry was written; zero stands for an absent entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Revision of an absent entry.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Lease of the store; never used again after it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Entry of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Key.
    pub key: String,
    /// Value, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: StoreRevision,
    /// Lease that deletes the entry when it ends.
    pub lease: Option<LeaseId>,
}

/// Conditional write of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapWrite {
    /// Key.
    pub key: String,
    /// Revision of the entry that is replaced.
    pub expected: StoreRevision,
    /// New value; `None` deletes the entry.
    pub value: Option<Vec<u8>>,
    /// Lease that deletes the entry when it ends.
    pub lease: Option<LeaseId>,
}

/// Result of a conditional write that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Swapped(StoreRevision),
    /// The entry had another revision; this is what is there.
    Conflict(Option<StoredEntry>),
    /// The lease of the write had ended; nothing was written.
    LeaseEnded,
}

/// Failed call of the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refused the call; it had no effect.
    #[error("{step} at store {peer}: refused: {reason}")]
    Refused {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// What the store said.
        reason: String,
    },
    /// No answer came; a write may have taken effect.
    #[error("{step} at store {peer}: no answer: {reason}")]
    Unanswered {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// What went wrong.
        reason: String,
    },
}

/// Key-value store with compare-and-swap, leases and watches.
///
/// Reads are linearizable. Every call has a time limit of the adapter; a call that exceeds it returns
/// [`StoreError::Unanswered`].
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads one entry.
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError>;

    /// Reads the entries whose key starts with `prefix`, ordered by key.
    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError>;

    /// Writes or deletes one entry if its revision is the expected one.
    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError>;

    /// Starts a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews leases and returns those that are alive.
    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError>;

    /// Ends a lease and deletes its entries.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits until the entry's revision differs from `known`; `None` if the wait ended first.
    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError>;
}

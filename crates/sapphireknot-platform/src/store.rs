//! Interface to the platform's key-value store.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use thiserror::Error;

/// Revision of the store at which an entry was written; zero denotes an absent entry.
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

/// Identifier of a lease; not reused after the lease has ended.
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
    /// Key of the entry.
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
    /// Key of the entry.
    pub key: String,
    /// Expected current revision of the entry.
    pub expected: StoreRevision,
    /// New value; `None` deletes the entry.
    pub value: Option<Vec<u8>>,
    /// Lease that deletes the entry when it ends.
    pub lease: Option<LeaseId>,
}

/// Result of a conditional write to which the store responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Swapped(StoreRevision),
    /// The entry has another revision; contains the current entry, if there is one.
    Conflict(Option<StoredEntry>),
    /// The lease of the write has ended; nothing was written.
    LeaseEnded,
}

/// Failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refused the call, which had no effect.
    #[error("{step} at store {peer}: refused: {reason}")]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// Reason given by the store.
        reason: String,
    },
    /// The store did not respond, or its response was invalid; a write may have taken effect.
    #[error("{step} at store {peer}: no answer: {reason}")]
    Unanswered {
        /// Operation that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// Key-value store with compare-and-swap, leases and watches.
///
/// Reads are linearizable. The adapter applies a timeout to every call; a call that exceeds it returns
/// [`StoreError::Unanswered`].
#[async_trait]
pub trait KeyValueStore: Send + Sync {
    /// Reads an entry; returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError>;

    /// Reads the entries whose keys start with `prefix`, ordered by key.
    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError>;

    /// Writes or deletes an entry if its revision matches the expected one.
    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError>;

    /// Grants a lease that expires after `ttl` unless renewed.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews leases and returns those that are still alive.
    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError>;

    /// Ends a lease and deletes the entries bound to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits until the revision of an entry differs from `known`, and returns the entry if it still exists.
    ///
    /// The outer `None` means that `wait` elapsed without a change, the inner one that the entry was deleted.
    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError>;
}

//! Store of a platform that also contains the operators' configuration and the registrations of servers and hosts.
//!
//! An adapter decodes the entries of the store into the types of [`sapphireknot::steering`], so that the daemon handles
//! typed changes and does not depend on the platform's keys.

use std::time::Duration;

use async_trait::async_trait;
use sapphireknot::{
    ids::HostId,
    steering::{core::FleetChange, feed_copy::RawEntry, fleet::HostRecord, version::RecordChange},
};
use thiserror::Error;

use crate::store::{LeaseId, StoreError, StoreRevision};

/// Decoded changes up to a revision.
#[derive(Debug, Clone)]
pub struct FeedPage {
    /// Changes in the order of the store.
    pub changes: Vec<FleetChange>,
    /// Entries that the changes were decoded from, to be relayed to hosts that cannot read the store.
    pub entries: Vec<RawEntry>,
    /// Revision after which the next read of changes continues.
    pub revision: StoreRevision,
}

/// Failure to read changes.
#[derive(Debug, Clone, Error)]
pub enum FeedError {
    /// The store has discarded changes after the revision; a complete read is required.
    #[error("history after revision {0} is gone")]
    HistoryGone(StoreRevision),
    /// The call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Required consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRecency {
    /// The result includes all changes that were acknowledged before the call.
    Latest,
    /// Changes of the last seconds may be missing. Such a read is cheaper.
    MayLag,
}

/// Result of a write that depends on a lease or a precondition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The precondition failed, as another host has changed the entry.
    Conflict,
    /// The lease has ended; nothing was written.
    LeaseEnded,
}

/// Numbers of calls of one operation of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCount {
    /// Name of the operation.
    pub call: &'static str,
    /// Calls with an expected response.
    pub answered: u64,
    /// Calls that were refused or got no response.
    pub failed: u64,
}

/// Store with the configuration, the server registrations and the hosts.
///
/// The adapter applies a timeout to each call and does not retry it.
#[async_trait]
pub trait FleetStore: Send + Sync {
    /// Reads all entries.
    async fn read_all(&self, recency: ReadRecency) -> Result<FeedPage, StoreError>;

    /// Waits for changes after the revision `after`, for at most `wait`. The result is empty if there were none.
    async fn next_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<FeedPage, FeedError>;

    /// Returns the revision of the store, by a read that may lag behind.
    async fn lagging_revision(&self) -> Result<StoreRevision, StoreError>;

    /// Decodes an entry that another host relayed; returns `None` for one that the hosts do not use.
    fn decode_entry(&self, entry: &RawEntry) -> Option<FleetChange>;

    /// Grants a lease that expires after `ttl` unless renewed.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns `false` if it has already ended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and deletes the entries bound to it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Writes the registration of a host, bound to a lease, and its record as a share holder, bound to none.
    async fn register_host(
        &self,
        host: &HostRecord,
        lease: LeaseId,
    ) -> Result<WriteOutcome, StoreError>;

    /// Removes the record of a share holder if it is still at `revision`.
    async fn remove_holder(&self, host: &HostId, revision: u64)
    -> Result<WriteOutcome, StoreError>;

    /// Writes the record of a rollout and the status that operators read.
    async fn write_rollout(&self, change: &RecordChange) -> Result<WriteOutcome, StoreError>;

    /// Returns the numbers of calls since the start, by operation.
    fn call_counts(&self) -> Vec<CallCount>;
}

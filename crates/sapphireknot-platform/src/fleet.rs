//! Store of a platform that also holds the operators' configuration and the registrations.
//!
//! An adapter decodes everything that the store holds into the types of [`sapphireknot::steering`], so that the daemon
//! works with changes and never with keys.

use std::time::Duration;

use async_trait::async_trait;
use sapphireknot::steering::{
    core::FleetChange, feed_copy::RawEntry, fleet::HostRecord, version::RecordChange,
};
use thiserror::Error;

use crate::store::{LeaseId, StoreError, StoreRevision};

/// Changes up to a revision.
#[derive(Debug, Clone)]
pub struct FeedPage {
    /// Changes in the order of the store.
    pub changes: Vec<FleetChange>,
    /// Entries from which they were decoded, for hosts that cannot read the store.
    pub entries: Vec<RawEntry>,
    /// Revision from which to go on.
    pub revision: StoreRevision,
}

/// Why changes cannot be had.
#[derive(Debug, Clone, Error)]
pub enum FeedError {
    /// The store no longer holds the changes after the revision; a complete read is needed.
    #[error("history after revision {0} is gone")]
    HistoryGone(StoreRevision),
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// How recent the result of a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRecency {
    /// All changes that were acknowledged before the call.
    Latest,
    /// Changes of the last seconds may be missing; such a read is cheaper.
    MayLag,
}

/// Result of a write under a lease or a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// Another host wrote first.
    Conflict,
    /// The lease had ended.
    LeaseEnded,
}

/// Calls of one kind to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCount {
    /// Kind of call.
    pub call: &'static str,
    /// Calls that were answered as wanted.
    pub answered: u64,
    /// Calls that were refused or not answered.
    pub failed: u64,
}

/// Store with configuration, registrations and hosts.
///
/// Each call has a time limit of the adapter and is not repeated by it.
#[async_trait]
pub trait FleetStore: Send + Sync {
    /// Reads everything.
    async fn read_all(&self, recency: ReadRecency) -> Result<FeedPage, StoreError>;

    /// Waits for changes after `after` for at most `wait`; none may have come.
    async fn next_changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<FeedPage, FeedError>;

    /// Revision of the store, by a read that may lag.
    async fn lagging_revision(&self) -> Result<StoreRevision, StoreError>;

    /// Decodes an entry that another host handed on; `None` for one that means nothing here.
    fn decode_entry(&self, entry: &RawEntry) -> Option<FleetChange>;

    /// Starts a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease, and says whether it was alive.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and what is bound to it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Registers a host under a lease.
    async fn register_host(
        &self,
        host: &HostRecord,
        lease: LeaseId,
    ) -> Result<WriteOutcome, StoreError>;

    /// Writes the record of a rollout, and tells operators its state.
    async fn write_rollout(&self, change: &RecordChange) -> Result<WriteOutcome, StoreError>;

    /// Calls so far.
    fn call_counts(&self) -> Vec<CallCount>;
}

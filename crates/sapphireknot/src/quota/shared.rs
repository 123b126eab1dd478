//! Ledger for concurrent use by the request path and the control tasks.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    quota::{
        BorrowAnswer, BorrowCall, GiveBackCall, LeaseKind, LedgerIdentity, QuotaLedger, ResourceId,
    },
    time::MonoTime,
};

/// Number of shards, each with its own lock. It exceeds the usual number of organisations, so that two rarely contend
/// for the same lock.
const SHARDS: usize = 64;

/// Ledger sharded by resource. A request locks only the shard of its own resource, for the time of a few additions.
/// There is no second copy of a bucket that could diverge from the ledger.
#[derive(Debug)]
pub struct SharedLedger {
    shards: Vec<Mutex<QuotaLedger>>,
}

impl SharedLedger {
    /// Creates a ledger without resources.
    pub fn new(identity: &LedgerIdentity) -> Self {
        let shard = |_| Mutex::new(QuotaLedger::new(identity.clone()));
        Self { shards: (0..SHARDS).map(shard).collect() }
    }

    /// Takes one token of a resource.
    pub fn try_take(&self, resource: &ResourceId, now: MonoTime) -> bool {
        self.ledger(resource).try_take(now, resource)
    }

    /// The shard of a resource, locked until the guard is dropped.
    pub fn ledger(&self, resource: &ResourceId) -> MutexGuard<'_, QuotaLedger> {
        let hash = match resource {
            ResourceId::Organisation(it) => xxh3_64(it.as_str().as_bytes()),
            ResourceId::Spill { service, region } => {
                xxh3_64(service.as_str().as_bytes()) ^ xxh3_64(region.as_str().as_bytes())
            }
            ResourceId::Link { from, to } => {
                xxh3_64(from.as_str().as_bytes()) ^ xxh3_64(to.as_str().as_bytes()).rotate_left(1)
            }
        };
        let idx = usize::try_from(hash % SHARDS as u64).unwrap_or(0);
        Self::lock(&self.shards[idx])
    }

    /// Locks a shard and ignores poisoning: a ledger stays consistent if a thread panics while it holds the lock,
    /// because each change ends with one assignment.
    fn lock(shard: &Mutex<QuotaLedger>) -> MutexGuard<'_, QuotaLedger> {
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All shards in turn, each locked while it is visited.
    pub fn ledgers(&self) -> impl Iterator<Item = MutexGuard<'_, QuotaLedger>> {
        self.shards.iter().map(Self::lock)
    }

    /// Records a lease that was created by a call sent at `sent`.
    pub fn start_lease(&self, now: MonoTime, kind: LeaseKind, sent: MonoTime, span: Duration) {
        self.ledgers().for_each(|mut it| it.start_lease(now, kind, sent, span));
    }

    /// Records that a renewal sent at `sent` found the lease alive.
    pub fn renew_lease(&self, now: MonoTime, kind: LeaseKind, sent: MonoTime, span: Duration) {
        self.ledgers().for_each(|mut it| it.renew_lease(now, kind, sent, span));
    }

    /// Records that the store no longer knows the lease.
    pub fn end_lease(&self, now: MonoTime, kind: LeaseKind) {
        self.ledgers().for_each(|mut it| it.end_lease(now, kind));
    }

    /// Extends the surplus until `until` while the store is down.
    pub fn extend_surplus(&self, now: MonoTime, until: MonoTime) {
        self.ledgers().for_each(|mut it| it.extend_surplus(now, until));
    }

    /// When this host stops using the grants of a lease.
    pub fn lease_deadline(&self, kind: LeaseKind) -> MonoTime {
        // All shards have the same terms.
        Self::lock(&self.shards[0]).lease_deadline(kind)
    }

    /// Lends unused share.
    pub fn lend(&self, now: MonoTime, call: &BorrowCall) -> BorrowAnswer {
        self.ledger(&call.resource).lend(now, call)
    }

    /// Takes lent share back.
    pub fn take_back(&self, now: MonoTime, call: &GiveBackCall) -> bool {
        self.ledgers().filter_map(|mut it| it.take_back(now, call).then_some(())).count() > 0
    }

    /// Stops using and lending any share.
    pub fn stop(&self, now: MonoTime) -> Vec<GiveBackCall> {
        self.ledgers().flat_map(|mut it| it.stop(now)).collect()
    }
}

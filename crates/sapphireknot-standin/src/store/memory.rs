//! In-memory store with fault injection and call counters.

use std::{
    future::pending,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::map::EntryMap;
use crate::fault::{FaultRule, SeededRng};

/// How the store fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageKind {
    /// Calls get no reply.
    Silent,
    /// Calls fail at once with an error.
    Refused,
}

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Fails all calls without effect while it is set.
    pub outage: Option<OutageKind>,
    /// Delay in milliseconds before a call takes effect.
    pub delay_ms: u64,
    /// Writes that take effect but get no reply.
    pub lost_answers: FaultRule,
    /// Seed of the random choice for `lost_answers.share`.
    pub seed: u64,
}

/// Counters of calls that reached the store, including those during an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Compare-and-swap calls and lease calls.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes whose reply was dropped.
    pub lost_answers: u64,
}

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// The store is unavailable.
    Outage,
    /// The call is invalid.
    Refused(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// Linearizable key-value store with leases, watches and fault injection.
#[derive(Debug)]
pub struct MemoryStore {
    map: Mutex<EntryMap>,
    changes: watch::Sender<u64>,
    faults: Mutex<StoreFaults>,
    rng: SeededRng,
    counts: Mutex<CallCounts>,
    call_timeout: Duration,
}

impl MemoryStore {
    /// Creates an empty store; calls through the trait [`KeyValueStore`] time out after `call_timeout`.
    pub fn new(call_timeout: Duration) -> Self {
        Self {
            map: Mutex::default(),
            changes: watch::Sender::new(0),
            faults: Mutex::default(),
            rng: SeededRng::new(0),
            counts: Mutex::default(),
            call_timeout,
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.rng.reseed(faults.seed);
        *self.faults.lock() = faults;
    }

    /// Returns the current faults; `next` of a rule is the number of calls that are still to get it.
    pub fn faults(&self) -> StoreFaults {
        self.faults.lock().clone()
    }

    /// Returns the call counters.
    pub fn counts(&self) -> CallCounts {
        *self.counts.lock()
    }

    /// Revokes a lease before its deadline.
    pub fn end_lease(&self, lease: LeaseId) {
        self.map.lock().revoke(lease);
        self.notify_watches();
    }

    /// Returns the lease of the entry at `key`, bypassing the faults.
    pub fn lease_of(&self, key: &str) -> Option<LeaseId> {
        self.peek(key)?.lease
    }

    /// Returns the entry at `key`, bypassing the faults.
    pub fn peek(&self, key: &str) -> Option<StoredEntry> {
        let mut map = self.map.lock();
        map.expire(Instant::now());
        map.get(key)
    }

    /// Waits until the entry's revision differs from `known`; returns `None` if `wait` elapses first.
    pub async fn wait_change(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, CallFailure> {
        self.counts.lock().watches += 1;
        self.apply_faults().await?;
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let (change, next_deadline) = self.read_change(key, known);
            if change.is_some() || deadline <= Instant::now() {
                // An outage that began during the wait also applies to the reply.
                self.apply_faults().await?;
                return Ok(change);
            }
            let wake = next_deadline.map_or(deadline, |it| it.min(deadline));
            let _ = tokio::time::timeout_at(wake.into(), changes.changed()).await;
        }
    }

    /// Returns the entry if its revision differs from `known`, and the earliest deadline of a lease.
    fn read_change(
        &self,
        key: &str,
        known: StoreRevision,
    ) -> (Option<Option<StoredEntry>>, Option<Instant>) {
        let mut map = self.map.lock();
        map.expire(Instant::now());
        let change = (map.revision_of(key) != known).then(|| map.get(key));
        (change, map.next_lease_deadline())
    }

    pub(super) async fn read<T, F>(&self, act: F) -> Result<T, CallFailure>
    where
        F: FnOnce(&EntryMap) -> T,
    {
        self.counts.lock().reads += 1;
        self.call(CallKind::Read, |map, _| Ok(act(map))).await
    }

    pub(super) async fn write<T, F>(&self, act: F) -> Result<T, CallFailure>
    where
        F: FnOnce(&mut EntryMap, Instant) -> Result<T, String>,
    {
        self.counts.lock().writes += 1;
        self.call(CallKind::Write, act).await
    }

    async fn call<T, F>(&self, kind: CallKind, act: F) -> Result<T, CallFailure>
    where
        F: FnOnce(&mut EntryMap, Instant) -> Result<T, String>,
    {
        self.apply_faults().await?;
        let result = {
            let mut map = self.map.lock();
            let now = Instant::now();
            map.expire(now);
            act(&mut map, now)
        };
        if kind == CallKind::Write {
            self.notify_watches();
            if result.is_ok() && self.faults.lock().lost_answers.should_inject(&self.rng) {
                self.counts.lock().lost_answers += 1;
                return pending().await;
            }
        }
        result.map_err(CallFailure::Refused)
    }

    /// Applies the delay and the outage to one call.
    async fn apply_faults(&self) -> Result<(), CallFailure> {
        let delay = Duration::from_millis(self.faults.lock().delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let outage = self.faults.lock().outage;
        match outage {
            None => Ok(()),
            Some(OutageKind::Refused) => Err(CallFailure::Outage),
            Some(OutageKind::Silent) => pending().await,
        }
    }

    /// Wakes the pending watches.
    fn notify_watches(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    /// Runs a call with a time limit and converts its failure.
    async fn with_timeout<T, F>(
        &self,
        step: &'static str,
        limit: Duration,
        call: F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, CallFailure>> + Send,
    {
        let peer = "memory".to_owned();
        let unanswered_error = |peer, reason: &str| {
            Err(StoreError::Unanswered { step, peer, reason: reason.to_owned() })
        };
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(CallFailure::Refused(reason))) => {
                Err(StoreError::Refused { step, peer, reason })
            }
            Ok(Err(CallFailure::Outage)) => unanswered_error(peer, "out of service"),
            Err(_) => unanswered_error(peer, "time limit exceeded"),
        }
    }
}

#[async_trait]
impl KeyValueStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        self.with_timeout("get", self.call_timeout, self.read(|map| map.get(key))).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        self.with_timeout("list", self.call_timeout, self.read(|map| map.list(prefix))).await
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        let call = self.write(|map, _| map.swap(write));
        self.with_timeout("compare-and-swap", self.call_timeout, call).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let call = self.write(|map, now| Ok(map.grant(ttl, now)));
        self.with_timeout("grant lease", self.call_timeout, call).await
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        let call = self.write(|map, now| Ok(map.renew(leases, now)));
        self.with_timeout("renew lease", self.call_timeout, call).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let call = self.write(|map, _| {
            map.revoke(lease);
            Ok(())
        });
        self.with_timeout("revoke lease", self.call_timeout, call).await
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        let call = self.wait_change(key, known, wait);
        self.with_timeout("watch", self.call_timeout + wait, call).await
    }
}

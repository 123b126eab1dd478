//! Store without sockets, with faults and counters.

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
    /// Calls get no answer.
    Silent,
    /// Calls are answered with an error at once.
    Refused,
}

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// No call takes effect while this is set.
    pub outage: Option<OutageKind>,
    /// Milliseconds before a call takes effect.
    pub delay_ms: u64,
    /// Writes that take effect and get no answer.
    pub lost_answers: FaultRule,
    /// Seed for `lost_answers.share`.
    pub seed: u64,
}

/// Calls that reached the store; calls during an outage are counted too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Conditional writes and calls about leases.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Writes whose answer was withheld.
    pub lost_answers: u64,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// The store is out of service.
    Outage,
    /// The call is not allowed.
    Refused(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// Linearizable map with leases, watches and faults.
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
    /// An empty store; calls of the trait [`KeyValueStore`] end after `call_timeout`.
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

    /// The faults, less the certain strikes that were used up.
    pub fn faults(&self) -> StoreFaults {
        self.faults.lock().clone()
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        *self.counts.lock()
    }

    /// Ends a lease before its time.
    pub fn end_lease(&self, lease: LeaseId) {
        self.map.lock().revoke(lease);
        self.announce();
    }

    /// The lease of the entry at `key`, regardless of faults.
    pub fn lease_of(&self, key: &str) -> Option<LeaseId> {
        self.peek(key)?.lease
    }

    /// The entry at `key`, regardless of faults.
    pub fn peek(&self, key: &str) -> Option<StoredEntry> {
        let mut map = self.map.lock();
        map.expire(Instant::now());
        map.get(key)
    }

    /// Waits until the entry's revision differs from `known`; `None` if the wait ended first.
    pub async fn wait_change(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, CallFailure> {
        self.counts.lock().watches += 1;
        self.pass_faults().await?;
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let (change, next_end) = self.look(key, known);
            if change.is_some() || deadline <= Instant::now() {
                // An outage that began during the wait also withholds the answer.
                self.pass_faults().await?;
                return Ok(change);
            }
            let wake = next_end.map_or(deadline, |it| it.min(deadline));
            let _ = tokio::time::timeout_at(wake.into(), changes.changed()).await;
        }
    }

    /// The entry if its revision differs from `known`, and the next end of a lease.
    fn look(
        &self,
        key: &str,
        known: StoreRevision,
    ) -> (Option<Option<StoredEntry>>, Option<Instant>) {
        let mut map = self.map.lock();
        map.expire(Instant::now());
        let change = (map.revision_of(key) != known).then(|| map.get(key));
        (change, map.next_end())
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
        self.pass_faults().await?;
        let result = {
            let mut map = self.map.lock();
            let now = Instant::now();
            map.expire(now);
            act(&mut map, now)
        };
        if kind == CallKind::Write {
            self.announce();
            if result.is_ok() && self.faults.lock().lost_answers.should_inject(&self.rng) {
                self.counts.lock().lost_answers += 1;
                return pending().await;
            }
        }
        result.map_err(CallFailure::Refused)
    }

    async fn pass_faults(&self) -> Result<(), CallFailure> {
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

    fn announce(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    async fn limited<T, F>(
        &self,
        step: &'static str,
        limit: Duration,
        call: F,
    ) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, CallFailure>> + Send,
    {
        let peer = "memory".to_owned();
        let unanswered = |peer, reason: &str| {
            Err(StoreError::Unanswered { step, peer, reason: reason.to_owned() })
        };
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(CallFailure::Refused(reason))) => {
                Err(StoreError::Refused { step, peer, reason })
            }
            Ok(Err(CallFailure::Outage)) => unanswered(peer, "out of service"),
            Err(_) => unanswered(peer, "time limit exceeded"),
        }
    }
}

#[async_trait]
impl KeyValueStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        self.limited("get", self.call_timeout, self.read(|map| map.get(key))).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        self.limited("list", self.call_timeout, self.read(|map| map.list(prefix))).await
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        let call = self.write(|map, _| map.swap(write));
        self.limited("compare-and-swap", self.call_timeout, call).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let call = self.write(|map, now| Ok(map.grant(ttl, now)));
        self.limited("grant lease", self.call_timeout, call).await
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        let call = self.write(|map, now| Ok(map.renew(leases, now)));
        self.limited("renew lease", self.call_timeout, call).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let call = self.write(|map, _| {
            map.revoke(lease);
            Ok(())
        });
        self.limited("revoke lease", self.call_timeout, call).await
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        let call = self.wait_change(key, known, wait);
        self.limited("watch", self.call_timeout + wait, call).await
    }
}

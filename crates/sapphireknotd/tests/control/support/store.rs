//! In-memory store and host list with simulated outages and lost responses.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot_platform::{
    HostList, KeyValueStore, LeaseId, ListedHost, StoreError, StoreRevision, StoredEntry,
    SwapOutcome, SwapWrite,
};

/// Time after which a call without a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Default)]
struct FakeState {
    entries: BTreeMap<String, StoredEntry>,
    leases: HashMap<u64, (Instant, Duration)>,
    counter: u64,
    is_down: bool,
    /// Key prefix of the writes whose responses are lost, and how many more are lost.
    lost_responses: Option<(String, u32)>,
}

impl FakeState {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (end, _)| *end > now);
        let leases = &self.leases;
        self.entries.retain(|_, it| it.lease.is_none_or(|lease| leases.contains_key(&lease.0)));
    }

    fn swap(&mut self, write: SwapWrite) -> SwapOutcome {
        self.expire();
        let found = self.entries.get(&write.key);
        if found.map(|it| it.revision).unwrap_or_default() != write.expected {
            return SwapOutcome::Conflict(found.cloned());
        }
        if write.lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return SwapOutcome::LeaseEnded;
        }
        self.counter += 1;
        let revision = StoreRevision(self.counter);
        let SwapWrite { key, value, lease, .. } = write;
        match value {
            Some(value) => {
                self.entries.insert(key.clone(), StoredEntry { key, value, revision, lease });
            }
            None => {
                self.entries.remove(&key);
            }
        }
        SwapOutcome::Swapped(revision)
    }
}

/// In-memory store.
#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    state: Arc<Mutex<FakeState>>,
    is_partitioned: Arc<AtomicBool>,
}

impl FakeStore {
    /// Starts or ends an outage, during which calls fail without taking effect.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.state.lock().is_down = is_down;
    }

    /// Drops the responses to the next `count` writes of keys that start with `prefix`; the writes take effect.
    pub(crate) fn lose_responses(&self, prefix: &str, count: u32) {
        self.state.lock().lost_responses = Some((prefix.to_owned(), count));
    }

    /// Returns the keys that start with `prefix`.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = self.state.lock();
        state.expire();
        state.entries.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    /// Returns a view of the store for one host, which can be partitioned separately.
    pub(crate) fn view(&self) -> Self {
        Self { state: self.state.clone(), is_partitioned: Arc::default() }
    }

    /// Partitions the host that uses this view from the store.
    pub(crate) fn partition(&self) {
        self.is_partitioned.store(true, Ordering::Release);
    }

    async fn check_reachable(&self, step: &'static str) -> Result<(), StoreError> {
        if self.state.lock().is_down || self.is_partitioned.load(Ordering::Acquire) {
            return Err(time_out(step).await);
        }
        tokio::task::yield_now().await;
        Ok(())
    }
}

async fn time_out(step: &'static str) -> StoreError {
    tokio::time::sleep(RESPONSE_TIMEOUT).await;
    StoreError::Unanswered { step, peer: "fake".to_owned(), reason: "no answer".to_owned() }
}

#[async_trait]
impl KeyValueStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        self.check_reachable("get").await?;
        let mut state = self.state.lock();
        state.expire();
        Ok(state.entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        self.check_reachable("list").await?;
        let mut state = self.state.lock();
        state.expire();
        let is_listed = |it: &&StoredEntry| it.key.starts_with(prefix);
        Ok(state.entries.values().filter(is_listed).cloned().collect())
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        self.check_reachable("compare and swap").await?;
        let (outcome, is_lost) = {
            let mut state = self.state.lock();
            let key = write.key.clone();
            let outcome = state.swap(write);
            let is_lost = match &mut state.lost_responses {
                Some((prefix, count)) if *count > 0 && key.starts_with(prefix.as_str()) => {
                    *count -= 1;
                    true
                }
                _ => false,
            };
            (outcome, is_lost)
        };
        if is_lost { Err(time_out("compare and swap").await) } else { Ok(outcome) }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.check_reachable("grant lease").await?;
        let mut state = self.state.lock();
        state.counter += 1;
        let id = state.counter;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        Ok(LeaseId(id))
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        self.check_reachable("renew leases").await?;
        let mut state = self.state.lock();
        state.expire();
        let mut alive = Vec::new();
        for lease in leases {
            if let Some((end, ttl)) = state.leases.get_mut(&lease.0) {
                *end = Instant::now() + *ttl;
                alive.push(*lease);
            }
        }
        Ok(alive)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check_reachable("revoke lease").await?;
        let mut state = self.state.lock();
        state.leases.remove(&lease.0);
        state.expire();
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        let end = Instant::now() + wait;
        while Instant::now() < end {
            self.check_reachable("watch").await?;
            let entry = self.state.lock().entries.get(key).cloned();
            if entry.as_ref().map(|it| it.revision).unwrap_or_default() != known {
                return Ok(Some(entry));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(None)
    }
}

/// In-memory host list.
#[derive(Clone, Default)]
pub(crate) struct FakeHosts(pub(crate) Arc<Mutex<Vec<ListedHost>>>);

#[async_trait]
impl HostList for FakeHosts {
    async fn list_hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(self.0.lock().clone())
    }
}

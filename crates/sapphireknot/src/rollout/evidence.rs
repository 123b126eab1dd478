//! Outcome counts of versions, merged over all hosts.
//!
//! Each host counts outcomes per version and route from its start, or from the start of the plan if that is later.
//! Counts only grow within an incarnation, so the larger of two reports includes the smaller one. Lost, duplicate or
//! reordered reports delay the evidence but never distort it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{HostId, IncarnationId, RouteId, VersionId},
    rollout::RateSample,
    time::MonoTime,
};

/// Disjoint cumulative counts of outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Completed, and not slow.
    pub succeeded: u64,
    /// Failed.
    pub failed: u64,
    /// Completed, but slower than the old version's 95th percentile, or than three times that while the old version is
    /// idle.
    pub slow: u64,
}

impl OutcomeCounts {
    /// All outcomes.
    pub fn total(self) -> u64 {
        self.succeeded.saturating_add(self.failed).saturating_add(self.slow)
    }

    /// Sample of failures among all outcomes.
    pub fn failures(self) -> RateSample {
        RateSample { hits: self.failed, total: self.total() }
    }

    /// Sample of slow responses among completed ones.
    pub fn slowness(self) -> RateSample {
        RateSample { hits: self.slow, total: self.succeeded.saturating_add(self.slow) }
    }

    /// The larger count of each outcome.
    pub fn joined(self, other: Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// The sum of the counts of each outcome.
    pub fn plus(self, other: Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// The difference to an `earlier` count.
    pub fn since(self, earlier: Self) -> Self {
        self.zip_with(earlier, u64::saturating_sub)
    }

    fn zip_with<F>(self, other: Self, combine: F) -> Self
    where
        F: Fn(u64, u64) -> u64,
    {
        Self {
            succeeded: combine(self.succeeded, other.succeeded),
            failed: combine(self.failed, other.failed),
            slow: combine(self.slow, other.slow),
        }
    }
}

/// Version and route to which counts belong.
pub type SampleKey = (VersionId, RouteId);

#[derive(Debug, Clone, Default)]
struct HostCounts {
    incarnation: IncarnationId,
    asked_at: MonoTime,
    counts: BTreeMap<SampleKey, OutcomeCounts>,
}

/// Counts of all hosts for one plan.
///
/// Its size is bounded by hosts times known keys: counts of unknown keys are dropped, and the counts of ended
/// incarnations are added to one sum per key.
#[derive(Debug, Clone)]
pub struct EvidenceLedger {
    keys: Vec<SampleKey>,
    hosts: BTreeMap<HostId, HostCounts>,
    ended_totals: BTreeMap<SampleKey, OutcomeCounts>,
}

impl EvidenceLedger {
    /// Creates a ledger of the given versions and routes.
    pub fn new(versions: &[VersionId], routes: &[RouteId]) -> Self {
        let pairs =
            versions.iter().flat_map(|it| routes.iter().map(|that| (it.clone(), that.clone())));
        Self { keys: pairs.collect(), hosts: BTreeMap::new(), ended_totals: BTreeMap::new() }
    }

    /// Merges a host's answer to a request for evidence that was sent at `asked_at`.
    pub fn merge(
        &mut self,
        host: &HostId,
        incarnation: IncarnationId,
        asked_at: MonoTime,
        counts: &BTreeMap<SampleKey, OutcomeCounts>,
    ) {
        let host_counts = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| HostCounts { incarnation, ..HostCounts::default() });
        if incarnation < host_counts.incarnation {
            return;
        }
        if incarnation > host_counts.incarnation {
            for (key, ended) in std::mem::take(&mut host_counts.counts) {
                let sum = self.ended_totals.entry(key).or_default();
                *sum = sum.plus(ended);
            }
            host_counts.incarnation = incarnation;
        }
        host_counts.asked_at = host_counts.asked_at.max(asked_at);
        for (key, counted) in counts.iter().filter(|(key, _)| self.keys.contains(key)) {
            let entry = host_counts.counts.entry(key.clone()).or_default();
            *entry = entry.joined(*counted);
        }
    }

    /// Counts over all hosts and incarnations.
    pub fn totals(&self) -> BTreeMap<SampleKey, OutcomeCounts> {
        let mut totals = self.ended_totals.clone();
        for (key, counted) in self.hosts.values().flat_map(|it| &it.counts) {
            let sum = totals.entry(key.clone()).or_default();
            *sum = sum.plus(*counted);
        }
        totals
    }

    /// Number of the `live` hosts that answered a request for evidence sent within the last `age`.
    pub fn fresh_hosts(&self, live: &[HostId], now: MonoTime, age: Duration) -> usize {
        let is_fresh =
            |it: &&HostId| self.hosts.get(*it).is_some_and(|that| now.since(that.asked_at) <= age);
        live.iter().filter(is_fresh).count()
    }
}

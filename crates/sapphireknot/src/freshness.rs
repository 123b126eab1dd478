//! Freshness of the installed configuration.
//!
//! Freshness is proven by a read of the configuration head that some host started at a known time. The age of such a
//! proof is only taken from replies and counted from before the request was sent, so that a delayed message never makes
//! a proof appear newer than it is.

use std::{collections::HashMap, time::Duration};

use crate::{ids::HostId, time::MonoTime};

/// Validity of a report that the store is down.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// Latest report on the store by a host in the store's region.
#[derive(Debug, Clone, Copy)]
struct StoreReport {
    is_down: bool,
    observed: MonoTime,
}

/// Tracks the latest proof of freshness and the store reports of the hosts in the store's region.
#[derive(Debug)]
pub struct FreshnessTracker {
    key_freshness: Duration,
    proof: Option<MonoTime>,
    reports: HashMap<HostId, StoreReport>,
}

impl FreshnessTracker {
    /// Creates a tracker without a proof.
    pub fn new(key_freshness: Duration) -> Self {
        Self { key_freshness, proof: None, reports: HashMap::new() }
    }

    /// Records a successful read of the head that started at `started`.
    pub fn record_read(&mut self, started: MonoTime) {
        self.proof = self.proof.max(Some(started));
    }

    /// Records the age of a proof that a reply carried; `sent` was read before the request was sent.
    pub fn record_reply(&mut self, sent: MonoTime, age: Duration) {
        self.record_read(sent.before(age));
    }

    /// Records the store state that `host` reported in a reply, unless a later observation is known.
    pub fn record_report(&mut self, host: HostId, is_down: bool, sent: MonoTime, age: Duration) {
        let report = StoreReport { is_down, observed: sent.before(age) };
        let latest = self.reports.entry(host).or_insert(report);
        if report.observed >= latest.observed {
            *latest = report;
        }
    }

    /// Removes expired reports.
    pub fn remove_expired_reports(&mut self, now: MonoTime) {
        self.reports.retain(|_, it| it.observed.after(REPORT_VALIDITY) > now);
    }

    /// Returns the start time of the read that is the latest proof.
    pub fn proof(&self) -> Option<MonoTime> {
        self.proof
    }

    /// Returns the time until which a majority of `live`, the live hosts in the store's region, reports the store as
    /// down.
    pub fn down_until(&self, now: MonoTime, live: &[HostId]) -> Option<MonoTime> {
        let mut ends: Vec<_> = live
            .iter()
            .filter_map(|host| self.reports.get(host))
            .filter(|it| it.is_down)
            .map(|it| it.observed.after(REPORT_VALIDITY))
            .filter(|end| *end > now)
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        // The majority is lost when this report expires: at most half of the hosts have later ones.
        ends.get(live.len() / 2).copied()
    }

    /// Returns the time until which the API keys of the installed configuration can be trusted.
    pub fn fresh_until(&self, now: MonoTime, live: &[HostId]) -> MonoTime {
        let by_proof = self.proof.map(|it| it.after(self.key_freshness)).unwrap_or_default();
        by_proof.max(self.down_until(now, live).unwrap_or_default())
    }
}

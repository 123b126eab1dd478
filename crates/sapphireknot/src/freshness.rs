//! Proofs that the installed configuration is recent.
//!
//! A proof is a read of the head that some host began at a known moment. Its age is taken only from replies and counted
//! from before the request was sent, so that a delayed message never makes a proof look younger than it is.

use std::{collections::HashMap, time::Duration};

use crate::{ids::HostId, time::MonoTime};

/// Time for which a report that the store is down counts.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// What a host of the store's region reported last.
#[derive(Debug, Clone, Copy)]
struct StoreReport {
    is_down: bool,
    observed: MonoTime,
}

/// Latest proof and the reports of the hosts in the store's region.
#[derive(Debug)]
pub struct FreshnessTracker {
    key_freshness: Duration,
    proof: Option<MonoTime>,
    reports: HashMap<HostId, StoreReport>,
}

impl FreshnessTracker {
    /// A clock without a proof.
    pub fn new(key_freshness: Duration) -> Self {
        Self { key_freshness, proof: None, reports: HashMap::new() }
    }

    /// Records an answered read of the head that began at `began`.
    pub fn record_read(&mut self, began: MonoTime) {
        self.proof = self.proof.max(Some(began));
    }

    /// Records the age that a reply carried; `sent` is from before the request was sent.
    pub fn record_reply(&mut self, sent: MonoTime, age: Duration) {
        self.record_read(sent.before(age));
    }

    /// Records what `host` told of the store in a reply; the later observation counts.
    pub fn record_report(&mut self, host: HostId, is_down: bool, sent: MonoTime, age: Duration) {
        let report = StoreReport { is_down, observed: sent.before(age) };
        let slot = self.reports.entry(host).or_insert(report);
        if report.observed >= slot.observed {
            *slot = report;
        }
    }

    /// Forgets reports that no longer count.
    pub fn remove_expired_reports(&mut self, now: MonoTime) {
        self.reports.retain(|_, it| it.observed.after(REPORT_VALIDITY) > now);
    }

    /// Beginning of the read behind the latest proof.
    pub fn proof(&self) -> Option<MonoTime> {
        self.proof
    }

    /// Until when more than half of `live`, the live hosts in the store's region, report that the store is down.
    pub fn down_until(&self, now: MonoTime, live: &[HostId]) -> Option<MonoTime> {
        let mut ends: Vec<_> = live
            .iter()
            .filter_map(|host| self.reports.get(host))
            .filter(|it| it.is_down)
            .map(|it| it.observed.after(REPORT_VALIDITY))
            .filter(|end| *end > now)
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        // The report whose end leaves exactly half of the hosts or fewer.
        ends.get(live.len() / 2).copied()
    }

    /// When keys can no longer be trusted.
    pub fn fresh_until(&self, now: MonoTime, live: &[HostId]) -> MonoTime {
        let by_proof = self.proof.map(|it| it.after(self.key_freshness)).unwrap_or_default();
        by_proof.max(self.down_until(now, live).unwrap_or_default())
    }
}

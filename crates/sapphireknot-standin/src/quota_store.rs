//! Quota record and leases of a store that follows true time, for fuzz tests and measurements.

use std::{collections::HashMap, time::Duration};

use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{LeaseKind, LeaseView, QuotaRecord},
};

/// Lease of surplus.
pub const SHORT_LEASE: Duration = Duration::from_secs(5);
/// Lease of floors; shorter than in operation so that runs see it end.
pub const LONG_LEASE: Duration = Duration::from_secs(12);

/// Length of a lease.
pub fn lease_span(kind: LeaseKind) -> Duration {
    match kind {
        LeaseKind::Floor => LONG_LEASE,
        LeaseKind::Surplus => SHORT_LEASE,
    }
}

#[derive(Debug, Clone, Copy)]
struct StoredLease {
    id: u64,
    incarnation: IncarnationId,
    ends: u64,
}

/// Store with one quota record.
#[derive(Debug, Default)]
pub struct QuotaStore {
    /// Grants.
    pub record: QuotaRecord,
    /// Revision of the record.
    pub revision: u64,
    /// Whether calls go unanswered.
    pub is_down: bool,
    /// End of the latest outage, in microseconds of true time.
    pub down_until: u64,
    leases: HashMap<(HostId, LeaseKind), StoredLease>,
    last_lease: u64,
}

impl QuotaStore {
    fn lease(&self, host: &HostId, kind: LeaseKind, now: u64) -> Option<&StoredLease> {
        self.leases.get(&(host.clone(), kind)).filter(|it| now < it.ends)
    }

    /// Creates the lease record if there is none; returns the own lease if it is there already.
    pub fn create_lease(
        &mut self,
        host: &HostId,
        incarnation: IncarnationId,
        kind: LeaseKind,
        now: u64,
    ) -> Option<u64> {
        if let Some(lease) = self.lease(host, kind, now).copied() {
            let is_own = lease.incarnation == incarnation;
            return is_own.then(|| self.renew_lease(host, kind, lease.id, now)).and(Some(lease.id));
        }
        self.last_lease += 1;
        let ends = now + lease_span(kind).as_micros() as u64;
        let lease = StoredLease { id: self.last_lease, incarnation, ends };
        self.leases.insert((host.clone(), kind), lease);
        Some(lease.id)
    }

    /// Renews a lease; false if it ended.
    pub fn renew_lease(&mut self, host: &HostId, kind: LeaseKind, id: u64, now: u64) -> bool {
        let lease = self.leases.get_mut(&(host.clone(), kind));
        let Some(lease) = lease.filter(|it| it.id == id && now < it.ends) else {
            return false;
        };
        lease.ends = now + lease_span(kind).as_micros() as u64;
        true
    }

    /// Lease records that are there.
    pub fn lease_view(&self, now: u64) -> LeaseView {
        let mut view = LeaseView::default();
        for ((host, kind), lease) in self.leases.iter().filter(|(_, it)| now < it.ends) {
            view.add(host.clone(), *kind, lease.incarnation);
        }
        view
    }

    /// Replaces the record if its revision is the expected one.
    pub fn swap(&mut self, revision: u64, record: QuotaRecord) -> bool {
        let is_current = self.revision == revision;
        if is_current {
            self.revision += 1;
            self.record = record;
        }
        is_current
    }
}

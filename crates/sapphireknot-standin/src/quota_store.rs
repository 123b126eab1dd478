//! In-memory quota record and leases on simulated true time, for fuzz tests and measurements.

use std::{collections::HashMap, time::Duration};

use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{LeaseKind, LeaseView, QuotaRecord},
};

/// Lease of surplus grants.
pub const SHORT_LEASE: Duration = Duration::from_secs(5);
/// Lease of floor grants; shorter than in production, so that leases expire within a run.
pub const LONG_LEASE: Duration = Duration::from_secs(12);

/// Duration of a lease of the given kind.
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

/// Store that holds one quota record.
#[derive(Debug, Default)]
pub struct QuotaStore {
    /// Current record.
    pub record: QuotaRecord,
    /// Revision of the record.
    pub revision: u64,
    /// Whether the store is unavailable: calls get no reply.
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

    /// Creates a lease if the host has none of this kind. If `incarnation` holds it already, renews and returns it;
    /// returns `None` if another incarnation holds it.
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

    /// Renews a lease; returns false if it has expired or `id` is not the current one.
    pub fn renew_lease(&mut self, host: &HostId, kind: LeaseKind, id: u64, now: u64) -> bool {
        let lease = self.leases.get_mut(&(host.clone(), kind));
        let Some(lease) = lease.filter(|it| it.id == id && now < it.ends) else {
            return false;
        };
        lease.ends = now + lease_span(kind).as_micros() as u64;
        true
    }

    /// Returns the leases that have not expired at `now`.
    pub fn lease_view(&self, now: u64) -> LeaseView {
        let mut view = LeaseView::default();
        for ((host, kind), lease) in self.leases.iter().filter(|(_, it)| now < it.ends) {
            view.add(host.clone(), *kind, lease.incarnation);
        }
        view
    }

    /// Compare-and-swap: replaces the record if `revision` is current.
    pub fn swap(&mut self, revision: u64, record: QuotaRecord) -> bool {
        let is_current = self.revision == revision;
        if is_current {
            self.revision += 1;
            self.record = record;
        }
        is_current
    }
}

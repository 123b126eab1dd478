//! Changes of the stored quota record: claims and releases.
//!
//! The caller reads the record, then the lease records of its holders, computes the new record, and writes it with the
//! revision that it read. The sum of grants never exceeds the whole only if the caller follows three rules:
//!
//! - A lease record is created only where none exists, and before any claim under it, so a record that is absent or
//!   names another incarnation proves that the lease of the grant has ended.
//! - Lease records are read after the quota record. A holder whose lease was recreated claims before it uses a grant,
//!   which changes the revision and makes the write of a reclaiming host fail.
//! - Shares are used only after the host's own write was confirmed. If the answer is lost, the host reads the record
//!   and claims again.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, IncarnationId},
    quota::{GrantEntry, GrantShares, LeaseKind, QuotaRecord, ResourceId},
    time::MonoTime,
    units::TrafficShare,
};

/// Longest time between two answers of the store during which it counts as reachable without interruption. Hosts report
/// the store's state each second; a longer gap could hide an outage that other hosts observed.
const MAX_ANSWER_GAP: Duration = Duration::from_secs(1);

/// Lease records that were read after the quota record.
#[derive(Debug, Clone, Default)]
pub struct LeaseView {
    alive: BTreeMap<(HostId, LeaseKind), IncarnationId>,
}

impl LeaseView {
    /// Adds a lease record that exists.
    pub fn add(&mut self, host: HostId, kind: LeaseKind, incarnation: IncarnationId) {
        self.alive.insert((host, kind), incarnation);
    }

    /// Whether the lease under which a run of a host held grants has ended.
    pub fn is_gone(&self, host: &HostId, incarnation: IncarnationId, kind: LeaseKind) -> bool {
        self.alive.get(&(host.clone(), kind)) != Some(&incarnation)
    }
}

/// Decides when grants of ended leases may be reclaimed.
///
/// Holders extend their surplus during an outage of the store, until up to 3 s after it has recovered. A host therefore
/// reclaims only after the store has answered its calls without a gap for the grace period.
#[derive(Debug, Default)]
pub struct ReclaimGuard {
    answered_since: Option<MonoTime>,
    continuous_until: MonoTime,
}

impl ReclaimGuard {
    /// Records an answer to a call that began at `began`.
    pub fn record_answer(&mut self, began: MonoTime) {
        if self.answered_since.is_none() || began > self.continuous_until {
            self.answered_since = Some(began);
        }
        self.continuous_until = self.continuous_until.max(began.after(MAX_ANSWER_GAP));
    }

    /// Records a call without an answer.
    pub fn record_failure(&mut self) {
        self.answered_since = None;
    }

    /// Whether a read that began at `began` may be used to reclaim grants.
    pub fn may_reclaim(&self, began: MonoTime, grace: Duration) -> bool {
        let is_current = began <= self.continuous_until;
        is_current && self.answered_since.is_some_and(|it| it.after(grace) <= began)
    }
}

/// Shares that a host wants to hold of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimNeed {
    /// Resource.
    pub resource: ResourceId,
    /// Shares wanted in total; what the host already holds stays, even if it is more.
    pub wanted: GrantShares,
}

impl ClaimNeed {
    /// The wanted shares of one of `hosts` hosts: an equal part, of which a fifth is floor, or more surplus if the
    /// demand needs it. Hosts claim the whole even without demand, because unallocated share accrues no tokens.
    pub fn fair(resource: ResourceId, hosts: u32, needed: TrafficShare) -> Self {
        let part = TrafficShare::WHOLE.0 / hosts.max(1);
        let floor = part / 5;
        let surplus = (part - floor).max(needed.0.saturating_sub(floor));
        Self {
            resource,
            wanted: GrantShares { floor: TrafficShare(floor), surplus: TrafficShare(surplus) },
        }
    }
}

/// Returns the record after a claim by one run of a host.
///
/// `leases` is `None` until the grace period has passed; nothing is reclaimed then. Only grants of ended leases are
/// reduced, and new grants come from unallocated share, so the sum stays within the whole.
pub fn claim(
    record: &QuotaRecord,
    leases: Option<&LeaseView>,
    host: &HostId,
    incarnation: IncarnationId,
    needs: &[ClaimNeed],
) -> QuotaRecord {
    let mut record = record.clone();
    if let Some(leases) = leases {
        remove_ended(&mut record, leases, (host, incarnation));
    }
    for need in needs {
        let mut free = record.unallocated(&need.resource);
        let mut shares = record.shares(&need.resource, host, incarnation);
        for kind in LeaseKind::ALL {
            let missing = need.wanted.get(kind).saturating_sub(shares.get(kind));
            let taken = missing.min(free);
            free = free.saturating_sub(taken);
            *shares.get_mut(kind) = shares.get(kind).saturating_add(taken);
        }
        set_shares(&mut record, &need.resource, (host, incarnation), shares);
    }
    record
}

/// Removes the grants of ended leases. Those of `claimant` stay, because its own leases are alive.
fn remove_ended(record: &mut QuotaRecord, leases: &LeaseView, claimant: (&HostId, IncarnationId)) {
    for entry in record.grants.values_mut().flatten() {
        if (&entry.host, entry.incarnation) == claimant {
            continue;
        }
        for kind in LeaseKind::ALL {
            if leases.is_gone(&entry.host, entry.incarnation, kind) {
                *entry.shares.get_mut(kind) = TrafficShare::NONE;
            }
        }
    }
    remove_empty(record);
}

fn remove_empty(record: &mut QuotaRecord) {
    for entries in record.grants.values_mut() {
        entries.retain(|it| it.shares.total() > 0);
    }
    record.grants.retain(|_, entries| !entries.is_empty());
}

fn set_shares(
    record: &mut QuotaRecord,
    resource: &ResourceId,
    holder: (&HostId, IncarnationId),
    shares: GrantShares,
) {
    let entries = record.grants.entry(resource.clone()).or_default();
    match entries.iter_mut().find(|it| (&it.host, it.incarnation) == holder) {
        Some(entry) => entry.shares = shares,
        None => {
            let (host, incarnation) = (holder.0.clone(), holder.1);
            entries.push(GrantEntry { host, incarnation, shares });
        }
    }
    remove_empty(record);
}

/// Returns the record after a graceful stop of a host; of each resource, only the share that the host has lent stays
/// granted.
pub fn release<Lent>(
    record: &QuotaRecord,
    host: &HostId,
    incarnation: IncarnationId,
    lent: Lent,
) -> QuotaRecord
where
    Lent: Fn(&ResourceId) -> GrantShares,
{
    let mut record = record.clone();
    let resources: Vec<ResourceId> = record.grants.keys().cloned().collect();
    for resource in resources {
        let recorded = record.shares(&resource, host, incarnation);
        let lent = lent(&resource);
        let kept = GrantShares {
            floor: recorded.floor.min(lent.floor),
            surplus: recorded.surplus.min(lent.surplus),
        };
        set_shares(&mut record, &resource, (host, incarnation), kept);
    }
    record
}

//! Decisions on the store record: claims and releases.
//!
//! The caller reads the record, then the lease records of its holders, decides, and writes with the revision that it
//! read. Three rules of the caller belong to the argument that the sum never exceeds the whole:
//!
//! - A lease record is created only where none is, and before any claim under it, so a record that is absent or names
//!   another incarnation proves that the lease of the grant has ended.
//! - Lease records are read after the quota record. A holder whose lease was created anew claims before it uses a grant,
//!   which changes the revision and makes the write of a reclaimer fail.
//! - Shares are used only after the own write was answered with success. If the answer is lost, the host reads the record
//!   and claims again.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{HostId, IncarnationId},
    quota::{GrantEntry, GrantShares, LeaseKind, QuotaRecord, ResourceId},
    time::MonoTime,
    units::TrafficShare,
};

/// Longest time between two answers of the store that counts as continuous. Hosts report the store's state each second;
/// a longer gap could hide an outage that others saw.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// Lease records that were read after the quota record.
#[derive(Debug, Clone, Default)]
pub struct LeaseView {
    alive: BTreeMap<(HostId, LeaseKind), IncarnationId>,
}

impl LeaseView {
    /// Adds a record that is there.
    pub fn add(&mut self, host: HostId, kind: LeaseKind, incarnation: IncarnationId) {
        self.alive.insert((host, kind), incarnation);
    }

    /// Whether the lease under which a run of a host held grants has ended.
    pub fn is_gone(&self, host: &HostId, incarnation: IncarnationId, kind: LeaseKind) -> bool {
        self.alive.get(&(host.clone(), kind)) != Some(&incarnation)
    }
}

/// Tells when grants of ended leases may be reclaimed.
///
/// While the store is down, holders keep their surplus for up to 3 s after it is back. A host therefore reclaims only
/// after its own calls were answered without a gap for the grace.
#[derive(Debug, Default)]
pub struct ReclaimGuard {
    answered_since: Option<MonoTime>,
    gap_ends: MonoTime,
}

impl ReclaimGuard {
    /// Records an answer to a call that began at `began`.
    pub fn record_answer(&mut self, began: MonoTime) {
        if self.answered_since.is_none() || began > self.gap_ends {
            self.answered_since = Some(began);
        }
        self.gap_ends = self.gap_ends.max(began.after(LONGEST_GAP));
    }

    /// Records a call without an answer.
    pub fn record_failure(&mut self) {
        self.answered_since = None;
    }

    /// Whether a read that began at `began` may be used to reclaim.
    pub fn may_reclaim(&self, began: MonoTime, grace: Duration) -> bool {
        let is_current = began <= self.gap_ends;
        is_current && self.answered_since.is_some_and(|it| it.after(grace) <= began)
    }
}

/// Shares that a host wants to hold of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimNeed {
    /// Resource.
    pub resource: ResourceId,
    /// Shares wanted in all; what is held already stays, even if it is more.
    pub wanted: GrantShares,
}

impl ClaimNeed {
    /// The wanted shares of a host among `hosts`: an equal part, of which a fifth is floor, and what its demand needs.
    /// All share is to be held by someone, because what lies in the store gathers no tokens.
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

/// The record after a claim of one run of a host.
///
/// `leases` is `None` unless the reclaim grace has passed; then nothing is reclaimed. Grants are never reduced
/// except for those of ended leases, and new ones come from what is unallocated, so the sum stays within the whole.
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
        put_shares(&mut record, &need.resource, (host, incarnation), shares);
    }
    record
}

/// Takes the grants of ended leases out. Those of `claimant` itself stay, because it claims under living leases.
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
    drop_empty(record);
}

fn drop_empty(record: &mut QuotaRecord) {
    for entries in record.grants.values_mut() {
        entries.retain(|it| it.shares.total() > 0);
    }
    record.grants.retain(|_, entries| !entries.is_empty());
}

fn put_shares(
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
    drop_empty(record);
}

/// The record after a graceful stop, which keeps of each resource what the host has lent.
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
        let held = record.shares(&resource, host, incarnation);
        let lent = lent(&resource);
        let kept = GrantShares {
            floor: held.floor.min(lent.floor),
            surplus: held.surplus.min(lent.surplus),
        };
        put_shares(&mut record, &resource, (host, incarnation), kept);
    }
    record
}

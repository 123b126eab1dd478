//! Quota state of one host: the admissions that it holds, the regional quotas that it owns, and its own share.

use std::collections::BTreeSet;

use super::SteeringCore;
use crate::{
    ids::{OrganisationId, RegionId},
    steering::{
        fleet::HostRecord,
        plan::RoutingPlan,
        shares::{HostShare, QuotaShares, quota_owner},
        tokens::{AdmissionDecision, TokenPool},
    },
    time::MonoTime,
    units::TrafficShare,
};

/// Part of its own share that a host uses while it cannot reach the owner of a quota. The owner may grant the whole
/// quota to other hosts at the same time, which the tolerance of quotas covers.
const OWNERLESS_PART: f64 = 0.3;

/// Maximum number of hosts of its region that a host without a share asks for admissions.
const MAX_GRANTORS: usize = 3;

/// Quotas on one host.
#[derive(Debug, Default)]
pub(super) struct QuotaState {
    pool: TokenPool,
    /// Regional quotas that this host owns.
    owned: QuotaShares,
    /// This host's own share, used while no owner can be reached.
    fallback: QuotaShares,
    /// Until when this host is registered.
    registered_until: MonoTime,
    /// Whether the installed shares are those of a registered host.
    was_registered: bool,
}

impl QuotaState {
    /// Ends the registration once it has lapsed; returns whether that happened just now.
    pub(super) fn end_registration(&mut self, now: MonoTime) -> bool {
        let has_lapsed = self.was_registered && now >= self.registered_until;
        self.was_registered &= !has_lapsed;
        has_lapsed
    }
}

impl SteeringCore {
    pub(super) fn install_quotas(&mut self, plan: &RoutingPlan, share: HostShare, now: MonoTime) {
        let slack = self.bounds.quota;
        let region_hosts = self.fleet.hosts().filter(|it| it.region == self.location.region);
        let registered = u32::try_from(region_hosts.count()).unwrap_or(u32::MAX);
        let sum = TrafficShare(share.traffic.0.saturating_mul(registered));
        let is_registered = self.is_registered(now);
        let (own, fleet, region) = (&self.location.host, &self.fleet, &self.location.region);
        let is_own = |it: &OrganisationId| {
            let hosts = fleet.hosts().filter(|host| host.region == *region);
            is_registered && quota_owner(it, hosts).is_some_and(|host| host.id == *own)
        };
        self.quotas.owned.install(plan, sum, slack, now, is_own);
        let part = if is_registered { OWNERLESS_PART } else { 1.0 };
        let fallback = TrafficShare((f64::from(share.traffic.0) * part) as u32);
        self.quotas.fallback.install(plan, fallback, slack, now, |_| true);
    }

    /// Records that this host is registered with `record` until `until` or later.
    pub fn set_registered(&mut self, record: &HostRecord, until: MonoTime, now: MonoTime) {
        let was_registered = std::mem::replace(&mut self.quotas.was_registered, true);
        self.quotas.registered_until = until;
        if !was_registered {
            // The store reports the registration only with its next changes.
            self.fleet.add_host(record.clone(), now);
            self.refresh(now);
        }
    }

    /// Whether this host's registration is still valid to its knowledge.
    pub fn is_registered(&self, now: MonoTime) -> bool {
        now < self.quotas.registered_until
    }

    /// Counts a request of `organisation` and admits it if an admission is held.
    pub fn admit(&mut self, organisation: &OrganisationId, now: MonoTime) -> AdmissionDecision {
        let rules = self.plan.as_ref().and_then(|it| it.organisations.get(organisation));
        if rules.is_none_or(|it| it.quota.is_none()) {
            return AdmissionDecision::Admitted;
        }
        self.quotas.pool.admit(organisation, now)
    }

    /// Retries the admission of a request that was counted and waited for the owner's grant.
    pub fn admit_again(
        &mut self,
        organisation: &OrganisationId,
        now: MonoTime,
    ) -> AdmissionDecision {
        self.quotas.pool.admit_again(organisation, now)
    }

    /// Adds the admissions that the owner granted.
    pub fn fill_pool(
        &mut self,
        organisation: &OrganisationId,
        granted: u32,
        retry_at: MonoTime,
        now: MonoTime,
    ) {
        self.quotas.pool.fill(organisation, granted, retry_at, now);
    }

    /// Returns the admission of a request that did not run.
    pub fn refund_quota(&mut self, organisation: &OrganisationId, now: MonoTime) {
        self.quotas.pool.refund(organisation, now);
    }

    /// Whether this host obtains admissions from the owners of quotas rather than from its own share: while it is
    /// registered, or while it has no share because the other hosts do not count it.
    fn asks_owners(&self, now: MonoTime) -> bool {
        self.is_registered(now) || !self.has_share(now)
    }

    /// Whether this host has a share of the limits, as the other hosts count it.
    pub fn has_share(&self, now: MonoTime) -> bool {
        self.fleet.is_holder(&self.location.host, now)
    }

    /// Host that owns the own region's share of a quota; `None` while this host uses its own share.
    pub fn quota_owner(&self, organisation: &OrganisationId, now: MonoTime) -> Option<&HostRecord> {
        let hosts = self.fleet.hosts().filter(|it| it.region == self.location.region);
        quota_owner(organisation, hosts).filter(|_| self.asks_owners(now))
    }

    /// Hosts of the own region to ask for admissions, in this order: the owner, or, for a host without a share of its own,
    /// the owner and others that may lend theirs if the owner does not answer.
    pub fn local_grantors(&self, organisation: &OrganisationId, now: MonoTime) -> Vec<HostRecord> {
        if self.has_share(now) {
            return self.quota_owner(organisation, now).cloned().into_iter().collect();
        }
        let mut hosts: Vec<&HostRecord> =
            self.fleet.hosts().filter(|it| it.region == self.location.region).collect();
        let mut grantors = Vec::new();
        while grantors.len() < MAX_GRANTORS
            && let Some(next) = quota_owner(organisation, hosts.iter().copied()).cloned()
        {
            hosts.retain(|it| it.id != next.id);
            grantors.push(next);
        }
        grantors
    }

    /// Owners of the quota shares of other regions; none while this host uses its own share.
    pub fn remote_owners(&self, organisation: &OrganisationId, now: MonoTime) -> Vec<HostRecord> {
        let regions: BTreeSet<&RegionId> = self
            .fleet
            .hosts()
            .map(|it| &it.region)
            .filter(|it| **it != self.location.region && self.asks_owners(now))
            .collect();
        let owner = |region: &RegionId| {
            quota_owner(organisation, self.fleet.hosts().filter(|it| it.region == *region))
        };
        regions.into_iter().filter_map(owner).cloned().collect()
    }

    /// Grants admissions as the owner of a quota; `None` if this host is not the owner.
    pub fn grant(
        &mut self,
        organisation: &OrganisationId,
        count: u32,
        now: MonoTime,
    ) -> Option<Result<u32, MonoTime>> {
        let owner = self.quota_owner(organisation, now)?;
        if owner.id != self.location.host {
            return None;
        }
        Some(self.quotas.owned.take(organisation, count, now))
    }

    /// Grants admissions to a host that has no share and cannot reach the owner, from the part of its own share that this
    /// host uses without the owner; `None` if it has no share itself.
    pub fn lend(
        &mut self,
        organisation: &OrganisationId,
        count: u32,
        now: MonoTime,
    ) -> Option<Result<u32, MonoTime>> {
        self.has_share(now).then(|| self.quotas.fallback.take(organisation, count, now))
    }

    /// Admits one request from this host's own share because no owner can be reached.
    pub fn admit_locally(
        &mut self,
        organisation: &OrganisationId,
        now: MonoTime,
    ) -> Result<(), MonoTime> {
        self.quotas.fallback.admit(organisation, now)
    }
}

//! Division of global limits among the hosts.
//!
//! Each host uses its share of a limit, and the shares add up to no more than the whole: they are computed from the
//! hosts that are registered and those with a record as share holder ([`HolderRecord`](super::fleet::HolderRecord)), so
//! that a host that is cut off and keeps serving still has its share. A host that is neither uses no share of the
//! traffic, as the others do not count it; it obtains admissions from them. Traffic is assumed to be even over regions
//! and over the hosts of a region, as callers choose among the hosts of their region at random.
//!
//! With many hosts, shares of quotas would be too small for single requests. The registered hosts of a region therefore
//! pool theirs, and one of them owns the sum for each organisation ([`quota_owner`]). A host whose registration lapsed
//! falls back to its own share, which the owner leaves out of the sum; one that cannot reach the owner uses a fraction
//! of it.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{HostId, OrganisationId, RegionId},
    quota::{QuotaLimits, TokenBucket},
    rendezvous::{rendezvous_draw, rendezvous_score},
    steering::{fleet::HostRecord, plan::RoutingPlan},
    time::MonoTime,
    units::{BurstSize, RequestRate, TokenCount, TrafficShare},
};
use xxhash_rust::xxh3::xxh3_64;

/// Part of a cold server's rate that is used; the rest covers requests that are delayed into the next second.
const PACED_PART: f64 = 0.9;
/// Number of hosts that share the rate of a cold server, per request a second of that rate. Each host may send twice
/// within a second, so more hosts could exceed the rate by half.
const SENDER_PART: f64 = 0.7;
/// Part of the slack of a quota that is used.
const USED_SLACK: f64 = 0.6;

/// Share of this host in the global limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostShare {
    /// Share of limits on traffic, which follows the distribution of callers.
    pub traffic: TrafficShare,
    /// Number of hosts among which limits are divided equally.
    pub hosts: u32,
}

/// Host that owns the region's share of an organisation's quota; the same one on all hosts with the same list.
pub fn quota_owner<'a, I>(organisation: &OrganisationId, hosts: I) -> Option<&'a HostRecord>
where
    I: Iterator<Item = &'a HostRecord>,
{
    host_of(xxh3_64(organisation.as_str().as_bytes()), hosts)
}

/// Host that is assigned the task `seed`, for tasks that all other hosts of its region depend on: one with the largest
/// capacity.
pub fn central_host<'a, I>(seed: u64, hosts: I) -> Option<&'a HostRecord>
where
    I: Iterator<Item = &'a HostRecord> + Clone,
{
    let largest = hosts.clone().map(|it| it.capacity).max()?;
    host_of(seed, hosts.filter(|it| it.capacity == largest))
}

/// Host that is assigned the task `seed` for its region; the same one on all hosts with the same list. Tasks are
/// distributed by capacity.
pub fn host_of<'a, I>(seed: u64, hosts: I) -> Option<&'a HostRecord>
where
    I: Iterator<Item = &'a HostRecord>,
{
    let score = |host: &HostRecord| {
        let draw = rendezvous_draw(seed, xxh3_64(host.id.as_str().as_bytes()));
        rendezvous_score(draw, host.capacity.0.max(1))
    };
    hosts.max_by_key(|host| (score(host), host.id.clone()))
}

impl HostShare {
    /// Computes the share of a host in `region`, where `counts` holds the number of hosts of each region.
    ///
    /// In a region without counted hosts it is none.
    pub fn new(counts: &HashMap<RegionId, u32>, region: &RegionId) -> Self {
        let hosts: u32 = counts.values().sum::<u32>().max(1);
        let regions = u32::try_from(counts.len()).unwrap_or(u32::MAX).max(1);
        let region_hosts = counts.get(region).copied().unwrap_or_default();
        let divisor = regions.saturating_mul(region_hosts);
        let parts = TrafficShare::WHOLE.0.checked_div(divisor).unwrap_or_default();
        Self { traffic: TrafficShare(parts), hosts }
    }

    /// Share of a host that is not counted: none of the traffic.
    pub fn of_uncounted_host(self) -> Self {
        Self { traffic: TrafficShare(0), ..self }
    }
}

/// Hosts that may send requests to cold servers, by their hashes.
///
/// Without this restriction, each of many hosts would send its first request to a cold server at once. Rendezvous
/// hashing selects a few hosts per server, which share its rate.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct WarmupSenders {
    own: u64,
    others: Vec<u64>,
}

impl WarmupSenders {
    /// Creates the set of this host and `hosts`, in which it may be missing.
    pub fn new<'a, I>(own: &HostId, hosts: I) -> Self
    where
        I: Iterator<Item = &'a HostId>,
    {
        let hash = |id: &HostId| xxh3_64(id.as_str().as_bytes());
        let others = hosts.filter(|it| *it != own).map(hash).collect();
        Self { own: hash(own), others }
    }

    /// Number of hosts that share the rate of one cold server.
    fn count(&self, rate: RequestRate) -> usize {
        let max_senders = (rate.0 as f64 / 1_000.0 * SENDER_PART) as usize;
        max_senders.clamp(1, self.others.len() + 1)
    }

    /// Whether this host may send requests to the cold server with the hash `server`.
    pub fn is_sender(&self, server: u64, rate: RequestRate) -> bool {
        let own = rendezvous_draw(server, self.own);
        let before = self.others.iter().filter(|it| rendezvous_draw(server, **it) > own).count();
        before < self.count(rate)
    }
}

/// Rate limiter that admits single requests at even intervals.
#[derive(Debug, Clone, Copy, Default)]
pub struct PacedGate {
    next: MonoTime,
}

impl PacedGate {
    /// Whether a request may pass now.
    pub fn is_open(&self, now: MonoTime) -> bool {
        now >= self.next
    }

    /// Records a request that passes to a cold server with `rate`.
    pub fn pass(&mut self, rate: RequestRate, senders: &WarmupSenders, now: MonoTime) {
        let sender_count = senders.count(rate) as f64;
        let per_second = rate.0 as f64 / 1_000.0 * PACED_PART / sender_count;
        // A server without a rate gets one request a second.
        let per_second = if per_second > 0.0 { per_second } else { 1.0 };
        self.next = now.after(Duration::from_secs_f64(1.0 / per_second));
    }
}

/// Amount by which a quota may be exceeded over all hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaSlack {
    /// Part of the rate.
    pub tolerance: f64,
    /// Requests.
    pub requests: u32,
}

impl QuotaSlack {
    /// Extends `limits` by the used part of the slack, because small shares of a burst round down to no request and
    /// callers are not distributed evenly. The rest of the slack covers requests that are delayed on the way to a
    /// backend server.
    fn extend(self, limits: QuotaLimits) -> QuotaLimits {
        let rate = limits.rate.0 as f64 * (1.0 + self.tolerance * USED_SLACK);
        let extra = f64::from(self.requests) * USED_SLACK;
        QuotaLimits {
            rate: RequestRate(rate as u64),
            burst: BurstSize(limits.burst.0.saturating_add(extra as u64)),
        }
    }
}

/// Parts of the organisations' quotas that this host may use.
#[derive(Debug, Default)]
pub struct QuotaShares {
    buckets: HashMap<OrganisationId, TokenBucket>,
}

impl QuotaShares {
    /// Installs the wanted organisations of `plan` with the given share of their quotas.
    pub fn install<F>(
        &mut self,
        plan: &RoutingPlan,
        share: TrafficShare,
        slack: QuotaSlack,
        now: MonoTime,
        is_wanted: F,
    ) where
        F: Fn(&OrganisationId) -> bool,
    {
        let has_quota =
            |id: &OrganisationId| plan.organisations.get(id).is_some_and(|it| it.quota.is_some());
        self.buckets.retain(|id, _| is_wanted(id) && has_quota(id));
        for (id, organisation) in plan.organisations.iter().filter(|(id, _)| is_wanted(id)) {
            let Some(limits) = organisation.quota else { continue };
            let limits = slack.extend(limits);
            // A restarted host may have spent its burst in its previous incarnation, so the bucket starts empty.
            let bucket = self.buckets.entry(id.clone());
            let bucket = bucket.or_insert_with(|| TokenBucket::new(limits, now));
            bucket.refill(now);
            bucket.set_limits(limits);
            bucket.set_share(share);
        }
    }

    /// Admits one request of `organisation`; otherwise returns when another one may pass.
    pub fn admit(&mut self, organisation: &OrganisationId, now: MonoTime) -> Result<(), MonoTime> {
        let Some(bucket) = self.buckets.get_mut(organisation) else { return Ok(()) };
        bucket.refill(now);
        if bucket.try_take(TokenCount::ONE) {
            return Ok(());
        }
        Err(bucket.ready_at(TokenCount::ONE).unwrap_or(now.after(Duration::from_secs(1))))
    }

    /// Admits up to `count` requests of `organisation`; an error holds the time when another one may pass.
    pub fn take(
        &mut self,
        organisation: &OrganisationId,
        count: u32,
        now: MonoTime,
    ) -> Result<u32, MonoTime> {
        self.admit(organisation, now)?;
        let more = (1..count).take_while(|_| self.admit(organisation, now).is_ok()).count();
        Ok(1 + u32::try_from(more).unwrap_or_default())
    }
}

//! Claims of quota shares in the store, and their release.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ractor::ActorRef;
use sapphireknot::{
    ids::{HostId, IncarnationId},
    quota::{
        ClaimNeed, GrantShares, LeaseKind, LeaseView, QuotaRecord, ResourceId, claim, release,
        shard_key,
    },
    time::MonoTime,
    units::TrafficShare,
};
use sapphireknot_platform::{KeyValueStore, StoreRevision, SwapOutcome, SwapWrite};

use super::{QuotaMessage, QuotaState};
use crate::control::shared::{ControlShared, HolderRecord, StoreRecordError, read_record, send};

/// Number of store records over which resources are sharded. All hosts must use the same number.
const SHARD_COUNT: u32 = 8;
/// Delay of the first claim after the start. A host that does not know any other one yet would claim the whole quota.
const FIRST_CLAIM_DELAY: Duration = Duration::from_secs(2);
/// Interval of claims while shares are missing; shorter than the longest gap between reads that a reclaim allows.
const CLAIM_INTERVAL: Duration = Duration::from_millis(700);
/// Number of attempts to release the shares in a record that other hosts may write concurrently.
const RELEASE_ATTEMPTS: u32 = 5;
/// Shortest time for which the store has to answer before a grant is reclaimed. It exceeds the 3 s for which a holder
/// may still consider the store to be down.
const MIN_RECLAIM_GRACE: Duration = Duration::from_secs(5);

/// State of the claims of this host.
#[derive(Debug)]
pub(super) struct ClaimState {
    next_claim: MonoTime,
    is_running: bool,
    /// Other hosts and incarnations with grants in each record, as of its last read.
    holders: HashMap<String, Vec<(HostId, IncarnationId)>>,
}

impl ClaimState {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            next_claim: now.after(FIRST_CLAIM_DELAY),
            is_running: false,
            holders: HashMap::new(),
        }
    }

    /// Makes the next claim due at once, unless no claim has been made yet.
    pub(super) fn schedule_now(&mut self) {
        if !self.holders.is_empty() {
            self.next_claim = MonoTime::default();
        }
    }
}

/// Result of a round of claims.
#[derive(Debug)]
pub struct ClaimResult {
    holders: HashMap<String, Vec<(HostId, IncarnationId)>>,
}

/// Share of a resource that this host wants.
struct ShareNeed {
    /// Equal part of this host.
    equal_part: ClaimNeed,
    /// Share for the demand of this host, but at least its equal part.
    demand: ClaimNeed,
}

impl ShareNeed {
    /// Returns what may be claimed. While a live member has no share yet, for example after a restart, no more than the
    /// equal part is claimed: a grant is never reduced, so a larger claim could leave nothing for that member.
    fn allowed_claim(
        &self,
        record: &QuotaRecord,
        live_runs: &[(HostId, IncarnationId)],
    ) -> ClaimNeed {
        let resource = &self.equal_part.resource;
        let has_share = |run: &(HostId, IncarnationId)| {
            record.shares(resource, &run.0, run.1) != GrantShares::default()
        };
        if live_runs.iter().all(has_share) { self.demand.clone() } else { self.equal_part.clone() }
    }
}

/// Claim of the resources in one record.
struct ShardClaim {
    key: String,
    needs: Vec<ShareNeed>,
    /// Hosts and incarnations that are live members; their leases need not be read.
    live_runs: Vec<(HostId, IncarnationId)>,
}

impl QuotaState {
    /// Starts claims in the records in which this host lacks shares or another holder is gone.
    pub(super) fn claim_due(&mut self, myself: &ActorRef<QuotaMessage>) {
        let now = self.now();
        if self.claims.is_running || now < self.claims.next_claim {
            return;
        }
        self.claims.next_claim = now.after(CLAIM_INTERVAL);
        let shards = self.shards_to_claim(now);
        if shards.is_empty() {
            return;
        }
        self.claims.is_running = true;
        let (shared, myself) = (self.shared.clone(), myself.clone());
        tokio::spawn(async move {
            let mut holders = HashMap::new();
            for shard in shards {
                match claim_shard(&shared, &shard).await {
                    Ok(found) => {
                        holders.insert(shard.key, found);
                    }
                    Err(err) => log::debug!("failed to claim shares in {}: {err}", shard.key),
                }
            }
            send(&myself, QuotaMessage::ClaimsEnded(ClaimResult { holders }));
        });
    }

    pub(super) fn record_claims(&mut self, result: ClaimResult) {
        self.claims.is_running = false;
        self.claims.holders.extend(result.holders);
    }

    fn shards_to_claim(&self, now: MonoTime) -> Vec<ShardClaim> {
        let hosts = self.count_sharing_hosts();
        let mut shards: HashMap<String, (Vec<ShareNeed>, bool)> = HashMap::new();
        for resource in &self.resources {
            let Some(need) = self.claim_need(resource, hosts, now) else { continue };
            let Some(view) = self.quotas.view(resource) else { continue };
            let lacks_share = LeaseKind::ALL
                .iter()
                .any(|&kind| need.demand.wanted.get(kind) > view.granted[kind as usize]);
            let (needs, shard_lacks_share) =
                shards.entry(shard_key(resource, SHARD_COUNT)).or_default();
            needs.push(need);
            *shard_lacks_share |= lacks_share;
        }
        let live_runs: Vec<_> = self
            .members
            .iter()
            .filter(|it| it.state.is_live())
            .map(|it| (it.id.clone(), it.incarnation))
            .collect();
        let mut claims = Vec::new();
        for (key, (needs, lacks_share)) in shards {
            let holders = self.claims.holders.get(&key);
            let has_gone_holder =
                holders.is_some_and(|it| it.iter().any(|run| !live_runs.contains(run)));
            if lacks_share || has_gone_holder {
                claims.push(ShardClaim { key, needs, live_runs: live_runs.clone() });
            }
        }
        claims
    }

    /// Returns the share of a resource that this host wants under its current leases.
    fn claim_need(&self, resource: &ResourceId, hosts: u32, now: MonoTime) -> Option<ShareNeed> {
        let ledger = self.quotas.ledger().ledger(resource);
        let usable = |kind, share| match now < ledger.lease_deadline(kind) {
            true => share,
            false => TrafficShare::NONE,
        };
        let need = |needed| {
            let mut need = ClaimNeed::fair(resource.clone(), hosts, needed);
            need.wanted = GrantShares {
                floor: usable(LeaseKind::Floor, need.wanted.floor),
                surplus: usable(LeaseKind::Surplus, need.wanted.surplus),
            };
            need
        };
        let needed = ledger.view(resource)?.needed;
        Some(ShareNeed { equal_part: need(TrafficShare::NONE), demand: need(needed) })
    }

    /// Returns borrowed shares and releases the grants. Returns whether some are lent and therefore stay in the store.
    pub(super) async fn stop(&mut self) -> bool {
        self.is_stopped = true;
        self.return_all().await;
        let mut keys: Vec<_> = self.resources.iter().map(|it| shard_key(it, SHARD_COUNT)).collect();
        keys.extend(self.claims.holders.keys().cloned());
        keys.sort();
        keys.dedup();
        for key in keys {
            if let Err(err) = release_shard(&self.shared, &key).await {
                log::warn!("failed to release shares in {key}: {err}");
            }
        }
        let lent = self.resources.iter().map(|it| lent_shares(&self.shared, it).total());
        lent.sum::<u64>() > 0
    }
}

fn lent_shares(shared: &ControlShared, resource: &ResourceId) -> GrantShares {
    let mut ledger = shared.context.quotas.ledger().ledger(resource);
    ledger.settle(shared.context.clock.now());
    ledger.lent_shares(resource)
}

async fn read_shard(
    shared: &ControlShared,
    key: &str,
) -> Result<(QuotaRecord, StoreRevision), StoreRecordError> {
    let Some(entry) = shared.store.get(key).await? else {
        return Ok((QuotaRecord::default(), StoreRevision::ABSENT));
    };
    let record = QuotaRecord::decode(&entry.value)
        .map_err(|err| StoreRecordError::Record { key: key.to_owned(), reason: err.to_string() })?;
    Ok((record, entry.revision))
}

/// Replaces a record. Returns false if it has changed since it was read.
async fn write_shard(
    shared: &ControlShared,
    key: &str,
    expected: StoreRevision,
    record: &QuotaRecord,
) -> Result<bool, StoreRecordError> {
    let value = record
        .encode()
        .map_err(|err| StoreRecordError::Record { key: key.to_owned(), reason: err.to_string() })?;
    let write = SwapWrite { key: key.to_owned(), expected, value: Some(value), lease: None };
    let outcome = shared.store.compare_and_swap(write).await?;
    Ok(matches!(outcome, SwapOutcome::Swapped(_)))
}

/// Reads a record and the leases of holders that are gone, decides on the claim and writes it. Returns the other
/// holders.
async fn claim_shard(
    shared: &Arc<ControlShared>,
    shard: &ShardClaim,
) -> Result<Vec<(HostId, IncarnationId)>, StoreRecordError> {
    let context = &shared.context;
    let identity = &context.identity;
    let began = context.clock.now();
    let (record, revision) = read_shard(shared, &shard.key).await?;
    // The leases must be read after the record, as required by `sapphireknot::quota::claim`.
    let leases = read_leases(shared, &record, &shard.live_runs).await?;
    let grace = context.settings.timing.short_lease.0.max(MIN_RECLAIM_GRACE);
    let leases = leases.filter(|_| shared.store.may_reclaim(began, grace));
    let needs: Vec<_> =
        shard.needs.iter().map(|it| it.allowed_claim(&record, &shard.live_runs)).collect();
    let claimed = claim(&record, leases.as_ref(), &identity.id, identity.incarnation, &needs);
    // A write is needed even if the claim leaves the record unchanged: the shares of this host count only after a write
    // that began under its current leases.
    let is_installed = |need: &ClaimNeed| {
        let shares = claimed.shares(&need.resource, &identity.id, identity.incarnation);
        let view = context.quotas.ledger().ledger(&need.resource).view(&need.resource);
        view.is_some_and(|it| LeaseKind::ALL.map(|kind| shares.get(kind)) == it.granted)
    };
    let is_same = claimed == record && needs.iter().all(is_installed);
    if !is_same && write_shard(shared, &shard.key, revision, &claimed).await? {
        for need in &needs {
            let resource = &need.resource;
            let shares = claimed.shares(resource, &identity.id, identity.incarnation);
            let now = context.clock.now();
            context.quotas.ledger().ledger(resource).install_claim(now, resource, began, shares);
        }
    }
    let others = claimed
        .holders()
        .into_iter()
        .filter(|it| it.0 != &identity.id || it.1 != identity.incarnation);
    Ok(others.map(|it| (it.0.clone(), it.1)).collect())
}

/// Returns the leases of the holders of a record, or `None` if all of them are live members. Leases of live members are
/// assumed to be alive instead of being read.
async fn read_leases(
    shared: &ControlShared,
    record: &QuotaRecord,
    live_runs: &[(HostId, IncarnationId)],
) -> Result<Option<LeaseView>, StoreRecordError> {
    let mut view = LeaseView::default();
    let mut are_all_live = true;
    for (host, incarnation) in record.holders() {
        let run = (host.clone(), incarnation);
        let is_live = live_runs.contains(&run);
        are_all_live &= is_live;
        for (kind, name) in [(LeaseKind::Floor, "long"), (LeaseKind::Surplus, "short")] {
            if is_live {
                view.add(run.0.clone(), kind, incarnation);
                continue;
            }
            if let Some(entry) = shared.store.get(&format!("host/{host}/{name}")).await? {
                let holder: HolderRecord = read_record(&entry)?;
                view.add(run.0.clone(), kind, holder.incarnation);
            }
        }
    }
    Ok((!are_all_live).then_some(view))
}

async fn release_shard(shared: &Arc<ControlShared>, key: &str) -> Result<(), StoreRecordError> {
    let identity = &shared.context.identity;
    for _ in 0..RELEASE_ATTEMPTS {
        let (record, revision) = read_shard(shared, key).await?;
        let lent = |resource: &ResourceId| lent_shares(shared, resource);
        let released = release(&record, &identity.id, identity.incarnation, lent);
        if released == record || write_shard(shared, key, revision, &released).await? {
            return Ok(());
        }
    }
    Err(StoreRecordError::Record {
        key: key.to_owned(),
        reason: "too many concurrent writes".to_owned(),
    })
}

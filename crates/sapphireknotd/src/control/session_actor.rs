//! Session of this host with the store.
//!
//! The actor holds a short and a long lease, renews both with one call, reports their deadlines to the quota ledger,
//! and acquires a watch role while fewer than two hosts of the data centre hold one. Only holders of a watch role
//! acquire planner roles of services with a traffic plan, so that the number of reads of free roles does not grow with
//! the fleet. The actor stops using a lease a drift margin before it expires, counted from before the renewal was sent.
//! Its store calls are sequential, since each depends on the result of the one before.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sapphireknot::{
    ids::{FencingToken, ServiceId},
    quota::LeaseKind,
    roles::{DRIFT_DIVISOR, HeldLease, HeldRoles},
    time::MonoTime,
};
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, SwapOutcome, SwapWrite,
};

use super::{
    quota_actor::QuotaMessage,
    shared::{
        ActorResult, ControlShared, HolderRecord, PlannerRoles, StoreRecordError, read_record, send,
    },
};

/// Key prefix of planner roles, followed by the service.
const PLANNER_PREFIX: &str = "role/planner/";
/// Key prefix of watch roles, followed by the data centre and an index.
const WATCH_PREFIX: &str = "role/watch/";
/// Number of watch roles per data centre.
const WATCH_ROLES: u32 = 2;
/// Largest number of renewals per second, summed over all hosts.
const MAX_RENEWAL_RATE: u32 = 100;
/// Shortest interval between renewals.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of renewal intervals that a short lease covers; it survives four lost renewals.
const LEASE_INTERVALS: u32 = 5;

/// Message to the session actor.
#[derive(Debug)]
pub enum SessionMessage {
    /// The next lease renewal is due.
    RenewalDue,
    /// Releases all roles and leases.
    End {
        /// Whether shares of this host are lent. If so, the leases expire instead of being revoked, because the
        /// borrowers use the grants until their subleases end.
        has_lent_shares: bool,
        /// Replied to when the session has ended.
        port: RpcReplyPort<()>,
    },
}

/// Actor that maintains the leases and roles of this host.
pub(super) struct SessionActor;

/// Start arguments of the session actor.
pub(super) struct SessionArguments {
    /// State shared by the control modules.
    pub shared: Arc<ControlShared>,
    /// Quota actor, which is notified of new leases.
    pub quota: ActorRef<QuotaMessage>,
}

/// Lease granted by the store.
#[derive(Debug, Clone, Copy)]
struct StoreLease {
    id: LeaseId,
    /// Time to live, which every renewal restores.
    ttl: Duration,
    /// Time just before the latest grant or renewal that the store confirmed was sent.
    renewed: MonoTime,
    /// Whether the record of this host is attached to the lease, without which no grants may be claimed.
    is_record_attached: bool,
}

/// State of the session actor.
pub(super) struct SessionState {
    shared: Arc<ControlShared>,
    quota: ActorRef<QuotaMessage>,
    leases: [Option<StoreLease>; 2],
    role_lease: HeldLease,
    roles: HeldRoles,
    is_ended: bool,
}

#[ractor::async_trait]
impl Actor for SessionActor {
    type Msg = SessionMessage;
    type State = SessionState;
    type Arguments = SessionArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<SessionMessage>,
        arguments: SessionArguments,
    ) -> Result<SessionState, ActorProcessingErr> {
        myself.cast(SessionMessage::RenewalDue)?;
        let SessionArguments { shared, quota } = arguments;
        Ok(SessionState {
            shared,
            quota,
            leases: [None; 2],
            role_lease: HeldLease::default(),
            roles: HeldRoles::default(),
            is_ended: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SessionMessage>,
        message: SessionMessage,
        state: &mut SessionState,
    ) -> ActorResult {
        match message {
            SessionMessage::RenewalDue if state.is_ended => {}
            SessionMessage::RenewalDue => {
                if let Err(err) = state.renew().await {
                    log::warn!("failed to renew the store session: {err}");
                }
                state.publish_roles();
                myself.send_after(state.renewal_interval(), || SessionMessage::RenewalDue);
            }
            SessionMessage::End { has_lent_shares, port } => {
                state.end(has_lent_shares).await;
                if port.send(()).is_err() {
                    log::debug!("the caller no longer waits for the end of the session");
                }
            }
        }
        Ok(())
    }
}

impl SessionState {
    fn renewal_interval(&self) -> Duration {
        let members = self.shared.context.members.load();
        let hosts = members.iter().filter(|it| it.state.is_live()).count();
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        MIN_RENEWAL_INTERVAL.max(Duration::from_secs(1) * hosts / MAX_RENEWAL_RATE)
    }

    fn ttl(&self, kind: LeaseKind) -> Duration {
        let timing = &self.shared.context.settings.timing;
        match kind {
            LeaseKind::Floor => timing.long_lease.0,
            LeaseKind::Surplus => {
                timing.short_lease.0.max(self.renewal_interval() * LEASE_INTERVALS)
            }
        }
    }

    fn now(&self) -> MonoTime {
        self.shared.context.clock.now()
    }

    fn holder(&self) -> HolderRecord {
        let identity = &self.shared.context.identity;
        HolderRecord { host: identity.id.clone(), incarnation: identity.incarnation }
    }

    fn short_lease(&self) -> Option<StoreLease> {
        self.leases[LeaseKind::Surplus as usize]
    }

    async fn renew(&mut self) -> Result<(), StoreRecordError> {
        self.renew_leases().await?;
        for kind in LeaseKind::ALL {
            let wanted = self.ttl(kind);
            // The renewal interval grows with the fleet, after which a lease may cover too few renewals. It is replaced
            // without being revoked: the record of this host must not be absent while its grants are in use.
            if self.leases[kind as usize].is_none_or(|it| it.ttl * 2 < wanted) {
                self.acquire_lease(kind, wanted).await?;
            }
            if self.leases[kind as usize].is_some_and(|it| !it.is_record_attached) {
                self.attach_host_record(kind).await?;
            }
        }
        self.acquire_watch_role().await?;
        self.acquire_planner_roles().await
    }

    async fn renew_leases(&mut self) -> Result<(), StoreRecordError> {
        let ids: Vec<_> = self.leases.iter().flatten().map(|it| it.id).collect();
        if ids.is_empty() {
            return Ok(());
        }
        let sent = self.now();
        let alive = self.shared.store.renew_leases(&ids).await?;
        let now = self.now();
        let ledger = self.shared.context.quotas.ledger();
        for kind in LeaseKind::ALL {
            let Some(lease) = &mut self.leases[kind as usize] else { continue };
            if alive.contains(&lease.id) {
                lease.renewed = sent;
                if lease.is_record_attached {
                    ledger.renew_lease(now, kind, sent, lease.ttl);
                }
                if kind == LeaseKind::Surplus {
                    self.role_lease.record_renewal(sent, lease.ttl);
                }
            } else {
                // The store has deleted the entries attached to the lease.
                log::info!(kind:? = kind; "store lease expired");
                ledger.end_lease(now, kind);
                self.leases[kind as usize] = None;
                if kind == LeaseKind::Surplus {
                    self.role_lease.end();
                    self.roles.clear();
                }
            }
        }
        Ok(())
    }

    async fn acquire_lease(
        &mut self,
        kind: LeaseKind,
        ttl: Duration,
    ) -> Result<(), StoreRecordError> {
        let renewed = self.now();
        let id = self.shared.store.grant_lease(ttl).await?;
        if kind == LeaseKind::Surplus {
            // Roles are attached to the previous lease, which is left to expire.
            self.roles.clear();
            self.role_lease.record_renewal(renewed, ttl);
        }
        self.leases[kind as usize] =
            Some(StoreLease { id, ttl, renewed, is_record_attached: false });
        Ok(())
    }

    /// Attaches the record of this host to a lease. A record of an earlier incarnation stays until its lease expires,
    /// because it protects the grants of that incarnation.
    async fn attach_host_record(&mut self, kind: LeaseKind) -> Result<(), StoreRecordError> {
        let Some(lease) = self.leases[kind as usize] else { return Ok(()) };
        let name = match kind {
            LeaseKind::Floor => "long",
            LeaseKind::Surplus => "short",
        };
        let key = format!("host/{}/{name}", self.shared.context.identity.id);
        let began = self.now();
        let entry = self.shared.store.get(&key).await?;
        let expected = match &entry {
            None => StoreRevision::ABSENT,
            Some(entry) => {
                let holder: HolderRecord = read_record(entry)?;
                if holder != self.holder() {
                    log::debug!("the record {key} is that of run {}", holder.incarnation);
                    return Ok(());
                }
                entry.revision
            }
        };
        let is_attached = entry.as_ref().is_some_and(|it| it.lease == Some(lease.id));
        if !is_attached {
            match self.write_holder(&key, expected, lease.id).await? {
                SwapOutcome::Swapped(_) => {}
                SwapOutcome::Conflict(_) | SwapOutcome::LeaseEnded => return Ok(()),
            }
        }
        self.start_lease(kind, began, lease, entry.is_none());
        Ok(())
    }

    /// Reports a lease to the quota ledger after a call sent at `began` wrote or found its record.
    fn start_lease(
        &mut self,
        kind: LeaseKind,
        began: MonoTime,
        mut lease: StoreLease,
        is_created: bool,
    ) {
        lease.is_record_attached = true;
        self.leases[kind as usize] = Some(lease);
        let ledger = self.shared.context.quotas.ledger();
        let now = self.now();
        let is_held = now < ledger.lease_deadline(kind);
        if is_held && !is_created {
            // The record was moved from the previous lease and was never absent.
            return ledger.renew_lease(now, kind, lease.renewed, lease.ttl);
        }
        // The ledger counts the time to live from `began`, but the drift margin has to be that of the whole lease.
        let elapsed = began.since(lease.renewed) * DRIFT_DIVISOR / (DRIFT_DIVISOR - 1);
        ledger.start_lease(now, kind, began, lease.ttl.saturating_sub(elapsed));
        send(&self.quota, QuotaMessage::LeaseStarted(kind));
    }

    async fn write_holder(
        &self,
        key: &str,
        expected: StoreRevision,
        lease: LeaseId,
    ) -> Result<SwapOutcome, StoreRecordError> {
        let value = serde_json::to_vec(&self.holder()).map_err(|err| StoreRecordError::Record {
            key: key.to_owned(),
            reason: err.to_string(),
        })?;
        let lease = Some(lease);
        let write = SwapWrite { key: key.to_owned(), expected, value: Some(value), lease };
        Ok(self.shared.store.compare_and_swap(write).await?)
    }

    /// Acquires a free watch role of the data centre, unless this host already holds one.
    async fn acquire_watch_role(&mut self) -> Result<(), StoreRecordError> {
        let Some(lease) = self.short_lease() else { return Ok(()) };
        if self.holds_watch_role() {
            return Ok(());
        }
        let datacentre = self.shared.context.identity.datacentre.clone();
        for idx in 0..WATCH_ROLES {
            let key = format!("{WATCH_PREFIX}{datacentre}/{idx}");
            if self.acquire_role(key, lease.id).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Acquires free planner roles and releases those of services without a traffic plan.
    async fn acquire_planner_roles(&mut self) -> Result<(), StoreRecordError> {
        let Some(lease) = self.short_lease() else { return Ok(()) };
        let config = self.shared.context.config.load_full();
        let services = config.iter().flat_map(|it| &it.document.services);
        let planned = services.filter(|it| it.traffic.is_some());
        let keys: Vec<_> = planned.map(|it| format!("{PLANNER_PREFIX}{}", it.id)).collect();
        let held_roles = self.roles.names();
        for key in
            held_roles.iter().filter(|it| it.starts_with(PLANNER_PREFIX) && !keys.contains(it))
        {
            self.release_role(key).await?;
        }
        if self.holds_watch_role() {
            for key in keys.into_iter().filter(|it| !held_roles.contains(it)) {
                self.acquire_role(key, lease.id).await?;
            }
        }
        Ok(())
    }

    /// Acquires a role if it is free. Returns whether this host holds it.
    async fn acquire_role(
        &mut self,
        key: String,
        lease: LeaseId,
    ) -> Result<bool, StoreRecordError> {
        if let Some(entry) = self.shared.store.get(&key).await? {
            // This host holds the role already if the reply to an earlier write was lost.
            let holder: HolderRecord = read_record(&entry)?;
            let is_own = holder == self.holder() && entry.lease == Some(lease);
            if is_own {
                self.roles.take(key, FencingToken(entry.revision.0));
            }
            return Ok(is_own);
        }
        let outcome = self.write_holder(&key, StoreRevision::ABSENT, lease).await?;
        let SwapOutcome::Swapped(revision) = outcome else { return Ok(false) };
        log::info!(role:% = key; "role acquired");
        self.roles.take(key, FencingToken(revision.0));
        Ok(true)
    }

    /// Stops using a role and deletes its entry.
    async fn release_role(&mut self, key: &str) -> Result<(), StoreRecordError> {
        let token = self.roles.token(key, &self.role_lease, self.now());
        self.roles.release(key);
        self.publish_roles();
        let Some(token) = token else { return Ok(()) };
        let expected = StoreRevision(token.0);
        let write = SwapWrite { key: key.to_owned(), expected, value: None, lease: None };
        self.shared.store.compare_and_swap(write).await?;
        Ok(())
    }

    fn holds_watch_role(&self) -> bool {
        self.roles.names().iter().any(|it| it.starts_with(WATCH_PREFIX))
    }

    fn publish_roles(&self) {
        let usable_until = self.role_lease.usable_until();
        let until = if self.holds_watch_role() { usable_until } else { MonoTime::default() };
        self.shared.watch_role_until.set(until);
        let mut tokens: BTreeMap<ServiceId, FencingToken> = BTreeMap::new();
        for name in self.roles.names() {
            let service = name.strip_prefix(PLANNER_PREFIX).and_then(|it| it.parse().ok());
            let token = self.roles.token(&name, &self.role_lease, self.now());
            tokens.extend(service.zip(token));
        }
        self.shared.planner_roles.store(Arc::new(PlannerRoles { tokens, usable_until }));
    }

    /// Stops using roles and leases. Revokes the leases, or only deletes the roles while shares are lent.
    async fn end(&mut self, has_lent_shares: bool) {
        self.is_ended = true;
        let leases = std::mem::take(&mut self.leases);
        let roles = self.roles.names();
        self.role_lease.end();
        self.roles.clear();
        self.publish_roles();
        if has_lent_shares {
            log::info!("quota shares are lent; leaving the leases to expire");
            for role in roles {
                if let Err(err) = self.delete_role(&role).await {
                    log::warn!("failed to release the role {role}: {err}");
                }
            }
            return;
        }
        for lease in leases.into_iter().flatten() {
            let result: Result<(), StoreError> = self.shared.store.revoke_lease(lease.id).await;
            if let Err(err) = result {
                log::warn!("failed to revoke a lease: {err}");
            }
        }
    }

    /// Deletes the record of a role if this host holds it.
    async fn delete_role(&self, key: &str) -> Result<(), StoreRecordError> {
        let Some(entry) = self.shared.store.get(key).await? else { return Ok(()) };
        let holder: HolderRecord = read_record(&entry)?;
        if holder == self.holder() {
            let expected = entry.revision;
            let write = SwapWrite { key: key.to_owned(), expected, value: None, lease: None };
            self.shared.store.compare_and_swap(write).await?;
        }
        Ok(())
    }
}

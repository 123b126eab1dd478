//! Session of this host with the store.
//!
//! The actor holds a short and a long lease, renews both with one call, and takes a watch role while fewer than two
//! hosts of the data centre hold one. Holders of a watch role also take the planner role of services with a traffic
//! plan, so that the reads of free roles do not grow with the fleet. It stops using a lease a drift margin before its end, counted from before the
//! renewal was sent. Its calls are sequential, since each rests on the result of the one before.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sapphireknot::{
    ids::{FencingToken, HostId, IncarnationId, ServiceId},
    roles::{HeldLease, HeldRoles},
    time::MonoTime,
};
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, SwapOutcome, SwapWrite,
};
use serde::{Deserialize, Serialize};

use super::shared::{ActorResult, ControlShared, PlannerRoles, ReadError, read_record};

/// Start of the names of planner roles; the service follows.
const PLANNER_PREFIX: &str = "role/planner/";
/// Start of the names of watch roles.
const WATCH_PREFIX: &str = "role/watch/";
/// Watch roles of a data centre.
const WATCH_ROLES: u32 = 2;
/// Renewals of all hosts together stay under this many a second.
const MAX_RENEWAL_RATE: u32 = 100;
/// Shortest interval of renewals.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// A short lease covers this many intervals, so that four renewals may be lost.
const LEASE_INTERVALS: u32 = 5;

/// Holder of a role or owner of a host record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Host.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
}

/// Message to the session actor.
#[derive(Debug)]
pub enum SessionMessage {
    /// A renewal is due.
    RenewalDue,
    /// Give up all roles and leases.
    End(RpcReplyPort<()>),
}

/// Session actor.
pub(super) struct SessionActor;

/// Leases as the store knows them.
#[derive(Debug, Clone, Copy)]
struct LeasePair {
    short: LeaseId,
    /// Time for which the short lease was granted; renewals keep it.
    short_ttl: Duration,
    long: LeaseId,
}

/// State of the actor.
pub(super) struct SessionState {
    shared: Arc<ControlShared>,
    leases: Option<LeasePair>,
    short: HeldLease,
    roles: HeldRoles,
    is_ended: bool,
}

#[ractor::async_trait]
impl Actor for SessionActor {
    type Msg = SessionMessage;
    type State = SessionState;
    type Arguments = Arc<ControlShared>;

    async fn pre_start(
        &self,
        myself: ActorRef<SessionMessage>,
        shared: Arc<ControlShared>,
    ) -> Result<SessionState, ActorProcessingErr> {
        myself.cast(SessionMessage::RenewalDue)?;
        Ok(SessionState {
            shared,
            leases: None,
            short: HeldLease::default(),
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
                    log::warn!("renew the session with the store: {err}");
                }
                state.publish();
                myself.send_after(state.interval(), || SessionMessage::RenewalDue);
            }
            SessionMessage::End(port) => {
                state.end().await;
                if port.send(()).is_err() {
                    log::debug!("the caller no longer waits for the end of the session");
                }
            }
        }
        Ok(())
    }
}

impl SessionState {
    fn interval(&self) -> Duration {
        let members = self.shared.context.members.load();
        let hosts = members.iter().filter(|it| it.state.is_live()).count();
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        MIN_INTERVAL.max(Duration::from_secs(1) * hosts / MAX_RENEWAL_RATE)
    }

    fn short_ttl(&self) -> Duration {
        let configured = self.shared.context.settings.timing.short_lease.0;
        configured.max(self.interval() * LEASE_INTERVALS)
    }

    fn now(&self) -> MonoTime {
        self.shared.context.clock.now()
    }

    fn holder(&self) -> HolderRecord {
        let identity = &self.shared.context.identity;
        HolderRecord { host: identity.id.clone(), incarnation: identity.incarnation }
    }

    async fn renew(&mut self) -> Result<(), ReadError> {
        let Some(leases) = self.leases else { return self.begin().await };
        if leases.short_ttl * 2 < self.short_ttl() {
            // The fleet grew, and with it the interval; this lease covers too few renewals.
            self.revoke().await;
            return self.begin().await;
        }
        let sent = self.now();
        let alive = self.shared.store.renew_leases(&[leases.short, leases.long]).await?;
        if !alive.contains(&leases.short) || !alive.contains(&leases.long) {
            // The store deleted what was attached to the lease that ended.
            self.forget();
            return self.begin().await;
        }
        self.short.record_renewal(sent, leases.short_ttl);
        self.take_roles().await
    }

    /// Grants new leases and writes the records of this host.
    async fn begin(&mut self) -> Result<(), ReadError> {
        let sent = self.now();
        let store = self.shared.store.clone();
        let short_ttl = self.short_ttl();
        let short = store.grant_lease(short_ttl).await?;
        let long = store.grant_lease(self.shared.context.settings.timing.long_lease.0).await?;
        let id = &self.shared.context.identity.id;
        self.put(&format!("host/{id}/short"), short).await?;
        self.put(&format!("host/{id}/long"), long).await?;
        self.leases = Some(LeasePair { short, short_ttl, long });
        self.short.record_renewal(sent, short_ttl);
        self.take_roles().await
    }

    async fn take_roles(&mut self) -> Result<(), ReadError> {
        self.take_watch().await?;
        self.take_planners().await
    }

    /// Writes this host's record over an earlier one of the same host.
    async fn put(&self, key: &str, lease: LeaseId) -> Result<(), ReadError> {
        let entry = self.shared.store.get(key).await?;
        let expected = entry.map(|it| it.revision).unwrap_or(StoreRevision::ABSENT);
        match self.swap(key, expected, lease).await? {
            SwapOutcome::Swapped(_) => Ok(()),
            SwapOutcome::Conflict(_) | SwapOutcome::LeaseEnded => {
                let reason = "it changed while it was written".to_owned();
                Err(ReadError::Record { key: key.to_owned(), reason })
            }
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: StoreRevision,
        lease: LeaseId,
    ) -> Result<SwapOutcome, ReadError> {
        let value = serde_json::to_vec(&self.holder())
            .map_err(|err| ReadError::Record { key: key.to_owned(), reason: err.to_string() })?;
        let lease = Some(lease);
        let write = SwapWrite { key: key.to_owned(), expected, value: Some(value), lease };
        Ok(self.shared.store.compare_and_swap(write).await?)
    }

    /// Takes a free watch role of the data centre, unless this host holds one.
    async fn take_watch(&mut self) -> Result<(), ReadError> {
        let Some(leases) = self.leases else { return Ok(()) };
        if self.holds_watch() {
            return Ok(());
        }
        let datacentre = self.shared.context.identity.datacentre.clone();
        for idx in 0..WATCH_ROLES {
            let key = format!("{WATCH_PREFIX}{datacentre}/{idx}");
            if self.take_role(key, leases.short).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Takes free planner roles and gives back those of services without a plan.
    async fn take_planners(&mut self) -> Result<(), ReadError> {
        let Some(leases) = self.leases else { return Ok(()) };
        let config = self.shared.context.config.load_full();
        let services = config.iter().flat_map(|it| &it.document.services);
        let planned = services.filter(|it| it.traffic.is_some());
        let keys: Vec<_> = planned.map(|it| format!("{PLANNER_PREFIX}{}", it.id)).collect();
        let held = self.roles.names();
        for key in held.iter().filter(|it| it.starts_with(PLANNER_PREFIX) && !keys.contains(it)) {
            self.release(key).await?;
        }
        if self.holds_watch() {
            for key in keys.into_iter().filter(|it| !held.contains(it)) {
                self.take_role(key, leases.short).await?;
            }
        }
        Ok(())
    }

    /// Takes a role if it is free; the answer is whether this host holds it.
    async fn take_role(&mut self, key: String, lease: LeaseId) -> Result<bool, ReadError> {
        if let Some(entry) = self.shared.store.get(&key).await? {
            // The answer to an earlier write may have been lost.
            let holder: HolderRecord = read_record(&entry)?;
            let is_own = holder == self.holder() && entry.lease == Some(lease);
            if is_own {
                self.roles.take(key, FencingToken(entry.revision.0));
            }
            return Ok(is_own);
        }
        let outcome = self.swap(&key, StoreRevision::ABSENT, lease).await?;
        let SwapOutcome::Swapped(revision) = outcome else { return Ok(false) };
        log::info!(role:% = key; "role taken");
        self.roles.take(key, FencingToken(revision.0));
        Ok(true)
    }

    /// Stops using a role and deletes its entry.
    async fn release(&mut self, key: &str) -> Result<(), ReadError> {
        let token = self.roles.token(key, &self.short, self.now());
        self.roles.release(key);
        self.publish();
        let Some(token) = token else { return Ok(()) };
        let expected = StoreRevision(token.0);
        let write = SwapWrite { key: key.to_owned(), expected, value: None, lease: None };
        self.shared.store.compare_and_swap(write).await?;
        Ok(())
    }

    fn holds_watch(&self) -> bool {
        self.roles.names().iter().any(|it| it.starts_with(WATCH_PREFIX))
    }

    fn forget(&mut self) {
        self.leases = None;
        self.short.end();
        self.roles.clear();
    }

    fn publish(&self) {
        let usable_until = self.short.usable_until();
        let until = if self.holds_watch() { usable_until } else { MonoTime::default() };
        self.shared.watch_until.set(until);
        let mut tokens: BTreeMap<ServiceId, FencingToken> = BTreeMap::new();
        for name in self.roles.names() {
            let service = name.strip_prefix(PLANNER_PREFIX).and_then(|it| it.parse().ok());
            let token = self.roles.token(&name, &self.short, self.now());
            tokens.extend(service.zip(token));
        }
        self.shared.planners.store(Arc::new(PlannerRoles { tokens, usable_until }));
    }

    async fn end(&mut self) {
        self.is_ended = true;
        self.revoke().await;
    }

    /// Stops using roles and leases and ends them in the store.
    async fn revoke(&mut self) {
        let leases = self.leases;
        self.forget();
        self.publish();
        let Some(leases) = leases else { return };
        for lease in [leases.short, leases.long] {
            let result: Result<(), StoreError> = self.shared.store.revoke_lease(lease).await;
            if let Err(err) = result {
                log::warn!("end the session with the store: {err}");
            }
        }
    }
}

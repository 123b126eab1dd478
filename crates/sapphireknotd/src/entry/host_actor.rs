//! Keeps this host registered in the store.
//!
//! The registration is bound to a lease. It starts once a plan is in force, so that callers are directed only to hosts
//! that can serve them, and is removed first in a graceful shutdown.

use std::sync::Arc;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sapphireknot::time::MonoTime;
use sapphireknot_platform::{LeaseId, StoreError, WriteOutcome};

use super::state::EntryState;
use crate::constants::{HOST_LEASE, HOST_RENEWAL};

/// Message to the host actor.
#[derive(Debug)]
pub enum HostMessage {
    /// The lease is due for renewal.
    Renew,
    /// The host shuts down; removes its registration.
    Deregister(RpcReplyPort<()>),
}

/// Actor that keeps this host registered.
pub struct HostActor;

/// Arguments of [`HostActor`].
pub struct HostArguments {
    /// Shared state of the entry host.
    pub state: Arc<EntryState>,
}

/// State of [`HostActor`].
pub struct HostActorState {
    state: Arc<EntryState>,
    lease: Option<LeaseId>,
    /// Whether the host list of the store has contained this host under the current lease.
    was_listed: bool,
    is_deregistered: bool,
}

#[ractor::async_trait]
impl Actor for HostActor {
    type Msg = HostMessage;
    type State = HostActorState;
    type Arguments = HostArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<HostMessage>,
        arguments: HostArguments,
    ) -> Result<HostActorState, ActorProcessingErr> {
        // The plan is read soon after the start; the first registration does not wait for a whole renewal interval.
        myself.send_after(HOST_RENEWAL.0 / 10, || HostMessage::Renew);
        Ok(HostActorState {
            state: arguments.state,
            lease: None,
            was_listed: false,
            is_deregistered: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<HostMessage>,
        message: HostMessage,
        actor: &mut HostActorState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            HostMessage::Renew if actor.is_deregistered => {}
            HostMessage::Renew => {
                let mut pause = HOST_RENEWAL.0;
                if actor.state.plan.load().is_none() {
                    pause /= 10;
                } else if let Err(err) = actor.renew().await {
                    let (StoreError::Refused { step, .. } | StoreError::Unanswered { step, .. }) =
                        &err;
                    actor.state.meters.count_store_failure(step);
                    log::debug!(error:% = err; "renew registration of this host");
                    actor.state.report_store_failure(err);
                }
                myself.send_after(pause, || HostMessage::Renew);
            }
            HostMessage::Deregister(port) => {
                actor.is_deregistered = true;
                if let Some(lease) = actor.lease.take()
                    && let Err(err) = actor.state.platform.store.end_lease(lease).await
                {
                    log::warn!(error:% = err; "remove registration of this host");
                }
                // The caller may have stopped waiting.
                drop(port.send(()));
            }
        }
        Ok(())
    }
}

impl HostActorState {
    /// Renews the lease, or registers again if it has expired.
    async fn renew(&mut self) -> Result<(), StoreError> {
        let store = self.state.platform.store.clone();
        let ttl = HOST_LEASE.0.max(self.state.settings.load().managed.min_lease.0);
        // The lease runs from the arrival of the call at the store, which is later, so that this time is a safe lower
        // bound.
        let started = self.state.clock.now();
        if let Some(lease) = self.lease {
            if store.renew_lease(lease).await? {
                self.record_lease(started.after(ttl));
                let is_listed = self.state.core.lock().is_listed();
                if is_listed || !self.was_listed {
                    self.was_listed = is_listed;
                    return Ok(());
                }
                // A registration that the store executed late may be bound to an earlier lease and expire with it.
                log::warn!(lease:%; "registration of this host is missing");
                return self.register(lease, started.after(ttl)).await;
            }
            log::warn!(lease:%; "registration of this host expired");
            self.lease = None;
        }
        let started = self.state.clock.now();
        let lease = store.grant_lease(ttl).await?;
        self.register(lease, started.after(ttl)).await
    }

    async fn register(&mut self, lease: LeaseId, until: MonoTime) -> Result<(), StoreError> {
        let store = self.state.platform.store.clone();
        match store.register_host(&self.state.record, lease).await? {
            WriteOutcome::Written => {
                self.lease = Some(lease);
                self.was_listed = false;
                self.record_lease(until);
                log::info!(lease:%; "host registered");
            }
            outcome => log::warn!(lease:%, outcome:?; "host not registered"),
        }
        Ok(())
    }

    fn record_lease(&self, until: MonoTime) {
        let now = self.state.clock.now();
        self.state.core.lock().set_registered(&self.state.record, until, now);
    }
}

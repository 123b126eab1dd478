//! Control plane of the host.
//!
//! Actors own the store session, the configuration, the membership, the quotas and the rollouts. They exchange messages
//! and publish the state that the request path reads in [`crate::published`]. The peer server and the operator API run
//! as separate tasks.

mod config_actor;
mod head_reader;
mod member_actor;
mod messages;
mod notes;
mod operator;
mod peer_server;
mod planned_service;
mod quota_actor;
mod rollout_actor;
mod session_actor;
mod shared;
mod store;

use std::{sync::Arc, time::Duration};

use ractor::{Actor, ActorRef, SpawnErr, rpc::CallResult};
use sapphireknot::drain::DrainStage;
use sapphireknot_platform::{GrpcHosts, GrpcStore};
use thiserror::Error;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use self::{
    config_actor::{ConfigActor, ConfigArguments},
    member_actor::{MemberActor, MemberArguments},
    operator::{OperatorServer, serve_operators},
    peer_server::{PeerServer, serve_peers},
    quota_actor::{QuotaActor, QuotaArguments},
    rollout_actor::{RolloutActor, RolloutArguments},
    session_actor::{SessionActor, SessionArguments},
    shared::send,
};
pub use self::{
    messages::{ConfigMessage, MemberMessage, PeerObservation},
    notes::{NoteRecord, NoteWriter, SubmitOutcome},
    quota_actor::QuotaMessage,
    rollout_actor::{GatheredRound, RolloutMessage},
    session_actor::SessionMessage,
    shared::{
        ControlShared, EncodedConfig, HEAD_KEY, HolderRecord, PlannerRoles, PlatformClients,
        StoreRecordError, read_record,
    },
    store::{ObservedStore, StoreObservation},
};
use crate::{context::HostContext, interfaces::SharedDeadline, peer::PeerClients};

/// Time allowed for sending the final gossip before the host shuts down.
const FINAL_GOSSIP_DELAY: Duration = Duration::from_millis(200);
/// Timeout of the calls that release the quotas and end the store session at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which shutdown waits for calls in progress on each server.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound listeners of the control servers.
#[derive(Debug)]
pub struct ControlListeners {
    /// Listener for calls from other hosts.
    pub peer: TcpListener,
    /// Listener for the operator API.
    pub operator: TcpListener,
}

/// Error while starting the control modules.
#[derive(Debug, Error)]
pub enum ControlError {
    /// An actor failed to start.
    #[error("failed to start the {actor} actor: {source}")]
    Spawn {
        /// Name of the actor.
        actor: &'static str,
        /// Underlying error.
        source: SpawnErr,
    },
}

/// Handle to the running control modules.
pub struct ControlHandle {
    members: ActorRef<MemberMessage>,
    session: ActorRef<SessionMessage>,
    quota: ActorRef<QuotaMessage>,
    config: ActorRef<ConfigMessage>,
    rollout: ActorRef<RolloutMessage>,
    stopped: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the control modules with clients for the platform addresses in the settings.
pub async fn start(
    context: Arc<HostContext>,
    listeners: ControlListeners,
) -> Result<ControlHandle, ControlError> {
    let platform = &context.settings.platform;
    let limit = context.settings.timing.store_timeout.0;
    let clients = PlatformClients {
        store: Arc::new(GrpcStore::new(platform.store, limit)),
        hosts: Arc::new(GrpcHosts::new(platform.host_list, limit)),
    };
    start_with_platform(context, listeners, clients).await
}

/// Starts the control modules with the given platform clients.
pub async fn start_with_platform(
    context: Arc<HostContext>,
    listeners: ControlListeners,
    clients: PlatformClients,
) -> Result<ControlHandle, ControlError> {
    let timing = &context.settings.timing;
    let peers = Arc::new(PeerClients::new(context.identity.peer_address, timing.peer_timeout.0));
    let shared = Arc::new(ControlShared {
        store: Arc::new(ObservedStore::new(clients.store, context.clock)),
        hosts: clients.hosts,
        context,
        encoded: Default::default(),
        freshness_proof: SharedDeadline::default(),
        watch_role_until: SharedDeadline::default(),
        planner_roles: Default::default(),
    });
    shared.context.claims.connect(peers.clone());
    let arguments = MemberArguments { shared: shared.clone(), peers: peers.clone() };
    let (members, _) = Actor::spawn(None, MemberActor, arguments)
        .await
        .map_err(|source| ControlError::Spawn { actor: "member", source })?;
    let arguments =
        ConfigArguments { shared: shared.clone(), peers: peers.clone(), members: members.clone() };
    let (config, _) = Actor::spawn(None, ConfigActor, arguments)
        .await
        .map_err(|source| ControlError::Spawn { actor: "configuration", source })?;
    send(&members, MemberMessage::ConfigActorStarted(config.clone()));
    let arguments = QuotaArguments { shared: shared.clone(), peers: peers.clone() };
    let (quota, _) = Actor::spawn(None, QuotaActor, arguments)
        .await
        .map_err(|source| ControlError::Spawn { actor: "quota", source })?;
    let arguments = SessionArguments { shared: shared.clone(), quota: quota.clone() };
    let (session, _) = Actor::spawn(None, SessionActor, arguments)
        .await
        .map_err(|source| ControlError::Spawn { actor: "session", source })?;

    let arguments =
        RolloutArguments { shared: shared.clone(), peers: peers.clone(), members: members.clone() };
    let (rollout, _) = Actor::spawn(None, RolloutActor, arguments)
        .await
        .map_err(|source| ControlError::Spawn { actor: "rollout", source })?;
    let (stopped, _) = watch::channel(false);
    let server = PeerServer::new(shared.clone(), peers, members.clone());
    let peer_stop = wait_for_stop(stopped.subscribe());
    let peer_task = tokio::spawn(async move {
        if let Err(err) = serve_peers(server, listeners.peer, peer_stop).await {
            log::error!("peer server failed: {err}");
        }
    });
    let writer = NoteWriter::new(shared.clone());
    let server = Arc::new(OperatorServer::new(shared.clone(), writer, config.clone()));
    let operator_stop = wait_for_stop(stopped.subscribe());
    let operator_task = tokio::spawn(serve_operators(server, listeners.operator, operator_stop));
    let tasks = vec![
        tokio::spawn(head_reader::poll_head(shared.clone(), config.clone())),
        tokio::spawn(head_reader::watch_head(shared.clone(), config.clone())),
        tokio::spawn(member_actor::poll_host_list(shared.clone(), members.clone())),
        tokio::spawn(rollout_actor::forward_trips(shared.clone(), rollout.clone())),
        tokio::spawn(member_actor::forward_drain_stages(shared, members.clone())),
    ];
    let servers = vec![peer_task, operator_task];
    Ok(ControlHandle { members, session, quota, config, rollout, stopped, servers, tasks })
}

async fn wait_for_stop(mut stopped: watch::Receiver<bool>) {
    // An error means that the handle was dropped, which also stops the servers.
    let _ = stopped.wait_for(|it| *it).await;
}

impl ControlHandle {
    /// Stops gracefully: releases quotas, roles and leases, announces the departure to peers, and stops all tasks.
    pub async fn stop(self) {
        let has_lent_shares = match self.quota.call(QuotaMessage::Stop, Some(RELEASE_TIMEOUT)).await
        {
            Ok(CallResult::Success(has_lent_shares)) => has_lent_shares,
            // Without a reply, parts of the grants may still be lent, so the leases behind them must not be revoked.
            result => {
                log::warn!("failed to release quotas: {result:?}");
                true
            }
        };
        let end = |port| SessionMessage::End { has_lent_shares, port };
        if let Err(err) = self.session.call(end, Some(RELEASE_TIMEOUT)).await {
            log::warn!("failed to end the store session: {err}");
        }
        send(&self.members, MemberMessage::DrainStageChanged(DrainStage::Ended));
        tokio::time::sleep(FINAL_GOSSIP_DELAY).await;
        self.stopped.send_replace(true);
        for mut server in self.servers {
            if tokio::time::timeout(SERVER_STOP_TIMEOUT, &mut server).await.is_err() {
                server.abort();
            }
        }
        for task in self.tasks {
            task.abort();
        }
        self.session.stop(None);
        self.quota.stop(None);
        self.config.stop(None);
        self.rollout.stop(None);
        self.members.stop(None);
    }

    /// Stops at once, like a killed process: releases nothing and notifies no peer.
    pub fn abort(self) {
        for task in self.tasks.into_iter().chain(self.servers) {
            task.abort();
        }
        let actors = [
            self.session.get_cell(),
            self.quota.get_cell(),
            self.config.get_cell(),
            self.rollout.get_cell(),
            self.members.get_cell(),
        ];
        for actor in actors {
            actor.kill();
        }
    }
}

//! Member actor.
//!
//! The actor owns the member table, executes its actions as calls to peers, and publishes the members for the request
//! path. Calls run in separate tasks, so that an unresponsive peer does not block the mailbox.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use sapphireknot::{
    drain::DrainStage,
    ids::{ConfigGeneration, HostId, IncarnationId},
    membership::{
        MemberAction, MemberEvent, MemberRecord, MemberSettings, MemberState, MemberTable,
    },
    time::MonoTime,
};
use sapphireknot_platform::ListedHost;
use sapphireknot_wire::peer::{Gossip, StoreReport};

use super::{
    messages::{ConfigMessage, MemberMessage, PeerObservation},
    shared::{ActorResult, ControlShared, send},
};
use crate::peer::{
    PeerClients,
    convert::{GossipView, gossip_from_wire, member_to_wire},
    rollout_updates_to_wire,
};

/// Interval at which the deadlines of the member table are checked.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the platform's host list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval while this host knows no other one, since the list may then be its only way to discover others.
const ISOLATED_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a failed or departed host is removed from the table.
const RETENTION: Duration = Duration::from_secs(600);
/// Number of peers that receive rollout updates at once; this reaches twelve hosts within three exchanges.
const ANNOUNCE_FANOUT: usize = 3;
/// Largest number of hosts in the store's region that are asked per interval while proofs are overdue.
const MAX_QUERIED_PEERS: usize = 16;

/// Actor that owns the member table.
pub(super) struct MemberActor;

/// Start arguments of the member actor.
pub(super) struct MemberArguments {
    /// State shared by the control modules.
    pub shared: Arc<ControlShared>,
    /// gRPC clients for other hosts.
    pub peers: Arc<PeerClients>,
}

/// State of the member actor.
pub(super) struct MemberActorState {
    shared: Arc<ControlShared>,
    peers: Arc<PeerClients>,
    config: Option<ActorRef<ConfigMessage>>,
    table: MemberTable,
    published_revision: Option<u64>,
    rng: StdRng,
}

#[ractor::async_trait]
impl Actor for MemberActor {
    type Msg = MemberMessage;
    type State = MemberActorState;
    type Arguments = MemberArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<MemberMessage>,
        arguments: MemberArguments,
    ) -> Result<MemberActorState, ActorProcessingErr> {
        let MemberArguments { shared, peers } = arguments;
        let timing = &shared.context.settings.timing;
        myself.send_interval(timing.gossip_interval.0, || MemberMessage::ProbeDue);
        myself.send_interval(timing.gossip_interval.0 / 2, || MemberMessage::StoreReportsDue);
        myself.send_interval(TICK, || MemberMessage::Tick);
        let settings = MemberSettings { suspicion: timing.suspicion.0, retention: RETENTION };
        let table = MemberTable::new(settings, own_record(&shared));
        let rng = StdRng::seed_from_u64(rand::random());
        let mut state =
            MemberActorState { shared, peers, config: None, table, published_revision: None, rng };
        state.publish();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<MemberMessage>,
        message: MemberMessage,
        state: &mut MemberActorState,
    ) -> ActorResult {
        match message {
            MemberMessage::Exchange(view, port) => {
                let peer = view.sender.id.clone();
                if let Some(config) = &state.config {
                    send(
                        config,
                        ConfigMessage::PeerObserved(Box::new(peer_observation(&view, None))),
                    );
                }
                state.apply_gossip(&myself, *view);
                let gossip = state.build_gossip(Some(&peer));
                if port.send(gossip).is_err() {
                    log::debug!("host {peer} no longer waits for gossip");
                }
            }
            MemberMessage::BuildGossip(port) => {
                let gossip = state.build_gossip(None);
                if port.send(gossip).is_err() {
                    log::debug!("the caller no longer waits for gossip");
                }
            }
            MemberMessage::GossipReceived(view) => state.apply_gossip(&myself, *view),
            MemberMessage::ProbeFailed { target, incarnation, is_indirect: false } => {
                state.apply(&myself, MemberEvent::DirectProbeFailed { target, incarnation });
            }
            MemberMessage::ProbeFailed { target, incarnation, is_indirect: true } => {
                state.apply(&myself, MemberEvent::IndirectProbeFailed { target, incarnation });
            }
            MemberMessage::HostsListed(hosts) => {
                let records = hosts.into_iter().map(record_of_listed).collect();
                state.apply(&myself, MemberEvent::Seeded(records));
            }
            MemberMessage::Installed(generation) => {
                state.apply(&myself, MemberEvent::Installed(generation));
            }
            MemberMessage::ServersDrained(generation) => {
                state.apply(&myself, MemberEvent::Drained(generation));
            }
            MemberMessage::Announce => state.announce(&myself),
            MemberMessage::ConfigActorStarted(config) => state.config = Some(config),
            MemberMessage::ProbeDue => {
                state.apply(&myself, MemberEvent::ProbeDue);
                state.contact_seeds(&myself);
            }
            MemberMessage::StoreReportsDue => state.request_store_reports(&myself),
            MemberMessage::Tick => state.apply(&myself, MemberEvent::TimePassed),
            MemberMessage::DrainStageChanged(DrainStage::Serving) => {}
            MemberMessage::DrainStageChanged(DrainStage::Leaving | DrainStage::Closing) => {
                state.apply(&myself, MemberEvent::LeaveBegan);
            }
            MemberMessage::DrainStageChanged(DrainStage::Ended) => {
                state.apply(&myself, MemberEvent::LeaveEnded);
            }
        }
        state.publish();
        Ok(())
    }
}

impl MemberActorState {
    fn apply(&mut self, myself: &ActorRef<MemberMessage>, event: MemberEvent) {
        let now = self.shared.context.clock.now();
        for action in self.table.handle(now, event, &mut self.rng) {
            match action {
                MemberAction::Probe(target) => self.probe(myself, target),
                MemberAction::ProbeVia { target, delegates } => {
                    self.probe_via(myself, target, delegates);
                }
                MemberAction::Notify(peers) => {
                    for peer in peers {
                        self.exchange(myself, peer.peer_address, Some(&peer.id), None);
                    }
                }
            }
        }
    }

    fn apply_gossip(&mut self, myself: &ActorRef<MemberMessage>, view: GossipView) {
        let GossipView { sender, members, rollout_updates, .. } = view;
        if self.shared.context.rollouts.merge(&rollout_updates) {
            self.announce(myself);
        }
        self.apply(myself, MemberEvent::MessageReceived { sender: Box::new(sender), members });
    }

    /// Exchanges gossip with a few random hosts of all regions; each of them does the same if the updates are new to
    /// it.
    fn announce(&mut self, myself: &ActorRef<MemberMessage>) {
        let own = self.table.own().id.clone();
        let members = self.table.members();
        let others = members.into_iter().filter(|it| it.state.is_live() && it.id != own);
        for peer in others.sample(&mut self.rng, ANNOUNCE_FANOUT) {
            self.exchange(myself, peer.peer_address, Some(&peer.id), None);
        }
    }

    fn build_gossip(&mut self, peer: Option<&HostId>) -> Gossip {
        let records = self.table.updates_for(peer, &mut self.rng);
        let sent = records.iter().map(|it| it.id.clone()).collect();
        let now = self.shared.context.clock.now();
        self.table.handle(now, MemberEvent::UpdatesSent(sent), &mut self.rng);
        // Read before the generation, so that the generation sent is not older than the one that the proof covers.
        let proof = self.shared.freshness_proof();
        let to_micros = |age: Duration| u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let (rollouts, trips) = rollout_updates_to_wire(&self.shared.context.rollouts.updates());
        Gossip {
            rollouts,
            trips,
            sender: Some(member_to_wire(self.table.own())),
            members: records.iter().map(member_to_wire).collect(),
            generation: self.shared.generation().0,
            freshness_age_us: proof.map(|it| to_micros(now.since(it))),
            store: self.shared.store.report(proof).map(|it| StoreReport {
                down: it.is_down,
                age_us: to_micros(now.since(it.observed)),
            }),
            ..Gossip::default()
        }
    }

    /// Exchanges gossip with the host at `address`; reports a failed probe of `target` if it does not answer.
    fn exchange(
        &mut self,
        myself: &ActorRef<MemberMessage>,
        address: SocketAddr,
        peer: Option<&HostId>,
        target: Option<(HostId, IncarnationId)>,
    ) {
        let gossip = self.build_gossip(peer);
        let (shared, peers) = (self.shared.clone(), self.peers.clone());
        let (myself, config) = (myself.clone(), self.config.clone());
        tokio::spawn(async move {
            let sent = shared.context.clock.now();
            let reply = peers.exchange(address, gossip).await;
            let view = reply.map_err(|err| err.to_string()).and_then(|reply| {
                gossip_from_wire(reply.gossip.as_ref()).map_err(|err| err.to_string())
            });
            // A reply of another host at the same address does not show that the target is alive.
            let view = view.and_then(|view| match &target {
                Some((id, _)) if *id != view.sender.id => {
                    Err(format!("host {} answers at the address of host {id}", view.sender.id))
                }
                _ => Ok(view),
            });
            match (view, target) {
                (Ok(view), _) => {
                    if let Some(config) = &config {
                        let observation = Box::new(peer_observation(&view, Some(sent)));
                        send(config, ConfigMessage::PeerObserved(observation));
                    }
                    send(&myself, MemberMessage::GossipReceived(Box::new(view)));
                }
                (Err(err), Some((target, incarnation))) => {
                    log::debug!("failed to probe host {target}: {err}");
                    let missed =
                        MemberMessage::ProbeFailed { target, incarnation, is_indirect: false };
                    send(&myself, missed);
                }
                (Err(err), None) => log::debug!("failed to exchange gossip with {address}: {err}"),
            }
        });
    }

    fn probe(&mut self, myself: &ActorRef<MemberMessage>, target: MemberRecord) {
        let run = (target.id.clone(), target.incarnation);
        self.exchange(myself, target.peer_address, Some(&target.id), Some(run));
    }

    fn probe_via(
        &self,
        myself: &ActorRef<MemberMessage>,
        target: MemberRecord,
        delegates: Vec<MemberRecord>,
    ) {
        let (peers, myself) = (self.peers.clone(), myself.clone());
        tokio::spawn(async move {
            let probes = delegates.iter().map(|it| peers.probe_via(it.peer_address, &target));
            let answers = join_all(probes).await;
            if !answers.iter().any(|it| matches!(it, Ok(true))) {
                let MemberRecord { id, incarnation, .. } = target;
                let missed =
                    MemberMessage::ProbeFailed { target: id, incarnation, is_indirect: true };
                send(&myself, missed);
            }
        });
    }

    /// Contacts the seed addresses in the settings while no other host is known.
    fn contact_seeds(&mut self, myself: &ActorRef<MemberMessage>) {
        if self.table.members().iter().filter(|it| it.state.is_live()).count() > 1 {
            return;
        }
        let own = self.shared.context.identity.peer_address;
        for address in self.shared.context.settings.seeds.clone() {
            if address != own {
                self.exchange(myself, address, None, None);
            }
        }
    }

    /// Asks hosts in the store's region while proofs are overdue: first one host for its proof, then up to
    /// [`MAX_QUERIED_PEERS`] for their reports on the store.
    ///
    /// A report is valid for 2 s and up to 1 s old when it is sent, so it has to be requested every half second.
    fn request_store_reports(&mut self, myself: &ActorRef<MemberMessage>) {
        let context = self.shared.context.clone();
        let freshness = context.settings.timing.key_freshness.0;
        let now = context.clock.now();
        let age = self.shared.freshness_proof().map_or(Duration::MAX, |it| now.since(it));
        // The reports also decide whether surplus quota is kept. It expires as early as 3.4 s after the start of an
        // outage, so they are needed as soon as the store does not answer this host.
        let is_store_down = self.shared.store.observation().is_some_and(|it| it.is_down);
        let count = if is_store_down || age >= freshness * 3 / 5 {
            MAX_QUERIED_PEERS
        } else if age >= freshness * 2 / 5 {
            1
        } else {
            return;
        };
        let region = &context.settings.platform.store_region;
        let reporters = self.table.random_peers_in(region, count, &mut self.rng);
        for reporter in reporters {
            self.exchange(myself, reporter.peer_address, Some(&reporter.id), None);
        }
    }

    /// Publishes the members if the table has changed since they were last published.
    fn publish(&mut self) {
        if self.published_revision != Some(self.table.revision()) {
            self.published_revision = Some(self.table.revision());
            self.shared.context.publish_members(self.table.members());
        }
    }
}

fn peer_observation(view: &GossipView, request_sent: Option<MonoTime>) -> PeerObservation {
    PeerObservation {
        peer: view.sender.clone(),
        request_sent,
        generation: view.generation,
        proof_age: view.proof_age,
        store_report: view.store_report,
    }
}

fn own_record(shared: &ControlShared) -> MemberRecord {
    let identity = &shared.context.identity;
    MemberRecord {
        id: identity.id.clone(),
        region: identity.region.clone(),
        datacentre: identity.datacentre.clone(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        incarnation: identity.incarnation,
        state: MemberState::Alive,
        generation: shared.generation(),
        drained: ConfigGeneration(0),
        load_permille: 0,
        version: 1,
    }
}

/// Builds the record of a listed host, which is replaced by the first record that the host sends about itself.
fn record_of_listed(host: ListedHost) -> MemberRecord {
    MemberRecord {
        id: host.id,
        region: host.region,
        datacentre: host.datacentre,
        peer_address: host.peer_address,
        caller_address: host.caller_address,
        incarnation: IncarnationId(0),
        state: if host.leaving { MemberState::Leaving } else { MemberState::Alive },
        generation: ConfigGeneration(0),
        drained: ConfigGeneration(0),
        load_permille: 0,
        version: 0,
    }
}

/// Polls the platform's host list. Runs until the task is aborted.
pub(super) async fn poll_host_list(shared: Arc<ControlShared>, members: ActorRef<MemberMessage>) {
    loop {
        match shared.hosts.list_hosts().await {
            Ok(hosts) => send(&members, MemberMessage::HostsListed(hosts)),
            Err(err) => log::debug!("failed to read the host list: {err}"),
        }
        let live = shared.context.members.load().iter().filter(|it| it.state.is_live()).count();
        tokio::time::sleep(if live > 1 { LIST_INTERVAL } else { ISOLATED_LIST_INTERVAL }).await;
    }
}

/// Forwards the stages of the graceful shutdown to the member actor. Runs until the task is aborted.
pub(super) async fn forward_drain_stages(
    shared: Arc<ControlShared>,
    members: ActorRef<MemberMessage>,
) {
    let mut stages = shared.context.drain.subscribe();
    loop {
        let stage = *stages.borrow_and_update();
        send(&members, MemberMessage::DrainStageChanged(stage));
        if stages.changed().await.is_err() {
            return;
        }
    }
}

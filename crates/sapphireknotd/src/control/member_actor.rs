//! Members.
//!
//! The actor owns the member table, runs its actions as calls to peers, and publishes the members for requests. Calls
//! run in tasks of their own, so that a silent peer does not hold up the mailbox.

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
    messages::{ConfigMessage, MemberMessage, PeerEvidence},
    shared::{ActorResult, ControlShared, send},
};
use crate::peer::{
    PeerClients,
    convert::{GossipView, gossip_from_wire, member_to_wire},
    news_to_wire,
};

/// Interval at which deadlines of the table are checked.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which the platform's host list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The same while this host knows no other one, since it can learn of others only there.
const ALONE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a host that is gone is forgotten.
const RETENTION: Duration = Duration::from_secs(600);
/// Hosts that are told of news at once; twelve hosts know them after three exchanges.
const ANNOUNCED_PEERS: usize = 3;
/// Hosts of the store's region that are asked at each interval while proofs are overdue.
const MAX_REPORTERS: usize = 16;

/// Member actor.
pub(super) struct MemberActor;

/// What the actor needs.
pub(super) struct MemberArguments {
    /// Shared state.
    pub shared: Arc<ControlShared>,
    /// Clients of peers.
    pub peers: Arc<PeerClients>,
}

/// State of the actor.
pub(super) struct MemberActorState {
    shared: Arc<ControlShared>,
    peers: Arc<PeerClients>,
    config: Option<ActorRef<ConfigMessage>>,
    table: MemberTable,
    published: Option<u64>,
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
        myself.send_interval(timing.gossip_interval.0 / 2, || MemberMessage::ReportsDue);
        myself.send_interval(TICK, || MemberMessage::Tick);
        let settings = MemberSettings { suspicion: timing.suspicion.0, retention: RETENTION };
        let table = MemberTable::new(settings, own_record(&shared));
        let rng = StdRng::seed_from_u64(rand::random());
        let mut state =
            MemberActorState { shared, peers, config: None, table, published: None, rng };
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
                    send(config, ConfigMessage::PeerHeard(Box::new(evidence(&view, None))));
                }
                state.apply_heard(&myself, *view);
                let gossip = state.make_gossip(Some(&peer));
                if port.send(gossip).is_err() {
                    log::debug!("host {peer} no longer waits for gossip");
                }
            }
            MemberMessage::MakeGossip(port) => {
                let gossip = state.make_gossip(None);
                if port.send(gossip).is_err() {
                    log::debug!("the caller no longer waits for gossip");
                }
            }
            MemberMessage::Replied(view) => state.apply_heard(&myself, *view),
            MemberMessage::Missed { target, incarnation, is_indirect: false } => {
                state.apply(&myself, MemberEvent::DirectProbeFailed { target, incarnation });
            }
            MemberMessage::Missed { target, incarnation, is_indirect: true } => {
                state.apply(&myself, MemberEvent::IndirectProbeFailed { target, incarnation });
            }
            MemberMessage::Listed(hosts) => {
                let records = hosts.into_iter().map(listed_record).collect();
                state.apply(&myself, MemberEvent::Seeded(records));
            }
            MemberMessage::Installed(generation) => {
                state.apply(&myself, MemberEvent::Installed(generation));
            }
            MemberMessage::Drained(generation) => {
                state.apply(&myself, MemberEvent::Drained(generation));
            }
            MemberMessage::Announce => state.announce(&myself),
            MemberMessage::Connected(config) => state.config = Some(config),
            MemberMessage::ProbeDue => {
                state.apply(&myself, MemberEvent::ProbeDue);
                state.ask_seeds(&myself);
            }
            MemberMessage::ReportsDue => state.ask_reporters(&myself),
            MemberMessage::Tick => state.apply(&myself, MemberEvent::TimePassed),
            MemberMessage::Drain(DrainStage::Serving) => {}
            MemberMessage::Drain(DrainStage::Leaving | DrainStage::Closing) => {
                state.apply(&myself, MemberEvent::LeaveBegan);
            }
            MemberMessage::Drain(DrainStage::Ended) => {
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

    fn apply_heard(&mut self, myself: &ActorRef<MemberMessage>, view: GossipView) {
        let GossipView { sender, members, news, .. } = view;
        if self.shared.context.rollouts.merge(&news) {
            self.announce(myself);
        }
        self.apply(myself, MemberEvent::MessageReceived { sender: Box::new(sender), members });
    }

    /// Exchanges gossip with a few hosts of all regions; each of them does so in turn if it learns something new.
    fn announce(&mut self, myself: &ActorRef<MemberMessage>) {
        let own = self.table.own().id.clone();
        let members = self.table.members();
        let others = members.into_iter().filter(|it| it.state.is_live() && it.id != own);
        for peer in others.sample(&mut self.rng, ANNOUNCED_PEERS) {
            self.exchange(myself, peer.peer_address, Some(&peer.id), None);
        }
    }

    fn make_gossip(&mut self, peer: Option<&HostId>) -> Gossip {
        let records = self.table.updates_for(peer, &mut self.rng);
        let sent = records.iter().map(|it| it.id.clone()).collect();
        let now = self.shared.context.clock.now();
        self.table.handle(now, MemberEvent::UpdatesSent(sent), &mut self.rng);
        // Read before the generation, so that the generation is at least the one that the proof showed.
        let proof = self.shared.proof();
        let micros = |age: Duration| u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let (rollouts, trips) = news_to_wire(&self.shared.context.rollouts.news());
        Gossip {
            rollouts,
            trips,
            sender: Some(member_to_wire(self.table.own())),
            members: records.iter().map(member_to_wire).collect(),
            generation: self.shared.generation().0,
            freshness_age_us: proof.map(|it| micros(now.since(it))),
            store: self
                .shared
                .store
                .report(proof)
                .map(|it| StoreReport { down: it.is_down, age_us: micros(now.since(it.observed)) }),
            ..Gossip::default()
        }
    }

    /// Exchanges gossip; reports `target` as missed if it does not answer.
    fn exchange(
        &mut self,
        myself: &ActorRef<MemberMessage>,
        address: SocketAddr,
        peer: Option<&HostId>,
        target: Option<(HostId, IncarnationId)>,
    ) {
        let gossip = self.make_gossip(peer);
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
                        let evidence = Box::new(evidence(&view, Some(sent)));
                        send(config, ConfigMessage::PeerHeard(evidence));
                    }
                    send(&myself, MemberMessage::Replied(Box::new(view)));
                }
                (Err(err), Some((target, incarnation))) => {
                    log::debug!("probe host {target}: {err}");
                    let missed = MemberMessage::Missed { target, incarnation, is_indirect: false };
                    send(&myself, missed);
                }
                (Err(err), None) => log::debug!("exchange with {address}: {err}"),
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
            let asks = delegates.iter().map(|it| peers.probe_via(it.peer_address, &target));
            let answers = join_all(asks).await;
            if !answers.iter().any(|it| matches!(it, Ok(true))) {
                let MemberRecord { id, incarnation, .. } = target;
                let missed = MemberMessage::Missed { target: id, incarnation, is_indirect: true };
                send(&myself, missed);
            }
        });
    }

    /// Joins by the addresses in the settings while no other host is known.
    fn ask_seeds(&mut self, myself: &ActorRef<MemberMessage>) {
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

    /// Asks the store's region while proofs are overdue: one host for its proof, and later all for their reports.
    ///
    /// A report counts for 2 s and is up to 1 s old when it is told, so that it has to be asked for every half second.
    fn ask_reporters(&mut self, myself: &ActorRef<MemberMessage>) {
        let context = self.shared.context.clone();
        let freshness = context.settings.timing.key_freshness.0;
        let now = context.clock.now();
        let age = self.shared.proof().map_or(Duration::MAX, |it| now.since(it));
        // The reports also decide whether surplus is kept. It lapses as early as 3.4 s after an outage began, so they are
        // needed as soon as the store does not answer this host.
        let is_silent = self.shared.store.observation().is_some_and(|it| it.is_down);
        let count = if is_silent || age >= freshness * 3 / 5 {
            MAX_REPORTERS
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

    /// Publishes the members if they may have changed since the last time.
    fn publish(&mut self) {
        if self.published != Some(self.table.revision()) {
            self.published = Some(self.table.revision());
            self.shared.context.publish_members(self.table.members());
        }
    }
}

fn evidence(view: &GossipView, sent: Option<MonoTime>) -> PeerEvidence {
    PeerEvidence {
        peer: view.sender.clone(),
        sent,
        generation: view.generation,
        proof_age: view.proof_age,
        report: view.report,
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

/// A listed host before it was heard; anything that it tells of itself replaces this.
fn listed_record(host: ListedHost) -> MemberRecord {
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

/// Reads the platform's host list again and again, for as long as the task runs.
pub(super) async fn list_hosts(shared: Arc<ControlShared>, members: ActorRef<MemberMessage>) {
    loop {
        match shared.hosts.list_hosts().await {
            Ok(hosts) => send(&members, MemberMessage::Listed(hosts)),
            Err(err) => log::debug!("read the host list: {err}"),
        }
        let live = shared.context.members.load().iter().filter(|it| it.state.is_live()).count();
        tokio::time::sleep(if live > 1 { LIST_INTERVAL } else { ALONE_INTERVAL }).await;
    }
}

/// Follows the stages of the graceful shutdown, for as long as the task runs.
pub(super) async fn follow_drain(shared: Arc<ControlShared>, members: ActorRef<MemberMessage>) {
    let mut stages = shared.context.drain.subscribe();
    loop {
        let stage = *stages.borrow_and_update();
        send(&members, MemberMessage::Drain(stage));
        if stages.changed().await.is_err() {
            return;
        }
    }
}

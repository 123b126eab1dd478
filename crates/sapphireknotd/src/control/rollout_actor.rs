//! Rollout actor.
//!
//! The actor advances the traffic shares of this host, announces trips to peers at once, and plans the services whose
//! planner role this host holds. A planning round reads the rollout state from the store and the counts of all live
//! hosts, decides, and writes the decision by compare-and-swap. A state is announced only after the store confirmed the
//! write or a read returned it; after any other outcome the next round reads the state again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use sapphireknot::{
    ids::{ConfigGeneration, FencingToken, HostId, PlanId, ServiceId},
    membership::MemberRecord,
    rollout::{PlannerAction, RolloutState, ShareNotice},
    time::{MonoTime, WallTime},
};
use sapphireknot_platform::{KeyValueStore, StoreRevision, StoredEntry, SwapOutcome, SwapWrite};

use super::{
    messages::MemberMessage,
    planned_service::{EvidenceRound, PlannedService},
    shared::{ActorResult, ControlShared, StoreRecordError, read_record, send},
};
use crate::{
    peer::{PeerClients, PeerCounts},
    rollout::RolloutUpdates,
};

/// Interval at which shares and drains are advanced.
const TICK: Duration = Duration::from_millis(100);
/// Number of gossip intervals without a decision on a plan after which a host reads the store.
const UNDECIDED_EXCHANGES: u32 = 3;

/// Message to the rollout actor.
#[derive(Debug)]
pub enum RolloutMessage {
    /// Advances shares and drains.
    Tick,
    /// A version tripped on this host.
    Tripped,
    /// The next planning round is due.
    PlanDue,
    /// The state and the counts for a planning round were collected.
    RoundGathered(Box<GatheredRound>),
    /// Writing a state to the store ended.
    StateWritten {
        /// Service of the state.
        service: ServiceId,
        /// Written state, if the store confirmed it.
        state: Option<Box<RolloutState>>,
    },
    /// The store was read for a service without a known decision.
    StateRead {
        /// Service of the state.
        service: ServiceId,
        /// State in the store, if there is one.
        state: Result<Option<RolloutState>, StoreRecordError>,
    },
}

/// Input of a planning round.
#[derive(Debug)]
pub struct GatheredRound {
    service: ServiceId,
    plan: PlanId,
    token: FencingToken,
    /// Revision and state read from the store.
    stored: Result<(StoreRevision, Option<RolloutState>), StoreRecordError>,
    /// Counts per host, with the time just before the host was queried.
    counts: Vec<(HostId, MonoTime, PeerCounts)>,
    live: Vec<HostId>,
}

/// Actor that advances the rollouts on this host and plans those for which it holds the role.
pub(super) struct RolloutActor;

/// Start arguments of the rollout actor.
pub(super) struct RolloutArguments {
    /// State shared by the control modules.
    pub shared: Arc<ControlShared>,
    /// gRPC clients for other hosts.
    pub peers: Arc<PeerClients>,
    /// Member actor, which announces rollout updates to peers.
    pub members: ActorRef<MemberMessage>,
}

/// State of the rollout actor.
pub(super) struct RolloutActorState {
    arguments: RolloutArguments,
    planned: BTreeMap<ServiceId, PlannedService>,
    /// Services with a planning round or a write in progress.
    in_progress: BTreeSet<ServiceId>,
    /// Services whose state is being read.
    reading: BTreeSet<ServiceId>,
    /// Generation that was last reported as drained.
    drained: ConfigGeneration,
}

#[ractor::async_trait]
impl Actor for RolloutActor {
    type Msg = RolloutMessage;
    type State = RolloutActorState;
    type Arguments = RolloutArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<RolloutMessage>,
        arguments: RolloutArguments,
    ) -> Result<RolloutActorState, ActorProcessingErr> {
        let interval = arguments.shared.context.settings.timing.evidence_interval.0;
        myself.send_interval(TICK, || RolloutMessage::Tick);
        myself.send_interval(interval, || RolloutMessage::PlanDue);
        Ok(RolloutActorState {
            arguments,
            planned: BTreeMap::new(),
            in_progress: BTreeSet::new(),
            reading: BTreeSet::new(),
            drained: ConfigGeneration(0),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<RolloutMessage>,
        message: RolloutMessage,
        state: &mut RolloutActorState,
    ) -> ActorResult {
        match message {
            RolloutMessage::Tick => {
                state.shared().context.rollouts.advance();
                state.read_undecided_services(&myself);
                state.report_drained();
            }
            RolloutMessage::Tripped => send(&state.arguments.members, MemberMessage::Announce),
            RolloutMessage::PlanDue => state.start_rounds(&myself),
            RolloutMessage::RoundGathered(round) => state.decide(&myself, *round),
            RolloutMessage::StateWritten { service, state: written } => {
                state.in_progress.remove(&service);
                if let Some(written) = written {
                    state.apply_state(&service, &written);
                }
            }
            RolloutMessage::StateRead { service, state: read } => {
                state.reading.remove(&service);
                match read {
                    Ok(Some(read)) => state.apply_state(&service, &read),
                    Ok(None) => {}
                    Err(err) => log::debug!("failed to read the rollout of {service}: {err}"),
                }
            }
        }
        Ok(())
    }
}

impl RolloutActorState {
    fn shared(&self) -> &Arc<ControlShared> {
        &self.arguments.shared
    }

    /// Applies a state that the store holds, and announces it to peers if it is new.
    fn apply_state(&self, service: &ServiceId, state: &RolloutState) {
        let notices = vec![(service.clone(), ShareNotice::from(state))];
        let updates = RolloutUpdates { notices, trips: Vec::new() };
        if self.shared().context.rollouts.merge(&updates) {
            send(&self.arguments.members, MemberMessage::Announce);
        }
    }

    /// Reports through the member actor that the leaving servers of a generation are drained.
    fn report_drained(&mut self) {
        let drained = self.shared().context.rollouts.drained_generation();
        if let Some(generation) = drained.filter(|it| *it != self.drained) {
            self.drained = generation;
            send(&self.arguments.members, MemberMessage::ServersDrained(generation));
        }
    }

    /// Reads the state of plans on which no peer has sent a decision, such as after a restart of all hosts.
    fn read_undecided_services(&mut self, myself: &ActorRef<RolloutMessage>) {
        let context = &self.arguments.shared.context;
        let span = context.settings.timing.gossip_interval.0 * UNDECIDED_EXCHANGES;
        for service in context.rollouts.undecided_services(span) {
            if !self.reading.insert(service.clone()) {
                continue;
            }
            let (shared, myself) = (self.shared().clone(), myself.clone());
            tokio::spawn(async move {
                let state = read_state(&shared, &service).await.map(|it| it.1);
                // The delay limits the read rate while no planner has written a state.
                tokio::time::sleep(span).await;
                send(&myself, RolloutMessage::StateRead { service, state });
            });
        }
    }

    fn start_rounds(&mut self, myself: &ActorRef<RolloutMessage>) {
        let shared = self.shared().clone();
        let now = shared.context.clock.now();
        let roles = shared.planner_roles.load();
        let config = shared.context.config.load_full();
        let Some(config) = config else { return };
        self.planned.retain(|id, _| roles.token(id, now).is_some());
        for (service, token) in &roles.tokens {
            let entry = config.routes.service(service).filter(|it| it.traffic.is_some());
            let Some(entry) = entry.filter(|_| now < roles.usable_until) else { continue };
            if self.in_progress.contains(service) {
                continue;
            }
            let Some(plan) = &entry.traffic else { continue };
            let timing = shared.context.settings.timing.rollout();
            let is_same =
                self.planned.get(service).is_some_and(|it| it.matches(entry, plan, *token));
            if !is_same {
                let planned = PlannedService::new(entry, plan, *token, timing);
                self.planned.insert(service.clone(), planned);
            }
            self.in_progress.insert(service.clone());
            let (peers, myself) = (self.arguments.peers.clone(), myself.clone());
            let (shared, service) = (shared.clone(), service.clone());
            let (plan, token) = (plan.id.clone(), *token);
            tokio::spawn(async move {
                let round = gather_round(&shared, &peers, service, plan, token).await;
                send(&myself, RolloutMessage::RoundGathered(Box::new(round)));
            });
        }
    }

    fn decide(&mut self, myself: &ActorRef<RolloutMessage>, round: GatheredRound) {
        let GatheredRound { service, plan, token, stored, counts, live } = round;
        let shared = self.shared().clone();
        let context = &shared.context;
        self.in_progress.remove(&service);
        let planned =
            self.planned.get_mut(&service).filter(|it| it.plan().id == plan && it.token() == token);
        let Some(planned) = planned else { return };
        let (now, wall) = (context.clock.now(), context.clock.wall());
        let max_age = context.settings.timing.evidence_age.0;
        let (revision, state) = match stored {
            Ok((revision, state)) => (Some(revision), state),
            Err(err) => {
                log::debug!("failed to read the rollout of {service}: {err}");
                (None, None)
            }
        };
        let trips = context.rollouts.trips(&service);
        let round = EvidenceRound { counts, live_hosts: live, now };
        planned.record_round(state.as_ref().filter(|_| revision.is_some()), round);
        let rejection = planned.rejection_notice(&context.identity.id);
        let action =
            revision.map(|it| (it, planned.decide(state.as_ref(), &trips, max_age, now, wall)));
        if let Some(state) = &state {
            self.apply_state(&service, state);
        }
        let Some((revision, action)) = action else {
            // While the store is unreachable, a rejection is announced as a trip, so that all hosts roll the version
            // back.
            if let Some(trip) = rejection {
                let updates = RolloutUpdates { notices: Vec::new(), trips: vec![(service, trip)] };
                if context.rollouts.merge(&updates) {
                    send(&self.arguments.members, MemberMessage::Announce);
                }
            }
            return;
        };
        match action {
            PlannerAction::Hold { reason } => {
                context.rollouts.set_hold_reason(&service, &plan, Some(reason));
            }
            PlannerAction::Write { state, send_before, .. } => {
                context.rollouts.set_hold_reason(&service, &plan, None);
                self.in_progress.insert(service.clone());
                let myself = myself.clone();
                tokio::spawn(async move {
                    let written =
                        write_state(&shared, &service, revision, &state, send_before).await;
                    let state = written.then(|| Box::new(state));
                    send(&myself, RolloutMessage::StateWritten { service, state });
                });
            }
        }
    }
}

fn state_key(service: &ServiceId) -> String {
    format!("rollout/{service}")
}

async fn read_state(
    shared: &ControlShared,
    service: &ServiceId,
) -> Result<(StoreRevision, Option<RolloutState>), StoreRecordError> {
    let entry: Option<StoredEntry> = shared.store.get(&state_key(service)).await?;
    match entry {
        Some(entry) => Ok((entry.revision, Some(read_record(&entry)?))),
        None => Ok((StoreRevision::ABSENT, None)),
    }
}

/// Reads the state from the store and fetches the counts of all live hosts.
async fn gather_round(
    shared: &ControlShared,
    peers: &PeerClients,
    service: ServiceId,
    plan: PlanId,
    token: FencingToken,
) -> GatheredRound {
    let context = &shared.context;
    let members = context.members.load_full();
    let live: Vec<&MemberRecord> = members.iter().filter(|it| it.state.is_live()).collect();
    let requested_at = context.clock.now();
    let others = live.iter().filter(|it| it.id != context.identity.id);
    let calls = others.map(|peer| {
        let (service, plan) = (&service, &plan);
        async move {
            match peers.fetch_evidence(peer.peer_address, service, plan).await {
                Ok(counts) => Some((peer.id.clone(), requested_at, counts)),
                Err(err) => {
                    log::debug!("failed to fetch evidence of host {}: {err}", peer.id);
                    None
                }
            }
        }
    });
    let (stored, replies) = tokio::join!(read_state(shared, &service), join_all(calls));
    let mut counts: Vec<_> = replies.into_iter().flatten().collect();
    if let Some(own) = context.rollouts.evidence(&service, &plan) {
        let incarnation = context.identity.incarnation;
        let own = PeerCounts { incarnation, counts: own.counts, is_tripped: own.is_tripped };
        counts.push((context.identity.id.clone(), requested_at, own));
    }
    let live = live.into_iter().map(|it| it.id.clone()).collect();
    GatheredRound { service, plan, token, stored, counts, live }
}

/// Replaces the revision that the decision is based on. Returns whether the store confirmed the write.
async fn write_state(
    shared: &ControlShared,
    service: &ServiceId,
    expected: StoreRevision,
    state: &RolloutState,
    send_before: WallTime,
) -> bool {
    let clock = shared.context.clock;
    let value = match serde_json::to_vec(state) {
        Ok(value) => value,
        Err(err) => {
            log::error!("failed to encode the rollout of {service}: {err}");
            return false;
        }
    };
    let write = SwapWrite { key: state_key(service), expected, value: Some(value), lease: None };
    // Checked just before the write, so that no pause of the process before this point lets a stale decision through.
    let held_token = shared.planner_roles.load().token(service, clock.now());
    if held_token != Some(state.token) || clock.wall() >= send_before {
        log::info!(service:%; "rollout decision too old to write");
        return false;
    }
    match shared.store.compare_and_swap(write).await {
        Ok(SwapOutcome::Swapped(_)) => {
            let RolloutState { plan, step, moved, verdict, reason, .. } = state;
            log::info!(service:%, plan:%, step, moved:%, verdict:?, reason:?; "rollout step");
            true
        }
        Ok(SwapOutcome::Conflict(_) | SwapOutcome::LeaseEnded) => {
            log::info!(service:%; "rollout written by another planner first");
            false
        }
        Err(err) => {
            log::warn!("failed to write the rollout of {service}: {err}");
            false
        }
    }
}

/// Notifies the rollout actor of trips on this host. Runs until the task is aborted.
pub(super) async fn forward_trips(shared: Arc<ControlShared>, actor: ActorRef<RolloutMessage>) {
    loop {
        shared.context.rollouts.wait_for_trip().await;
        send(&actor, RolloutMessage::Tripped);
    }
}

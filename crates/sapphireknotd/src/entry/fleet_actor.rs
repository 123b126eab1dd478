//! Follows the store.
//!
//! A task reads everything once and then waits for changes. The first read may lag, which is cheaper, and is followed at
//! once by the changes since; nothing is published before these have arrived. The actor applies changes to the core
//! in their order, publishes the plan, and writes the records of rollouts that are due. After a failed call the task goes
//! on from the same revision; when the store has dropped that history it reads the latest state. While a watch waits, the
//! task compares revisions with the store at intervals, as the answer to a watch may be lost while other calls succeed.
//! Where another host of the region watches, its changes are taken instead ([`super::feed_relay`]).
//! Until the store has told everything, and while it does not answer, the actor also takes what other hosts offer
//! ([`super::peer_source`]).

use std::{collections::HashMap, sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use sapphireknot::{
    ids::ServiceId,
    steering::{
        copy_search::CopyAnswer,
        core::FleetChange,
        feed_copy::{CopyNews, CopyRevision, CopySource},
        version::{RecordChange, RolloutPhase},
    },
    time::MonoTime,
};
use sapphireknot_platform::{
    FeedError, FeedPage, ReadRecency, StoreError, StoreRevision, WriteOutcome,
};
use tokio::{sync::watch, time::sleep};

use super::{feed_relay, state::EntryState};
use crate::constants::{
    FLEET_INITIAL_BACKOFF, FLEET_MAX_BACKOFF, FLEET_RELAY_CHECK, FLEET_RELAY_WAIT,
    FLEET_REVISION_CHECK, FLEET_WATCH_PAUSE, FLEET_WATCH_WAIT,
};

/// Interval at which deadlines are checked.
const TICK: Duration = Duration::from_millis(250);
/// Interval at which the state of the services is logged, at level debug.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Head start of each host over the next one for a write that any of them may do.
const TURN: Duration = Duration::from_millis(300);
/// Pause after a write of a rollout's record, in which the watch tells its result.
const WRITE_PAUSE: Duration = Duration::from_millis(700);

/// Message to the fleet actor.
#[derive(Debug)]
pub enum FleetMessage {
    /// The store was read completely.
    Read(FeedPage, ReadRecency),
    /// Changes arrived.
    Changed(FeedPage),
    /// A call failed.
    Failed,
    /// Another host offered what the store told it.
    Offered(CopyAnswer),
    /// A rollout looks bad on this host.
    RolloutBad(ServiceId),
    /// Time has passed.
    Tick,
    /// The record of a rollout may be due before the next tick.
    WriteDue,
}

/// Actor that follows the store.
pub struct FleetActor;

/// What the actor needs.
pub struct FleetArguments {
    /// Shared state.
    pub state: Arc<EntryState>,
}

/// State of the actor.
pub struct FleetActorState {
    state: Arc<EntryState>,
    is_down: bool,
    next_report: MonoTime,
    /// When this host may write the record of a rollout.
    turns: HashMap<ServiceId, (RolloutPhase, MonoTime)>,
}

#[ractor::async_trait]
impl Actor for FleetActor {
    type Msg = FleetMessage;
    type State = FleetActorState;
    type Arguments = FleetArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<FleetMessage>,
        arguments: FleetArguments,
    ) -> Result<FleetActorState, ActorProcessingErr> {
        let FleetArguments { state } = arguments;
        myself.send_interval(TICK, || FleetMessage::Tick);
        tokio::spawn(follow(state.clone(), myself));
        Ok(FleetActorState {
            state,
            is_down: false,
            next_report: MonoTime::default(),
            turns: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<FleetMessage>,
        message: FleetMessage,
        actor: &mut FleetActorState,
    ) -> Result<(), ActorProcessingErr> {
        let now = actor.state.clock.now();
        match message {
            FleetMessage::Read(page, recency) => {
                log::info!(
                    entries = page.changes.len(), revision:% = page.revision, recency:?;
                    "store read"
                );
                actor.regain(now);
                let revision = CopyRevision(page.revision.0);
                if actor.is_ahead(revision) {
                    return Ok(());
                }
                actor.state.copy.lock().replace(page.entries, revision);
                actor.state.core.lock().replace(page.changes, now);
                if recency == ReadRecency::Latest {
                    actor.confirm(now);
                    actor.publish();
                }
            }
            FleetMessage::Changed(page) => {
                actor.regain(now);
                let revision = CopyRevision(page.revision.0);
                if actor.is_ahead(revision) {
                    return Ok(());
                }
                let changes = actor.unknown_changes(&page);
                actor.state.copy.lock().take(page.entries, revision);
                actor.confirm(now);
                if !changes.is_empty() {
                    log::debug!(changes:?, revision:% = page.revision; "store changed");
                    actor.state.core.lock().take(changes, now);
                }
                actor.publish();
                actor.write_due(now);
            }
            FleetMessage::Offered(answer) => actor.adopt(answer, now),
            FleetMessage::Failed => {
                if !std::mem::replace(&mut actor.is_down, true) {
                    log::warn!("store lost");
                }
                actor.state.core.lock().record_outage(now);
                actor.state.copy.lock().lose_store();
            }
            FleetMessage::RolloutBad(service) => {
                log::warn!(service:%; "new version looks bad");
                actor.write_due(now);
            }
            FleetMessage::Tick => {
                actor.state.core.lock().tick(now);
                actor.report(now);
                actor.write_due(now);
                if let Some(next) = actor.next_write(now) {
                    myself.send_after(now.until(next), || FleetMessage::WriteDue);
                }
            }
            FleetMessage::WriteDue => actor.write_due(now),
        }
        Ok(())
    }
}

impl FleetActorState {
    fn regain(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.is_down) {
            log::info!("store regained");
            self.state.core.lock().record_outage(now);
        } else if self.has_peer_copy() {
            // The outage may have ended before a call of this host failed; servers register again after it all the same.
            self.state.core.lock().record_outage(now);
        }
    }

    /// Whether this host works with something newer, which another host told, than the store at `revision`.
    fn is_ahead(&self, revision: CopyRevision) -> bool {
        let is_ahead = self.has_peer_copy() && self.state.copy.lock().is_after(revision);
        if is_ahead {
            log::info!(revision = revision.0; "skip an answer of the store that is older than the copy in use");
        }
        is_ahead
    }

    /// Changes that this host does not have from another one already; an older state of an entry must not come back.
    fn unknown_changes(&self, page: &FeedPage) -> Vec<FleetChange> {
        if !self.has_peer_copy() {
            return page.changes.clone();
        }
        let known = self.state.copy.lock().known();
        let later = page.entries.iter().filter(|it| it.revision > known);
        later.filter_map(|it| self.state.platform.store.decode_entry(it)).collect()
    }

    /// Whether this host works with what another one told.
    fn has_peer_copy(&self) -> bool {
        self.state.copy.lock().source() == CopySource::Peer
    }

    /// Notes that the store has told everything.
    fn confirm(&self, now: MonoTime) {
        if self.has_peer_copy() {
            log::info!(source = CopySource::Store.as_str(); "store followed instead of other hosts");
        }
        self.state.copy.lock().confirm(now);
    }

    /// Takes what another host offered, unless the store was faster.
    fn adopt(&self, answer: CopyAnswer, now: MonoTime) {
        let CopyAnswer { peer, offer } = answer;
        let age_ms = now.since(offer.confirmed_at).as_millis() as u64;
        let revision = offer.revision.0;
        let had_store = self.state.copy.lock().source() == CopySource::Store;
        let Some(CopyNews { is_complete, entries }) = self.state.copy.lock().adopt(offer) else {
            return;
        };
        let store = &self.state.platform.store;
        let changes: Vec<_> = entries.iter().filter_map(|it| store.decode_entry(it)).collect();
        let (source, count) = (CopySource::Peer.as_str(), changes.len());
        if is_complete {
            log::info!(peer:%, source, revision, age_ms, entries = count; "copy of another host taken");
            self.state.core.lock().replace(changes, now);
        } else {
            if had_store {
                log::info!(peer:%, source, revision, age_ms; "other hosts followed instead of the store");
            }
            log::debug!(peer:%, source, revision, age_ms, entries = count; "changes of another host taken");
            self.state.core.lock().take(changes, now);
        }
        self.publish();
    }

    fn publish(&self) {
        let plan = self.state.core.lock().plan().cloned();
        self.state.publish_plan(plan);
    }

    /// Logs what this host believes of each service.
    fn report(&mut self, now: MonoTime) {
        if now < self.next_report || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.next_report = now.after(REPORT_INTERVAL);
        let core = self.state.core.lock();
        for (service, picker) in core.pickers() {
            let summary = picker.summary(now);
            let version = core.usual_version(service, now);
            log::debug!(service:%, version:? = version, summary:? = summary; "service state");
        }
    }

    /// When a record is to be written before the next tick, as a rollout is completed shortly before its deadline.
    fn next_write(&self, now: MonoTime) -> Option<MonoTime> {
        let next = self.state.core.lock().next_rollout_change(now);
        let turns = self.turns.values().map(|(_, turn)| *turn).filter(|it| *it > now);
        turns.chain(next).min().filter(|it| *it < now.after(TICK))
    }

    /// Starts writes of records that are due and whose turn it is.
    fn write_due(&mut self, now: MonoTime) {
        if self.is_down || self.has_peer_copy() {
            // Another host may have written the record, which this one will see first after the outage.
            return;
        }
        let (due, position) = {
            let core = self.state.core.lock();
            let own = &self.state.record.id;
            (core.due_rollouts(now), core.hosts().filter(|it| it.id < *own).count())
        };
        self.turns.retain(|service, _| due.iter().any(|it| it.record.service == *service));
        for change in due {
            let phase = change.record.phase;
            // A bad version is reverted by whoever notices it, without waiting for others.
            let head_start = match phase {
                RolloutPhase::Reverted => Duration::ZERO,
                _ => TURN * u32::try_from(position).unwrap_or(u32::MAX),
            };
            let turn = self.turns.entry(change.record.service.clone());
            let turn = turn.or_insert((phase, now.after(head_start)));
            if turn.0 != phase {
                *turn = (phase, now.after(head_start));
            }
            if now >= turn.1 {
                turn.1 = now.after(WRITE_PAUSE);
                tokio::spawn(write_rollout(self.state.clone(), change));
            }
        }
    }
}

async fn write_rollout(state: Arc<EntryState>, change: RecordChange) {
    let (service, phase) = (&change.record.service, change.record.phase);
    // As they were when the change was decided.
    let counts = state.core.lock().known_evidence(service);
    let result = state.platform.store.write_rollout(&change).await;
    match result {
        Ok(WriteOutcome::Written) => {
            let target = &change.record.target;
            log::info!(service:%, phase:?, target:%, counts:?; "rollout record written");
        }
        Ok(outcome) => {
            log::info!(service:%, phase:?, outcome:?, counts:?; "rollout record not written");
        }
        Err(err) => {
            state.meters.count_store_failure("write rollout");
            log::warn!(service:%, phase:?, error:% = err; "write rollout record");
        }
    }
}

/// Reads the store and waits for changes until the actor ends.
async fn follow(state: Arc<EntryState>, actor: ActorRef<FleetMessage>) {
    let store = &state.platform.store;
    let mut known: Option<StoreRevision> = None;
    let mut recency = ReadRecency::MayLag;
    // A watch that a silent store took in is never answered, also once the store answers others again. After a lagging
    // read, a failure or a missing answer the first call therefore waits for nothing, so that its answer is due at once.
    let mut wait = Duration::ZERO;
    let mut pause = FLEET_INITIAL_BACKOFF.0;
    let mut failures = state.store_failures();
    let mut relayed = state.relay.subscribe();
    // Revision of the store of which the last watch did not tell.
    let mut untold: Option<StoreRevision> = None;
    loop {
        let apply_time = state.settings.load().bounds.apply_time.0;
        // After a failure, or while changes are missing, this host asks the store itself.
        let is_relayed = !wait.is_zero() && relayed.borrow().is_some();
        state.relay.set_watching(!is_relayed);
        let check_interval = apply_time.mul_f64(FLEET_REVISION_CHECK);
        let result = match known {
            Some(revision) if is_relayed => tokio::select! {
                page = feed_relay::next_page(&state, &mut relayed, revision) => match page {
                    Some(page) => Ok(FleetMessage::Changed(page)),
                    None => {
                        wait = Duration::ZERO;
                        continue;
                    }
                },
                err = next_failure(&mut failures) => Err(FeedError::Store(err)),
                newer = overdue_revision(&state, revision, apply_time) => {
                    log::info!(revision:%, newer:%; "changes were not passed on in time");
                    wait = Duration::ZERO;
                    continue;
                }
            },
            None => {
                let page = store.read_all(recency).await.map_err(FeedError::Store);
                page.map(|page| FleetMessage::Read(page, recency))
            }
            Some(revision) => tokio::select! {
                page = store.next_changes(revision, wait) => page.map(FleetMessage::Changed),
                // A watch that waits at a store that answers nothing else may wait for ever.
                err = next_failure(&mut failures) => Err(FeedError::Store(err)),
                newer = newer_revision(&state, revision, check_interval) => {
                    untold = Some(newer);
                    wait = Duration::ZERO;
                    continue;
                }
            },
        };
        let message = match result {
            Ok(message) => {
                pause = FLEET_INITIAL_BACKOFF.0;
                match &message {
                    FleetMessage::Read(page, ReadRecency::MayLag) => known = Some(page.revision),
                    FleetMessage::Read(page, _) | FleetMessage::Changed(page) => {
                        // The revision also moves by what no watch tells.
                        if let Some(newer) = untold.take()
                            && !page.entries.is_empty()
                        {
                            state.meters.count_store_failure("watch");
                            log::warn!(revision:? = known, newer:%; "answer to a watch was missing");
                        }
                        known = Some(page.revision);
                        recency = ReadRecency::Latest;
                    }
                    _ => {}
                }
                message
            }
            Err(FeedError::HistoryGone(revision)) => {
                log::info!(revision:%; "history of the store is gone");
                (known, recency) = (None, ReadRecency::Latest);
                continue;
            }
            Err(FeedError::Store(err)) => {
                count_failure(&state, &err);
                if actor.cast(FleetMessage::Failed).is_err() {
                    return;
                }
                wait = Duration::ZERO;
                sleep(pause).await;
                pause = (pause * 2).min(FLEET_MAX_BACKOFF.0);
                // Calls that failed until now are part of the same loss.
                failures.mark_unchanged();
                continue;
            }
        };
        if actor.cast(message).is_err() {
            return;
        }
        if wait.is_zero() {
            if recency == ReadRecency::Latest {
                wait = FLEET_WATCH_WAIT.0;
            }
            continue;
        }
        if !is_relayed {
            sleep(apply_time.mul_f64(FLEET_WATCH_PAUSE)).await;
        }
    }
}

/// Waits for a call that the store did not answer since the last one.
async fn next_failure(failures: &mut watch::Receiver<Option<StoreError>>) -> StoreError {
    loop {
        // The sender lives as long as the state of the host.
        if failures.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(err) = failures.borrow_and_update().clone() {
            return err;
        }
    }
}

/// Waits until the store has a later revision than `known`, of which a watch should have told.
///
/// A read that fails says nothing of the watch; a store that answers nothing shows in the renewals of the registration.
async fn newer_revision(
    state: &EntryState,
    known: StoreRevision,
    interval: Duration,
) -> StoreRevision {
    loop {
        sleep(interval).await;
        match state.platform.store.lagging_revision().await {
            Ok(revision) if revision > known => return revision,
            Ok(_) => {}
            Err(err) => count_failure(state, &err),
        }
    }
}

/// Waits until the store has a later revision than `known`, and then for a while in which the collector tells of it if it
/// watches the store.
async fn overdue_revision(
    state: &EntryState,
    known: StoreRevision,
    apply_time: Duration,
) -> StoreRevision {
    let newer = newer_revision(state, known, apply_time.mul_f64(FLEET_RELAY_CHECK)).await;
    sleep(apply_time.mul_f64(FLEET_RELAY_WAIT)).await;
    newer
}

fn count_failure(state: &EntryState, err: &StoreError) {
    let (StoreError::Refused { step, .. } | StoreError::Unanswered { step, .. }) = err;
    state.meters.count_store_failure(step);
    log::debug!(error:% = err; "follow the store");
}

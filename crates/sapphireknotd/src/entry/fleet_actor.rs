//! Follows the store and applies its changes.
//!
//! A task reads all entries once and then watches for changes. The first read may lag behind, which is cheaper; it is
//! followed at once by the changes since then, and nothing is published before these have arrived. The actor applies
//! changes to the core in order, publishes the plan, and writes the rollout records that are due. After a failed call
//! the task resumes from the same revision; if the store has compacted that history, it reads the latest state. While a
//! watch is pending, the task periodically compares revisions with the store, because the answer to a watch may be lost
//! while other calls succeed. If another host of the region watches, its changes are used instead
//! ([`super::feed_relay`]). Until the first complete read, and while the store does not answer, the actor also applies
//! copies from other hosts ([`super::peer_copies`]).

use std::{collections::HashMap, sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use sapphireknot::{
    ids::{HostId, ServiceId},
    steering::{
        copy_search::CopyAnswer,
        core::FleetChange,
        feed_copy::{CopyRevision, CopySource, CopyUpdate},
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
/// Delay per preceding host before a write that any host may make, so that usually only one host writes.
const WRITE_STAGGER: Duration = Duration::from_millis(300);
/// Pause after writing a rollout record, during which the watch reports the result.
const REWRITE_DELAY: Duration = Duration::from_millis(700);

/// Message to the fleet actor.
#[derive(Debug)]
pub enum FleetMessage {
    /// The store was read completely.
    Read(FeedPage, ReadRecency),
    /// The watch, or the collector of the region, returned changes.
    Changed(FeedPage),
    /// A call to the store failed.
    StoreFailed,
    /// Another host returned its copy of the store, or the changes in it.
    PeerCopy(CopyAnswer),
    /// The evidence of this host shows the new version of a rollout to be defective.
    VersionDefective(ServiceId),
    /// Periodic check of deadlines.
    Tick,
    /// A rollout record may be due before the next tick.
    WriteDue,
}

/// Actor that follows the store.
pub struct FleetActor;

/// Arguments of [`FleetActor`].
pub struct FleetArguments {
    /// Shared state of the entry host.
    pub state: Arc<EntryState>,
}

/// State of [`FleetActor`].
pub struct FleetActorState {
    state: Arc<EntryState>,
    is_down: bool,
    next_report: MonoTime,
    /// Phase and earliest time of this host's next write of the record of each rollout.
    write_times: HashMap<ServiceId, (RolloutPhase, MonoTime)>,
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
        tokio::spawn(follow_store(state.clone(), myself));
        Ok(FleetActorState {
            state,
            is_down: false,
            next_report: MonoTime::default(),
            write_times: HashMap::new(),
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
                actor.record_contact(now);
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
                actor.record_contact(now);
                let revision = CopyRevision(page.revision.0);
                if actor.is_ahead(revision) {
                    return Ok(());
                }
                let changes = actor.unknown_changes(&page);
                actor.state.copy.lock().apply_changes(page.entries, revision);
                actor.confirm(now);
                if !changes.is_empty() {
                    log::debug!(changes:?, revision:% = page.revision; "store changed");
                    actor.state.core.lock().apply_changes(changes, now);
                }
                actor.publish();
                actor.write_due(now);
            }
            FleetMessage::PeerCopy(answer) => actor.apply_peer_copy(answer, now),
            FleetMessage::StoreFailed => {
                if !std::mem::replace(&mut actor.is_down, true) {
                    log::warn!("store lost");
                }
                actor.state.core.lock().record_outage(now);
                actor.state.copy.lock().mark_store_lost();
            }
            FleetMessage::VersionDefective(service) => {
                log::warn!(service:%; "evidence shows new version to be defective");
                actor.write_due(now);
            }
            FleetMessage::Tick => {
                actor.state.core.lock().tick(now);
                actor.log_services(now);
                actor.write_due(now);
                actor.remove_lapsed_holders(now);
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
    fn record_contact(&mut self, now: MonoTime) {
        if std::mem::take(&mut self.is_down) {
            log::info!("store regained");
            self.state.core.lock().record_outage(now);
        } else if self.has_peer_copy() {
            // The outage may have ended before a call of this host failed, but servers register again after it
            // nevertheless.
            self.state.core.lock().record_outage(now);
        }
    }

    /// Whether this host uses a copy from another host that is newer than the store at `revision`.
    fn is_ahead(&self, revision: CopyRevision) -> bool {
        let is_ahead = self.has_peer_copy() && self.state.copy.lock().is_after(revision);
        if is_ahead {
            log::info!(revision = revision.0; "skip an answer of the store that is older than the copy in use");
        }
        is_ahead
    }

    /// Changes of `page` that this host has not yet received from another host, so that an entry never reverts to an
    /// older value.
    fn unknown_changes(&self, page: &FeedPage) -> Vec<FleetChange> {
        if !self.has_peer_copy() {
            return page.changes.clone();
        }
        let known = self.state.copy.lock().known();
        let later = page.entries.iter().filter(|it| it.revision > known);
        later.filter_map(|it| self.state.platform.store.decode_entry(it)).collect()
    }

    /// Whether this host uses a copy from another host.
    fn has_peer_copy(&self) -> bool {
        self.state.copy.lock().source() == CopySource::Peer
    }

    /// Marks the copy as complete and current with the store.
    fn confirm(&self, now: MonoTime) {
        if self.has_peer_copy() {
            log::info!(source = CopySource::Store.as_str(); "switched from other hosts to the store");
        }
        self.state.copy.lock().confirm(now);
    }

    /// Applies the copy from another host unless the store has answered in the meantime.
    fn apply_peer_copy(&self, answer: CopyAnswer, now: MonoTime) {
        let CopyAnswer { peer, offer } = answer;
        let age_ms = now.since(offer.confirmed_at).as_millis() as u64;
        let revision = offer.revision.0;
        let had_store = self.state.copy.lock().source() == CopySource::Store;
        let Some(CopyUpdate { is_complete, entries }) = self.state.copy.lock().adopt(offer) else {
            return;
        };
        let store = &self.state.platform.store;
        let changes: Vec<_> = entries.iter().filter_map(|it| store.decode_entry(it)).collect();
        let (source, count) = (CopySource::Peer.as_str(), changes.len());
        if is_complete {
            log::info!(peer:%, source, revision, age_ms, entries = count; "copy from another host applied");
            self.state.core.lock().replace(changes, now);
        } else {
            if had_store {
                log::info!(peer:%, source, revision, age_ms; "switched from the store to other hosts");
            }
            log::debug!(peer:%, source, revision, age_ms, entries = count; "changes from another host applied");
            self.state.core.lock().apply_changes(changes, now);
        }
        self.publish();
    }

    fn publish(&self) {
        let plan = self.state.core.lock().plan().cloned();
        self.state.publish_plan(plan);
    }

    /// Logs the state of each service as this host sees it.
    fn log_services(&mut self, now: MonoTime) {
        if now < self.next_report || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.next_report = now.after(REPORT_INTERVAL);
        let core = self.state.core.lock();
        for (service, picker) in core.pickers() {
            let summary = picker.summary(now);
            let version = core.stable_version(service, now);
            log::debug!(service:%, version:? = version, summary:? = summary; "service state");
        }
    }

    /// Time of a write that is due before the next tick, because a rollout is completed shortly before its deadline.
    fn next_write(&self, now: MonoTime) -> Option<MonoTime> {
        let next = self.state.core.lock().next_rollout_change(now);
        let write_times =
            self.write_times.values().map(|(_, write_time)| *write_time).filter(|it| *it > now);
        write_times.chain(next).min().filter(|it| *it < now.after(TICK))
    }

    /// Starts the removal of the records of hosts that have not been registered for long.
    fn remove_lapsed_holders(&self, now: MonoTime) {
        if self.is_down || self.has_peer_copy() {
            // Registrations may have changed in the meantime.
            return;
        }
        let lapsed = self.state.core.lock().take_lapsed_holders(now);
        for (host, revision) in lapsed {
            tokio::spawn(remove_holder(self.state.clone(), host, revision));
        }
    }

    /// Starts the writes of records that are due and that this host may make now.
    fn write_due(&mut self, now: MonoTime) {
        if self.is_down || self.has_peer_copy() {
            // Another host may have written the record; this host sees that only after the outage.
            return;
        }
        let (due, position) = {
            let core = self.state.core.lock();
            let own = &self.state.record.id;
            (core.due_rollouts(now), core.hosts().filter(|it| it.id < *own).count())
        };
        self.write_times.retain(|service, _| due.iter().any(|it| it.record.service == *service));
        for change in due {
            let phase = change.record.phase;
            // Any host that detects a defective version reverts it at once.
            let delay = match phase {
                RolloutPhase::Reverted => Duration::ZERO,
                _ => WRITE_STAGGER * u32::try_from(position).unwrap_or(u32::MAX),
            };
            let write_time = self.write_times.entry(change.record.service.clone());
            let write_time = write_time.or_insert((phase, now.after(delay)));
            if write_time.0 != phase {
                *write_time = (phase, now.after(delay));
            }
            if now >= write_time.1 {
                write_time.1 = now.after(REWRITE_DELAY);
                tokio::spawn(write_rollout(self.state.clone(), change));
            }
        }
    }
}

async fn remove_holder(state: Arc<EntryState>, host: HostId, revision: u64) {
    match state.platform.store.remove_holder(&host, revision).await {
        Ok(outcome) => log::info!(lapsed:% = host, revision, outcome:?; "share holder removed"),
        Err(err) => {
            state.meters.count_store_failure("remove share holder");
            log::warn!(lapsed:% = host, error:% = err; "remove share holder");
        }
    }
}

async fn write_rollout(state: Arc<EntryState>, change: RecordChange) {
    let (service, phase) = (&change.record.service, change.record.phase);
    // Evidence at the time of the decision, for the log.
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

/// Reads the store and waits for changes until the actor stops.
async fn follow_store(state: Arc<EntryState>, actor: ActorRef<FleetMessage>) {
    let store = &state.platform.store;
    let mut known: Option<StoreRevision> = None;
    let mut recency = ReadRecency::MayLag;
    // A watch that hangs in an unresponsive store is never answered, even after the store answers other calls again.
    // After a lagging read, a failure or a missed change, the first call therefore does not wait, so that its answer is
    // due at once.
    let mut wait = Duration::ZERO;
    let mut pause = FLEET_INITIAL_BACKOFF.0;
    let mut failures = state.store_failures();
    let mut relayed = state.relay.subscribe();
    // Revision of the store that the last watch failed to report.
    let mut missed: Option<StoreRevision> = None;
    loop {
        let apply_time = state.settings.load().bounds.apply_time.0;
        // After a failure, or while changes are missing, this host reads from the store itself.
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
                    log::info!(revision:%, newer:%; "collector did not relay changes in time");
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
                // A watch pending at a store that answers no other call may hang for ever.
                err = next_failure(&mut failures) => Err(FeedError::Store(err)),
                newer = newer_revision(&state, revision, check_interval) => {
                    missed = Some(newer);
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
                        // The revision also advances on changes that a watch does not report.
                        if let Some(newer) = missed.take()
                            && !page.entries.is_empty()
                        {
                            state.meters.count_store_failure("watch");
                            log::warn!(revision:? = known, newer:%; "watch did not report a change");
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
                if actor.cast(FleetMessage::StoreFailed).is_err() {
                    return;
                }
                wait = Duration::ZERO;
                sleep(pause).await;
                pause = (pause * 2).min(FLEET_MAX_BACKOFF.0);
                // Earlier failures belong to the same outage.
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

/// Waits for a call to the store that fails after the last one seen.
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

/// Waits until the store has a later revision than `known`, which the watch should have reported.
///
/// A failed read says nothing about the watch; a store that answers no calls shows in the renewals of the registration.
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

/// Waits until the store has a later revision than `known`, and then for the time in which a collector that watches the
/// store relays the change.
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

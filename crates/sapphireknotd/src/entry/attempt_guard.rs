//! Guard that reports the outcome of an attempt exactly once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use ractor::ActorRef;
use sapphireknot::{
    picker::ServerOutcome,
    steering::{core::AttemptReport, query::ChosenServer, server_state::ServerLoad},
    time::MonoTime,
};

use super::{fleet_actor::FleetMessage, state::EntryState};

/// Attempt in flight. If dropped before it is finished, it counts as cancelled, or as broken if it was hedged.
pub(super) struct AttemptGuard {
    state: Arc<EntryState>,
    fleet: ActorRef<FleetMessage>,
    chosen: ChosenServer,
    target_ms: f64,
    started: MonoTime,
    is_hedged: Arc<AtomicBool>,
    has_ended: bool,
}

impl AttemptGuard {
    /// Starts the clock of an attempt at `chosen`.
    pub(super) fn new(
        state: Arc<EntryState>,
        fleet: ActorRef<FleetMessage>,
        chosen: ChosenServer,
        target_ms: f64,
        is_hedged: Arc<AtomicBool>,
    ) -> Self {
        let started = state.clock.now();
        Self { state, fleet, chosen, target_ms, started, is_hedged, has_ended: false }
    }

    /// Marks the response as being streamed; hedges of this attempt have ended by then, so that a drop counts as
    /// cancelled.
    pub(super) fn streaming(mut self) -> Self {
        self.is_hedged = Arc::default();
        self
    }

    /// Time since the attempt started.
    pub(super) fn elapsed(&self) -> Duration {
        self.state.clock.now().since(self.started)
    }

    /// Reports the outcome of the attempt.
    pub(super) fn finish(&mut self, outcome: ServerOutcome, load: Option<ServerLoad>) {
        self.finish_after(outcome, load, self.elapsed());
    }

    /// Reports the outcome of the attempt, with `elapsed` as the latency of the server.
    pub(super) fn finish_after(
        &mut self,
        outcome: ServerOutcome,
        load: Option<ServerLoad>,
        elapsed: Duration,
    ) {
        self.has_ended = true;
        let state = &self.state;
        let service = &self.chosen.record.service;
        state.meters.count_attempt(service.as_str(), outcome_name(outcome));
        let now = state.clock.now();
        let report = AttemptReport {
            chosen: &self.chosen,
            outcome,
            load,
            target_ms: self.target_ms,
            elapsed,
        };
        let is_defective = state.core.lock().record_attempt(report, now);
        if is_defective
            && let Err(err) = self.fleet.cast(FleetMessage::VersionDefective(service.clone()))
        {
            log::error!(error:% = err; "report defective version to the fleet actor");
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            let is_hedged = self.is_hedged.load(Ordering::Relaxed);
            let outcome = if is_hedged { ServerOutcome::Broken } else { ServerOutcome::Cancelled };
            self.finish(outcome, None);
        }
    }
}

fn outcome_name(outcome: ServerOutcome) -> &'static str {
    match outcome {
        ServerOutcome::Succeeded => "succeeded",
        ServerOutcome::Failed => "failed",
        ServerOutcome::Shed => "shed",
        ServerOutcome::Broken => "broken",
        ServerOutcome::Cancelled => "cancelled",
    }
}

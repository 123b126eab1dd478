//! End of a host: the signals that ask for it, and the stages of a graceful shutdown.

use std::{io, time::Duration};

use sapphireknot::drain::{DrainStage, DrainTracker};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::sleep,
};

use crate::clock::HostClock;

/// Signals that end a host.
pub struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Listens for the signals from now on.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Completes at the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Follows a graceful shutdown to its end, and publishes every stage but the last one.
///
/// Requests in flight are looked at once in every `tick`.
pub async fn follow_drain<F>(
    mut tracker: DrainTracker,
    clock: HostClock,
    stages: &watch::Sender<DrainStage>,
    in_flight: F,
    tick: Duration,
) where
    F: Fn() -> usize,
{
    loop {
        let before = tracker.stage();
        tracker.advance(clock.now(), in_flight());
        let stage = tracker.stage();
        if stage != before {
            log::info!(stage:?, in_flight = in_flight(); "drain stage");
        }
        if stage == DrainStage::Ended {
            return;
        }
        stages.send_if_modified(|it| std::mem::replace(it, stage) != stage);
        sleep(tick).await;
    }
}

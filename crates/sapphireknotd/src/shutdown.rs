//! Shutdown signals and the stages of a graceful shutdown.

use std::{io, time::Duration};

use sapphireknot::drain::{DrainStage, DrainTracker};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::sleep,
};

use crate::clock::HostClock;

/// Receiver of SIGTERM and SIGINT.
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Drives a graceful shutdown until it has ended, and publishes every stage except the last.
///
/// The number of requests in flight is polled at every `tick`.
pub async fn run_drain<F>(
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
            log::info!(stage:?, in_flight = in_flight(); "drain stage changed");
        }
        if stage == DrainStage::Ended {
            return;
        }
        stages.send_if_modified(|it| std::mem::replace(it, stage) != stage);
        sleep(tick).await;
    }
}

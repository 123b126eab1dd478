//! Count of the connections for which a graceful shutdown waits.

use std::sync::{
    Arc, Weak,
    atomic::{AtomicBool, Ordering},
};

use parking_lot::Mutex;

/// Part of one connection in the count of those that may have a request in flight.
///
/// A connection counts from its start, so that a shutdown that begins meanwhile waits for its first request. When the
/// host closes, a connection without a request gives up its part; it takes part again with its first request.
#[derive(Debug)]
pub struct ConnectionActivity {
    counter: Weak<()>,
    /// Clone of the counter, held while the connection counts.
    part: Mutex<Option<Arc<()>>>,
    has_started: AtomicBool,
}

impl ConnectionActivity {
    /// Counts a new connection in `counter`.
    ///
    /// Must be created before the connection checks the drain stage, so that the end of the closing stage cannot miss
    /// it.
    pub fn new(counter: &Arc<()>) -> Self {
        Self {
            counter: Arc::downgrade(counter),
            part: Mutex::new(Some(counter.clone())),
            has_started: AtomicBool::new(false),
        }
    }

    /// Records that a request has started; the connection counts from now until it ends.
    pub fn begin_request(&self) {
        self.has_started.store(true, Ordering::Relaxed);
        let mut part = self.part.lock();
        if part.is_none() {
            *part = self.counter.upgrade();
        }
    }

    /// Stops counting the connection if no request has started on it; returns whether one has.
    pub fn release_unused(&self) -> bool {
        let has_started = self.has_started.load(Ordering::Relaxed);
        if !has_started {
            *self.part.lock() = None;
        }
        has_started
    }
}

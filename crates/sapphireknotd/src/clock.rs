//! Clocks of the process.

use std::time::{Instant, SystemTime};

use sapphireknot::time::{MonoTime, WallTime};

/// Monotonic time of the start of the process, in microseconds. A day, so that what other hosts saw before this process
/// started has a time of its own.
const START_US: u64 = 86_400_000_000;

/// Monotonic and wall clock.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    origin: Instant,
}

impl HostClock {
    /// A clock whose monotonic time starts late enough that earlier points in time exist.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The monotonic time.
    pub fn now(&self) -> MonoTime {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonoTime(micros.saturating_add(START_US))
    }

    /// The wall time.
    pub fn wall(&self) -> WallTime {
        SystemTime::now().into()
    }

    /// The tokio instant of a monotonic time, for timers.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.now().until(time)
    }
}

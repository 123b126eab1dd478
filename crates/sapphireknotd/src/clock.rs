//! Clocks of the process.

use std::time::{Instant, SystemTime};

use sapphireknot::time::{MonoTime, WallTime};

/// Monotonic and wall clock.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    origin: Instant,
}

impl HostClock {
    /// A clock whose monotonic time starts at one second, so that earlier points in time exist.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The monotonic time.
    pub fn now(&self) -> MonoTime {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonoTime(micros.saturating_add(1_000_000))
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

//! Clocks of the process.

use std::time::{Instant, SystemTime};

use sapphireknot::time::{MonoTime, WallTime};

/// Start of a clock that holds what other hosts saw before this process started.
const DAY: MonoTime = MonoTime(86_400_000_000);

/// Monotonic and wall clock.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    origin: Instant,
    start: MonoTime,
}

impl HostClock {
    /// A clock whose monotonic time starts at one second, so that earlier points in time exist.
    pub fn start() -> Self {
        Self { origin: Instant::now(), start: MonoTime(1_000_000) }
    }

    /// A clock whose monotonic time starts at one day, so that times told by hosts that run longer can be held.
    pub fn start_at_day() -> Self {
        Self { origin: Instant::now(), start: DAY }
    }

    /// The monotonic time.
    pub fn now(&self) -> MonoTime {
        self.start.after(self.origin.elapsed())
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

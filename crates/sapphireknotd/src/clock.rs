//! Monotonic and wall clock of the process.

use std::time::{Instant, SystemTime};

use sapphireknot::time::{MonoTime, WallTime};

/// Start value of a clock that must represent times before the start of this process.
const DAY_OFFSET: MonoTime = MonoTime(86_400_000_000);

/// Monotonic and wall clock.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    origin: Instant,
    start: MonoTime,
}

impl HostClock {
    /// Creates a clock whose monotonic time starts at one second, so that slightly earlier times can be represented.
    pub fn start() -> Self {
        Self { origin: Instant::now(), start: MonoTime(1_000_000) }
    }

    /// Creates a clock whose monotonic time starts at one day, so that times reported by hosts that have been running
    /// longer can be represented.
    pub fn start_with_day_offset() -> Self {
        Self { origin: Instant::now(), start: DAY_OFFSET }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> MonoTime {
        self.start.after(self.origin.elapsed())
    }

    /// Returns the wall time.
    pub fn wall(&self) -> WallTime {
        SystemTime::now().into()
    }

    /// Converts a monotonic time to a tokio instant, for timers.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.now().until(time)
    }
}

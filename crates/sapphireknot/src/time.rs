//! Time types.
//!
//! State machines take the current time as an argument and store deadlines instead of durations. [`MonoTime`] is read
//! from the monotonic clock of one process and must not be sent to another; [`WallTime`] is for deadlines that
//! operators specify. Settings use [`ClockSpan`], from which a deadline is computed when the time starts to run.

use std::{
    fmt,
    str::FromStr,
    time::{Duration, SystemTime},
};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Time on the monotonic clock of this process, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// Returns the time `span` earlier, or zero on underflow.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// Returns the duration until `deadline`, or zero if it has passed.
    pub fn until(self, deadline: Self) -> Duration {
        Duration::from_micros(deadline.0.saturating_sub(self.0))
    }

    /// Returns the duration since `start`, or zero if it is in the future.
    pub fn since(self, start: Self) -> Duration {
        start.until(self)
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Error when parsing a time or a duration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {allowed}")]
pub struct TimeError {
    text: String,
    allowed: &'static str,
}

/// Milliseconds since 1970-01-01T00:00:00Z.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the duration until `deadline`, or zero if it has passed.
    pub fn until(self, deadline: Self) -> Duration {
        Duration::from_millis(deadline.0.saturating_sub(self.0))
    }
}

impl From<SystemTime> for WallTime {
    fn from(time: SystemTime) -> Self {
        let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The `humantime` formatter only supports years up to 9999.
        let millis = self.0.min(253_402_300_799_999);
        let time = SystemTime::UNIX_EPOCH + Duration::from_millis(millis);
        humantime::format_rfc3339_millis(time).fmt(f)
    }
}

impl FromStr for WallTime {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        let time = humantime::parse_rfc3339(text).map_err(|_| TimeError {
            text: text.to_owned(),
            allowed: "a UTC time such as 2026-12-04T08:00:00Z",
        })?;
        Ok(time.into())
    }
}

/// Duration in settings, such as `5s` or `250ms`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct ClockSpan(pub Duration);

impl ClockSpan {
    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a duration of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl fmt::Display for ClockSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for ClockSpan {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        let span = humantime::parse_duration(text).map_err(|_| TimeError {
            text: text.to_owned(),
            allowed: "a span of time such as 250ms, 5s or 30min",
        })?;
        Ok(Self(span))
    }
}

//! Rate limits for the log lines of single requests.
//!
//! Requests that are answered in time are sampled by their identifier, so that all hosts and all lines of a request
//! make the same choice. Late and failed requests each have their own rate limit, so that one kind does not crowd out
//! the other. Dropped lines are counted, and the count is logged with the next line of the kind.

use http::HeaderValue;
use parking_lot::Mutex;
use sapphireknot::time::MonoTime;
use xxhash_rust::xxh3::xxh3_64;

/// One in this many requests that are answered in time is logged.
const SAMPLE_INTERVAL: u64 = 128;
/// Lines per second for late requests.
const LATE_LINES_PER_SECOND: f64 = 4.0;
/// Lines per second for requests that every host refuses, such as those with a withdrawn key. Their callers may send as
/// many requests as all others together; without a limit of their own they used up nearly all lines of failed requests.
const REJECTED_LINES_PER_SECOND: f64 = 2.0;
/// Lines per second for other refused and failed requests.
const FAILED_LINES_PER_SECOND: f64 = 20.0;
/// Seconds over which unused lines accumulate.
const BURST_SECONDS: f64 = 2.0;

/// Kind of a request log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// Answered in time.
    OnTime,
    /// Answered successfully, but later than the target latency.
    Late,
    /// Refused because of what the caller sent.
    Rejected,
    /// Refused or failed for another reason.
    Failed,
}

#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: MonoTime,
    dropped: u64,
}

impl TokenBucket {
    fn new(per_second: f64, now: MonoTime) -> Self {
        Self { per_second, tokens: per_second * BURST_SECONDS, refilled_at: now, dropped: 0 }
    }

    fn take(&mut self, now: MonoTime) -> Option<u64> {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let burst = self.per_second * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed * self.per_second).min(burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Rate limiter for the log lines of requests.
#[derive(Debug)]
pub struct LogLimiter {
    late: Mutex<TokenBucket>,
    rejected: Mutex<TokenBucket>,
    failed: Mutex<TokenBucket>,
}

impl LogLimiter {
    /// Creates a log with a full burst for each kind.
    pub fn new(now: MonoTime) -> Self {
        Self {
            late: Mutex::new(TokenBucket::new(LATE_LINES_PER_SECOND, now)),
            rejected: Mutex::new(TokenBucket::new(REJECTED_LINES_PER_SECOND, now)),
            failed: Mutex::new(TokenBucket::new(FAILED_LINES_PER_SECOND, now)),
        }
    }

    /// Takes a line from the limit of `kind`; returns the number of lines of the kind dropped since the last one, or
    /// `None` if this one is dropped.
    pub fn take_line(
        &self,
        kind: LineKind,
        request_id: Option<&HeaderValue>,
        now: MonoTime,
    ) -> Option<u64> {
        match kind {
            LineKind::OnTime => {
                let hash = xxh3_64(request_id?.as_bytes());
                hash.is_multiple_of(SAMPLE_INTERVAL).then_some(0)
            }
            LineKind::Late => self.late.lock().take(now),
            LineKind::Rejected => self.rejected.lock().take(now),
            LineKind::Failed => self.failed.lock().take(now),
        }
    }
}

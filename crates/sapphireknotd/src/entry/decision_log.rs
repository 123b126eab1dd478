//! Log lines of single requests, at a bounded rate.
//!
//! Requests that are answered in time are sampled by their identifier, so that every host and every line of a request
//! decide alike. Late and failed ones are logged up to a rate each, so that one kind does not crowd out the other; what is
//! left out is counted and reported with the next line of the kind.

use http::HeaderValue;
use parking_lot::Mutex;
use sapphireknot::time::MonoTime;
use xxhash_rust::xxh3::xxh3_64;

/// One in this many requests that are answered in time is logged.
const SAMPLE: u64 = 128;
/// Lines of a second for late requests.
const LATE_PER_SECOND: f64 = 4.0;
/// Lines of a second for requests that no rule admits, such as those with a withdrawn key. Their callers may send as many
/// as all others together, and took nearly all lines of failed requests.
const REJECTED_PER_SECOND: f64 = 2.0;
/// Lines of a second for other refused and failed requests.
const FAILED_PER_SECOND: f64 = 20.0;
/// Seconds for which lines may be saved up.
const BURST_SECONDS: f64 = 2.0;

/// Kind of request that a line tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// Answered in time.
    Good,
    /// Answered with success after the target latency.
    Late,
    /// Refused for what the caller sent.
    Rejected,
    /// Refused or failed for another reason.
    Failed,
}

#[derive(Debug)]
struct LineBudget {
    per_second: f64,
    lines: f64,
    settled: MonoTime,
    dropped: u64,
}

impl LineBudget {
    fn new(per_second: f64, now: MonoTime) -> Self {
        Self { per_second, lines: per_second * BURST_SECONDS, settled: now, dropped: 0 }
    }

    fn take(&mut self, now: MonoTime) -> Option<u64> {
        let elapsed = now.since(self.settled).as_secs_f64();
        let most = self.per_second * BURST_SECONDS;
        self.lines = (self.lines + elapsed * self.per_second).min(most);
        self.settled = self.settled.max(now);
        if self.lines < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Log of decisions.
#[derive(Debug)]
pub struct DecisionLog {
    late: Mutex<LineBudget>,
    rejected: Mutex<LineBudget>,
    failed: Mutex<LineBudget>,
}

impl DecisionLog {
    /// A log with its full burst.
    pub fn new(now: MonoTime) -> Self {
        Self {
            late: Mutex::new(LineBudget::new(LATE_PER_SECOND, now)),
            rejected: Mutex::new(LineBudget::new(REJECTED_PER_SECOND, now)),
            failed: Mutex::new(LineBudget::new(FAILED_PER_SECOND, now)),
        }
    }

    /// Takes a line; the number tells how many of the kind were left out before it.
    pub fn take_line(
        &self,
        kind: LineKind,
        request_id: Option<&HeaderValue>,
        now: MonoTime,
    ) -> Option<u64> {
        match kind {
            LineKind::Good => {
                let hash = xxh3_64(request_id?.as_bytes());
                hash.is_multiple_of(SAMPLE).then_some(0)
            }
            LineKind::Late => self.late.lock().take(now),
            LineKind::Rejected => self.rejected.lock().take(now),
            LineKind::Failed => self.failed.lock().take(now),
        }
    }
}

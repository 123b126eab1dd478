//! Log lines of single requests, at a bounded rate.
//!
//! Requests that end well are sampled by their identifier, so that every host and every line of a request decide alike.
//! Others are logged up to a rate; what is left out is counted and reported with the next line.

use http::HeaderValue;
use parking_lot::Mutex;
use sapphireknot::time::MonoTime;
use xxhash_rust::xxh3::xxh3_64;

/// One in this many requests that end well is logged.
const SAMPLE: u64 = 128;
/// Lines of a second for requests that do not end well.
const LINES_PER_SECOND: f64 = 20.0;
/// Lines that may be written at once.
const BURST: f64 = 40.0;

#[derive(Debug)]
struct LineBudget {
    lines: f64,
    settled: MonoTime,
    dropped: u64,
}

/// Log of decisions.
#[derive(Debug)]
pub struct DecisionLog {
    budget: Mutex<LineBudget>,
}

impl DecisionLog {
    /// A log with its full burst.
    pub fn new(now: MonoTime) -> Self {
        Self { budget: Mutex::new(LineBudget { lines: BURST, settled: now, dropped: 0 }) }
    }

    /// Whether a request that ends well is logged.
    pub fn is_sampled(&self, request_id: Option<&HeaderValue>) -> bool {
        request_id.is_some_and(|it| xxh3_64(it.as_bytes()).is_multiple_of(SAMPLE))
    }

    /// Takes a line; the number tells how many were left out before it.
    pub fn take_line(&self, now: MonoTime) -> Option<u64> {
        let mut budget = self.budget.lock();
        let elapsed = now.since(budget.settled).as_secs_f64();
        budget.lines = (budget.lines + elapsed * LINES_PER_SECOND).min(BURST);
        budget.settled = now;
        if budget.lines < 1.0 {
            budget.dropped += 1;
            return None;
        }
        budget.lines -= 1.0;
        Some(std::mem::take(&mut budget.dropped))
    }
}

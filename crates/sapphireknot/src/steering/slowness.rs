//! Which responses are slow for their service.
//!
//! A version that takes twice as long as the one in use may still be fast for its target latency. Response times are
//! therefore compared with those of the version in use, by the slowest of its last few hundred responses: a server that
//! does not know the object of a request is slower than one that does, and a new version with few requests knows fewer
//! objects, but its responses are no slower than the slowest ones of the old version.

/// Response time, in target latencies, from which a response is slow for any service. A cold server that does not know
/// the object takes up to three.
const ALWAYS_SLOW: f64 = 4.5;
/// Response time, in those of the slowest usual responses, from which a response is slow.
const SLOWER: f64 = 1.25;
/// Responses of the version in use before others are compared with them.
const MIN_RESPONSES: u32 = 40;
/// Part of the slowest response time that is left after each response.
const MEMORY: f64 = 0.998;

/// Response times of the version in use, in target latencies.
#[derive(Debug, Default)]
pub struct UsualSpeed {
    slowest: f64,
    responses: u32,
}

impl UsualSpeed {
    /// Takes the time of a response of the version in use.
    pub fn record(&mut self, time: f64) {
        self.slowest = (self.slowest * MEMORY).max(time);
        self.responses = self.responses.saturating_add(1);
    }

    /// Whether `time` is slow.
    pub fn is_slow(&self, time: f64) -> bool {
        let is_known = self.responses >= MIN_RESPONSES;
        // A response within its target latency is not slow, however fast the others are.
        let limit = (self.slowest * SLOWER).clamp(1.0, ALWAYS_SLOW);
        time > if is_known { limit } else { ALWAYS_SLOW }
    }

    /// Whether `time` is slow for any service.
    pub fn is_always_slow(time: f64) -> bool {
        time > ALWAYS_SLOW
    }
}

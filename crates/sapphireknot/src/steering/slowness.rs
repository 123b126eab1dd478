//! Which responses are slow for their service.
//!
//! A version that takes twice as long as the one in use may still be fast for its target latency, so that response times
//! are compared with those of the version in use. Its median is that of servers that know the object of the request; a
//! new version with few requests knows few objects, and a server works about three times as long on an unknown one.
//! Neither the slowest responses of the old version nor the median of the new one can therefore be compared: the former
//! depend on how many objects are known, or on a single response, and the latter is higher for a good version as well.

/// Response time, in target latencies, from which a response is slow for any service. A cold server that does not know
/// the object takes up to three.
const ALWAYS_SLOW: f64 = 4.5;
/// Response time, in those at servers that know the object, from which a response is slow: three for an unknown object,
/// and the spread of such responses.
const SLOWER: f64 = 4.8;
/// Part by which a response moves the median.
const MEDIAN_STEP: f64 = 0.02;

/// Lowest median that counts: a response within its target latency is not slow, however fast the others are.
const LEAST_MEDIAN: f64 = 1.0 / SLOWER;
/// Highest median that counts.
const MOST_MEDIAN: f64 = ALWAYS_SLOW / SLOWER;

/// Response times of the version in use, in target latencies.
#[derive(Debug)]
pub struct LatencyBaseline {
    median: f64,
}

impl Default for LatencyBaseline {
    fn default() -> Self {
        Self { median: MOST_MEDIAN }
    }
}

impl LatencyBaseline {
    /// Takes the time of a response of the version in use.
    pub fn record(&mut self, time: f64) {
        let step = 1.0 + MEDIAN_STEP;
        let median = if time > self.median { self.median * step } else { self.median / step };
        // Beyond these bounds the limit stays the same; the median of an overload would take long to fall from there.
        self.median = median.clamp(LEAST_MEDIAN, MOST_MEDIAN);
    }

    /// Whether `time` is slow.
    pub fn is_slow(&self, time: f64) -> bool {
        time > self.median * SLOWER
    }

    /// Whether `time` is slow for any service.
    pub fn is_always_slow(time: f64) -> bool {
        time > ALWAYS_SLOW
    }
}

//! Classification of slow responses, relative to their service.
//!
//! A version that takes twice as long as the one in use may still be fast for its target latency, so response times are
//! compared with those of the version in use. Its median is that of servers that know the object of the request; a new
//! version with few requests knows few objects, and a server works about three times as long on an unknown one. Neither
//! the slowest responses of the old version nor the median of the new one can therefore be compared: the former depend
//! on how many objects are known, or on a single response, and the latter is higher for a good version as well.

/// Response time, in target latencies, above which a response is slow for any service. A cold server that does not know
/// the object takes up to three.
const ALWAYS_SLOW: f64 = 4.5;
/// Response time, in medians of servers that know the object, above which a response is slow: a factor of three for an
/// unknown object, and the spread of such responses.
const SLOW_FACTOR: f64 = 4.8;
/// Relative change of the median per response.
const MEDIAN_STEP: f64 = 0.02;

/// Lower bound of the median: a response within its target latency is never slow, however fast the others are.
const MIN_MEDIAN: f64 = 1.0 / SLOW_FACTOR;
/// Upper bound of the median.
const MAX_MEDIAN: f64 = ALWAYS_SLOW / SLOW_FACTOR;

/// Median response time of the version in use, in target latencies.
#[derive(Debug)]
pub struct LatencyBaseline {
    median: f64,
}

impl Default for LatencyBaseline {
    fn default() -> Self {
        Self { median: MAX_MEDIAN }
    }
}

impl LatencyBaseline {
    /// Records the time of a response of the version in use.
    pub fn record(&mut self, time: f64) {
        let step = 1.0 + MEDIAN_STEP;
        let median = if time > self.median { self.median * step } else { self.median / step };
        // Beyond these bounds the limit would not change, and a median from an overload would take long to fall back.
        self.median = median.clamp(MIN_MEDIAN, MAX_MEDIAN);
    }

    /// Whether `time` is slow.
    pub fn is_slow(&self, time: f64) -> bool {
        time > self.median * SLOW_FACTOR
    }

    /// Whether `time` is slow for any service.
    pub fn is_always_slow(time: f64) -> bool {
        time > ALWAYS_SLOW
    }
}

//! Result of a load run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::client::{ClientError, HttpReply};

/// Upper bound of the latency histograms, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Counts and latencies of the requests of a run.
#[derive(Debug, Clone)]
pub struct LoadSummary {
    /// Requests by status; 0 means no complete response.
    pub by_status: BTreeMap<u16, u64>,
    /// Refused requests by the header `x-sapphireknot-reason`.
    pub by_reason: BTreeMap<String, u64>,
    /// Requests without a complete response, by the step that failed.
    pub by_failure: BTreeMap<&'static str, u64>,
    /// Latency of successful requests in microseconds, from the intended send time to the complete response.
    pub latency: Histogram<u64>,
    /// Latency of all other requests, measured in the same way.
    pub failure_latency: Histogram<u64>,
}

impl Default for LoadSummary {
    fn default() -> Self {
        // The bounds are valid constants, so the call cannot fail.
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!());
        Self {
            by_status: BTreeMap::new(),
            by_reason: BTreeMap::new(),
            by_failure: BTreeMap::new(),
            latency: histogram(),
            failure_latency: histogram(),
        }
    }
}

impl LoadSummary {
    /// Adds the result of one request.
    pub fn record(&mut self, latency: Duration, result: &Result<HttpReply, ClientError>) {
        let status = result.as_ref().map_or(0, |it| it.status.as_u16());
        *self.by_status.entry(status).or_default() += 1;
        match result {
            Ok(reply) => {
                if let Some(reason) = reply.header("x-sapphireknot-reason") {
                    *self.by_reason.entry(reason.to_owned()).or_default() += 1;
                }
            }
            Err(err) => *self.by_failure.entry(err.step).or_default() += 1,
        }
        let is_success = (200..300).contains(&status);
        let histogram = if is_success { &mut self.latency } else { &mut self.failure_latency };
        histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }

    /// Returns the total number of requests.
    pub fn total(&self) -> u64 {
        self.by_status.values().sum()
    }

    /// Returns the number of requests with a 2xx status.
    pub fn succeeded(&self) -> u64 {
        self.by_status.range(200..300).map(|(_, count)| count).sum()
    }
}

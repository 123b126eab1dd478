//! Result of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::client::{ClientError, HttpReply};

/// Longest latency that is told apart, in microseconds: an hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Counts and latencies of the requests of a run.
#[derive(Debug, Clone)]
pub struct LoadSummary {
    /// Requests by status; 0 stands for no complete response.
    pub by_status: BTreeMap<u16, u64>,
    /// Refusals by reason.
    pub by_reason: BTreeMap<String, u64>,
    /// Failures without a complete response, by step.
    pub by_failure: BTreeMap<&'static str, u64>,
    /// Microseconds from the intended time of sending to the whole response, of successful requests.
    pub latency: Histogram<u64>,
    /// The same of all other requests.
    pub failure_latency: Histogram<u64>,
}

impl Default for LoadSummary {
    fn default() -> Self {
        // These bounds are valid, so that the call can't fail.
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
    /// Adds one request.
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

    /// Requests in all.
    pub fn total(&self) -> u64 {
        self.by_status.values().sum()
    }

    /// Requests with a status of success.
    pub fn succeeded(&self) -> u64 {
        self.by_status.range(200..300).map(|(_, count)| count).sum()
    }
}

//! Metrics of an entry host.

use std::time::Duration;

use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Histogram},
};

use crate::telemetry::SCOPE;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0];

/// Instruments for the metrics of an entry host.
#[derive(Debug, Clone)]
pub struct EntryMeters {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    latency: Histogram<f64>,
    store_failures: Counter<u64>,
    load_reports: Counter<u64>,
    exchange_failures: Counter<u64>,
    sent_copies: Counter<u64>,
    cold_probes: Counter<u64>,
    server_notices: Counter<u64>,
    unknown_routes: Counter<u64>,
}

impl Default for EntryMeters {
    fn default() -> Self {
        let meter = global::meter(SCOPE);
        Self {
            requests: meter.u64_counter("sapphireknot.entry.requests").build(),
            attempts: meter.u64_counter("sapphireknot.entry.attempts").build(),
            latency: meter
                .f64_histogram("sapphireknot.entry.latency")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            store_failures: meter.u64_counter("sapphireknot.entry.store_failures").build(),
            load_reports: meter.u64_counter("sapphireknot.entry.load_reports").build(),
            exchange_failures: meter
                .u64_counter("sapphireknot.entry.load_exchange_failures")
                .build(),
            sent_copies: meter.u64_counter("sapphireknot.entry.sent_copies").build(),
            cold_probes: meter.u64_counter("sapphireknot.entry.cold_probes").build(),
            server_notices: meter.u64_counter("sapphireknot.entry.server_notices").build(),
            unknown_routes: meter.u64_counter("sapphireknot.entry.unknown_routes").build(),
        }
    }
}

impl EntryMeters {
    /// Counts a request by its result, and records its latency.
    pub fn count_request(&self, service: &str, result: &'static str, elapsed: Duration) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("result", result)];
        self.requests.add(1, &labels);
        self.latency.record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts an attempt by its outcome.
    pub fn count_attempt(&self, service: &str, outcome: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.attempts.add(1, &labels);
    }

    /// Counts load reports received from other hosts.
    pub fn count_load_reports(&self, count: usize) {
        self.load_reports.add(count as u64, &[]);
    }

    /// Counts an exchange of load reports that got no answer.
    pub fn count_exchange_failure(&self) {
        self.exchange_failures.add(1, &[]);
    }

    /// Counts a full or partial copy of the store sent to another host.
    pub fn count_sent_copy(&self) {
        self.sent_copies.add(1, &[]);
    }

    /// Counts a probe that checks whether a server is cold, by its result.
    pub fn count_cold_probe(&self, result: &'static str) {
        self.cold_probes.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a notice that a server attached to a response.
    pub fn count_server_notice(&self, kind: &'static str) {
        self.server_notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts routes of a new plan whose kind this release does not know.
    pub fn count_unknown_routes(&self, count: usize) {
        self.unknown_routes.add(count as u64, &[]);
    }

    /// Counts a failed call to the store.
    pub fn count_store_failure(&self, step: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("step", step)]);
    }
}

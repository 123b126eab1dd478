//! Metrics and traces.
//!
//! Spans and counters are always produced, so that trace identifiers are passed on. They leave the process only if the
//! settings name an OTLP receiver. No span or metric carries a key, a query or a body.

use std::{collections::HashMap, net::SocketAddr};

use http::{HeaderMap, HeaderValue};
use opentelemetry::{
    Context, KeyValue, global,
    metrics::{Counter, Histogram},
    propagation::TextMapPropagator,
    trace::{SpanKind, Status, TraceContextExt, Tracer},
};
use opentelemetry_otlp::{MetricExporter, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource, metrics::SdkMeterProvider, propagation::TraceContextPropagator,
    trace::SdkTracerProvider,
};
use prometheus::Registry;
use sapphireknot::ids::{HostId, RegionId};
use thiserror::Error;

/// Name under which spans and metrics are produced.
pub const SCOPE: &str = "sapphireknotd";
/// Headers of the W3C trace context.
const TRACE_HEADERS: [&str; 2] = ["traceparent", "tracestate"];

/// Why telemetry cannot be exported.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// The exporter cannot be built.
    #[error("build OTLP exporter for {receiver}: {source}")]
    Exporter {
        /// Address of the receiver.
        receiver: String,
        /// Cause.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// Metrics cannot be read as text.
    #[error("register metrics: {0}")]
    Registry(#[source] opentelemetry_sdk::error::OTelSdkError),
}

/// Providers of this process; ended by [`TelemetryGuard::shutdown`].
#[derive(Debug)]
pub struct TelemetryGuard {
    traces: SdkTracerProvider,
    metrics: SdkMeterProvider,
}

/// What telemetry says of the host, and where it goes.
#[derive(Debug)]
pub struct TelemetryTarget<'a> {
    /// Host.
    pub host: &'a HostId,
    /// Region.
    pub region: &'a RegionId,
    /// OTLP receiver.
    pub otlp: Option<SocketAddr>,
    /// Registry from which metrics are read as text.
    pub registry: Option<&'a Registry>,
}

/// Starts telemetry for a host.
pub fn install(target: &TelemetryTarget<'_>) -> Result<TelemetryGuard, TelemetryError> {
    let resource = Resource::builder()
        .with_service_name(SCOPE)
        .with_attribute(KeyValue::new("host.name", target.host.to_string()))
        .with_attribute(KeyValue::new("region", target.region.to_string()))
        .build();
    let mut traces = SdkTracerProvider::builder().with_resource(resource.clone());
    let mut metrics = SdkMeterProvider::builder().with_resource(resource);
    if let Some(registry) = target.registry {
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        metrics = metrics.with_reader(reader.map_err(TelemetryError::Registry)?);
    }
    if let Some(receiver) = target.otlp {
        let endpoint = format!("http://{receiver}");
        let describe = |source| TelemetryError::Exporter { receiver: receiver.to_string(), source };
        let exporter = SpanExporter::builder().with_tonic().with_endpoint(&endpoint).build();
        traces = traces.with_batch_exporter(exporter.map_err(describe)?);
        let exporter = MetricExporter::builder().with_tonic().with_endpoint(&endpoint).build();
        metrics = metrics.with_periodic_exporter(exporter.map_err(describe)?);
    }
    let guard = TelemetryGuard { traces: traces.build(), metrics: metrics.build() };
    global::set_tracer_provider(guard.traces.clone());
    global::set_meter_provider(guard.metrics.clone());
    Ok(guard)
}

impl TelemetryGuard {
    /// Exports what is pending; a receiver that does not answer is logged.
    pub fn shutdown(self) {
        let results = [self.traces.shutdown(), self.metrics.shutdown()];
        for err in results.into_iter().filter_map(Result::err) {
            log::warn!(error:% = err; "export telemetry at the end");
        }
    }
}

/// The trace that a caller's headers continue; empty if they name none.
pub fn extract_parent(headers: &HeaderMap) -> Context {
    let pairs = TRACE_HEADERS.iter().filter_map(|name| {
        Some(((*name).to_owned(), headers.get(*name)?.to_str().ok()?.to_owned()))
    });
    let carrier: HashMap<String, String> = pairs.collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// Writes the trace of `context` into `headers`.
pub fn inject_parent(context: &Context, headers: &mut HeaderMap) {
    let mut carrier = HashMap::new();
    TraceContextPropagator::new().inject_context(context, &mut carrier);
    for name in TRACE_HEADERS {
        headers.remove(name);
        let value = carrier.get(name).filter(|it| !it.is_empty());
        if let Some(value) = value.and_then(|it| HeaderValue::from_str(it).ok()) {
            headers.insert(name, value);
        }
    }
}

/// Span of one hop; ends when dropped.
#[derive(Debug)]
pub struct HopSpan(Context);

impl HopSpan {
    /// A span below `parent`.
    pub fn start(name: &'static str, kind: SpanKind, parent: &Context) -> Self {
        let tracer = global::tracer(SCOPE);
        let builder = tracer.span_builder(name).with_kind(kind);
        let span = tracer.build_with_context(builder, parent);
        Self(parent.with_span(span))
    }

    /// The context in which further hops start.
    pub fn context(&self) -> &Context {
        &self.0
    }

    /// Adds a fact.
    pub fn note(&self, name: &'static str, value: String) {
        self.0.span().set_attribute(KeyValue::new(name, value));
    }

    /// Marks the hop as failed.
    pub fn fail(&self, reason: &'static str) {
        self.0.span().set_status(Status::error(reason));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.0.span().end();
    }
}

/// Counters of the request path.
#[derive(Debug, Clone)]
pub struct PathMeters {
    /// Requests by result.
    pub requests: Counter<u64>,
    /// Attempts at backend servers by outcome.
    pub attempts: Counter<u64>,
    /// Seconds from the head of a request to the response.
    pub latency: Histogram<f64>,
}

impl Default for PathMeters {
    fn default() -> Self {
        let meter = global::meter(SCOPE);
        Self {
            requests: meter.u64_counter("sapphireknot.requests").build(),
            attempts: meter.u64_counter("sapphireknot.attempts").build(),
            latency: meter.f64_histogram("sapphireknot.latency").with_unit("s").build(),
        }
    }
}

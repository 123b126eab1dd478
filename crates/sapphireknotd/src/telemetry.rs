//! Metrics and traces.
//!
//! Spans and counters are always created, so that trace identifiers are propagated. They are exported only if the
//! settings name an OTLP receiver. No span or metric contains an API key, a query or a body.

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

/// Instrumentation scope of spans and metrics.
pub const SCOPE: &str = "sapphireknotd";
/// Headers of the W3C trace context.
const TRACE_HEADERS: [&str; 2] = ["traceparent", "tracestate"];

/// Error while setting up telemetry.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// An exporter could not be built.
    #[error("build OTLP exporter for {receiver}: {source}")]
    Exporter {
        /// Address of the receiver.
        receiver: String,
        /// Underlying error.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// The metrics could not be registered for export as text.
    #[error("register metrics: {0}")]
    Registry(#[source] opentelemetry_sdk::error::OTelSdkError),
}

/// Tracer and meter providers of this process; shut down by [`TelemetryGuard::shutdown`].
#[derive(Debug)]
pub struct TelemetryGuard {
    traces: SdkTracerProvider,
    metrics: SdkMeterProvider,
}

/// Resource attributes and export targets of telemetry.
#[derive(Debug)]
pub struct TelemetryOptions<'a> {
    /// Host identifier.
    pub host: &'a HostId,
    /// Region of the host.
    pub region: &'a RegionId,
    /// Address of the OTLP receiver.
    pub otlp: Option<SocketAddr>,
    /// Prometheus registry from which the metrics are exported as text.
    pub registry: Option<&'a Registry>,
}

/// Builds the providers and installs them globally.
pub fn install(target: &TelemetryOptions<'_>) -> Result<TelemetryGuard, TelemetryError> {
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
    /// Exports pending data; failures are logged.
    pub fn shutdown(self) {
        let results = [self.traces.shutdown(), self.metrics.shutdown()];
        for err in results.into_iter().filter_map(Result::err) {
            log::warn!(error:% = err; "export telemetry at the end");
        }
    }
}

/// Extracts the trace context from the headers of a request; empty if there is none.
pub fn extract_parent(headers: &HeaderMap) -> Context {
    let pairs = TRACE_HEADERS.iter().filter_map(|name| {
        Some(((*name).to_owned(), headers.get(*name)?.to_str().ok()?.to_owned()))
    });
    let carrier: HashMap<String, String> = pairs.collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// Replaces the trace headers in `headers` by those of `context`.
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

/// Tracing span; ended on drop.
#[derive(Debug)]
pub struct HopSpan(Context);

impl HopSpan {
    /// Starts a child span of `parent`.
    pub fn start(name: &'static str, kind: SpanKind, parent: &Context) -> Self {
        let tracer = global::tracer(SCOPE);
        let builder = tracer.span_builder(name).with_kind(kind);
        let span = tracer.build_with_context(builder, parent);
        Self(parent.with_span(span))
    }

    /// Returns the context for child spans.
    pub fn context(&self) -> &Context {
        &self.0
    }

    /// Sets an attribute.
    pub fn set_attribute(&self, name: &'static str, value: String) {
        self.0.span().set_attribute(KeyValue::new(name, value));
    }

    /// Sets the status of the span to an error.
    pub fn set_error(&self, reason: &'static str) {
        self.0.span().set_status(Status::error(reason));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.0.span().end();
    }
}

/// Metrics of the request path.
#[derive(Debug, Clone)]
pub struct RequestMetrics {
    /// Number of requests by result.
    pub requests: Counter<u64>,
    /// Number of attempts at backend servers by outcome.
    pub attempts: Counter<u64>,
    /// Time from the head of a request to its response, in seconds.
    pub latency: Histogram<f64>,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        let meter = global::meter(SCOPE);
        Self {
            requests: meter.u64_counter("sapphireknot.requests").build(),
            attempts: meter.u64_counter("sapphireknot.attempts").build(),
            latency: meter.f64_histogram("sapphireknot.latency").with_unit("s").build(),
        }
    }
}

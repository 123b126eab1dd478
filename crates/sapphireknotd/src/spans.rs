//! Tracing spans of calls to the platform and to peers.

use opentelemetry::{
    global::{self, BoxedSpan},
    trace::{SpanKind, Tracer},
};

/// Starts a client span for a call; it is exported if a tracer is installed.
pub(crate) fn start_span(step: &'static str) -> BoxedSpan {
    let tracer = global::tracer("sapphireknotd");
    tracer.span_builder(step).with_kind(SpanKind::Client).start(&tracer)
}

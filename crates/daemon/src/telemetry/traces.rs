//! Traces: one span per hop, carried between hops by `traceparent`.
//!
//! Without a reporter the spans are inert, and the identifiers still travel, so that a caller's
//! trace reaches the target.

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};

/// Log target of finished spans.
pub const LOG_TARGET: &str = "trace";

/// The span of one hop.
pub struct Hop {
    span: Span,
    context: SpanContext,
}

impl Hop {
    /// Starts the span of a hop under the sender's trace context. A missing or malformed context
    /// starts a new trace.
    pub fn start(name: &'static str, traceparent: &str) -> Self {
        let parent = SpanContext::decode_w3c_traceparent(traceparent);
        let parent = parent.unwrap_or_else(SpanContext::random);
        let span = Span::root(name, parent);
        let context = SpanContext::from_span(&span).unwrap_or(parent);
        Self { span, context }
    }

    /// Returns the value of `traceparent` for the next hop.
    pub fn traceparent(&self) -> String {
        self.context.encode_w3c_traceparent()
    }

    /// Adds a property to the span. The value is made only when the span is recorded.
    pub fn note(&self, key: &'static str, value: impl FnOnce() -> String) {
        self.span.add_property(|| (key, value()));
    }
}

/// Writes finished spans as log lines of level `debug` with target [`LOG_TARGET`].
pub struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let properties: std::collections::BTreeMap<_, _> = span
                .properties
                .iter()
                .map(|(k, v)| (k.as_ref(), v.as_ref()))
                .collect();
            log::debug!(
                target: LOG_TARGET,
                trace = format!("{:032x}", span.trace_id.0),
                span = format!("{:016x}", span.span_id.0),
                parent = format!("{:016x}", span.parent_id.0),
                begin_ns = span.begin_time_unix_ns,
                duration_ns = span.duration_ns,
                properties:serde = properties;
                "{}", span.name
            );
        }
    }
}

/// Starts reporting spans to the log, when the log takes them.
pub fn init() {
    if log::log_enabled!(target: LOG_TARGET, log::Level::Debug) {
        fastrace::set_reporter(LogReporter, Config::default());
    }
}

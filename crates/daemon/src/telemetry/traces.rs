//! Traces: one span per hop, carried between hops by `traceparent` (W3C Trace Context).
//!
//! A finished span is a log line of level `debug` with target [`LOG_TARGET`]. While the log does
//! not take such lines the identifiers still travel, so that a caller's trace reaches the target.
//! A tracing library is not used here: those at hand calibrate the processor's time-stamp counter
//! before `main`, which never ends where the clock does not advance by itself.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// Log target of finished spans.
pub const LOG_TARGET: &str = "trace";

/// Fields of `traceparent`: version, trace, parent span and flags.
const FIELD_COUNT: usize = 4;

/// The span of one hop. It ends when it is dropped.
pub struct HopSpan {
    name: &'static str,
    trace: u128,
    parent: u64,
    span: u64,
    flags: u8,
    /// Begin and properties, while the span is recorded.
    record: Option<SpanRecord>,
}

struct SpanRecord {
    started_at: Instant,
    properties: Mutex<BTreeMap<&'static str, String>>,
}

impl HopSpan {
    /// Starts the span of a hop under the sender's trace context. A missing or malformed context
    /// starts a new trace.
    pub fn start(name: &'static str, traceparent: &str) -> Self {
        let (trace, parent, flags) =
            parse(traceparent).unwrap_or_else(|| (random_trace_id(), 0, 0));
        let enabled = log::log_enabled!(target: LOG_TARGET, log::Level::Debug);
        let record = enabled.then(|| SpanRecord {
            started_at: Instant::now(),
            properties: Mutex::default(),
        });
        Self {
            name,
            trace,
            parent,
            span: rand::random_range(1..=u64::MAX),
            flags,
            record,
        }
    }

    /// Returns the value of `traceparent` for the next hop.
    pub fn traceparent(&self) -> String {
        let Self {
            trace, span, flags, ..
        } = self;
        format!("00-{trace:032x}-{span:016x}-{flags:02x}")
    }

    /// Adds a property to the span. The value is made only when the span is recorded.
    pub fn set_property(&self, key: &'static str, value: impl FnOnce() -> String) {
        if let Some(record) = &self.record {
            let mut properties = record.properties.lock().unwrap_or_else(|e| e.into_inner());
            properties.insert(key, value());
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        let Some(record) = &self.record else { return };
        let properties = record.properties.lock().unwrap_or_else(|e| e.into_inner());
        log::debug!(
            target: LOG_TARGET,
            trace = format!("{:032x}", self.trace),
            span = format!("{:016x}", self.span),
            parent = format!("{:016x}", self.parent),
            duration_us = record.started_at.elapsed().as_micros() as u64,
            properties:serde = *properties;
            "{}", self.name
        );
    }
}

/// Reads a trace context: trace, parent span and flags.
fn parse(traceparent: &str) -> Option<(u128, u64, u8)> {
    let fields: Vec<&str> = traceparent.split('-').collect();
    let [version, trace, parent, flags] = fields.get(..FIELD_COUNT)?.try_into().ok()?;
    let sizes = [version.len(), trace.len(), parent.len(), flags.len()];
    if sizes != [2, 32, 16, 2] || version == "ff" {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|t| *t != 0)?;
    let parent = u64::from_str_radix(parent, 16).ok().filter(|p| *p != 0)?;
    Some((trace, parent, u8::from_str_radix(flags, 16).ok()?))
}

fn random_trace_id() -> u128 {
    rand::random_range(1..=u128::MAX)
}

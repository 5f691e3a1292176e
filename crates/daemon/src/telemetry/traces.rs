//! Traces with one span per hop, propagated by `traceparent` (W3C Trace Context).
//!
//! A completed span is logged at level `debug` with the target [`LOG_TARGET`]. If these lines are
//! disabled, the identifiers are still propagated, so that a caller's trace reaches the target.
//!
//! This module uses no tracing library: the available ones calibrate the CPU's time-stamp counter
//! before `main`, and that calibration never ends if the clock does not advance by itself.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// Log target of completed spans.
pub const LOG_TARGET: &str = "trace";

/// Number of fields in `traceparent`: version, trace id, parent id and flags.
const FIELD_COUNT: usize = 4;

/// Span of one hop. It ends when it is dropped.
pub struct HopSpan {
    name: &'static str,
    trace_id: u128,
    parent_id: u64,
    span_id: u64,
    flags: u8,
    /// `None` if the span is not logged.
    record: Option<SpanRecord>,
}

struct SpanRecord {
    started_at: Instant,
    properties: Mutex<BTreeMap<&'static str, String>>,
}

impl HopSpan {
    /// Starts the span of a hop as a child of the sender's span. Starts a new trace if
    /// `traceparent` is missing or malformed.
    pub fn start(name: &'static str, traceparent: &str) -> Self {
        let (trace_id, parent_id, flags) =
            parse(traceparent).unwrap_or_else(|| (random_trace_id(), 0, 0));
        let enabled = log::log_enabled!(target: LOG_TARGET, log::Level::Debug);
        let record = enabled.then(|| SpanRecord {
            started_at: Instant::now(),
            properties: Mutex::default(),
        });
        Self {
            name,
            trace_id,
            parent_id,
            span_id: rand::random_range(1..=u64::MAX),
            flags,
            record,
        }
    }

    /// Returns the value of `traceparent` for the next hop.
    pub fn traceparent(&self) -> String {
        let Self {
            trace_id,
            span_id,
            flags,
            ..
        } = self;
        format!("00-{trace_id:032x}-{span_id:016x}-{flags:02x}")
    }

    /// Sets a property of the span. Calls `value` only if the span is logged.
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
            trace = format!("{:032x}", self.trace_id),
            span = format!("{:016x}", self.span_id),
            parent = format!("{:016x}", self.parent_id),
            duration_us = record.started_at.elapsed().as_micros() as u64,
            properties:serde = *properties;
            "{}", self.name
        );
    }
}

/// Parses `traceparent` to trace id, parent id and flags. Ignores the fields that a later version
/// may append.
fn parse(traceparent: &str) -> Option<(u128, u64, u8)> {
    let fields: Vec<&str> = traceparent.split('-').collect();
    let [version, trace_id, parent_id, flags] = fields.get(..FIELD_COUNT)?.try_into().ok()?;
    let lengths = [version.len(), trace_id.len(), parent_id.len(), flags.len()];
    if lengths != [2, 32, 16, 2] || version == "ff" {
        return None;
    }
    let trace_id = u128::from_str_radix(trace_id, 16)
        .ok()
        .filter(|t| *t != 0)?;
    let parent_id = u64::from_str_radix(parent_id, 16)
        .ok()
        .filter(|p| *p != 0)?;
    Some((trace_id, parent_id, u8::from_str_radix(flags, 16).ok()?))
}

fn random_trace_id() -> u128 {
    rand::random_range(1..=u128::MAX)
}

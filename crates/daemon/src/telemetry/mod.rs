//! Logs, metrics and traces of the daemon.
//!
//! - [`logs`]: JSON lines with levels per module.
//! - [`log_writer`]: writes log lines from a bounded queue, with rate limits.
//! - [`metrics`]: counters and histograms with bounded label sets.
//! - [`traces`]: one span per hop, propagated by `traceparent`.
//!
//! Log lines never contain secrets: [`masticdeal_config::settings::Secret`] redacts its `Debug`
//! output, and headers are not logged.

pub mod log_writer;
pub mod logs;
pub mod metrics;
pub mod traces;

pub use metrics::Metrics;

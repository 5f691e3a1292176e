//! Logs, metrics and traces of the daemon.
//!
//! - [`logs`]: JSON lines on standard output, with levels per module.
//! - [`log_writer`]: the bounded way of the lines to their writer.
//! - [`metrics`]: counters and histograms with bounded label sets.
//! - [`traces`]: one span per hop, carried by `traceparent`.
//!
//! Secrets never reach a log line: [`masticdeal_config::settings::Secret`] prints nothing, and
//! headers are not logged.

pub mod log_writer;
pub mod logs;
pub mod metrics;
pub mod traces;

pub use metrics::Metrics;

//! The masticdeal daemon as a library: the binary wires the modules, the tests use them alone.
//!
//! - [`clock`]: the boot-time clock, passed in as an interface.
//! - [`meter`]: requests per shard and key.
//! - [`node`]: state that all parts share.
//! - [`protocol`]: how callers, targets and the platform's service are spoken to.
//! - [`holdings`]: what a target holds that takes its grants as answers to its reports.
//! - [`control`]: lease, table, configuration and planner.
//! - [`exchange`]: one request and its outcome.
//! - [`peers`]: h2 between daemons.
//! - [`owner`]: queue in front of the target, the target's client, the announce port.
//! - [`ingress`]: the callers' port.
//! - [`operators`]: answers to operators.
//! - [`telemetry`]: logs, metrics, traces.
//! - [`reload`]: settings that change while the daemon runs.
//! - [`run`]: starts and ends the parts.
//! - [`shutdown`]: end of the daemon that cuts off nothing.

pub mod clock;
pub mod control;
pub mod exchange;
pub mod holdings;
pub mod ingress;
pub mod meter;
pub mod node;
pub mod operators;
pub mod owner;
pub mod peers;
pub mod protocol;
pub mod reload;
pub mod run;
pub mod shutdown;
pub mod telemetry;

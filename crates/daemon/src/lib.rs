//! Library of the masticdeal daemon, used by its binary and its tests.
//!
//! - [`clock`]: boot-time clock, as an interface.
//! - [`meter`]: request rates per shard and key.
//! - [`node`]: state shared by all parts.
//! - [`protocol`]: protocols towards callers, targets and the platform's store.
//! - [`holdings`]: shards that a target holds under range grants.
//! - [`control`]: lease, table, configuration and planner.
//! - [`exchange`]: one request and its outcome.
//! - [`peers`]: HTTP/2 between daemons.
//! - [`owner`]: queue in front of the target, client of the target, announce port.
//! - [`ingress`]: caller port.
//! - [`operators`]: answers to operators.
//! - [`telemetry`]: logs, metrics, traces.
//! - [`reload`]: settings that change while the daemon runs.
//! - [`run`]: startup and end of the daemon.
//! - [`shutdown`]: graceful shutdown.

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

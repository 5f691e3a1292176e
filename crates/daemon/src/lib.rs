//! Library of the masticdeal daemon, used by its binary and its tests.
//!
//! - [`clock`]: time since boot, behind a trait.
//! - [`meter`]: request rates per shard and of the hottest keys.
//! - [`node`]: state shared by all parts.
//! - [`protocol`]: protocols used with callers, targets and the platform's store.
//! - [`evacuations`]: evacuated data centres, and what the daemon may still send to its target.
//! - [`holdings`]: shards that the local target may hold under range grants.
//! - [`control`]: lease, table, configuration and planner.
//! - [`exchange`]: one request and its outcome.
//! - [`peers`]: HTTP/2 between daemons.
//! - [`owner`]: queue in front of the target, client of the target, announce port.
//! - [`ingress`]: caller port.
//! - [`operators`]: answers to operators, and checks of their commands.
//! - [`telemetry`]: logs, metrics, traces.
//! - [`reload`]: settings that change while the daemon runs.
//! - [`run`]: startup of the daemon, and the order of its shutdown.
//! - [`shutdown`]: graceful shutdown.

pub mod clock;
pub mod control;
pub mod evacuations;
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

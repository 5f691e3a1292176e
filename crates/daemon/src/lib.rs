//! The masticdeal daemon as a library: the binary wires the modules, the tests use them alone.
//!
//! - [`clock`]: the boot-time clock, passed in as an interface.
//! - [`node`]: state that all parts share.
//! - [`exchange`]: one request and its outcome.
//! - [`peers`]: h2 between daemons.
//! - [`ingress`]: the callers' port.
//! - [`owner`]: queue in front of the target, the target's client, the announce port.
//! - [`telemetry`]: logs, metrics, traces.
//! - [`shutdown`]: end of the daemon that cuts off nothing.

pub mod clock;
pub mod exchange;
pub mod ingress;
pub mod node;
pub mod owner;
pub mod peers;
pub mod shutdown;
pub mod telemetry;

//! Key ownership: which session owns which shard, and until when the session may serve it.
//!
//! The crate performs no I/O, reads no clock and starts no task. It takes events and the current
//! time (a [`Duration`](std::time::Duration) since boot) and returns effects.
//!
//! Invariants, checked by the `checker` module in the daemon and in the tests:
//! - at most one session may serve a shard,
//! - a session serves only while its lease is valid,
//! - the version of the table never decreases,
//! - no two assignments of a shard have the same epoch, also after the platform store was restored
//!   from a backup.

pub mod apply;
pub mod assignment;
pub mod change;
pub mod chart;
pub mod checker;
pub mod dissemination_tree;
pub mod history;
pub mod ids;
pub mod journal;
pub mod lease;
pub mod lessor_selection;
pub mod pending_moves;
pub mod planner;
pub mod restoration;
pub mod sketch;
pub mod swap_cause;
pub mod table;

//! Key ownership: which session owns which shard, and for how long it may act on that.
//!
//! The crate is pure: it performs no I/O, reads no clock and starts no task. Events and the
//! current time (a [`Duration`](std::time::Duration) since boot) go in, effects come out.
//!
//! Invariants, checked by the `checker` module in the daemon and in the tests:
//! - a shard has at most one session that may serve it,
//! - no session serves without a live lease,
//! - the version of the table never falls,
//! - an epoch of a shard is never used twice.

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
pub mod sketch;
pub mod table;

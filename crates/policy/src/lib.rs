//! Request policy: the decisions on the request path, free of side effects.
//!
//! Nothing in this crate performs I/O, reads a clock or starts a task. Functions that need the
//! current time take it as a [`Duration`](std::time::Duration) since boot, so that the daemon, the
//! load tool and the tests run the same code.

pub mod attempts;
pub mod balance;
pub mod caller_limits;
pub mod classifier;
pub mod cold;
pub mod deadline;
pub mod drain;
pub mod eject;
pub mod evacuation;
pub mod limit;
pub mod link;
pub mod outcome;
pub mod queue;
pub mod redirect;
pub mod response_sizes;
pub mod retry;
pub mod shape;
pub mod silence;
pub mod verdict;

pub use outcome::Outcome;
pub use verdict::Verdict;

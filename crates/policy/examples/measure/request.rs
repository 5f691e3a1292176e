//! Requests of the simulated callers.

use std::time::Duration;

use masticdeal_policy::balance::SentRequest;
use masticdeal_policy::classifier;
use masticdeal_policy::outcome::AttemptEnd;
use masticdeal_policy::queue::EntryId;

use crate::scenario::Drawn;

/// A request of the simulated callers.
pub struct Request {
    /// When it was due, in seconds.
    pub due: f64,
    /// Whether it is long.
    pub long: bool,
    /// Service time at speed 1, in seconds.
    pub work: f64,
    /// Request path.
    pub path: String,
    /// When its caller gives up, in seconds.
    pub deadline: f64,
    /// Attempts so far.
    pub attempts: u32,
    /// Index of its ingress.
    pub ingress: usize,
    /// Whether the target rejects it.
    pub caller_fault: bool,
    /// Whether its caller asks for the impossible.
    pub bad: bool,
    /// Wait that the last refusal asked for.
    pub retry_after: Option<Duration>,
    /// How the request ends when its deadline passes.
    pub at_deadline: AttemptEnd,
    /// Index of its present target.
    pub target: usize,
    /// The present attempt, as the balancer knows it.
    pub sent: Option<SentRequest>,
    /// Its place in the target's queue.
    pub place: Option<EntryId>,
    /// Shape as the ingress knows it.
    pub shape: Option<classifier::ShapeId>,
}

impl Request {
    /// Makes a request that is due now.
    pub fn new(now: f64, ingress: usize, drawn: Drawn) -> Self {
        Self {
            due: now,
            long: drawn.long,
            work: drawn.work,
            path: drawn.path,
            deadline: now + drawn.deadline,
            attempts: 0,
            ingress,
            caller_fault: drawn.caller_fault,
            bad: drawn.bad,
            retry_after: None,
            at_deadline: drawn.at_deadline,
            target: 0,
            sent: None,
            place: None,
            shape: None,
        }
    }
}

/// Returns what the classes need to know of a request.
pub fn shape_of(path: &str) -> classifier::Request<'_> {
    classifier::Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    }
}

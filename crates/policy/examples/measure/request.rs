//! State of simulated requests.

use std::time::Duration;

use masticdeal_policy::balance::SentRequest;
use masticdeal_policy::classifier;
use masticdeal_policy::outcome::AttemptEnd;
use masticdeal_policy::queue::EntryId;

use crate::scenario::DrawnRequest;

/// A simulated request.
pub struct Request {
    /// Scheduled arrival in seconds.
    pub arrival: f64,
    /// Whether the request is long.
    pub is_long: bool,
    /// Service time at speed 1 in seconds.
    pub work: f64,
    /// Request path.
    pub path: String,
    /// Time in seconds at which the caller gives up.
    pub deadline: f64,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Index of the ingress.
    pub ingress: usize,
    /// Whether the target rejects the request as invalid.
    pub caller_fault: bool,
    /// Whether the request comes from a bad caller.
    pub bad: bool,
    /// Wait advised in the last refusal.
    pub retry_after: Option<Duration>,
    /// End of the attempt if the deadline passes.
    pub end_at_deadline: AttemptEnd,
    /// Index of the current target.
    pub target: usize,
    /// Current attempt, which is returned to the balancer at its end.
    pub sent_request: Option<SentRequest>,
    /// Id in the queue of the target; `None` if the request neither waits nor runs there.
    pub entry: Option<EntryId>,
    /// Shape in the classifier of the ingress.
    pub shape: Option<classifier::ShapeId>,
}

impl Request {
    /// Creates a request that arrives now.
    pub fn new(now: f64, ingress: usize, drawn: DrawnRequest) -> Self {
        Self {
            arrival: now,
            is_long: drawn.is_long,
            work: drawn.work,
            path: drawn.path,
            deadline: now + drawn.deadline,
            attempts: 0,
            ingress,
            caller_fault: drawn.caller_fault,
            bad: drawn.bad,
            retry_after: None,
            end_at_deadline: drawn.end_at_deadline,
            target: 0,
            sent_request: None,
            entry: None,
            shape: None,
        }
    }
}

/// Returns the request properties for the classifier.
pub fn classifier_request(path: &str) -> classifier::Request<'_> {
    classifier::Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    }
}

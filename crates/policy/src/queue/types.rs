//! Types at the queue's interface.

use std::time::Duration;

use displaydoc::Display;

use crate::Verdict;
use crate::classifier::{Classification, CostClass, ExpectedTime, ShapeId};

/// Result of the queue.
pub type Result<T, E> = std::result::Result<T, E>;

/// Settings of a queue.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Part of the slots and of the places that long work may hold, above 0 and at most 1. Each
    /// class keeps at least one of both. `None` sets no limit (baseline).
    pub long_share: Option<f64>,
    /// Whether long work leaves short work the slots that it needs at present, within the share.
    pub adaptive_share: bool,
    /// Requests that may wait.
    pub capacity: usize,
    /// Time after which waiting long work goes before short work, at most half of the time that
    /// the request can wait. `None` never lets it (baseline).
    pub ageing: Option<Duration>,
    /// Order in which waiting requests start.
    pub order: Order,
    /// Part of the time to its deadline that a request may spend waiting, above 0 and at most 1.
    /// It keeps a queue under overload from standing at the longest wait that the deadlines allow.
    pub max_wait_share: f64,
    /// Whether requests that cannot meet their deadline are refused before it has passed. Without
    /// it, they are refused once it has (baseline).
    pub refuse_unreachable: bool,
    /// Part of the time to its objective for which a request that missed it may still wait, while
    /// others are in time. A late answer is worth something, a long wait for a refusal is not.
    pub overdue_wait_share: f64,
    /// Rate of the VM's link in bytes a second; 0 for one that is never short.
    pub link_bytes_per_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            long_share: Some(0.8),
            adaptive_share: true,
            capacity: 200,
            ageing: Some(Duration::from_millis(500)),
            order: Order::ShortFirst,
            max_wait_share: 0.7,
            refuse_unreachable: true,
            overdue_wait_share: 0.3,
            link_bytes_per_s: 0.0,
        }
    }
}

impl Settings {
    /// Returns the part of `whole` slots or places that long work may hold.
    pub fn long_quota(&self, whole: usize) -> usize {
        let Some(share) = self.long_share else {
            return whole;
        };
        if whole < 2 {
            return whole;
        }
        ((whole as f64 * share) as usize).clamp(1, whole - 1)
    }
}

/// Order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Short work first, with ageing for long work.
    ShortFirst,
    /// In order of arrival (baseline).
    Fifo,
    /// The most urgent rank first; within a rank the earliest objective first, and what has missed its
    /// objective last. It answers a crest at which targets wait for calls to one another: a call has
    /// little time and goes before new work, and new work that cannot be in time is refused before it
    /// takes a place. Less urgent work is passed over a bounded number of times.
    EarliestDueFirst,
}

/// Names an admitted request of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryId(pub(super) u64);

/// What the queue needs to know about a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Cost class.
    pub cost: CostClass,
    /// Learned shape, by which the request can change class later.
    pub shape: Option<ShapeId>,
    /// Expected service time; `None` takes the mean of the class.
    pub expected: Option<ExpectedTime>,
    /// Instant by which the answer is needed, as time since boot.
    pub deadline: Duration,
    /// Instant by which an answer is worth most; `None` when there is no such objective.
    pub due: Option<Duration>,
    /// How urgent the request is; 0 is the most urgent.
    pub priority: u32,
    /// Expected size of the answer in bytes; 0 when it is not known.
    pub bytes: f64,
}

impl RequestInfo {
    /// Makes the ticket of a classified request.
    pub fn new(class: Classification, deadline: Duration) -> Self {
        Self {
            cost: class.cost,
            shape: Some(class.shape),
            expected: class.expected,
            deadline,
            due: None,
            priority: 0,
            bytes: 0.0,
        }
    }
}

/// Right to run one request. It is given back with [`Queue::finish`](super::Queue::finish).
#[derive(Debug)]
#[must_use = "a permit that is not finished holds its slot for good"]
pub struct Permit {
    pub(super) id: EntryId,
    pub(super) waited: Duration,
}

impl Permit {
    /// Returns the ticket that the permit belongs to.
    pub fn id(&self) -> EntryId {
        self.id
    }

    /// Returns how long the request waited in the queue.
    pub fn waited(&self) -> Duration {
        self.waited
    }
}

/// Why the queue refused a request.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// queue full
    QueueFull,
    /// deadline cannot be met
    DeadlineUnreachable,
    /// deadline passed in the queue
    DeadlineExceeded,
    /// target is draining
    Draining,
}

/// the request was not run: {reason}
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which another try is likely to be admitted.
    pub retry_after: Duration,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the verdict, which is the same for all refusals: the queue never handed the
    /// request out.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }
}

/// A refused request, given back to the owner.
#[derive(Debug)]
pub struct Refused<T> {
    /// Reason and advice for the caller.
    pub refusal: Refusal,
    /// What the owner kept for the request.
    pub item: T,
}

/// What [`Queue::cancel`](super::Queue::cancel) found.
#[derive(Debug, PartialEq, Eq)]
pub enum Cancelled<T> {
    /// The request was waiting and is gone; it was not run.
    Waiting(T),
    /// The request is running; the owner stops it and finishes its permit.
    Running,
    /// The request has ended already.
    Unknown,
}

//! Types of the public interface of the queue.

use std::time::Duration;

use displaydoc::Display;

use crate::Verdict;
use crate::classifier::{Classification, CostClass, ExpectedTime, ShapeId};

/// Result whose error type depends on the operation of the queue.
pub type Result<T, E> = std::result::Result<T, E>;

/// Settings of a queue.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Share of the slots and of the places in the queue that long requests may hold, above 0 and
    /// at most 1. Of two or more slots or places, at least one remains for each cost class; a single
    /// one is not limited. `None` means no limit (baseline in simulations).
    pub long_share: Option<f64>,
    /// Whether the share of long requests decreases with the current demand of short requests.
    pub adaptive_share: bool,
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Wait after which a long request starts before short ones, reduced to half of the time that
    /// the request can wait if that is shorter. `None` means never (baseline in simulations).
    pub ageing: Option<Duration>,
    /// Order in which waiting requests start.
    pub order: Order,
    /// A new request is refused if its expected wait exceeds this share of the time to its deadline,
    /// above 0 and at most 1. This keeps the wait in an overloaded queue below the longest that the
    /// deadlines allow. [`Order::EarliestDueFirst`] does not use it.
    pub max_wait_share: f64,
    /// Whether requests that cannot meet their deadline are refused early. If false, they are
    /// refused only when the deadline has passed (baseline in simulations).
    pub refuse_unreachable: bool,
    /// With [`Order::EarliestDueFirst`], the time for which a request may wait beyond its
    /// objective, as a share of the time from its arrival to the objective. A late response has some value, but a
    /// long wait for a refusal has none.
    pub overdue_wait_share: f64,
    /// With [`Order::EarliestDueFirst`], whether a request whose objective has passed on arrival is
    /// admitted if, and only if, it starts immediately, also with a bulk response.
    pub late_if_idle: bool,
    /// Rate of the VM's network link in bytes per second; 0 if it is not limited.
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
            late_if_idle: false,
            link_bytes_per_s: 0.0,
        }
    }
}

impl Settings {
    /// Returns how many of `total` slots or places long requests may hold.
    pub fn long_quota(&self, total: usize) -> usize {
        let Some(share) = self.long_share else {
            return total;
        };
        if total < 2 {
            return total;
        }
        ((total as f64 * share) as usize).clamp(1, total - 1)
    }
}

/// Order in which waiting requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Short requests first, with ageing for long requests.
    ShortFirst,
    /// Order of arrival (baseline in simulations).
    Fifo,
    /// Highest priority first, and within a priority the earliest objective first. Requests that
    /// can no longer meet their objective come last within their priority. A lower priority is
    /// bypassed a bounded number of times, so that it does not starve.
    ///
    /// This order is for load peaks at which targets wait for requests that they send to one
    /// another. Such a request has little time left and starts before new requests. New requests
    /// that are expected to miss their objective are refused on arrival, unless the delay is small
    /// or a slot is free.
    EarliestDueFirst,
}

/// Id of an admitted request, unique within one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryId(pub(super) u64);

/// Properties of a request that determine its admission and order.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Cost class.
    pub cost: CostClass,
    /// Shape, by which the cost class is updated while the request waits or runs.
    pub shape: Option<ShapeId>,
    /// Expected service time; `None` stands for the mean of the cost class.
    pub expected: Option<ExpectedTime>,
    /// Instant by which the caller needs the response, as time since boot.
    pub deadline: Duration,
    /// Latest instant at which a response meets the latency objective, as time since boot; `None` if
    /// there is no objective. A later response is of less value to the caller.
    pub due: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Expected size of the response in bytes; 0 if it is not known.
    pub bytes: f64,
}

impl RequestInfo {
    /// Creates the properties of a classified request without objective, with the highest priority
    /// and an unknown response size.
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

/// Permit to run one request, to be passed to [`Queue::finish`](super::Queue::finish).
#[derive(Debug)]
#[must_use = "a permit holds its slot until it is passed to `Queue::finish`"]
pub struct Permit {
    pub(super) id: EntryId,
    pub(super) waited: Duration,
    pub(super) cold: bool,
}

impl Permit {
    /// Returns the id of the request.
    pub fn id(&self) -> EntryId {
        self.id
    }

    /// Returns how long the request waited in the queue.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns whether the target was cold when the request started. Its time is then no sample for
    /// a warm target.
    pub fn started_cold(&self) -> bool {
        self.cold
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
    /// target is cold
    ColdTarget,
}

/// Largest share by which [`Refusal::jittered`] prolongs the wait. Cold targets of a fleet that
/// returns together name the same times, so some tenths of a second keep the callers apart.
const MAX_JITTER: f64 = 0.1;

/// the request was not run: {reason}
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry is likely to be admitted.
    pub retry_after: Duration,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the verdict. It is the same for all refusals, since the request was never started.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Returns the refusal with a wait that is longer by up to a tenth if the target is cold. A
    /// shorter one would bring the caller back before there is a place. `random` is uniform in 0 to
    /// 1.
    pub fn jittered(self, random: f64) -> Self {
        if self.reason != RefusalReason::ColdTarget {
            return self;
        }
        let retry_after = self
            .retry_after
            .mul_f64(1.0 + MAX_JITTER * random.clamp(0.0, 1.0));
        Self {
            retry_after,
            ..self
        }
    }
}

/// A refused request, returned to the owner.
#[derive(Debug)]
pub struct Refused<T> {
    /// Reason, and advice for the caller.
    pub refusal: Refusal,
    /// State that the owner attached to the request.
    pub item: T,
}

/// Result of [`Queue::cancel`](super::Queue::cancel).
#[derive(Debug, PartialEq, Eq)]
pub enum Cancelled<T> {
    /// The request was waiting. It was removed and not run.
    Waiting(T),
    /// The request is running. The owner must abort it and pass its permit to
    /// [`Queue::finish`](super::Queue::finish).
    Running,
    /// The request is neither waiting nor running.
    Unknown,
}

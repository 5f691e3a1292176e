//! The owner's queue in front of one target.
//!
//! The [`ConcurrencyLimit`] limits the number of running requests. Long requests may hold only a
//! share of the slots. In the default [`Order`], short requests start first, but a long request
//! that has waited for the ageing time starts before them. Admission refuses requests that cannot
//! meet their deadline, so that callers learn of it early and the target does not run requests that
//! no caller waits for. A cold target also gets at most a given number of requests a second, see
//! [`crate::cold`].
//!
//! Invariants, which [`verify`] checks after each operation in debug builds:
//! - Requests start only within the limit.
//! - Long requests start only within their share of the slots, except in
//!   [`Order::EarliestDueFirst`].
//! - Requests start at a cold target only within its rate limit.
//! - Each admitted request is in exactly one state: waiting, running, refused, cancelled or
//!   finished.
//!
//! A refused request was never started, so its verdict is always `NotRun`.

mod cold_admission;
mod demand;
mod estimate;
mod lanes;
mod types;
mod verify;

use std::time::Duration;

use crate::classifier::{Classifier, CostClass, ShapeId};
use crate::cold::{ColdStart, Promises};
use crate::limit::ConcurrencyLimit;
use crate::link::Link;
use demand::Demand;
use lanes::{Entry, Lanes};

pub use types::{
    Cancelled, EntryId, Order, Permit, Refusal, RefusalReason, Refused, RequestInfo, Result,
    Settings,
};
pub use verify::{Violation, verify};

/// Shortest and longest advised time before a retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(30));

/// Time within which the owner starts a request that was admitted because it starts immediately. A
/// process with a tenth of a core may be interrupted in between.
const LATE_START_WINDOW: Duration = Duration::from_millis(20);

/// Weight of a new sample in the smoothed service time of a cost class.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Queue in front of one target. `T` is the state that the owner attaches to a request.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    limit: ConcurrencyLimit,
    link: Link,
    cold: ColdStart,
    promises: Promises,
    lanes: Lanes<T>,
    running: Vec<Running>,
    /// Requests that were refused after their admission, until [`Queue::take_refused`].
    refused: Vec<Refused<T>>,
    /// Running time above which a request counts as long, as last determined by
    /// [`Queue::reclassify`].
    long_threshold: Option<Duration>,
    /// Smoothed service times by cost class, in seconds.
    service_times_s: [Option<f64>; 2],
    /// Demand of short requests, including refused ones.
    demand: Demand,
    /// While draining, the instant until which waiting requests may start.
    start_until: Option<Duration>,
    /// Value of [`Classifier::class_changes`] at the last reclassification.
    seen_class_changes: u64,
    next_id: u64,
    counts: Counts,
}

/// A running request, which holds a slot.
#[derive(Debug, Clone)]
struct Running {
    id: EntryId,
    cost: CostClass,
    shape: Option<ShapeId>,
    started: Duration,
    expected: Duration,
    /// Expected size of the response in bytes.
    bytes: f64,
    /// Whether the target was cold. The time of the request is then no sample for a warm target.
    cold: bool,
}

/// Numbers of requests by state, and limits, for [`verify`].
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    admitted: u64,
    /// Requests that were refused after their admission and taken by the owner.
    refused: u64,
    cancelled: u64,
    finished: u64,
    /// Maximum number of running requests. After a reduction of the limit it decreases only as
    /// requests finish.
    allowed: usize,
    /// Maximum number of running long requests, by the same rule.
    allowed_long: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings, limit: ConcurrencyLimit) -> Self {
        Self {
            lanes: Lanes::new(settings.order),
            link: Link::new(settings.link_bytes_per_s),
            settings,
            limit,
            cold: ColdStart::default(),
            promises: Promises::default(),
            running: Vec::new(),
            refused: Vec::new(),
            long_threshold: None,
            service_times_s: [None; 2],
            demand: Demand::default(),
            start_until: None,
            seen_class_changes: 0,
            next_id: 0,
            counts: Counts::default(),
        }
    }

    /// Admits or refuses a request.
    ///
    /// The owner must call [`Queue::pop`] next, since a slot may be free.
    ///
    /// # Errors
    ///
    /// [`Refused`] contains the item, the reason, and the time after which a retry is likely to be
    /// admitted. The request was not run.
    pub fn push(
        &mut self,
        now: Duration,
        info: RequestInfo,
        item: T,
    ) -> Result<EntryId, Refused<T>> {
        let expected = self.expected_time(&info);
        if info.cost == CostClass::Short {
            self.demand.record(now, expected.mean);
        }
        self.promises.record_arrival(now, info.priority);
        if let Err(refusal) = self.admit(now, &info, expected) {
            return Err(Refused { refusal, item });
        }
        let id = EntryId(self.next_id);
        self.next_id += 1;
        self.counts.admitted += 1;
        let latest = info.deadline.checked_sub(expected.upper);
        self.lanes.push(Entry {
            id,
            cost: info.cost,
            shape: info.shape,
            expected: expected.mean,
            arrived: now,
            promoted_at: self.promoted_at(now, latest.unwrap_or(now)),
            start_by: self.start_by(now, &info, latest),
            start_by_due: self.start_by_due(&info, expected.mean),
            priority: info.priority,
            bytes: info.bytes,
            bulk: self.link.is_bulk(info.bytes),
            item,
        });
        self.check_invariants();
        Ok(id)
    }

    /// Starts the next request that may run now.
    ///
    /// Entries that can no longer meet their deadline are kept for [`Queue::take_refused`].
    pub fn pop(&mut self, now: Duration) -> Option<(T, Permit)> {
        self.refuse_expired(now);
        self.update_allowed(now);
        if self.running.len() >= self.limit.slots(now) || self.cold.next_start(now) > now {
            return None;
        }
        let long_allowed = self.long_running() < self.long_limit(now);
        let link_has_room = self.link.has_room(now);
        let entry = self.lanes.pop(now, long_allowed, link_has_room)?;
        self.link.add_response(now, entry.bytes);
        self.cold.record_start(now);
        let cold = self.cold.is_cold(now);
        self.running.push(Running {
            id: entry.id,
            cost: entry.cost,
            shape: entry.shape,
            started: now,
            expected: entry.expected,
            bytes: entry.bytes,
            cold,
        });
        self.check_invariants();
        let permit = Permit {
            id: entry.id,
            waited: now.saturating_sub(entry.arrived),
            cold,
        };
        Some((entry.item, permit))
    }

    /// Frees the slot of a finished request.
    ///
    /// `service_time` is `None` if the request was aborted, since its duration is then no sample.
    pub fn finish(&mut self, now: Duration, permit: Permit, service_time: Option<Duration>) {
        self.finish_with_size(now, permit, service_time, None);
    }

    /// Frees the slot of a finished request, with the response size in bytes if it is known.
    pub fn finish_with_size(
        &mut self,
        now: Duration,
        permit: Permit,
        service_time: Option<Duration>,
        bytes: Option<u64>,
    ) {
        let Some(index) = self.running.iter().position(|r| r.id == permit.id) else {
            debug_assert!(false, "the permit belongs to another queue");
            return;
        };
        let finished_request = self.running.swap_remove(index);
        self.counts.finished += 1;
        if let Some(bytes) = bytes {
            self.link
                .correct_response(finished_request.bytes, bytes as f64);
        }
        if let Some(time) = service_time.filter(|_| !finished_request.cold) {
            let sample = time.as_secs_f64();
            let mean = self.service_times_s[finished_request.cost as usize].get_or_insert(sample);
            *mean += SERVICE_TIME_WEIGHT * (sample - *mean);
        }
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Cancels a request after its caller has disconnected.
    ///
    /// A running request holds its slot until the owner has aborted it and calls
    /// [`Queue::finish`].
    pub fn cancel(&mut self, id: EntryId) -> Cancelled<T> {
        if let Some(entry) = self.lanes.remove(id) {
            self.counts.cancelled += 1;
            self.check_invariants();
            return Cancelled::Waiting(entry.item);
        }
        if self.running.iter().any(|r| r.id == id) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Returns the requests that were refused after their admission, since the last call.
    ///
    /// They can no longer meet their deadline, or did not start before the instant that
    /// [`Queue::drain`] set. None of them was run.
    pub fn take_refused(&mut self, now: Duration) -> Vec<Refused<T>> {
        self.refuse_expired(now);
        let refused = std::mem::take(&mut self.refused);
        self.counts.refused += refused.len() as u64;
        self.check_invariants();
        refused
    }

    /// Updates the cost classes of running and waiting requests.
    ///
    /// A running request that exceeds the threshold counts as long from now on. Waiting requests
    /// move to the lane of the current class of their shape. The owner must call this at
    /// [`Queue::next_wakeup`] and before [`Queue::pop`].
    pub fn reclassify(&mut self, now: Duration, classifier: &mut Classifier) {
        for request in &mut self.running {
            let Some(shape) = request.shape else { continue };
            self.long_threshold = classifier.long_threshold_of(shape).or(self.long_threshold);
            if request.cost == CostClass::Long {
                continue;
            }
            let elapsed = now.saturating_sub(request.started);
            request.cost = classifier.classify_running(shape, elapsed);
        }
        self.counts.allowed_long = self.counts.allowed_long.max(self.long_running());
        if self.seen_class_changes != classifier.class_changes() {
            self.seen_class_changes = classifier.class_changes();
            self.lanes.reclassify(|shape| classifier.cost(shape));
        }
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Returns when the owner must next call [`Queue::reclassify`], [`Queue::take_refused`] and
    /// [`Queue::pop`] if no request arrives or finishes before; `None` if that is not necessary.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let reclassify_at = self.long_threshold.and_then(|threshold| {
            let short = self.running.iter().filter(|r| r.cost == CostClass::Short);
            short.map(|r| r.started + threshold).min()
        });
        let waiting = !self.lanes.is_empty();
        let limit_recheck_at = self.limit.recheck_at(now).filter(|_| waiting);
        let drain_end = self.start_until.filter(|_| waiting);
        let bulk_waits = !self.link.has_room(now) && self.lanes.has_bulk();
        let link_room_at = bulk_waits.then(|| self.link.room_at());
        let has_slot = self.running.len() < self.limit.slots(now);
        let cold_start_at = Some(self.cold.next_start(now));
        let cold_start_at = cold_start_at.filter(|at| waiting && has_slot && now < *at);
        let times = [
            reclassify_at,
            self.lanes.next_start_by(),
            limit_recheck_at,
            drain_end,
            link_room_at,
            cold_start_at,
            self.cold.turns_warm_at(now),
        ];
        let earliest = now + Duration::from_millis(1);
        times.into_iter().flatten().min().map(|at| at.max(earliest))
    }

    /// Sets the slots that the target announces.
    pub fn set_slots(&mut self, now: Duration, slots: usize) {
        self.limit.set_slots(slots);
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Replaces the settings. The capacity is not reduced below the number of requests that are
    /// waiting now.
    pub fn configure(&mut self, now: Duration, settings: Settings) {
        let capacity = settings.capacity.max(self.lanes.len());
        self.lanes.set_order(settings.order);
        self.link.set_rate(settings.link_bytes_per_s);
        self.settings = Settings {
            capacity,
            ..settings
        };
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Starts the ramp-up of a cold target that has become ready.
    pub fn start_cold(&mut self, now: Duration) {
        self.limit.start_cold(now);
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Reduces the concurrency limit because the target shed a request.
    pub fn reduce_limit(&mut self, now: Duration) {
        self.limit.reduce(now);
        self.update_allowed(now);
        self.check_invariants();
    }

    /// Stops admission. Waiting requests may start until `start_until` and are refused after that.
    pub fn drain(&mut self, start_until: Duration) {
        self.start_until = Some(start_until);
    }

    /// Resumes admission after a drain.
    pub fn resume(&mut self) {
        self.start_until = None;
    }

    /// Returns whether the queue holds no waiting, running or refused requests.
    pub fn is_idle(&self) -> bool {
        self.lanes.is_empty() && self.running.is_empty() && self.refused.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of running requests that count as long.
    pub fn long_running(&self) -> usize {
        let long = |r: &&Running| r.cost == CostClass::Long;
        self.running.iter().filter(long).count()
    }

    /// Returns the number of requests that may run concurrently.
    pub fn slots(&self, now: Duration) -> usize {
        self.limit.slots(now)
    }

    /// Returns the number of slots that long requests may hold.
    pub fn long_limit(&self, now: Duration) -> usize {
        let slots = self.limit.slots(now);
        if self.settings.order == Order::EarliestDueFirst {
            // This order does not distinguish cost classes.
            return slots;
        }
        let max_slots = self.settings.long_quota(slots);
        if !self.settings.adaptive_share {
            return max_slots;
        }
        // Long requests keep a quarter of their share regardless of the demand of short ones. With
        // half of it, a load peak of short requests at 9 slots was served worse than in FIFO order.
        let min_slots = max_slots.div_ceil(4);
        let free_slots = slots.saturating_sub(self.demand.slots(now));
        free_slots.clamp(min_slots, max_slots)
    }

    /// Returns the instant at which a request is refused if it has not started.
    ///
    /// `latest` is the last instant at which a start is expected to meet the deadline. A request
    /// that was admitted after that instant, or without [`Settings::refuse_unreachable`], may start
    /// until its deadline. With [`Order::EarliestDueFirst`], [`Settings::overdue_wait_share`] also
    /// limits the wait, and with [`Settings::late_if_idle`] a late request does not wait.
    fn start_by(&self, now: Duration, info: &RequestInfo, latest: Option<Duration>) -> Duration {
        let reachable = latest.filter(|latest| self.settings.refuse_unreachable && *latest >= now);
        let start_by = reachable.unwrap_or(info.deadline);
        let Some(due) = info
            .due
            .filter(|_| self.settings.order == Order::EarliestDueFirst)
        else {
            return start_by;
        };
        if self.is_late(now, info) {
            return start_by.min(now + LATE_START_WINDOW);
        }
        let overdue_wait = due
            .saturating_sub(now)
            .mul_f64(self.settings.overdue_wait_share);
        start_by.min(due + overdue_wait)
    }

    /// Returns the last instant at which a start is expected to meet the objective, or the deadline
    /// of a request without objective.
    fn start_by_due(&self, info: &RequestInfo, expected: Duration) -> Duration {
        let due = info.due.unwrap_or(info.deadline);
        due.saturating_sub(expected)
    }

    /// Returns from when on a long request starts before short ones.
    ///
    /// `latest` is the last instant at which its start is expected to meet the deadline.
    fn promoted_at(&self, now: Duration, latest: Duration) -> Duration {
        let Some(ageing) = self.settings.ageing else {
            return Duration::MAX;
        };
        let slack = latest.saturating_sub(now) / 2;
        now.saturating_add(ageing.min(slack))
    }

    /// Refuses the entries that may no longer start.
    fn refuse_expired(&mut self, now: Duration) {
        let drain_ended = self.start_until.is_some_and(|until| now >= until);
        let is_cold = self.cold.is_cold(now) && !drain_ended;
        let reason = if drain_ended {
            RefusalReason::Draining
        } else {
            RefusalReason::DeadlineExceeded
        };
        let retry_after = match self.settings.order {
            Order::EarliestDueFirst => self
                .backlog(now)
                .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
            _ => RETRY_AFTER_RANGE.0,
        };
        for entry in self.lanes.take_expired(now, drain_ended) {
            let refusal = match is_cold {
                true => self.cold_refusal(now, entry.priority, Duration::ZERO),
                false => Refusal {
                    reason,
                    retry_after,
                },
            };
            let item = entry.item;
            self.refused.push(Refused { refusal, item });
        }
    }

    /// Updates the maximum numbers of running requests after a change of the limit or a finish.
    fn update_allowed(&mut self, now: Duration) {
        let slots = self.limit.slots(now);
        self.counts.allowed = slots.max(self.running.len().min(self.counts.allowed));
        let long = self.long_limit(now);
        self.counts.allowed_long = long.max(self.long_running().min(self.counts.allowed_long));
    }

    /// Checks the invariants in debug builds.
    fn check_invariants(&self) {
        if cfg!(debug_assertions)
            && let Err(violation) = verify(self)
        {
            panic!("queue invariant violated: {violation}");
        }
    }
}

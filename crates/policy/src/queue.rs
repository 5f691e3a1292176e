//! The owner's queue in front of one target.
//!
//! At most as many requests run as the [`ConcurrencyLimit`] allows. Long work holds only its share of the
//! slots; short work goes first, and long work that has waited its time goes before it. Admission
//! refuses what cannot meet its deadline at once, so that the caller can still do something else
//! and the target does no work that nobody waits for.
//!
//! Invariants, checked by [`verify`] after each step in debug builds: never more requests run than
//! slots are allowed; long work holds at most its share when it starts; every admitted request is
//! waiting, running, refused, cancelled or finished, and exactly one of these. A refused request
//! was never handed out, so its verdict is always `NotRun`.

mod demand;
mod estimate;
mod lanes;
mod types;
mod verify;

use std::time::Duration;

use crate::classifier::{Classifier, CostClass, ShapeId};
use crate::limit::ConcurrencyLimit;
use crate::link::Link;
use demand::Demand;
use lanes::{Entry, Lanes};

pub use types::{
    Cancelled, EntryId, Order, Permit, Refusal, RefusalReason, Refused, RequestInfo, Result,
    Settings,
};
pub use verify::{Violation, verify};

/// Longest and shortest advice of when to try again.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_secs(30));

/// Weight of a new sample in the smoothed service time of a class.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Queue in front of one target; `T` is what the owner keeps per request.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    limit: ConcurrencyLimit,
    link: Link,
    lanes: Lanes<T>,
    running: Vec<Running>,
    /// Admitted requests that were refused later, until the owner takes them.
    refused: Vec<Refused<T>>,
    /// Running time above which a request counts as long.
    long_threshold: Option<Duration>,
    /// Smoothed service times by class, in seconds.
    service_times_s: [Option<f64>; 2],
    /// What short work asks for, refused requests included.
    demand: Demand,
    /// Set while draining: until when queued requests may still start.
    start_until: Option<Duration>,
    /// Changes of the classes that the waiting requests follow.
    seen_class_changes: u64,
    next_id: u64,
    counts: Counts,
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct Running {
    id: EntryId,
    cost: CostClass,
    shape: Option<ShapeId>,
    started: Duration,
    expected: Duration,
    /// Expected size of the answer, in bytes.
    bytes: f64,
}

/// What became of the admitted requests, for the verifier.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    admitted: u64,
    refused: u64,
    cancelled: u64,
    finished: u64,
    /// Most requests that may run: the limit, or what ran when it was lowered.
    allowed: usize,
    /// Most long requests that may run, by the same rule.
    allowed_long: usize,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    pub fn new(settings: Settings, limit: ConcurrencyLimit) -> Self {
        Self {
            lanes: Lanes::new(settings.order),
            link: Link::new(settings.link_bytes_per_s),
            settings,
            limit,
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

    /// Admits a request, or refuses it at once.
    ///
    /// The owner calls [`Queue::pop`] next, since a slot may be free.
    ///
    /// # Errors
    ///
    /// [`Refused`] gives the item back with the reason and the time after which a retry is likely
    /// to be admitted. The request was not run.
    pub fn push(
        &mut self,
        now: Duration,
        info: RequestInfo,
        item: T,
    ) -> Result<EntryId, Refused<T>> {
        let expected = self.expected(&info);
        if info.cost == CostClass::Short {
            self.demand.record(now, expected.mean);
        }
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
            due: self.latest_start_for_due(&info, expected.mean),
            priority: info.priority,
            bytes: info.bytes,
            bulk: self.link.is_bulk(info.bytes),
            item,
        });
        self.check();
        Ok(id)
    }

    /// Hands out the next request that may run now.
    ///
    /// Entries that can no longer meet their deadline are set aside for [`Queue::take_refused`].
    pub fn pop(&mut self, now: Duration) -> Option<(T, Permit)> {
        self.refuse_expired(now);
        self.update_allowed(now);
        if self.running.len() >= self.limit.slots(now) {
            return None;
        }
        let long_allowed = self.long_running() < self.long_limit(now);
        let link_has_room = self.link.has_room(now);
        let entry = self.lanes.pop(now, long_allowed, link_has_room)?;
        self.link.start(now, entry.bytes);
        self.running.push(Running {
            id: entry.id,
            cost: entry.cost,
            shape: entry.shape,
            started: now,
            expected: entry.expected,
            bytes: entry.bytes,
        });
        self.check();
        let permit = Permit {
            id: entry.id,
            waited: now.saturating_sub(entry.arrived),
        };
        Some((entry.item, permit))
    }

    /// Frees the slot of a request that has ended.
    ///
    /// `service_time` is `None` when the request was cut off, so that its time says nothing.
    pub fn finish(&mut self, now: Duration, permit: Permit, service_time: Option<Duration>) {
        self.finish_with_size(now, permit, service_time, None);
    }

    /// Frees the slot of a request that has ended with an answer of `bytes` bytes, when that is known.
    pub fn finish_with_size(
        &mut self,
        now: Duration,
        permit: Permit,
        service_time: Option<Duration>,
        bytes: Option<u64>,
    ) {
        let Some(at) = self.running.iter().position(|r| r.id == permit.id) else {
            debug_assert!(false, "permit of another queue");
            return;
        };
        let done = self.running.swap_remove(at);
        self.counts.finished += 1;
        if let Some(bytes) = bytes {
            self.link.finish(done.bytes, bytes as f64);
        }
        if let Some(time) = service_time {
            let sample = time.as_secs_f64();
            let mean = self.service_times_s[done.cost as usize].get_or_insert(sample);
            *mean += SERVICE_TIME_WEIGHT * (sample - *mean);
        }
        self.update_allowed(now);
        self.check();
    }

    /// Withdraws a request whose caller has gone.
    ///
    /// A running request keeps its slot until the owner has stopped it and calls
    /// [`Queue::finish`].
    pub fn cancel(&mut self, id: EntryId) -> Cancelled<T> {
        if let Some(entry) = self.lanes.remove(id) {
            self.counts.cancelled += 1;
            self.check();
            return Cancelled::Waiting(entry.item);
        }
        if self.running.iter().any(|r| r.id == id) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Returns the admitted requests that were refused since the last call: their deadline can no
    /// longer be met, or the drain ended. None of them was run.
    pub fn take_refused(&mut self, now: Duration) -> Vec<Refused<T>> {
        self.refuse_expired(now);
        let refused = std::mem::take(&mut self.refused);
        self.counts.refused += refused.len() as u64;
        self.check();
        refused
    }

    /// Reviews the running and waiting requests against what the classes have learned.
    ///
    /// A running request that passed the short bound counts as long from now on, and waiting
    /// requests of a shape that became long move to the long work. The owner calls this at
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
        self.check();
    }

    /// Returns when the owner should next call [`Queue::reclassify`], [`Queue::take_refused`] and
    /// [`Queue::pop`] although no request came or ended; `None` when there is nothing to wait for.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let overrun = self.long_threshold.and_then(|bound| {
            let short = self.running.iter().filter(|r| r.cost == CostClass::Short);
            short.map(|r| r.started + bound).min()
        });
        let waiting = !self.lanes.is_empty();
        let limit = self.limit.next_change(now).filter(|_| waiting);
        let drain = self.start_until.filter(|_| waiting);
        let bulk = !self.link.has_room(now) && self.lanes.has_bulk();
        let link = bulk.then(|| self.link.has_room_at());
        let times = [overrun, self.lanes.next_start_by(), limit, drain, link];
        let tick = now + Duration::from_millis(1);
        times.into_iter().flatten().min().map(|at| at.max(tick))
    }

    /// Takes over the slots that the target announces.
    pub fn set_slots(&mut self, now: Duration, slots: usize) {
        self.limit.set_slots(slots);
        self.update_allowed(now);
        self.check();
    }

    /// Takes over changed settings. Requests that wait beyond a lower length keep their places.
    pub fn configure(&mut self, now: Duration, settings: Settings) {
        let capacity = settings.capacity.max(self.lanes.len());
        self.lanes.set_order(settings.order);
        self.link.set_rate(settings.link_bytes_per_s);
        self.settings = Settings {
            capacity,
            ..settings
        };
        self.update_allowed(now);
        self.check();
    }

    /// Starts the ramp of a target that has just become ready and is cold.
    pub fn start_cold(&mut self, now: Duration) {
        self.limit.start_cold(now);
        self.update_allowed(now);
        self.check();
    }

    /// Lowers the running slots because the target shed a request.
    pub fn reduce_limit(&mut self, now: Duration) {
        self.limit.reduce(now);
        self.update_allowed(now);
        self.check();
    }

    /// Stops admission. Requests that wait may start until `start_until`; what still waits then is
    /// refused.
    pub fn drain(&mut self, start_until: Duration) {
        self.start_until = Some(start_until);
    }

    /// Takes new requests again after a drain.
    pub fn resume(&mut self) {
        self.start_until = None;
    }

    /// Returns whether nothing waits and nothing runs.
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

    /// Returns the requests that may run at once now.
    pub fn slots(&self, now: Duration) -> usize {
        self.limit.slots(now)
    }

    /// Returns the slots that long work may hold now.
    pub fn long_limit(&self, now: Duration) -> usize {
        let slots = self.limit.slots(now);
        let most = self.settings.long_quota(slots);
        if !self.settings.adaptive_share {
            return most;
        }
        // A quarter of its share stays to long work whatever short work asks for. With half of it,
        // a flood of short work at 9 slots was served worse than in order of arrival.
        let least = most.div_ceil(4);
        let left = slots.saturating_sub(self.demand.slots(now));
        left.clamp(least, most)
    }

    /// Returns the last instant at which a request may start. A request that was admitted as a
    /// trial, against its expected time, may start until its deadline.
    fn start_by(&self, now: Duration, info: &RequestInfo, latest: Option<Duration>) -> Duration {
        let in_time = latest.filter(|latest| self.settings.refuse_unreachable && *latest >= now);
        let start_by = in_time.unwrap_or(info.deadline);
        let Some(due) = info
            .due
            .filter(|_| self.settings.order == Order::EarliestDueFirst)
        else {
            return start_by;
        };
        let late = due
            .saturating_sub(now)
            .mul_f64(self.settings.overdue_wait_share);
        start_by.min(due + late)
    }

    /// Returns the last instant at which a start meets the objective.
    fn latest_start_for_due(&self, info: &RequestInfo, expected: Duration) -> Duration {
        let due = info.due.unwrap_or(info.deadline);
        due.saturating_sub(expected)
    }

    fn promoted_at(&self, now: Duration, latest: Duration) -> Duration {
        let Some(ageing) = self.settings.ageing else {
            return Duration::MAX;
        };
        let slack = latest.saturating_sub(now) / 2;
        now.saturating_add(ageing.min(slack))
    }

    /// Moves entries that may no longer start to the refused ones.
    fn refuse_expired(&mut self, now: Duration) {
        let drained = self.start_until.is_some_and(|until| now >= until);
        let reason = if drained {
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
        for entry in self.lanes.take_expired(now, drained) {
            let refusal = Refusal {
                reason,
                retry_after,
            };
            let item = entry.item;
            self.refused.push(Refused { refusal, item });
        }
    }

    /// Lowers what the verifier allows to the limit as running requests end.
    fn update_allowed(&mut self, now: Duration) {
        let slots = self.limit.slots(now);
        self.counts.allowed = slots.max(self.running.len().min(self.counts.allowed));
        let long = self.long_limit(now);
        self.counts.allowed_long = long.max(self.long_running().min(self.counts.allowed_long));
    }

    /// Runs the verifier in debug builds.
    fn check(&self) {
        if cfg!(debug_assertions)
            && let Err(violation) = verify(self)
        {
            panic!("queue invariant broken: {violation}");
        }
    }
}

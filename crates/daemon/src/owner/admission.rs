//! Admission control in front of the target: drives the queue of [`masticdeal_policy`] with tasks
//! and a timer.

mod cold;
mod returning;
mod slot;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_config::deployment::Service;
use masticdeal_policy::classifier::{self, Classifier, CostClass, ShapeId};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{self, EntryId, Queue, Refusal, Refused, RequestInfo};
use masticdeal_policy::response_sizes::ResponseSizes;
use masticdeal_wire::peer::{Forward, LoadHint, Reason};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::exchange::{Failure, classifier_request};
use crate::node::Node;
use crate::telemetry::metrics::observe_duration;
use returning::Caller;
pub use slot::Slot;

/// Bytes per second of a 1 Mbit/s link.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Extra wait after the deadline for the queue's own refusal, which has a more precise reason than
/// a time-out, and a `retry_after`.
const REFUSAL_GRACE: Duration = Duration::from_millis(5);

/// Estimated conditions for a request that enters the queue now.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Number of requests that may run concurrently.
    pub slots: usize,
    /// Estimated time in the queue.
    pub queue_wait: Duration,
}

/// Queue item of a waiting request.
struct WaitingRequest {
    reply: oneshot::Sender<Result<Slot, Failure>>,
    shape: ShapeId,
    cost: CostClass,
    caller: Option<Caller>,
}

/// Admission control: the running and the waiting requests.
pub struct Admission {
    node: Arc<Node>,
    inner: Mutex<Inner>,
    /// Notified when the next wake-up of the timer moves to an earlier time.
    wakeup_changed: Notify,
}

struct Inner {
    queue: Queue<WaitingRequest>,
    classifier: Classifier,
    slots: usize,
    /// Average service time in seconds for the load hint; 0 before the first sample.
    service_s: f64,
    /// Average service time in seconds for the planner, over many more requests: a few long
    /// requests must not move shards.
    planner_service_s: f64,
    /// Average time in seconds from the response head to the end of the body, by cost class.
    body_time_s: [f64; 2],
    /// Response sizes by request shape.
    response_sizes: ResponseSizes,
    /// Next wake-up of the timer, as time since boot.
    wake_at: Option<Duration>,
    published: cold::Published,
}

impl Admission {
    /// Creates the admission control without slots and starts its timer.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let limit = ConcurrencyLimit::new(limit::Settings::default(), 0);
        let inner = Inner {
            queue: Queue::new(queue::Settings::default(), limit),
            classifier: Classifier::new(classifier::Settings::default()),
            slots: 0,
            service_s: 0.0,
            planner_service_s: 0.0,
            body_time_s: [0.0; 2],
            response_sizes: ResponseSizes::default(),
            wake_at: None,
            published: cold::Published::default(),
        };
        let admission = Arc::new(Self {
            node,
            inner: Mutex::new(inner),
            wakeup_changed: Notify::new(),
        });
        tokio::spawn(run_timer(Arc::downgrade(&admission)));
        admission
    }

    /// Waits for a slot of the target until `deadline`, a time since boot.
    ///
    /// # Errors
    ///
    /// [`Reason::QueueFull`], [`Reason::Deadline`], [`Reason::ColdTarget`] or
    /// [`Reason::TargetAway`], each with the verdict `NotRun`.
    pub async fn admit(
        self: &Arc<Self>,
        head: &Forward,
        service: Option<&Service>,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        let start = self.node.clock.now();
        let (_entry, rx) = self.enqueue(head, service, deadline)?;
        self.run_queue();
        let max_wait = deadline.saturating_sub(start) + REFUSAL_GRACE;
        let slot = timeout(max_wait, rx).await;
        observe_duration(
            &self.node.metrics.queue_time,
            self.node.clock.now().saturating_sub(start),
        );
        match slot {
            Ok(Ok(slot)) => slot,
            Ok(Err(_)) => Err(Failure::not_run(Reason::TargetAway)),
            Err(_) => Err(Failure::not_run(Reason::Deadline)),
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        head: &Forward,
        service: Option<&Service>,
        deadline: Duration,
    ) -> Result<(QueueEntry, oneshot::Receiver<Result<Slot, Failure>>), Failure> {
        let now = self.node.clock.now();
        let mut inner = self.lock();
        inner.update_cold(now, &self.node);
        let class = inner
            .classifier
            .classify(now, classifier_request(head, service));
        // The deadline applies to the response head, but the queue plans with complete service
        // times. The body may be sent after the deadline, so its average time is added.
        let body_time = Duration::from_secs_f64(inner.body_time_s[class.cost as usize]);
        let objective = head.objective_ms.map(u64::from).map(Duration::from_millis);
        let caller = Caller::recognise(&self.node, now, head, &class);
        let age = caller.as_ref().map_or(Duration::ZERO, |c| c.age);
        let info = RequestInfo {
            due: objective.map(|remaining| (now + remaining).saturating_sub(age)),
            priority: head.rank,
            bytes: inner.response_sizes.expected_bytes(class.shape),
            ..RequestInfo::new(class, deadline + body_time)
        };
        let (reply, rx) = oneshot::channel();
        let waiting = WaitingRequest {
            reply,
            shape: class.shape,
            cost: class.cost,
            caller,
        };
        match inner.queue.push(now, info, waiting) {
            Ok(id) => Ok((
                QueueEntry {
                    admission: Arc::clone(self),
                    id,
                },
                rx,
            )),
            Err(refused) => Err(self.failure(now, &refused)),
        }
    }

    /// Starts admission with the target's slots and the configuration of its service.
    ///
    /// With `cold_start` the limit on running requests ramps up. With `earliest_due_first` requests
    /// start in the order of their objectives.
    pub fn open(
        self: &Arc<Self>,
        slots: usize,
        cold_start: bool,
        service: Option<&Service>,
        earliest_due_first: bool,
    ) {
        let now = self.node.clock.now();
        {
            let mut inner = self.lock();
            inner.slots = slots;
            inner.queue.set_slots(now, slots);
            inner.queue.resume();
            if cold_start {
                inner.queue.start_cold(now);
            }
            if let Some(service) = service {
                let capacity = service
                    .queue_length
                    .min(self.node.settings.limits.queue_length);
                let base = queue::Settings {
                    capacity,
                    link_bytes_per_s: self.node.settings.limits.link_mbps * BYTES_PER_MBIT,
                    late_if_idle: self.node.settings.limits.returning_callers,
                    ..Default::default()
                };
                let settings = if earliest_due_first {
                    queue::Settings {
                        long_share: None,
                        order: queue::Order::EarliestDueFirst,
                        ..base
                    }
                } else {
                    queue::Settings {
                        long_share: Some(service.long_share),
                        ..base
                    }
                };
                inner.queue.configure(now, settings);
                inner.configure_cold(service);
            }
        }
        self.run_queue();
    }

    /// Stops admission. Waiting requests may start within `grace`; the others are then refused.
    pub fn close(self: &Arc<Self>, grace: Duration) {
        let now = self.node.clock.now();
        self.lock().queue.drain(now + grace);
        self.run_queue();
    }

    /// Returns the load of the target as counted by this daemon.
    pub fn load(&self) -> LoadHint {
        let now = self.node.clock.now();
        let inner = self.lock();
        let saturate = |count: usize| count.min(usize::from(u16::MAX)) as u16;
        let start_wait_ms = inner.queue.start_wait(now).as_millis();
        LoadHint {
            running: saturate(inner.queue.running()),
            queued: saturate(inner.queue.waiting()),
            service_us: (inner.service_s * 1e6) as u32,
            start_wait_ms: start_wait_ms.min(u16::MAX.into()) as u16,
        }
    }

    /// Returns the estimate for a request with this objective and priority.
    pub fn estimate(&self, objective_ms: Option<u32>, priority: u32) -> Estimate {
        let now = self.node.clock.now();
        let inner = self.lock();
        let due = objective_ms.map(|ms| now + Duration::from_millis(ms.into()));
        Estimate {
            slots: inner.queue.slots(now),
            queue_wait: inner.queue.estimated_wait_by_priority(now, due, priority),
        }
    }

    /// Returns the measured capacity in requests per second, or 0 before the first measurement.
    pub fn service_rate(&self) -> f64 {
        let inner = self.lock();
        if inner.planner_service_s > 0.0 {
            inner.slots as f64 / inner.planner_service_s
        } else {
            0.0
        }
    }

    /// Starts the requests that may run, refuses those that cannot, and sets the timer.
    fn run_queue(self: &Arc<Self>) {
        // Send slots and refusals after the lock is released. If a request was cancelled, sending
        // drops its slot, and the drop takes the lock.
        let now = self.node.clock.now();
        let (started, refused) = {
            let mut inner = self.lock();
            let inner = &mut *inner;
            inner.update_cold(now, &self.node);
            inner.queue.reclassify(now, &mut inner.classifier);
            let mut started = Vec::new();
            while let Some((waiting, permit)) = inner.queue.pop(now) {
                let class = (waiting.shape, waiting.cost);
                if let Some(caller) = &waiting.caller {
                    caller.count_admitted(&self.node);
                }
                started.push((waiting.reply, Slot::new(self, permit, now, class)));
            }
            let refused = inner.queue.take_refused(now);
            let next = inner.queue.next_wakeup(now);
            if next.is_some_and(|next| inner.wake_at.is_none_or(|at| next < at)) {
                self.wakeup_changed.notify_one();
            }
            (started, refused)
        };
        for (reply, slot) in started {
            let _ = reply.send(Ok(slot));
        }
        for refused in refused {
            let failure = self.failure(now, &refused);
            let _ = refused.item.reply.send(Err(failure));
        }
    }

    fn failure(&self, now: Duration, refused: &Refused<WaitingRequest>) -> Failure {
        let refusal = refused.refusal;
        let caller = refused.item.caller.as_ref();
        failure(caller.map_or(refusal, |c| c.refuse(&self.node, now, refusal)))
    }

    /// Returns the delay until the queue must run again, and records that time in `wake_at`.
    fn schedule(&self) -> Option<Duration> {
        let now = self.node.clock.now();
        let mut inner = self.lock();
        inner.update_cold(now, &self.node);
        inner.wake_at = inner.queue.next_wakeup(now);
        inner.wake_at.map(|at| at.saturating_sub(now))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

async fn run_timer(admission: std::sync::Weak<Admission>) {
    let Some(mut cold_reports) = admission.upgrade().map(|a| a.node.cold_report.subscribe()) else {
        return;
    };
    loop {
        let Some(admission) = admission.upgrade() else {
            return;
        };
        let delay = admission.schedule();
        let timer = async {
            match delay {
                Some(delay) => sleep(delay).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = timer => admission.run_queue(),
            () = admission.wakeup_changed.notified() => {}
            Ok(()) = cold_reports.changed() => admission.run_queue(),
        }
    }
}

fn failure(refusal: Refusal) -> Failure {
    let refusal = refusal.jittered(rand::random());
    let reason = match refusal.reason {
        queue::RefusalReason::QueueFull => Reason::QueueFull,
        queue::RefusalReason::DeadlineUnreachable | queue::RefusalReason::DeadlineExceeded => {
            Reason::Deadline
        }
        queue::RefusalReason::Draining => Reason::TargetAway,
        queue::RefusalReason::ColdTarget => Reason::ColdTarget,
    };
    let retry_after = Some(refusal.retry_after);
    Failure {
        retry_after,
        ..Failure::new(refusal.verdict(), reason)
    }
}

/// Removes a request from the queue when its future is dropped.
struct QueueEntry {
    admission: Arc<Admission>,
    id: EntryId,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        // Fails if the request has left the queue: it is running or has ended.
        let _ = self.admission.lock().queue.cancel(self.id);
    }
}

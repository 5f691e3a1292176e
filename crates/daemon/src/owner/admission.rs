//! Admission in front of the target: the queue of [`masticdeal_policy`] with tasks and a timer.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_config::deployment::Service;
use masticdeal_policy::classifier::{self, Classifier, CostClass, ShapeId};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{self, EntryId, Permit, Queue, Refusal, Refused, RequestInfo};
use masticdeal_policy::response_sizes::ResponseSizes;
use masticdeal_wire::peer::{Forward, LoadHint, Reason};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::exchange::{Failure, shape_of};
use crate::node::Node;
use crate::telemetry::metrics::observe_duration;

/// Weight of the newest sample in the smoothed times kept here.
const SMOOTHING: f64 = 0.1;

/// The same for the planner, about the requests of three seconds at one target.
const STEADY_SMOOTHING: f64 = 0.02;

/// Bytes a second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Time beyond the deadline for the queue's own refusal, which is more precise than a timeout.
const REFUSAL_GRACE: Duration = Duration::from_millis(5);

/// What a request would meet in the queue.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Requests that may run at once.
    pub slots: usize,
    /// Estimated wait.
    pub wait: Duration,
}

/// What the queue keeps for a waiting request.
struct Waiting {
    reply: oneshot::Sender<Result<Slot, Failure>>,
    shape: ShapeId,
    cost: CostClass,
}

/// Requests that run and wait.
pub struct Admission {
    node: Arc<Node>,
    inner: Mutex<Inner>,
    changed: Notify,
}

struct Inner {
    queue: Queue<Waiting>,
    classifier: Classifier,
    slots: usize,
    /// Smoothed service time in seconds, for the load hint; 0 while unknown.
    service_s: f64,
    /// The same over many more requests, for the planner: shards must not move for a few long ones.
    steady_s: f64,
    /// Smoothed time from the head of an answer to its end by cost class, in seconds.
    tails_s: [f64; 2],
    /// Sizes of the answers to each shape of requests.
    response_sizes: ResponseSizes,
    /// When the timer wakes next, as time since boot.
    wake_at: Option<Duration>,
}

impl Admission {
    /// Makes an admission without slots, and starts its timer.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let limit = ConcurrencyLimit::new(limit::Settings::default(), 0);
        let inner = Inner {
            queue: Queue::new(queue::Settings::default(), limit),
            classifier: Classifier::new(classifier::Settings::default()),
            slots: 0,
            service_s: 0.0,
            steady_s: 0.0,
            tails_s: [0.0; 2],
            response_sizes: ResponseSizes::default(),
            wake_at: None,
        };
        let admission = Arc::new(Self {
            node,
            inner: Mutex::new(inner),
            changed: Notify::new(),
        });
        tokio::spawn(run_timer(Arc::downgrade(&admission)));
        admission
    }

    /// Waits for a slot of the target until the deadline, a time since boot.
    ///
    /// # Errors
    ///
    /// [`Reason::QueueFull`], [`Reason::Deadline`] and [`Reason::TargetAway`], each with the
    /// verdict `NotRun`.
    pub async fn admit(
        self: &Arc<Self>,
        head: &Forward,
        service: Option<&Service>,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        let start = self.node.clock.now();
        let (_entry, rx) = self.enter(head, service, deadline)?;
        self.step();
        let wait = deadline.saturating_sub(start) + REFUSAL_GRACE;
        let slot = timeout(wait, rx).await;
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

    fn enter(
        self: &Arc<Self>,
        head: &Forward,
        service: Option<&Service>,
        deadline: Duration,
    ) -> Result<(Entry, oneshot::Receiver<Result<Slot, Failure>>), Failure> {
        let now = self.node.clock.now();
        let mut inner = self.lock();
        let class = inner.classifier.classify(now, shape_of(head, service));
        // The deadline bounds the head of the answer, and the queue reckons with whole service
        // times. A download may go on after the deadline.
        let tail = Duration::from_secs_f64(inner.tails_s[class.cost as usize]);
        let objective = head.objective_ms.map(u64::from).map(Duration::from_millis);
        let ticket = RequestInfo {
            due: objective.map(|left| now + left),
            priority: head.rank,
            bytes: inner.response_sizes.expected(class.shape),
            ..RequestInfo::new(class, deadline + tail)
        };
        let (reply, rx) = oneshot::channel();
        let waiting = Waiting {
            reply,
            shape: class.shape,
            cost: class.cost,
        };
        match inner.queue.push(now, ticket, waiting) {
            Ok(id) => Ok((
                Entry {
                    admission: Arc::clone(self),
                    id,
                },
                rx,
            )),
            Err(refused) => Err(failure(refused.refusal)),
        }
    }

    /// Takes over the target's slots and the rules of its service.
    /// With `due_first`, requests start in the order of their objectives.
    pub fn open(
        self: &Arc<Self>,
        slots: usize,
        cold: bool,
        service: Option<&Service>,
        due_first: bool,
    ) {
        let now = self.node.clock.now();
        {
            let mut inner = self.lock();
            inner.slots = slots;
            inner.queue.set_slots(now, slots);
            inner.queue.resume();
            if cold {
                inner.queue.start_cold(now);
            }
            if let Some(service) = service {
                let length = service
                    .queue_length
                    .min(self.node.settings.limits.queue_length);
                let base = queue::Settings {
                    capacity: length,
                    link_bytes_per_s: self.node.settings.limits.link_mbps * BYTES_PER_MBIT,
                    ..Default::default()
                };
                let settings = if due_first {
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
            }
        }
        self.step();
    }

    /// Stops admission. What waits may start for `grace` longer and is refused then.
    pub fn close(self: &Arc<Self>, grace: Duration) {
        let now = self.node.clock.now();
        self.lock().queue.drain(now + grace);
        self.step();
    }

    /// Returns the load, as this daemon counts it.
    pub fn load(&self) -> LoadHint {
        let inner = self.lock();
        let short = |count: usize| count.min(usize::from(u16::MAX)) as u16;
        LoadHint {
            running: short(inner.queue.running()),
            queued: short(inner.queue.waiting()),
            service_us: (inner.service_s * 1e6) as u32,
        }
    }

    /// Returns what a request with this objective and rank would meet now.
    pub fn estimate(&self, objective_ms: Option<u32>, rank: u32) -> Estimate {
        let now = self.node.clock.now();
        let inner = self.lock();
        let due = objective_ms.map(|ms| now + Duration::from_millis(ms.into()));
        Estimate {
            slots: inner.queue.slots(now),
            wait: inner.queue.estimated_wait_by_priority(now, due, rank),
        }
    }

    /// Returns the measured capacity in requests per second; 0 while nothing is measured.
    pub fn service_rate(&self) -> f64 {
        let inner = self.lock();
        if inner.steady_s > 0.0 {
            inner.slots as f64 / inner.steady_s
        } else {
            0.0
        }
    }

    /// Starts what may run, refuses what cannot, and sets the timer.
    fn step(self: &Arc<Self>) {
        // Slots and refusals are sent after the lock is released: a slot whose request has gone is
        // dropped by the send, and its drop takes the lock.
        let (started, refused) = {
            let now = self.node.clock.now();
            let mut inner = self.lock();
            let inner = &mut *inner;
            inner.queue.reclassify(now, &mut inner.classifier);
            let mut started = Vec::new();
            while let Some((waiting, permit)) = inner.queue.pop(now) {
                let class = (waiting.shape, waiting.cost);
                started.push((waiting.reply, Slot::new(self, permit, now, class)));
            }
            let refused = inner.queue.take_refused(now);
            let next = inner.queue.next_wakeup(now);
            if next.is_some_and(|next| inner.wake_at.is_none_or(|at| next < at)) {
                self.changed.notify_one();
            }
            (started, refused)
        };
        for (reply, slot) in started {
            let _ = reply.send(Ok(slot));
        }
        for Refused { refusal, item } in refused {
            let _ = item.reply.send(Err(failure(refusal)));
        }
    }

    /// Returns the time until the next step, and notes it.
    fn schedule(&self) -> Option<Duration> {
        let now = self.node.clock.now();
        let mut inner = self.lock();
        inner.wake_at = inner.queue.next_wakeup(now);
        inner.wake_at.map(|at| at.saturating_sub(now))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

async fn run_timer(admission: std::sync::Weak<Admission>) {
    loop {
        let Some(admission) = admission.upgrade() else {
            return;
        };
        let wait = admission.schedule();
        let timer = async {
            match wait {
                Some(wait) => sleep(wait).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = timer => admission.step(),
            () = admission.changed.notified() => {}
        }
    }
}

fn failure(refusal: Refusal) -> Failure {
    let reason = match refusal.reason {
        queue::RefusalReason::QueueFull => Reason::QueueFull,
        queue::RefusalReason::DeadlineUnreachable | queue::RefusalReason::DeadlineExceeded => {
            Reason::Deadline
        }
        queue::RefusalReason::Draining => Reason::TargetAway,
    };
    let retry_after = Some(refusal.retry_after);
    Failure {
        retry_after,
        ..Failure::new(refusal.verdict(), reason)
    }
}

/// Removes a request from the queue when its future is dropped.
struct Entry {
    admission: Arc<Admission>,
    id: EntryId,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // A request that runs or has ended is not in the queue any more.
        let _ = self.admission.lock().queue.cancel(self.id);
    }
}

/// One slot of the target, held while a request runs.
pub struct Slot {
    admission: Arc<Admission>,
    permit: Option<Permit>,
    started: Duration,
    head_after: Option<Duration>,
    /// Bytes of the answer so far.
    bytes: u64,
    end: End,
    class: (ShapeId, CostClass),
}

/// How a request left its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its time says nothing about the work.
    Cut,
    /// The target refused it because of load.
    Shed,
    /// The whole answer was read.
    Whole,
}

impl Slot {
    fn new(
        admission: &Arc<Admission>,
        permit: Permit,
        started: Duration,
        class: (ShapeId, CostClass),
    ) -> Self {
        Self {
            admission: Arc::clone(admission),
            permit: Some(permit),
            started,
            head_after: None,
            bytes: 0,
            end: End::Cut,
            class,
        }
    }

    /// Notes the arrival of the head of the answer.
    pub fn note_head(&mut self) {
        self.head_after = Some(self.elapsed());
    }

    /// Counts bytes of the answer.
    pub fn note_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Ends a request whose answer was read in full, so that its time counts.
    pub fn complete(mut self) {
        self.end = End::Whole;
    }

    /// Ends a request that the target refused. `full` tells whether it had no room; a refusal
    /// without that is a fault and says nothing about how much the target can run.
    pub fn shed(mut self, full: bool) {
        self.end = if full { End::Shed } else { End::Cut };
    }

    fn elapsed(&self) -> Duration {
        self.admission.node.clock.now().saturating_sub(self.started)
    }

    fn release(&mut self, permit: Permit) {
        let now = self.admission.node.clock.now();
        let time = now.saturating_sub(self.started);
        let whole = self.end == End::Whole;
        let mut inner = self.admission.lock();
        let bytes = Some(self.bytes);
        inner
            .queue
            .finish_with_size(now, permit, whole.then_some(time), bytes);
        if self.end == End::Shed {
            inner.queue.reduce_limit(now);
        }
        if !whole {
            return;
        }
        smooth(&mut inner.service_s, time, SMOOTHING);
        smooth(&mut inner.steady_s, time, STEADY_SMOOTHING);
        let (shape, cost) = self.class;
        inner.classifier.record(now, shape, time);
        inner.response_sizes.record(shape, self.bytes);
        let tail = time.saturating_sub(self.head_after.unwrap_or(time));
        smooth(&mut inner.tails_s[cost as usize], tail, SMOOTHING);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if self.end == End::Whole {
            observe_duration(&self.admission.node.metrics.service_time, self.elapsed());
        }
        self.release(permit);
        self.admission.step();
    }
}

fn smooth(mean: &mut f64, sample: Duration, weight: f64) {
    let sample = sample.as_secs_f64();
    let old = if *mean > 0.0 { *mean } else { sample };
    *mean = old + weight * (sample - old);
}

//! Admission in front of the target: at most as many requests run as the target has slots.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_wire::peer::{LoadHint, Reason};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::exchange::Failure;
use crate::node::Node;
use crate::telemetry::metrics::observe;

/// Weight of the newest service time in the smoothed one.
const SMOOTHING: f64 = 0.1;

/// Requests that run and wait.
pub struct Admission {
    node: Arc<Node>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    slots: usize,
    running: usize,
    waiting: VecDeque<Waiting>,
    next: u64,
    service_s: f64,
}

struct Waiting {
    id: u64,
    tx: oneshot::Sender<Slot>,
}

impl Admission {
    /// Makes an admission without slots.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self {
            node,
            inner: Mutex::default(),
        })
    }

    /// Waits for a slot of the target until the deadline, a time since boot.
    ///
    /// # Errors
    ///
    /// [`Reason::QueueFull`] and [`Reason::Deadline`], each with the verdict `NotRun`.
    pub async fn admit(
        self: &Arc<Self>,
        queue_length: usize,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        let start = self.node.clock.now();
        let (mut entry, rx) = self.enter(queue_length)?;
        self.dispatch();
        let slot = timeout(deadline.saturating_sub(start), rx).await;
        entry.left = true;
        observe(
            &self.node.metrics.queue_time,
            self.node.clock.now().saturating_sub(start),
        );
        match slot {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(Failure::not_run(Reason::TargetAway)),
            Err(_) => {
                entry.left = false;
                Err(Failure::not_run(Reason::Deadline))
            }
        }
    }

    fn enter(
        self: &Arc<Self>,
        queue_length: usize,
    ) -> Result<(Entry, oneshot::Receiver<Slot>), Failure> {
        let mut inner = self.lock();
        if inner.waiting.len() >= queue_length && inner.running >= inner.slots {
            let retry_after = Some(inner.wait());
            return Err(Failure {
                retry_after,
                ..Failure::not_run(Reason::QueueFull)
            });
        }
        let (tx, rx) = oneshot::channel();
        let id = inner.next;
        inner.next += 1;
        inner.waiting.push_back(Waiting { id, tx });
        Ok((
            Entry {
                admission: Arc::clone(self),
                id,
                left: false,
            },
            rx,
        ))
    }

    /// Sets the number of slots; 0 refuses everything that waits.
    pub fn set_slots(self: &Arc<Self>, slots: usize) {
        let refused = {
            let mut inner = self.lock();
            inner.slots = slots;
            if slots == 0 {
                std::mem::take(&mut inner.waiting)
            } else {
                VecDeque::new()
            }
        };
        drop(refused);
        self.dispatch();
    }

    /// Returns the load, as this daemon counts it.
    pub fn load(&self) -> LoadHint {
        let inner = self.lock();
        LoadHint {
            running: inner.running.min(usize::from(u16::MAX)) as u16,
            queued: inner.waiting.len().min(usize::from(u16::MAX)) as u16,
            service_us: (inner.service_s * 1e6) as u32,
        }
    }

    /// Returns the measured capacity in requests per second; 0 while nothing is measured.
    pub fn service_rate(&self) -> f64 {
        let inner = self.lock();
        if inner.service_s > 0.0 {
            inner.slots as f64 / inner.service_s
        } else {
            0.0
        }
    }

    fn dispatch(self: &Arc<Self>) {
        // A slot that finds its request gone is dropped after the lock is released, since the drop
        // takes the lock.
        while let Some((tx, slot)) = self.pop() {
            let _ = tx.send(slot);
        }
    }

    fn pop(self: &Arc<Self>) -> Option<(oneshot::Sender<Slot>, Slot)> {
        let mut inner = self.lock();
        if inner.running >= inner.slots {
            return None;
        }
        let waiting = inner.waiting.pop_front()?;
        inner.running += 1;
        let started = self.node.clock.now();
        let slot = Slot {
            admission: Arc::clone(self),
            started,
            measured: false,
        };
        Some((waiting.tx, slot))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Inner {
    fn wait(&self) -> Duration {
        let slots = self.slots.max(1) as f64;
        Duration::from_secs_f64(self.service_s * (self.waiting.len() as f64 + 1.0) / slots)
    }
}

/// Removes a request from the queue when its future is dropped.
struct Entry {
    admission: Arc<Admission>,
    id: u64,
    left: bool,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let mut inner = self.admission.lock();
        if let Some(at) = inner.waiting.iter().position(|w| w.id == self.id) {
            inner.waiting.remove(at);
        }
    }
}

/// One slot of the target, held while a request runs.
pub struct Slot {
    admission: Arc<Admission>,
    started: Duration,
    measured: bool,
}

impl Slot {
    /// Marks the request as answered in full, so that its time counts.
    pub fn complete(mut self) {
        self.measured = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let time = self.admission.node.clock.now().saturating_sub(self.started);
        {
            let mut inner = self.admission.lock();
            inner.running -= 1;
            if self.measured {
                let newest = time.as_secs_f64();
                let old = if inner.service_s > 0.0 {
                    inner.service_s
                } else {
                    newest
                };
                inner.service_s = old + SMOOTHING * (newest - old);
            }
        }
        if self.measured {
            observe(&self.admission.node.metrics.service_time, time);
        }
        self.admission.dispatch();
    }
}

//! A slot of the target, and the samples that its request yields.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_policy::classifier::{CostClass, ShapeId};
use masticdeal_policy::queue::Permit;

use super::Admission;
use crate::telemetry::metrics::observe_duration;

/// Weight of a new sample in the moving averages of service and body times.
const EWMA_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the planner's average service time. The average covers about the
/// requests that one target serves in three seconds.
const PLANNER_EWMA_WEIGHT: f64 = 0.02;

/// One slot of the target, held while a request runs.
pub struct Slot {
    admission: Arc<Admission>,
    permit: Option<Permit>,
    /// Whether the target was cold at the start, so that the duration is no sample.
    started_cold: bool,
    /// When the request started, as time since boot.
    started_at: Duration,
    /// Time from the start to the arrival of the response head.
    head_time: Option<Duration>,
    /// Bytes of the response body so far.
    bytes: u64,
    completion: Completion,
    class: (ShapeId, CostClass),
}

/// How a request ended, which decides whether its duration is a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completion {
    /// Its duration is not a valid sample.
    Discarded,
    /// The target refused it because of its load.
    Shed,
    /// The complete response was read.
    Complete,
}

impl Slot {
    pub(super) fn new(
        admission: &Arc<Admission>,
        permit: Permit,
        started_at: Duration,
        class: (ShapeId, CostClass),
    ) -> Self {
        Self {
            admission: Arc::clone(admission),
            started_cold: permit.started_cold(),
            permit: Some(permit),
            started_at,
            head_time: None,
            bytes: 0,
            completion: Completion::Discarded,
            class,
        }
    }

    /// Records the arrival of the response head.
    pub fn record_head(&mut self) {
        self.head_time = Some(self.elapsed());
    }

    /// Adds bytes of the response body.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Ends a request whose response was read completely. Its duration becomes a sample.
    pub fn complete(mut self) {
        self.completion = Completion::Complete;
    }

    /// Ends a request that the target refused. If `full`, the target had no capacity left and the
    /// concurrency limit is lowered. Any other refusal is a fault and no evidence about
    /// the capacity.
    pub fn shed(mut self, full: bool) {
        self.completion = if full {
            Completion::Shed
        } else {
            Completion::Discarded
        };
    }

    /// Records that the connection to the target was reset with this request on it.
    pub fn record_connection_failure(&self) {
        self.admission.record_connection_failure();
    }

    fn elapsed(&self) -> Duration {
        self.admission
            .node
            .clock
            .now()
            .saturating_sub(self.started_at)
    }

    fn release(&mut self, permit: Permit) {
        let now = self.admission.node.clock.now();
        let service_time = now.saturating_sub(self.started_at);
        let is_complete = self.completion == Completion::Complete;
        let mut inner = self.admission.lock();
        let bytes = Some(self.bytes);
        inner
            .queue
            .finish_with_size(now, permit, is_complete.then_some(service_time), bytes);
        if self.completion == Completion::Shed {
            inner.queue.reduce_limit(now);
        }
        if !is_complete || self.started_cold {
            return;
        }
        update_ewma(&mut inner.service_s, service_time, EWMA_WEIGHT);
        update_ewma(
            &mut inner.planner_service_s,
            service_time,
            PLANNER_EWMA_WEIGHT,
        );
        let (shape, cost) = self.class;
        inner.classifier.record(now, shape, service_time);
        inner.response_sizes.record(shape, self.bytes);
        let body_time = service_time.saturating_sub(self.head_time.unwrap_or(service_time));
        update_ewma(
            &mut inner.body_time_s[cost as usize],
            body_time,
            EWMA_WEIGHT,
        );
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        if self.completion == Completion::Complete {
            observe_duration(&self.admission.node.metrics.service_time, self.elapsed());
        }
        self.release(permit);
        self.admission.run_queue();
    }
}

fn update_ewma(mean: &mut f64, sample: Duration, weight: f64) {
    let sample = sample.as_secs_f64();
    // A mean of 0 means that there is no sample yet; the first one becomes the mean.
    let old = if *mean > 0.0 { *mean } else { sample };
    *mean = old + weight * (sample - old);
}

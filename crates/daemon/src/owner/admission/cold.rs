//! The target's cold state: reports and events for the queue, the log and the metric.

use std::time::Duration;

use masticdeal_config::deployment::Service;
use masticdeal_policy::cold::{self, ColdStart};
use masticdeal_wire::target::ColdState;

use super::{Admission, Inner};
use crate::node::{ColdReport, Node};

/// What was logged and reported last about the target's cold state.
#[derive(Debug, Default)]
pub(super) struct Published {
    report: Option<ColdReport>,
    is_cold: bool,
}

impl Admission {
    /// Treats the target as cold until a later report tells its state. Has no effect without a rate
    /// limit for cold targets.
    pub fn assume_cold(&self) {
        self.record_event(ColdStart::assume_cold);
    }

    /// Returns how long the target has been cold; `None` if it is warm.
    pub fn cold_state(&self) -> Option<ColdState> {
        let now = self.node.clock.now();
        let mut inner = self.lock();
        inner.update_cold(now, &self.node);
        let cold = inner.queue.cold();
        let (_, since) = cold.cause();
        let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        cold.is_cold(now).then(|| ColdState {
            since_ms: millis(now.saturating_sub(since)),
            remaining_ms: millis(cold.warm_at(now).saturating_sub(now)),
        })
    }

    /// Records a connection to the target that was refused, or reset with requests on it.
    pub fn record_connection_failure(&self) {
        self.record_event(ColdStart::record_connection_failure);
    }

    fn record_event(&self, record: fn(&mut ColdStart, Duration)) {
        let now = self.node.clock.now();
        record(self.lock().queue.cold_mut(), now);
        // The timer logs the change. Requests that may not start any more need no further action.
        self.wakeup_changed.notify_one();
    }
}

impl Inner {
    /// Applies the last report of the target if it is new, and logs a change of the state. Called
    /// before each use of the queue, so that no request starts under an earlier state.
    pub(super) fn update_cold(&mut self, now: Duration, node: &Node) {
        let report = *node.cold_report.borrow();
        if report != self.published.report {
            self.published.report = report;
            if let Some(report) = report {
                let cold = self.queue.cold_mut();
                cold.record_report(report.received_at, report.incarnation, report.remaining);
            }
        }
        let cold = self.queue.cold();
        let is_cold = cold.is_cold(now);
        if is_cold == self.published.is_cold {
            return;
        }
        self.published.is_cold = is_cold;
        node.metrics.target_cold.set(i64::from(is_cold));
        let (cause, since) = cold.cause();
        if is_cold {
            log::info!(
                cause:%,
                requests_per_s:? = cold.settings().max_starts(),
                expected_ms = cold.warm_at(now).saturating_sub(now).as_millis() as u64;
                "the target is cold"
            );
        } else {
            let cold_ms = now.saturating_sub(since).as_millis() as u64;
            log::info!(cause:%, cold_ms; "the target is warm");
        }
    }

    /// Applies the figures of the service.
    pub(super) fn configure_cold(&mut self, service: &Service) {
        self.queue.cold_mut().configure(cold::Settings {
            requests_per_s: service.cold_requests_per_s,
            duration: service.cold_start,
        });
    }
}

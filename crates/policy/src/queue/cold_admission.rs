//! Admission while the target is cold: estimates when a new request may start, and tells refused
//! requests when to come back.
//!
//! Waiting requests keep the order of the queue, so the most urgent ones start first. A request whose
//! turn comes too late is refused on arrival.

use std::time::Duration;

use super::estimate::{OVERDUE_TOLERANCE, refusal};
use super::types::{Order, Refusal, RefusalReason, RequestInfo};
use super::{Queue, Result};
use crate::classifier::{CostClass, ExpectedTime};
use crate::cold::ColdStart;

/// Assumed rate of a warm target, as a multiple of the cold one, while no service time is known. With
/// 12 slots and work of 290 ms a target serves 3.8 times its cold rate of 11, with 11 slots and 150 ms
/// more.
const DEFAULT_WARM_FACTOR: f64 = 3.0;

impl<T> Queue<T> {
    /// Returns whether the target is cold.
    pub fn cold(&self) -> &ColdStart {
        &self.cold
    }

    /// Returns the state of the target to change it. The owner must call [`Queue::pop`] next.
    pub fn cold_mut(&mut self) -> &mut ColdStart {
        &mut self.cold
    }

    /// Decides whether a request is admitted to the queue of a cold target.
    ///
    /// The work of a cold target takes longer, so many requests can't meet their objective even if
    /// they start at once. These are admitted if they start soon, since a late response is of some
    /// value and the capacity would be lost otherwise.
    pub(super) fn admit_cold(
        &mut self,
        now: Duration,
        info: &RequestInfo,
        expected: ExpectedTime,
    ) -> Result<(), Refusal> {
        if self.is_full(info.cost) {
            let half_wait = self.estimated_wait(now, info.cost) / 2;
            return Err(self.cold_refusal(now, info.priority, half_wait));
        }
        // As for a warm target, an overestimated service time must be measured again.
        let starts_now = self.cold.next_start(now) <= now && self.is_class_idle(info.cost);
        if !self.settings.refuse_unreachable || starts_now {
            return Ok(());
        }
        let start_by_due = self.start_by_due(info, expected.mean);
        let by_due = self.settings.order == Order::EarliestDueFirst;
        let latest = match by_due {
            true => self.latest_start_by_due(now, info, expected),
            false => now + self.max_wait(info.deadline - now, expected),
        };
        let wait = match by_due {
            _ if self.is_class_idle(info.cost) => self.cold.expected_wait(now, 0, 0.0),
            true => self
                .estimated_wait_by_priority(now, Some(start_by_due), info.priority)
                .max(self.link_wait(now, info)),
            false => self.estimated_wait(now, info.cost),
        };
        if now + wait <= latest {
            return Ok(());
        }
        let fits_after = (now + wait).saturating_sub(latest.max(now));
        Err(self.cold_refusal(now, info.priority, fits_after))
    }

    /// Returns the latest start of a new request in the order of priority and objective.
    fn latest_start_by_due(
        &self,
        now: Duration,
        info: &RequestInfo,
        expected: ExpectedTime,
    ) -> Duration {
        let to_objective = info.due.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let in_time =
            self.start_by_due(info, expected.mean) + to_objective.mul_f64(OVERDUE_TOLERANCE);
        let soon = now + to_objective.mul_f64(self.settings.overdue_wait_share);
        let by_deadline = info.deadline.saturating_sub(expected.mean);
        in_time.max(soon).min(by_deadline)
    }

    /// Returns the refusal of a request, with the time at which there is a place for it.
    pub(super) fn cold_refusal(
        &mut self,
        now: Duration,
        priority: u32,
        fits_after: Duration,
    ) -> Refusal {
        let warm_rate = self.warm_rate();
        let place = self
            .promises
            .take_place(now, &self.cold, priority, fits_after, warm_rate);
        refusal(RefusalReason::ColdTarget, place)
    }

    /// Returns the expected time until a request may start that arrives now, by the rate limit.
    /// `start_by_due` is as for [`Queue::estimated_wait_by_priority`].
    pub(super) fn cold_wait_by_priority(
        &self,
        now: Duration,
        start_by_due: Option<Duration>,
        priority: u32,
    ) -> Duration {
        if !self.cold.is_cold(now) {
            return Duration::ZERO;
        }
        let start_by_due = start_by_due.unwrap_or(Duration::MAX);
        let ahead = self.lanes.count_ahead(now, start_by_due, priority);
        let urgent_rate = self.promises.rate_above(now, priority);
        self.cold.expected_wait(now, ahead, urgent_rate)
    }

    /// Returns the expected time until a request of a cost class may start that arrives now, by the
    /// rate limit.
    pub(super) fn cold_wait(&self, now: Duration, cost: CostClass) -> Duration {
        let ahead = match (self.settings.order, cost) {
            (Order::ShortFirst, CostClass::Short) => self.lanes.lane_len(CostClass::Short),
            _ => self.lanes.len(),
        };
        self.cold.expected_wait(now, ahead, 0.0)
    }

    /// Returns the expected time until a request may start that arrives now and has all waiting
    /// requests ahead of it, by the rate limit.
    pub fn start_wait(&self, now: Duration) -> Duration {
        self.cold.expected_wait(now, self.lanes.len(), 0.0)
    }

    /// Returns the requests a second that the target serves once it is warm.
    fn warm_rate(&self) -> f64 {
        let cold_rate = self.cold.settings().requests_per_s.max(1.0);
        let service_time_s = self
            .service_times_s
            .iter()
            .flatten()
            .copied()
            .reduce(f64::max);
        let rate = service_time_s
            .filter(|time| *time > 0.0)
            .map(|time| self.limit.announced_slots() as f64 / time);
        rate.unwrap_or(cold_rate * DEFAULT_WARM_FACTOR)
            .max(cold_rate)
    }
}

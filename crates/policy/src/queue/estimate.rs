//! Admission control: estimates the wait of a new request and whether it can meet its deadline.
//!
//! The work ahead of the request is distributed over the slots of its class by water-filling: each
//! slot is available from the expected end of its running request, and the earliest available slot
//! takes the next work. The resulting common level is the wait.

use std::time::Duration;

use super::types::{Order, Refusal, RefusalReason, RequestInfo};
use super::{Queue, RETRY_AFTER_RANGE, Result, Running};
use crate::classifier::{CostClass, ExpectedTime};

/// Maximum expected delay of an admitted request beyond its objective, as a share of the time to
/// the objective. The estimate errs in both directions, and a request past its objective does not
/// delay others that can still meet theirs.
pub(super) const OVERDUE_TOLERANCE: f64 = 0.1;

/// Factor applied to the wait for the link. At a load peak, the queue fills up to the longest wait
/// that is admitted. Without a margin, every download would then finish just at its objective.
const LINK_MARGIN: f64 = 1.2;

impl<T> Queue<T> {
    /// Decides whether a request is admitted to the queue.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        info: &RequestInfo,
        expected: ExpectedTime,
    ) -> Result<(), Refusal> {
        if self.start_until.is_some() {
            return Err(refusal(RefusalReason::Draining, RETRY_AFTER_RANGE.0));
        }
        if info.deadline <= now {
            return Err(refusal(
                RefusalReason::DeadlineExceeded,
                RETRY_AFTER_RANGE.0,
            ));
        }
        if self.cold.is_cold(now) {
            return self.admit_cold(now, info, expected);
        }
        if self.is_full(info.cost) {
            let half_wait = self.estimated_wait(now, info.cost) / 2;
            return Err(refusal(RefusalReason::QueueFull, half_wait));
        }
        let may_wait = || !self.is_late(now, info) || self.starts_now(now, info, expected);
        if !self.settings.refuse_unreachable || (self.is_class_idle(info.cost) && may_wait()) {
            return Ok(());
        }
        if self.settings.order == Order::EarliestDueFirst {
            return self.admit_by_due(now, info, expected);
        }
        let remaining = info.deadline - now;
        let max_wait = self.max_wait(remaining, expected);
        let wait = self.estimated_wait(now, info.cost);
        if wait > max_wait || expected.upper > remaining {
            return Err(refusal(
                RefusalReason::DeadlineUnreachable,
                wait.saturating_sub(max_wait),
            ));
        }
        Ok(())
    }

    /// Returns the longest wait of a request with this time to its deadline, outside
    /// [`Order::EarliestDueFirst`].
    pub(super) fn max_wait(&self, remaining: Duration, expected: ExpectedTime) -> Duration {
        let slack = remaining.saturating_sub(expected.upper);
        slack.min(remaining.mul_f64(self.settings.max_wait_share))
    }

    /// Admits a request that is expected to meet its objective, or to miss it by little.
    ///
    /// If it starts immediately, a request that meets its deadline is admitted too, since it delays
    /// no request that could meet its objective.
    fn admit_by_due(
        &self,
        now: Duration,
        info: &RequestInfo,
        expected: ExpectedTime,
    ) -> Result<(), Refusal> {
        let start_by_due = self.start_by_due(info, expected.mean);
        let link = self.link_wait(now, info);
        let wait = self
            .estimated_wait_by_priority(now, Some(start_by_due), info.priority)
            .max(link);
        let time_to_objective = info.due.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let in_time = now + wait <= start_by_due + time_to_objective.mul_f64(OVERDUE_TOLERANCE);
        let starts_now = match self.is_late(now, info) {
            true => self.starts_now(now, info, expected),
            false => wait.is_zero(),
        };
        if in_time || (starts_now && now + expected.mean <= info.deadline) {
            return Ok(());
        }
        Err(refusal(
            RefusalReason::DeadlineUnreachable,
            self.backlog(now).max(link),
        ))
    }

    /// Returns whether the objective of a new request has passed, so that it may not wait.
    pub(super) fn is_late(&self, now: Duration, info: &RequestInfo) -> bool {
        let by_due = self.settings.order == Order::EarliestDueFirst;
        by_due && self.settings.late_if_idle && info.due.is_some_and(|due| due <= now)
    }

    /// Returns whether a new request starts immediately: no request with its priority or a higher
    /// one waits, a slot is free, and the link has room for its response.
    fn starts_now(&self, now: Duration, info: &RequestInfo, expected: ExpectedTime) -> bool {
        let start_by_due = self.start_by_due(info, expected.mean);
        let wait = self.estimated_wait_by_priority(now, Some(start_by_due), info.priority);
        let has_slot = self.running.len() < self.limit.slots(now);
        let has_room = || self.link.has_room(now) && !self.lanes.has_bulk();
        has_slot && wait.is_zero() && (!self.link.is_bulk(info.bytes) || has_room())
    }

    /// Returns the wait for room on the link plus the transmission time of the response, or zero if
    /// the response is not bulk.
    pub(super) fn link_wait(&self, now: Duration, info: &RequestInfo) -> Duration {
        if !self.link.is_bulk(info.bytes) {
            return Duration::ZERO;
        }
        let ahead = self.lanes.bulk_bytes_ahead(info.priority);
        let wait = self.link.queueing_delay(now, ahead) + self.link.transmission_time(info.bytes);
        wait.mul_f64(LINK_MARGIN)
    }

    /// Returns the estimated wait of a request in the order of priority and objective.
    ///
    /// `start_by_due` is the last instant at which its start meets the objective. If it is `None`,
    /// the request waits for all requests of its priority that can still meet their objective.
    pub fn estimated_wait_by_priority(
        &self,
        now: Duration,
        start_by_due: Option<Duration>,
        priority: u32,
    ) -> Duration {
        let slots = self.limit.slots(now);
        let ahead = self
            .lanes
            .work_ahead_s(now, start_by_due.unwrap_or(Duration::MAX), priority);
        let wait = Duration::from_secs_f64(water_fill(
            self.slot_free_times(now, slots, |_| true),
            ahead,
        ));
        wait.max(self.cold_wait_by_priority(now, start_by_due, priority))
    }

    /// Returns the expected time until all waiting and running requests have finished.
    pub(super) fn backlog(&self, now: Duration) -> Duration {
        let slots = self.limit.slots(now);
        let free_times = self.slot_free_times(now, slots, |_| true);
        Duration::from_secs_f64(water_fill(free_times, self.total_work_s()))
    }

    /// Returns the estimated wait of a request of a cost class that arrives now.
    pub fn estimated_wait(&self, now: Duration, cost: CostClass) -> Duration {
        let slots = self.limit.slots(now);
        let single_queue =
            self.settings.order != Order::ShortFirst && self.settings.long_share.is_none();
        let (free_times, ahead) = match cost {
            _ if single_queue => (
                self.slot_free_times(now, slots, |_| true),
                self.total_work_s(),
            ),
            CostClass::Short => self.slots_for_short(now, slots),
            CostClass::Long => self.slots_for_long(now),
        };
        let wait = Duration::from_secs_f64(water_fill(free_times, ahead));
        wait.max(self.cold_wait(now, cost))
    }

    /// Returns the expected service time of a request. The default is the mean of its cost class,
    /// or zero without a sample.
    pub(super) fn expected_time(&self, info: &RequestInfo) -> ExpectedTime {
        info.expected.unwrap_or_else(|| {
            let mean = self.service_times_s[info.cost as usize].unwrap_or(0.0);
            let mean = Duration::from_secs_f64(mean);
            ExpectedTime { mean, upper: mean }
        })
    }

    /// Returns whether the queue has no place left for a request of a cost class.
    pub(super) fn is_full(&self, cost: CostClass) -> bool {
        let capacity = self.settings.capacity;
        let long = self.settings.long_quota(capacity);
        // One place is reserved for long requests if they have a share.
        let reserved = usize::from(self.settings.long_share.is_some() && capacity >= 2);
        let places = match cost {
            CostClass::Short => capacity - reserved,
            CostClass::Long => long,
        };
        self.lanes.len() >= capacity || self.lanes.lane_len(cost) >= places
    }

    /// Returns whether no request of a cost class is waiting or running.
    ///
    /// The next request of that class is then admitted without an estimate. Otherwise, an
    /// overestimated service time would never be measured again.
    pub(super) fn is_class_idle(&self, cost: CostClass) -> bool {
        self.lanes.lane_len(cost) == 0 && !self.running.iter().any(|r| r.cost == cost)
    }

    fn total_work_s(&self) -> f64 {
        self.lanes.work_s(CostClass::Short) + self.lanes.work_s(CostClass::Long)
    }

    /// Returns when the slots available to short requests become free, in seconds from now, and the
    /// work ahead in seconds.
    ///
    /// While long requests wait, they take over the slots of long requests that finish. These slots
    /// are then not available to short requests.
    fn slots_for_short(&self, now: Duration, slots: usize) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work_s(CostClass::Short);
        let long_waits = self.lanes.lane_len(CostClass::Long) > 0;
        let held_by_long = if long_waits { self.long_running() } else { 0 };
        let open_slots = slots.saturating_sub(held_by_long).max(1);
        let holds_slot = |r: &Running| !long_waits || r.cost == CostClass::Short;
        (self.slot_free_times(now, open_slots, holds_slot), ahead)
    }

    /// Returns when the slots available to long requests become free, in seconds from now, and the
    /// work ahead in seconds.
    ///
    /// Short requests ahead are neglected, since their work is small in comparison.
    fn slots_for_long(&self, now: Duration) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work_s(CostClass::Long);
        let open_slots = self.long_limit(now).max(1);
        (
            self.slot_free_times(now, open_slots, |r| r.cost == CostClass::Long),
            ahead,
        )
    }

    /// Returns when each of `slots` slots becomes free, in seconds from now.
    ///
    /// `holds_slot` selects the running requests on these slots. If more requests run than there
    /// are slots, the first ones to finish free none.
    fn slot_free_times(
        &self,
        now: Duration,
        slots: usize,
        holds_slot: impl Fn(&Running) -> bool,
    ) -> Vec<f64> {
        let counted = self.running.iter().filter(|r| holds_slot(r));
        let mut free_times: Vec<f64> = counted.map(|r| remaining_s(now, r)).collect();
        while free_times.len() < slots {
            free_times.push(0.0);
        }
        free_times.sort_by(f64::total_cmp);
        free_times.split_off(free_times.len() - slots)
    }
}

/// Returns the expected remaining time of a running request in seconds.
///
/// A request that has reached its expected time is assumed to be half finished.
fn remaining_s(now: Duration, request: &Running) -> f64 {
    let elapsed = now.saturating_sub(request.started);
    let left = request.expected.saturating_sub(elapsed);
    if left.is_zero() {
        elapsed.as_secs_f64()
    } else {
        left.as_secs_f64()
    }
}

/// Returns the level to which `work_s` seconds of work fill up slots that become free at the sorted
/// instants `free_times`.
fn water_fill(free_times: Vec<f64>, work_s: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = 0.0;
    for (index, free) in free_times.iter().enumerate() {
        if index > 0 && *free >= level {
            break;
        }
        sum += free;
        level = (sum + work_s) / (index + 1) as f64;
    }
    level
}

pub(super) fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
    }
}

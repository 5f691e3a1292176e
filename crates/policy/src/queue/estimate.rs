//! Admission: how long a new request would wait, and whether it can meet its deadline.
//!
//! The estimate pours the work that goes before the request over the slots open to its class, each
//! from the time at which its present request should end. The level reached is the wait.

use std::time::Duration;

use super::types::{Order, Refusal, RefusalReason, RequestInfo};
use super::{Queue, RETRY_AFTER_RANGE, Result, Running};
use crate::classifier::{CostClass, ExpectedTime};

/// Part of the time to its objective by which a request may be expected to miss it and is still taken. The
/// estimate errs both ways, and what has missed its objective holds nothing up that has not.
const OVERDUE_TOLERANCE: f64 = 0.1;

/// Factor on the wait for the link. Under a crest the queue stands at the longest wait that is admitted, and
/// without a margin every download would end at the very edge of its objective.
const LINK_MARGIN: f64 = 1.2;

impl<T> Queue<T> {
    /// Decides whether a request may wait.
    pub(super) fn admit(
        &self,
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
        if self.is_full(info.cost) {
            let half = self.estimated_wait(now, info.cost) / 2;
            return Err(refusal(RefusalReason::QueueFull, half));
        }
        if !self.settings.refuse_unreachable || self.is_class_idle(info.cost) {
            return Ok(());
        }
        if self.settings.order == Order::EarliestDueFirst {
            return self.admit_by_due(now, info, expected);
        }
        let left = info.deadline - now;
        let fits = left.saturating_sub(expected.upper);
        let longest = fits.min(left.mul_f64(self.settings.max_wait_share));
        let wait = self.estimated_wait(now, info.cost);
        if wait > longest || expected.upper > left {
            return Err(refusal(
                RefusalReason::DeadlineUnreachable,
                wait.saturating_sub(longest),
            ));
        }
        Ok(())
    }

    /// Admits what meets its objective, or misses it by little. While a slot is free anything may start
    /// that meets its deadline, since nothing in time is held up by it.
    fn admit_by_due(
        &self,
        now: Duration,
        info: &RequestInfo,
        expected: ExpectedTime,
    ) -> Result<(), Refusal> {
        let due = self.latest_start_for_due(info, expected.mean);
        let link = self.link_wait(now, info);
        let wait = self
            .estimated_wait_by_priority(now, Some(due), info.priority)
            .max(link);
        let objective = info.due.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let in_time = now + wait <= due + objective.mul_f64(OVERDUE_TOLERANCE);
        if in_time || (wait.is_zero() && now + expected.mean <= info.deadline) {
            return Ok(());
        }
        Err(refusal(
            RefusalReason::DeadlineUnreachable,
            self.backlog(now).max(link),
        ))
    }

    /// Returns the wait for room on the link and the time that the answer takes there; zero for a small
    /// answer.
    fn link_wait(&self, now: Duration, info: &RequestInfo) -> Duration {
        if !self.link.is_bulk(info.bytes) {
            return Duration::ZERO;
        }
        let ahead = self.lanes.bulk_bytes_ahead(info.priority);
        let wait = self.link.queueing_delay(now, ahead) + self.link.transmission_time(info.bytes);
        wait.mul_f64(LINK_MARGIN)
    }

    /// Returns the estimated wait of a request that has to start by `due`, with requests in the order
    /// of their ranks and objectives; behind all others of its rank without one.
    pub fn estimated_wait_by_priority(
        &self,
        now: Duration,
        due: Option<Duration>,
        priority: u32,
    ) -> Duration {
        let slots = self.limit.slots(now);
        let ahead = self
            .lanes
            .work_ahead(now, due.unwrap_or(Duration::MAX), priority);
        Duration::from_secs_f64(water_fill(
            self.slot_free_times(now, slots, |_| true),
            ahead,
        ))
    }

    /// Returns the time in which all that waits and runs is done.
    pub(super) fn backlog(&self, now: Duration) -> Duration {
        let slots = self.limit.slots(now);
        let free_times = self.slot_free_times(now, slots, |_| true);
        Duration::from_secs_f64(water_fill(free_times, self.all_work()))
    }

    /// Returns the estimated wait of a request of this class that arrives now.
    pub fn estimated_wait(&self, now: Duration, cost: CostClass) -> Duration {
        let slots = self.limit.slots(now);
        let single_queue =
            self.settings.order != Order::ShortFirst && self.settings.long_share.is_none();
        let (open, ahead) = match cost {
            _ if single_queue => (self.slot_free_times(now, slots, |_| true), self.all_work()),
            CostClass::Short => self.slots_for_short(now, slots),
            CostClass::Long => self.slots_for_long(now),
        };
        Duration::from_secs_f64(water_fill(open, ahead))
    }

    /// Returns the expected service time of a ticket: its own, or else the mean of its class, or
    /// else zero.
    pub(super) fn expected(&self, info: &RequestInfo) -> ExpectedTime {
        info.expected.unwrap_or_else(|| {
            let mean = self.service_times_s[info.cost as usize].unwrap_or(0.0);
            let mean = Duration::from_secs_f64(mean);
            ExpectedTime { mean, upper: mean }
        })
    }

    /// Returns whether the class holds all of the places that it may.
    fn is_full(&self, cost: CostClass) -> bool {
        let capacity = self.settings.capacity;
        let long = self.settings.long_quota(capacity);
        // Short work may fill the queue, but for one place when long work has a share.
        let reserved = usize::from(self.settings.long_share.is_some() && capacity >= 2);
        let places = match cost {
            CostClass::Short => capacity - reserved,
            CostClass::Long => long,
        };
        self.lanes.len() >= capacity || self.lanes.lane_len(cost) >= places
    }

    /// Returns whether nothing of the class waits or runs.
    ///
    /// Such a request is always tried: an expected time that is too high would otherwise never be
    /// measured again.
    fn is_class_idle(&self, cost: CostClass) -> bool {
        self.lanes.lane_len(cost) == 0 && !self.running.iter().any(|r| r.cost == cost)
    }

    fn all_work(&self) -> f64 {
        self.lanes.work(CostClass::Short) + self.lanes.work(CostClass::Long)
    }

    /// Slots for short work: all, but those that long work holds and passes on to long work.
    fn slots_for_short(&self, now: Duration, slots: usize) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work(CostClass::Short);
        let long_waits = self.lanes.lane_len(CostClass::Long) > 0;
        let passed_on = if long_waits { self.long_running() } else { 0 };
        let open = slots.saturating_sub(passed_on).max(1);
        let counts = |r: &Running| !long_waits || r.cost == CostClass::Short;
        (self.slot_free_times(now, open, counts), ahead)
    }

    /// Slots for long work: its share. Short work ahead is small against it.
    fn slots_for_long(&self, now: Duration) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work(CostClass::Long);
        let open = self.long_limit(now).max(1);
        (
            self.slot_free_times(now, open, |r| r.cost == CostClass::Long),
            ahead,
        )
    }

    /// Returns when each of `slots` slots gets free, in seconds from now, with the counted
    /// requests running on them. When more run than slots are open, the first to end open none.
    fn slot_free_times(
        &self,
        now: Duration,
        slots: usize,
        counts: impl Fn(&Running) -> bool,
    ) -> Vec<f64> {
        let counted = self.running.iter().filter(|r| counts(r));
        let mut free_times: Vec<f64> = counted.map(|r| remaining(now, r)).collect();
        while free_times.len() < slots {
            free_times.push(0.0);
        }
        free_times.sort_by(f64::total_cmp);
        free_times.split_off(free_times.len() - slots)
    }
}

/// Returns the expected remaining time in seconds. A request that has passed its expected time is
/// taken to be half way.
fn remaining(now: Duration, request: &Running) -> f64 {
    let elapsed = now.saturating_sub(request.started);
    let left = request.expected.saturating_sub(elapsed);
    if left.is_zero() {
        elapsed.as_secs_f64()
    } else {
        left.as_secs_f64()
    }
}

/// Returns the level that `work` seconds of work reach over slots that get free at the sorted
/// times `free_times`.
fn water_fill(free_times: Vec<f64>, work: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = 0.0;
    for (at, free) in free_times.iter().enumerate() {
        if at > 0 && *free >= level {
            break;
        }
        sum += free;
        level = (sum + work) / (at + 1) as f64;
    }
    level
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
    }
}

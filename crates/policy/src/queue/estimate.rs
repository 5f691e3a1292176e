//! Admission: how long a new request would wait, and whether it can meet its deadline.
//!
//! The estimate pours the work that goes before the request over the slots open to its class, each
//! from the time at which its present request should end. The level reached is the wait.

use std::time::Duration;

use super::types::{Order, Reason, Refusal, Ticket};
use super::{Queue, RETRY_AFTER, Result, Running};
use crate::classes::{Cost, Expected};

/// Part of the time to its objective by which a request may be expected to miss it and is still taken. The
/// estimate errs both ways, and what has missed its objective holds nothing up that has not.
const LATE_SLACK: f64 = 0.1;

/// Factor on the wait for the link. Under a crest the queue stands at the longest wait that is admitted, and
/// without a margin every download would end at the very edge of its objective.
const LINK_MARGIN: f64 = 1.2;

impl<T> Queue<T> {
    /// Decides whether a request may wait.
    pub(super) fn admit(
        &self,
        now: Duration,
        ticket: &Ticket,
        expected: Expected,
    ) -> Result<(), Refusal> {
        if self.start_until.is_some() {
            return Err(refusal(Reason::Draining, RETRY_AFTER.0));
        }
        if ticket.deadline <= now {
            return Err(refusal(Reason::DeadlinePassed, RETRY_AFTER.0));
        }
        if self.is_full(ticket.cost) {
            let half = self.estimated_wait(now, ticket.cost) / 2;
            return Err(refusal(Reason::QueueFull, half));
        }
        if !self.settings.refuse_late || self.is_trial(ticket.cost) {
            return Ok(());
        }
        if self.settings.order == Order::DueFirst {
            return self.admit_due(now, ticket, expected);
        }
        let left = ticket.deadline - now;
        let fits = left.saturating_sub(expected.most);
        let longest = fits.min(left.mul_f64(self.settings.max_wait));
        let wait = self.estimated_wait(now, ticket.cost);
        if wait > longest || expected.most > left {
            return Err(refusal(Reason::TooLate, wait.saturating_sub(longest)));
        }
        Ok(())
    }

    /// Admits what meets its objective, or misses it by little. While a slot is free anything may start
    /// that meets its deadline, since nothing in time is held up by it.
    fn admit_due(&self, now: Duration, ticket: &Ticket, expected: Expected) -> Result<(), Refusal> {
        let due = self.start_due(ticket, expected.mean);
        let link = self.link_wait(now, ticket);
        let wait = self.wait_before(now, Some(due), ticket.rank).max(link);
        let objective = ticket
            .due
            .map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let in_time = now + wait <= due + objective.mul_f64(LATE_SLACK);
        if in_time || (wait.is_zero() && now + expected.mean <= ticket.deadline) {
            return Ok(());
        }
        Err(refusal(Reason::TooLate, self.backlog(now).max(link)))
    }

    /// Returns the wait for room on the link and the time that the answer takes there; zero for a small
    /// answer.
    fn link_wait(&self, now: Duration, ticket: &Ticket) -> Duration {
        if !self.link.is_heavy(ticket.bytes) {
            return Duration::ZERO;
        }
        let ahead = self.lanes.heavy_before(ticket.rank);
        let wait = self.link.wait(now, ahead) + self.link.time(ticket.bytes);
        wait.mul_f64(LINK_MARGIN)
    }

    /// Returns the estimated wait of a request that has to start by `due`, with requests in the order
    /// of their ranks and objectives; behind all others of its rank without one.
    pub fn wait_before(&self, now: Duration, due: Option<Duration>, rank: u32) -> Duration {
        let slots = self.limit.slots(now);
        let ahead = self
            .lanes
            .work_before(now, due.unwrap_or(Duration::MAX), rank);
        Duration::from_secs_f64(pour(self.frees_at(now, slots, |_| true), ahead))
    }

    /// Returns the time in which all that waits and runs is done.
    pub(super) fn backlog(&self, now: Duration) -> Duration {
        let slots = self.limit.slots(now);
        let frees = self.frees_at(now, slots, |_| true);
        Duration::from_secs_f64(pour(frees, self.all_work()))
    }

    /// Returns the estimated wait of a request of this class that arrives now.
    pub fn estimated_wait(&self, now: Duration, cost: Cost) -> Duration {
        let slots = self.limit.slots(now);
        let one_line =
            self.settings.order != Order::ShortFirst && self.settings.long_share.is_none();
        let (open, ahead) = match cost {
            _ if one_line => (self.frees_at(now, slots, |_| true), self.all_work()),
            Cost::Short => self.open_to_short(now, slots),
            Cost::Long => self.open_to_long(now),
        };
        Duration::from_secs_f64(pour(open, ahead))
    }

    /// Returns the expected service time of a ticket: its own, or else the mean of its class, or
    /// else zero.
    pub(super) fn expected(&self, ticket: &Ticket) -> Expected {
        ticket.expected.unwrap_or_else(|| {
            let mean = self.means[ticket.cost as usize].unwrap_or(0.0);
            let mean = Duration::from_secs_f64(mean);
            Expected { mean, most: mean }
        })
    }

    /// Returns whether the class holds all of the places that it may.
    fn is_full(&self, cost: Cost) -> bool {
        let length = self.settings.length;
        let long = self.settings.long_part(length);
        // Short work may fill the queue, but for one place when long work has a share.
        let kept = usize::from(self.settings.long_share.is_some() && length >= 2);
        let places = match cost {
            Cost::Short => length - kept,
            Cost::Long => long,
        };
        self.lanes.len() >= length || self.lanes.lane_len(cost) >= places
    }

    /// Returns whether nothing of the class waits or runs.
    ///
    /// Such a request is always tried: an expected time that is too high would otherwise never be
    /// measured again.
    fn is_trial(&self, cost: Cost) -> bool {
        self.lanes.lane_len(cost) == 0 && !self.running.iter().any(|r| r.cost == cost)
    }

    fn all_work(&self) -> f64 {
        self.lanes.work(Cost::Short) + self.lanes.work(Cost::Long)
    }

    /// Slots for short work: all, but those that long work holds and passes on to long work.
    fn open_to_short(&self, now: Duration, slots: usize) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work(Cost::Short);
        let long_waits = self.lanes.lane_len(Cost::Long) > 0;
        let passed_on = if long_waits { self.long_running() } else { 0 };
        let open = slots.saturating_sub(passed_on).max(1);
        let counts = |r: &Running| !long_waits || r.cost == Cost::Short;
        (self.frees_at(now, open, counts), ahead)
    }

    /// Slots for long work: its share. Short work ahead is small against it.
    fn open_to_long(&self, now: Duration) -> (Vec<f64>, f64) {
        let ahead = self.lanes.work(Cost::Long);
        let open = self.long_limit(now).max(1);
        (self.frees_at(now, open, |r| r.cost == Cost::Long), ahead)
    }

    /// Returns when each of `slots` slots gets free, in seconds from now, with the counted
    /// requests running on them. When more run than slots are open, the first to end open none.
    fn frees_at(&self, now: Duration, slots: usize, counts: impl Fn(&Running) -> bool) -> Vec<f64> {
        let counted = self.running.iter().filter(|r| counts(r));
        let mut frees: Vec<f64> = counted.map(|r| remaining(now, r)).collect();
        while frees.len() < slots {
            frees.push(0.0);
        }
        frees.sort_by(f64::total_cmp);
        frees.split_off(frees.len() - slots)
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
/// times `frees`.
fn pour(frees: Vec<f64>, work: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = 0.0;
    for (at, free) in frees.iter().enumerate() {
        if at > 0 && *free >= level {
            break;
        }
        sum += free;
        level = (sum + work) / (at + 1) as f64;
    }
    level
}

fn refusal(reason: Reason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: retry_after.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
    }
}

//! Checks of the queue's invariants, called by tests and after each step in debug builds.

use std::collections::HashSet;

use displaydoc::Display;

use super::Queue;
use crate::classifier::CostClass;

/// A broken invariant of the queue.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// {running} requests run where {allowed} may
    TooManyRunning {
        /// Requests that run.
        running: usize,
        /// Requests that may run.
        allowed: usize,
    },
    /// {running} long requests run where {allowed} may
    TooManyLong {
        /// Long requests that run.
        running: usize,
        /// Long requests that may run.
        allowed: usize,
    },
    /// {admitted} requests were admitted and {accounted} are accounted for
    Unaccounted {
        /// Requests admitted so far.
        admitted: u64,
        /// Requests that wait, run or have ended.
        accounted: u64,
    },
    /// a request stands in the queue twice
    Duplicate,
    /// a request waits in the lane of the other class
    WrongLane,
    /// more requests wait than the queue has places
    TooManyWaiting,
}

impl std::error::Error for Violation {}

/// Checks all invariants.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn verify<T>(queue: &Queue<T>) -> Result<(), Violation> {
    check_running(queue)?;
    check_accounts(queue)?;
    check_lanes(queue)
}

fn check_running<T>(queue: &Queue<T>) -> Result<(), Violation> {
    let running = queue.running.len();
    let allowed = queue.counts.allowed;
    if running > allowed {
        return Err(Violation::TooManyRunning { running, allowed });
    }
    let running = queue.long_running();
    let allowed = queue.counts.allowed_long;
    if running > allowed {
        return Err(Violation::TooManyLong { running, allowed });
    }
    Ok(())
}

fn check_accounts<T>(queue: &Queue<T>) -> Result<(), Violation> {
    let counts = &queue.counts;
    let held = queue.lanes.len() + queue.running.len() + queue.refused.len();
    let ended = counts.refused + counts.cancelled + counts.finished;
    let accounted = held as u64 + ended;
    if accounted != counts.admitted {
        return Err(Violation::Unaccounted {
            admitted: counts.admitted,
            accounted,
        });
    }
    Ok(())
}

fn check_lanes<T>(queue: &Queue<T>) -> Result<(), Violation> {
    if queue.lanes.len() > queue.settings.capacity {
        return Err(Violation::TooManyWaiting);
    }
    let mut seen = HashSet::new();
    let ids = queue.lanes.iter().map(|entry| entry.id);
    let all = ids.chain(queue.running.iter().map(|r| r.id));
    if !all.into_iter().all(|id| seen.insert(id)) {
        return Err(Violation::Duplicate);
    }
    let short = queue.lanes.lane_len(CostClass::Short);
    let costs = queue.lanes.iter().map(|entry| entry.cost);
    let right = |(at, cost): (usize, CostClass)| (at < short) == (cost == CostClass::Short);
    if !costs.enumerate().all(right) {
        return Err(Violation::WrongLane);
    }
    Ok(())
}

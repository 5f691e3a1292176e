//! Checks of the queue's invariants, called by tests and after each operation in debug builds.

use std::collections::HashSet;

use displaydoc::Display;

use super::Queue;
use crate::classifier::CostClass;

/// A violated invariant of the queue.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// {running} requests are running, but only {allowed} are allowed
    TooManyRunning {
        /// Running requests.
        running: usize,
        /// Requests that are allowed to run.
        allowed: usize,
    },
    /// {running} long requests are running, but only {allowed} are allowed
    TooManyLong {
        /// Running long requests.
        running: usize,
        /// Long requests that are allowed to run.
        allowed: usize,
    },
    /// {admitted} requests were admitted, but {accounted} are accounted for
    Unaccounted {
        /// Requests admitted so far.
        admitted: u64,
        /// Requests that are waiting or running, or have ended.
        accounted: u64,
    },
    /// a request is in the queue twice
    Duplicate,
    /// a request is waiting in the lane of the other cost class
    WrongLane,
    /// more requests started in a second than the cold target can handle
    TooManyColdStarts,
    /// more requests are waiting than the capacity of the queue allows
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
    if !queue.cold.is_within_limit() {
        return Err(Violation::TooManyColdStarts);
    }
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
    let in_own_lane =
        |(index, cost): (usize, CostClass)| (index < short) == (cost == CostClass::Short);
    if !costs.enumerate().all(in_own_lane) {
        return Err(Violation::WrongLane);
    }
    Ok(())
}

//! Number of slots that short requests currently need.
//!
//! The configured share is the upper bound of the slots for long requests. Within it, enough slots
//! for the measured demand of short requests are kept free: a long request holds its slot for the
//! time of many short ones, and cannot be preempted when they arrive.

use std::time::Duration;

/// Time constant of the smoothing in seconds. It is shorter than the 2 s of a load swing.
const TIME_CONSTANT_S: f64 = 1.0;

/// Slots in addition to the mean demand, as a multiple of its square root. The square root is the
/// standard deviation of the number of busy slots.
const MARGIN_FACTOR: f64 = 0.5;

/// Smoothed demand of short requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Work in seconds that arrives per second, which is the mean number of busy slots.
    busy_slots: f64,
    updated_at: Duration,
}

impl Demand {
    /// Adds the expected service time of a request that arrives now.
    pub(super) fn record(&mut self, now: Duration, expected: Duration) {
        self.busy_slots = self.current_busy_slots(now) + expected.as_secs_f64() / TIME_CONSTANT_S;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the number of slots that cover the demand.
    pub(super) fn slots(&self, now: Duration) -> usize {
        let mean = self.current_busy_slots(now);
        (mean + MARGIN_FACTOR * mean.sqrt()).ceil() as usize
    }

    fn current_busy_slots(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.busy_slots * (-elapsed / TIME_CONSTANT_S).exp()
    }
}

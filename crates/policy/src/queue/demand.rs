//! How many slots short work needs at present.
//!
//! The share that the operator sets bounds long work from above. Within it, long work leaves short
//! work the slots that its measured demand asks for, since a long request holds its slot for many
//! short ones and cannot be stopped when they come.

use std::time::Duration;

/// Time over which arrivals count, in seconds. It is shorter than a load swing of 2 s.
const WINDOW_S: f64 = 1.0;

/// Slots kept beyond the mean demand, as a multiple of its square root, which is how far the
/// number of busy slots strays from its mean.
const MARGIN_FACTOR: f64 = 0.5;

/// Smoothed work that arrives per second, in seconds, which is the mean number of busy slots.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    work: f64,
    updated: Duration,
}

impl Demand {
    /// Counts a request that arrives now with its expected service time.
    pub(super) fn record(&mut self, now: Duration, expected: Duration) {
        self.work = self.current(now) + expected.as_secs_f64() / WINDOW_S;
        self.updated = self.updated.max(now);
    }

    /// Returns the slots that the demand asks for.
    pub(super) fn slots(&self, now: Duration) -> usize {
        let mean = self.current(now);
        (mean + MARGIN_FACTOR * mean.sqrt()).ceil() as usize
    }

    fn current(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.work * (-passed / WINDOW_S).exp()
    }
}

//! Times at which refused requests are told to come back.
//!
//! A cold target refuses many requests within a short time. If all were told the same time, they
//! would come back together and be refused again. Each refusal therefore takes a place in the
//! capacity that is expected to be left over, and the next one is told a later time.

use std::time::Duration;

use super::ColdStart;

/// Smallest share of a target's rate that is counted on for requests that come back, or for requests
/// with a low priority. The queue gives low priorities about a ninth of the starts.
pub(super) const MIN_SHARE: f64 = 0.1;

/// Smallest share of the rate of a warm target that is counted on for requests that come back.
const MIN_WARM_SHARE: f64 = 0.25;

/// Time constant of the measured rates of arrivals in seconds.
const TIME_CONSTANT_S: f64 = 1.0;

/// Number of priorities that are told apart. Lower ones are treated alike.
const MAX_LEVELS: u32 = 16;

/// Arrivals of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    rate_per_s: f64,
    updated_at: Duration,
    /// Next free place while the target is cold.
    next_place: Duration,
}

impl Level {
    fn rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate_per_s * (-elapsed / TIME_CONSTANT_S).exp()
    }
}

/// Arrivals at a target by priority, and the places that refused requests were told.
#[derive(Debug, Clone, Default)]
pub struct Promises {
    /// By priority.
    levels: Vec<Level>,
    /// Next free place once the target is warm.
    next_warm_place: Duration,
}

impl Promises {
    /// Counts a request that arrives.
    pub fn record_arrival(&mut self, now: Duration, priority: u32) {
        let level = self.level_mut(priority);
        level.rate_per_s = level.rate(now) + 1.0 / TIME_CONSTANT_S;
        level.updated_at = level.updated_at.max(now);
    }

    /// Returns the rate of arrivals with a higher priority, in requests a second.
    pub fn rate_above(&self, now: Duration, priority: u32) -> f64 {
        self.rate_of_first(now, index(priority))
    }

    /// Takes a place for a refused request and returns the time until then.
    ///
    /// The request would have fitted after `fits_after`. A warm target serves `warm_rate` requests
    /// a second.
    pub fn take_place(
        &mut self,
        now: Duration,
        cold: &ColdStart,
        priority: u32,
        fits_after: Duration,
        warm_rate: f64,
    ) -> Duration {
        let warm_at = cold.warm_at(now);
        let rate = cold.max_starts() as f64;
        let spare = rate - self.rate_of_first(now, index(priority) + 1);
        let level = self.level_mut(priority);
        let place = level.next_place.max(now + fits_after);
        if spare >= MIN_SHARE * rate && place < warm_at {
            level.next_place = place + Duration::from_secs_f64(1.0 / spare);
            return place - now;
        }
        let total = self.rate_of_first(now, usize::MAX);
        let spare = (warm_rate - total).max(MIN_WARM_SHARE * warm_rate);
        let place = self.next_warm_place.max(warm_at);
        self.next_warm_place = place + Duration::from_secs_f64(1.0 / spare);
        place - now
    }

    fn rate_of_first(&self, now: Duration, count: usize) -> f64 {
        let levels = self.levels.iter().take(count);
        levels.map(|level| level.rate(now)).sum()
    }

    fn level_mut(&mut self, priority: u32) -> &mut Level {
        let index = index(priority);
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        &mut self.levels[index]
    }
}

fn index(priority: u32) -> usize {
    priority.min(MAX_LEVELS) as usize
}

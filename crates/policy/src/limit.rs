//! Limit on the concurrent requests of one target.
//!
//! The target announces its slots. The limit of a cold target starts low and ramps up. It is
//! reduced when the target sheds load, and recovers over time. Invariant: the limit is at most the
//! number of announced slots, and at least 1 unless that number is 0.

use std::time::Duration;

/// Settings of a concurrency limit.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time over which a cold target ramps up to all slots.
    pub ramp_up: Duration,
    /// Factor applied to the limit when the target sheds load, above 0 and below 1.
    pub shed_factor: f64,
    /// Minimum time between two reductions, so that a burst of refusals counts once.
    pub shed_interval: Duration,
    /// Time over which a limit near 0 recovers to all slots.
    pub recovery: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ramp_up: Duration::from_secs(3),
            shed_factor: 0.7,
            shed_interval: Duration::from_millis(100),
            recovery: Duration::from_secs(5),
        }
    }
}

/// Concurrency limit of one target.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: Settings,
    announced_slots: usize,
    /// Start of the latest ramp-up; `None` if the target has never started cold.
    cold_since: Option<Duration>,
    /// Limit after the last reduction, and the time of the reduction; `None` if the target has not
    /// shed load since its last cold start.
    reduced: Option<(f64, Duration)>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a warm target.
    pub fn new(settings: Settings, slots: usize) -> Self {
        Self {
            settings,
            announced_slots: slots,
            cold_since: None,
            reduced: None,
        }
    }

    /// Sets the announced slots. With 0 slots, the target receives no requests.
    pub fn set_slots(&mut self, slots: usize) {
        self.announced_slots = slots;
    }

    /// Returns the announced slots.
    pub fn announced_slots(&self) -> usize {
        self.announced_slots
    }

    /// Starts the ramp-up of a cold target.
    pub fn start_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.reduced = None;
    }

    /// Reduces the limit because the target shed a request.
    pub fn reduce(&mut self, now: Duration) {
        let too_early = |&(_, at): &(f64, Duration)| now < at + self.settings.shed_interval;
        if self.reduced.as_ref().is_some_and(too_early) {
            return;
        }
        let lower = self.slots(now) as f64 * self.settings.shed_factor;
        self.reduced = Some((lower, now));
    }

    /// Returns the number of requests that may run concurrently.
    pub fn slots(&self, now: Duration) -> usize {
        let announced = self.announced_slots as f64;
        let allowed = self
            .ramp_up_limit(now, announced)
            .min(self.recovery_limit(now, announced));
        (allowed as usize)
            .clamp(1, self.announced_slots.max(1))
            .min(self.announced_slots)
    }

    /// Returns when to check the limit again: after the time in which it rises by about one slot.
    /// `None` if it equals the announced slots.
    pub fn recheck_at(&self, now: Duration) -> Option<Duration> {
        if self.slots(now) >= self.announced_slots {
            return None;
        }
        let longest = self.settings.ramp_up.max(self.settings.recovery);
        Some(now + longest / (self.announced_slots as u32).max(1))
    }

    fn ramp_up_limit(&self, now: Duration, announced: f64) -> f64 {
        match self.cold_since {
            Some(since) => announced * fraction(now.saturating_sub(since), self.settings.ramp_up),
            None => announced,
        }
    }

    fn recovery_limit(&self, now: Duration, announced: f64) -> f64 {
        match self.reduced {
            Some((limit, at)) => {
                limit + announced * fraction(now.saturating_sub(at), self.settings.recovery)
            }
            None => announced,
        }
    }
}

/// Returns `part / whole`, capped at 1; 1 if `whole` is zero.
fn fraction(part: Duration, whole: Duration) -> f64 {
    if whole.is_zero() {
        return 1.0;
    }
    (part.as_secs_f64() / whole.as_secs_f64()).min(1.0)
}

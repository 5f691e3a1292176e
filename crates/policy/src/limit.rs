//! How many requests may run at a target at once.
//!
//! The target announces its slots. The limit starts low at a cold target and ramps up; it falls
//! when the target sheds load and recovers with time. Invariant: the limit never exceeds the
//! announced slots, and is at least 1 while the target announces any.

use std::time::Duration;

/// Settings of the limit.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time over which a cold target ramps up to its slots.
    pub ramp_up: Duration,
    /// Factor on the limit when the target sheds load, above 0 and below 1.
    pub shed_factor: f64,
    /// Time between two reductions, so that one burst of refusals counts once.
    pub shed_interval: Duration,
    /// Time over which a limit of nearly 0 recovers to all slots.
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

/// Limit of one target.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: Settings,
    announced_slots: usize,
    /// When the target became ready while cold; `None` for a warm target.
    cold_since: Option<Duration>,
    /// Limit at the last reduction and its time; `None` when the target never shed.
    reduced: Option<(f64, Duration)>,
}

impl ConcurrencyLimit {
    /// Makes the limit of a warm target.
    pub fn new(settings: Settings, slots: usize) -> Self {
        Self {
            settings,
            announced_slots: slots,
            cold_since: None,
            reduced: None,
        }
    }

    /// Takes over the slots that the target announces; 0 stops it from receiving anything.
    pub fn set_slots(&mut self, slots: usize) {
        self.announced_slots = slots;
    }

    /// Starts the ramp of a cold target.
    pub fn start_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.reduced = None;
    }

    /// Lowers the limit because the target shed a request.
    pub fn reduce(&mut self, now: Duration) {
        let early = |&(_, at): &(f64, Duration)| now < at + self.settings.shed_interval;
        if self.reduced.as_ref().is_some_and(early) {
            return;
        }
        let lower = self.slots(now) as f64 * self.settings.shed_factor;
        self.reduced = Some((lower, now));
    }

    /// Returns the requests that may run at once.
    pub fn slots(&self, now: Duration) -> usize {
        let all = self.announced_slots as f64;
        let allowed = self
            .ramp_up_limit(now, all)
            .min(self.recovery_limit(now, all));
        (allowed as usize)
            .clamp(1, self.announced_slots.max(1))
            .min(self.announced_slots)
    }

    /// Returns when the limit next rises; `None` when it stands at the announced slots.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        if self.slots(now) >= self.announced_slots {
            return None;
        }
        let slowest = self.settings.ramp_up.max(self.settings.recovery);
        Some(now + slowest / (self.announced_slots as u32).max(1))
    }

    fn ramp_up_limit(&self, now: Duration, all: f64) -> f64 {
        match self.cold_since {
            Some(since) => all * fraction(now.saturating_sub(since), self.settings.ramp_up),
            None => all,
        }
    }

    fn recovery_limit(&self, now: Duration, all: f64) -> f64 {
        match self.reduced {
            Some((limit, at)) => {
                limit + all * fraction(now.saturating_sub(at), self.settings.recovery)
            }
            None => all,
        }
    }
}

/// Returns `part / whole`, at most 1.
fn fraction(part: Duration, whole: Duration) -> f64 {
    if whole.is_zero() {
        return 1.0;
    }
    (part.as_secs_f64() / whole.as_secs_f64()).min(1.0)
}

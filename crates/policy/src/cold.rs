//! Rate limit of a cold target.
//!
//! A target that has just started or come back handles only a given number of requests a second for
//! some seconds. Well above that number it fails and comes back cold again. [`ColdStart`] knows from
//! the target's reports and from events whether the target is cold, and when the next request may
//! start.
//!
//! Invariants:
//! - After an event that can make the target cold, it counts as cold until a later report tells its
//!   state. A late or missing report only makes that time longer.
//! - While the target is cold, at most [`Settings::max_starts`] requests start in any sliding second.
//!   Requests that started before the target turned cold are counted too.

mod promises;

use std::collections::VecDeque;
use std::time::Duration;

use displaydoc::Display;

pub use promises::Promises;

/// Period over which starts are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Highest limit, which bounds the memory for starts. A target with 12 slots and work of 1 ms serves
/// fewer.
const MAX_STARTS: usize = 16_384;

/// Part of [`PERIOD`] over which the starts of one period are spread at least, so that an urgent
/// request does not wait out the rest of the period. The remaining tenth makes up for timers that
/// fire late.
const SPREAD: Duration = Duration::from_millis(900);

/// Time after an event in which a report may have been sent before the event. The target is on the
/// same VM, but processes there may get a tenth of a core.
const REPORT_TRANSIT: Duration = Duration::from_millis(100);

/// Time in which the next report of a target is expected to tell its state. Targets report about
/// every 0.87 s.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a service declares about its cold targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Number of requests a second that a cold target can handle; 0 means that there is no limit.
    pub requests_per_s: f64,
    /// Time for which a target is cold after its start.
    pub duration: Duration,
}

impl Settings {
    /// Returns the maximum number of starts in a sliding second; `None` without limit.
    pub fn max_starts(&self) -> Option<usize> {
        (self.requests_per_s > 0.0).then(|| (self.requests_per_s as usize).clamp(1, MAX_STARTS))
    }
}

/// Why a target counts as cold.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// new incarnation
    NewIncarnation,
    /// connection refused or reset
    ConnectionFailed,
    /// assumed after an absence
    Assumed,
    /// reported by the target
    Reported,
}

/// Whether one target is cold, and the starts of its requests.
#[derive(Debug, Clone)]
pub struct ColdStart {
    settings: Settings,
    /// Incarnation that reported last.
    incarnation: Option<u64>,
    /// Latest event that no later report has answered.
    unanswered: Option<Duration>,
    /// Until when the target is cold according to its last report.
    reported_until: Duration,
    /// Why the target turned cold last.
    cause: Cause,
    /// When the target turned cold last.
    since: Duration,
    /// Latest starts, oldest first, and whether the target was cold. One more than the limit, for
    /// [`ColdStart::is_within_limit`].
    starts: VecDeque<(Duration, bool)>,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            settings: Settings::default(),
            incarnation: None,
            unanswered: None,
            reported_until: Duration::ZERO,
            cause: Cause::NewIncarnation,
            since: Duration::ZERO,
            starts: VecDeque::new(),
        }
    }
}

impl ColdStart {
    /// Creates the state of a target that has not reported yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings.
    pub fn configure(&mut self, settings: Settings) {
        if settings != self.settings {
            // Earlier starts followed another limit, so they are no evidence against this one.
            self.starts.iter_mut().for_each(|(_, cold)| *cold = false);
            self.settings = settings;
        }
    }

    /// Applies a report that was received at `received_at`.
    ///
    /// `remaining` is the time for which the target says that it remains cold, counted from the
    /// receipt. If it is `None`, the target does not report it and is cold for
    /// [`Settings::duration`] after an event.
    pub fn record_report(
        &mut self,
        received_at: Duration,
        incarnation: u64,
        remaining: Option<Duration>,
    ) {
        let is_new = self.incarnation.replace(incarnation) != Some(incarnation);
        if is_new {
            self.record_event(received_at, Cause::NewIncarnation);
        }
        let Some(remaining) = remaining else {
            let is_over = |at: &mut Duration| *at + self.settings.duration <= received_at;
            self.unanswered.take_if(is_over);
            return;
        };
        if !self.is_cold(received_at) && !remaining.is_zero() {
            self.turn_cold(received_at, Cause::Reported);
        }
        self.reported_until = received_at + remaining;
        let transit = if is_new {
            Duration::ZERO
        } else {
            REPORT_TRANSIT
        };
        let is_answer = |at: &mut Duration| *at + transit <= received_at;
        self.unanswered.take_if(is_answer);
    }

    /// Records a connection to the target that was refused, or reset with requests on it.
    pub fn record_connection_failure(&mut self, now: Duration) {
        self.record_event(now, Cause::ConnectionFailed);
    }

    /// Assumes that the target is cold.
    pub fn assume_cold(&mut self, now: Duration) {
        self.record_event(now, Cause::Assumed);
    }

    fn record_event(&mut self, now: Duration, cause: Cause) {
        if !self.is_cold(now) || cause == Cause::NewIncarnation {
            self.turn_cold(now, cause);
        }
        self.unanswered = self.unanswered.max(Some(now));
    }

    fn turn_cold(&mut self, now: Duration, cause: Cause) {
        self.cause = cause;
        self.since = now;
    }

    /// Returns whether the target counts as cold. Always `false` without a limit.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.settings.max_starts().is_some()
            && (self.unanswered.is_some() || now < self.reported_until)
    }

    /// Returns why the target turned cold last, and when.
    pub fn cause(&self) -> (Cause, Duration) {
        (self.cause, self.since)
    }

    /// Returns when the target is expected to be warm; `now` if it is warm.
    pub fn warm_at(&self, now: Duration) -> Duration {
        if !self.is_cold(now) {
            return now;
        }
        let Some(event) = self.unanswered else {
            return self.reported_until;
        };
        let earliest = (event + self.settings.duration).max(self.reported_until);
        earliest.max(now + REPORT_INTERVAL)
    }

    /// Returns when the last report says that the target turns warm, if no other report is needed.
    pub fn turns_warm_at(&self, now: Duration) -> Option<Duration> {
        (self.is_cold(now) && self.unanswered.is_none()).then_some(self.reported_until)
    }

    /// Returns when the next request may start; `now` or earlier if it may start now.
    pub fn next_start(&self, now: Duration) -> Duration {
        if !self.is_cold(now) {
            return now;
        }
        let paced = self.paced_start(now, 0);
        self.turns_warm_at(now).map_or(paced, |at| at.min(paced))
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Duration) {
        let Some(max) = self.settings.max_starts() else {
            return;
        };
        let cold = self.is_cold(now);
        self.starts.push_back((now, cold));
        while self.starts.len() > max + 1 {
            self.starts.pop_front();
        }
    }

    /// Returns the expected time until a request may start that has `ahead` others ahead of it.
    /// Others with a higher priority arrive meanwhile at `urgent_rate` a second.
    pub fn expected_wait(&self, now: Duration, ahead: usize, urgent_rate: f64) -> Duration {
        if !self.is_cold(now) {
            return Duration::ZERO;
        }
        let rate = self.max_starts() as f64;
        let own_share = (1.0 - urgent_rate / rate).max(promises::MIN_SHARE);
        let paced = self.paced_start(now, ahead).saturating_sub(now);
        let until_warm = self.warm_at(now).saturating_sub(now);
        paced.div_f64(own_share).min(until_warm)
    }

    /// Returns whether the latest start kept the limit.
    pub fn is_within_limit(&self) -> bool {
        let (Some((first, _)), Some((last, cold))) = (self.starts.front(), self.starts.back())
        else {
            return true;
        };
        let is_full = self.starts.len() > self.max_starts();
        !cold || !is_full || last.saturating_sub(*first) >= PERIOD
    }

    fn max_starts(&self) -> usize {
        self.settings.max_starts().unwrap_or(usize::MAX)
    }

    /// Returns when a request may start that has `ahead` others ahead of it, while the target stays
    /// cold.
    fn paced_start(&self, now: Duration, ahead: usize) -> Duration {
        let max = self.max_starts();
        let gap = SPREAD / max as u32;
        let mut planned: Vec<Duration> = Vec::with_capacity(ahead + 1);
        for _ in 0..=ahead {
            let recorded = self.starts.len();
            let nth = |n: usize| match n.checked_sub(recorded) {
                Some(planned_index) => planned[planned_index],
                None => self.starts[n].0,
            };
            let count = recorded + planned.len();
            let after_last = count.checked_sub(1).map_or(now, |n| nth(n) + gap);
            let after_period = count.checked_sub(max).map_or(now, |n| nth(n) + PERIOD);
            planned.push(now.max(after_last).max(after_period));
        }
        planned[ahead]
    }
}

//! Ejection of targets that fail.
//!
//! Only errors that are the target's own fault count: a caller's mistake, a cancelled request or a
//! fault of this project says nothing about the target, and counting them takes healthy targets
//! out. An ejected target returns through single probes.
//!
//! Invariant: at most the bounded share of the targets is out at once, so that a fault that they
//! share does not empty the service.

use std::time::Duration;

use crate::Outcome;
use crate::balance::TargetIx;

/// Which errors count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counting {
    /// Faults of the target.
    TargetFaults,
    /// Everything but success (baseline).
    AllErrors,
}

/// Settings of the ejector.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Which errors count.
    pub counting: Counting,
    /// Part of the targets that may be out at once, rounded down.
    pub max_ejected: f64,
    /// Requests over which errors are counted. It is a number of requests and not a time, so that
    /// a busy target that begins to fail is judged by its last requests.
    pub request_window: f64,
    /// Time over which the counts fade, for targets with few requests.
    pub decay_time: Duration,
    /// Counted errors that a target needs before it is judged, after fading: 4.5 is reached by five
    /// errors in a row.
    pub min_errors: f64,
    /// Share of errors from which a target is ejected.
    pub min_error_rate: f64,
    /// Length of the first ejection. Each further one doubles it, until the target has stayed in
    /// rotation for [`Settings::max_ejection`].
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Probes that must succeed in a row before a target returns.
    pub required_probes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            counting: Counting::TargetFaults,
            max_ejected: 0.34,
            request_window: 20.0,
            decay_time: Duration::from_secs(30),
            min_errors: 4.5,
            min_error_rate: 0.5,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            required_probes: 3,
        }
    }
}

/// Whether a target may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionState {
    /// In rotation.
    InRotation,
    /// Out, but one probe may be sent now.
    ProbeDue,
    /// Out.
    Ejected,
}

/// A change of a target's standing, for the journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target was ejected until this time since boot.
    Ejected(Duration),
    /// The target returned and should ramp up as a cold one.
    Returned,
}

/// Ejector of one service.
#[derive(Debug)]
pub struct Ejector {
    settings: Settings,
    targets: Vec<Target>,
}

#[derive(Debug, Clone, Default)]
struct Target {
    /// Recent requests and errors, which fade with the window.
    requests: f64,
    errors: f64,
    decayed_at: Duration,
    /// Ejections in a row, which set the length of the next.
    consecutive_ejections: u32,
    /// When the target last returned.
    returned_at: Duration,
    ejection: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Duration,
    passed_probes: u32,
    /// Start of the probe that is under way.
    probe_started_at: Option<Duration>,
}

impl Ejector {
    /// Makes an ejector for `targets` targets.
    pub fn new(settings: Settings, targets: usize) -> Self {
        Self {
            settings,
            targets: vec![Target::default(); targets],
        }
    }

    /// Sets the number of targets; new ones are in rotation.
    pub fn resize(&mut self, targets: usize) {
        self.targets.resize_with(targets, Target::default);
    }

    /// Returns the standing of a target.
    pub fn ejection_state(&self, now: Duration, target: TargetIx) -> EjectionState {
        let Some(ejection) = self.targets.get(target.0 as usize).and_then(|t| t.ejection) else {
            return EjectionState::InRotation;
        };
        // A probe without an end stops counting, or its loss would keep the target out for good.
        let under_way = ejection
            .probe_started_at
            .is_some_and(|index| now < index + self.settings.max_ejection);
        if now < ejection.until || under_way {
            EjectionState::Ejected
        } else {
            EjectionState::ProbeDue
        }
    }

    /// Records that a probe goes to a target whose standing is [`EjectionState::ProbeDue`].
    pub fn begin_probe(&mut self, now: Duration, target: TargetIx) {
        let ejection = self.targets.get_mut(target.0 as usize);
        if let Some(ejection) = ejection.and_then(|t| t.ejection.as_mut()) {
            ejection.probe_started_at = Some(now);
        }
    }

    /// Records how a request to a target ended.
    pub fn record(&mut self, now: Duration, target: TargetIx, outcome: Outcome) -> Option<Change> {
        let index = target.0 as usize;
        let is_counted = self.is_counted(outcome);
        let state = self.targets.get_mut(index)?;
        match state.ejection {
            Some(ejection) if ejection.probe_started_at.is_some() => {
                self.record_probe(now, index, outcome)
            }
            // Requests from before the ejection end late and say nothing new.
            Some(_) => None,
            None => {
                decay(state, now, &self.settings);
                // What is not counted as an error is not counted as a request either, unless the
                // target did its part.
                if is_counted || outcome == Outcome::Success || outcome == Outcome::CallerFault {
                    let kept = 1.0 - 1.0 / self.settings.request_window.max(1.0);
                    state.requests = state.requests * kept + 1.0;
                    state.errors = state.errors * kept + f64::from(u8::from(is_counted));
                }
                self.evaluate(now, index)
            }
        }
    }

    /// Returns the number of targets that are out.
    pub fn ejected(&self) -> usize {
        self.targets.iter().filter(|t| t.ejection.is_some()).count()
    }

    /// Returns the number of targets that may be out at once.
    pub fn max_ejected_targets(&self) -> usize {
        (self.targets.len() as f64 * self.settings.max_ejected) as usize
    }

    fn is_counted(&self, outcome: Outcome) -> bool {
        match self.settings.counting {
            Counting::TargetFaults => outcome == Outcome::TargetFault,
            Counting::AllErrors => outcome != Outcome::Success,
        }
    }

    fn evaluate(&mut self, now: Duration, index: usize) -> Option<Change> {
        let free = self.ejected() < self.max_ejected_targets();
        let state = &self.targets[index];
        let enough = state.errors >= self.settings.min_errors;
        let bad = state.errors >= self.settings.min_error_rate * state.requests;
        (free && enough && bad).then(|| self.eject(now, index))
    }

    fn eject(&mut self, now: Duration, index: usize) -> Change {
        let max_ejection = self.settings.max_ejection;
        let state = &mut self.targets[index];
        if state.ejection.is_none() && now > state.returned_at + max_ejection {
            state.consecutive_ejections = 0;
        }
        let doubled =
            self.settings.base_ejection * 2u32.saturating_pow(state.consecutive_ejections.min(16));
        let until = now + doubled.min(max_ejection);
        state.consecutive_ejections += 1;
        state.requests = 0.0;
        state.errors = 0.0;
        state.ejection = Some(Ejection {
            until,
            passed_probes: 0,
            probe_started_at: None,
        });
        Change::Ejected(until)
    }

    fn record_probe(&mut self, now: Duration, index: usize, outcome: Outcome) -> Option<Change> {
        if self.is_counted(outcome) {
            return Some(self.eject(now, index));
        }
        let state = &mut self.targets[index];
        let ejection = state.ejection.as_mut()?;
        ejection.probe_started_at = None;
        if outcome == Outcome::Success || outcome == Outcome::CallerFault {
            ejection.passed_probes += 1;
        }
        if ejection.passed_probes < self.settings.required_probes {
            return None;
        }
        state.ejection = None;
        state.decayed_at = now;
        state.returned_at = now;
        Some(Change::Returned)
    }
}

/// Lets the counts of a target fade with time.
fn decay(state: &mut Target, now: Duration, settings: &Settings) {
    let elapsed = now.saturating_sub(state.decayed_at).as_secs_f64();
    let kept = (-elapsed / settings.decay_time.as_secs_f64()).exp();
    state.requests *= kept;
    state.errors *= kept;
    state.decayed_at = now;
}

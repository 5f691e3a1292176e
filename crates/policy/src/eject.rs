//! Outlier ejection: failing targets are taken out of rotation for a time.
//!
//! Only faults of the target count. Errors of the caller, cancelled requests and faults of the
//! router say nothing about the target, and counting them would eject healthy targets. An ejected
//! target returns after a number of successful probes, which are sent one at a time.
//!
//! Invariant: at most a configured share of the targets is ejected at once, so that a fault common
//! to all targets does not leave the service without any.

use std::time::Duration;

use crate::Outcome;
use crate::balance::TargetIx;

/// Which outcomes count as errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counting {
    /// Only faults of the target.
    TargetFaults,
    /// Every outcome but success (baseline for comparison).
    AllErrors,
}

/// Settings of the ejector.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Which outcomes count as errors.
    pub counting: Counting,
    /// Share of the targets that may be ejected at once, rounded down.
    pub max_ejected: f64,
    /// Number of requests over which errors are counted. It is not a time, so that the error rate
    /// of a busy target reflects its latest requests soon after it begins to fail.
    pub request_window: f64,
    /// Time constant with which the counts decay, for targets with few requests.
    pub decay_time: Duration,
    /// Minimum number of counted errors, after decay, for an ejection. Five consecutive errors
    /// reach 4.5.
    pub min_errors: f64,
    /// Minimum error rate for an ejection.
    pub min_error_rate: f64,
    /// Length of the first ejection. It doubles with each further one, and is reset once the target
    /// has been in rotation for [`Settings::max_ejection`].
    pub base_ejection: Duration,
    /// Maximum length of an ejection.
    pub max_ejection: Duration,
    /// Number of successful probes after which a target returns to rotation. A failed probe ejects
    /// it again.
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

/// Ejection state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionState {
    /// The target may be chosen.
    InRotation,
    /// The target is ejected, but one probe may be sent now.
    ProbeDue,
    /// The target may not be chosen.
    Ejected,
}

/// A change of the ejection state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The target is ejected until this instant, as time since boot.
    Ejected(Duration),
    /// The target returned to rotation and should ramp up as a cold target.
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
    /// Number of recent requests, with decay.
    requests: f64,
    /// Number of counted errors among them, with decay.
    errors: f64,
    /// When the decay was last applied.
    decayed_at: Duration,
    /// Consecutive ejections, which determine the length of the next one.
    consecutive_ejections: u32,
    /// When the target last returned to rotation.
    returned_at: Duration,
    ejection: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Duration,
    passed_probes: u32,
    /// Start of the outstanding probe.
    probe_started_at: Option<Duration>,
}

impl Ejector {
    /// Creates an ejector for `targets` targets.
    pub fn new(settings: Settings, targets: usize) -> Self {
        Self {
            settings,
            targets: vec![Target::default(); targets],
        }
    }

    /// Sets the number of targets. New targets are in rotation.
    pub fn resize(&mut self, targets: usize) {
        self.targets.resize_with(targets, Target::default);
    }

    /// Returns the ejection state of a target.
    pub fn ejection_state(&self, now: Duration, target: TargetIx) -> EjectionState {
        let Some(ejection) = self.targets.get(target.0 as usize).and_then(|t| t.ejection) else {
            return EjectionState::InRotation;
        };
        // A probe without a result times out, since a lost probe would otherwise keep the target
        // ejected for ever.
        let probe_outstanding = ejection
            .probe_started_at
            .is_some_and(|at| now < at + self.settings.max_ejection);
        if now < ejection.until || probe_outstanding {
            EjectionState::Ejected
        } else {
            EjectionState::ProbeDue
        }
    }

    /// Records that a probe is sent to a target in state [`EjectionState::ProbeDue`].
    pub fn begin_probe(&mut self, now: Duration, target: TargetIx) {
        let state = self.targets.get_mut(target.0 as usize);
        if let Some(ejection) = state.and_then(|t| t.ejection.as_mut()) {
            ejection.probe_started_at = Some(now);
        }
    }

    /// Records the outcome of a request to a target, and returns a resulting change of its state.
    pub fn record(&mut self, now: Duration, target: TargetIx, outcome: Outcome) -> Option<Change> {
        let index = target.0 as usize;
        let is_counted = self.is_counted(outcome);
        let state = self.targets.get_mut(index)?;
        match state.ejection {
            // Any outcome that arrives while a probe is outstanding is taken for the probe's.
            Some(ejection) if ejection.probe_started_at.is_some() => {
                self.record_probe(now, index, outcome)
            }
            // The request was sent before the ejection, so its outcome is outdated.
            Some(_) => None,
            None => {
                decay(state, now, &self.settings);
                // Other outcomes say nothing about the target, so they do not count as requests
                // either.
                if is_counted || outcome == Outcome::Success || outcome == Outcome::CallerFault {
                    let factor = 1.0 - 1.0 / self.settings.request_window.max(1.0);
                    state.requests = state.requests * factor + 1.0;
                    state.errors = state.errors * factor + f64::from(u8::from(is_counted));
                }
                self.eject_if_failing(now, index)
            }
        }
    }

    /// Returns the number of ejected targets.
    pub fn ejected_count(&self) -> usize {
        self.targets.iter().filter(|t| t.ejection.is_some()).count()
    }

    /// Returns the number of targets that may be ejected at once.
    pub fn max_ejected_targets(&self) -> usize {
        (self.targets.len() as f64 * self.settings.max_ejected) as usize
    }

    fn is_counted(&self, outcome: Outcome) -> bool {
        match self.settings.counting {
            Counting::TargetFaults => outcome == Outcome::TargetFault,
            Counting::AllErrors => outcome != Outcome::Success,
        }
    }

    /// Ejects a target that reaches both thresholds, unless too many are ejected already.
    fn eject_if_failing(&mut self, now: Duration, index: usize) -> Option<Change> {
        let may_eject = self.ejected_count() < self.max_ejected_targets();
        let state = &self.targets[index];
        let has_min_errors = state.errors >= self.settings.min_errors;
        let reaches_rate = state.errors >= self.settings.min_error_rate * state.requests;
        (may_eject && has_min_errors && reaches_rate).then(|| self.eject(now, index))
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

/// Applies the decay since the last call to the counts of a target.
fn decay(state: &mut Target, now: Duration, settings: &Settings) {
    let elapsed = now.saturating_sub(state.decayed_at).as_secs_f64();
    let factor = (-elapsed / settings.decay_time.as_secs_f64()).exp();
    state.requests *= factor;
    state.errors *= factor;
    state.decayed_at = now;
}

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
    pub memory: f64,
    /// Time over which the counts fade, for targets with few requests.
    pub window: Duration,
    /// Counted errors that a target needs before it is judged, after fading: 4.5 is reached by five
    /// errors in a row.
    pub min_errors: f64,
    /// Share of errors from which a target is ejected.
    pub error_share: f64,
    /// Length of the first ejection. Each further one doubles it, until the target has stayed in
    /// rotation for [`Settings::longest`].
    pub base: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// Probes that must succeed in a row before a target returns.
    pub probes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            counting: Counting::TargetFaults,
            max_ejected: 0.34,
            memory: 20.0,
            window: Duration::from_secs(30),
            min_errors: 4.5,
            error_share: 0.5,
            base: Duration::from_secs(2),
            longest: Duration::from_secs(30),
            probes: 3,
        }
    }
}

/// Whether a target may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// In rotation.
    In,
    /// Out, but one probe may be sent now.
    Probe,
    /// Out.
    Out,
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
    counted: Duration,
    /// Ejections in a row, which set the length of the next.
    strikes: u32,
    /// When the target last returned.
    returned: Duration,
    out: Option<Ejection>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Duration,
    passed: u32,
    /// Start of the probe that is under way.
    probing: Option<Duration>,
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
    pub fn standing(&self, now: Duration, target: TargetIx) -> Standing {
        let Some(out) = self.targets.get(target.0 as usize).and_then(|t| t.out) else {
            return Standing::In;
        };
        // A probe without an end stops counting, or its loss would keep the target out for good.
        let under_way = out
            .probing
            .is_some_and(|at| now < at + self.settings.longest);
        if now < out.until || under_way {
            Standing::Out
        } else {
            Standing::Probe
        }
    }

    /// Records that a probe goes to a target whose standing is [`Standing::Probe`].
    pub fn begin_probe(&mut self, now: Duration, target: TargetIx) {
        let out = self.targets.get_mut(target.0 as usize);
        if let Some(out) = out.and_then(|t| t.out.as_mut()) {
            out.probing = Some(now);
        }
    }

    /// Records how a request to a target ended.
    pub fn record(&mut self, now: Duration, target: TargetIx, outcome: Outcome) -> Option<Change> {
        let at = target.0 as usize;
        let counts = self.counts(outcome);
        let state = self.targets.get_mut(at)?;
        match state.out {
            Some(out) if out.probing.is_some() => self.record_probe(now, at, outcome),
            // Requests from before the ejection end late and say nothing new.
            Some(_) => None,
            None => {
                fade(state, now, &self.settings);
                // What is not counted as an error is not counted as a request either, unless the
                // target did its part.
                if counts || outcome == Outcome::Success || outcome == Outcome::CallerFault {
                    let kept = 1.0 - 1.0 / self.settings.memory.max(1.0);
                    state.requests = state.requests * kept + 1.0;
                    state.errors = state.errors * kept + f64::from(u8::from(counts));
                }
                self.judge(now, at)
            }
        }
    }

    /// Returns the number of targets that are out.
    pub fn ejected(&self) -> usize {
        self.targets.iter().filter(|t| t.out.is_some()).count()
    }

    /// Returns the number of targets that may be out at once.
    pub fn most_ejected(&self) -> usize {
        (self.targets.len() as f64 * self.settings.max_ejected) as usize
    }

    fn counts(&self, outcome: Outcome) -> bool {
        match self.settings.counting {
            Counting::TargetFaults => outcome == Outcome::TargetFault,
            Counting::AllErrors => outcome != Outcome::Success,
        }
    }

    fn judge(&mut self, now: Duration, at: usize) -> Option<Change> {
        let free = self.ejected() < self.most_ejected();
        let state = &self.targets[at];
        let enough = state.errors >= self.settings.min_errors;
        let bad = state.errors >= self.settings.error_share * state.requests;
        (free && enough && bad).then(|| self.eject(now, at))
    }

    fn eject(&mut self, now: Duration, at: usize) -> Change {
        let longest = self.settings.longest;
        let state = &mut self.targets[at];
        if state.out.is_none() && now > state.returned + longest {
            state.strikes = 0;
        }
        let doubled = self.settings.base * 2u32.saturating_pow(state.strikes.min(16));
        let until = now + doubled.min(longest);
        state.strikes += 1;
        state.requests = 0.0;
        state.errors = 0.0;
        state.out = Some(Ejection {
            until,
            passed: 0,
            probing: None,
        });
        Change::Ejected(until)
    }

    fn record_probe(&mut self, now: Duration, at: usize, outcome: Outcome) -> Option<Change> {
        if self.counts(outcome) {
            return Some(self.eject(now, at));
        }
        let state = &mut self.targets[at];
        let out = state.out.as_mut()?;
        out.probing = None;
        if outcome == Outcome::Success || outcome == Outcome::CallerFault {
            out.passed += 1;
        }
        if out.passed < self.settings.probes {
            return None;
        }
        state.out = None;
        state.counted = now;
        state.returned = now;
        Some(Change::Returned)
    }
}

/// Lets the counts of a target fade with time.
fn fade(state: &mut Target, now: Duration, settings: &Settings) {
    let passed = now.saturating_sub(state.counted).as_secs_f64();
    let kept = (-passed / settings.window.as_secs_f64()).exp();
    state.requests *= kept;
    state.errors *= kept;
    state.counted = now;
}

//! Whether a failed attempt is made again.
//!
//! Invariants: a request that is not idempotent is sent again only after `NotRun`; nothing is sent
//! again once part of the answer has gone to the caller; retries stay below the budget's share of
//! recent requests, so that they cannot multiply the load on targets that are failing because of
//! load.

use std::time::Duration;

use crate::deadline::Deadline;
use crate::{Outcome, Verdict};

/// Settings of the retry budget.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// Retries as a share of recent requests.
    pub share: f64,
    /// Time over which requests count as recent.
    pub window: Duration,
    /// Retries allowed per second without regard to the share, for services with few requests.
    pub reserve_rate: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            window: Duration::from_secs(10),
            reserve_rate: 0.2,
        }
    }
}

/// Retry budget of one service: a token bucket into which each request puts its share of a token.
///
/// Tokens fade with the window, so that a quiet hour saves up nothing.
#[derive(Debug)]
pub struct Budget {
    settings: BudgetSettings,
    tokens: f64,
    updated: Duration,
}

impl Budget {
    /// Makes a budget that holds the reserve of one window.
    pub fn new(now: Duration, settings: BudgetSettings) -> Self {
        let tokens = settings.reserve_rate * settings.window.as_secs_f64();
        Self {
            settings,
            tokens,
            updated: now,
        }
    }

    /// Takes over changed settings and keeps the tokens.
    pub fn set(&mut self, settings: BudgetSettings) {
        self.settings = settings;
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Duration) {
        self.advance(now);
        self.tokens += self.settings.share;
    }

    /// Takes a token for a retry. Returns false, and takes nothing, when there is none.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.advance(now);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Fades the tokens towards the reserve of one window.
    fn advance(&mut self, now: Duration) {
        let window = self.settings.window.as_secs_f64();
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let reserve = self.settings.reserve_rate * window;
        let kept = (-passed / window).exp();
        self.tokens = reserve + (self.tokens - reserve) * kept;
        self.updated = self.updated.max(now);
    }
}

/// Settings of the decision.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Attempts in all, the first included.
    pub attempts: u32,
    /// Longest back-off before the second attempt; it doubles for each further one.
    pub base: Duration,
    /// Longest back-off.
    pub longest: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts: 3,
            base: Duration::from_millis(10),
            longest: Duration::from_millis(500),
        }
    }
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Failed {
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// What is known about its execution.
    pub verdict: Verdict,
    /// Whose fault it was.
    pub outcome: Outcome,
    /// Whether part of the answer has gone to the caller.
    pub answer_begun: bool,
    /// Instant by which the caller needs the answer.
    pub deadline: Deadline,
    /// Time that an attempt usually takes.
    pub expected: Duration,
    /// Wait that the refusing side asked for.
    pub retry_after: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try again after this time.
    Retry(Duration),
    /// Report the failure to the caller.
    GiveUp(Why),
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Part of the answer has gone to the caller.
    AnswerBegun,
    /// The request may have run and must not run twice.
    NotIdempotent,
    /// Another attempt would fail in the same way.
    Pointless,
    /// All attempts are used up.
    Attempts,
    /// The deadline leaves no time.
    Deadline,
    /// The retry budget is empty.
    Budget,
}

/// Decides whether a failed attempt is made again, and takes a token from the budget if so.
///
/// `random` is uniform in 0 to 1 and spreads the back-off over its whole range, so that requests
/// that failed together do not return together.
pub fn decide(
    now: Duration,
    failed: &Failed,
    budget: &mut Budget,
    settings: &Settings,
    random: f64,
) -> Decision {
    if let Some(why) = forbidden(failed, settings) {
        return Decision::GiveUp(why);
    }
    let back_off = back_off(failed.attempt, settings, random);
    let wait = back_off.max(failed.retry_after.unwrap_or(Duration::ZERO));
    if now + wait + failed.expected >= failed.deadline.instant() {
        return Decision::GiveUp(Why::Deadline);
    }
    if !budget.withdraw(now) {
        return Decision::GiveUp(Why::Budget);
    }
    Decision::Retry(wait)
}

/// Returns the rule that forbids another attempt whatever time and budget are left.
fn forbidden(failed: &Failed, settings: &Settings) -> Option<Why> {
    if failed.answer_begun {
        return Some(Why::AnswerBegun);
    }
    if !failed.verdict.allows_retry(failed.idempotent) {
        return Some(Why::NotIdempotent);
    }
    match failed.outcome {
        Outcome::Success | Outcome::CallerFault | Outcome::Cancelled => {
            return Some(Why::Pointless);
        }
        Outcome::TargetFault | Outcome::Overload | Outcome::OwnFault => {}
    }
    (failed.attempt >= settings.attempts).then_some(Why::Attempts)
}

fn back_off(attempt: u32, settings: &Settings, random: f64) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let most = settings.base.saturating_mul(1 << doublings);
    most.min(settings.longest).mul_f64(random.clamp(0.0, 1.0))
}

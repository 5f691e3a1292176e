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
pub struct RetryBudgetSettings {
    /// Retries as a share of recent requests.
    pub share: f64,
    /// Time over which requests count as recent.
    pub window: Duration,
    /// Retries allowed per second without regard to the share, for services with few requests.
    pub reserve_rate: f64,
}

impl Default for RetryBudgetSettings {
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
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens: f64,
    updated: Duration,
}

impl RetryBudget {
    /// Makes a budget that holds the reserve of one window.
    pub fn new(now: Duration, settings: RetryBudgetSettings) -> Self {
        let tokens = settings.reserve_rate * settings.window.as_secs_f64();
        Self {
            settings,
            tokens,
            updated: now,
        }
    }

    /// Takes over changed settings and keeps the tokens.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
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
    pub max_attempts: u32,
    /// Longest back-off before the second attempt; it doubles for each further one.
    pub base_backoff: Duration,
    /// Longest back-off.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            base_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(500),
        }
    }
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// What is known about its execution.
    pub verdict: Verdict,
    /// Whose fault it was.
    pub outcome: Outcome,
    /// Whether part of the answer has gone to the caller.
    pub response_started: bool,
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
    GiveUp(GiveUpReason),
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Part of the answer has gone to the caller.
    ResponseStarted,
    /// The request may have run and must not run twice.
    NotIdempotent,
    /// Another attempt would fail in the same way.
    NotRetryable,
    /// All attempts are used up.
    AttemptsExhausted,
    /// The deadline leaves no time.
    DeadlineTooClose,
    /// The retry budget is empty.
    BudgetExhausted,
}

/// Decides whether a failed attempt is made again, and takes a token from the budget if so.
///
/// `random` is uniform in 0 to 1 and spreads the back-off over its whole range, so that requests
/// that failed together do not return together.
pub fn decide(
    now: Duration,
    failed: &FailedAttempt,
    budget: &mut RetryBudget,
    settings: &Settings,
    random: f64,
) -> Decision {
    if let Some(why) = forbidden(failed, settings) {
        return Decision::GiveUp(why);
    }
    let back_off = back_off(failed.attempt, settings, random);
    let wait = back_off.max(failed.retry_after.unwrap_or(Duration::ZERO));
    if now + wait + failed.expected >= failed.deadline.instant() {
        return Decision::GiveUp(GiveUpReason::DeadlineTooClose);
    }
    if !budget.withdraw(now) {
        return Decision::GiveUp(GiveUpReason::BudgetExhausted);
    }
    Decision::Retry(wait)
}

/// Returns the rule that forbids another attempt whatever time and budget are left.
fn forbidden(failed: &FailedAttempt, settings: &Settings) -> Option<GiveUpReason> {
    if failed.response_started {
        return Some(GiveUpReason::ResponseStarted);
    }
    if !failed.verdict.allows_retry(failed.idempotent) {
        return Some(GiveUpReason::NotIdempotent);
    }
    match failed.outcome {
        Outcome::Success | Outcome::CallerFault | Outcome::Cancelled => {
            return Some(GiveUpReason::NotRetryable);
        }
        Outcome::TargetFault | Outcome::Overload | Outcome::RouterFault => {}
    }
    (failed.attempt >= settings.max_attempts).then_some(GiveUpReason::AttemptsExhausted)
}

fn back_off(attempt: u32, settings: &Settings, random: f64) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let most = settings.base_backoff.saturating_mul(1 << doublings);
    most.min(settings.max_backoff)
        .mul_f64(random.clamp(0.0, 1.0))
}

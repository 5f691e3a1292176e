//! Decision on retrying a failed attempt.
//!
//! Invariants:
//! - A request that is not idempotent is retried only after the verdict `NotRun`.
//! - No request is retried after part of the response has been sent to the caller.
//! - Retries are limited to a share of the recent requests, so that they cannot multiply the load
//!   on targets that fail because of load.

use std::time::Duration;

use crate::deadline::Deadline;
use crate::{Outcome, Verdict};

/// Settings of the retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudgetSettings {
    /// Maximum number of retries as a share of recent requests.
    pub share: f64,
    /// Time over which requests count as recent.
    pub window: Duration,
    /// Retries per second that are allowed in addition, for services with few requests.
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

/// Retry budget of one service: a token bucket to which each request adds a fraction of a token.
///
/// Tokens above the reserve decay with the window as time constant, so that they do not accumulate
/// over a longer time. Below the reserve, they are refilled with the same time constant.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates a budget with the reserve of one window.
    pub fn new(now: Duration, settings: RetryBudgetSettings) -> Self {
        let tokens = settings.reserve_rate * settings.window.as_secs_f64();
        Self {
            settings,
            tokens,
            updated_at: now,
        }
    }

    /// Replaces the settings and keeps the tokens.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Adds the fraction of a token that a request's first attempt earns.
    pub fn deposit(&mut self, now: Duration) {
        self.update_tokens(now);
        self.tokens += self.settings.share;
    }

    /// Takes a token for a retry. Returns false if there is none.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.update_tokens(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Moves the tokens towards the reserve of one window: a surplus decays, and a deficit is
    /// refilled.
    fn update_tokens(&mut self, now: Duration) {
        let window = self.settings.window.as_secs_f64();
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let reserve = self.settings.reserve_rate * window;
        let factor = (-elapsed / window).exp();
        self.tokens = reserve + (self.tokens - reserve) * factor;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Bounds on the attempts of one request.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Upper bound of the back-off before the second attempt. It doubles for each further attempt.
    pub base_backoff: Duration,
    /// Maximum back-off.
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
    /// Number of this attempt, counted from 1.
    pub attempt: u32,
    /// Whether the request is safe to run more than once.
    pub idempotent: bool,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Outcome, which attributes the failure to the party at fault.
    pub outcome: Outcome,
    /// Whether part of the response has been sent to the caller.
    pub response_started: bool,
    /// Deadline of the request.
    pub deadline: Deadline,
    /// Expected duration of an attempt.
    pub expected: Duration,
    /// Wait advised in the refusal, if any.
    pub retry_after: Option<Duration>,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry after this time.
    Retry(Duration),
    /// Return the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Part of the response has been sent to the caller.
    ResponseStarted,
    /// The request may have run and must not run twice.
    NotIdempotent,
    /// Another attempt would fail in the same way, or the caller has disconnected.
    NotRetryable,
    /// The maximum number of attempts was made.
    AttemptsExhausted,
    /// The deadline leaves no time for another attempt.
    DeadlineTooClose,
    /// The retry budget is empty.
    BudgetExhausted,
}

/// Decides whether to retry a failed attempt, and takes a token from the budget if so.
///
/// `random` is uniform in 0 to 1 and applies full jitter to the back-off, so that requests that
/// failed together are not retried together.
pub fn decide(
    now: Duration,
    failed: &FailedAttempt,
    budget: &mut RetryBudget,
    settings: &Settings,
    random: f64,
) -> Decision {
    if let Some(reason) = forbidden_reason(failed, settings) {
        return Decision::GiveUp(reason);
    }
    let back_off = back_off(failed.attempt, settings, random);
    let wait = back_off.max(failed.retry_after.unwrap_or(Duration::ZERO));
    // A target may ask for any delay, so the sum can exceed the range of `Duration`.
    let done_at = now.saturating_add(wait).saturating_add(failed.expected);
    if done_at >= failed.deadline.since_boot() {
        return Decision::GiveUp(GiveUpReason::DeadlineTooClose);
    }
    if !budget.withdraw(now) {
        return Decision::GiveUp(GiveUpReason::BudgetExhausted);
    }
    Decision::Retry(wait)
}

/// Returns the reason, if any, that rules out a retry whatever the remaining time and the budget
/// are.
fn forbidden_reason(failed: &FailedAttempt, settings: &Settings) -> Option<GiveUpReason> {
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
    let upper_bound = settings.base_backoff.saturating_mul(1 << doublings);
    upper_bound
        .min(settings.max_backoff)
        .mul_f64(random.clamp(0.0, 1.0))
}

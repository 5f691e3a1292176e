//! Attempts of one request, until an answer or a final failure.
//!
//! Two kinds of failure lead to another attempt. A redirect is a `NotRun` that says the request
//! went to the wrong place or that nobody may serve it at the moment; it waits for a newer table
//! and costs no retry budget, so that a takeover shows as latency. Everything else is decided by
//! [`masticdeal_policy::retry`].

use std::time::Duration;

use masticdeal_ownership::ids::SessionId;
use masticdeal_policy::outcome::Ending;
use masticdeal_policy::retry::{Decision, Failed};
use masticdeal_policy::{self as policy, Verdict};
use masticdeal_wire::peer::Reason;
use tokio::time::{sleep, timeout};

use super::Ingress;
use super::balance::{Balance, Choice};
use super::head::Head;
use super::replay::Replay;
use super::route::{self, Route};
use crate::exchange::{Answer, BodyError, Failure, Outcome, Request};
use crate::telemetry::metrics::ByReason;

/// Longest time that a request waits for somebody who may serve it. A takeover ends within a
/// second; an operator's action may take longer.
const OWNER_WAIT: Duration = Duration::from_secs(3);

/// Time before the deadline from which no redirected attempt starts. One that is written and gets
/// no answer in time turns a certain `NotRun` into `MayHaveRun`.
const RESERVE: Duration = Duration::from_millis(20);

/// First and longest wait for a newer table before the same place is tried again.
const REDIRECT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(50));

/// Advice to a caller whose request found nobody to serve it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Deadline from which a late target is at fault, and not the caller's impatience.
const FAIR_DEADLINE: Duration = Duration::from_millis(250);

/// An answer and where it came from.
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Name of the VM whose target answered.
    pub vm: String,
    /// Choice of the balancer; it is kept until the end of the answer.
    pub choice: Option<Choice>,
}

/// Progress of one request.
struct Progress {
    attempts: u32,
    redirects: u32,
    tried: Vec<SessionId>,
    /// When waiting for somebody to serve the request ends, as time since boot.
    wait_until: Duration,
    /// Why the request had to wait last.
    redirected: Option<Failure>,
}

impl Ingress {
    /// Makes attempts until there is an answer or a final failure.
    pub(super) async fn attempts(&self, head: Head, body: &Replay) -> Result<Answered, Failure> {
        let now = self.node.clock.now();
        let service = head.service().ok_or(Failure::not_run(Reason::NoService))?;
        let balance = self.services.get(now, service);
        balance.begin(now, service);
        let latest = head.deadline.instant().saturating_sub(RESERVE);
        let mut progress = Progress {
            attempts: 0,
            redirects: 0,
            tried: Vec::new(),
            wait_until: latest.min(now + OWNER_WAIT),
            redirected: None,
        };
        loop {
            let routed = route::route(&self.node, &head, &balance, &progress.tried);
            let (failure, table) = match routed {
                Err((reason, table)) => (Failure::not_run(reason), table),
                Ok(route) => {
                    let (table, session) = (route.table, route.session);
                    match self.attempt(&head, route, body).await {
                        Ok(answered) => return Ok(answered),
                        Err(failure) => {
                            progress.tried.push(session);
                            (failure, table)
                        }
                    }
                }
            };
            self.node.report(failure.versions);
            if !body.can_replay() {
                return Err(failure);
            }
            self.before_next(&head, &balance, &mut progress, failure, table)
                .await?;
            let reason = ByReason {
                reason: failure.reason.as_str(),
            };
            self.node.metrics.retries.get_or_create(&reason).inc();
        }
    }

    async fn attempt(&self, head: &Head, route: Route, body: &Replay) -> Result<Answered, Failure> {
        let mut forward = head.forward.clone();
        forward.service = route.service;
        forward.shard = route.shard;
        forward.versions = self.node.versions();
        let deadline = head.deadline.instant();
        let given = deadline.saturating_sub(self.node.clock.now());
        let body_of_attempt = body
            .next_attempt()
            .ok_or(Failure::not_run(Reason::Cancelled))?;
        let request = Request {
            head: forward,
            body: body_of_attempt,
            deadline,
        };
        let local = *self.node.session.borrow() == Some(route.session);
        let outcome = match local {
            true => self.owner.handle(request).await,
            false => self.peers.forward(route.address, request).await,
        };
        let Route { vm, choice, .. } = route;
        if let Some(choice) = &choice {
            record(choice, &outcome, given);
        }
        match outcome {
            Outcome::Answer(answer) => Ok(Answered { answer, vm, choice }),
            Outcome::Failed(failure) if body.failed() == Some(BodyError::TooLarge) => {
                Err(Failure {
                    reason: Reason::TooLarge,
                    ..failure
                })
            }
            Outcome::Failed(failure) => Err(failure),
        }
    }

    /// Waits until the next attempt is due, or returns the final failure.
    async fn before_next(
        &self,
        head: &Head,
        balance: &Balance,
        progress: &mut Progress,
        failure: Failure,
        table: u64,
    ) -> Result<(), Failure> {
        if is_redirect(&failure) {
            let chosen = head.forward.key_hash.is_none() && failure.reason != Reason::NoTarget;
            return self.redirect(progress, failure, table, chosen).await;
        }
        if let Some(redirected) = progress.redirected
            && (failure.verdict, failure.reason) == (Verdict::NotRun, Reason::Deadline)
        {
            // The time went by while nobody could serve the request, which says more to the caller.
            return Err(redirected);
        }
        progress.attempts += 1;
        if head.attempts.is_some_and(|most| progress.attempts >= most) {
            return Err(failure);
        }
        let failed = Failed {
            attempt: progress.attempts,
            idempotent: head.forward.idempotent,
            verdict: failure.verdict,
            outcome: blame(&failure, FAIR_DEADLINE),
            answer_begun: false,
            deadline: head.deadline,
            expected: Duration::from_micros(failure.load.service_us.into()),
            retry_after: failure.retry_after,
        };
        match balance.decide(self.node.clock.now(), &failed) {
            Decision::Retry(wait) => {
                sleep(wait).await;
                Ok(())
            }
            Decision::GiveUp(_) => Err(failure),
        }
    }

    async fn redirect(
        &self,
        progress: &mut Progress,
        failure: Failure,
        table: u64,
        chosen: bool,
    ) -> Result<(), Failure> {
        let retry_after = failure.retry_after.or(Some(RETRY_AFTER));
        let failure = Failure {
            retry_after,
            ..failure
        };
        progress.redirected = Some(failure);
        let left = progress.wait_until.saturating_sub(self.node.clock.now());
        if left.is_zero() {
            return Err(failure);
        }
        if chosen {
            // Another target can take the request at once.
            return Ok(());
        }
        progress.tried.clear();
        let _waiting = self.waiting.try_acquire().map_err(|_| failure)?;
        let mut tables = self.node.table.subscribe();
        let longer = REDIRECT_BACKOFF.0 * 2u32.saturating_pow(progress.redirects.min(8));
        progress.redirects += 1;
        let wait = longer.min(REDIRECT_BACKOFF.1);
        let newer = timeout(wait.min(left), tables.wait_for(|t| t.version != table)).await;
        if newer.is_err() && wait >= left {
            Err(failure)
        } else {
            Ok(())
        }
    }
}

/// Returns whether the request may go elsewhere, or to the same place a little later, without
/// regard to the retry budget.
fn is_redirect(failure: &Failure) -> bool {
    let elsewhere = matches!(
        failure.reason,
        Reason::NoOwner
            | Reason::NoTarget
            | Reason::WrongOwner
            | Reason::LeaseExpired
            | Reason::Moving
            | Reason::TargetAway
            | Reason::TargetFailed
            | Reason::PeerFailed
            | Reason::Silent
            | Reason::ShuttingDown
    );
    elsewhere && failure.verdict == Verdict::NotRun
}

fn record(choice: &Choice, outcome: &Outcome, given: Duration) {
    let (outcome, load) = match outcome {
        Outcome::Answer(answer) => (Ending::Status(answer.status).outcome(), answer.load),
        Outcome::Failed(failure) => (blame(failure, given), failure.load),
    };
    choice.record(outcome, load);
}

/// Returns whose fault a failure is, when the request was given this much time.
fn blame(failure: &Failure, given: Duration) -> policy::Outcome {
    let ran = failure.verdict != Verdict::NotRun;
    let ending = match failure.reason {
        Reason::TargetFailed if failure.verdict == Verdict::Ran => Ending::BadAnswer,
        Reason::TargetFailed if ran => Ending::ConnectionLost,
        Reason::TargetFailed => Ending::NoConnection,
        Reason::TargetRefused => Ending::Shed,
        Reason::Deadline if ran => Ending::DeadlinePassed {
            fair: given >= FAIR_DEADLINE,
        },
        Reason::Deadline => Ending::DeadlinePassed { fair: false },
        Reason::TooLarge | Reason::HeadersTooLarge | Reason::Malformed => Ending::Status(400),
        Reason::Cancelled => Ending::CallerGone,
        _ => Ending::PeerFailed,
    };
    ending.outcome()
}

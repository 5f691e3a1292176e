//! Attempts of one request, until an answer or a final failure.
//!
//! Two kinds of failure lead to another attempt. One that nobody ran, since it went to the wrong
//! place or found no room, is decided by [`masticdeal_policy::redirect`]; it costs no retry budget,
//! so that a move shows as latency. Everything else is decided by [`masticdeal_policy::retry`].

use std::sync::Arc;
use std::time::Duration;

use masticdeal_config::deployment::Service;
use masticdeal_ownership::ids::SessionId;
use masticdeal_policy::outcome::AttemptEnd;
use masticdeal_policy::redirect::{self, NextStep, NotRunCause};
use masticdeal_policy::retry::{Decision, FailedAttempt};
use masticdeal_policy::{self as policy, Verdict};
use masticdeal_wire::peer::Reason;
use tokio::time::{sleep, timeout};

use super::Ingress;
use super::balance::{Balance, Choice, Rules};
use super::head::Head;
use super::replay::Replay;
use super::route::{self, Route};
use crate::exchange::{Answer, BodyError, Failure, Outcome, Request, to_wire_ms};
use crate::telemetry::metrics::ReasonLabel;

/// Time before the deadline from which no redirected attempt starts. One that is written and gets
/// no answer in time turns a certain `NotRun` into `MayHaveRun`.
const RESERVE: Duration = Duration::from_millis(20);

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
    tried: Vec<SessionId>,
    redirects: redirect::Progress,
    /// Last instant at which an attempt is worth while, as time since boot.
    latest: Duration,
    /// Why nobody ran the request last.
    redirected: Option<Failure>,
}

impl Ingress {
    /// Makes attempts until there is an answer or a final failure. Its verdict holds for all of them.
    pub(super) async fn attempts(&self, head: Head, body: &Replay) -> Result<Answered, Failure> {
        let mut ran = Verdict::NotRun;
        let answered = self.attempts_until(head, body, &mut ran).await;
        answered.map_err(|failure| {
            // What the last attempt says of itself says nothing about those before it.
            let verdict = match (failure.verdict, ran) {
                (Verdict::NotRun, Verdict::MayHaveRun | Verdict::Ran) => Verdict::MayHaveRun,
                (verdict, _) => verdict,
            };
            Failure { verdict, ..failure }
        })
    }

    async fn attempts_until(
        &self,
        head: Head,
        body: &Replay,
        ran: &mut Verdict,
    ) -> Result<Answered, Failure> {
        let now = self.node.clock.now();
        let service = head.service().ok_or(Failure::not_run(Reason::NoService))?;
        let balance = self.services.get(now, &self.retry_rules(service));
        balance.begin(now);
        let mut progress = Progress {
            attempts: 0,
            tried: Vec::new(),
            redirects: redirect::Progress::default(),
            latest: head.deadline.instant().saturating_sub(RESERVE),
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
                            if failure.verdict != Verdict::NotRun {
                                *ran = failure.verdict;
                            }
                            (failure, table)
                        }
                    }
                }
            };
            self.node.record_versions(failure.versions);
            if !body.can_replay() {
                return Err(failure);
            }
            self.before_next(&head, &balance, &mut progress, failure, table)
                .await?;
            let reason = ReasonLabel {
                reason: failure.reason.as_str(),
            };
            self.node.metrics.retries.get_or_create(&reason).inc();
        }
    }

    /// Returns the rules of a service's retries: its own, or this daemon's part of what the settings
    /// give to the whole fleet.
    fn retry_rules(&self, service: &Service) -> Rules {
        let reloadable_settings = Arc::clone(&self.node.reloadable_settings.borrow());
        let fleet = &reloadable_settings.retries;
        let daemons = self.node.table.borrow().sessions.len().max(1);
        Rules {
            name: service.name.clone(),
            retry_budget: fleet.share.unwrap_or(service.retry_budget),
            reserve: f64::from(fleet.reserve) / daemons as f64,
            window: fleet.window,
            max_ejected: service.max_ejected,
        }
    }

    async fn attempt(&self, head: &Head, route: Route, body: &Replay) -> Result<Answered, Failure> {
        let mut forward = head.forward.clone();
        forward.service = route.service;
        forward.shard = route.shard;
        forward.versions = self.node.versions();
        let now = self.node.clock.now();
        forward.objective_ms = head.due.map(|due| to_wire_ms(due.saturating_sub(now)));
        let deadline = head.deadline.instant();
        let given = deadline.saturating_sub(now);
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
        if let Some(obstacle) = obstacle(&failure, head) {
            return self.redirect(progress, failure, obstacle, table).await;
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
        let failed = FailedAttempt {
            attempt: progress.attempts,
            idempotent: head.forward.idempotent,
            verdict: failure.verdict,
            outcome: blame(&failure, FAIR_DEADLINE),
            response_started: false,
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
        obstacle: NotRunCause,
        table: u64,
    ) -> Result<(), Failure> {
        progress.redirected = Some(failure);
        let next = progress.redirects.next_step(
            self.node.clock.now(),
            obstacle,
            progress.latest,
            failure.retry_after,
            &self.redirects,
            rand::random(),
        );
        let wait = match next {
            NextStep::OtherTarget => return Ok(()),
            NextStep::Wait(wait) => wait,
            NextStep::Refuse(after) => {
                return Err(Failure {
                    retry_after: Some(after),
                    ..failure
                });
            }
        };
        progress.tried.clear();
        let _waiting = self.waiting.try_acquire().map_err(|_| failure)?;
        let mut tables = self.node.table.subscribe();
        let _ = timeout(wait, tables.wait_for(|t| t.version != table)).await;
        Ok(())
    }
}

/// Returns why nobody ran the request, when that may change without regard to the retry budget.
fn obstacle(failure: &Failure, head: &Head) -> Option<NotRunCause> {
    if failure.verdict != Verdict::NotRun {
        return None;
    }
    let divided = head.forward.key_hash.is_some();
    match failure.reason {
        Reason::Moving | Reason::WrongOwner => Some(NotRunCause::Moving),
        Reason::NoOwner | Reason::NoTarget => Some(NotRunCause::Unowned),
        Reason::QueueFull | Reason::Deadline if !divided && failure.retry_after.is_some() => {
            Some(NotRunCause::Busy)
        }
        Reason::LeaseExpired
        | Reason::TargetAway
        | Reason::TargetFailed
        | Reason::PeerFailed
        | Reason::Silent
        | Reason::ShuttingDown => Some(if divided {
            NotRunCause::Unowned
        } else {
            NotRunCause::Gone
        }),
        _ => None,
    }
}

fn record(choice: &Choice, outcome: &Outcome, given: Duration) {
    let (outcome, load) = match outcome {
        Outcome::Answer(answer) => (AttemptEnd::Status(answer.status).outcome(), answer.load),
        Outcome::Failed(failure) => (blame(failure, given), failure.load),
    };
    choice.record(outcome, load);
}

/// Returns whose fault a failure is, when the request was given this much time.
fn blame(failure: &Failure, given: Duration) -> policy::Outcome {
    let ran = failure.verdict != Verdict::NotRun;
    let ending = match failure.reason {
        Reason::TargetFailed if failure.verdict == Verdict::Ran => AttemptEnd::InvalidResponse,
        Reason::TargetFailed if ran => AttemptEnd::ConnectionLost,
        Reason::TargetFailed => AttemptEnd::ConnectFailed,
        Reason::TargetRefused => AttemptEnd::Shed,
        Reason::Deadline if ran => AttemptEnd::DeadlineExceeded {
            enough_time: given >= FAIR_DEADLINE,
        },
        Reason::Deadline => AttemptEnd::DeadlineExceeded { enough_time: false },
        Reason::TooLarge | Reason::HeadersTooLarge | Reason::Malformed => AttemptEnd::Status(400),
        Reason::Cancelled => AttemptEnd::CallerDisconnected,
        _ => AttemptEnd::PeerFailed,
    };
    ending.outcome()
}

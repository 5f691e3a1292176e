//! Makes attempts of one request until a response or a final failure.
//!
//! Two policies decide on another attempt. [`masticdeal_policy::redirect`] handles requests that no
//! target ran because their owner or target was wrong, unreachable or overloaded. These attempts
//! use no retry budget, so that callers see a move only as latency.
//! [`masticdeal_policy::retry`] handles all other failures.

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
use super::balance::{SelectedTarget, ServiceBalancer, ServiceRules};
use super::head::Head;
use super::replay_body::ReplayBody;
use super::route::{self, Route};
use crate::exchange::{BodyError, Failure, Outcome, Request, TargetResponse, to_wire_ms};
use crate::telemetry::metrics::ReasonLabel;

/// No redirected attempt starts within this time before the deadline: if one got no response
/// in time, the verdict would change from a certain `NotRun` to `MayHaveRun`.
const REDIRECT_MARGIN: Duration = Duration::from_millis(20);

/// A missed deadline counts as the target's fault only if the target had at least this much time.
const MIN_FAULT_DEADLINE: Duration = Duration::from_millis(250);

/// A response and the target that sent it.
pub struct ServedResponse {
    /// The response.
    pub response: TargetResponse,
    /// Name of the target's VM.
    pub vm: String,
    /// Target selected by the balancer, held until the end of the response.
    pub selected: Option<SelectedTarget>,
}

/// Progress of one request.
struct Progress {
    /// Failed attempts that the retry policy has decided on. Redirected attempts do not count.
    attempts: u32,
    /// Sessions tried since the last wait for another table.
    tried: Vec<SessionId>,
    redirects: redirect::Progress,
    /// Last instant at which a redirected attempt may start, as time since boot.
    last_start: Duration,
    /// Failure that led to the last redirect.
    last_redirect: Option<Failure>,
}

impl Ingress {
    /// Makes attempts until a response or a final failure. The verdict of the failure covers all
    /// attempts.
    pub(super) async fn serve_with_retries(
        &self,
        head: Head,
        body: &ReplayBody,
    ) -> Result<ServedResponse, Failure> {
        let mut earlier_verdict = Verdict::NotRun;
        let served = self.run_attempts(head, body, &mut earlier_verdict).await;
        served.map_err(|failure| {
            // The verdict of the last attempt does not cover the earlier ones.
            let verdict = match (failure.verdict, earlier_verdict) {
                (Verdict::NotRun, Verdict::MayHaveRun | Verdict::Ran) => Verdict::MayHaveRun,
                (verdict, _) => verdict,
            };
            Failure { verdict, ..failure }
        })
    }

    async fn run_attempts(
        &self,
        head: Head,
        body: &ReplayBody,
        earlier_verdict: &mut Verdict,
    ) -> Result<ServedResponse, Failure> {
        let now = self.node.clock.now();
        let service = head.service().ok_or(Failure::not_run(Reason::NoService))?;
        let balancer = self.balancers.get(now, &self.service_rules(service));
        balancer.record_request(now);
        let mut progress = Progress {
            attempts: 0,
            tried: Vec::new(),
            redirects: redirect::Progress::default(),
            last_start: head.deadline.since_boot().saturating_sub(REDIRECT_MARGIN),
            last_redirect: None,
        };
        loop {
            let routed = route::route(&self.node, &head, &balancer, &progress.tried);
            let (failure, table_version) = match routed {
                Err((reason, table_version)) => (Failure::not_run(reason), table_version),
                Ok(route) => {
                    let (table_version, session) = (route.table_version, route.session);
                    match self.attempt(&head, route, body).await {
                        Ok(served) => return Ok(served),
                        Err(failure) => {
                            progress.tried.push(session);
                            if failure.verdict != Verdict::NotRun {
                                *earlier_verdict = failure.verdict;
                            }
                            (failure, table_version)
                        }
                    }
                }
            };
            self.node.record_reported_versions(failure.versions);
            if !body.can_replay() {
                return Err(failure);
            }
            self.prepare_next_attempt(&head, &balancer, &mut progress, failure, table_version)
                .await?;
            let reason = ReasonLabel {
                reason: failure.reason.as_str(),
            };
            self.node.metrics.retries.get_or_create(&reason).inc();
        }
    }

    /// Returns the retry and ejection rules of a service. The share in the daemon's settings, if
    /// any, overrides the service's retry budget. The reserve of the fleet is divided by the number
    /// of daemons.
    fn service_rules(&self, service: &Service) -> ServiceRules {
        let reloadable_settings = Arc::clone(&self.node.reloadable_settings.borrow());
        let retry_settings = &reloadable_settings.retries;
        let daemons = self.node.table.borrow().sessions.len().max(1);
        ServiceRules {
            name: service.name.clone(),
            retry_budget: retry_settings.share.unwrap_or(service.retry_budget),
            reserve: f64::from(retry_settings.reserve) / daemons as f64,
            window: retry_settings.window,
            max_ejected: service.max_ejected,
        }
    }

    async fn attempt(
        &self,
        head: &Head,
        route: Route,
        body: &ReplayBody,
    ) -> Result<ServedResponse, Failure> {
        let mut forward = head.forward.clone();
        forward.service = route.service;
        forward.shard = route.shard;
        forward.versions = self.node.versions();
        let now = self.node.clock.now();
        forward.objective_ms = head.due.map(|due| to_wire_ms(due.saturating_sub(now)));
        let deadline = head.deadline.since_boot();
        let time_allowed = deadline.saturating_sub(now);
        let attempt_body = body
            .next_attempt()
            .ok_or(Failure::not_run(Reason::Cancelled))?;
        let request = Request {
            head: forward,
            body: attempt_body,
            deadline,
        };
        let is_local = *self.node.session.borrow() == Some(route.session);
        let outcome = match is_local {
            true => self.owner.handle(request).await,
            false => self.peers.forward(route.address, request).await,
        };
        let Route { vm, selected, .. } = route;
        if let Some(selected) = &selected {
            record_outcome(selected, &outcome, time_allowed);
        }
        match outcome {
            Outcome::Response(response) => Ok(ServedResponse {
                response,
                vm,
                selected,
            }),
            Outcome::Failed(failure) if body.error() == Some(BodyError::TooLarge) => Err(Failure {
                reason: Reason::TooLarge,
                ..failure
            }),
            Outcome::Failed(failure) => Err(failure),
        }
    }

    /// Waits until the next attempt may start, or returns the final failure.
    async fn prepare_next_attempt(
        &self,
        head: &Head,
        balancer: &ServiceBalancer,
        progress: &mut Progress,
        failure: Failure,
        table_version: u64,
    ) -> Result<(), Failure> {
        if let Some(mut cause) = not_run_cause(&failure, head) {
            // The owner applies jitter where it recognises returning requests, as it alone knows
            // which callers must be spread.
            let is_jittered = self.node.settings.limits.returning_callers && head.due.is_some();
            if cause == NotRunCause::Busy && is_jittered {
                cause = NotRunCause::BusyJittered;
            }
            return self.redirect(progress, failure, cause, table_version).await;
        }
        if let Some(last_redirect) = progress.last_redirect
            && (failure.verdict, failure.reason) == (Verdict::NotRun, Reason::Deadline)
        {
            // The time was spent waiting for an owner. The reason for the wait tells the caller
            // more than the missed deadline.
            return Err(last_redirect);
        }
        progress.attempts += 1;
        if head
            .max_attempts
            .is_some_and(|max| progress.attempts >= max)
        {
            return Err(failure);
        }
        let failed_attempt = FailedAttempt {
            attempt: progress.attempts,
            idempotent: head.forward.idempotent,
            verdict: failure.verdict,
            // The retry policy treats any missed deadline as the target's fault. It gives up by
            // itself if too little time is left.
            outcome: failure_outcome(&failure, MIN_FAULT_DEADLINE),
            response_started: false,
            deadline: head.deadline,
            expected: Duration::from_micros(failure.load.service_us.into()),
            retry_after: failure.retry_after,
        };
        match balancer.decide(self.node.clock.now(), &failed_attempt) {
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
        cause: NotRunCause,
        table_version: u64,
    ) -> Result<(), Failure> {
        progress.last_redirect = Some(failure);
        let next = progress.redirects.next_step(
            self.node.clock.now(),
            cause,
            progress.last_start,
            failure.retry_after,
            &self.redirect_settings,
            rand::random(),
        );
        let wait = match next {
            NextStep::OtherTarget => return Ok(()),
            NextStep::Wait(wait) => wait,
            NextStep::Refuse(retry_after) => {
                return Err(Failure {
                    retry_after: Some(retry_after),
                    ..failure
                });
            }
        };
        progress.tried.clear();
        let _waiting = self.waiting_limit.try_acquire().map_err(|_| failure)?;
        let mut tables = self.node.table.subscribe();
        let _ = timeout(wait, tables.wait_for(|t| t.version != table_version)).await;
        Ok(())
    }
}

/// Returns why no target ran the request, or `None` if another attempt needs retry budget.
fn not_run_cause(failure: &Failure, head: &Head) -> Option<NotRunCause> {
    if failure.verdict != Verdict::NotRun {
        return None;
    }
    let is_sharded = head.forward.key_hash.is_some();
    match failure.reason {
        Reason::Moving | Reason::WrongOwner => Some(NotRunCause::Moving),
        Reason::NoOwner | Reason::NoTarget => Some(NotRunCause::NoReachableOwner),
        Reason::QueueFull | Reason::Deadline if !is_sharded && failure.retry_after.is_some() => {
            Some(NotRunCause::Busy)
        }
        Reason::ColdTarget => Some(if is_sharded {
            NotRunCause::ColdOwner
        } else {
            NotRunCause::Cold
        }),
        Reason::LeaseExpired
        | Reason::TargetAway
        | Reason::Evacuated
        | Reason::TargetFailed
        | Reason::PeerFailed
        | Reason::Silent
        | Reason::ShuttingDown => Some(if is_sharded {
            NotRunCause::NoReachableOwner
        } else {
            NotRunCause::Unavailable
        }),
        _ => None,
    }
}

fn record_outcome(selected: &SelectedTarget, outcome: &Outcome, time_allowed: Duration) {
    let (outcome, load) = match outcome {
        Outcome::Response(response) => {
            let status = response.status.as_u16();
            (AttemptEnd::Status(status).outcome(), response.load)
        }
        Outcome::Failed(failure) => (failure_outcome(failure, time_allowed), failure.load),
    };
    selected.record(outcome, load);
}

/// Returns the outcome of a failed attempt for the policies: who is at fault. The attempt had
/// `time_allowed` to complete.
fn failure_outcome(failure: &Failure, time_allowed: Duration) -> policy::Outcome {
    let may_have_run = failure.verdict != Verdict::NotRun;
    let attempt_end = match failure.reason {
        Reason::TargetFailed if failure.verdict == Verdict::Ran => AttemptEnd::InvalidResponse,
        Reason::TargetFailed if may_have_run => AttemptEnd::ConnectionLost,
        Reason::TargetFailed => AttemptEnd::ConnectFailed,
        Reason::TargetRefused => AttemptEnd::Shed,
        Reason::Deadline if may_have_run => AttemptEnd::DeadlineExceeded {
            enough_time: time_allowed >= MIN_FAULT_DEADLINE,
        },
        Reason::Deadline => AttemptEnd::DeadlineExceeded { enough_time: false },
        Reason::TooLarge | Reason::HeadersTooLarge | Reason::Malformed => AttemptEnd::Status(400),
        Reason::Cancelled => AttemptEnd::CallerDisconnected,
        _ => AttemptEnd::PeerFailed,
    };
    attempt_end.outcome()
}

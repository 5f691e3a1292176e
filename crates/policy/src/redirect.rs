//! Decision on the next step of a request that was not run, since the target did not accept it or
//! the shard had no reachable owner.
//!
//! After the loss of a VM, thousands of requests arrive for unavailable keys or targets. The number
//! of attempts per request is bounded, so that the daemons retain the processor time that they need
//! to recover. A request waits only while an owner is expected to become available, and is refused
//! immediately otherwise.

use std::time::Duration;

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The chosen target or its owner is unavailable or leaving. Another target may accept the
    /// request.
    Unavailable,
    /// The chosen target cannot meet the deadline because of load. Another target may have
    /// spare capacity.
    Busy,
    /// As [`NotRunCause::Busy`], but the owner has applied jitter to the advised wait.
    BusyJittered,
    /// The chosen target is cold and starts few requests. Another target may have capacity left. The
    /// advised wait is the time of a place that no other caller was told.
    Cold,
    /// As [`NotRunCause::Cold`], but only this target serves the key.
    ColdOwner,
    /// The shard is being moved to another owner, or has been moved and the sender's table is not
    /// up to date.
    Moving,
    /// The shard has no reachable owner, or no target of the service accepts requests.
    NoReachableOwner,
}

/// Next step of a request that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another target.
    OtherTarget,
    /// Try again as soon as a newer table is installed, or after this time at the latest.
    Wait(Duration),
    /// Refuse the request, and advise the caller to retry after this time.
    Refuse(Duration),
}

/// Bounds on the attempts and waits of a request that is not run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of other targets to try if the chosen one is unavailable.
    pub max_other_if_unavailable: u32,
    /// Maximum number of other targets to try if the chosen one is busy. One further attempt finds
    /// most of the spare capacity.
    pub max_other_if_busy: u32,
    /// First wait for a change of owner. Each further wait is twice as long.
    pub initial_wait: Duration,
    /// Maximum length of a single wait.
    pub max_wait: Duration,
    /// Total wait for a planned move, which takes a report from each of the two targets and a write
    /// of the table.
    pub move_timeout: Duration,
    /// Total wait for the takeover of a lost owner, if the deadline of the request allows it.
    pub takeover_timeout: Duration,
    /// Total wait for an unreachable owner if the deadline leaves no time for a takeover. The owner
    /// may become reachable again.
    pub unreachable_owner_timeout: Duration,
    /// Wait that is advised to the caller, before jitter is applied, if the failed attempt came with
    /// no advised wait.
    pub default_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_other_if_unavailable: 2,
            max_other_if_busy: 1,
            initial_wait: Duration::from_millis(10),
            max_wait: Duration::from_millis(200),
            move_timeout: Duration::from_millis(1_200),
            takeover_timeout: Duration::from_secs(1),
            unreachable_owner_timeout: Duration::from_millis(150),
            default_retry_after: Duration::from_millis(400),
        }
    }
}

/// Attempts and waits of one request so far.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    other_targets: u32,
    waits: u32,
    /// Start of the first wait, as time since boot.
    waiting_since: Option<Duration>,
}

impl Progress {
    /// Decides the next step after the request was not run for `cause`, and counts it.
    ///
    /// `latest` is the last instant at which an attempt may start. `retry_after` is the wait that
    /// came with the failed attempt, if any. `random` is uniform in 0 to 1. The wait advised to the
    /// caller is multiplied by a factor between 0.5 and 1, so that callers retry at different times.
    /// That of a cold target, and one with jitter, is passed on as it is: it is different for each
    /// caller already, and a shorter one would lead to a second refusal.
    pub fn next_step(
        &mut self,
        now: Duration,
        cause: NotRunCause,
        latest: Duration,
        retry_after: Option<Duration>,
        settings: &Settings,
        random: f64,
    ) -> NextStep {
        let jitter_factor = match cause {
            NotRunCause::Cold | NotRunCause::ColdOwner => 1.0,
            NotRunCause::BusyJittered if retry_after.is_some() => 1.0,
            _ => 0.5 + 0.5 * random.clamp(0.0, 1.0),
        };
        let refuse = NextStep::Refuse(
            retry_after
                .unwrap_or(settings.default_retry_after)
                .mul_f64(jitter_factor),
        );
        let (max_other, max_total_wait) = match cause {
            NotRunCause::Unavailable => (settings.max_other_if_unavailable, Duration::ZERO),
            NotRunCause::Busy | NotRunCause::BusyJittered | NotRunCause::Cold => {
                (settings.max_other_if_busy, Duration::ZERO)
            }
            NotRunCause::ColdOwner => (0, Duration::ZERO),
            NotRunCause::Moving => (0, settings.move_timeout),
            NotRunCause::NoReachableOwner => {
                let waiting_since = self.waiting_since.unwrap_or(now);
                let takeover_fits = waiting_since + settings.takeover_timeout <= latest;
                let max_total_wait = if takeover_fits {
                    settings.takeover_timeout
                } else {
                    settings.unreachable_owner_timeout
                };
                (0, max_total_wait)
            }
        };
        if now >= latest {
            return refuse;
        }
        if self.other_targets < max_other {
            self.other_targets += 1;
            return NextStep::OtherTarget;
        }
        let waiting_since = *self.waiting_since.get_or_insert(now);
        let until = latest.min(waiting_since + max_total_wait);
        if now >= until {
            return refuse;
        }
        let wait = settings.initial_wait * (1 << self.waits.min(8));
        self.waits += 1;
        NextStep::Wait(wait.min(settings.max_wait).min(until - now))
    }
}

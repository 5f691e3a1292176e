//! What becomes of a request that nobody ran, because it met no one who could serve it.
//!
//! It answers the load that follows a loss: thousands of requests for keys or targets that are
//! gone. Each of them costs a bounded number of hops, whatever the loss, so that the daemons keep
//! the processor time that they need to recover. A request waits only while something that serves
//! it is on its way, and is refused at once otherwise.

use std::time::Duration;

/// Why nobody ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunCause {
    /// The chosen target is gone or leaving; another one may take the request.
    Gone,
    /// The chosen target has more work than it can do in time; another one may have room.
    Busy,
    /// The keys are on their way to an owner.
    Moving,
    /// The keys have no owner that could be reached.
    Unowned,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another target.
    OtherTarget,
    /// Try again when the owner is known to have changed, at the latest after this time.
    Wait(Duration),
    /// Refuse the request; the caller may come back after this time.
    Refuse(Duration),
}

/// Bounds of a request that nobody runs.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Further targets that are tried when one is gone.
    pub max_other_if_gone: u32,
    /// Further targets that are tried when one is busy. A second look finds most of the room that
    /// there is.
    pub max_other_if_busy: u32,
    /// First wait for a change of owner; it doubles with each further one.
    pub initial_wait: Duration,
    /// Longest single wait.
    pub max_wait: Duration,
    /// Time in which a planned move ends: a report of either target and a write of the table.
    pub move_timeout: Duration,
    /// Time in which a lost owner is replaced. A request that has that much time waits for it.
    pub takeover_timeout: Duration,
    /// Time for which any other request waits for an owner that cannot be reached; it may just be
    /// on its way back.
    pub unowned_timeout: Duration,
    /// Advice to come back after a loss, before it is spread.
    pub default_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_other_if_gone: 2,
            max_other_if_busy: 1,
            initial_wait: Duration::from_millis(10),
            max_wait: Duration::from_millis(200),
            move_timeout: Duration::from_millis(1_200),
            takeover_timeout: Duration::from_secs(1),
            unowned_timeout: Duration::from_millis(150),
            default_retry_after: Duration::from_millis(400),
        }
    }
}

/// Progress of one request.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    other_targets: u32,
    waits: u32,
    /// When the request first had to wait, as time since boot.
    since: Option<Duration>,
}

impl Progress {
    /// Decides what becomes of the request.
    ///
    /// `latest` is the last instant at which an attempt is worth while. `retry_after` is the advice
    /// of whoever turned the request away. `random` is uniform in 0 to 1; it spreads the callers
    /// that come back over the second half of their wait.
    pub fn next_step(
        &mut self,
        now: Duration,
        cause: NotRunCause,
        latest: Duration,
        retry_after: Option<Duration>,
        settings: &Settings,
        random: f64,
    ) -> NextStep {
        let spread = 0.5 + 0.5 * random.clamp(0.0, 1.0);
        let refuse = NextStep::Refuse(
            retry_after
                .unwrap_or(settings.default_retry_after)
                .mul_f64(spread),
        );
        let (max_other, max_total_wait) = match cause {
            NotRunCause::Gone => (settings.max_other_if_gone, Duration::ZERO),
            NotRunCause::Busy => (settings.max_other_if_busy, Duration::ZERO),
            NotRunCause::Moving => (0, settings.move_timeout),
            NotRunCause::Unowned => {
                let since = self.since.unwrap_or(now);
                let in_time = since + settings.takeover_timeout <= latest;
                let max_total_wait = if in_time {
                    settings.takeover_timeout
                } else {
                    settings.unowned_timeout
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
        let since = *self.since.get_or_insert(now);
        let until = latest.min(since + max_total_wait);
        if now >= until {
            return refuse;
        }
        let wait = settings.initial_wait * (1 << self.waits.min(8));
        self.waits += 1;
        NextStep::Wait(wait.min(settings.max_wait).min(until - now))
    }
}

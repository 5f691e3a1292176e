//! How long ago this daemon knew that it had the newest configuration, and when it has to ask the
//! platform's store.
//!
//! Only an answer of the store shows that no newer configuration exists, as of the time at which the
//! call started. A call that waits shows nothing: the store may be gone. Daemons tell each other how
//! old their last such answer is, so that one call of one daemon is enough for the whole fleet. A
//! daemon that no answer reaches in time asks the store by itself.

use std::time::Duration;

/// Age of the last confirmation at which every daemon has asked the store. It leaves 0.8 s of the 2 s
/// in which a change must be in force, the shortest time that users have stated, for the call and for
/// the transfer.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// Age at which the first member asks the store. The calls of one daemon are the only ones of a calm
/// fleet, whatever its size.
const FIRST_CHECK_AGE: Duration = Duration::from_millis(700);

/// Age from which the other watchers ask the store. It leaves 0.2 s for the answer to the first member
/// and for its dissemination.
const WATCHER_CHECK_AGE: Duration = Duration::from_millis(900);

/// Age from which all other daemons ask the store.
const OTHER_CHECK_AGE: Duration = Duration::from_millis(1_050);

/// Which daemons ask the store before others do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckRole {
    /// The member that asks for all others, while the store answers it.
    First,
    /// A member that watches the configuration.
    Watcher,
    /// Any other daemon.
    Other,
}

impl CheckRole {
    /// Returns the age of the last confirmation at which a daemon asks the store. `spread` in `0..1`
    /// is random, so that the answer to one daemon usually comes before the next one asks.
    pub fn max_age(self, spread: f64) -> Duration {
        let (earliest, latest) = match self {
            Self::First => (FIRST_CHECK_AGE, FIRST_CHECK_AGE),
            Self::Watcher => (WATCHER_CHECK_AGE, OTHER_CHECK_AGE),
            Self::Other => (OTHER_CHECK_AGE, MAX_CONFIRMATION_AGE),
        };
        earliest + (latest - earliest).mul_f64(spread)
    }
}

/// When this daemon last knew that no newer configuration had been accepted. All times are since
/// boot.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigFreshness {
    confirmed_at: Option<Duration>,
}

impl ConfigFreshness {
    /// Records that the configuration of this daemon was the newest at the time `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns how long ago this daemon knew that it had the newest configuration; `None` if it
    /// never did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when the last confirmation reaches the age `max_age`, unless another one arrives;
    /// `Duration::ZERO` if there was none.
    pub fn expires_at(&self, max_age: Duration) -> Duration {
        self.confirmed_at.map_or(Duration::ZERO, |at| at + max_age)
    }
}

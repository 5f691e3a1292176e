//! How long ago this daemon knew that it had the newest configuration.
//!
//! A daemon that watches the configuration in the platform's store learns of each change at once. The
//! others learn of it from peers. Lease renewals carry how long ago the sender knew that its
//! configuration was the newest, so that a daemon notices when it depends on peers that no longer
//! hear from the store, and then watches by itself.

use std::time::Duration;

/// Age of the last confirmation from which a daemon watches the configuration by itself. It leaves
/// half of the 2.5 s in which a change must be in force for the watch and the transfer.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_200);

/// When this daemon last knew that no newer configuration had been accepted. All times are since
/// boot.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigFreshness {
    /// Whether a watch of the store is waiting for the next change.
    is_watching: bool,
    confirmed_at: Option<Duration>,
}

impl ConfigFreshness {
    /// Records the start of a call to the store, which waits for the next change or reads the
    /// configuration.
    pub fn start_call(&mut self, now: Duration, waits: bool) {
        if waits {
            self.confirmed_at = Some(now);
        }
        self.is_watching = waits;
    }

    /// Records the end of a call. A call that failed after a wait confirms nothing: the connection
    /// may have been dead for a part of it.
    pub fn end_call(&mut self, now: Duration, succeeded: bool) {
        self.is_watching = false;
        if succeeded {
            self.confirmed_at = Some(now);
        }
    }

    /// Records that a peer with the configuration of this daemon knew `age` ago that it was the
    /// newest.
    pub fn confirm(&mut self, now: Duration, age: Duration) {
        self.confirmed_at = self.confirmed_at.max(now.checked_sub(age));
    }

    /// Returns how long ago this daemon knew that it had the newest configuration; `None` if it
    /// never did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        if self.is_watching {
            return Some(Duration::ZERO);
        }
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when the last confirmation is too old to rely on peers, unless another one arrives;
    /// `Duration::ZERO` if there was none.
    pub fn expires_at(&self) -> Duration {
        let expiry = |at| at + MAX_CONFIRMATION_AGE;
        self.confirmed_at.map_or(Duration::ZERO, expiry)
    }
}

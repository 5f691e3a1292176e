//! Reads and writes of the table in the platform store.
//!
//! At most one swap is pending. If its outcome is unknown, it is resolved by a read before the next
//! swap starts (R8).

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::api::{CoreSettings, Effect};
use crate::change::Delta;
use crate::ids::ChangeId;
use crate::journal::DecisionKind;
use crate::table::{MAX_RECENT_CHANGES, Table};

/// Time after which a read or swap without a reply counts as failed.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an installed table shows that the platform store replies. A swap that starts in an
/// outage keeps the shards that it moves from being served.
const MAX_INSTALLED_AGE: Duration = Duration::from_millis(500);

/// Maximum number of doublings of the back-off after conflicts.
const MAX_DOUBLINGS: u32 = 5;

/// What a swap changes for the session of its author.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnSessionChange {
    /// Nothing that affects the lease.
    None,
    /// A join or a change of lessors, which extends the lease (R12).
    Lease,
    /// The end of the session.
    End,
}

/// A swap without a known outcome.
#[derive(Debug, Clone)]
pub(super) struct PendingSwap {
    pub delta: Delta,
    pub next: Arc<Table>,
    pub started_at: Duration,
    pub session_change: OwnSessionChange,
    pub decisions: Vec<DecisionKind>,
    /// Time of the last attempt to write it.
    sent_at: Duration,
    /// Whether a read must resolve the swap, because the reply was lost or reported a conflict.
    pub needs_read_back: bool,
}

/// Final outcome of a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resolution {
    /// The swap took effect.
    Done,
    /// The swap did not and cannot take effect.
    Lost,
}

/// State of the reads and writes.
#[derive(Debug)]
pub(super) struct Writer {
    rng: SmallRng,
    last_read_id: u64,
    /// Id and start of the read in flight.
    read_in_flight: Option<(u64, Duration)>,
    /// Table version last seen in the platform store, and when: the start of the read, or the time
    /// of the reply to the write. `None` after a call that failed or had a conflict.
    last_seen: Option<(u64, Duration)>,
    /// Table version last installed, and when. A peer that sent it had a reply of the platform store
    /// shortly before.
    last_installed: Option<(u64, Duration)>,
    pub pending: Option<PendingSwap>,
    /// End of the back-off.
    pub not_before: Duration,
    /// Consecutive reads without a reply.
    failures: u32,
    /// Consecutive conflicts, up to [`MAX_DOUBLINGS`].
    conflicts: u32,
}

impl Writer {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            last_read_id: 0,
            read_in_flight: None,
            last_seen: None,
            last_installed: None,
            pending: None,
            not_before: Duration::ZERO,
            failures: 0,
            conflicts: 0,
        }
    }

    /// Returns a random duration below `limit`.
    pub fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random_fraction())
    }

    /// Returns a random number between 0 and 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Returns a random number other than 0.
    pub fn random_nonzero(&mut self) -> u64 {
        self.rng.random_range(1..u64::MAX)
    }

    /// Returns whether `version` is the one last seen in the platform store, at most one lease ago.
    pub fn is_current(&self, now: Duration, version: u64, settings: &CoreSettings) -> bool {
        let is_recent = |at: Duration| now < at + settings.lease;
        self.last_seen
            .is_some_and(|(seen, at)| seen == version && is_recent(at))
    }

    /// Records that a table of `version` was installed.
    pub fn record_installed(&mut self, now: Duration, version: u64) {
        self.last_installed = Some((version, now));
    }

    /// Returns whether `version` was installed shortly before, and the platform store replied to the
    /// last call of this daemon.
    pub fn is_recently_installed(&self, now: Duration, version: u64) -> bool {
        let is_recent = |at: Duration| now < at + MAX_INSTALLED_AGE;
        self.platform_responsive()
            && self
                .last_installed
                .is_some_and(|(installed, at)| installed == version && is_recent(at))
    }

    /// Delays the next read and swap by a random part of `limit`. The swap then requires another
    /// read.
    pub fn postpone(&mut self, now: Duration, limit: Duration) {
        self.not_before = now + self.jitter(limit);
        self.last_seen = None;
        self.last_installed = None;
    }

    /// Returns when `version` was last seen in the platform store: the start of the read, or the
    /// time of the reply to the write. `None` if the version last seen is another one or unknown.
    pub fn last_seen_at(&self, version: u64) -> Option<Duration> {
        let last_seen = self.last_seen.filter(|(seen, _)| *seen == version);
        last_seen.map(|(_, seen_at)| seen_at)
    }

    /// Returns whether the platform store replied to the last call, at most one lease ago.
    pub fn platform_replied_recently(&self, now: Duration, settings: &CoreSettings) -> bool {
        self.failures == 0
            && self
                .last_seen
                .is_some_and(|(_, at)| now < at + settings.lease)
    }

    /// Returns whether no read is in flight and the last read, if any, got a reply.
    pub fn platform_responsive(&self) -> bool {
        self.failures == 0 && self.read_in_flight.is_none()
    }

    /// Starts a read unless one is in flight or the back-off has not ended. A read without a reply
    /// within [`PLATFORM_TIMEOUT`] no longer counts as in flight.
    pub fn start_read(&mut self, now: Duration) -> Option<Effect> {
        if let Some((_, at)) = self.read_in_flight
            && now >= at + PLATFORM_TIMEOUT
        {
            self.read_in_flight = None;
        }
        if self.read_in_flight.is_some() || now < self.not_before {
            return None;
        }
        self.last_read_id += 1;
        self.read_in_flight = Some((self.last_read_id, now));
        Some(Effect::ReadTable {
            read: self.last_read_id,
        })
    }

    /// Records the reply to a read; `version` is `None` if the read failed. Returns `false` if the
    /// read is not the one in flight.
    pub fn finish_read(
        &mut self,
        now: Duration,
        read: u64,
        version: Option<u64>,
        settings: &CoreSettings,
    ) -> bool {
        let Some((current, started_at)) = self.read_in_flight.filter(|(id, _)| *id == read) else {
            return false;
        };
        debug_assert_eq!(current, read);
        self.read_in_flight = None;
        match version {
            Some(version) => {
                self.last_seen = Some((version, started_at));
                self.failures = 0;
            }
            None => {
                self.failures += 1;
                self.last_seen = None;
                self.last_installed = None;
                self.back_off(now, settings.max_backoff, settings);
            }
        }
        true
    }

    /// Starts a back-off of between half of `limit` and `limit`.
    fn back_off(&mut self, now: Duration, limit: Duration, settings: &CoreSettings) {
        let limit = limit.min(settings.max_backoff);
        let wait = limit / 2 + self.jitter(limit / 2);
        self.not_before = now + wait;
    }

    /// Records the swap as pending and returns the effect that writes it.
    pub fn start_swap(
        &mut self,
        now: Duration,
        delta: Delta,
        next: Table,
        session_change: OwnSessionChange,
        decisions: Vec<DecisionKind>,
    ) -> Effect {
        let next = Arc::new(next);
        let pending = PendingSwap {
            delta: delta.clone(),
            next: next.clone(),
            started_at: now,
            session_change,
            decisions,
            sent_at: now,
            needs_read_back: false,
        };
        self.pending = Some(pending);
        Effect::Swap { delta, next }
    }

    /// Records that the reply to the pending swap was lost or reported a conflict.
    pub fn mark_unresolved(&mut self, now: Duration, conflict: bool, settings: &CoreSettings) {
        if let Some(pending) = &mut self.pending {
            pending.needs_read_back = true;
        }
        self.last_seen = None;
        self.last_installed = None;
        if conflict {
            self.back_off_after_conflict(now, settings);
        }
    }

    /// Starts the back-off after a conflict that the platform store reported or a newer table
    /// showed.
    pub fn back_off_after_conflict(&mut self, now: Duration, settings: &CoreSettings) {
        self.conflicts = (self.conflicts + 1).min(MAX_DOUBLINGS);
        let limit = settings.initial_backoff * (1 << self.conflicts);
        self.back_off(now, limit, settings);
    }

    pub fn take_pending(&mut self) -> Option<PendingSwap> {
        self.pending.take()
    }

    /// Records a successful swap.
    pub fn record_write(&mut self, now: Duration, version: u64) {
        self.last_seen = Some((version, now));
        self.failures = 0;
        self.conflicts = 0;
    }

    /// Returns the outcome of the pending swap according to a newer table; `None` if no swap is
    /// pending or the table is older than the version that the swap produces.
    pub fn resolve(&self, table: &Table) -> Option<Resolution> {
        let pending = self.pending.as_ref()?;
        if table.version < pending.delta.to_version {
            return None;
        }
        // The table holds only the latest change ids. If the id of this swap may have been dropped,
        // the outcome is unknown and treated as lost; the entry of this session in the table is
        // authoritative.
        let is_recent = table.version - pending.delta.to_version < MAX_RECENT_CHANGES as u64;
        let is_recorded = table.recent_changes.contains(&pending.delta.change_id);
        Some(match is_recent && is_recorded {
            true => Resolution::Done,
            false => Resolution::Lost,
        })
    }

    /// Returns the next step if the outcome of the pending swap must be resolved: a read, or the
    /// same write again if a read showed that the platform store still has the base version.
    pub fn read_back(&mut self, now: Duration, settings: &CoreSettings) -> Option<Effect> {
        let pending = self.pending.as_mut()?;
        if now >= pending.sent_at + PLATFORM_TIMEOUT {
            pending.needs_read_back = true;
        }
        if !pending.needs_read_back {
            return None;
        }
        let base = pending.delta.to_version - 1;
        let is_unchanged = self
            .last_seen
            .is_some_and(|(version, at)| version == base && now < at + settings.lease);
        if !is_unchanged {
            return self.start_read(now);
        }
        pending.needs_read_back = false;
        pending.sent_at = now;
        Some(Effect::Swap {
            delta: pending.delta.clone(),
            next: pending.next.clone(),
        })
    }

    /// Returns when the read in flight or the pending swap times out, or when a pending swap may be
    /// resolved.
    pub fn next_deadline(&self) -> Option<Duration> {
        if let Some(at) = self.read_deadline() {
            return Some(at);
        }
        let pending = self.pending.as_ref()?;
        Some(match pending.needs_read_back {
            true => self.not_before,
            false => pending.sent_at + PLATFORM_TIMEOUT,
        })
    }

    /// Returns when the read in flight times out.
    pub fn read_deadline(&self) -> Option<Duration> {
        let (_, at) = self.read_in_flight?;
        Some(at + PLATFORM_TIMEOUT)
    }

    pub fn is_reading(&self) -> bool {
        self.read_in_flight.is_some()
    }

    /// Returns a random id for a new swap.
    pub fn change_id(&mut self) -> ChangeId {
        ChangeId(self.random_nonzero())
    }

    /// Returns whether the pending swap ends this session.
    pub fn is_ending(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|p| p.session_change == OwnSessionChange::End)
    }
}

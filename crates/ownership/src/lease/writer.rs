//! Reads and writes of the table: at most one swap of a core is in flight, and one whose answer
//! was lost is read back before anything else (R8).

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::api::{CoreSettings, Effect};
use crate::change::Delta;
use crate::ids::ChangeId;
use crate::journal::DecisionKind;
use crate::table::{MAX_RECENT_CHANGES, Table};

/// Time after which a read or swap that nobody answered counts as lost.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Times that the back-off after lost races doubles.
const MAX_DOUBLINGS: u32 = 5;

/// What a swap does to the own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnSessionChange {
    /// Nothing that gives a lease.
    None,
    /// Joins, or changes the lessors (R12).
    Lease,
    /// Ends the own session.
    End,
}

/// A swap whose effect is not settled.
#[derive(Debug, Clone)]
pub(super) struct PendingSwap {
    pub delta: Delta,
    pub next: Arc<Table>,
    pub started_at: Duration,
    pub session_change: OwnSessionChange,
    pub decisions: Vec<DecisionKind>,
    sent_at: Duration,
    /// The answer was lost or says conflict; a read has to settle it.
    pub needs_read_back: bool,
}

/// How a swap went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resolution {
    /// It took effect.
    Done,
    /// It did not, and cannot any more.
    Lost,
}

/// State of last_read_id and writes.
#[derive(Debug)]
pub(super) struct Writer {
    rng: SmallRng,
    last_read_id: u64,
    read_in_flight: Option<(u64, Duration)>,
    /// Version that the platform showed last, and when.
    last_read: Option<(u64, Duration)>,
    pub pending: Option<PendingSwap>,
    pub not_before: Duration,
    failures: u32,
    conflicts: u32,
}

impl Writer {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            last_read_id: 0,
            read_in_flight: None,
            last_read: None,
            pending: None,
            not_before: Duration::ZERO,
            failures: 0,
            conflicts: 0,
        }
    }

    /// Returns a random time below `limit`.
    pub fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Returns a random number.
    pub fn random(&mut self) -> u64 {
        self.rng.random_range(1..u64::MAX)
    }

    /// Tells whether the platform showed this version within the last lease.
    pub fn is_current(&self, now: Duration, version: u64, settings: &CoreSettings) -> bool {
        let recent = |at: Duration| now < at + settings.lease;
        self.last_read
            .is_some_and(|(have, at)| have == version && recent(at))
    }

    /// Returns when the read was asked that showed this version last.
    pub fn read_started_at(&self, version: u64) -> Option<Duration> {
        let shown = self.last_read.filter(|(have, _)| *have == version);
        shown.map(|(_, asked)| asked)
    }

    /// Tells whether the platform answered a read within the last lease.
    pub fn platform_answered_recently(&self, now: Duration, settings: &CoreSettings) -> bool {
        self.failures == 0
            && self
                .last_read
                .is_some_and(|(_, at)| now < at + settings.lease)
    }

    /// Tells whether another process won the last race for the table.
    pub fn has_conflict(&self) -> bool {
        self.conflicts > 0
    }

    /// Tells whether the last call to the platform was answered, and none has been waiting for long.
    pub fn platform_responsive(&self) -> bool {
        self.failures == 0 && self.read_in_flight.is_none()
    }

    /// Starts a read unless one is in flight or a back-off runs.
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

    /// Notes the answer to a read. Returns `false` when it answers no current read.
    pub fn finish_read(
        &mut self,
        now: Duration,
        read: u64,
        version: Option<u64>,
        settings: &CoreSettings,
    ) -> bool {
        let Some((current, asked)) = self.read_in_flight.filter(|(id, _)| *id == read) else {
            return false;
        };
        debug_assert_eq!(current, read);
        self.read_in_flight = None;
        match version {
            Some(version) => {
                self.last_read = Some((version, asked));
                self.failures = 0;
            }
            None => {
                self.failures += 1;
                self.last_read = None;
                self.back_off(now, settings.max_backoff, settings);
            }
        }
        true
    }

    fn back_off(&mut self, now: Duration, limit: Duration, settings: &CoreSettings) {
        let limit = limit.min(settings.max_backoff);
        let wait = limit / 2 + self.jitter(limit / 2);
        self.not_before = now + wait;
    }

    /// Starts a swap of the table that was read last.
    pub fn start(
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

    /// Notes that the answer of the pending swap is lost or says conflict.
    pub fn mark_unresolved(&mut self, now: Duration, conflict: bool, settings: &CoreSettings) {
        if let Some(pending) = &mut self.pending {
            pending.needs_read_back = true;
        }
        self.last_read = None;
        if conflict {
            self.back_off_after_conflict(now, settings);
        }
    }

    /// Backs off after a race that a newer table shows as lost before the platform's answer did.
    pub fn back_off_after_conflict(&mut self, now: Duration, settings: &CoreSettings) {
        self.conflicts = (self.conflicts + 1).min(MAX_DOUBLINGS);
        let limit = settings.initial_backoff * (1 << self.conflicts);
        self.back_off(now, limit, settings);
    }

    /// Drops the pending swap.
    pub fn take_pending(&mut self) -> Option<PendingSwap> {
        self.pending.take()
    }

    /// Notes the version that an own swap made.
    pub fn record_write(&mut self, now: Duration, version: u64) {
        self.last_read = Some((version, now));
        self.failures = 0;
        self.conflicts = 0;
    }

    /// Tells how the pending swap went, judging by a newer table.
    pub fn resolve(&self, table: &Table) -> Option<Resolution> {
        let pending = self.pending.as_ref()?;
        if table.version < pending.delta.to_version {
            return None;
        }
        // Beyond the remembered ids nothing can be told; the own record shows what holds.
        let remembered = table.version - pending.delta.to_version < MAX_RECENT_CHANGES as u64;
        let shown = table.recent_changes.contains(&pending.delta.change_id);
        Some(match remembered && shown {
            true => Resolution::Done,
            false => Resolution::Lost,
        })
    }

    /// Returns what a swap without an answer needs: a read, or the same write once more while the
    /// platform shows the version below it.
    pub fn read_back(&mut self, now: Duration, settings: &CoreSettings) -> Option<Effect> {
        let pending = self.pending.as_mut()?;
        if now >= pending.sent_at + PLATFORM_TIMEOUT {
            pending.needs_read_back = true;
        }
        if !pending.needs_read_back {
            return None;
        }
        let base = pending.delta.to_version - 1;
        let stands = self
            .last_read
            .is_some_and(|(version, at)| version == base && now < at + settings.lease);
        if !stands {
            return self.start_read(now);
        }
        pending.needs_read_back = false;
        pending.sent_at = now;
        Some(Effect::Swap {
            delta: pending.delta.clone(),
            next: pending.next.clone(),
        })
    }

    /// Time at which a read or repeated write may be due.
    pub fn next_deadline(&self) -> Option<Duration> {
        if let Some((_, at)) = self.read_in_flight {
            return Some(at + PLATFORM_TIMEOUT);
        }
        let pending = self.pending.as_ref()?;
        Some(match pending.needs_read_back {
            true => self.not_before,
            false => pending.sent_at + PLATFORM_TIMEOUT,
        })
    }

    /// Tells whether a read is in flight.
    pub fn is_reading(&self) -> bool {
        self.read_in_flight.is_some()
    }

    /// Returns the id for a new swap.
    pub fn change_id(&mut self) -> ChangeId {
        ChangeId(self.random())
    }

    /// Tells whether a swap that ends the own session is in the air.
    pub fn is_ending(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|p| p.session_change == OwnSessionChange::End)
    }
}

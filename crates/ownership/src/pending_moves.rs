//! Moves that the planner has requested and that the table does not show yet.
//!
//! An owner that is cut off from the platform store, or whose target does not report, accepts a
//! release request but never starts the release. During a load peak, requesting moves from such an
//! owner in every round would leave no moves for the owners that can carry them out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::planner::{Move, MoveItem};
use crate::table::Table;

/// Time-out and back-off of requested moves.
#[derive(Debug, Clone)]
pub struct PendingMoveSettings {
    /// Time within which a requested move must show in the table.
    pub timeout: Duration,
    /// Back-off during which an owner that missed the time-out gets no requests.
    pub backoff: Duration,
}

impl Default for PendingMoveSettings {
    fn default() -> Self {
        Self {
            // Covers a report of the target, the release, a write of the table and one late report.
            timeout: Duration::from_secs(3),
            backoff: Duration::from_secs(6),
        }
    }
}

/// A requested move that the table does not show yet.
#[derive(Debug, Clone, Copy)]
struct PendingMove {
    service: ServiceId,
    shard: ShardId,
    epoch: Epoch,
    from: SessionId,
    requested_at: Duration,
}

/// Pending moves and stalled owners.
#[derive(Debug, Default)]
pub struct PendingMoves {
    settings: PendingMoveSettings,
    pending: Vec<PendingMove>,
    /// Stalled owners, with the end of their back-off.
    stalled: BTreeMap<SessionId, Duration>,
}

impl PendingMoves {
    /// Creates the tracker without pending moves.
    pub fn new(settings: PendingMoveSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a move was requested from its owner. Moves of single keys are not tracked.
    pub fn record(&mut self, now: Duration, planned: &Move) {
        let MoveItem::Shard(held) = planned.item else {
            return;
        };
        let is_same_move = |m: &PendingMove| {
            (m.service, m.shard, m.epoch) == (held.service, held.shard, held.epoch)
        };
        if self.pending.iter().any(is_same_move) {
            return;
        }
        self.pending.push(PendingMove {
            service: held.service,
            shard: held.shard,
            epoch: held.epoch,
            from: planned.from,
            requested_at: now,
        });
    }

    /// Compares the pending moves with the table and drops those that have timed out or whose shard
    /// has a new owner or epoch. Returns the newly stalled owners; each is skipped until its
    /// back-off ends or one of its moves shows in the table.
    pub fn reconcile(&mut self, now: Duration, table: &Table) -> Vec<SessionId> {
        let is_unchanged = |m: &PendingMove| {
            let shards = table.service(m.service).map(|s| &s.shards);
            let shard = shards.and_then(|s| s.get(m.shard.index()));
            shard.is_some_and(|s| s.owner == Some(m.from) && s.epoch == m.epoch)
        };
        let (pending, changed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(is_unchanged);
        let has_moved = |id: SessionId| changed.iter().any(|m| m.from == id);
        self.stalled
            .retain(|id, until| now < *until && !has_moved(*id));
        let is_timed_out = |m: &PendingMove| now >= m.requested_at + self.settings.timeout;
        let mut newly_stalled = Vec::new();
        for m in pending
            .iter()
            .filter(|m| is_timed_out(m) && !has_moved(m.from))
        {
            let until = now + self.settings.backoff;
            if self.stalled.insert(m.from, until).is_none() {
                newly_stalled.push(m.from);
            }
        }
        self.pending = pending.into_iter().filter(|m| !is_timed_out(m)).collect();
        newly_stalled
    }

    /// Returns the stalled owners as of the last [`reconcile`](Self::reconcile).
    pub fn stalled(&self) -> impl Iterator<Item = SessionId> {
        self.stalled.keys().copied()
    }
}

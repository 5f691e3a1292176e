//! What a planner remembers of the moves that it asked for.
//!
//! An owner that is cut off from the platform's service, or whose target does not report, takes a request
//! to release a shard and never begins. It answers the load of the fleet's busiest minutes: asking such an
//! owner again in each round would use up the moves that others could make.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::planner::{Move, MoveItem};
use crate::table::Table;

/// How long a planner waits for owners.
#[derive(Debug, Clone)]
pub struct PendingMoveSettings {
    /// Time within which a move that was asked for shows in the table.
    pub timeout: Duration,
    /// Time for which an owner that did not move anything within it is left alone.
    pub backoff: Duration,
}

impl Default for PendingMoveSettings {
    fn default() -> Self {
        Self {
            // A report of the target, its release, a write of the table, and room for a late report.
            timeout: Duration::from_secs(3),
            backoff: Duration::from_secs(6),
        }
    }
}

/// One move that was asked for and has not shown in the table.
#[derive(Debug, Clone, Copy)]
struct PendingMove {
    service: ServiceId,
    shard: ShardId,
    epoch: Epoch,
    from: SessionId,
    requested_at: Duration,
}

/// Moves that were asked for, and the owners that do not carry them out.
#[derive(Debug, Default)]
pub struct PendingMoves {
    settings: PendingMoveSettings,
    pending: Vec<PendingMove>,
    stalled: BTreeMap<SessionId, Duration>,
}

impl PendingMoves {
    /// Makes a memory without any move.
    pub fn new(settings: PendingMoveSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that the owner of a move was asked for it. Moves of single keys are not followed.
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

    /// Compares the moves with the table. Returns the owners that are left alone from now on.
    pub fn reconcile(&mut self, now: Duration, table: &Table) -> Vec<SessionId> {
        let is_unchanged = |m: &PendingMove| {
            let shards = table.service(m.service).map(|s| &s.shards);
            let shard = shards.and_then(|s| s.get(m.shard.index()));
            shard.is_some_and(|s| s.owner == Some(m.from) && s.epoch == m.epoch)
        };
        let (pending, done): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(is_unchanged);
        let has_moved = |id: SessionId| done.iter().any(|m| m.from == id);
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

    /// Returns the owners that are left alone, as of the last review.
    pub fn stalled(&self) -> impl Iterator<Item = SessionId> {
        self.stalled.keys().copied()
    }
}

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
    at: Duration,
}

/// Moves that were asked for, and the owners that do not carry them out.
#[derive(Debug, Default)]
pub struct PendingMoves {
    settings: PendingMoveSettings,
    open: Vec<PendingMove>,
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
        let known = |o: &PendingMove| {
            (o.service, o.shard, o.epoch) == (held.service, held.shard, held.epoch)
        };
        if self.open.iter().any(known) {
            return;
        }
        self.open.push(PendingMove {
            service: held.service,
            shard: held.shard,
            epoch: held.epoch,
            from: planned.from,
            at: now,
        });
    }

    /// Compares the moves with the table. Returns the owners that are left alone from now on.
    pub fn reconcile(&mut self, now: Duration, table: &Table) -> Vec<SessionId> {
        let stands = |o: &PendingMove| {
            let shards = table.service(o.service).map(|s| &s.shards);
            let shard = shards.and_then(|s| s.get(o.shard.index()));
            shard.is_some_and(|s| s.owner == Some(o.from) && s.epoch == o.epoch)
        };
        let (open, done): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open).into_iter().partition(stands);
        let moved = |id: SessionId| done.iter().any(|o| o.from == id);
        self.stalled.retain(|id, until| now < *until && !moved(*id));
        let late = |o: &PendingMove| now >= o.at + self.settings.timeout;
        let mut newly_stalled = Vec::new();
        for o in open.iter().filter(|o| late(o) && !moved(o.from)) {
            let until = now + self.settings.backoff;
            if self.stalled.insert(o.from, until).is_none() {
                newly_stalled.push(o.from);
            }
        }
        self.open = open.into_iter().filter(|o| !late(o)).collect();
        newly_stalled
    }

    /// Returns the owners that are left alone, as of the last review.
    pub fn stalled(&self) -> impl Iterator<Item = SessionId> {
        self.stalled.keys().copied()
    }
}

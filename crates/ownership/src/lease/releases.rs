//! Releases of shards and overridden keys by their owner. A shard moves only after its owner
//! released it (R6).

use std::collections::BTreeMap;
use std::time::Duration;

use super::api::{HeldShard, MoveWriter};
use crate::chart::{RELEASE_CHART, StateMachine};
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::table::Table;

/// Purpose of the release of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleasePurpose {
    /// The shard moves to another session.
    Move { to: SessionId, by: MoveWriter },
    /// The target is leaving; the shard moves to any ready target.
    Leave,
    /// The target restarted and holds no shards; the shard keeps its owner, under a higher epoch.
    NewIncarnation,
    /// One key of the shard gets a separate owner; the shard keeps its owner, under a higher epoch.
    Override { key_hash: u64, to: SessionId },
}

/// Release of one shard.
#[derive(Debug, Clone)]
pub(super) struct Release {
    pub epoch: Epoch,
    pub purpose: ReleasePurpose,
    pub machine: StateMachine,
    /// Time at which the drain finished; `None` before.
    pub drained_at: Option<Duration>,
    /// Whether a planner may write the move. The owner must then not cancel it.
    pub planner_may_write: bool,
    /// Whether the target restarted since the assignment, so that the shard must not return to
    /// service under its epoch.
    pub needs_new_epoch: bool,
}

impl Release {
    /// Returns whether the owner may return the shard to service without a swap once it is drained.
    fn is_cancellable(&self) -> bool {
        let by_owner = matches!(
            self.purpose,
            ReleasePurpose::Move {
                by: MoveWriter::Owner,
                ..
            }
        );
        by_owner && !self.planner_may_write && !self.needs_new_epoch
    }
}

/// Release of one overridden key.
#[derive(Debug, Clone)]
pub(super) struct KeyRelease {
    pub epoch: Epoch,
    /// The next owner; `None` if the key returns to its shard.
    pub to: Option<SessionId>,
    pub drained: bool,
}

/// All releases of this daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct Releases {
    pub shards: BTreeMap<(ServiceId, ShardId), Release>,
    pub keys: BTreeMap<(ServiceId, u64), KeyRelease>,
}

impl Releases {
    /// Starts a release. Returns `false` if the shard is already being released.
    pub fn begin(&mut self, held: HeldShard, purpose: ReleasePurpose) -> bool {
        let shard_id = (held.service, held.shard);
        let by_planner = matches!(
            purpose,
            ReleasePurpose::Move {
                by: MoveWriter::Planner,
                ..
            }
        );
        if let Some(existing) = self.shards.get_mut(&shard_id) {
            // The planner is also notified of a release that was started for another purpose, and
            // may then write the move.
            existing.planner_may_write |= by_planner;
            existing.needs_new_epoch |= purpose == ReleasePurpose::NewIncarnation;
            return false;
        }
        let release = Release {
            epoch: held.epoch,
            purpose,
            machine: StateMachine::new(&RELEASE_CHART),
            drained_at: None,
            planner_may_write: by_planner,
            needs_new_epoch: purpose == ReleasePurpose::NewIncarnation,
        };
        self.shards.insert(shard_id, release);
        true
    }

    /// Records that the shard is drained.
    pub fn mark_drained(&mut self, now: Duration, held: HeldShard) {
        if let Some(release) = self.get_mut(held)
            && release.machine.step("drained").is_ok()
        {
            release.drained_at = Some(now);
        }
    }

    /// Abandons the release. A shard that is still draining returns to service at once. A drained
    /// shard returns only with the next swap that gives it a new epoch.
    pub fn abandon(&mut self, held: HeldShard) {
        if let Some(release) = self.get_mut(held)
            && release.machine.step("abandoned") == Ok("closed")
        {
            self.shards.remove(&(held.service, held.shard));
        }
    }

    /// Returns whether a planner may write the move of a released shard.
    pub fn planner_may_write(&self, held: HeldShard) -> bool {
        let release = self.shards.get(&(held.service, held.shard));
        release.is_some_and(|r| r.epoch == held.epoch && r.planner_may_write)
    }

    /// Returns whether a shard is released because its target accepts no new requests.
    pub fn is_leaving(&self, held: HeldShard) -> bool {
        let release = self.shards.get(&(held.service, held.shard));
        release.is_some_and(|r| r.epoch == held.epoch && r.purpose == ReleasePurpose::Leave)
    }

    /// Cancels the moves that only this daemon may write and whose shards were drained at
    /// `latest_drain` or earlier. Returns whether there were any. The caller ensures that no swap
    /// is pending, since it could contain one of these moves.
    pub fn cancel_own_moves(&mut self, latest_drain: Duration) -> bool {
        let count = self.shards.len();
        self.shards.retain(|_, release| {
            let is_due = release.drained_at.is_some_and(|at| at <= latest_drain);
            !(release.is_cancellable() && is_due && release.machine.step("kept") == Ok("closed"))
        });
        self.shards.len() < count
    }

    /// Returns the earliest time at which a shard was drained whose move
    /// [`Releases::cancel_own_moves`] may cancel.
    pub fn earliest_cancellable_drain(&self) -> Option<Duration> {
        let cancellable = self.shards.values();
        let cancellable =
            cancellable.filter(|r| r.is_cancellable() && r.machine.state() == "released");
        cancellable.filter_map(|r| r.drained_at).min()
    }

    fn get_mut(&mut self, held: HeldShard) -> Option<&mut Release> {
        let release = self.shards.get_mut(&(held.service, held.shard))?;
        (release.epoch == held.epoch).then_some(release)
    }

    /// Drops the releases of assignments that are not in the newest table.
    pub fn retain_current(&mut self, me: Option<SessionId>, table: &Table) {
        self.shards.retain(|(service, shard), release| {
            let current = table
                .service(*service)
                .and_then(|s| s.shards.get(shard.index()));
            let same = current.is_some_and(|s| s.owner == me && s.epoch == release.epoch);
            same && me.is_some() || release.machine.step("epoch.passed") != Ok("closed")
        });
        self.keys.retain(|(service, key), release| {
            let current = table
                .service(*service)
                .and_then(|s| s.overrides.iter().find(|o| o.key_hash == *key));
            let same = |s: &crate::table::KeyOverride| {
                s.assignment.owner == me && s.assignment.epoch == release.epoch
            };
            me.is_some() && current.is_some_and(same)
        });
    }

    /// Returns whether the shard is being released.
    pub fn contains(&self, service: ServiceId, shard: ShardId) -> bool {
        !self.shards.is_empty() && self.shards.contains_key(&(service, shard))
    }

    /// Returns whether the overridden key is being released.
    pub fn contains_key(&self, service: ServiceId, key_hash: u64) -> bool {
        !self.keys.is_empty() && self.keys.contains_key(&(service, key_hash))
    }
}

//! Shards and keys that this daemon gives up (R6).

use std::collections::BTreeMap;
use std::time::Duration;

use super::api::{HeldShard, MoveWriter};
use crate::chart::{RELEASE_CHART, StateMachine};
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::table::Table;

/// What follows the release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReleasePurpose {
    /// Move to another session.
    Move { to: SessionId, by: MoveWriter },
    /// Move to whatever target is ready, because the own target leaves.
    Leave,
    /// Keep it under a higher epoch, because the target began a new life that holds nothing.
    NewIncarnation,
    /// Give one key of the shard an owner of its own.
    Override { key_hash: u64, to: SessionId },
}

/// One shard that is given up.
#[derive(Debug, Clone)]
pub(super) struct Release {
    pub epoch: Epoch,
    pub purpose: ReleasePurpose,
    pub machine: StateMachine,
    pub drained_at: Option<Duration>,
    /// Whether somebody else may swap the move.
    pub planner_notified: bool,
}

/// One overridden key that is given up.
#[derive(Debug, Clone)]
pub(super) struct KeyRelease {
    pub epoch: Epoch,
    pub to: Option<SessionId>,
    pub drained: bool,
}

/// Everything that this daemon gives up.
#[derive(Debug, Clone, Default)]
pub(super) struct Releases {
    pub shards: BTreeMap<(ServiceId, ShardId), Release>,
    pub keys: BTreeMap<(ServiceId, u64), KeyRelease>,
}

impl Releases {
    /// Starts a release. Returns `false` when the shard is being released already.
    pub fn begin(&mut self, held: HeldShard, purpose: ReleasePurpose) -> bool {
        let at = (held.service, held.shard);
        let by_planner = matches!(
            purpose,
            ReleasePurpose::Move {
                by: MoveWriter::Planner,
                ..
            }
        );
        if let Some(known) = self.shards.get_mut(&at) {
            // The planner is told of the release when it ends, whoever asked for it first.
            known.planner_notified |= by_planner;
            return false;
        }
        let release = Release {
            epoch: held.epoch,
            purpose,
            machine: StateMachine::new(&RELEASE_CHART),
            drained_at: None,
            planner_notified: by_planner,
        };
        self.shards.insert(at, release);
        true
    }

    /// Notes that nothing of the shard runs any more.
    pub fn mark_drained(&mut self, now: Duration, held: HeldShard) {
        if let Some(release) = self.get_mut(held)
            && release.machine.step("drained").is_ok()
        {
            release.drained_at = Some(now);
        }
    }

    /// Gives the release up.
    pub fn abandon(&mut self, held: HeldShard) {
        if let Some(release) = self.get_mut(held)
            && release.machine.step("abandoned") == Ok("closed")
        {
            self.shards.remove(&(held.service, held.shard));
        }
    }

    /// Tells whether a planner may swap the move of a shard that is given up.
    pub fn planner_notified(&self, held: HeldShard) -> bool {
        let release = self.shards.get(&(held.service, held.shard));
        release.is_some_and(|r| r.epoch == held.epoch && r.planner_notified)
    }

    /// Keeps the shards that this daemon itself was to move and that were drained by `before`.
    /// Returns whether there were any. No swap that moves one of them may be in the air.
    pub fn cancel_own_moves(&mut self, before: Duration) -> bool {
        let count = self.shards.len();
        self.shards.retain(|_, release| {
            let own = matches!(
                release.purpose,
                ReleasePurpose::Move {
                    by: MoveWriter::Owner,
                    ..
                }
            );
            let due = release.drained_at.is_some_and(|at| at <= before);
            !(own
                && due
                && !release.planner_notified
                && release.machine.step("kept") == Ok("closed"))
        });
        self.shards.len() < count
    }

    /// Returns when the first release that [`Releases::cancel_own_moves`] may keep was drained.
    pub fn first_cancellable_at(&self) -> Option<Duration> {
        let own = self.shards.values().filter(|r| {
            let by_owner = matches!(
                r.purpose,
                ReleasePurpose::Move {
                    by: MoveWriter::Owner,
                    ..
                }
            );
            by_owner && !r.planner_notified && r.machine.state() == "released"
        });
        own.filter_map(|r| r.drained_at).min()
    }

    fn get_mut(&mut self, held: HeldShard) -> Option<&mut Release> {
        let release = self.shards.get_mut(&(held.service, held.shard))?;
        (release.epoch == held.epoch).then_some(release)
    }

    /// Drops releases whose epoch has passed in the newest table.
    pub fn install(&mut self, me: Option<SessionId>, table: &Table) {
        self.shards.retain(|(service, shard), release| {
            let now = table
                .service(*service)
                .and_then(|s| s.shards.get(shard.index()));
            let same = now.is_some_and(|s| s.owner == me && s.epoch == release.epoch);
            same && me.is_some() || release.machine.step("epoch.passed") != Ok("closed")
        });
        self.keys.retain(|(service, key), release| {
            let found = table
                .service(*service)
                .and_then(|s| s.overrides.iter().find(|o| o.key_hash == *key));
            let same = |s: &crate::table::KeyOverride| {
                s.assignment.owner == me && s.assignment.epoch == release.epoch
            };
            me.is_some() && found.is_some_and(same)
        });
    }

    /// Tells whether the shard is given up.
    pub fn contains(&self, service: ServiceId, shard: ShardId) -> bool {
        !self.shards.is_empty() && self.shards.contains_key(&(service, shard))
    }

    /// Tells whether the overridden key is given up.
    pub fn contains_key(&self, service: ServiceId, key_hash: u64) -> bool {
        !self.keys.is_empty() && self.keys.contains_key(&(service, key_hash))
    }
}

//! Releases of shards for moves that the planner writes.
//!
//! Where a service has many owners, a planning round moves shards of most of them. If each owner wrote
//! its own swap, the swaps of a round would conflict. Instead, the owners tell the planner which shards
//! they have released, and it writes all moves that it was told of within a short time in one swap. An
//! owner takes a shard back with a higher epoch if the planner does not write the move.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lease::{Event, HeldShard};
use masticdeal_ownership::planner::planner_session;
use masticdeal_wire::headers::PATH_RELEASED;
use masticdeal_wire::peer::{Release, Released, ReleasedShard};

use super::Control;

/// Time in which the released shards of one report of the target are collected into one message.
const COLLECTION_DELAY: Duration = Duration::from_millis(10);

/// Longest wait for the planner to accept the message. It is not sent again: the owner reclaims the
/// shards.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Planned moves of this owner, by shard and epoch.
#[derive(Debug, Default)]
pub struct PlannedReleases {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The planner and the next owner of each shard that is being released.
    requested: HashMap<(ServiceId, ShardId, Epoch), (SessionId, SessionId)>,
    /// Released shards that their planner has not been told of.
    released: HashMap<SessionId, Vec<ReleasedShard>>,
}

impl PlannedReleases {
    /// Records the release that `planner` requested.
    pub fn record(&self, release: &Release, planner: SessionId) {
        let key = (release.service, release.shard, release.epoch);
        let mut state = self.state.lock().unwrap();
        state.requested.insert(key, (planner, release.to));
    }

    /// Moves a shard from the requested to the released ones. Returns its planner if the shard is the
    /// first one to tell it of.
    fn release(&self, held: HeldShard) -> Option<SessionId> {
        let mut state = self.state.lock().unwrap();
        let key = (held.service, held.shard, held.epoch);
        let (planner, to) = state.requested.remove(&key)?;
        let shards = state.released.entry(planner).or_default();
        shards.push(ReleasedShard {
            service: held.service,
            shard: held.shard,
            epoch: held.epoch,
            to,
        });
        (shards.len() == 1).then_some(planner)
    }

    /// Records a shard that leaves an evacuated data centre. The owner stands for a next owner that
    /// the planner chooses.
    fn record_leaving(&self, held: HeldShard, planner: SessionId, owner: SessionId) {
        let key = (held.service, held.shard, held.epoch);
        let mut state = self.state.lock().unwrap();
        state.requested.insert(key, (planner, owner));
    }

    fn forget(&self, held: HeldShard) {
        let key = (held.service, held.shard, held.epoch);
        self.state.lock().unwrap().requested.remove(&key);
    }

    fn take(&self, planner: SessionId) -> Vec<ReleasedShard> {
        let mut state = self.state.lock().unwrap();
        state.released.remove(&planner).unwrap_or_default()
    }
}

impl Control {
    /// Tells the planner that a drained shard is released, if it requested that and may write the
    /// move, or if the shard leaves an evacuated data centre.
    pub(super) fn notify_planner(self: &Arc<Self>, held: HeldShard) {
        let planner = planner_session(&self.node.table.borrow());
        if self.core.lock().unwrap().leaves_evacuated(held)
            && let (Some(planner), Some(me)) = (planner, self.session())
        {
            self.planned_releases.record_leaving(held, planner, me);
        } else if !self.core.lock().unwrap().notifies_planner(held) {
            self.planned_releases.forget(held);
            return;
        }
        if let Some(planner) = self.planned_releases.release(held) {
            self.spawn(Self::send_released, planner);
        }
    }

    async fn send_released(self: Arc<Self>, planner: SessionId) {
        tokio::time::sleep(COLLECTION_DELAY).await;
        let shards = self.planned_releases.take(planner);
        let Some(from) = self.session() else { return };
        let count = shards.len();
        let message = Released { from, shards };
        if planner == from {
            self.on_released(message);
            return;
        }
        let accepted: Option<()> = self
            .call(planner, PATH_RELEASED, &message, MESSAGE_TIMEOUT)
            .await;
        if accepted.is_none() {
            log::info!(planner:%, count;
                "planner could not be told of released shards; they are reclaimed");
        }
    }

    /// Handles the message of an owner that it has released shards for moves of this planner.
    pub(super) fn on_released(self: &Arc<Self>, message: Released) {
        for released in message.shards {
            self.handle_event(Event::MoveReleased {
                held: HeldShard {
                    service: released.service,
                    shard: released.shard,
                    epoch: released.epoch,
                },
                from: message.from,
                to: released.to,
            });
        }
    }
}

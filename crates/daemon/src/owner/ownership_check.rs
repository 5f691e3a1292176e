//! Checks whether a request may still be sent to the target.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId, ShardId};
use masticdeal_policy::evacuation::Permission;
use masticdeal_wire::peer::Reason;

use crate::exchange::Failure;
use crate::node::Node;

/// Interval at which the ownership of a waiting request is checked. It bounds the delay of a move by
/// requests that wait for their turn.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Checks whether this daemon may still serve a request. Repeated, because ownership can be lost at
/// any time.
#[derive(Clone)]
pub struct OwnershipCheck {
    /// Shared state of the daemon.
    pub node: Arc<Node>,
    /// Service of the request.
    pub service: ServiceId,
    /// Shard and hash of the key; `None` for an unsharded service.
    pub key: Option<(ShardId, u64)>,
}

impl OwnershipCheck {
    /// Returns whether this daemon owns the key, even if its target does not hold the grant yet.
    /// Always `false` for an unsharded service.
    pub fn is_owner(&self) -> bool {
        let may_serve = |(shard, hash)| (self.node.may_serve)(self.service, shard, hash).is_ok();
        self.evacuation_refusal().is_none() && self.key.is_some_and(may_serve)
    }

    /// Returns the refusal of a request that may no longer run because the data centre of this daemon
    /// is evacuated.
    pub fn evacuation_refusal(&self) -> Option<Failure> {
        let reason = match (self.node.permission(), self.key) {
            (Permission::All, _) | (Permission::Keys, Some(_)) => return None,
            (Permission::Nothing, Some(_)) => Reason::Moving,
            (Permission::Keys | Permission::Nothing, None) => Reason::Evacuated,
        };
        Some(Failure::not_run(reason))
    }

    /// Waits until the request may no longer run here. A move of the shard waits for its requests,
    /// which may wait long for their turn at a cold target.
    pub async fn lost(&self) -> Failure {
        loop {
            tokio::time::sleep(OWNERSHIP_POLL_INTERVAL).await;
            if let Err(failure) = self.epoch() {
                return failure;
            }
        }
    }

    /// Returns the epoch under which the request may run; `None` for an unsharded service.
    pub fn epoch(&self) -> Result<Option<Epoch>, Failure> {
        if let Some(failure) = self.evacuation_refusal() {
            return Err(failure);
        }
        let Some((shard, key_hash)) = self.key else {
            return Ok(None);
        };
        let epoch = (self.node.may_serve)(self.service, shard, key_hash);
        let epoch = epoch.map_err(Failure::not_run)?;
        let has_range_grants = self.node.range_shard_count(self.service).is_some();
        if has_range_grants
            && !self
                .node
                .granted_shards
                .holds(self.node.clock.now(), shard, epoch)
        {
            return Err(Failure::not_run(Reason::Moving));
        }
        Ok(Some(epoch))
    }
}

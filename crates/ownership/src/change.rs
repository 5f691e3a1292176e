//! Changes of the assignment table.
//!
//! A swap (compare-and-swap) applies a list of changes to one version of the table and produces the
//! next version. Applying is deterministic, so peers send each other the same list as a delta.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use crate::table::{Session, TargetInfo};

/// One change of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a session. The table allocates the id; the id in `session` is ignored.
    Join {
        /// The new session.
        session: Session,
    },
    /// Removes a session; its shards become unassigned. Rejected when the term differs.
    End {
        /// The session to remove.
        session: SessionId,
        /// Term of the session in the author's table.
        term: u32,
        /// Why the session may be removed.
        cause: EndCause,
    },
    /// Replaces the lessors and increments the term. Rejected when the term differs.
    SetLessors {
        /// The lessee.
        session: SessionId,
        /// The term in the author's table.
        term: u32,
        /// The new lessors, without duplicates.
        lessors: Vec<SessionId>,
    },
    /// Replaces the entry of the target beside a daemon.
    SetTarget {
        /// The session of the daemon.
        session: SessionId,
        /// The target; `None` when the daemon has none.
        target: Option<TargetInfo>,
    },
    /// Adds a service. Does nothing if it exists with the same number of shards.
    DeclareService {
        /// Name in the deployment configuration.
        name: String,
        /// Number of shards, a power of two; 0 for an unsharded service.
        shards: u32,
    },
    /// Assigns unassigned shards to a session. They get the epoch of the new version.
    Assign {
        /// The service.
        service: ServiceId,
        /// The new owner.
        owner: SessionId,
        /// The unassigned shards, in ascending order.
        shards: Vec<ShardId>,
    },
    /// Moves a shard that its owner has released. Rejected when the owner or the epoch differs.
    Move {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// The owner that released it.
        from: SessionId,
        /// The epoch under which it was released.
        epoch: Epoch,
        /// The new owner. It equals `from` if the owner reclaims the shard, which then gets a
        /// higher epoch.
        to: SessionId,
    },
    /// Gives one hot key a separate owner, or changes or removes that override. Rejected when the
    /// owner or the epoch differs.
    Override {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// The current owner, which must have released the key, and its epoch; `None` if the key
        /// has no owner.
        from: Option<(SessionId, Epoch)>,
        /// The new owner; `None` returns the key to its shard.
        to: Option<SessionId>,
    },
}

/// Why a session may be ended.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// lease expired
    LeaseExpired,
    /// daemon left
    Left,
    /// a new daemon runs at its address
    Replaced,
    /// an operator confirmed the loss
    ConfirmedLost,
}

/// The changes of one swap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the swap produces; it applies to the version before it.
    pub to_version: u64,
    /// Identifies the attempted swap.
    pub change_id: ChangeId,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

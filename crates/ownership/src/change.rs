//! Changes of the assignment table.
//!
//! A swap applies a list of changes to one version of the table and yields the next version.
//! Applying is deterministic, so the same list serves as the delta that peers send each other.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use crate::table::{Session, TargetInfo};

/// One change of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a session. The table allocates the id; the id inside `session` is ignored.
    Join {
        /// The new session.
        session: Session,
    },
    /// Removes a session and leaves its shards without an owner. Refused when the term differs.
    End {
        /// The session to remove.
        session: SessionId,
        /// Term under which its lessors counted it out.
        term: u32,
        /// Why it may be removed.
        cause: EndCause,
    },
    /// Names new lessors and raises the term. Refused when the term differs.
    SetLessors {
        /// The lessee.
        session: SessionId,
        /// The term that the author saw in the table.
        term: u32,
        /// The new lessors, none twice.
        lessors: Vec<SessionId>,
    },
    /// Replaces what the table knows of the target beside a daemon.
    SetTarget {
        /// The session of the daemon.
        session: SessionId,
        /// The target; `None` when there is none.
        target: Option<TargetInfo>,
    },
    /// Adds a service, or does nothing when it exists with the same number of shards.
    DeclareService {
        /// Name from the deployment configuration.
        name: String,
        /// Number of shards, a power of two; 0 for a service that is not divided by key.
        shards: u32,
    },
    /// Gives shards without an owner to a session. Each epoch rises by one.
    Assign {
        /// The service.
        service: ServiceId,
        /// The new owner.
        owner: SessionId,
        /// Shards that have no owner in the table, in ascending order.
        shards: Vec<ShardId>,
    },
    /// Moves a shard that its owner has released. Refused when owner or epoch differ.
    Move {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// The owner that released it.
        from: SessionId,
        /// The epoch that the release named.
        epoch: Epoch,
        /// The new owner; the same session takes a released shard back under a higher epoch.
        to: SessionId,
    },
    /// Gives one hot key an owner of its own, or moves or removes that override.
    Override {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// The current owner and epoch, which must have released the key.
        from: Option<(SessionId, Epoch)>,
        /// The new owner; `None` returns the key to its shard.
        to: Option<SessionId>,
    },
}

/// Why a session may be ended.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// lease ran out
    LeaseExpired,
    /// daemon left
    Left,
    /// a new daemon runs at its address
    Replaced,
    /// an operator confirmed the loss
    ConfirmedLost,
}

/// The changes of one accepted swap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the swap made; it was applied to the version below it.
    pub to_version: u64,
    /// Names the attempt, so that its author recognises it.
    pub change_id: ChangeId,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

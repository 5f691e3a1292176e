//! Decisions with their causes, which the daemon writes to its log.

use displaydoc::Display;

use crate::change::EndCause;
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};

/// A decision of this daemon, or one that it received in a delta.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Version of the table that contains the decision; for a rejection, the version it is based
    /// on.
    pub version: u64,
    /// Whether this daemon made the decision.
    pub local: bool,
    /// The decision.
    pub kind: DecisionKind,
}

/// Kind of a decision, with its details.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum DecisionKind {
    /// session {session} of VM {vm} joined
    Joined {
        /// The session.
        session: SessionId,
        /// Name of its VM.
        vm: String,
    },
    /// session {session} ended: {cause}
    Ended {
        /// The session.
        session: SessionId,
        /// Cause of the change.
        cause: EndCause,
    },
    /// lessors of session {session} changed to {lessors:?}: {cause}
    LessorsChanged {
        /// The lessee.
        session: SessionId,
        /// Its new lessors.
        lessors: Vec<SessionId>,
        /// Cause of the change.
        cause: LessorCause,
    },
    /// session {owner} got {count} unassigned shards of service {service}
    Assigned {
        /// The service.
        service: ServiceId,
        /// The new owner.
        owner: SessionId,
        /// Number of shards.
        count: usize,
    },
    /// shard {shard} of service {service} moved from session {from} to {to}: {cause}
    Moved {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// The former owner.
        from: SessionId,
        /// The new owner.
        to: SessionId,
        /// Cause of the change.
        cause: MoveCause,
    },
    /// session {owner} reclaimed shard {shard} of service {service} after its release
    Reclaimed {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// The owner.
        owner: SessionId,
    },
    /// override of key {key_hash:x} of service {service} set to {to:?}
    Overridden {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// The new owner; `None` when the key returns to its shard.
        to: Option<SessionId>,
    },
    /// service {name} was declared with {shards} shards
    Declared {
        /// Name of the service.
        name: String,
        /// Number of shards.
        shards: u32,
    },
    /// target of session {session} changed
    TargetChanged {
        /// The session.
        session: SessionId,
    },
    /// release of shard {shard} of service {service} under epoch {epoch} started
    ReleaseStarted {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// Epoch under which it is released.
        epoch: Epoch,
    },
    /// rejected: {0}
    Rejected(Rejection),
}

/// Why the lessors of a session changed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LessorCause {
    /// fewer lessors than configured
    TooFew,
    /// a lessor is no longer in the table
    LessorEnded,
    /// a lessor stopped renewing
    LessorUnresponsive,
    /// the lease expired
    LeaseExpired,
    /// preferred lessors are available
    Preferred,
    /// all lessors ended and another session became the lessor
    Adopted,
    /// decided by another daemon
    Remote,
}

/// Why a shard moved.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// requested by a planner or an operator
    Requested,
    /// target is draining or unavailable
    TargetLeaves,
    /// decided by another daemon
    Remote,
}

/// An action that this daemon did not carry out, and why.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Rejection {
    /// join waits until the lease of session {0} at the same address has expired
    JoinWaits(SessionId),
    /// move of shard {0} of service {1} does not match the table
    StaleMove(ShardId, ServiceId),
    /// VM {0} is not lost: its lease was renewed within the last lease period
    NotLost(String),
    /// service {0} has a different number of shards in the table
    ShardCount(String),
    /// received table violates an invariant, or received delta cannot be applied
    MalformedTable,
}

//! Decisions with their causes, from which an operator's "why" is answered.

use displaydoc::Display;

use crate::change::EndCause;
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};

/// A decision of this daemon, or one that it learned from a delta.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Version of the table that holds the decision; for a refusal, the version it was made on.
    pub version: u64,
    /// Whether this daemon wrote it.
    pub local: bool,
    /// What was decided.
    pub what: What,
}

/// What was decided.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum What {
    /// session {session} of VM {vm} joined
    Joined {
        /// The session.
        session: SessionId,
        /// Its VM.
        vm: String,
    },
    /// session {session} ended: {cause}
    Ended {
        /// The session.
        session: SessionId,
        /// Why.
        cause: EndCause,
    },
    /// session {session} is renewed by {lessors:?}: {cause}
    LessorsChanged {
        /// The lessee.
        session: SessionId,
        /// Its lessors.
        lessors: Vec<SessionId>,
        /// Why.
        cause: LessorCause,
    },
    /// session {owner} got {count} shards of service {service}, which had no owner
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
        /// Why.
        cause: MoveCause,
    },
    /// session {owner} took shard {shard} of service {service} back after its release
    Reclaimed {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// The owner.
        owner: SessionId,
    },
    /// key {key_hash:x} of service {service} went to {to:?}
    Overridden {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// Its owner; `None` for that of its shard.
        to: Option<SessionId>,
    },
    /// service {name} was declared with {shards} shards
    Declared {
        /// Name.
        name: String,
        /// Number of shards.
        shards: u32,
    },
    /// target beside session {session} changed
    TargetChanged {
        /// The session.
        session: SessionId,
    },
    /// release of shard {shard} under epoch {epoch} began
    ReleaseStarted {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// refused: {0}
    Rejected(Rejection),
}

/// Why lessors changed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LessorCause {
    /// fewer lessors than wanted
    TooFew,
    /// a lessor left the table
    LessorEnded,
    /// a lessor stopped renewing
    LessorUnresponsive,
    /// the lease ran out
    LeaseExpired,
    /// other lessors are preferred by the ring
    Preferred,
    /// all lessors had ended and another session adopted it
    Adopted,
    /// another daemon wrote it
    Remote,
}

/// Why a shard moved.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// asked for by a planner or an operator
    Requested,
    /// target is draining or away
    TargetLeaves,
    /// another daemon wrote it
    Remote,
}

/// What this daemon did not do, and why.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Rejection {
    /// join waits until the lease of session {0} at the same address has run out
    JoinWaits(SessionId),
    /// a move of shard {0} of service {1} does not fit the table
    StaleMove(ShardId, ServiceId),
    /// VM {0} was renewed within a lease, so it is not lost
    NotLost(String),
    /// service {0} has another number of shards in the table
    ShardCount(String),
    /// table of a peer breaks an invariant
    MalformedTable,
}

//! Settings, events and effects of the lease core.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::change::Delta;
use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use crate::journal::Decision;
use crate::table::{Table, TargetState};

/// Timing of the lease and of retries.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Lease length.
    pub lease: Duration,
    /// Interval between renewals; at most a third of the lease.
    pub renew_interval: Duration,
    /// Maximum clock drift of a VM in parts per million. A lessee shortens its lease by this share,
    /// and a lessor extends it by the same share before it considers the lease expired.
    pub drift_ppm: u32,
    /// Delay before a new owner serves a shard after an unplanned loss. It applies unless all
    /// targets of the service check grants.
    pub settle_delay: Duration,
    /// Delay between the first ready target of a new service and the first assignment of the
    /// service's shards, so that other targets can announce themselves.
    pub gather_delay: Duration,
    /// Number of lessors per session, 1 or 2. One lessor is the baseline for comparisons.
    pub lessors: usize,
    /// Time for which all lessors must renew without a gap before a session replaces one by a
    /// preferred lessor.
    pub steady_period: Duration,
    /// Minimum back-off after a swap conflict; doubles with each consecutive conflict.
    pub initial_backoff: Duration,
    /// Maximum back-off between calls to the platform store.
    pub max_backoff: Duration,
    /// Time after which the owner of a released shard takes it back if no swap has moved it.
    pub reclaim_delay: Duration,
    /// For tests only: a rule that the core ignores, to show that the checks detect violations of
    /// it.
    pub disabled_rule: Option<Rule>,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(450),
            renew_interval: Duration::from_millis(150),
            drift_ppm: 20_000,
            settle_delay: Duration::from_millis(100),
            gather_delay: Duration::from_millis(500),
            lessors: 2,
            steady_period: Duration::from_secs(5),
            initial_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(300),
            reclaim_delay: Duration::from_secs(1),
            disabled_rule: None,
        }
    }
}

/// Who replied to a collection of tables. The last variant that applies to a pull counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CollectionReplies {
    /// All sessions replied.
    AllSessions,
    /// Another process replied at the address of a session, whose own process has therefore ended.
    RestartedSession,
    /// An address did not reply.
    SilentAddress,
}

/// A safety rule of the lease, numbered as in section 6 of the design page.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// R1: the lessee counts the lease from when it sent the request
    CountFromSend,
    /// R1, R2: lessee and lessor allow for the drift of their clocks
    DriftBound,
    /// R3: a lessor renews only while it holds a valid lease
    LessorNeedsLease,
    /// R4: only lessors in the newest table renew, for the term in that table
    NamedLessors,
    /// R2: a lessor counts a full lease from when it first saw the term
    FullLeaseOnNewTerm,
    /// R4: during a change of lessors only renewals of lessors in both sets count
    NoOutsideRenewals,
    /// R2: a lessor that committed to the end of a lessee does not renew it in that term
    NoGrantAfterCommit,
    /// R2: a session ends only when its lease has expired at every lessor
    AllLessors,
    /// R5: a lessor that ended counts as committed only a full lease later
    EndedLessorWait,
    /// R6: a shard moves only after its owner released it
    ReleaseFirst,
    /// R6: a move carries the epoch of the release
    ReleaseEpoch,
    /// R7: a new daemon waits a full lease before it ends its predecessor, unless the target is
    /// still the same incarnation
    ReplaceWait,
    /// R8: a write with an unknown outcome is resolved by a read before the next write
    ReadBack,
    /// R10: a grant expires no later than the lease
    GrantEnd,
    /// R12: a lease obtained by a swap counts from the start of the swap
    CountFromSwapStart,
    /// Without a reply of each session, a restored table is written only after a lease
    RestorationWait,
}

/// Identity of this daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Random number, unique to the session. A new one replaces it when the session ends.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: String,
    /// Address of the peer port as seen by other daemons.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Time since boot at which this process bound the peer port.
    pub bound_at: Duration,
    /// Seed for change ids and jitter; unique to this process.
    pub seed: u64,
}

/// A request that a member write the join of the sender to the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Random number, unique to the session that joins.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: String,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// The target on the same VM, once it has announced itself.
    pub target: Option<TargetReport>,
    /// Session and term of an earlier process at the same address, which the join ends (R7).
    pub replaces: Option<(SessionId, u32)>,
    /// Whether the new session takes over the shards of the session in `replaces`.
    pub resumes: bool,
}

/// A request that a member write the first entry of the target beside the sender to the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetRequest {
    /// Session of the sender.
    pub session: SessionId,
    /// The target.
    pub target: TargetReport,
}

/// State of the target on this VM, from its announcement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the service.
    pub service: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u16,
    /// Whether the target rejects requests without a valid grant.
    pub checks_grants: bool,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Measured capacity in requests per second; 0 if not yet measured. A new value alone starts no
    /// swap, but the next swap writes it, so report only considerable changes.
    pub capacity: u32,
    /// Increases with each restart of the target; 0 if the target does not report it.
    pub incarnation: u64,
}

/// A service of the deployment configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredService {
    /// Name of the service.
    pub name: String,
    /// Number of shards, a power of two; 0 for an unsharded service.
    pub shards: u32,
}

/// Outcome of a swap at the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The swap took effect.
    Done,
    /// The swap did not and will not take effect.
    Conflict,
    /// No reply: the swap may have taken effect, or may still do so. Or it took effect in another era
    /// of the store than that in which the base version was read.
    Unknown,
}

impl Outcome {
    /// Returns the name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
        }
    }
}

/// A request to renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// The lessee.
    pub lessee: SessionId,
    /// The lessor.
    pub lessor: SessionId,
    /// Term of the lessee in its newest table.
    pub term: u32,
    /// Sequence number, unique per lessee.
    pub sequence: u64,
    /// Table version of the lessee.
    pub version: u64,
}

/// A query to the other lessor of a session whose lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryQuery {
    /// The lessor that sends the query.
    pub from: SessionId,
    /// The lessor that receives it.
    pub to: SessionId,
    /// The lessee.
    pub lessee: SessionId,
    /// Term of the lessee in the sender's newest table.
    pub term: u32,
    /// Table version of the sender.
    pub version: u64,
}

/// A shard under one assignment to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldShard {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the assignment.
    pub epoch: Epoch,
}

/// The session that writes a move to the table after the owner released the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveWriter {
    /// The owner.
    Owner,
    /// The planner that requested the release. If it does not write the move, the owner reclaims
    /// the shard after [`CoreSettings::reclaim_delay`].
    Planner,
}

/// An input to the lease core.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Reply to [`Effect::ReadTable`]. A table that does not exist yet counts as empty. The read
    /// must not have started before the effect was emitted.
    TableRead {
        /// Number of the read.
        read: u64,
        /// The table; `None` if the platform store did not reply.
        table: Option<Arc<Table>>,
        /// Era of the store that replied; 0 if it did not reply.
        store_era: u64,
    },
    /// A reply to another call showed this era of the platform store.
    StoreEra(u64),
    /// The tables requested by [`Effect::CollectTables`] were delivered.
    TablesCollected {
        /// The version in the effect.
        version: u64,
        /// Who replied.
        replies: CollectionReplies,
    },
    /// A whole table arrived from a peer or a watch.
    TableReceived(Arc<Table>),
    /// Consecutive deltas arrived from a peer, oldest first.
    DeltasReceived(Vec<Delta>),
    /// Outcome of [`Effect::Swap`].
    SwapOutcome {
        /// Id of the change.
        change_id: ChangeId,
        /// The outcome.
        outcome: Outcome,
    },
    /// A lessee requests a renewal. The call that handles the event returns one
    /// [`Effect::ReplyRenew`].
    RenewRequest(Renewal),
    /// A lessor replied to a renewal request.
    RenewReply {
        /// The lessor.
        lessor: SessionId,
        /// Sequence number of the request.
        sequence: u64,
        /// Whether the lessor renewed the lease.
        granted: bool,
        /// Table version of the lessor.
        version: u64,
    },
    /// A renewal request failed or timed out.
    RenewTimeout {
        /// The lessor.
        lessor: SessionId,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// The other lessor sent a query. The call that handles the event returns one
    /// [`Effect::ReplyExpired`].
    ExpiredRequest(ExpiryQuery),
    /// The other lessor replied to the query in [`Effect::SendExpired`].
    ExpiredReply {
        /// The query.
        expiry: ExpiryQuery,
        /// Whether the other lessor considers the lease expired and no longer renews it in that
        /// term.
        committed: bool,
        /// Table version of the other lessor.
        version: u64,
    },
    /// The state of the target on this VM changed; `None` if the target no longer announces itself.
    TargetChanged(Option<TargetReport>),
    /// Services of the deployment configuration.
    ServicesDeclared(Vec<DeclaredService>),
    /// A planner or an operator requests the move of a shard of this daemon.
    MoveRequested {
        /// The shard.
        held: HeldShard,
        /// The next owner.
        to: SessionId,
        /// The session that writes the move.
        by: MoveWriter,
    },
    /// No request runs on the shard any more, and the target's grant for it is revoked or expired.
    ShardDrained(HeldShard),
    /// Running requests did not finish in time, so the shard must keep its owner.
    MoveAbandoned(HeldShard),
    /// For a planner: an owner released a shard with [`MoveWriter::Planner`].
    MoveReleased {
        /// The shard.
        held: HeldShard,
        /// The owner that released it.
        from: SessionId,
        /// The next owner.
        to: SessionId,
    },
    /// A planner or an operator requests a separate owner for a key that this daemon owns, or the
    /// removal of that override.
    OverrideRequested {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// The next owner; `None` returns the key to the owner of its shard.
        to: Option<SessionId>,
    },
    /// No request runs for the key any more, and the target's grant for it is revoked or expired.
    KeyDrained {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// Epoch of the key's assignment.
        epoch: Epoch,
    },
    /// A process requests that this member write the join of that process.
    JoinRequested(JoinRequest),
    /// A session requests that this member write the first entry of its target.
    TargetRequested(TargetRequest),
    /// A request of this process to a member was not accepted.
    RequestFailed {
        /// The member.
        to: SessionId,
        /// Whether a process that is no member replied. Otherwise there was no reply.
        refused: bool,
    },
    /// Operators evacuated these data centres. Their targets get shards only if there is no other.
    /// An owner there leaves the moves of its shards to the planner for half of
    /// [`CoreSettings::reclaim_delay`].
    DataCentresEvacuated(BTreeSet<String>),
    /// The daemon shuts down: its shards move to other owners, then its session ends.
    LeaveRequested,
    /// An operator confirms that a VM is permanently lost (R9).
    ConfirmLost {
        /// Name of the VM.
        vm: String,
    },
}

/// An action for the daemon to perform.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a renewal request, then report [`Event::RenewReply`] or [`Event::RenewTimeout`].
    SendRenew(Renewal),
    /// Reply to [`Event::RenewRequest`].
    ReplyRenew {
        /// The request.
        renewal: Renewal,
        /// Whether the lease is renewed.
        granted: bool,
        /// Table version of this daemon.
        version: u64,
    },
    /// Send a query to the other lessor, then report [`Event::ExpiredReply`] if it replies.
    SendExpired(ExpiryQuery),
    /// Reply to [`Event::ExpiredRequest`].
    ReplyExpired {
        /// The query.
        expiry: ExpiryQuery,
        /// Whether this daemon considers the lease expired and no longer renews it in that term.
        committed: bool,
        /// Table version of this daemon.
        version: u64,
    },
    /// Replace the table of version `delta.to_version - 1`, the base version, by `next`. Write it
    /// on condition that the store still has the revision under which the base version was read,
    /// and report [`Event::SwapOutcome`]: [`Outcome::Conflict`] without a write if the base version
    /// was not read. After [`Outcome::Done`], send the delta to peers.
    Swap {
        /// The change.
        delta: Delta,
        /// The table with the change applied.
        next: Arc<Table>,
    },
    /// Pull the table from every other session, deliver the newer ones, then report
    /// [`Event::TablesCollected`]. If the table has no other session, pull from the seeds.
    CollectTables {
        /// Version of the own table.
        version: u64,
    },
    /// Replace the table in the platform store, which was restored from a backup, by `next`. Write
    /// it on condition that the store still has the revision under which `stored_version` was read
    /// in the era of `next`, and report [`Event::SwapOutcome`].
    RestoreTable {
        /// Id of the change.
        change_id: ChangeId,
        /// Version of the table in the store.
        stored_version: u64,
        /// The table to write.
        next: Arc<Table>,
    },
    /// Read the table from the platform store, then report [`Event::TableRead`].
    ReadTable {
        /// Number of the read.
        read: u64,
    },
    /// Send a join request to a member, and pull the table from it shortly afterwards. Report
    /// [`Event::RequestFailed`] if it is not accepted.
    SendJoin {
        /// The member.
        to: SessionId,
        /// The request.
        request: JoinRequest,
    },
    /// Send a target request to a member. Report [`Event::RequestFailed`] if it is not accepted.
    SendTarget {
        /// The member.
        to: SessionId,
        /// The request.
        request: TargetRequest,
    },
    /// Pull updates from a peer that reported a newer table.
    Pull {
        /// The peer.
        from: SessionId,
    },
    /// A newer table was installed.
    TableChanged(Arc<Table>),
    /// Stop admitting requests for the shard, wait for running ones, revoke the grant, then report
    /// [`Event::ShardDrained`] or [`Event::MoveAbandoned`]. If the target does not reply, wait
    /// until its last grant has expired.
    DrainShard(HeldShard),
    /// As [`Effect::DrainShard`], for one key; report [`Event::KeyDrained`].
    DrainKey {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// Epoch of the key's assignment.
        epoch: Epoch,
    },
    /// The result of [`Core::grants`](super::Core::grants) may have changed.
    GrantsChanged,
    /// Write a decision to the log.
    LogDecision(Decision),
    /// This session of the daemon is now in the table.
    Joined(SessionId),
    /// This session of the daemon is no longer in the table. The core joins again unless the daemon
    /// is leaving.
    Ended(SessionId),
}

/// Reason why this daemon must not serve a key.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// daemon is not in the assignment table
    NotJoined,
    /// service is not in the assignment table or is unsharded
    NoService,
    /// shard has no owner
    NoOwner,
    /// session {0} owns the shard
    WrongOwner(SessionId),
    /// lease has expired
    LeaseExpired,
    /// shard is being moved
    Moving,
    /// daemon waits for the last writes of the previous owner
    Settling,
}

impl std::error::Error for Refusal {}

/// Shards that the daemon may grant to its target.
#[derive(Debug, Clone, PartialEq)]
pub struct Grants {
    /// Session of the daemon.
    pub session: SessionId,
    /// Time since boot at which the grant expires.
    pub until: Duration,
    /// Service of the target.
    pub service: ServiceId,
    /// Shards and their epochs. A key override is listed as the pseudo shard [`override_shard`].
    pub shards: Vec<(ShardId, Epoch)>,
}

/// Returns the pseudo shard that represents a key override in grants. Its id is above those of all
/// real shards.
pub fn override_shard(key_hash: u64) -> ShardId {
    ShardId(1 << 31 | (key_hash >> 33) as u32)
}

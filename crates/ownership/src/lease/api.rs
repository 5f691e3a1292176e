//! Settings, events and effects of the lease core.

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
    /// Length of a lease.
    pub lease: Duration,
    /// Time between two renewals; at most a third of the lease.
    pub renew_interval: Duration,
    /// Largest deviation of a VM's clock rate from true time, in parts per million. A lessee
    /// shortens its lease by this share and a lessor lengthens its count by it.
    pub drift_ppm: u32,
    /// Further wait of a new owner after an unplanned loss while targets of the service do not
    /// check grants themselves.
    pub settle_delay: Duration,
    /// Time that a new service waits for its targets to announce themselves before its shards get their
    /// first owners.
    pub gather_delay: Duration,
    /// Lessors per session, 1 or 2. One lessor is the baseline for comparisons.
    pub lessors: usize,
    /// Time without a gap in the renewals of all lessors after which a session moves to its
    /// preferred lessors.
    pub steady_period: Duration,
    /// First delay after a lost race for the table; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest delay between two tries to reach the platform.
    pub max_backoff: Duration,
    /// Time that an owner which released a shard waits for the swap that moves it.
    pub reclaim_delay: Duration,
    /// For tests only: a rule that the core does not follow, to show that the checks notice.
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

/// A safety rule of the lease. The numbers are those of section 6 of the design page.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// R1: the lessee counts from the moment it sent the request
    CountFromSend,
    /// R1, R2: lessee and lessor allow for the drift of their clocks
    DriftBound,
    /// R3: a lessor renews only while its own lease is live
    LessorNeedsLease,
    /// R4: only lessors named by the newest table renew, for the term of that table
    NamedLessors,
    /// R2: a lessor counts a full lease from the first sight of a term
    FullLeaseOnNewTerm,
    /// R4: during a change of lessors only those in both sets count
    NoOutsideRenewals,
    /// R2: a committed lessor grants nothing more in that term
    NoGrantAfterCommit,
    /// R2: a session ends only when each lessor has counted it out
    AllLessors,
    /// R5: an ended lessor counts as committed only a full lease later
    EndedLessorWait,
    /// R6: an owner releases a shard before it moves
    ReleaseFirst,
    /// R6: a move names the epoch of the release
    ReleaseEpoch,
    /// R7: a new daemon waits a full lease before it ends its predecessor, unless the same life of
    /// the target is still beside it
    ReplaceWait,
    /// R8: a write without answer is read back before anything else
    ReadBack,
    /// R10: a grant ends no later than the lease
    GrantEnd,
    /// R12: the lease by swap counts from the start of the swap
    CountFromSwapStart,
}

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Random number of this process, not used by any other.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: String,
    /// Address of the peers port as other daemons reach it.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Boot time at which this process bound the peers port.
    pub bound_at: Duration,
    /// Seed of the random numbers for change ids and jitter; differs between processes.
    pub seed: u64,
}

/// A process that asks a member to write its join.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Random number of the process.
    pub incarnation: u64,
    /// Name of the VM.
    pub vm: String,
    /// Address of the peers port.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// The target beside it, once it announced itself.
    pub target: Option<TargetReport>,
    /// Session and term of an earlier process at the address, which the request may end (R7).
    pub replaces: Option<(SessionId, u32)>,
    /// Whether the request takes over the shards of that session.
    pub resumes: bool,
}

/// The target beside the daemon, as it announced itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it refuses requests without a current grant.
    pub checks_grants: bool,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Measured capacity in requests per second; 0 while it is not yet measured. Each new value
    /// costs a swap, so report changes above a tenth only.
    pub capacity: u32,
    /// Names one life of the target, above those before it; 0 when it does not tell its lives apart.
    pub incarnation: u64,
}

/// A service of the deployment configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredService {
    /// Name.
    pub name: String,
    /// Number of shards, a power of two; 0 for a service that is not divided by key.
    pub shards: u32,
}

/// What the platform's service said of a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// It did not and will not take effect.
    Conflict,
    /// There is no answer: it may have taken effect, or may yet.
    Unknown,
}

/// A request to renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// The lessee.
    pub lessee: SessionId,
    /// The lessor that is meant.
    pub lessor: SessionId,
    /// Term of the lessee in its own newest table.
    pub term: u32,
    /// Numbers the requests of the lessee.
    pub sequence: u64,
    /// Version of the lessee's table.
    pub version: u64,
}

/// A question to the other lessor of a session whose lease has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryQuery {
    /// The session that asks.
    pub from: SessionId,
    /// The session that is asked.
    pub to: SessionId,
    /// The lessee.
    pub lessee: SessionId,
    /// Term of the lessee in the asker's newest table.
    pub term: u32,
    /// Version of the asker's table.
    pub version: u64,
}

/// One assignment of a shard that its owner gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldShard {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// The epoch under which the owner holds it.
    pub epoch: Epoch,
}

/// Who swaps a move after the owner released the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveWriter {
    /// The owner itself.
    Owner,
    /// The planner that asked for the release. The owner takes the shard back after
    /// [`CoreSettings::reclaim_delay`].
    Planner,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Answer to [`Effect::ReadTable`]; `None` when the platform did not answer. An absent key is
    /// an empty table. A read that reached the platform before the effect must not be used.
    TableRead {
        /// Number of the read.
        read: u64,
        /// The table.
        table: Option<Arc<Table>>,
    },
    /// A whole table from a peer or a watch.
    TableReceived(Arc<Table>),
    /// Consecutive deltas from a peer, oldest first.
    DeltasReceived(Vec<Delta>),
    /// Answer to [`Effect::Swap`].
    SwapOutcome {
        /// Id of the attempt.
        change_id: ChangeId,
        /// What the platform said.
        outcome: Outcome,
    },
    /// A lessee asks for a renewal. Answered by one [`Effect::ReplyRenew`] of the same call.
    RenewRequest(Renewal),
    /// A lessor answered; the request is repeated as it was sent.
    RenewReply {
        /// The lessor.
        lessor: SessionId,
        /// Sequence of the request.
        sequence: u64,
        /// Whether it granted the renewal.
        granted: bool,
        /// Version of the lessor's table.
        version: u64,
    },
    /// A renewal failed or timed out.
    RenewTimeout {
        /// The lessor.
        lessor: SessionId,
        /// Sequence of the request.
        sequence: u64,
    },
    /// The other lessor asks. Answered by one [`Effect::ReplyExpired`] of the same call.
    ExpiredRequest(ExpiryQuery),
    /// The other lessor answered; the question is repeated as it was sent.
    ExpiredReply {
        /// The question.
        expiry: ExpiryQuery,
        /// Whether it has counted the lessee out and grants it nothing more in that term.
        committed: bool,
        /// Version of its table.
        version: u64,
    },
    /// The target beside the daemon announced something new, or went silent (`None`).
    TargetChanged(Option<TargetReport>),
    /// Services of the deployment configuration.
    ServicesDeclared(Vec<DeclaredService>),
    /// A planner or an operator wants a shard of this daemon moved.
    MoveRequested {
        /// What is to move.
        held: HeldShard,
        /// The next owner.
        to: SessionId,
        /// Who swaps.
        by: MoveWriter,
    },
    /// The shard has no running work left and the target's grant for it is taken back or has run
    /// out.
    ShardDrained(HeldShard),
    /// Running work did not finish in time; the shard stays.
    MoveAbandoned(HeldShard),
    /// For a planner: an owner released a shard for it ([`MoveWriter::Planner`]).
    MoveReleased {
        /// What was released.
        held: HeldShard,
        /// The owner that released it.
        from: SessionId,
        /// The next owner.
        to: SessionId,
    },
    /// Gives a key of this daemon an owner of its own, or returns it to its shard (`None`).
    OverrideRequested {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// The next owner.
        to: Option<SessionId>,
    },
    /// The key has no running work left and the grant that covers it is taken back.
    KeyDrained {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// Epoch of the key's assignment.
        epoch: Epoch,
    },
    /// A process asks this member to write its join.
    JoinRequested(JoinRequest),
    /// The daemon shuts down: shards move away, then the session ends.
    LeaveRequested,
    /// An operator says that a VM is lost for good (R9).
    ConfirmLost {
        /// Name of the VM.
        vm: String,
    },
}

/// What the daemon has to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Ask a lessor for a renewal and report [`Event::RenewReply`] or [`Event::RenewTimeout`].
    SendRenew(Renewal),
    /// Answer [`Event::RenewRequest`].
    ReplyRenew {
        /// The request.
        renewal: Renewal,
        /// Whether the lease is renewed.
        granted: bool,
        /// Version of this daemon's table.
        version: u64,
    },
    /// Ask the other lessor and report [`Event::ExpiredReply`] when it answers.
    SendExpired(ExpiryQuery),
    /// Answer [`Event::ExpiredRequest`].
    ReplyExpired {
        /// The question.
        expiry: ExpiryQuery,
        /// Whether this daemon is committed.
        committed: bool,
        /// Version of this daemon's table.
        version: u64,
    },
    /// Replace the table of version `delta.to - 1` by `next`. Write against the revision under
    /// which that version was read; report [`Outcome::Conflict`] without a write when the daemon
    /// has not read it. After [`Outcome::Done`] pass the delta on to peers.
    Swap {
        /// The change.
        delta: Delta,
        /// The table with the change applied.
        next: Arc<Table>,
    },
    /// Read the table from the platform and report [`Event::TableRead`].
    ReadTable {
        /// Number of the read.
        read: u64,
    },
    /// Ask a member to write the join of this process, and pull from it a little later.
    SendJoin {
        /// The member.
        to: SessionId,
        /// This process.
        request: JoinRequest,
    },
    /// Ask a peer for what is newer than this daemon's table.
    Pull {
        /// The peer, which reported a higher version.
        from: SessionId,
    },
    /// The newest table of this daemon changed.
    TableChanged(Arc<Table>),
    /// Stop admitting to the shard, let running work finish, take the grant back and report
    /// [`Event::ShardDrained`] or [`Event::MoveAbandoned`]. For a target that does not answer,
    /// wait until its last grant has run out.
    DrainShard(HeldShard),
    /// As [`Effect::DrainShard`] for one key; report [`Event::KeyDrained`].
    DrainKey {
        /// The service.
        service: ServiceId,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// Epoch of the key's assignment.
        epoch: Epoch,
    },
    /// What the target may be granted changed; see [`Core::grants`](super::Core::grants).
    GrantsChanged,
    /// A decision for the journal.
    Journal(Decision),
    /// This daemon is now a session of the table.
    Joined(SessionId),
    /// The session is no longer in the table. The core joins anew unless it was leaving.
    Ended(SessionId),
}

/// Why a daemon may not serve a key now.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// daemon is not in the assignment table
    NotJoined,
    /// service is not in the assignment table or is not divided by key
    NoService,
    /// nobody owns the shard
    NoOwner,
    /// session {0} owns the shard
    WrongOwner(SessionId),
    /// lease has run out
    LeaseExpired,
    /// shard is being moved
    Moving,
    /// daemon waits for the former owner's last writes to settle
    Settling,
}

impl std::error::Error for Refusal {}

/// What the target beside the daemon may be granted.
#[derive(Debug, Clone, PartialEq)]
pub struct Grants {
    /// Session of the daemon.
    pub session: SessionId,
    /// Boot time at which the grant ends.
    pub until: Duration,
    /// Service of the target.
    pub service: ServiceId,
    /// Shards and their epochs. A key override stands as the pseudo shard
    /// [`override_shard`] of its key.
    pub shards: Vec<(ShardId, Epoch)>,
}

/// Returns the pseudo shard by which grants name a key with an owner of its own. It lies above
/// every real shard.
pub fn override_shard(key_hash: u64) -> ShardId {
    ShardId(1 << 31 | (key_hash >> 33) as u32)
}

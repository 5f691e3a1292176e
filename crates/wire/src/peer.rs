//! Messages between daemons.

use masticdeal_ownership::change::Delta;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::Table;
use masticdeal_policy::Verdict;
use serde::{Deserialize, Serialize};

/// Versions that the sender holds. Whoever is behind pulls from the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the assignment table.
    pub table: u64,
    /// Revision of the deployment configuration.
    pub config: u64,
}

/// Asks the lessor to renew the sender's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The lessee.
    pub session: SessionId,
    /// The lessee's term in its newest table.
    pub term: u32,
    /// The lessor that this request is meant for.
    pub lessor: SessionId,
    /// Numbers the lessee's requests; the reply repeats it.
    pub sequence: u64,
    /// What the lessee holds.
    pub versions: Versions,
}

/// Answers [`Renew`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Sequence of the request.
    pub sequence: u64,
    /// Whether the lease is renewed.
    pub granted: bool,
    /// What the lessor holds.
    pub versions: Versions,
}

/// Asks the other lessor whether it has counted a lessee out as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiryRequest {
    /// The session that asks.
    pub from: SessionId,
    /// The lessee.
    pub lessee: SessionId,
    /// The lessee's term in the sender's newest table.
    pub term: u32,
    /// What the sender holds.
    pub versions: Versions,
}

/// Answers [`ExpiryRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiryReply {
    /// Whether the sender has counted the lessee out and grants it nothing more in this term.
    pub committed: bool,
    /// What the sender holds.
    pub versions: Versions,
}

/// Asks for everything newer than the sender's versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// What the sender holds.
    pub have: Versions,
}

/// Update of the table and the configuration: the answer to [`Pull`], and the message of the
/// dissemination tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Root of the dissemination tree; `None` in an answer to a pull.
    pub origin: Option<SessionId>,
    /// Consecutive deltas, oldest first; empty when `table` is set or nothing is newer.
    pub deltas: Vec<Delta>,
    /// The whole table, when the sender no longer holds the deltas that are asked for.
    pub table: Option<Table>,
    /// Why the deltas that move shards were asked for, by the version that they made.
    pub reasons: Vec<(u64, MoveReason)>,
    /// A newer configuration.
    pub config: Option<ConfigValue>,
}

/// Why a move was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveReason {
    /// The planner evens out the load.
    Balance,
    /// The planner gives a hot key an owner of its own.
    HotKey,
    /// An operator, by the name that the tool sent.
    Operator(String),
}

/// The deployment configuration as it is stored and passed on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Rises by one with each accepted change.
    pub revision: u64,
    /// Who made the change, as the tool reported it.
    pub author: String,
    /// Unix time of the change in milliseconds.
    pub time_ms: u64,
    /// Names the attempt.
    pub change_id: u64,
    /// Change ids of the changes before it, oldest first, for authors who lost the answer.
    pub recent: Vec<u64>,
    /// The INI text.
    pub text: String,
}

/// Asks an owner to release a shard or a key, so that it can be moved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The service.
    pub service: ServiceId,
    /// The shard, or the shard of the key.
    pub shard: ShardId,
    /// xxh3 hash of the key, to move the key alone.
    pub key_hash: Option<u64>,
    /// The epoch under which the owner holds it.
    pub epoch: Epoch,
    /// The session that is to own it next.
    pub to: SessionId,
    /// Why.
    pub reason: MoveReason,
}

/// Answers [`Release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The owner drains the shard and then swaps the move itself.
    Started,
    /// The owner does not hold the shard under that epoch.
    NotOwner,
}

/// What a target handed over for the next owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// Epoch under which the next owner holds the shard.
    pub epoch: Epoch,
    /// The target's own text.
    pub text: String,
}

/// Asks a member to call the platform's service for the assignment table, for a daemon that does not
/// reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Read the table.
    Read,
    /// Write the table when its key stands at a revision.
    Swap {
        /// Revision that the key stands at; 0 means that it must not exist.
        expect: u64,
        /// The encoded table.
        bytes: Vec<u8>,
    },
}

/// Answers [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The member does not reach the service either. Nothing was written.
    Unavailable,
    /// Revision and bytes of the table; `None` when there is none yet.
    Table(Option<(u64, Vec<u8>)>),
    /// The write took effect under this revision.
    Done(u64),
    /// The key stands at this revision; the write did not take effect.
    Conflict(u64),
    /// No answer of the service: the write may have taken effect, or may yet.
    Unknown,
}

/// Asks a daemon for the load of what it owns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// What the sender holds.
    pub versions: Versions,
}

/// Answers [`LoadRequest`]. Rates are requests per second, smoothed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load of the target.
    pub load: LoadHint,
    /// Measured capacity in requests per second; 0 while it is not yet measured.
    pub capacity: f32,
    /// All requests for the target.
    pub rate: f32,
    /// Rate of each shard with any requests.
    pub shards: Vec<(ShardId, f32)>,
    /// Hash and rate of the hottest keys.
    pub keys: Vec<(u64, f32)>,
    /// What the daemon holds.
    pub versions: Versions,
}

/// Head of a forwarded request. The body of the request follows in the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The service.
    pub service: ServiceId,
    /// The shard, for a service that is divided by key.
    pub shard: Option<ShardId>,
    /// xxh3 hash of the key, for a service that is divided by key.
    pub key_hash: Option<u64>,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Length of the path prefix by which the route was found; 0 without a route. Requests of one
    /// route are alike, whatever follows the prefix.
    pub prefix_bytes: u16,
    /// End-to-end headers of the request, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Remaining time in milliseconds when the message was written.
    pub deadline_ms: u32,
    /// Time to the objective in milliseconds when the message was written; 0 once it is missed,
    /// `None` when there is no objective.
    pub objective_ms: Option<u32>,
    /// How urgent the request is among those of its service; 0 is the most urgent.
    pub rank: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Identifier of the request.
    pub request_id: String,
    /// W3C trace context of the sender's span.
    pub traceparent: String,
    /// What the sender holds.
    pub versions: Versions,
}

/// Head of the answer to [`Forward`]. The body of the target's answer follows in the same stream;
/// the stream ends without a reset only when the body is whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The target answered.
    Response {
        /// Status of the answer.
        status: u16,
        /// End-to-end headers of the answer, in order.
        headers: Vec<(String, Vec<u8>)>,
        /// Load of the target after this request.
        load: LoadHint,
    },
    /// There is no answer of the target.
    Failed {
        /// What is known about the execution.
        verdict: Verdict,
        /// Why it failed.
        reason: Reason,
        /// When a retry may succeed, in milliseconds.
        retry_after_ms: Option<u32>,
        /// What the owner's daemon holds.
        versions: Versions,
        /// Load of the target.
        load: LoadHint,
    },
}

/// Load of the target beside a daemon, as that daemon counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Requests running at the target.
    pub running: u16,
    /// Requests in the queue.
    pub queued: u16,
    /// Smoothed service time in microseconds.
    pub service_us: u32,
}

/// Why a request has no answer of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No service has the path.
    NoService,
    /// The request carries no key, and the service is divided by key.
    NoKey,
    /// Nobody owns the shard at the moment.
    NoOwner,
    /// No target of the service takes work.
    NoTarget,
    /// The daemon does not own the shard in its newest table.
    WrongOwner,
    /// The owner's lease has run out.
    LeaseExpired,
    /// The shard is being moved.
    Moving,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// The target refused the work.
    TargetRefused,
    /// The target is leaving or not ready.
    TargetAway,
    /// The connection to the target failed.
    TargetFailed,
    /// The connection to the owner's daemon failed.
    PeerFailed,
    /// The connection went silent.
    Silent,
    /// The caller went away.
    Cancelled,
    /// A bound of the settings is exceeded.
    TooLarge,
    /// The message is malformed.
    Malformed,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The retry budget is spent.
    RetryBudget,
    /// The headers of the request exceed their bound.
    HeadersTooLarge,
    /// Too many requests of callers are in progress.
    TooManyRequests,
    /// Too many connections of callers are open.
    TooManyConnections,
    /// The daemon has no configuration yet.
    NotReady,
}

impl Reason {
    /// Returns the text of the reason header and of metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoKey => "no-key",
            Self::NoOwner => "no-owner",
            Self::NoTarget => "no-target",
            Self::WrongOwner => "wrong-owner",
            Self::LeaseExpired => "lease-expired",
            Self::Moving => "moving",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::TargetRefused => "target-refused",
            Self::TargetAway => "target-away",
            Self::TargetFailed => "target-failed",
            Self::PeerFailed => "peer-failed",
            Self::Silent => "silent-connection",
            Self::Cancelled => "cancelled",
            Self::TooLarge => "too-large",
            Self::Malformed => "malformed",
            Self::ShuttingDown => "shutting-down",
            Self::RetryBudget => "retry-budget",
            Self::HeadersTooLarge => "headers-too-large",
            Self::TooManyRequests => "too-many-requests",
            Self::TooManyConnections => "too-many-connections",
            Self::NotReady => "not-ready",
        }
    }
}

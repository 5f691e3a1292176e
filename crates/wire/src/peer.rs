//! Messages between daemons.

use masticdeal_ownership::change::Delta;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::Table;
use masticdeal_policy::Verdict;
use masticdeal_policy::attempts::AttemptId;
use masticdeal_policy::evacuation::EvacuatedSet;
use serde::{Deserialize, Serialize};

pub use crate::reason::Reason;
use crate::target::ColdState;
use crate::text_delta::{self, TextDelta};
pub use crate::versions::Versions;

/// What the sender of a message knows about its configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProof {
    /// Digest of its text and of the names of the evacuated data centres. Operators may give out a
    /// revision again after the store has lost it.
    pub digest: u64,
    /// How long ago the sender knew that it was the newest configuration, in milliseconds; `None` if
    /// it never did.
    pub age_ms: Option<u32>,
}

/// Requests the renewal of the sender's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The lessee.
    pub session: SessionId,
    /// Term of the lessee in its newest table.
    pub term: u32,
    /// The lessor.
    pub lessor: SessionId,
    /// Sequence number of the request, echoed in the reply.
    pub sequence: u64,
    /// Versions of the lessee.
    pub versions: Versions,
    /// What the lessee knows about its configuration.
    pub config_proof: ConfigProof,
}

/// Reply to [`Renew`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the lease is renewed.
    pub granted: bool,
    /// Versions of the lessor.
    pub versions: Versions,
    /// What the lessor knows about its configuration.
    pub config_proof: ConfigProof,
}

/// Asks the other lessor of a lessee whether it considers the lease expired as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiryRequest {
    /// The lessor that sends the request.
    pub from: SessionId,
    /// The lessee.
    pub lessee: SessionId,
    /// Term of the lessee in the sender's newest table.
    pub term: u32,
    /// Versions of the sender.
    pub versions: Versions,
}

/// Reply to [`ExpiryRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiryReply {
    /// Whether the replying lessor considers the lease expired and no longer renews it in that
    /// term.
    pub committed: bool,
    /// Versions of the sender.
    pub versions: Versions,
}

/// Requests everything newer than the sender's versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Versions of the sender.
    pub versions: Versions,
    /// Digest of the text of the sender's configuration, on which a difference can be based.
    pub config_digest: u64,
}

/// Newer versions of the table and the configuration. Sent as the reply to [`Pull`] and along the
/// dissemination tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The daemon that sent the update first, which is the root of the dissemination tree. In a
    /// reply to a pull, the session of the sender.
    pub origin: Option<SessionId>,
    /// Consecutive deltas, oldest first; empty if `table` is set or the table is not newer.
    pub deltas: Vec<Delta>,
    /// The whole table, if the sender no longer has the requested deltas.
    pub table: Option<Table>,
    /// Where the platform store has the newest of these versions, if the sender knows it. A swap of
    /// that version then needs no read.
    pub stored: Option<StoredTable>,
    /// Reasons for moves, by the table version that contains the move.
    pub move_reasons: Vec<(u64, MoveReason)>,
    /// A newer configuration.
    pub config: Option<ConfigUpdate>,
    /// A newer set of evacuated data centres.
    #[serde(with = "crate::format::later")]
    pub evacuations: Option<EvacuatedSet>,
    /// Set if the store has just confirmed to the origin that a configuration is the newest.
    pub confirmation: Option<ConfigConfirmation>,
}

/// Answer of the platform store that a configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigConfirmation {
    /// Time of the confirmation by the origin's clock, in milliseconds. Only compared with that of
    /// other confirmations of the same origin.
    pub confirmed_ms: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// What the origin knows about it.
    pub proof: ConfigProof,
}

/// A configuration, with its text as differences to an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The configuration without its text.
    pub head: ConfigValue,
    /// Consecutive differences. The first one is based on the text that the receiver is known or
    /// supposed to have, and the last one produces the text of the configuration.
    pub deltas: Vec<TextDelta>,
}

impl ConfigUpdate {
    /// Returns the configuration.
    ///
    /// # Errors
    ///
    /// The [`text_delta::Error`] of the first difference that does not apply to `base`, the text
    /// that the receiver has. If that is [`text_delta::Error::OtherBase`], the receiver needs the
    /// differences to its own text.
    pub fn apply(&self, base: &str) -> text_delta::Result<ConfigValue> {
        let is_whole = |delta: &TextDelta| delta.base_digest() == text_delta::digest("");
        let mut text = match self.deltas.first() {
            Some(first) if is_whole(first) => String::new(),
            _ => base.to_owned(),
        };
        for delta in &self.deltas {
            text = delta.apply(&text)?;
        }
        Ok(ConfigValue {
            text,
            ..self.head.clone()
        })
    }
}

/// A version of the table in the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable {
    /// Version of the table.
    pub version: u64,
    /// Era of the store.
    pub era: u64,
    /// Revision of the table's key in that era.
    pub revision: u64,
}

/// Reason for a requested move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveReason {
    /// The planner balances the load.
    Balance,
    /// The planner gives a hot key a separate owner.
    HotKey,
    /// An operator requested the move. The text is the name that the command-line tool sent.
    Operator(String),
}

/// The deployment configuration as stored and disseminated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigValue {
    /// Increases by one with each accepted change.
    pub revision: u64,
    /// Author of the change, as sent by the command-line tool.
    pub author: String,
    /// Unix time of the change in milliseconds.
    pub time_ms: u64,
    /// Identifies the attempt to write the change.
    pub change_id: u64,
    /// Ids of previous changes, oldest first. An author who got no reply finds out from them
    /// whether the change was made.
    pub recent: Vec<u64>,
    /// The configuration as INI text.
    pub text: String,
}

/// Requests that an owner release a shard or a key for a move to another owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The service.
    pub service: ServiceId,
    /// The shard, or the shard of the key.
    pub shard: ShardId,
    /// xxh3 hash of the key, if only the key is to move.
    pub key_hash: Option<u64>,
    /// Epoch under which the owner holds the shard or key.
    pub epoch: Epoch,
    /// The next owner.
    pub to: SessionId,
    /// Reason for the move.
    pub reason: MoveReason,
    /// The planner, if it writes the moves of several owners in one swap. Otherwise the owner writes
    /// the move.
    pub writer: Option<SessionId>,
}

/// Tells a planner which shards an owner has released for moves that the planner writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The owner.
    pub from: SessionId,
    /// The shards.
    pub shards: Vec<ReleasedShard>,
}

/// A shard that its owner has released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedShard {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// Epoch under which the owner held the shard.
    pub epoch: Epoch,
    /// The next owner.
    pub to: SessionId,
}

/// Reply to [`Release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The owner accepted the request. It drains the shard or key, then writes the move itself.
    Started,
    /// The receiver does not own the shard or key under that epoch, or it cannot move a single key
    /// of the service, whose targets hold ranges.
    NotOwner,
}

/// Handover data of the target that released a shard, for the target of the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The service.
    pub service: ServiceId,
    /// The shard.
    pub shard: ShardId,
    /// Epoch under which the next owner holds the shard.
    pub epoch: Epoch,
    /// Data of the target, opaque to the daemons.
    pub payload: String,
}

/// Requests that a member read or write the assignment table in the platform store for the sender,
/// which cannot reach the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Read the table.
    Read,
    /// Write the table if its key has the expected revision.
    Swap {
        /// Expected revision; 0 means that the key must not exist.
        expect: u64,
        /// Era of the store in which the expected revision was read.
        era: u64,
        /// The encoded table.
        bytes: Vec<u8>,
    },
}

/// Reply to [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The member cannot reach the store either. Nothing was written.
    Unavailable,
    /// The store's reply to a read.
    Table {
        /// Era of the store.
        era: u64,
        /// Revision and encoded table; `None` if there is no table yet.
        value: Option<(u64, Vec<u8>)>,
    },
    /// The write took effect.
    Done {
        /// Era of the store.
        era: u64,
        /// Revision of the key.
        revision: u64,
    },
    /// The key has this revision; the write did not take effect.
    Conflict(u64),
    /// The store did not reply: the write may have taken effect, or may still do so.
    Unknown,
}

/// Requests the load of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Versions of the sender.
    pub versions: Versions,
}

/// Reply to [`LoadRequest`]. Rates are in requests per second. Those of all requests and of shards
/// are means over the last measured window, in which a refused request has a lower weight; those of
/// keys follow from decaying counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load of the target.
    pub load: LoadHint,
    /// Measured capacity in requests per second; 0 if not yet measured.
    pub capacity: f32,
    /// Rate of all requests.
    pub rate: f32,
    /// Rates of the shards that receive requests.
    pub shards: Vec<(ShardId, f32)>,
    /// Hashes and rates of the hottest keys.
    pub keys: Vec<(u64, f32)>,
    /// Versions of the sender.
    pub versions: Versions,
    /// Set while the target is cold.
    #[serde(with = "crate::format::later")]
    pub cold: Option<ColdState>,
}

/// Head of a forwarded request. The request body follows on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The service.
    pub service: ServiceId,
    /// The shard; `None` for an unsharded service.
    pub shard: Option<ShardId>,
    /// xxh3 hash of the key; `None` for an unsharded service.
    pub key_hash: Option<u64>,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Length of the path prefix of the matching route in bytes; 0 without a route. The classifier
    /// treats requests of one route alike, whatever follows the prefix.
    pub prefix_bytes: u16,
    /// End-to-end headers of the request, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time to the deadline in milliseconds when the message was sent.
    pub deadline_ms: u32,
    /// Time to the latency objective in milliseconds when the message was sent; 0 if it is already
    /// missed, `None` if there is no objective.
    pub objective_ms: Option<u32>,
    /// Time limit in milliseconds as the caller sent it, before the limit of the route is applied;
    /// `None` if it sent none. By this limit the owner recognises callers that it refused before.
    #[serde(with = "crate::format::later")]
    pub caller_limit_ms: Option<u32>,
    /// Priority among the requests of the service; 0 is the highest.
    pub rank: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Identifier of the request.
    pub request_id: String,
    /// W3C trace context of the sender's span.
    pub traceparent: String,
    /// Versions of the sender.
    pub versions: Versions,
    /// Identifies this attempt; `None` if it is not sent to another daemon.
    #[serde(with = "crate::format::later")]
    pub attempt: Option<AttemptId>,
}

/// Head of the reply to [`Forward`]. If the target sent a response, its body follows on the same
/// stream, which ends without a reset only if the body is complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The target sent a response.
    Response {
        /// Status of the response.
        status: u16,
        /// End-to-end headers of the response, in order.
        headers: Vec<(String, Vec<u8>)>,
        /// Load of the target after this request.
        load: LoadHint,
    },
    /// The target sent no response.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Reason for the failure.
        reason: Reason,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: Option<u32>,
        /// Versions of the owner daemon.
        versions: Versions,
        /// Load of the owner daemon's target.
        load: LoadHint,
    },
}

/// Load of a target as counted by its daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Number of requests running at the target.
    pub running: u16,
    /// Number of queued requests.
    pub queued: u16,
    /// Smoothed service time in microseconds.
    pub service_us: u32,
    /// Time in milliseconds until a new request may start at a cold target; 0 if it is warm.
    #[serde(with = "crate::format::later")]
    pub start_wait_ms: u16,
}

//! The assignment table: the sessions, and the owner and epoch of every shard.
//!
//! The whole table is one value in the platform store, so that all changes have one total order.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, TableVersion, shard_of};

/// Maximum number of shards of all services together. It keeps the encoded table below
/// [`MAX_TABLE_BYTES`].
pub const MAX_SHARDS: usize = 65_536;

/// Maximum number of sessions.
pub const MAX_SESSIONS: usize = 2_048;

/// Maximum number of services.
pub const MAX_SERVICES: usize = 256;

/// Maximum number of key overrides per service.
pub const MAX_OVERRIDES: usize = 64;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum size of the encoded table in bytes; the platform store accepts no larger value.
pub const MAX_TABLE_BYTES: usize = 1 << 20;

/// Maximum number of departures that the table keeps.
pub const MAX_DEPARTURES: usize = 512;

/// Number of change ids that the table keeps. A daemon whose swap got no reply looks for its change
/// id among them to find out whether the swap took effect.
pub const MAX_RECENT_CHANGES: usize = 128;

/// The whole assignment table.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Incremented by each accepted swap; 0 before the first.
    pub version: u64,
    /// Id of the next session that joins.
    pub next_session: u32,
    /// Sessions in ascending order of their ids.
    pub sessions: Vec<Session>,
    /// Services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// The last [`MAX_RECENT_CHANGES`] change ids, oldest first.
    pub recent_changes: Vec<ChangeId>,
    /// Era of the platform store in which the table was last written: the number of times that the
    /// store had been restored from a backup.
    pub era: u64,
    /// Targets that have announced that they leave, at most one for each address, oldest first.
    pub departures: Vec<Departure>,
}

/// The departure of a target. It outlives the session, so that a daemon that restarts beside the
/// target does not take it back on a report from before the departure.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// Address of the peer port of the daemon beside the target.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub incarnation: u64,
}

/// The session of one daemon process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Id, allocated by the table.
    pub id: SessionId,
    /// Random number, unique to the session, by which the daemon recognises its own session.
    pub incarnation: u64,
    /// Name of the VM from the daemon's settings.
    pub vm: String,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Region from the daemon's settings.
    pub region: String,
    /// Data centre from the daemon's settings.
    pub data_centre: String,
    /// Up to two sessions that renew this session's lease; empty if there was no other session when
    /// they were last chosen.
    pub lessors: Vec<SessionId>,
    /// Incremented by each change of the lessors.
    pub term: u32,
    /// The target beside the daemon; `None` until a target has announced itself.
    pub target: Option<TargetInfo>,
}

/// The target beside a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u16,
    /// Whether the target itself rejects requests without a current grant.
    pub checks_grants: bool,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Measured capacity in requests per second, a weight in the assignment of shards; 0 until it
    /// is measured.
    pub capacity: u32,
    /// Increases with each restart of the target process, which then holds none of its earlier
    /// grants; 0 if the target does not report it.
    pub incarnation: u64,
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// Unavailable, for example because it stopped responding.
    Away,
    /// Has announced that it leaves; otherwise like [`TargetState::Draining`].
    Departing,
}

/// A service with its shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name in the deployment configuration.
    pub name: String,
    /// One entry per shard; empty for an unsharded service.
    pub shards: Vec<Shard>,
    /// Hot keys that are assigned separately from their shards.
    pub overrides: Vec<KeyOverride>,
}

/// Assignment of one shard, or of one key in a [`KeyOverride`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The owner; `None` while the shard or key is unassigned and must not be served.
    pub owner: Option<SessionId>,
    /// Increases with each assignment of the shard and each key override that is created in it.
    pub epoch: Epoch,
}

/// Assignment of one hot key, which overrides that of its shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyOverride {
    /// xxh3 hash of the key.
    pub key_hash: u64,
    /// Owner and epoch of the key.
    pub assignment: Shard,
}

impl Table {
    /// Returns the version as a [`TableVersion`].
    pub fn table_version(&self) -> TableVersion {
        TableVersion(self.version)
    }

    /// Returns the session with this id.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        let index = self.sessions.binary_search_by_key(&id, |s| s.id).ok()?;
        Some(&self.sessions[index])
    }

    /// Returns the id of the service with this name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        let index = self.services.iter().position(|s| s.name == name)?;
        Some(ServiceId(index as u16))
    }

    /// Returns the service with this id.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id.index())
    }

    /// Returns whether this incarnation of the target beside a daemon has announced that it leaves.
    pub fn has_departed(&self, address: SocketAddr, incarnation: u64) -> bool {
        let departure = Departure {
            address,
            incarnation,
        };
        self.departures.contains(&departure)
    }
}

impl Service {
    /// Returns the shard of a key, regardless of overrides. The service must be sharded.
    pub fn shard_of(&self, key_hash: u64) -> Shard {
        self.shards[shard_of(key_hash, self.shards.len() as u32).index()]
    }
}

/// Why a table cannot be encoded or decoded.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// table of {0} bytes exceeds the limit of 1048576 bytes
    TooLarge(usize),
    /// malformed table: {0}
    Malformed(String),
    /// {0} trailing bytes after the table
    TrailingBytes(usize),
}

impl std::error::Error for CodecError {}

/// First byte of a stored table with an era, followed by the era and the other fields. A table of
/// era 0 has neither. No integer starts with this byte, and a table of era 0 starts with one.
const ERA_MARKER: u8 = 255;

/// First byte of a stored table with departures, followed by these and the rest of the table. No
/// 64-bit integer starts with this byte.
const DEPARTURES_MARKER: u8 = 254;

/// Fields of a stored table that follow the era.
#[derive(Serialize)]
struct StoredFields<'a> {
    version: u64,
    next_session: u32,
    sessions: &'a [Session],
    services: &'a [Service],
    recent_changes: &'a [ChangeId],
}

/// Encodes a table as bincode with the standard configuration.
///
/// # Errors
///
/// [`CodecError::TooLarge`] above [`MAX_TABLE_BYTES`]; [`CodecError::Malformed`] if the table
/// cannot be serialized.
pub fn encode(table: &Table) -> Result<Vec<u8>, CodecError> {
    let config = bincode::config::standard();
    let fields = StoredFields {
        version: table.version,
        next_session: table.next_session,
        sessions: &table.sessions,
        services: &table.services,
        recent_changes: &table.recent_changes,
    };
    let encoded = match table.era {
        0 => bincode::serde::encode_to_vec(&fields, config),
        era => bincode::serde::encode_to_vec((ERA_MARKER, era, &fields), config),
    };
    let mut bytes = encoded.map_err(|e| CodecError::Malformed(e.to_string()))?;
    if !table.departures.is_empty() {
        let prefix = (DEPARTURES_MARKER, &table.departures);
        let prefix = bincode::serde::encode_to_vec(prefix, config);
        let prefix = prefix.map_err(|e| CodecError::Malformed(e.to_string()))?;
        bytes.splice(0..0, prefix);
    }
    if bytes.len() > MAX_TABLE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a table.
///
/// # Errors
///
/// [`CodecError::TooLarge`] without decoding if the input is too large; another [`CodecError`]
/// if the input is not exactly one table.
pub fn decode(bytes: &[u8]) -> Result<Table, CodecError> {
    if bytes.len() > MAX_TABLE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let (departures, bytes) = match bytes.split_first() {
        Some((&DEPARTURES_MARKER, rest)) => {
            let (departures, used) = decode_prefix(rest)?;
            (departures, &rest[used..])
        }
        _ => (Vec::new(), bytes),
    };
    let (era, fields) = match bytes.split_first() {
        Some((&ERA_MARKER, rest)) => {
            let (era, used) = decode_prefix(rest)?;
            (era, &rest[used..])
        }
        _ => (0, bytes),
    };
    let ((version, next_session, sessions, services, recent_changes), used) =
        decode_prefix(fields)?;
    if used != fields.len() {
        return Err(CodecError::TrailingBytes(fields.len() - used));
    }
    Ok(Table {
        version,
        next_session,
        sessions,
        services,
        recent_changes,
        era,
        departures,
    })
}

/// Decodes a value from the start of the input. Returns it with the number of bytes used.
fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), CodecError> {
    // The limit bounds the allocations that a forged length field can cause.
    let config = bincode::config::standard().with_limit::<MAX_TABLE_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| CodecError::Malformed(e.to_string()))
}

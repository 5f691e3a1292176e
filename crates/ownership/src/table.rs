//! The assignment table: sessions, and the owner and epoch of every shard.
//!
//! The table is plain data. It is stored as one value in the platform's service, so that all
//! changes have one order.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, TableVersion, shard_of};

/// The most shards that all services may have together, so that the value stays below 1 MB.
pub const MAX_SHARDS: usize = 65_536;

/// The most sessions of one table.
pub const MAX_SESSIONS: usize = 2_048;

/// The most services of one table.
pub const MAX_SERVICES: usize = 256;

/// The most key overrides of one service.
pub const MAX_OVERRIDES: usize = 64;

/// The most bytes of a name in the table.
pub const MAX_NAME_BYTES: usize = 64;

/// Largest encoded table in bytes, as the platform's service stores it.
pub const MAX_TABLE_BYTES: usize = 1 << 20;

/// Number of change ids that the table remembers for authors who lost the answer to a swap.
pub const MAX_RECENT_CHANGES: usize = 128;

/// The whole assignment table.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Rises by one with each accepted swap; 0 before the first.
    pub version: u64,
    /// The id that the next session gets.
    pub next_session: u32,
    /// Live sessions in the order of their ids.
    pub sessions: Vec<Session>,
    /// Services in the order of their [`ServiceId`].
    pub services: Vec<Service>,
    /// The last [`MAX_RECENT_CHANGES`] change ids, oldest first.
    pub recent_changes: Vec<ChangeId>,
}

/// One life of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Identifier, allocated by the table.
    pub id: SessionId,
    /// Random number that the daemon chose at its start; it recognises its own session by it.
    pub incarnation: u64,
    /// Name of the VM from the daemon's settings.
    pub vm: String,
    /// Address of the peers port.
    pub address: SocketAddr,
    /// Region from the daemon's settings.
    pub region: String,
    /// Data centre from the daemon's settings.
    pub data_centre: String,
    /// Up to two sessions that renew this session's lease; empty while it is the only one.
    pub lessors: Vec<SessionId>,
    /// Rises by one with each change of the lessors.
    pub term: u32,
    /// The service of the target beside the daemon; `None` until a target announced itself.
    pub target: Option<TargetInfo>,
}

/// What the table knows of the target beside a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Requests that the target runs at once.
    pub slots: u16,
    /// Whether the target itself refuses a request without a current grant.
    pub checks_grants: bool,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Capacity for the planner, in requests per second; 0 while it is not yet measured.
    pub capacity: u32,
    /// Names one life of the target, which holds nothing of an earlier one; 0 when the target does
    /// not tell its lives apart.
    pub incarnation: u64,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes what runs and takes nothing new.
    Draining,
    /// Cannot be used, such as after it stopped answering.
    Away,
}

/// A service and, when it is divided by key, its shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name from the deployment configuration.
    pub name: String,
    /// One entry per shard; empty for a service that is not divided by key.
    pub shards: Vec<Shard>,
    /// Single keys with an owner of their own.
    pub overrides: Vec<KeyOverride>,
}

/// Assignment of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Owner; `None` while nobody may serve the shard.
    pub owner: Option<SessionId>,
    /// Rises with each change of owner.
    pub epoch: Epoch,
}

/// Assignment of one hot key, taken out of its shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyOverride {
    /// xxh3 hash of the key.
    pub key_hash: u64,
    /// Assignment, as for a shard.
    pub assignment: Shard,
}

impl Table {
    /// Returns the version as its newtype.
    pub fn table_version(&self) -> TableVersion {
        TableVersion(self.version)
    }

    /// Returns the live session with this id.
    pub fn session(&self, id: SessionId) -> Option<&Session> {
        let at = self.sessions.binary_search_by_key(&id, |s| s.id).ok()?;
        Some(&self.sessions[at])
    }

    /// Returns the identifier of a service by its name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        let at = self.services.iter().position(|s| s.name == name)?;
        Some(ServiceId(at as u16))
    }

    /// Returns a service by its identifier.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id.index())
    }
}

impl Service {
    /// Returns the shard that a key falls into, overrides left aside. The service is divided.
    pub fn shard_of(&self, key_hash: u64) -> Shard {
        self.shards[shard_of(key_hash, self.shards.len() as u32).index()]
    }
}

/// Why an encoded table cannot be read or written.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// table of {0} bytes exceeds the limit of 1048576 bytes
    TooLarge(usize),
    /// malformed table: {0}
    Malformed(String),
    /// {0} bytes left over after the table
    TrailingBytes(usize),
}

impl std::error::Error for CodecError {}

/// Encodes a table as bincode in its standard configuration.
///
/// # Errors
///
/// [`CodecError::TooLarge`] above [`MAX_TABLE_BYTES`].
pub fn encode(table: &Table) -> Result<Vec<u8>, CodecError> {
    let bytes = bincode::serde::encode_to_vec(table, bincode::config::standard())
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    if bytes.len() > MAX_TABLE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a table.
///
/// # Errors
///
/// [`CodecError::TooLarge`] before anything is decoded; the others when the bytes are not one
/// table.
pub fn decode(bytes: &[u8]) -> Result<Table, CodecError> {
    if bytes.len() > MAX_TABLE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    // The limit bounds allocations that a forged length could ask for.
    let config = bincode::config::standard().with_limit::<MAX_TABLE_BYTES>();
    let (table, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| CodecError::Malformed(e.to_string()))?;
    if used != bytes.len() {
        return Err(CodecError::TrailingBytes(bytes.len() - used));
    }
    Ok(table)
}

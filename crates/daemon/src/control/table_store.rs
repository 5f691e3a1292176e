//! Reads and writes the assignment table in the platform's store.
//!
//! A write is a compare-and-swap on the platform's revision of the key, while the table has its own
//! version. This module caches the newest pair of version and revision that it received, so that a
//! swap usually needs no read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use masticdeal_ownership::change::Delta;
use masticdeal_ownership::table::{self, Table};
use masticdeal_platform::{Position, Value};
use masticdeal_wire::peer::{StoreReply, StoredTable};

use super::relay::Relay;
use crate::clock::Clock;

/// Error of reading the table.
#[derive(Debug, Display)]
pub enum Error {
    /// platform store is unavailable: {0}
    Unavailable(masticdeal_platform::Error),
    /// stored table is malformed: {0}
    Malformed(table::CodecError),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Outcome of one swap.
#[derive(Debug)]
pub enum SwapResult {
    /// The swap took effect.
    Done,
    /// Nothing was written: the stored table has another version, or could not be read before the
    /// write, or the new table could not be encoded. Contains the stored table if it was read. It is
    /// not read after a conflict that the platform reported: the daemon that wrote the newer table
    /// disseminates it, and the lease core reads it if no peer sends it within the back-off.
    Conflict(Option<Table>),
    /// No reply: the swap may have taken effect, or may still do so. Or it took effect in an era of
    /// the store that this daemon did not know.
    Unknown,
}

/// Version of the stored table and the platform's revision of its key.
#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    position: Position,
}

/// Assignment table in the platform's store.
pub struct TableStore {
    relay: Relay,
    clock: Arc<dyn Clock>,
    stored: Mutex<Option<Stored>>,
    /// When the platform's store last replied to a call for the table, in milliseconds since boot.
    last_reply_ms: AtomicU64,
}

impl TableStore {
    /// Creates the store without calling the platform.
    pub fn new(relay: Relay, clock: Arc<dyn Clock>) -> Self {
        Self {
            relay,
            clock,
            stored: Mutex::new(None),
            last_reply_ms: AtomicU64::new(0),
        }
    }

    /// Returns when the platform's store last replied to a call for the table, as time since boot.
    /// The call may have been relayed by a member.
    pub fn last_reply(&self) -> Duration {
        Duration::from_millis(self.last_reply_ms.load(Ordering::Relaxed))
    }

    fn record_reply(&self) {
        let now = self.clock.now().as_millis() as u64;
        self.last_reply_ms.store(now, Ordering::Relaxed);
    }

    /// Returns the newest revision that was received, with its era; `None` before the first read.
    pub fn position(&self) -> Option<Position> {
        self.stored.lock().unwrap().map(|s| s.position)
    }

    /// Reads the table and the era of the store. Returns an empty table of version 0 when none is
    /// stored.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn read(&self) -> Result<(Table, u64)> {
        let read = self.relay.read().await.map_err(Error::Unavailable)?;
        self.record_reply();
        let table = match read.value {
            Some(value) => self.decode_stored(&value, read.era)?,
            None => {
                self.record_stored(0, Position::new(read.era, 0));
                Table::default()
            }
        };
        Ok((table, read.era))
    }

    /// Returns where the store has a version of the table, if that is known.
    pub fn stored(&self, version: u64) -> Option<StoredTable> {
        let stored = (*self.stored.lock().unwrap())?;
        (stored.version == version).then_some(StoredTable {
            version,
            era: stored.position.era,
            revision: stored.position.revision,
        })
    }

    /// Records where the store has a version of the table, as a peer that wrote or read it knew.
    pub fn record_peer(&self, stored: StoredTable) {
        self.record_stored(stored.version, Position::new(stored.era, stored.revision));
    }

    /// Returns the relay, which also serves calls on behalf of other members.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Decodes a value from a read or a watch in an era of the store and records its version and
    /// revision.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`].
    pub fn decode_stored(&self, value: &Value, era: u64) -> Result<Table> {
        let table = table::decode(&value.bytes).map_err(Error::Malformed)?;
        self.record_stored(table.version, Position::new(era, value.revision));
        Ok(table)
    }

    /// Replaces the table by `next` if the stored version is the one that `delta` was applied to,
    /// and the store has not been restored from a backup since the table was written.
    pub async fn swap(&self, next: &Table, delta: &Delta) -> SwapResult {
        match self.position_of(delta.to_version - 1).await {
            // Only a restored table is written in a new era. A copy may have the same version with
            // other content.
            Ok(position) if position.era != next.era => {
                SwapResult::Conflict(self.read_table().await)
            }
            Ok(position) => self.write(position, next).await,
            Err(newer) => SwapResult::Conflict(newer),
        }
    }

    /// Replaces the table by `next` in the era of `next` if the stored version is `stored_version`.
    pub async fn restore(&self, next: &Table, stored_version: u64) -> SwapResult {
        let stored = *self.stored.lock().unwrap();
        let stored = stored.filter(|s| s.version == stored_version && s.position.era == next.era);
        match stored {
            Some(stored) => match self.write(stored.position, next).await {
                SwapResult::Conflict(_) => SwapResult::Conflict(self.read_table().await),
                result => result,
            },
            None => SwapResult::Conflict(None),
        }
    }

    async fn write(&self, expected: Position, next: &Table) -> SwapResult {
        let bytes = match table::encode(next) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("cannot encode table version {}: {e}", next.version);
                return SwapResult::Conflict(None);
            }
        };
        match self.relay.swap(expected, bytes).await {
            StoreReply::Done { era, revision } => {
                self.record_reply();
                self.record_stored(next.version, Position::new(era, revision));
                if era == expected.era {
                    return SwapResult::Done;
                }
                // In a new era, the revision may be that of another table.
                log::warn!(table = next.version, expected = expected.era, era;
                    "table was written in a later era of the platform store");
                SwapResult::Unknown
            }
            StoreReply::Conflict(_) => SwapResult::Conflict(None),
            _ => SwapResult::Unknown,
        }
    }

    async fn read_table(&self) -> Option<Table> {
        let (table, _) = self.read().await.ok()?;
        Some(table)
    }

    /// Returns the position of a version of the table.
    ///
    /// # Errors
    ///
    /// The stored table when it has another version; `None` when it cannot be read.
    async fn position_of(&self, version: u64) -> Result<Position, Option<Table>> {
        let cached = *self.stored.lock().unwrap();
        if let Some(stored) = cached
            && stored.version == version
            && stored.position.era >= self.relay.era()
        {
            return Ok(stored.position);
        }
        let table = self.read_table().await.ok_or(None)?;
        match *self.stored.lock().unwrap() {
            Some(stored) if table.version == version => Ok(stored.position),
            _ => Err(Some(table)),
        }
    }

    /// Records a version with its revision. Replies may arrive out of order, so an older revision
    /// of the same era is ignored, and so is an older era.
    fn record_stored(&self, version: u64, position: Position) {
        let mut stored = self.stored.lock().unwrap();
        if stored.is_none_or(|s| s.position <= position) {
            *stored = Some(Stored { version, position });
        }
    }
}

//! The assignment table in the platform's service: reading it, and swapping one version for the
//! next.
//!
//! The table counts its versions itself, while the service compares its own revision of the key.
//! The store remembers which revision holds which version, so that a swap usually needs no read.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use masticdeal_ownership::change::Delta;
use masticdeal_ownership::table::{self, Table};
use masticdeal_platform::Value;
use masticdeal_wire::peer::StoreReply;

use super::relay::Relay;
use crate::clock::Clock;

/// Why the table cannot be read.
#[derive(Debug, Display)]
pub enum Error {
    /// the platform's service does not answer: {0}
    Unavailable(masticdeal_platform::Error),
    /// the stored table cannot be read: {0}
    Malformed(table::CodecError),
}

impl std::error::Error for Error {}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Outcome of one swap.
#[derive(Debug)]
pub enum SwapResult {
    /// The swap took effect.
    Done,
    /// The table stands at another version, given here when it could be read.
    Conflict(Option<Table>),
    /// No answer: the swap may have taken effect, or may yet.
    Unknown,
}

/// Which revision of the service holds which version of the table.
#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    revision: u64,
}

/// The assignment table in the platform's service.
pub struct TableStore {
    relay: Relay,
    clock: Arc<dyn Clock>,
    stored: Mutex<Option<Stored>>,
    /// When the service last answered a call for the table, as milliseconds since boot.
    last_answer_ms: AtomicU64,
}

impl TableStore {
    /// Makes a store; it calls the service only when asked.
    pub fn new(relay: Relay, clock: Arc<dyn Clock>) -> Self {
        Self {
            relay,
            clock,
            stored: Mutex::new(None),
            last_answer_ms: AtomicU64::new(0),
        }
    }

    /// Returns when the service last answered a call for the table, as time since boot.
    pub fn last_answer(&self) -> Duration {
        Duration::from_millis(self.last_answer_ms.load(Ordering::Relaxed))
    }

    fn record_answer(&self) {
        let now = self.clock.now().as_millis() as u64;
        self.last_answer_ms.store(now, Ordering::Relaxed);
    }

    /// Returns the newest revision that this daemon has seen; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.stored.lock().unwrap().map_or(0, |s| s.revision)
    }

    /// Reads the table; an empty table of version 0 when there is none yet.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn read(&self) -> Result<Table> {
        let found = self.relay.read().await.map_err(Error::Unavailable)?;
        self.record_answer();
        match found {
            Some(value) => self.decode_stored(&value),
            None => {
                self.record_stored(0, 0);
                Ok(Table::default())
            }
        }
    }

    /// Returns the relay, for the calls of other members.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Decodes a value that was read or watched.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`].
    pub fn decode_stored(&self, value: &Value) -> Result<Table> {
        let table = table::decode(&value.bytes).map_err(Error::Malformed)?;
        self.record_stored(table.version, value.revision);
        Ok(table)
    }

    /// Replaces the table of the version before `next` by `next`, which `delta` made of it.
    pub async fn swap(&self, next: &Table, delta: &Delta) -> SwapResult {
        let base = delta.to_version - 1;
        let Some(revision) = self.revision_of(base).await else {
            return SwapResult::Conflict(self.read().await.ok());
        };
        let bytes = match table::encode(next) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("table version {} cannot be written: {e}", next.version);
                return SwapResult::Conflict(None);
            }
        };
        match self.relay.swap(revision, bytes).await {
            StoreReply::Done(revision) => {
                self.record_answer();
                self.record_stored(next.version, revision);
                SwapResult::Done
            }
            StoreReply::Conflict(_) => SwapResult::Conflict(self.read().await.ok()),
            _ => SwapResult::Unknown,
        }
    }

    /// Returns the service's revision of a version of the table, or `None` when the table stands
    /// at another version or the service does not answer.
    async fn revision_of(&self, version: u64) -> Option<u64> {
        let known = *self.stored.lock().unwrap();
        if let Some(stored) = known
            && stored.version == version
        {
            return Some(stored.revision);
        }
        let table = self.read().await.ok()?;
        let stored = (*self.stored.lock().unwrap())?;
        (table.version == version).then_some(stored.revision)
    }

    /// Remembers a revision. Answers may arrive out of order, so only a newer one counts.
    fn record_stored(&self, version: u64, revision: u64) {
        let mut stored = self.stored.lock().unwrap();
        if stored.is_none_or(|s| s.revision <= revision) {
            *stored = Some(Stored { version, revision });
        }
    }
}

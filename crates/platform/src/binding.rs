//! Wire formats of the platform store.
//!
//! A [`Binding`] encodes an [`Op`] as an HTTP request and decodes the HTTP response to an
//! [`OpReply`]. Connections, timeouts and counters belong to the client and are shared by all
//! bindings.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use crate::{Error, Position, Result, Value};

/// One call to the store.
#[derive(Debug, Clone, Copy)]
pub enum Op<'a> {
    /// Reads a key.
    Get {
        /// The key.
        key: &'a str,
    },
    /// Writes a key if it has the expected revision.
    Swap {
        /// The key.
        key: &'a str,
        /// Expected revision of the key, and the era in which the store showed it. A revision of 0
        /// means that the key must not exist.
        expected: Position,
        /// The new value.
        bytes: &'a Bytes,
        /// Lease that the key is attached to; the store deletes the key when the lease ends.
        lease: Option<&'a str>,
    },
    /// Waits for a change of a key, or until the maximum wait has passed.
    Watch {
        /// The key.
        key: &'a str,
        /// Only changes after this revision end the wait.
        after_revision: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Reads the next page of the keys under a prefix.
    Range {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Last key of the previous page; `None` for the first page.
        after: Option<&'a str>,
    },
    /// Waits for a change of any key under a prefix, or until the maximum wait has passed.
    WatchPrefix {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Only changes after this revision end the wait.
        after_revision: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Creates a lease.
    LeaseGrant {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    LeaseRenew {
        /// Id of the lease.
        id: &'a str,
    },
    /// Revokes a lease.
    LeaseRevoke {
        /// Id of the lease.
        id: &'a str,
    },
}

/// Decoded reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpReply {
    /// Result of a read.
    Read(ReadResult),
    /// The write was applied; the key has this revision.
    Written(u64),
    /// The write was not applied: the key has this revision instead of the expected one.
    Conflict(u64),
    /// Result of a watch.
    Watched(ReadResult),
    /// One page of the keys under a prefix, and whether more follow.
    Page(PrefixResult, bool),
    /// Changes of the keys under a prefix.
    PrefixWatched(PrefixResult),
    /// Id of a new lease.
    LeaseGranted(String),
    /// Whether the lease to renew or revoke existed.
    LeaseExisted(bool),
}

/// Result of a read or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResult {
    /// Newest value. `None` if the key does not exist, or if there was no change during a watch.
    pub value: Option<Value>,
    /// Revision after which the next watch continues.
    pub watch_revision: u64,
    /// Era of the store that replied: the number of times that it had been restored from a backup.
    /// Revisions of different eras are not comparable.
    pub era: u64,
}

/// A key under a prefix, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Result of a read or a watch of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixResult {
    /// Keys, or changes of keys from the oldest to the newest.
    pub changes: Vec<KeyChange>,
    /// Revision after which the next watch continues.
    pub watch_revision: u64,
    /// Era of the store that replied; see [`ReadResult::era`].
    pub era: u64,
}

/// HTTP request without the address of the store.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without headers and body.
    pub fn new(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// HTTP response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Wire format of the store.
#[derive(Debug, Clone, Copy)]
pub struct Binding {
    /// Encodes a call.
    pub encode: fn(&Op<'_>) -> HttpRequest,
    /// Decodes the response to a call. A status that the format does not define is
    /// [`Error::Status`]; the outcome of a write is then unknown.
    pub decode: fn(&Op<'_>, &HttpResponse) -> Result<OpReply>,
    /// Returns the era of the store from any response, also from a refusal. 0 if the format has
    /// none.
    pub era: fn(&HttpResponse) -> u64,
}

impl HttpResponse {
    /// Returns the error for a status that the wire format does not define for the call.
    pub fn unexpected_status<T>(&self) -> Result<T> {
        Err(Error::Status(self.status.as_u16()))
    }
}

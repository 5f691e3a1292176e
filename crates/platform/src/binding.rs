//! How calls to the key-value service look on the wire.
//!
//! The client speaks in [`Op`] and [`OpReply`]; a [`Binding`] turns the one into an HTTP request and
//! an HTTP response into the other. Connections, time limits and counters are the client's own, so
//! that all bindings share them.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use crate::{Error, Result, Value};

/// One call.
#[derive(Debug, Clone, Copy)]
pub enum Op<'a> {
    /// Reads a key.
    Get {
        /// The key.
        key: &'a str,
    },
    /// Writes a key that stands at a given revision.
    Swap {
        /// The key.
        key: &'a str,
        /// Revision that the key stands at; 0 means that it must not exist.
        expected_revision: u64,
        /// The new value.
        bytes: &'a Bytes,
        /// Lease with which the key vanishes.
        lease: Option<&'a str>,
    },
    /// Waits for a change of a key.
    Watch {
        /// The key.
        key: &'a str,
        /// Revision after which a change counts.
        after_revision: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Takes a lease.
    LeaseGrant {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    LeaseRenew {
        /// Id of the lease.
        id: &'a str,
    },
    /// Gives a lease up.
    LeaseRevoke {
        /// Id of the lease.
        id: &'a str,
    },
}

/// What the service said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpReply {
    /// The value of a key, and the revision of the service at that moment.
    Read(ReadResult),
    /// The write took effect under this revision.
    Written(u64),
    /// The key stands at this revision; the write did not take effect.
    Conflict(u64),
    /// What a watch saw.
    Watched(ReadResult),
    /// Id of a new lease.
    LeaseGranted(String),
    /// Whether the lease was live.
    LeaseWasLive(bool),
}

/// What a read or a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResult {
    /// The newest value; `None` when the key does not exist, or did not change.
    pub value: Option<Value>,
    /// Revision from which the next watch continues.
    pub watch_revision: u64,
}

/// An HTTP request without its address.
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
    /// Makes a message without headers and body.
    pub fn new(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// An HTTP response, read in full.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A wire format of the service.
#[derive(Debug, Clone, Copy)]
pub struct Binding {
    /// Writes a call.
    pub encode: fn(&Op<'_>) -> HttpRequest,
    /// Reads the answer to a call. A status that the format does not know is
    /// [`Error::Status`], which leaves the outcome of a write open.
    pub decode: fn(&Op<'_>, &HttpResponse) -> Result<OpReply>,
}

impl HttpResponse {
    /// Returns the error of a status that the call does not expect.
    pub fn unexpected_status<T>(&self) -> Result<T> {
        Err(Error::Status(self.status.as_u16()))
    }
}

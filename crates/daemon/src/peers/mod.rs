//! Transport between daemons: HTTP/2 with prior knowledge on the peer port.
//!
//! Each message is a POST to a fixed path. The body is one frame of [`masticdeal_wire::codec`]; for
//! `/forward` the raw body of the request or the response follows. Control messages use a separate
//! connection, so that a long response never delays a lease renewal.
//!
//! Invariants:
//!
//! - A failed request is `NotRun` only if the transport can prove it: the connection was never
//!   established, nothing was written since the request was handed over, the peer refused the
//!   stream or responded with a status other than 200, or the stream is above the last one that a
//!   GOAWAY without an error code names.
//! - A truncated response ends with an error on its body.

mod client;
pub mod counting;
mod forward;
pub mod incoming;
mod link;
mod query;
mod sent_attempts;
pub mod server;
mod stream;
mod watchdog;

use std::net::SocketAddr;

use displaydoc::Display;
use masticdeal_policy::Verdict;
use masticdeal_wire::codec;

pub use client::Peers;
pub use server::{Handlers, serve};

/// Receive window of one stream, in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Limit on concurrent streams of one connection.
pub const MAX_STREAMS: u32 = 1_024;

/// Receive window of one connection, in bytes. It covers the windows of all streams, so that slow
/// readers never block other streams.
pub const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * MAX_STREAMS;

/// Largest header block of the transport itself, in bytes. Callers' headers are part of the frame.
pub const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;

/// Address of the peer that sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerAddr(pub SocketAddr);

/// Error of a control call or a connection.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to the peer: {0}
    Connect(String),
    /// the peer did not reply in time
    Timeout,
    /// the connection to the peer failed: {0}
    Connection(String),
    /// the peer refused the message with status {0}
    Refused(u16),
    /// malformed message: {0}
    Codec(codec::Error),
    /// the handler failed: {0}
    Handler(String),
}

impl Error {
    /// Returns whether the message was processed, as far as the error tells.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::Refused(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    fn from_h2(e: h2::Error) -> Self {
        Self::Connection(e.to_string())
    }
}

impl From<codec::Error> for Error {
    fn from(e: codec::Error) -> Self {
        Self::Codec(e)
    }
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! Transport between daemons: h2 with prior knowledge on the peers' port.
//!
//! Each message is a POST to a fixed path; the body is one frame of [`masticdeal_wire::codec`], and
//! for `/forward` the raw body of the request or the answer after it. Control messages have a
//! connection of their own, so that a long answer never delays a heartbeat.
//!
//! Invariants: a failed request is `NotRun` only when the transport can prove it (never connected,
//! nothing written since the request was handed over, refused stream, or a stream above the last
//! one that a GOAWAY names); an answer that is cut ends with an error on its body.

mod client;
pub mod counting;
mod forward;
mod link;
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

/// Largest number of streams that a peer may have open on one connection.
pub const MAX_STREAMS: u32 = 1_024;

/// Receive window of one connection, in bytes. It covers the windows of all streams, so that
/// streams whose readers are slow never hold up the others.
pub const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * MAX_STREAMS;

/// Largest header block of the transport itself, in bytes. Headers of callers travel in the frame.
pub const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;

/// Address of the peer that sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerAddr(pub SocketAddr);

/// Why a control call or a connection failed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to the peer: {0}
    Connect(String),
    /// no answer of the peer in time
    Timeout,
    /// the connection to the peer failed: {0}
    Connection(String),
    /// the peer refused the message with status {0}
    Refused(u16),
    /// bad message: {0}
    Codec(codec::Error),
    /// the handler has no answer: {0}
    Handler(String),
}

impl Error {
    /// Returns what is known about the execution of the message.
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

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

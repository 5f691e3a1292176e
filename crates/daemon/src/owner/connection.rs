//! Connections to the target: HTTP/1.1 with keep-alive.
//!
//! HTTP/1.1 has no ping, so a request on a silent connection ends only at its deadline.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::read_limit::LimitedStream;
use super::write_check::{CheckedStream, WriteCheck};
use crate::exchange::Body;
use crate::node::Node;
use crate::peers::counting::{ByteCounts, CountingStream};

/// Longest wait for a connection to the target, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection is not reused. Targets close idle connections, and a request
/// sent while the target closes the connection may have run.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on pooled idle connections.
const MAX_IDLE: usize = 256;

/// Largest response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// One connection to the target. Dropping it closes the connection and cancels its request.
pub struct Connection {
    /// Sends requests.
    pub send: SendRequest<Body>,
    /// Bytes read and written.
    pub counts: Arc<ByteCounts>,
    /// Ownership check before the next write.
    pub write_check: Arc<WriteCheck>,
    address: SocketAddr,
    idle_since: Duration,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to the target.
    ///
    /// # Errors
    ///
    /// The error of the connection attempt, or `TimedOut`.
    pub async fn open(node: &Arc<Node>, address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| std::io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (counts, write_check) = (
            Arc::new(ByteCounts::default()),
            Arc::new(WriteCheck::default()),
        );
        let io = CountingStream::new(LimitedStream::new(stream), Arc::clone(&counts));
        let io = TokioIo::new(CheckedStream::new(io, Arc::clone(&write_check)));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let (send, connection) = builder.handshake(io).await.map_err(std::io::Error::other)?;
        let node = Arc::clone(node);
        let task = tokio::spawn(async move {
            let _open = node.metrics.track_connection("target");
            // The request in progress receives the error.
            let _ = connection.await;
        });
        let idle_since = Duration::ZERO;
        Ok(Self {
            send,
            counts,
            write_check,
            address,
            idle_since,
            task: task.abort_handle(),
        })
    }
}

/// Returns whether the target closed or reset the connection, in contrast to a malformed response.
pub fn is_reset(e: &hyper::Error) -> bool {
    let io = e.source().and_then(|s| s.downcast_ref::<std::io::Error>());
    let is_reset = |e: &std::io::Error| {
        matches!(
            e.kind(),
            ErrorKind::ConnectionReset
                | ErrorKind::ConnectionAborted
                | ErrorKind::BrokenPipe
                | ErrorKind::UnexpectedEof
        )
    };
    e.is_incomplete_message() || e.is_closed() || e.is_canceled() || io.is_some_and(is_reset)
}

/// Idle connections to the target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<Connection>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used usable connection to this address.
    pub fn take(&self, address: SocketAddr, now: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|c| {
            let is_recent = now.saturating_sub(c.idle_since) < IDLE_TIMEOUT;
            is_recent && c.address == address && !c.send.is_closed()
        });
        let index = idle.iter().rposition(|c| c.send.is_ready())?;
        Some(idle.remove(index))
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn put(&self, mut connection: Connection, now: Duration) {
        connection.idle_since = now;
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }
}

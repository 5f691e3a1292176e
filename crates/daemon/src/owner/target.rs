//! Connections to the target: HTTP/1.1, kept open between requests.
//!
//! HTTP/1.1 has no ping. A request on a silent connection is bounded by its deadline.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::gate::{Gate, Gated};
use crate::exchange::Body;
use crate::node::Node;
use crate::peers::io::{Counted, Counts};

/// Longest wait for a connection to the target, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection is no longer used. Targets close idle connections at times
/// of their own, and a request that meets such a close may have run.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Idle connections that are kept.
const MAX_IDLE: usize = 256;

/// Largest head of the target's answer, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// One connection to the target. Dropping it closes the connection, which cancels its request.
pub struct Connection {
    /// Makes requests.
    pub send: SendRequest<Body>,
    /// Bytes of the connection.
    pub counts: Arc<Counts>,
    /// Check before the next write.
    pub gate: Arc<Gate>,
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
    /// The error of the connect, or `TimedOut`.
    pub async fn open(node: &Arc<Node>, address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| std::io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        let (counts, gate) = (Arc::new(Counts::default()), Arc::new(Gate::default()));
        let io = Counted::new(stream, Arc::clone(&counts));
        let io = TokioIo::new(Gated::new(io, Arc::clone(&gate)));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_ANSWER_HEAD_BYTES);
        let (send, connection) = builder.handshake(io).await.map_err(std::io::Error::other)?;
        let node = Arc::clone(node);
        let task = tokio::spawn(async move {
            let _open = node.metrics.track_connection("target");
            // Errors reach the request in progress.
            let _ = connection.await;
        });
        let idle_since = Duration::ZERO;
        Ok(Self {
            send,
            counts,
            gate,
            address,
            idle_since,
            task: task.abort_handle(),
        })
    }
}

/// Idle connections to the target.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Takes the connection to this address that was used last, if one is usable.
    pub fn take(&self, address: SocketAddr, now: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|c| {
            let fresh = now.saturating_sub(c.idle_since) < IDLE_LIMIT;
            fresh && c.address == address && !c.send.is_closed()
        });
        let at = idle.iter().rposition(|c| c.send.is_ready())?;
        Some(idle.remove(at))
    }

    /// Keeps a connection whose answer has been read in full.
    pub fn keep(&self, mut connection: Connection, now: Duration) {
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

//! A client connection to a peer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use h2::client::SendRequest;
use masticdeal_policy::attempts::ConnectionState;
use masticdeal_wire::format::Format;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{OnceCell, watch};
use tokio::task::AbortHandle;

use super::counting::{ByteCounts, CountingStream};
use super::sent_attempts::SentAttempts;
use super::watchdog::{self, Outstanding};
use super::{CONNECTION_WINDOW_BYTES, Error, Result, STREAM_WINDOW_BYTES};
use crate::node::Node;

/// Purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Control messages.
    Control,
    /// Forwarded requests of callers.
    Forward,
}

/// A connection that this daemon has opened to a peer. Dropping it closes the connection.
pub struct PeerConnection {
    /// Sends requests.
    pub send: SendRequest<Bytes>,
    /// Bytes read and written.
    pub counts: Arc<ByteCounts>,
    /// Requests in progress.
    pub outstanding: Arc<Outstanding>,
    /// Attempts without a response.
    pub attempts: Arc<SentAttempts>,
    /// Format of messages that the peer reads, once it has answered the hello.
    pub format: OnceCell<Format>,
    state: Arc<State>,
    driver: AbortHandle,
    /// Taken by the task that watches the connection.
    handle: Mutex<Option<LinkHandle>>,
}

#[derive(Debug)]
struct State {
    current: watch::Sender<ConnectionState>,
    silent: AtomicBool,
}

/// A connection as seen by the task that watches it. It does not keep the connection open.
pub struct LinkHandle {
    /// Bytes read and written.
    pub counts: Arc<ByteCounts>,
    /// Attempts without a response.
    pub attempts: Arc<SentAttempts>,
    state: std::sync::Weak<State>,
    state_rx: watch::Receiver<ConnectionState>,
    driver: AbortHandle,
}

impl LinkHandle {
    /// Returns a subscription to the state of the connection.
    pub fn subscribe(&self) -> watch::Receiver<ConnectionState> {
        self.state_rx.clone()
    }

    /// Closes the connection, because its peer cannot be reached over another one either.
    pub fn close_as_silent(&self) {
        if let Some(state) = self.state.upgrade() {
            state.silent.store(true, Ordering::Release);
            state.current.send_replace(ConnectionState::Closed);
        }
        self.driver.abort();
    }
}

impl PeerConnection {
    /// Connects to a peer. The local IP address is that of this daemon's peer port.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the TCP connection cannot be established, and [`Error::Connection`] if
    /// the HTTP/2 handshake fails.
    pub async fn open(node: &Arc<Node>, peer: SocketAddr, purpose: Purpose) -> Result<Self> {
        let stream = connect(node, peer)
            .await
            .map_err(|e| Error::Connect(e.to_string()))?;
        let counts = Arc::new(ByteCounts::default());
        if purpose == Purpose::Control {
            counts.export_to(&node.metrics.control_in, &node.metrics.control_out);
        }
        let io = CountingStream::new(stream, Arc::clone(&counts));
        let (send, connection) = builder().handshake(io).await.map_err(Error::from_h2)?;
        let outstanding = Arc::new(Outstanding::default());
        let (current, state_rx) = watch::channel(ConnectionState::Usable);
        let state = Arc::new(State {
            current,
            silent: AtomicBool::new(false),
        });
        let attempts = Arc::new(SentAttempts::new());
        let driver = Driver {
            node: Arc::clone(node),
            peer,
            purpose,
            counts: Arc::clone(&counts),
            outstanding: Arc::clone(&outstanding),
            state: Arc::clone(&state),
        };
        let driver = tokio::spawn(driver.run(connection)).abort_handle();
        let handle = LinkHandle {
            counts: Arc::clone(&counts),
            attempts: Arc::clone(&attempts),
            state: Arc::downgrade(&state),
            state_rx,
            driver: driver.clone(),
        };
        Ok(Self {
            send,
            counts,
            outstanding,
            attempts,
            format: OnceCell::new(),
            state,
            driver,
            handle: Mutex::new(Some(handle)),
        })
    }

    /// Returns whether the connection accepts new requests.
    pub fn is_usable(&self) -> bool {
        *self.state.current.borrow() == ConnectionState::Usable
    }

    /// Returns the handle for the task that watches the connection, once.
    pub fn take_handle(&self) -> Option<LinkHandle> {
        let mut handle = self.handle.lock().unwrap_or_else(|e| e.into_inner());
        handle.take()
    }

    /// Returns whether the connection was closed because it became silent.
    pub fn was_silent(&self) -> bool {
        self.state.silent.load(Ordering::Acquire)
    }

    /// Closes the connection at once. Its requests in progress fail.
    pub fn close(&self) {
        self.state.current.send_replace(ConnectionState::Closed);
        self.driver.abort();
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Driver {
    node: Arc<Node>,
    peer: SocketAddr,
    purpose: Purpose,
    counts: Arc<ByteCounts>,
    outstanding: Arc<Outstanding>,
    state: Arc<State>,
}

impl Driver {
    async fn run(self, mut connection: h2::client::Connection<CountingStream<TcpStream>>) {
        let _open = self.node.metrics.track_connection("peer-out");
        let ping_pong = connection.ping_pong();
        let silence = async {
            match ping_pong {
                // Each control call has its own time-out, which closes the connection.
                Some(mut ping_pong) if self.purpose == Purpose::Forward => {
                    let limits = &self.node.settings.limits;
                    let (counts, outstanding) = (&self.counts, &self.outstanding);
                    watchdog::wait_until_silent(&mut ping_pong, counts, outstanding, limits).await;
                }
                _ => std::future::pending().await,
            }
        };
        let silent = tokio::select! {
            // Bytes that have arrived are read before the watchdog decides.
            biased;
            result = &mut connection => {
                if let Err(e) = result {
                    log::debug!(peer:% = self.peer; "connection to the peer ended: {e}");
                }
                false
            }
            () = silence => true,
        };
        if silent {
            self.state.current.send_replace(ConnectionState::Suspect);
            let kind = crate::telemetry::metrics::KindLabel { kind: "peer-out" };
            let metrics = &self.node.metrics;
            metrics.silent_connections.get_or_create(&kind).inc();
            log::warn!(peer:% = self.peer;
                "no bytes from the peer after a ping; the connection takes no new requests");
            self.run_suspect(&mut connection).await;
        }
        // Set the state before dropping the connection, so that the failing requests see it.
        self.state.current.send_replace(ConnectionState::Closed);
    }

    /// Drives a suspect connection until it ends or its last request does.
    async fn run_suspect(
        &self,
        connection: &mut h2::client::Connection<CountingStream<TcpStream>>,
    ) {
        let read_before = self.counts.read();
        tokio::select! {
            _ = connection => {}
            () = self.outstanding.wait_until_idle() => {}
        }
        let read_bytes = self.counts.read() - read_before;
        log::info!(peer:% = self.peer, read_bytes; "the suspect connection is closed");
    }
}

async fn connect(node: &Node, peer: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if peer.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(node.settings.listen.peers.ip(), 0))?;
    let stream = socket.connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn builder() -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(super::MAX_HEADER_LIST_BYTES)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize);
    builder
}

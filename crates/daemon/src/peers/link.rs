//! One client connection to a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use super::io::{Counted, Counts};
use super::watchdog::{self, Outstanding};
use super::{CONNECTION_WINDOW_BYTES, Error, Result, STREAM_WINDOW_BYTES};
use crate::node::Node;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Control messages.
    Control,
    /// Requests of callers.
    Forward,
}

/// An open connection.
pub struct Link {
    /// Makes requests.
    pub send: SendRequest<Bytes>,
    /// Bytes of the connection.
    pub counts: Arc<Counts>,
    /// Requests in progress on it.
    pub outstanding: Arc<Outstanding>,
    state: Arc<State>,
    driver: AbortHandle,
}

#[derive(Debug, Default)]
struct State {
    closed: AtomicBool,
    silent: AtomicBool,
}

impl Link {
    /// Connects to a peer from the address of the peers' port.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when the connection cannot be established.
    pub async fn open(node: &Arc<Node>, to: SocketAddr, purpose: Use) -> Result<Self> {
        let stream = connect(node, to)
            .await
            .map_err(|e| Error::Connect(e.to_string()))?;
        let counts = Arc::new(Counts::default());
        if purpose == Use::Control {
            counts.feed(&node.metrics.control_in, &node.metrics.control_out);
        }
        let io = Counted::new(stream, Arc::clone(&counts));
        let (send, connection) = builder().handshake(io).await.map_err(Error::from_h2)?;
        let outstanding = Arc::new(Outstanding::default());
        let state = Arc::new(State::default());
        let driver = Driver {
            node: Arc::clone(node),
            to,
            purpose,
            counts: Arc::clone(&counts),
            outstanding: Arc::clone(&outstanding),
            state: Arc::clone(&state),
        };
        let driver = tokio::spawn(driver.run(connection)).abort_handle();
        Ok(Self {
            send,
            counts,
            outstanding,
            state,
            driver,
        })
    }

    /// Returns whether new requests may use the connection.
    pub fn is_usable(&self) -> bool {
        !self.state.closed.load(Ordering::Acquire)
    }

    /// Returns whether the connection was retired because it went silent.
    pub fn was_silent(&self) -> bool {
        self.state.silent.load(Ordering::Acquire)
    }

    /// Closes the connection at once. Requests in progress on it fail.
    pub fn retire(&self) {
        self.state.closed.store(true, Ordering::Release);
        self.driver.abort();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Driver {
    node: Arc<Node>,
    to: SocketAddr,
    purpose: Use,
    counts: Arc<Counts>,
    outstanding: Arc<Outstanding>,
    state: Arc<State>,
}

impl Driver {
    async fn run(self, mut connection: h2::client::Connection<Counted<TcpStream>>) {
        let _open = self.node.metrics.track_connection("peer-out");
        let pings = connection.ping_pong();
        let watch = async {
            match pings {
                // Every control call has a timeout of its own, which retires its connection.
                Some(pings) if self.purpose == Use::Forward => {
                    let limits = &self.node.settings.limits;
                    watchdog::until_silent(pings, &self.counts, &self.outstanding, limits).await;
                }
                _ => std::future::pending().await,
            }
        };
        let silent = tokio::select! {
            result = &mut connection => {
                if let Err(e) = result {
                    log::debug!(peer:% = self.to; "Connection to a peer ended: {e}");
                }
                false
            }
            () = watch => true,
        };
        // The flags are set before the connection is dropped, so that the failed requests see them.
        self.state.silent.store(silent, Ordering::Release);
        self.state.closed.store(true, Ordering::Release);
        if silent {
            let kind = crate::telemetry::metrics::KindLabel { kind: "peer-out" };
            self.node
                .metrics
                .silent_connections
                .get_or_create(&kind)
                .inc();
            log::warn!(peer:% = self.to; "Retiring a silent connection to a peer");
        }
    }
}

async fn connect(node: &Node, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(node.settings.listen.peers.ip(), 0))?;
    let stream = socket.connect(to).await?;
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

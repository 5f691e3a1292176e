//! Client side of the peer transport: connections to all peers, opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};
use masticdeal_wire::format::Format;
use masticdeal_wire::{codec, headers};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::link::{PeerConnection, Purpose};
use super::{Error, Result, query, stream};
use crate::node::Node;

/// Longest wait for a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a hello, as for other calls between daemons.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections to the other daemons.
pub struct Peers {
    pub(super) node: Arc<Node>,
    control: ConnectionPool,
    forward: ConnectionPool,
    authorization: HeaderValue,
}

impl Peers {
    /// Creates the client without any connection.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let mut authorization =
            HeaderValue::try_from(format!("Bearer {}", node.settings.secret.peers))
                .unwrap_or_else(|_| HeaderValue::from_static("Bearer"));
        authorization.set_sensitive(true);
        Arc::new(Self {
            node,
            control: ConnectionPool::default(),
            forward: ConnectionPool::default(),
            authorization,
        })
    }

    /// Sends one control message and waits for the reply. A call that times out closes the
    /// connection, because the next lease renewal must not depend on a silent one.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Refused`] if the message was not processed. After
    /// [`Error::Timeout`], [`Error::Connection`] and [`Error::Codec`] it may have been.
    pub async fn control<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &Req,
        timeout: Duration,
    ) -> Result<Rep> {
        let mut used_connection = None;
        let call = async {
            let connection = self
                .control
                .connection(&self.node, peer, Purpose::Control)
                .await?;
            used_connection = Some(Arc::clone(&connection));
            let format = self.format(peer, &connection).await;
            let frame = codec::encode_as(format, message)?;
            let reply = self.call(&connection, path, format, frame).await?;
            Ok((format, reply))
        };
        let result = tokio::time::timeout(timeout, call).await;
        let reply = result.unwrap_or(Err(Error::Timeout));
        if let (Err(Error::Timeout), Some(connection)) = (&reply, used_connection) {
            connection.close();
            log::info!(peer:% = peer, path;
                "no reply within {timeout:?}; closing the control connection");
        }
        let (format, reply) = reply?;
        let mut reply = bytes::BytesMut::from(reply);
        codec::decode_as(format, &mut reply)?.ok_or(Error::Connection("truncated reply".into()))
    }

    /// Returns the format of messages that the peer reads. The first call on a connection asks it. A
    /// peer that does not reply in time counts as one of this version.
    pub(super) async fn format(&self, peer: SocketAddr, connection: &PeerConnection) -> Format {
        let hello = || async {
            let reply = timeout(HELLO_TIMEOUT, self.hello(connection)).await;
            let format = reply.ok().and_then(Result::ok).unwrap_or_default();
            if format == Format::Previous {
                log::info!(peer:% = peer; "the peer reads messages of the previous version");
            }
            format
        };
        *connection.format.get_or_init(hello).await
    }

    /// Sends a hello. A daemon of the previous version does not know its path.
    async fn hello(&self, connection: &PeerConnection) -> Result<Format> {
        let send = connection.send.clone().ready().await;
        let request = self.request(headers::PATH_HELLO, Format::Current);
        let (response, _) = send
            .and_then(|mut send| send.send_request(request, true))
            .map_err(Error::from_h2)?;
        let response = response.await.map_err(Error::from_h2)?;
        let number = response.headers().get(headers::FORMAT);
        Ok(Format::from_number(number.map(HeaderValue::as_bytes)))
    }

    pub(super) async fn call(
        &self,
        connection: &PeerConnection,
        path: &'static str,
        format: Format,
        frame: Bytes,
    ) -> Result<Bytes> {
        let mut send = connection
            .send
            .clone()
            .ready()
            .await
            .map_err(Error::from_h2)?;
        let request = self.request(path, format);
        let (response, mut body) = send.send_request(request, false).map_err(Error::from_h2)?;
        body.send_data(frame, true).map_err(Error::from_h2)?;
        let response = response.await.map_err(Error::from_h2)?;
        if response.status() != StatusCode::OK {
            return Err(Error::Refused(response.status().as_u16()));
        }
        let mut reply = response.into_body();
        stream::read_frame(&mut reply)
            .await
            .map_err(|e| Error::Connection(e.to_string()))
    }

    /// Creates a request with messages of this format.
    pub(super) fn request(&self, path: &'static str, format: Format) -> http::Request<()> {
        let mut request = http::Request::new(());
        *request.method_mut() = Method::POST;
        *request.version_mut() = http::Version::HTTP_2;
        // Building a URI from constant parts always succeeds, so the default `/` is never used.
        *request.uri_mut() = http::Uri::builder()
            .scheme("http")
            .authority("peer")
            .path_and_query(path)
            .build()
            .unwrap_or_default();
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.authorization.clone());
        if format == Format::Current {
            let number = HeaderValue::from_static(Format::CURRENT_NUMBER);
            request.headers_mut().insert(headers::FORMAT, number);
        }
        request
    }

    /// Returns the connection for requests to a peer, and watches it if it is new.
    pub(super) async fn forward_connection(
        self: &Arc<Self>,
        peer: SocketAddr,
    ) -> Result<Arc<PeerConnection>> {
        let connection = self.open_forward_connection(peer).await?;
        if let Some(link) = connection.take_handle() {
            tokio::spawn(query::watch(Arc::downgrade(self), peer, link));
        }
        Ok(connection)
    }

    pub(super) async fn open_forward_connection(
        &self,
        peer: SocketAddr,
    ) -> Result<Arc<PeerConnection>> {
        self.forward
            .connection(&self.node, peer, Purpose::Forward)
            .await
    }
}

/// One connection for each peer.
#[derive(Default)]
struct ConnectionPool {
    entries: Mutex<HashMap<SocketAddr, Arc<PeerEntry>>>,
}

#[derive(Default)]
struct PeerEntry {
    connection: tokio::sync::Mutex<Option<Arc<PeerConnection>>>,
    failures: AtomicU64,
}

impl ConnectionPool {
    /// Returns the connection to a peer, and opens one if there is none or it is closed.
    async fn connection(
        &self,
        node: &Arc<Node>,
        peer: SocketAddr,
        purpose: Purpose,
    ) -> Result<Arc<PeerConnection>> {
        let entry = self.entry(peer);
        let failures = entry.failures.load(Ordering::Acquire);
        let mut connection = entry.connection.lock().await;
        if let Some(connection) = connection.as_ref().filter(|c| c.is_usable()) {
            return Ok(Arc::clone(connection));
        }
        // If an attempt failed while this call waited for the lock, share that failure instead of
        // waiting for a second attempt.
        if entry.failures.load(Ordering::Acquire) != failures {
            return Err(Error::Connect(
                "a concurrent connection attempt failed".into(),
            ));
        }
        let new_connection =
            timeout(CONNECT_TIMEOUT, PeerConnection::open(node, peer, purpose)).await;
        match new_connection.unwrap_or_else(|_| Err(Error::Connect("timed out".into()))) {
            Ok(new_connection) => Ok(Arc::clone(connection.insert(Arc::new(new_connection)))),
            Err(e) => {
                entry.failures.fetch_add(1, Ordering::AcqRel);
                *connection = None;
                Err(e)
            }
        }
    }

    fn entry(&self, peer: SocketAddr) -> Arc<PeerEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(entry) = entries.get(&peer) {
            return Arc::clone(entry);
        }
        // Peers restart at new addresses. Adding an entry evicts those without a connection.
        entries.retain(|_, entry| match entry.connection.try_lock() {
            Ok(connection) => connection.as_ref().is_some_and(|c| c.is_usable()),
            Err(_) => true,
        });
        Arc::clone(entries.entry(peer).or_default())
    }
}

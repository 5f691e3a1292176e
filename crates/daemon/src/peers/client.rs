//! Client side: connections to all peers, opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};
use masticdeal_wire::codec;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::link::{Link, Use};
use super::{Error, Result, stream};
use crate::node::Node;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to the other daemons.
pub struct Peers {
    pub(super) node: Arc<Node>,
    control: Pool,
    forward: Pool,
    authorization: HeaderValue,
}

impl Peers {
    /// Makes the client without any connection.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let mut authorization =
            HeaderValue::try_from(format!("Bearer {}", node.settings.secret.peers))
                .unwrap_or_else(|_| HeaderValue::from_static("Bearer"));
        authorization.set_sensitive(true);
        Arc::new(Self {
            node,
            control: Pool::default(),
            forward: Pool::default(),
            authorization,
        })
    }

    /// Sends one control message and waits for its answer. A call that times out retires the
    /// connection, because the next heartbeat must not depend on a silent one.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Refused`] when the message did not run; [`Error::Timeout`],
    /// [`Error::Connection`] and [`Error::Codec`] otherwise.
    pub async fn control<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &'static str,
        message: &Req,
        timeout: Duration,
    ) -> Result<Rep> {
        let frame = codec::encode(message)?;
        let mut used = None;
        let call = async {
            let link = self.control.link(&self.node, to, Use::Control).await?;
            used = Some(Arc::clone(&link));
            self.call(&link, path, frame).await
        };
        let result = tokio::time::timeout(timeout, call).await;
        let reply = result.unwrap_or(Err(Error::Timeout));
        if let (Err(Error::Timeout), Some(link)) = (&reply, used) {
            link.retire();
            log::info!(peer:% = to, path; "Retiring a control connection after a timeout");
        }
        let mut reply = bytes::BytesMut::from(reply?);
        codec::decode(&mut reply)?.ok_or(Error::Connection("truncated answer".into()))
    }

    async fn call(&self, link: &Link, path: &'static str, frame: Bytes) -> Result<Bytes> {
        let mut send = link.send.clone().ready().await.map_err(Error::from_h2)?;
        let request = self.request(path);
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

    pub(super) fn request(&self, path: &'static str) -> http::Request<()> {
        let mut request = http::Request::new(());
        *request.method_mut() = Method::POST;
        *request.version_mut() = http::Version::HTTP_2;
        // A URI of fixed parts always parses; the default is `/`.
        *request.uri_mut() = http::Uri::builder()
            .scheme("http")
            .authority("peer")
            .path_and_query(path)
            .build()
            .unwrap_or_default();
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.authorization.clone());
        request
    }

    pub(super) async fn forward_link(&self, to: SocketAddr) -> Result<Arc<Link>> {
        self.forward.link(&self.node, to, Use::Forward).await
    }
}

/// One connection for each peer.
#[derive(Default)]
struct Pool {
    entries: Mutex<HashMap<SocketAddr, Arc<Entry>>>,
}

#[derive(Default)]
struct Entry {
    link: tokio::sync::Mutex<Option<Arc<Link>>>,
    failures: AtomicU64,
}

impl Pool {
    /// Returns the usable connection to a peer, or opens one.
    async fn link(&self, node: &Arc<Node>, to: SocketAddr, purpose: Use) -> Result<Arc<Link>> {
        let entry = self.entry(to);
        let failures = entry.failures.load(Ordering::Acquire);
        let mut link = entry.link.lock().await;
        if let Some(link) = link.as_ref().filter(|l| l.is_usable()) {
            return Ok(Arc::clone(link));
        }
        // Whoever waited for an attempt that failed shares its failure, in place of waiting for an
        // attempt of its own.
        if entry.failures.load(Ordering::Acquire) != failures {
            return Err(Error::Connect("an attempt just failed".into()));
        }
        let opened = timeout(CONNECT_TIMEOUT, Link::open(node, to, purpose)).await;
        match opened.unwrap_or_else(|_| Err(Error::Connect("timeout".into()))) {
            Ok(opened) => Ok(Arc::clone(link.insert(Arc::new(opened)))),
            Err(e) => {
                entry.failures.fetch_add(1, Ordering::AcqRel);
                *link = None;
                Err(e)
            }
        }
    }

    fn entry(&self, to: SocketAddr) -> Arc<Entry> {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(entry) = entries.get(&to) {
            return Arc::clone(entry);
        }
        // Peers come and go at new addresses; a new one pushes out those without a connection.
        entries.retain(|_, entry| match entry.link.try_lock() {
            Ok(link) => link.as_ref().is_some_and(|l| l.is_usable()),
            Err(_) => true,
        });
        Arc::clone(entries.entry(to).or_default())
    }
}

//! Client of the platform store: connections, timeouts and counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::binding::{Binding, HttpRequest, HttpResponse, Op, OpReply, PrefixResult, ReadResult};
use crate::counts::{CallCounts, CallKind};
use crate::native::NATIVE_BINDING;

/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Largest response body in bytes: a value of maximum size in base64, and the other JSON fields.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES * 4 / 3 + (64 << 10);

/// Longest time in which a response body may arrive. The largest one takes 0.9 s on an idle link of
/// 13 Mbit/s.
const MAX_BODY_TIME: Duration = Duration::from_secs(4);

/// TCP keep-alive: idle time before the first probe, probe interval, and number of unanswered
/// probes after which the connection is closed. A watch waits for up to 30 s; without the probes, a
/// dead connection would delay the notice of a change by as much.
const TCP_KEEP_ALIVE: (Duration, Duration, u32) =
    (Duration::from_secs(1), Duration::from_secs(1), 2);

/// Settings of the client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest wait for the head of a response, for further bytes of its body, and for a connection.
    /// For a watch, the requested wait is added.
    pub timeout: Duration,
    /// Wire format.
    pub binding: Binding,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7100)),
            timeout: Duration::from_millis(500),
            binding: NATIVE_BINDING,
        }
    }
}

/// Error of a call.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// platform service did not answer within the timeout
    Timeout,
    /// platform service cannot be reached: {0}
    Unreachable(String),
    /// platform service answered with status {0}
    Status(u16),
    /// platform service sent a malformed answer: {0}
    Malformed(&'static str),
    /// platform service no longer holds the history that a watch asked for
    Compacted,
    /// value of {0} bytes exceeds the limit of 1048576 bytes
    TooLarge(usize),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Value of a key with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Revision of the key; increases with each write.
    pub revision: u64,
    /// The value.
    pub bytes: Bytes,
}

/// A revision of the store and the era in which the store gave it out. Positions compare by era
/// first, because a new era reuses revisions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Revision of a key, or of the store if a watch continues after it.
    pub revision: u64,
}

impl Position {
    /// Creates the position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write was applied.
    Applied {
        /// Era of the store.
        era: u64,
        /// Revision of the key.
        revision: u64,
    },
    /// The write was not applied: the key has this revision instead of the expected one.
    Conflict(u64),
    /// There was no usable response. The write may have been applied or may still be applied,
    /// unless the error is [`Error::TooLarge`]: such a value is not sent.
    Unknown(Error),
}

/// Client of the store. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    settings: Settings,
    counts: Arc<CallCounts>,
    /// Newest era of the store that a response showed; 0 before the first.
    era: watch::Sender<u64>,
}

impl Client {
    /// Creates a client. It connects on the first call.
    pub fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        connector.set_keepalive(Some(TCP_KEEP_ALIVE.0));
        connector.set_keepalive_interval(Some(TCP_KEEP_ALIVE.1));
        connector.set_keepalive_retries(Some(TCP_KEEP_ALIVE.2));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self {
            http,
            settings,
            counts: Arc::default(),
            era: watch::Sender::new(0),
        }
    }

    /// Returns the call counters.
    pub fn call_counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Returns the newest era of the store that a response showed, and its changes. The store
    /// raises its era each time it is restored from a backup: writes that it acknowledged before
    /// may be lost, and revisions are reused.
    pub fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Reads a key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no side effects and may be repeated.
    pub async fn get(&self, key: &str) -> Result<Option<Value>> {
        Ok(self.read(key).await?.value)
    }

    /// Reads a key and the revision after which a watch of it continues.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no side effects and may be repeated.
    pub async fn read(&self, key: &str) -> Result<ReadResult> {
        self.counts.add(CallKind::Get);
        match self.call(&Op::Get { key }).await? {
            (OpReply::Read(read), _) => Ok(read),
            _ => Err(Error::Malformed("not the answer to a read")),
        }
    }

    /// Writes `bytes` if the key has the revision of `expected`; 0 means that the key must not
    /// exist. With `lease`, the store deletes the key when that lease expires.
    ///
    /// The write is not applied if the key was written through this client's wire format in a later
    /// era than that of `expected`, although the store may have given out the same revision again.
    pub async fn swap(
        &self,
        key: &str,
        expected: Position,
        bytes: Bytes,
        lease: Option<&str>,
    ) -> SwapOutcome {
        if bytes.len() > MAX_VALUE_BYTES {
            return SwapOutcome::Unknown(Error::TooLarge(bytes.len()));
        }
        self.counts.add(CallKind::Swap);
        let op = Op::Swap {
            key,
            expected,
            bytes: &bytes,
            lease,
        };
        match self.call(&op).await {
            Ok((OpReply::Written(revision), era)) => SwapOutcome::Applied { era, revision },
            Ok((OpReply::Conflict(revision), _)) => SwapOutcome::Conflict(revision),
            Ok(_) => SwapOutcome::Unknown(Error::Malformed("not the answer to a write")),
            Err(e) => SwapOutcome::Unknown(e),
        }
    }

    /// Waits up to `wait` for a change of the key after revision `after_revision`. The result has
    /// no value if nothing changed, or if the key was deleted.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the store no longer has the changes since `after_revision`; read the
    /// key and watch from the revision returned. After any other [`Error`] the watch may be
    /// repeated.
    pub async fn watch(
        &self,
        key: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<ReadResult> {
        self.counts.add(CallKind::Watch);
        match self
            .call(&Op::Watch {
                key,
                after_revision,
                wait,
            })
            .await?
        {
            (OpReply::Watched(watched), _) => Ok(watched),
            _ => Err(Error::Malformed("not the answer to a watch")),
        }
    }

    /// Reads all keys under a prefix. The pages together are not a snapshot: the result is that of
    /// the revision of the first page, and may contain later changes, which a watch from that
    /// revision shows again.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no side effects and may be repeated. [`Error::Malformed`] if the
    /// store was restored between two pages.
    pub async fn read_prefix(&self, prefix: &str) -> Result<PrefixResult> {
        let mut result: Option<PrefixResult> = None;
        loop {
            let last = result.as_ref().and_then(|r| r.changes.last());
            let after = last.map(|change| change.key.as_str());
            self.counts.add(CallKind::Get);
            let reply = self.call(&Op::Range { prefix, after }).await?;
            let (OpReply::Page(page, has_more), _) = reply else {
                return Err(Error::Malformed("not the answer to a read of a prefix"));
            };
            // An empty page cannot be continued.
            let has_more = has_more && !page.changes.is_empty();
            let result = match &mut result {
                None => result.insert(page),
                Some(first) if first.era == page.era => {
                    first.changes.extend(page.changes);
                    first
                }
                Some(_) => return Err(Error::Malformed("pages of two eras")),
            };
            if !has_more {
                return Ok(result.clone());
            }
        }
    }

    /// Waits up to `wait` for a change of a key under a prefix after revision `after_revision`.
    ///
    /// # Errors
    ///
    /// As for [`Client::watch`].
    pub async fn watch_prefix(
        &self,
        prefix: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<PrefixResult> {
        self.counts.add(CallKind::Watch);
        let op = Op::WatchPrefix {
            prefix,
            after_revision,
            wait,
        };
        match self.call(&op).await? {
            (OpReply::PrefixWatched(watched), _) => Ok(watched),
            _ => Err(Error::Malformed("not the answer to a watch of a prefix")),
        }
    }

    /// Creates a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. If only the response was lost, the lease expires after its time to live.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<String> {
        self.counts.add(CallKind::Lease);
        match self.call(&Op::LeaseGrant { ttl }).await? {
            (OpReply::LeaseGranted(id), _) => Ok(id),
            _ => Err(Error::Malformed("not the answer to a lease grant")),
        }
    }

    /// Renews a lease. Returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the lease may or may not have been renewed.
    pub async fn lease_renew(&self, id: &str) -> Result<bool> {
        self.lease_call(&Op::LeaseRenew { id }).await
    }

    /// Revokes a lease. Returns `false` if it had expired.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease that was not revoked expires after its time to live.
    pub async fn lease_revoke(&self, id: &str) -> Result<bool> {
        self.lease_call(&Op::LeaseRevoke { id }).await
    }

    async fn lease_call(&self, op: &Op<'_>) -> Result<bool> {
        self.counts.add(CallKind::Lease);
        match self.call(op).await? {
            (OpReply::LeaseExisted(existed), _) => Ok(existed),
            _ => Err(Error::Malformed("not the answer about a lease")),
        }
    }

    /// Makes a call and returns the reply with the era of the store.
    async fn call(&self, op: &Op<'_>) -> Result<(OpReply, u64)> {
        let head_timeout = match op {
            Op::Watch { wait, .. } | Op::WatchPrefix { wait, .. } => *wait + self.settings.timeout,
            _ => self.settings.timeout,
        };
        let request = (self.settings.binding.encode)(op);
        let response = self.exchange(request, head_timeout).await?;
        let era = (self.settings.binding.era)(&response);
        self.era.send_if_modified(|newest| {
            let is_newer = *newest < era;
            *newest = (*newest).max(era);
            is_newer
        });
        let reply = (self.settings.binding.decode)(op, &response)?;
        Ok((reply, era))
    }

    /// Sends a request and reads the response. The head must arrive within `head_timeout`. The body
    /// may take longer, as long as it makes progress: a large value on a slow link needs more time
    /// than a store that does not answer may take.
    async fn exchange(&self, request: HttpRequest, head_timeout: Duration) -> Result<HttpResponse> {
        let uri = format!("http://{}{}", self.settings.address, request.path);
        let mut req = Request::builder().method(request.method).uri(uri);
        for (name, value) in request.headers {
            req = req.header(name, value);
        }
        let req = req
            .body(Full::new(request.body))
            .map_err(|_| Error::Malformed("request"))?;
        let response = timeout(head_timeout, self.http.request(req)).await;
        let response = response.map_err(|_| Error::Timeout)?;
        let (parts, body) = response.map_err(connection_error)?.into_parts();
        let body = timeout(MAX_BODY_TIME, read_body(body, self.settings.timeout)).await;
        Ok(HttpResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.map_err(|_| Error::Timeout)??,
        })
    }
}

/// Reads a response body of which some bytes must arrive within each `idle_timeout`.
async fn read_body(body: Incoming, idle_timeout: Duration) -> Result<Bytes> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Error::Timeout)? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|e| Error::Unreachable(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

fn connection_error(e: legacy::Error) -> Error {
    Error::Unreachable(e.to_string())
}

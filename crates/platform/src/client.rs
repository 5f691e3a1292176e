//! The HTTP binding of the platform's service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use masticdeal_wire::headers;

use crate::counts::{Call, Counts};

/// Largest value that the service holds, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// How to reach the service.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the service.
    pub address: SocketAddr,
    /// Longest wait for an answer, apart from the wait that a watch asks for.
    pub timeout: Duration,
}

/// Why a call has no answer.
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
    /// value of {0} bytes exceeds the limit of 1048576 bytes
    TooLarge(usize),
}

impl std::error::Error for Error {}

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Revision of the key; it rises with each write.
    pub revision: u64,
    /// The value.
    pub bytes: Bytes,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The write took effect under this revision.
    Done(u64),
    /// The key stands at another revision, given here; the write did not take effect.
    Conflict(u64),
    /// No answer: the write may have taken effect, or may yet.
    Unknown(Error),
}

/// Client of the service. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    settings: Settings,
    counts: Arc<Counts>,
}

impl Client {
    /// Makes a client. It connects with the first call.
    pub fn new(settings: Settings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self {
            http,
            settings,
            counts: Arc::default(),
        }
    }

    /// Returns the counters of calls.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Reads a key. Returns `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read has no effect and may be repeated.
    pub async fn get(&self, key: &str) -> Result<Option<Value>> {
        self.counts.add(Call::Get);
        let req = self.request(Method::GET, &format!("/v1/kv/{key}"));
        let answer = self.call(req, Bytes::new(), self.settings.timeout).await?;
        match answer.status {
            StatusCode::OK => answer.into_value().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(Error::Status(other.as_u16())),
        }
    }

    /// Writes `bytes` when the key stands at revision `expect`; 0 means that it must not exist.
    /// With `lease` the key vanishes when that lease lapses.
    pub async fn swap(&self, key: &str, expect: u64, bytes: Bytes, lease: Option<&str>) -> Written {
        if bytes.len() > MAX_VALUE_BYTES {
            return Written::Unknown(Error::TooLarge(bytes.len()));
        }
        self.counts.add(Call::Swap);
        let mut req = self
            .request(Method::PUT, &format!("/v1/kv/{key}"))
            .header(headers::IF_REVISION, expect);
        if let Some(lease) = lease {
            req = req.header(headers::LEASE, lease);
        }
        let answer = match self.call(req, bytes, self.settings.timeout).await {
            Ok(answer) => answer,
            Err(e) => return Written::Unknown(e),
        };
        match (answer.status, answer.revision) {
            (StatusCode::OK, Some(revision)) => Written::Done(revision),
            (StatusCode::CONFLICT, Some(revision)) => Written::Conflict(revision),
            (StatusCode::OK | StatusCode::CONFLICT, None) => {
                Written::Unknown(Error::Malformed("no revision"))
            }
            (other, _) => Written::Unknown(Error::Status(other.as_u16())),
        }
    }

    /// Waits up to `wait` for a revision of the key above `after`. Returns `None` when there was
    /// none.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a watch has no effect and may be repeated.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Value>> {
        self.counts.add(Call::Watch);
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let req = self.request(Method::GET, &path);
        let limit = wait + self.settings.timeout;
        let answer = self.call(req, Bytes::new(), limit).await?;
        match answer.status {
            StatusCode::OK => answer.into_value().map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            other => Err(Error::Status(other.as_u16())),
        }
    }

    /// Takes a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease whose id was lost lapses by itself.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<String> {
        self.counts.add(Call::Lease);
        let path = format!("/v1/lease?ttl_ms={}", ttl.as_millis());
        let req = self.request(Method::POST, &path);
        let answer = self.call(req, Bytes::new(), self.settings.timeout).await?;
        if answer.status != StatusCode::OK {
            return Err(Error::Status(answer.status.as_u16()));
        }
        String::from_utf8(answer.body.to_vec()).map_err(|_| Error::Malformed("lease id"))
    }

    /// Renews a lease. Returns `false` when it has lapsed.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the lease may or may not be renewed.
    pub async fn lease_renew(&self, id: &str) -> Result<bool> {
        self.lease_call(Method::PUT, id).await
    }

    /// Gives a lease up. Returns `false` when it had lapsed.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the lease lapses by itself.
    pub async fn lease_revoke(&self, id: &str) -> Result<bool> {
        self.lease_call(Method::DELETE, id).await
    }

    async fn lease_call(&self, method: Method, id: &str) -> Result<bool> {
        self.counts.add(Call::Lease);
        let req = self.request(method, &format!("/v1/lease/{id}"));
        let answer = self.call(req, Bytes::new(), self.settings.timeout).await?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            other => Err(Error::Status(other.as_u16())),
        }
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.settings.address);
        Request::builder().method(method).uri(uri)
    }

    async fn call(
        &self,
        req: http::request::Builder,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer> {
        let req = req
            .body(Full::new(body))
            .map_err(|_| Error::Malformed("request"))?;
        let exchange = async {
            let rx = self
                .http
                .request(req)
                .await
                .map_err(|e| Error::Unreachable(e.to_string()))?;
            Answer::read(rx).await
        };
        tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| Error::Timeout)?
    }
}

/// A whole answer of the service.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    revision: Option<u64>,
    body: Bytes,
}

impl Answer {
    async fn read(rx: Response<Incoming>) -> Result<Self> {
        let status = rx.status();
        let revision = rx
            .headers()
            .get(headers::REVISION)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        let body = Limited::new(rx.into_body(), MAX_VALUE_BYTES)
            .collect()
            .await
            .map_err(|e| Error::Unreachable(e.to_string()))?
            .to_bytes();
        Ok(Self {
            status,
            revision,
            body,
        })
    }

    fn into_value(self) -> Result<Value> {
        let revision = self.revision.ok_or(Error::Malformed("no revision"))?;
        Ok(Value {
            revision,
            bytes: self.body,
        })
    }
}

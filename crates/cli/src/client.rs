//! HTTP to the operators ports of the daemons.
//!
//! Daemons are asked in the order given, starting with the last_responding one that answered. A call that may
//! have taken effect goes to the next daemon only when it was provably not sent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use masticdeal_language::header_text;
use tokio::net::TcpStream;

use crate::error::{Error, Result};

/// Largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Longest wait for a connection; the rest of the timeout is for the response.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How to reach the daemons.
#[derive(Clone)]
pub struct Connection {
    /// Operators ports, at least one.
    pub daemons: Vec<SocketAddr>,
    /// The operators' secret.
    pub secret: Option<String>,
    /// Longest wait for one response.
    pub timeout: Duration,
    /// Pause before a change is sent a second time; each later pause is this much longer.
    pub retry_delay: Duration,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            daemons, timeout, ..
        } = self;
        f.debug_struct("Connection")
            .field("daemons", daemons)
            .field("timeout", timeout)
            .finish_non_exhaustive()
    }
}

/// One call.
#[derive(Debug, Clone)]
pub struct ApiCall {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    /// Whether the call may be repeated after it was sent.
    repeatable: bool,
}

impl ApiCall {
    /// Makes a call without effect.
    pub fn get(path: &'static str) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            repeatable: true,
        }
    }

    /// Makes a call with a body.
    pub fn with_body(method: Method, path: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            body: body.into(),
            repeatable: false,
            ..Self::get(path)
        }
    }

    /// Adds a header. The value is encoded with `%XX` outside printable ASCII.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers
            .push((name, header_text::encode(&value.to_string())));
        self
    }

    /// Adds a header that is encoded already.
    pub fn raw_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Allows the call to be repeated after it was sent.
    pub fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }
}

/// A whole response.
#[derive(Debug)]
pub struct ApiResponse {
    /// The daemon that answered.
    pub daemon: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Returns a header as it stands.
    pub fn raw_header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a header with `%XX` decoded.
    pub fn header(&self, name: &str) -> Option<String> {
        header_text::decode(self.raw_header(name)?)
    }

    /// Returns a header that is a decimal number.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when it is missing or no number.
    pub fn number(&self, name: &'static str) -> Result<u64> {
        let number = self.raw_header(name).and_then(|value| value.parse().ok());
        number.ok_or_else(|| self.malformed(name))
    }

    /// Returns the body as text.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when it is no UTF-8.
    pub fn text(&self) -> Result<&str> {
        std::str::from_utf8(&self.body).map_err(|_| self.malformed("body"))
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when it does not fit.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|_| self.malformed("JSON body"))
    }

    /// Makes the error for an response that lacks a part.
    pub fn malformed(&self, what: &'static str) -> Error {
        let daemon = self.daemon.to_string();
        Error::Malformed { daemon, what }
    }

    /// Makes the error for a status that the call does not expect.
    pub fn unexpected(&self) -> Error {
        let daemon = self.daemon.to_string();
        if self.status == StatusCode::UNAUTHORIZED {
            return Error::Unauthorized { daemon };
        }
        let message = String::from_utf8_lossy(&self.body);
        Error::Status {
            daemon,
            status: self.status.as_u16(),
            message: message.trim().chars().take(300).collect(),
        }
    }
}

/// Why one daemon gave no response.
#[derive(Debug)]
enum Failure {
    /// The call was not sent.
    NotSent(String),
    /// The call may have been received.
    NoResponse(String),
}

/// Client of the daemons.
#[derive(Debug)]
pub struct Client {
    connection: Connection,
    /// Index of the daemon that answered last_responding.
    last_responding: Cell<usize>,
}

impl Client {
    /// Makes a client. It connects with each call.
    pub fn new(connection: Connection) -> Self {
        Self {
            connection,
            last_responding: Cell::new(0),
        }
    }

    /// Returns the pause before a change is sent a second time.
    pub fn retry_delay(&self) -> Duration {
        self.connection.retry_delay
    }

    /// Makes a call and returns the first response.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] when no daemon answered and the call has no effect or was not sent;
    /// [`Error::OutcomeUnknown`] when it may have taken effect.
    pub async fn call(&self, call: &ApiCall) -> Result<ApiResponse> {
        let daemons = &self.connection.daemons;
        let mut failures = Vec::new();
        for step in 0..daemons.len() {
            let at = (self.last_responding.get() + step) % daemons.len();
            let daemon = daemons[at];
            match self.send_to(daemon, call).await {
                Ok(response) => {
                    self.last_responding.set(at);
                    return Ok(response);
                }
                Err(Failure::NoResponse(why)) if !call.repeatable => {
                    self.last_responding.set((at + 1) % daemons.len());
                    let message = format!(
                        "the request was sent to {daemon}, but its outcome is not known: {why}"
                    );
                    return Err(Error::OutcomeUnknown(message));
                }
                Err(Failure::NoResponse(why) | Failure::NotSent(why)) => {
                    failures.push(format!("{daemon}: {why}"));
                }
            }
        }
        Err(Error::Unreachable(failures.join("; ")))
    }

    async fn send_to(&self, daemon: SocketAddr, call: &ApiCall) -> Result<ApiResponse, Failure> {
        let timeout = self.connection.timeout;
        let connect = TcpStream::connect(daemon);
        let stream = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), connect)
            .await
            .map_err(|_| Failure::NotSent("no connection in time".into()))?
            .map_err(|e| Failure::NotSent(e.to_string()))?;
        let req = self.request(daemon, call)?;
        let response = tokio::time::timeout(timeout, send(daemon, stream, req)).await;
        response.map_err(|_| {
            Failure::NoResponse(format!("no answer within {} ms", timeout.as_millis()))
        })?
    }

    fn request(&self, daemon: SocketAddr, call: &ApiCall) -> Result<Request<Full<Bytes>>, Failure> {
        let mut req = Request::builder()
            .method(call.method.clone())
            .uri(call.path)
            .header(http::header::HOST, daemon.to_string());
        if let Some(secret) = &self.connection.secret {
            req = req.header(http::header::AUTHORIZATION, format!("Bearer {secret}"));
        }
        for (name, value) in &call.headers {
            req = req.header(*name, value);
        }
        let req = req.body(Full::new(call.body.clone()));
        req.map_err(|e| Failure::NotSent(e.to_string()))
    }
}

async fn send(
    daemon: SocketAddr,
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<ApiResponse, Failure> {
    let lost = |e: hyper::Error| Failure::NoResponse(e.to_string());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(lost)?;
    let driver = tokio::spawn(connection);
    let rx = sender.send_request(req).await.map_err(lost)?;
    let (parts, body) = rx.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    driver.abort();
    let body = body
        .map_err(|e| Failure::NoResponse(e.to_string()))?
        .to_bytes();
    Ok(ApiResponse {
        daemon,
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

//! HTTP client for the operator ports of the daemons.
//!
//! Daemons are tried in the given order, starting with the one that responded last. A call with
//! side effects is sent to the next daemon only if it was certainly not sent to the previous one.
//! If it was sent and got no response, the following call starts with the next daemon.

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

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Upper bound of the time to connect; the response has a timeout of its own.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of the connections to the daemons.
#[derive(Clone)]
pub struct Connection {
    /// Operator ports, at least one.
    pub daemons: Vec<SocketAddr>,
    /// The operators' secret.
    pub secret: Option<String>,
    /// Timeout of one response.
    pub timeout: Duration,
    /// Delay before a change is sent a second time. Each further delay is longer by this value.
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

/// Request to a daemon.
#[derive(Debug, Clone)]
pub struct ApiCall {
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    /// Whether the call may be sent to another daemon after it was sent to one.
    repeatable: bool,
}

impl ApiCall {
    /// Makes a call without side effects.
    pub fn get(path: &'static str) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            repeatable: true,
        }
    }

    /// Makes a call with a body, which is not repeatable.
    pub fn with_body(method: Method, path: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            body: body.into(),
            repeatable: false,
            ..Self::get(path)
        }
    }

    /// Adds a header with a percent-encoded value.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers
            .push((name, header_text::encode(&value.to_string())));
        self
    }

    /// Adds a header with a value that is already encoded.
    pub fn raw_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets whether the call may be sent to another daemon after it was sent to one.
    pub fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }
}

/// Complete response of a daemon.
#[derive(Debug)]
pub struct ApiResponse {
    /// Daemon that responded.
    pub daemon: SocketAddr,
    /// HTTP status code.
    pub status: StatusCode,
    headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Returns the raw value of a header.
    pub fn raw_header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the percent-decoded value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header_text::decode(self.raw_header(name)?)
    }

    /// Returns the value of a header that contains a decimal number.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the header is missing or not a number.
    pub fn number(&self, name: &'static str) -> Result<u64> {
        let number = self.raw_header(name).and_then(|value| value.parse().ok());
        number.ok_or_else(|| self.malformed(name))
    }

    /// Returns the body as text.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the body is not valid UTF-8.
    pub fn text(&self) -> Result<&str> {
        std::str::from_utf8(&self.body).map_err(|_| self.malformed("body"))
    }

    /// Deserializes the body from JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the body is not the expected JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|_| self.malformed("JSON body"))
    }

    /// Returns the error for a response with a missing or invalid part.
    pub fn malformed(&self, part: &'static str) -> Error {
        let daemon = self.daemon.to_string();
        Error::Malformed { daemon, part }
    }

    /// Returns the error for an unexpected status.
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

/// Why a daemon did not respond.
#[derive(Debug)]
enum Failure {
    /// The call was not sent.
    NotSent(String),
    /// The call may have been sent and executed, but no complete response arrived.
    NoResponse(String),
}

/// HTTP client of the daemons.
#[derive(Debug)]
pub struct Client {
    connection: Connection,
    /// Index of the daemon to which the next call is sent first.
    first_index: Cell<usize>,
}

impl Client {
    /// Makes a client, which opens a new connection for each call.
    pub fn new(connection: Connection) -> Self {
        Self {
            connection,
            first_index: Cell::new(0),
        }
    }

    /// Returns the delay before a change is sent a second time.
    pub fn retry_delay(&self) -> Duration {
        self.connection.retry_delay
    }

    /// Sends a call and returns the first response.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no daemon responded and the call is repeatable or was not sent.
    /// [`Error::OutcomeUnknown`] if the call is not repeatable and may have been executed.
    pub async fn call(&self, call: &ApiCall) -> Result<ApiResponse> {
        let daemons = &self.connection.daemons;
        let mut failures = Vec::new();
        for offset in 0..daemons.len() {
            let index = (self.first_index.get() + offset) % daemons.len();
            let daemon = daemons[index];
            match self.send_to(daemon, call).await {
                Ok(response) => {
                    self.first_index.set(index);
                    return Ok(response);
                }
                Err(Failure::NoResponse(reason)) if !call.repeatable => {
                    self.first_index.set((index + 1) % daemons.len());
                    let message = format!(
                        "the request was sent to {daemon}, but its outcome is not known: {reason}"
                    );
                    return Err(Error::OutcomeUnknown(message));
                }
                Err(Failure::NoResponse(reason) | Failure::NotSent(reason)) => {
                    failures.push(format!("{daemon}: {reason}"));
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
    let no_response = |e: hyper::Error| Failure::NoResponse(e.to_string());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(no_response)?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(req).await.map_err(no_response)?;
    let (parts, body) = response.into_parts();
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

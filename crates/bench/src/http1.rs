//! HTTP/1.1 server and client helpers of the stand-ins and tools.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Body of a response. An error closes the connection and truncates the response.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Largest response body that [`Client::call`] reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Error of an HTTP exchange.
#[derive(Debug, Display)]
pub enum Error {
    /// no response within the timeout
    Timeout,
    /// exchange failed: {0}
    Failed(String),
    /// connection closed without a response
    Closed,
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Returns a body of one frame.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Returns a response with a status and a body.
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(body));
    *res.status_mut() = status;
    res
}

/// Reads a request body of at most `max_bytes`. Returns `None` if it is longer or truncated.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    Some(
        Limited::new(body, max_bytes)
            .collect()
            .await
            .ok()?
            .to_bytes(),
    )
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query_parameter<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

/// Returns a header as a number.
pub fn header_number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns a header as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Accepts HTTP/1.1 connections until the future is dropped, and serves at most `max_connections`
/// at a time. Connections that were accepted before are served further until they close.
///
/// If the handler returns an error, the connection is closed without a response. If the caller
/// closes the connection, the handler's future is dropped.
pub async fn serve<H, F>(listener: TcpListener, max_connections: usize, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            // `accept` fails if no file descriptor is free; the pause avoids a busy loop.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            serve_connection(stream, handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    let result = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = result {
        log::debug!("connection closed with an error: {e}");
    }
}

/// HTTP response with its complete body.
#[derive(Debug)]
pub struct ReceivedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, at most 4 MiB.
    pub body: Bytes,
}

impl ReceivedResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http }
    }
}

impl Client {
    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no response.
    pub async fn send_streaming(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let sent = self.http.request(req).await;
        sent.map_err(|e| Error::Failed(error_chain(&e)))
    }

    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after the timeout, [`Error::Failed`] if there is no complete response of
    /// at most 4 MiB.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ReceivedResponse> {
        let exchange = async {
            let res = self.send_streaming(req).await?;
            let (head, body) = res.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| Error::Failed(e.to_string()))?.to_bytes();
            Ok(ReceivedResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        let received = tokio::time::timeout(timeout, exchange).await;
        received.map_err(|_| Error::Timeout)?
    }

    /// Builds and sends a request, and reads the complete response within `timeout`.
    ///
    /// # Errors
    ///
    /// See [`Client::call`]; also [`Error::Failed`] for an invalid request.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<ReceivedResponse> {
        let uri = format!("http://{address}{path}");
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into()));
        let req = req.map_err(|e| Error::Failed(e.to_string()))?;
        self.call(req, timeout).await
    }
}

/// Formats an error with its causes in one line.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text = format!("{text}: {e}");
        cause = e.source();
    }
    text
}

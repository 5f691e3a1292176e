//! Small HTTP/1.1 server and client helpers shared by the stand-ins and the tools.

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

/// Body of an answer. An error closes the connection before the answer is whole.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Largest answer that [`Client::call`] reads, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why an exchange failed.
#[derive(Debug, Display)]
pub enum Error {
    /// no answer in time
    Timeout,
    /// exchange failed: {0}
    Failed(String),
    /// the connection is closed without an answer
    Closed,
}

impl std::error::Error for Error {}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Returns a body that is sent in one piece.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Returns an answer of a status and a text.
pub fn response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full_body(text));
    *res.status_mut() = status;
    res
}

/// Reads a whole request body of at most `limit` bytes. Returns `None` when it is longer or cut.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Option<Bytes> {
    Some(
        Limited::new(body, max_bytes)
            .collect()
            .await
            .ok()?
            .to_bytes(),
    )
}

/// Returns a parameter of the query of a request.
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

/// Serves at most `connections` HTTP/1.1 connections at once, until the future is dropped. An error
/// of the handler closes the connection without an answer; a caller who closes the connection
/// drops the handler's future.
pub async fn serve<H, F>(listener: TcpListener, max_connections: usize, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails while descriptors run out; the pause keeps the loop from spinning.
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
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!("connection ended early: {e}");
    }
}

/// A whole answer.
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

/// HTTP client with pooled connections.
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
    /// Sends a request and returns the head of the answer and its body, still to be read.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] when there is no answer.
    pub async fn send_streaming(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let sent = self.http.request(req).await;
        sent.map_err(|e| Error::Failed(error_chain(&e)))
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
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

    /// Sends a request of the given parts and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
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

/// Returns an error with its causes in one line.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text = format!("{text}: {e}");
        cause = e.source();
    }
    text
}

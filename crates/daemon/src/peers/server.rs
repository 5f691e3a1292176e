//! Server side of the peers' port.

use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::header::AUTHORIZATION;
use http::{HeaderMap, Response, StatusCode};
use masticdeal_wire::peer::{Forward, ForwardReply};
use masticdeal_wire::{codec, headers};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::io::{Counted, Counts};
use super::stream::{self, StreamBody};
use super::watchdog::{self, Outstanding};
use super::{Error, PeerAddr, Result};
use crate::exchange::{BodyError, Failure, Outcome, Request, to_wire_ms};
use crate::node::Node;

/// Longest wait for the preface and the first request of a connection, which a peer sends at once,
/// and for a message on an open stream.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the last frames of a connection that is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait after a failed accept, such as for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Answers a control message: sender, path, and one whole frame of [`codec`] including its length
/// prefix. The answer is a frame of the same form, as [`codec::encode`] makes it.
pub type Control =
    Box<dyn Fn(PeerAddr, &'static str, Bytes) -> BoxFuture<'static, Result<Bytes>> + Send + Sync>;

/// Runs a forwarded request. Dropping the future cancels the request.
pub type Forwarded = Box<dyn Fn(Request) -> BoxFuture<'static, Outcome> + Send + Sync>;

/// What the server does with messages.
pub struct Handlers {
    /// Control messages.
    pub control: Control,
    /// Requests of callers.
    pub forward: Forwarded,
}

/// Serves the peers' port until [`Node::closing`] is set, then lets open streams end for a moment
/// and cuts off the rest.
pub async fn serve(node: Arc<Node>, listener: TcpListener, handlers: Handlers) {
    let handlers = Arc::new(handlers);
    let bound = Arc::new(Semaphore::new(node.settings.limits.connections));
    let connections = TaskTracker::new();
    let cut = CancellationToken::new();
    let mut closing = node.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&bound).try_acquire_owned() else {
            log::warn!(peer:% = peer; "Too many connections on the peers' port");
            continue;
        };
        let session = Session {
            node: Arc::clone(&node),
            handlers: Arc::clone(&handlers),
            peer: PeerAddr(peer),
            counts: Arc::default(),
            outstanding: Arc::default(),
        };
        let cut = cut.clone();
        connections.spawn(async move {
            cut.run_until_cancelled(session.run(stream)).await;
            drop(permit);
        });
    }
    connections.close();
    if timeout(CLOSE_TIMEOUT, connections.wait()).await.is_err() {
        // Dropping a connection cancels the requests on it.
        cut.cancel();
        connections.wait().await;
    }
}

#[derive(Clone)]
struct Session {
    node: Arc<Node>,
    handlers: Arc<Handlers>,
    peer: PeerAddr,
    counts: Arc<Counts>,
    outstanding: Arc<Outstanding>,
}

type Connection = h2::server::Connection<Counted<TcpStream>, Bytes>;

impl Session {
    async fn run(self, stream: TcpStream) {
        let _open = self.node.metrics.track_connection("peer-in");
        let _ = stream.set_nodelay(true);
        let io = Counted::new(stream, Arc::clone(&self.counts));
        let Ok(Ok(mut connection)) = timeout(READ_TIMEOUT, builder().handshake(io)).await else {
            return;
        };
        let Some(pings) = connection.ping_pong() else {
            return;
        };
        let limits = &self.node.settings.limits;
        let silent = watchdog::until_silent(pings, &self.counts, &self.outstanding, limits);
        tokio::select! {
            () = self.accept(&mut connection) => {}
            // Dropping the connection fails its streams, which cancels their requests.
            () = silent => {
                let kind = crate::telemetry::metrics::KindLabel { kind: "peer-in" };
                self.node.metrics.silent_connections.get_or_create(&kind).inc();
                log::warn!(peer:% = self.peer.0; "Retiring a silent connection of a peer");
            }
        }
    }

    async fn accept(&self, connection: &mut Connection) {
        let mut closing = self.node.closing.subscribe();
        let mut shutting_down = false;
        let mut authorized = false;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = sleep(READ_TIMEOUT), if !authorized => return,
                _ = closing.wait_for(|closing| *closing), if !shutting_down => {
                    shutting_down = true;
                    connection.graceful_shutdown();
                    continue;
                }
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            if !self.is_authorized(request.headers()) {
                return self.turn_away(connection, respond).await;
            }
            authorized = true;
            tokio::spawn(self.clone().stream(request, respond));
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let secret = &self.node.settings.secret.peers;
        let given = headers
            .get(AUTHORIZATION)
            .map_or(&b""[..], |v| v.as_bytes());
        let given = given.strip_prefix(b"Bearer ").unwrap_or_default();
        // An empty secret admits nobody.
        !secret.is_empty() && bool::from(given.ct_eq(secret.as_bytes()))
    }

    /// Answers a stranger with 401 and closes the connection.
    async fn turn_away(&self, connection: &mut Connection, mut respond: SendResponse<Bytes>) {
        log::warn!(peer:% = self.peer.0; "Turning away a connection without the peers' secret");
        let _ = respond.send_response(status(StatusCode::UNAUTHORIZED), true);
        drop(respond);
        connection.graceful_shutdown();
        let _ = timeout(CLOSE_TIMEOUT, async {
            while let Some(Ok((_, mut respond))) = connection.accept().await {
                respond.send_reset(h2::Reason::REFUSED_STREAM);
            }
        })
        .await;
    }

    async fn stream(self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let _entered = self.outstanding.enter();
        let path = request.uri().path();
        if path == headers::PATH_FORWARD {
            let _running = self.node.in_progress.token();
            return self.forward(request.into_body(), respond).await;
        }
        let Some(path) = headers::CONTROL_PATHS.into_iter().find(|p| *p == path) else {
            let _ = respond.send_response(status(StatusCode::NOT_FOUND), true);
            return;
        };
        self.counts.feed(
            &self.node.metrics.control_in,
            &self.node.metrics.control_out,
        );
        if self
            .control(path, request.into_body(), &mut respond)
            .await
            .is_err()
        {
            respond.send_reset(h2::Reason::INTERNAL_ERROR);
        }
    }

    async fn control(
        &self,
        path: &'static str,
        mut body: RecvStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<()> {
        let frame = timeout(READ_TIMEOUT, stream::read_frame(&mut body)).await;
        let frame = frame.map_err(|_| Error::Timeout)?;
        let reply = match frame {
            Ok(frame) => (self.handlers.control)(self.peer, path, frame).await,
            Err(e) => Err(Error::Connection(e.to_string())),
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                log::warn!(peer:% = self.peer.0, path; "Control message refused: {e}");
                respond
                    .send_response(status(StatusCode::BAD_REQUEST), true)
                    .map_err(Error::from_h2)?;
                return Ok(());
            }
        };
        let mut out = respond
            .send_response(status(StatusCode::OK), false)
            .map_err(Error::from_h2)?;
        out.send_data(reply, true).map_err(Error::from_h2)
    }

    async fn forward(&self, mut body: RecvStream, mut respond: SendResponse<Bytes>) {
        let head = timeout(READ_TIMEOUT, stream::read_message::<Forward>(&mut body)).await;
        let Ok(Ok((head, rest))) = head else {
            log::warn!(peer:% = self.peer.0; "Malformed forward message");
            let _ = respond.send_response(status(StatusCode::BAD_REQUEST), true);
            return;
        };
        self.node.record_versions(head.versions);
        let deadline = self.node.clock.now() + Duration::from_millis(head.deadline_ms.into());
        let body = StreamBody::boxed(body, rest, BodyError::CallerFailed, ());
        let request = Request {
            head,
            body,
            deadline,
        };
        let outcome = tokio::select! {
            outcome = (self.handlers.forward)(request) => outcome,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        if let Ok(out) = respond.send_response(status(StatusCode::OK), false) {
            reply(outcome, out).await;
        }
    }
}

/// Sends the outcome; an answer whose body fails ends with a reset of the stream.
async fn reply(outcome: Outcome, mut out: SendStream<Bytes>) {
    let (message, body) = match outcome {
        Outcome::Answer(a) => {
            let message = ForwardReply::Response {
                status: a.status,
                headers: a.headers,
                load: a.load,
            };
            (message, Some(a.body))
        }
        Outcome::Failed(f) => (failed(f), None),
    };
    let Ok(frame) = codec::encode(&message) else {
        out.send_reset(h2::Reason::INTERNAL_ERROR);
        return;
    };
    let end = body.as_ref().is_none_or(http_body::Body::is_end_stream);
    if out.send_data(frame, end).is_err() || end {
        return;
    }
    if let Some(body) = body
        && stream::send_body(body, &mut out).await.is_err()
    {
        out.send_reset(h2::Reason::INTERNAL_ERROR);
    }
}

fn failed(f: Failure) -> ForwardReply {
    ForwardReply::Failed {
        verdict: f.verdict,
        reason: f.reason,
        retry_after_ms: f.retry_after.map(to_wire_ms),
        versions: f.versions,
        load: f.load,
    }
}

fn status(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}

fn builder() -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(super::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(super::CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(super::MAX_STREAMS)
        .max_header_list_size(super::MAX_HEADER_LIST_BYTES)
        .max_send_buffer_size(super::STREAM_WINDOW_BYTES as usize);
    builder
}

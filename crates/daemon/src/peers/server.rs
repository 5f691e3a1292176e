//! Server side of the peer transport.

use std::future::poll_fn;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use masticdeal_policy::attempts::{AttemptId, ConnectionId};
use masticdeal_wire::format::Format;
use masticdeal_wire::peer::{Forward, ForwardReply};
use masticdeal_wire::withdraw::{Withdraw, WithdrawReply};
use masticdeal_wire::{codec, headers};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::counting::CountingStream;
use super::incoming::IncomingState;
use super::stream::{self, StreamBody};
use super::{Error, PeerAddr, Result};
use crate::exchange::{BodyError, Failure, Outcome, Request, to_wire_ms};
use crate::node::Node;

/// Longest wait for each of the preface of a connection, its first request, and the message on an
/// open stream. Peers send all of them without delay.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for open streams when the server closes, and for the last frames of a rejected
/// connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which a connection is observed for incoming bytes before its attempts are withdrawn.
const RECEIVE_OBSERVATION: Duration = Duration::from_millis(100);

/// Handles a control message: format, path, and a complete frame of [`codec`] with its length
/// prefix. Returns the reply as a frame of the same format, see [`codec::encode_as`].
pub type ControlHandler =
    Box<dyn Fn(Format, &'static str, Bytes) -> BoxFuture<'static, Result<Bytes>> + Send + Sync>;

/// Runs a forwarded request. Dropping the future cancels the request.
pub type ForwardHandler = Box<dyn Fn(Request) -> BoxFuture<'static, Outcome> + Send + Sync>;

/// Handlers for incoming messages.
pub struct Handlers {
    /// Handler for control messages.
    pub control: ControlHandler,
    /// Handler for forwarded requests of callers.
    pub forward: ForwardHandler,
}

/// Serves the peer port until [`Node::closing`] is set. Open streams then have `CLOSE_TIMEOUT` to
/// end before their connections are aborted.
pub async fn serve(node: Arc<Node>, listener: TcpListener, handlers: Handlers) {
    let handlers = Arc::new(handlers);
    let connection_limit = Arc::new(Semaphore::new(node.settings.limits.connections));
    let connections = TaskTracker::new();
    let abort = CancellationToken::new();
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
        let Ok(permit) = Arc::clone(&connection_limit).try_acquire_owned() else {
            log::warn!(peer:% = peer;
                "connection limit of the peer port reached; closing a new connection");
            continue;
        };
        let connection = IncomingConnection {
            node: Arc::clone(&node),
            handlers: Arc::clone(&handlers),
            peer: PeerAddr(peer),
            state: Arc::default(),
            id: Arc::default(),
        };
        let abort = abort.clone();
        connections.spawn(async move {
            abort.run_until_cancelled(connection.run(stream)).await;
            drop(permit);
        });
    }
    connections.close();
    if timeout(CLOSE_TIMEOUT, connections.wait()).await.is_err() {
        // Dropping a connection cancels its requests.
        abort.cancel();
        connections.wait().await;
    }
}

/// One connection that a peer has opened. Each of its streams has a clone.
#[derive(Clone)]
struct IncomingConnection {
    node: Arc<Node>,
    handlers: Arc<Handlers>,
    peer: PeerAddr,
    state: Arc<IncomingState>,
    /// Identifier that the sender gives the connection in its first attempt; `None` inside if it
    /// ended before one was read.
    id: Arc<OnceLock<Option<ConnectionId>>>,
}

type Connection = h2::server::Connection<CountingStream<TcpStream>, Bytes>;

impl IncomingConnection {
    async fn run(self, stream: TcpStream) {
        let _open = self.node.metrics.track_connection("peer-in");
        let _ = stream.set_nodelay(true);
        let io = CountingStream::new(stream, Arc::clone(&self.state.counts));
        let Ok(Ok(mut connection)) = timeout(READ_TIMEOUT, server_builder().handshake(io)).await
        else {
            return;
        };
        let Some(ping_pong) = connection.ping_pong() else {
            return;
        };
        let limits = &self.node.settings.limits;
        let until_gone = self
            .state
            .wait_until_gone(ping_pong, limits, || self.record_silence());
        tokio::select! {
            // Bytes that have arrived are read before the watchdog decides.
            biased;
            () = self.accept_streams(&mut connection) => {}
            // Dropping the connection fails its streams, which cancels their requests.
            () = self.state.ended.cancelled() => {
                log::info!(peer:% = self.peer.0;
                    "the peer reports the end of its connection; closing it");
            }
            () = until_gone => {
                log::warn!(peer:% = self.peer.0;
                    "no bytes from the peer for the time limits of its requests; closing the silent \
                     connection");
            }
        }
        if let Some(id) = self.id.get_or_init(|| None) {
            self.node.receiving_connections().remove(id);
            self.node.received_attempts().close(*id);
        }
    }

    fn record_silence(&self) {
        let kind = crate::telemetry::metrics::KindLabel { kind: "peer-in" };
        let metrics = &self.node.metrics;
        metrics.silent_connections.get_or_create(&kind).inc();
        log::info!(peer:% = self.peer.0;
            "no bytes from the peer after a ping; its requests in progress continue");
    }

    /// Returns whether the attempt has the identifier of this connection. The first attempt sets
    /// it. No attempt matches once the connection has ended without one.
    fn matches(&self, format: Format, attempt: Option<AttemptId>) -> bool {
        if format == Format::Previous {
            // Its attempts have no identifiers and cannot be withdrawn.
            return true;
        }
        let Some(AttemptId { connection, .. }) = attempt else {
            return false;
        };
        let id = self.id.get_or_init(|| {
            self.node.received_attempts().open(connection);
            let state = Arc::downgrade(&self.state);
            self.node.receiving_connections().insert(connection, state);
            Some(connection)
        });
        *id == Some(connection)
    }

    /// Withdraws attempts of another connection. Returns the reply, and the state of that connection,
    /// whose requests the caller must wake once the reply is sent: there may be many, and the sender
    /// waits for the reply only for a short time.
    async fn withdraw(&self, frame: &[u8]) -> Result<(Bytes, Option<Arc<IncomingState>>)> {
        let Withdraw {
            connection,
            attempts,
            has_ended,
        } = codec::decode_frame(frame)?;
        let state = self.node.receiving_connection(connection);
        let is_receiving = match &state {
            Some(state) if !has_ended => is_receiving(state).await,
            _ => false,
        };
        let reply = if is_receiving {
            WithdrawReply::Receiving
        } else {
            let withdrawn = self
                .node
                .received_attempts()
                .withdraw(connection, &attempts);
            withdrawn.map_or(WithdrawReply::Unknown, WithdrawReply::Withdrawn)
        };
        if let Some(state) = state.as_ref().filter(|_| has_ended) {
            state.ended.cancel();
        }
        let withdrawn = match &reply {
            WithdrawReply::Withdrawn(numbers) => numbers.len(),
            WithdrawReply::Unknown | WithdrawReply::Receiving => 0,
        };
        let answer = match &reply {
            WithdrawReply::Withdrawn(_) => "Withdrawn",
            WithdrawReply::Unknown => "Unknown",
            WithdrawReply::Receiving => "Receiving",
        };
        log::info!(peer:% = self.peer.0, asked = attempts.len(), reply = answer, withdrawn;
            "a peer asked about its requests on a connection without answers");
        let woken = state.filter(|_| matches!(reply, WithdrawReply::Withdrawn(_)));
        Ok((codec::encode(&reply)?, woken))
    }

    async fn accept_streams(&self, connection: &mut Connection) {
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
                return self.reject(connection, respond).await;
            }
            authorized = true;
            tokio::spawn(self.clone().handle_stream(request, respond));
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let secret = &self.node.settings.secret.peers;
        let credentials = headers
            .get(AUTHORIZATION)
            .map_or(&b""[..], |v| v.as_bytes());
        let credentials = credentials.strip_prefix(b"Bearer ").unwrap_or_default();
        // With an empty secret no peer is authorized.
        !secret.is_empty() && bool::from(credentials.ct_eq(secret.as_bytes()))
    }

    /// Responds to an unauthorized client with 401 and closes the connection.
    async fn reject(&self, connection: &mut Connection, mut respond: SendResponse<Bytes>) {
        log::warn!(peer:% = self.peer.0; "connection without the peer secret; closing it");
        let _ = respond.send_response(response_head(StatusCode::UNAUTHORIZED), true);
        drop(respond);
        connection.graceful_shutdown();
        let _ = timeout(CLOSE_TIMEOUT, async {
            while let Some(Ok((_, mut respond))) = connection.accept().await {
                respond.send_reset(h2::Reason::REFUSED_STREAM);
            }
        })
        .await;
    }

    async fn handle_stream(
        self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let _guard = self.state.outstanding.track();
        let number = request.headers().get(headers::FORMAT);
        let format = Format::from_number(number.map(HeaderValue::as_bytes));
        let path = request.uri().path();
        if path == headers::PATH_FORWARD {
            let _running = self.node.in_progress.token();
            return self
                .handle_forward(format, request.into_body(), respond)
                .await;
        }
        if path == headers::PATH_HELLO {
            let mut response = response_head(StatusCode::OK);
            let number = HeaderValue::from_static(Format::CURRENT_NUMBER);
            response.headers_mut().insert(headers::FORMAT, number);
            let _ = respond.send_response(response, true);
            return;
        }
        let control_path = headers::CONTROL_PATHS.into_iter().find(|p| *p == path);
        if control_path.is_some() {
            let metrics = &self.node.metrics;
            self.state
                .counts
                .export_to(&metrics.control_in, &metrics.control_out);
        }
        let is_withdrawal = path == headers::PATH_WITHDRAW;
        let Some(path) = control_path.or(is_withdrawal.then_some(headers::PATH_WITHDRAW)) else {
            let _ = respond.send_response(response_head(StatusCode::NOT_FOUND), true);
            return;
        };
        if self
            .handle_control(format, path, request.into_body(), &mut respond)
            .await
            .is_err()
        {
            respond.send_reset(h2::Reason::INTERNAL_ERROR);
        }
    }

    async fn handle_control(
        &self,
        format: Format,
        path: &'static str,
        mut body: RecvStream,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<()> {
        let frame = timeout(READ_TIMEOUT, stream::read_frame(&mut body)).await;
        let frame = frame.map_err(|_| Error::Timeout)?;
        let mut withdrawn = None;
        let reply = match frame {
            Ok(frame) if path == headers::PATH_WITHDRAW => {
                self.withdraw(&frame).await.map(|(reply, state)| {
                    withdrawn = state;
                    reply
                })
            }
            Ok(frame) => (self.handlers.control)(format, path, frame).await,
            Err(e) => Err(Error::Connection(e.to_string())),
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(e) => {
                log::warn!(peer:% = self.peer.0, path; "control message failed: {e}");
                respond
                    .send_response(response_head(StatusCode::BAD_REQUEST), true)
                    .map_err(Error::from_h2)?;
                return Ok(());
            }
        };
        let mut out = respond
            .send_response(response_head(StatusCode::OK), false)
            .map_err(Error::from_h2)?;
        out.send_data(reply, true).map_err(Error::from_h2)?;
        if let Some(state) = withdrawn {
            state.withdrawn.cancel();
        }
        Ok(())
    }

    async fn handle_forward(
        &self,
        format: Format,
        mut body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) {
        let head = stream::read_message::<Forward>(format, &mut body);
        let head = timeout(READ_TIMEOUT, head).await;
        let head = head.ok().and_then(std::result::Result::ok);
        let Some((head, buffered)) = head.filter(|(head, _)| self.matches(format, head.attempt))
        else {
            log::warn!(peer:% = self.peer.0; "malformed or incomplete forward message");
            let _ = respond.send_response(response_head(StatusCode::BAD_REQUEST), true);
            return;
        };
        self.node.record_reported_versions(head.versions);
        let time_limit = Duration::from_millis(head.deadline_ms.into());
        let _limit = self.state.track_limit(time_limit);
        let deadline = self.node.clock.now() + time_limit;
        let body = StreamBody::boxed(body, buffered, BodyError::CallerFailed, ());
        let request = Request {
            head,
            body,
            deadline,
        };
        let outcome = tokio::select! {
            outcome = (self.handlers.forward)(request) => outcome,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        };
        if let Ok(out) = respond.send_response(response_head(StatusCode::OK), false) {
            send_outcome(format, outcome, out).await;
        }
    }
}

/// Returns whether bytes arrive on the connection. Its requests may then be on their way over a full
/// link, where withdrawing them would only send them twice.
async fn is_receiving(state: &IncomingState) -> bool {
    let before = state.counts.read();
    sleep(RECEIVE_OBSERVATION).await;
    state.counts.read() != before
}

/// Sends the outcome. Resets the stream if the message cannot be encoded or the response body
/// fails.
async fn send_outcome(format: Format, outcome: Outcome, mut out: SendStream<Bytes>) {
    let (message, body) = match outcome {
        Outcome::Response(response) => {
            let message = ForwardReply::Response {
                status: response.status.as_u16(),
                headers: response.headers,
                load: response.load,
            };
            (message, Some(response.body))
        }
        Outcome::Failed(failure) => (failure_reply(format, failure), None),
    };
    let Ok(frame) = codec::encode_as(format, &message) else {
        out.send_reset(h2::Reason::INTERNAL_ERROR);
        return;
    };
    let end_of_stream = body.as_ref().is_none_or(http_body::Body::is_end_stream);
    if out.send_data(frame, end_of_stream).is_err() || end_of_stream {
        return;
    }
    if let Some(body) = body
        && stream::send_body(body, &mut out).await.is_err()
    {
        out.send_reset(h2::Reason::INTERNAL_ERROR);
    }
}

fn failure_reply(format: Format, failure: Failure) -> ForwardReply {
    ForwardReply::Failed {
        verdict: failure.verdict,
        reason: failure.reason.in_format(format),
        retry_after_ms: failure.retry_after.map(to_wire_ms),
        versions: failure.versions,
        load: failure.load,
    }
}

fn response_head(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}

fn server_builder() -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(super::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(super::CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(super::MAX_STREAMS)
        .max_header_list_size(super::MAX_HEADER_LIST_BYTES)
        .max_send_buffer_size(super::STREAM_WINDOW_BYTES as usize);
    builder
}

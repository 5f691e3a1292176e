//! The caller port: HTTP/1.1 and HTTP/2.
//!
//! The ingress determines the service and the owner of a request and sends it there in at most one
//! hop. Invariants:
//!
//! - A caller receives only the response to its own request.
//! - A request is not retried once its response head was received.
//! - Every failure carries its verdict in the headers.
//! - Every resource that callers can consume is bounded.

mod balance;
mod head;
mod replay_body;
mod reply;
mod retry;
mod route;
mod stall;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use masticdeal_policy::redirect;
use masticdeal_wire::headers;
use masticdeal_wire::peer::Reason;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::exchange::{Body, Failure};
use crate::node::Node;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::peers::counting::{ByteCounts, CountingStream};
use crate::telemetry::traces::HopSpan;
use balance::ServiceBalancers;
use head::Head;
use replay_body::ReplayBody;
use reply::RequestGuard;
use stall::StallDetector;

/// Longest wait for an HTTP/1.1 request head once the protocol of the connection is known.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for the bytes that identify the protocol of a connection.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of the HTTP/2 connection preface in bytes. An HTTP/1.1 request with a host is longer.
const H2_PREFACE_BYTES: u64 = 24;

/// Idle time after which an HTTP/2 connection of a caller is pinged, and the time-out of the ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Limit on concurrent streams of one HTTP/2 connection.
const MAX_H2_STREAMS: u32 = 256;

/// Limit on connections above `limits.connections` that get a response before they are closed. Any
/// further connection is closed at once.
const MAX_REJECTIONS: usize = 64;

/// Longest time spent on rejecting one connection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Smallest request head buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

struct Ingress {
    node: Arc<Node>,
    peers: Arc<Peers>,
    owner: Arc<Owner>,
    balancers: ServiceBalancers,
    /// Settings for requests that no target has run yet.
    redirect_settings: redirect::Settings,
    stall_detector: Arc<StallDetector>,
    /// Limits the requests in progress.
    request_limit: Arc<Semaphore>,
    /// Limits the requests that wait for an owner.
    waiting_limit: Semaphore,
}

/// Serves the caller port until [`Node::caller_port_closed`] is set. Running requests then have
/// `settings.daemon.drain_timeout`, less the linger time, to finish before their connections are
/// aborted.
pub async fn serve(node: Arc<Node>, peers: Arc<Peers>, owner: Arc<Owner>, listener: TcpListener) {
    let limits = &node.settings.limits;
    let ingress = Arc::new(Ingress {
        request_limit: Arc::new(Semaphore::new(limits.requests)),
        waiting_limit: Semaphore::new(limits.queue_length),
        balancers: ServiceBalancers::default(),
        redirect_settings: redirect::Settings {
            takeover_timeout: node.settings.lease.duration * 2,
            ..Default::default()
        },
        stall_detector: StallDetector::start(Arc::clone(&node.clock)),
        node: Arc::clone(&node),
        peers,
        owner,
    });
    let connections = TaskTracker::new();
    let abort = CancellationToken::new();
    accept_connections(&ingress, listener, &connections, &abort).await;
    connections.close();
    let daemon = &node.settings.daemon;
    let remaining = daemon.drain_timeout.saturating_sub(daemon.linger);
    if timeout(remaining, connections.wait()).await.is_err() {
        log::warn!("requests still running at the end of the drain; aborting their connections");
        abort.cancel();
        connections.wait().await;
    }
}

/// Accepts connections until the caller port closes. Closes the listener on return.
async fn accept_connections(
    ingress: &Arc<Ingress>,
    listener: TcpListener,
    connections: &TaskTracker,
    abort: &CancellationToken,
) {
    let connection_limit = Arc::new(Semaphore::new(ingress.node.settings.limits.connections));
    let rejection_limit = Arc::new(Semaphore::new(MAX_REJECTIONS));
    let mut closed = ingress.node.caller_port_closed.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if let Ok(permit) = Arc::clone(&connection_limit).try_acquire_owned() {
            let (ingress, abort) = (Arc::clone(ingress), abort.clone());
            connections.spawn(async move {
                abort
                    .run_until_cancelled(ingress.serve_connection(stream))
                    .await;
                drop(permit);
            });
        } else if let Ok(permit) = Arc::clone(&rejection_limit).try_acquire_owned() {
            tokio::spawn(async move {
                let _ = timeout(REJECTION_TIMEOUT, reject_connection(stream)).await;
                drop(permit);
            });
        }
    }
}

/// Sends a 503 response on a connection above the limit. The caller's bytes are then read and
/// discarded: closing a socket with unread bytes resets the connection, and the caller may lose the
/// response.
async fn reject_connection(mut stream: TcpStream) -> std::io::Result<()> {
    let reason = Reason::TooManyConnections.as_str();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{}: NotRun\r\n{}: {reason}\r\nretry-after: 1\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n",
        headers::VERDICT,
        headers::REASON,
    );
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await?;
    let mut scratch = [0; 1024];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}

impl Ingress {
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _open = self.node.metrics.track_connection("caller");
        let _ = stream.set_nodelay(true);
        let builder = self.connection_builder();
        let ingress = Arc::clone(&self);
        let service = service_fn(move |request| {
            let ingress = Arc::clone(&ingress);
            async move { Ok::<_, Infallible>(ingress.handle(request).await) }
        });
        let counts = Arc::new(ByteCounts::default());
        let io = TokioIo::new(CountingStream::new(stream, Arc::clone(&counts)));
        let connection = builder.serve_connection(io, service);
        tokio::pin!(connection);
        // The HTTP library has no time-out for the bytes that identify the protocol.
        let preface_timer = sleep(PREFACE_TIMEOUT);
        tokio::pin!(preface_timer);
        let mut closed = self.node.caller_port_closed.subscribe();
        let (mut is_closing, mut is_protocol_known) = (false, false);
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = &mut preface_timer, if !is_protocol_known => {
                    is_protocol_known = counts.read() >= H2_PREFACE_BYTES;
                    if !is_protocol_known {
                        return;
                    }
                }
                _ = closed.wait_for(|closed| *closed), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    fn connection_builder(&self) -> auto::Builder<TokioExecutor> {
        // Twice the limit leaves room for the request line, and lets the daemon itself refuse
        // headers that are too large.
        let max_header = 2 * self.node.settings.limits.max_header_bytes;
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(max_header.max(MIN_HEAD_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .max_concurrent_streams(MAX_H2_STREAMS)
            .max_header_list_size(u32::try_from(max_header).unwrap_or(u32::MAX));
        builder
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let id = head::request_id(&self.node, &parts.headers);
        let permit = Arc::clone(&self.request_limit).try_acquire_owned();
        let Ok(permit) = permit else {
            let reason = Reason::TooManyRequests;
            return reply::failure_response(&self.node, Failure::not_run(reason), &id);
        };
        let mut guard = RequestGuard::new(&self.node, permit);
        let mut head = match Head::validate(&self.node, &parts, &id) {
            Ok(head) => head,
            Err(failure) => return reply::render_failure(failure, guard, &id),
        };
        guard.service.clone_from(&head.service);
        let hop = HopSpan::start("ingress", head::traceparent(&parts.headers));
        hop.set_property("service", || head.service.clone());
        head.forward.traceparent = hop.traceparent();
        let deadline = head.deadline.since_boot();
        let body = ReplayBody::new(incoming, self.node.settings.limits.max_body_bytes);
        match self.serve_with_retries(head, &body).await {
            Ok(response) => {
                reply::render_response(response, guard, &self.stall_detector, &id, deadline)
            }
            Err(failure) => {
                hop.set_property("failure", || failure.reason.as_str().to_owned());
                reply::render_failure(failure, guard, &id)
            }
        }
    }
}

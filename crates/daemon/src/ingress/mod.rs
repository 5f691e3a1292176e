//! The callers' port: HTTP/1.1 and h2.
//!
//! The ingress finds the service and the owner of a request, and sends it there in at most one hop.
//! Invariants: an answer is passed on only to the request that it answers, and nothing is tried
//! again once its head is known; every failure carries its verdict in the headers; all that a
//! caller can make grow has a bound.

mod attempts;
mod balance;
mod head;
mod replay;
mod reply;
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
use crate::peers::io::{Counted, Counts};
use crate::telemetry::traces::Hop;
use balance::Services;
use head::Head;
use replay::Replay;
use reply::Open;
use stall::Stalls;

/// Longest wait for the head of a request on a connection that has shown its protocol.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for the bytes that show the protocol of a connection.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of the preface of h2 in bytes; a request of HTTP/1.1 with its host is longer.
const PREFACE_BYTES: u64 = 24;

/// Time without a frame after which an h2 connection of a caller is pinged, and the wait for the
/// answer.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Streams that a caller may have open on one h2 connection.
const MAX_STREAMS: u32 = 256;

/// Connections beyond the bound that are answered before they are closed; more are just closed.
const MAX_TURNED_AWAY: usize = 64;

/// Longest time that is spent on a connection beyond the bound.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Smallest buffer for the head of a request that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Wait after a failed accept, such as for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

struct Ingress {
    node: Arc<Node>,
    peers: Arc<Peers>,
    owner: Arc<Owner>,
    services: Services,
    /// Bounds of requests that nobody runs.
    redirects: redirect::Settings,
    stalls: Arc<Stalls>,
    /// Bounds the requests in progress.
    requests: Arc<Semaphore>,
    /// Bounds the requests that wait for somebody who may serve them.
    waiting: Semaphore,
}

/// Serves the callers' port until [`Node::draining`] is set, then lets running requests finish for
/// at most `settings.daemon.drain_timeout` and cuts off the rest.
pub async fn serve(node: Arc<Node>, peers: Arc<Peers>, owner: Arc<Owner>, listener: TcpListener) {
    let limits = &node.settings.limits;
    let ingress = Arc::new(Ingress {
        requests: Arc::new(Semaphore::new(limits.requests)),
        waiting: Semaphore::new(limits.queue_length),
        services: Services::default(),
        redirects: redirect::Settings {
            takeover_timeout: node.settings.lease.duration * 2,
            ..Default::default()
        },
        stalls: Stalls::start(Arc::clone(&node.clock)),
        node: Arc::clone(&node),
        peers,
        owner,
    });
    let connections = TaskTracker::new();
    let cut = CancellationToken::new();
    accept(&ingress, listener, &connections, &cut).await;
    connections.close();
    let daemon = &node.settings.daemon;
    let left = daemon.drain_timeout.saturating_sub(daemon.linger);
    if timeout(left, connections.wait()).await.is_err() {
        log::warn!("Requests were still running at the end of the drain");
        cut.cancel();
        connections.wait().await;
    }
}

/// Accepts connections until the daemon drains. The listener is closed on return.
async fn accept(
    ingress: &Arc<Ingress>,
    listener: TcpListener,
    connections: &TaskTracker,
    cut: &CancellationToken,
) {
    let bound = Arc::new(Semaphore::new(ingress.node.settings.limits.connections));
    let turned_away = Arc::new(Semaphore::new(MAX_TURNED_AWAY));
    let mut draining = ingress.node.draining.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = draining.wait_for(|draining| *draining) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if let Ok(permit) = Arc::clone(&bound).try_acquire_owned() {
            let (ingress, cut) = (Arc::clone(ingress), cut.clone());
            connections.spawn(async move {
                cut.run_until_cancelled(ingress.connection(stream)).await;
                drop(permit);
            });
        } else if let Ok(permit) = Arc::clone(&turned_away).try_acquire_owned() {
            tokio::spawn(async move {
                let _ = timeout(TURN_AWAY_TIMEOUT, turn_away(stream)).await;
                drop(permit);
            });
        }
    }
}

/// Answers a connection beyond the bound. What it sends is read for a moment, since a close with
/// unread bytes resets the connection and may take the answer with it.
async fn turn_away(mut stream: TcpStream) -> std::io::Result<()> {
    let reason = Reason::TooManyConnections.as_str();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{}: NotRun\r\n{}: {reason}\r\nretry-after: 1\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n",
        headers::VERDICT,
        headers::REASON,
    );
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    let mut scratch = [0; 1024];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}

impl Ingress {
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let _open = self.node.metrics.connection("caller");
        let _ = stream.set_nodelay(true);
        let builder = self.builder();
        let ingress = Arc::clone(&self);
        let service = service_fn(move |request| {
            let ingress = Arc::clone(&ingress);
            async move { Ok::<_, Infallible>(ingress.handle(request).await) }
        });
        let counts = Arc::new(Counts::default());
        let io = TokioIo::new(Counted::new(stream, Arc::clone(&counts)));
        let connection = builder.serve_connection(io, service);
        tokio::pin!(connection);
        // The HTTP library waits without end for the bytes by which it tells the protocols apart.
        let preface = sleep(PREFACE_TIMEOUT);
        tokio::pin!(preface);
        let mut draining = self.node.draining.subscribe();
        let (mut closing, mut known) = (false, false);
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = &mut preface, if !known => {
                    known = counts.read() >= PREFACE_BYTES;
                    if !known {
                        return;
                    }
                }
                _ = draining.wait_for(|draining| *draining), if !closing => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        // Room for the request line and for the daemon's own answer to headers that are too large.
        let max_header = 2 * self.node.settings.limits.max_header_bytes;
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(max_header.max(MIN_HEAD_BUFFER));
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(u32::try_from(max_header).unwrap_or(u32::MAX));
        builder
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, incoming) = request.into_parts();
        let id = head::request_id(&self.node, &parts.headers);
        let permit = Arc::clone(&self.requests).try_acquire_owned();
        let Ok(permit) = permit else {
            let reason = Reason::TooManyRequests;
            return reply::unadmitted(&self.node, Failure::not_run(reason), &id);
        };
        let mut open = Open::new(&self.node, permit);
        let mut head = match Head::check(&self.node, &parts, &id) {
            Ok(head) => head,
            Err(failure) => return reply::failure(failure, open, &id),
        };
        open.service.clone_from(&head.service);
        let hop = Hop::start("ingress", head::traceparent(&parts.headers));
        hop.note("service", || head.service.clone());
        head.forward.traceparent = hop.traceparent();
        let body = Replay::new(incoming, self.node.settings.limits.max_body_bytes);
        match self.attempts(head, &body).await {
            Ok(answered) => reply::answer(answered, open, &self.stalls, &id),
            Err(failure) => {
                hop.note("failure", || failure.reason.as_str().to_owned());
                reply::failure(failure, open, &id)
            }
        }
    }
}

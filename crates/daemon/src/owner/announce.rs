//! The announce port: the target beside this daemon says where it is and whether it takes work.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use masticdeal_wire::{headers, target::Announce};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::exchange::{Body, full};
use crate::node::Node;

/// Silence after which the target counts as away; announcements come once a second.
const SILENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the last announcement.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Largest announcement in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Connections to the announce port.
const MAX_CONNECTIONS: usize = 16;

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an announcement is refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// the body exceeds 4096 bytes or ended early
    Body,
    /// not an announcement: {0}
    Malformed(String),
    /// `slots` is 0
    NoSlots,
    /// `service` is empty
    NoService,
    /// `address` has port 0
    NoPort,
    /// another target at {0} is alive beside this daemon
    OtherTarget(SocketAddr),
}

impl std::error::Error for Error {}

/// Serves the announce port and publishes into [`Node::target`]. Never returns.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let state = Arc::new(State {
        node,
        last: Mutex::new(None),
    });
    let bound = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sleep(CHECK_EVERY) => {
                state.check_silence();
                continue;
            }
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = Arc::clone(&bound).try_acquire_owned() else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            connection(state, stream).await;
            drop(permit);
        });
    }
}

async fn connection(state: Arc<State>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(state.answer(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

struct State {
    node: Arc<Node>,
    /// Address and time of the last announcement.
    last: Mutex<Option<(SocketAddr, Duration)>>,
}

impl State {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != headers::PATH_ANNOUNCE {
            return response(StatusCode::NOT_FOUND, String::new());
        }
        if request.method() != Method::POST {
            return response(StatusCode::METHOD_NOT_ALLOWED, String::new());
        }
        match self
            .read(request)
            .await
            .and_then(|announce| self.publish(announce))
        {
            Ok(()) => response(StatusCode::OK, String::new()),
            Err(e @ Error::OtherTarget(_)) => response(StatusCode::CONFLICT, e.to_string()),
            Err(e @ Error::Body) => response(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()),
            Err(e) => response(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Announce, Error> {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let body = tokio::time::timeout(HEAD_TIMEOUT, body)
            .await
            .map_err(|_| Error::Body)?;
        let body = body.map_err(|_| Error::Body)?.to_bytes();
        let announce: Announce =
            serde_json::from_slice(&body).map_err(|e| Error::Malformed(e.to_string()))?;
        match &announce {
            a if a.slots == 0 => Err(Error::NoSlots),
            a if a.service.is_empty() => Err(Error::NoService),
            a if a.address.port() == 0 => Err(Error::NoPort),
            _ => Ok(announce),
        }
    }

    fn publish(&self, announce: Announce) -> Result<(), Error> {
        let now = self.node.clock.now();
        let mut last = self.last.lock().unwrap_or_else(|e| e.into_inner());
        if let Some((address, at)) = *last
            && address != announce.address
            && now.saturating_sub(at) < SILENCE
        {
            return Err(Error::OtherTarget(address));
        }
        *last = Some((announce.address, now));
        self.node.target.send_if_modified(|known| {
            let changed = known.as_ref() != Some(&announce);
            *known = Some(announce);
            changed
        });
        Ok(())
    }

    fn check_silence(&self) {
        let last = *self.last.lock().unwrap_or_else(|e| e.into_inner());
        let Some((address, at)) = last else { return };
        if self.node.clock.now().saturating_sub(at) < SILENCE {
            return;
        }
        self.node.target.send_if_modified(|known| {
            let away = known.take().is_some();
            if away {
                log::warn!(target:% = address; "The target no longer announces itself");
            }
            away
        });
    }
}

fn response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

//! The announce port: the target beside this daemon says where it is and whether it takes work.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use masticdeal_wire::target::{Announce, AnnouncedState, Report, ReportReply};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::exchange::{Body, full};
use crate::node::Node;
use crate::protocol::TargetMessage;

/// Silence after which the target counts as away; announcements come once a second.
const SILENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the last announcement.
const CHECK_EVERY: Duration = Duration::from_millis(250);

/// Largest announcement in bytes. A report names each run of keys that the target holds and each that it
/// released, with a handover: 40 bytes for each of 512 shards in both lists, and as much again in reserve.
const MAX_BODY_BYTES: usize = 80 << 10;

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
    /// the settings name another service or address for the target
    Stranger,
    /// a newer life of the target, or a later report of this one, is known
    Stale,
}

impl std::error::Error for Error {}

/// Answers a report after the target that it describes was published.
pub type Reports = Box<dyn Fn(&Report) -> ReportReply + Send + Sync>;

/// Serves the announce port and publishes into [`Node::target`]. Never returns.
pub async fn serve(node: Arc<Node>, listener: TcpListener, reports: Reports) {
    let state = Arc::new(State {
        node,
        reports,
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

/// The last announcement that was believed.
#[derive(Debug, Clone, Copy)]
struct Last {
    address: SocketAddr,
    life: u64,
    sequence: u64,
    at: Duration,
}

struct State {
    node: Arc<Node>,
    reports: Reports,
    last: Mutex<Option<Last>>,
}

impl State {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.method() != Method::POST {
            return response(StatusCode::METHOD_NOT_ALLOWED, String::new());
        }
        let path = request.uri().path().to_owned();
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(HEAD_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            _ => return response(StatusCode::PAYLOAD_TOO_LARGE, Error::Body.to_string()),
        };
        let Some(message) = (self.node.protocol.target.decode)(&path, &body) else {
            return response(StatusCode::NOT_FOUND, String::new());
        };
        let taken = message
            .map_err(Error::Malformed)
            .and_then(|message| self.take(message));
        match taken {
            Ok(answer) => answered(self.node.protocol.target.encode, &answer),
            Err(e) => {
                log::warn!(path = path.as_str(), reason:% = e; "message of the target is refused");
                let status = match e {
                    Error::OtherTarget(_) | Error::Stranger | Error::Stale => StatusCode::CONFLICT,
                    _ => StatusCode::BAD_REQUEST,
                };
                response(status, e.to_string())
            }
        }
    }

    fn take(&self, message: TargetMessage) -> Result<ReportReply, Error> {
        match message {
            TargetMessage::Report(report) => {
                self.check(&report)?;
                self.publish(&report)?;
                Ok((self.reports)(&report))
            }
            TargetMessage::Leave {
                instance,
                incarnation,
            } => self.leave(&instance, incarnation),
        }
    }

    fn check(&self, report: &Report) -> Result<(), Error> {
        let named = &self.node.settings.target;
        match &report.announce {
            a if a.slots == 0 => Err(Error::NoSlots),
            a if a.service.is_empty() => Err(Error::NoService),
            a if a.address.port() == 0 => Err(Error::NoPort),
            a if named.address.is_some_and(|known| known != a.address) => Err(Error::Stranger),
            a if !named.service.is_empty() && named.service != a.service => Err(Error::Stranger),
            _ => Ok(()),
        }
    }

    fn publish(&self, report: &Report) -> Result<(), Error> {
        let announce = &report.announce;
        let now = self.node.clock.now();
        let mut last = self.last.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(last) = *last {
            let alive = now.saturating_sub(last.at) < SILENCE;
            if last.address != announce.address && alive {
                return Err(Error::OtherTarget(last.address));
            }
            let same = last.life == announce.incarnation && announce.incarnation != 0;
            if announce.incarnation < last.life || (same && report.sequence <= last.sequence) {
                return Err(Error::Stale);
            }
        }
        *last = Some(Last {
            address: announce.address,
            life: announce.incarnation,
            sequence: report.sequence,
            at: now,
        });
        self.set(Some(announce.clone()));
        Ok(())
    }

    /// Takes a target that leaves as one that drains. The message itself is the last one of its
    /// life that is sure to come.
    fn leave(&self, instance: &str, life: u64) -> Result<ReportReply, Error> {
        let known = self.node.target.borrow().clone();
        let known =
            known.filter(|t| t.instance == instance && (life == 0 || life == t.incarnation));
        let Some(known) = known else {
            return Err(Error::Stale);
        };
        self.set(Some(Announce {
            state: AnnouncedState::Draining,
            ..known
        }));
        Ok(ReportReply::default())
    }

    fn set(&self, target: Option<Announce>) {
        self.node.target.send_if_modified(|known| {
            let changed = *known != target;
            if changed {
                let service = target.as_ref().map(|t| t.service.as_str());
                let state = target.as_ref().map(|t| format!("{:?}", t.state));
                let life = target.as_ref().map(|t| t.incarnation);
                log::info!(service:?, state:?, life:?; "the target beside the daemon changed");
            }
            *known = target;
            changed
        });
    }

    fn check_silence(&self) {
        let last = *self.last.lock().unwrap_or_else(|e| e.into_inner());
        let Some(last) = last else { return };
        let now = self.node.clock.now();
        if now.saturating_sub(last.at) < SILENCE || self.answers_requests(now) {
            return;
        }
        if self.node.target.borrow().is_some() {
            log::warn!(target:% = last.address; "the target no longer announces itself");
            self.set(None);
        }
    }

    /// Returns whether the target still answers requests of a service that needs no grants. Such a
    /// target may be cut off from the announce port only.
    fn answers_requests(&self, now: Duration) -> bool {
        let target = self.node.target.borrow().clone();
        let Some(target) = target else { return false };
        let known = self.node.deployment.borrow().1.clone();
        let divided = known.service(&target.service).is_none_or(|s| s.shards > 0);
        let answered = self.node.target_last_answer_ms.load(Ordering::Relaxed);
        !divided && now.saturating_sub(Duration::from_millis(answered)) < SILENCE
    }
}

fn answered(encode: fn(&ReportReply) -> bytes::Bytes, answer: &ReportReply) -> Response<Body> {
    let mut response = Response::new(full(encode(answer)));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

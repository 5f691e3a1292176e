//! The announce port: the target on this VM reports its address and whether it accepts requests.

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
use tokio::time::{MissedTickBehavior, interval};

use super::known_target::{KnownTarget, LastAnnouncement};
use crate::exchange::{Body, full_body};
use crate::node::{ColdReport, Node, longest_grant};
use crate::protocol::TargetMessage;

/// Time without an announcement after which the target is unavailable, unless it belongs to an
/// unsharded service and still responds to requests. Targets announce themselves once a second.
pub(super) const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait until the table shows that a target leaves. A target waits 1 s for a reply.
const DEPARTURE_WRITE_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval at which the age of the last announcement is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Largest announcement in bytes. A report has one list of the key ranges that the target holds,
/// and one of those that it released, with their handovers. With 512 shards, each list needs up to
/// 512 times 40 bytes; the limit is twice the sum of both.
const MAX_BODY_BYTES: usize = 80 << 10;

/// Limit on concurrent connections to the announce port.
const MAX_CONNECTIONS: usize = 16;

/// Longest wait for the request head, and then for the body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason for refusing an announcement.
// The displayed texts are bodies of HTTP replies to targets, so they must not change. `Body` states
// a former limit; the limit is `MAX_BODY_BYTES`.
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
    ConflictsWithSettings,
    /// a newer life of the target, or a later report of this one, is known
    Stale,
    /// the departure is not in the assignment table yet
    DepartureNotWritten,
}

impl std::error::Error for Error {}

/// Builds the reply to a report. Called after the reported target is published.
pub type ReportHandler = Box<dyn Fn(&Report) -> ReportReply + Send + Sync>;

/// Serves the announce port and publishes the target in [`Node::target`]. Never returns.
pub async fn serve(node: Arc<Node>, listener: TcpListener, report_handler: ReportHandler) {
    let server = Arc::new(AnnounceServer {
        node,
        report_handler,
        known: Mutex::default(),
    });
    let connection_limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut table = server.node.table.subscribe();
    let mut expiry_check = interval(CHECK_INTERVAL);
    expiry_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(()) = table.changed() => {
                server.apply_recorded_departure();
                continue;
            }
            _ = expiry_check.tick() => {
                server.expire_target();
                continue;
            }
        };
        let Ok((stream, _)) = accepted else { continue };
        let Ok(permit) = Arc::clone(&connection_limit).try_acquire_owned() else {
            continue;
        };
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            serve_connection(server, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection(server: Arc<AnnounceServer>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let server = Arc::clone(&server);
        async move { Ok::<_, Infallible>(server.handle(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT);
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

struct AnnounceServer {
    node: Arc<Node>,
    report_handler: ReportHandler,
    known: Mutex<KnownTarget>,
}

impl AnnounceServer {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if request.method() != Method::POST {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, String::new());
        }
        let path = request.uri().path().to_owned();
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            _ => return text_response(StatusCode::PAYLOAD_TOO_LARGE, Error::Body.to_string()),
        };
        let Some(message) = (self.node.protocol.target.decode)(&path, &body) else {
            return text_response(StatusCode::NOT_FOUND, String::new());
        };
        let result = match message {
            Ok(message) => self.handle_message(message).await,
            Err(e) => Err(Error::Malformed(e)),
        };
        match result {
            Ok(reply) => report_response(self.node.protocol.target.encode, &reply),
            Err(e) => {
                log::warn!(path = path.as_str(), reason:% = e; "refused a message of the target");
                let status = match e {
                    Error::OtherTarget(_) | Error::ConflictsWithSettings | Error::Stale => {
                        StatusCode::CONFLICT
                    }
                    Error::DepartureNotWritten => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::BAD_REQUEST,
                };
                text_response(status, e.to_string())
            }
        }
    }

    /// Handles a message and returns the reply. The first reply to a target that leaves waits until
    /// the table shows the departure, so that the next process of this daemon knows of it. Later
    /// reports of a draining target repeat the state, but the message of leaving is the last one, so
    /// it is acknowledged only then.
    async fn handle_message(&self, message: TargetMessage) -> Result<ReportReply, Error> {
        match message {
            TargetMessage::Report(report) => {
                self.validate(&report)?;
                let was_draining = self.is_draining();
                let report = self.publish(report)?;
                let reply = (self.report_handler)(&report);
                if self.is_draining() && !was_draining {
                    self.await_departure(report.announce.incarnation).await;
                }
                Ok(reply)
            }
            TargetMessage::Leave {
                instance,
                incarnation,
            } => {
                let published = self.start_draining(&instance, incarnation)?;
                match self.await_departure(published).await {
                    true => Ok(ReportReply::default()),
                    false => Err(Error::DepartureNotWritten),
                }
            }
        }
    }

    fn is_draining(&self) -> bool {
        let target = self.node.target.borrow();
        let state = target.as_ref().map(|t| t.state);
        state == Some(AnnouncedState::Draining)
    }

    /// Waits until the table shows the departure of the target. Returns `false` after
    /// [`DEPARTURE_WRITE_TIMEOUT`]. The departure of a target without an incarnation is not recorded.
    async fn await_departure(&self, incarnation: u64) -> bool {
        if incarnation == 0 {
            return true;
        }
        let address = self.node.settings.listen.peer_address();
        let mut table = self.node.table.subscribe();
        let is_recorded = table.wait_for(|t| t.has_departed(address, incarnation));
        let result = tokio::time::timeout(DEPARTURE_WRITE_TIMEOUT, is_recorded).await;
        let is_recorded = matches!(result, Ok(Ok(_)));
        let table = self.node.versions().table;
        if is_recorded {
            log::info!(life = incarnation, table; "the table shows that the target leaves");
        } else {
            log::warn!(life = incarnation, table;
                "the table does not show after {DEPARTURE_WRITE_TIMEOUT:?} that the target leaves");
        }
        is_recorded
    }

    /// Returns whether the table shows that the target left, and only an earlier process of this
    /// daemon knew of it.
    fn is_recorded_departure(&self, known: &KnownTarget, incarnation: u64) -> bool {
        let reported = known.last.as_ref().map_or(0, |l| l.reported_incarnation);
        let address = self.node.settings.listen.peer_address();
        known.draining_incarnation != reported
            && self.node.table.borrow().has_departed(address, incarnation)
    }

    /// Marks the target as draining if the newest table shows that it left before this process
    /// started.
    fn apply_recorded_departure(&self) {
        let known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        let target = self.node.target.borrow().clone();
        let Some(target) = target.filter(|t| t.state != AnnouncedState::Draining) else {
            return;
        };
        if self.is_recorded_departure(&known, target.incarnation) {
            log::info!(life = target.incarnation, table = self.node.versions().table;
                "the target left before this process started");
            self.set_target(Some(Announce {
                state: AnnouncedState::Draining,
                ..target
            }));
        }
    }

    fn validate(&self, report: &Report) -> Result<(), Error> {
        let configured = &self.node.settings.target;
        match &report.announce {
            a if a.slots == 0 => Err(Error::NoSlots),
            a if a.service.is_empty() => Err(Error::NoService),
            a if a.address.port() == 0 => Err(Error::NoPort),
            a if configured.address.is_some_and(|known| known != a.address) => {
                Err(Error::ConflictsWithSettings)
            }
            a if !configured.service.is_empty() && configured.service != a.service => {
                Err(Error::ConflictsWithSettings)
            }
            _ => Ok(()),
        }
    }

    /// Publishes the reported target and returns the report with the incarnation under which it is
    /// published.
    fn publish(&self, mut report: Report) -> Result<Report, Error> {
        let announce = &mut report.announce;
        let reported_incarnation = announce.incarnation;
        let now = self.node.clock.now();
        let mut known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(last) = &known.last {
            let is_alive = now.saturating_sub(last.received_at) < ANNOUNCE_TIMEOUT;
            let address = last.announce.address;
            if address != announce.address && is_alive {
                return Err(Error::OtherTarget(address));
            }
            let is_same_incarnation =
                last.reported_incarnation == reported_incarnation && reported_incarnation != 0;
            if is_same_incarnation && report.sequence <= last.sequence {
                return Err(Error::Stale);
            }
        }
        let silence = ANNOUNCE_TIMEOUT.max(longest_grant(&self.node.settings));
        let incarnation = known.publish_as(now, reported_incarnation, silence);
        announce.incarnation = incarnation.ok_or(Error::Stale)?;
        known.record_report(LastAnnouncement {
            announce: announce.clone(),
            reported_incarnation,
            sequence: report.sequence,
            received_at: now,
        });
        if announce.state == AnnouncedState::Draining {
            known.draining_incarnation = reported_incarnation;
        } else if known.has_departed(now, &announce.instance, reported_incarnation)
            || self.is_recorded_departure(&known, announce.incarnation)
        {
            log::info!(life = announce.incarnation, sequence = report.sequence;
                "report of a target that has left");
            announce.state = AnnouncedState::Draining;
        }
        self.node.cold_report.send_replace(Some(ColdReport {
            received_at: now,
            incarnation: announce.incarnation,
            remaining: report.cold_remaining,
        }));
        self.set_target(Some(announce.clone()));
        Ok(report)
    }

    /// Marks a target that leaves as draining, and returns the incarnation under which it is
    /// published. This may be the last message of its incarnation, and earlier reports may still
    /// arrive.
    fn start_draining(&self, instance: &str, incarnation: u64) -> Result<u64, Error> {
        let now = self.node.clock.now();
        let mut known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        let Some(departing) = known.departing_incarnation(now, instance, incarnation) else {
            known.unnamed_departure = Some((instance.to_owned(), now));
            return Err(Error::Stale);
        };
        known.record_departure(departing);
        let is_departing = |last: &&mut LastAnnouncement| {
            last.announce.instance == instance && last.reported_incarnation == departing
        };
        let Some(last) = known.last.as_mut().filter(is_departing) else {
            return Err(Error::Stale);
        };
        last.received_at = now;
        let target = Announce {
            state: AnnouncedState::Draining,
            ..last.announce.clone()
        };
        let published = target.incarnation;
        known.draining_incarnation = departing;
        self.set_target(Some(target));
        Ok(published)
    }

    fn set_target(&self, target: Option<Announce>) {
        self.node.target.send_if_modified(|current| {
            let changed = *current != target;
            if changed {
                let service = target.as_ref().map(|t| t.service.as_str());
                let state = target.as_ref().map(|t| format!("{:?}", t.state));
                let incarnation = target.as_ref().map(|t| t.incarnation);
                log::info!(service:?, state:?, life:? = incarnation;
                    "the target of this daemon changed");
            }
            *current = target;
            changed
        });
    }

    fn expire_target(&self) {
        let known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        let Some(last) = &known.last else { return };
        let now = self.node.clock.now();
        if now.saturating_sub(last.received_at) < ANNOUNCE_TIMEOUT
            || self.is_responding_unsharded(now)
        {
            return;
        }
        if self.node.target.borrow().is_some() {
            log::warn!(target:% = last.announce.address;
                "no announcement for {ANNOUNCE_TIMEOUT:?}; the target is unavailable");
            self.set_target(None);
        }
    }

    /// Returns whether the target belongs to an unsharded service and has responded to requests
    /// recently. Such a target needs no grants, and only its path to the announce port may have
    /// failed.
    fn is_responding_unsharded(&self, now: Duration) -> bool {
        let target = self.node.target.borrow().clone();
        let Some(target) = target else { return false };
        let deployment = self.node.deployment.borrow().1.clone();
        let is_sharded = deployment
            .service(&target.service)
            .is_none_or(|s| s.shards > 0);
        let last_response_ms = self.node.target_last_response_ms.load(Ordering::Relaxed);
        !is_sharded
            && now.saturating_sub(Duration::from_millis(last_response_ms)) < ANNOUNCE_TIMEOUT
    }
}

fn report_response(
    encode: fn(&ReportReply) -> bytes::Bytes,
    reply: &ReportReply,
) -> Response<Body> {
    let mut response = Response::new(full_body(encode(reply)));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

//! Target stand-in. It runs requests under grants, rejects requests when its queue is full, and can
//! drain, fail and freeze.
//!
//! Invariants:
//!
//! - A start is recorded before any work is done.
//! - An end is recorded before the last byte of the response is sent.
//! - A refusal with `NotRun` records no start.
//! - A grant is checked and the start recorded under one lock, so no start is recorded under a
//!   grant that has been replaced.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use masticdeal_wire::headers;
use masticdeal_wire::target::{Announce, AnnouncedState, Grant};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::http1::{self, Body, Result, response};
use crate::payload;
use crate::records::{Event, RecordWriter, Step, time_since_boot_us};

/// Maximum size of a request body in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Interval between announcements; also the timeout of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of chunks in which a response is sent from [`Settings::chunked_from`] on.
const RESPONSE_CHUNKS: u32 = 50;

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name in records and responses.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Announce port of the daemon on the same VM.
    pub announce: Option<SocketAddr>,
    /// Maximum number of running requests.
    pub slots: u16,
    /// Maximum number of requests that wait for a slot; others are rejected.
    pub queue: usize,
    /// Maximum number of connections; others are not accepted until one is closed.
    pub connections: usize,
    /// Factor on the service time.
    pub service_time_factor: f64,
    /// Time after the start during which service times are multiplied by `cold_factor`.
    pub cold_period: Duration,
    /// Factor on the service time during the cold period.
    pub cold_factor: f64,
    /// Service time of a request that does not specify one.
    pub default_service_time: Duration,
    /// Minimum service time at which the response is sent in chunks over the service time.
    pub chunked_from: Duration,
    /// Whether it refuses requests for a shard that no valid grant covers. Requests without a shard
    /// always run.
    pub checks_grants: bool,
    /// Whether it always reports no load.
    pub reports_idle: bool,
    /// Record file; `None` for no records.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "target".into(),
            service: "search".into(),
            announce: None,
            slots: 6,
            queue: 12,
            connections: 130,
            service_time_factor: 1.0,
            cold_period: Duration::ZERO,
            cold_factor: 4.0,
            default_service_time: Duration::from_millis(2),
            chunked_from: Duration::from_millis(200),
            checks_grants: false,
            reports_idle: false,
            record: None,
        }
    }
}

/// State requested by the run; the body of `POST /control/state`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetState {
    /// Refuses new requests.
    pub draining: bool,
    /// Factor on the service time.
    pub slow: f64,
    /// Share of the requests that run and then get status 500. Responses sent in chunks are not
    /// affected.
    pub errors: f64,
    /// Sends no announcements and no responses, except to `/control/state`; connections stay open.
    pub frozen: bool,
}

impl Default for TargetState {
    fn default() -> Self {
        Self {
            draining: false,
            slow: 1.0,
            errors: 0.0,
            frozen: false,
        }
    }
}

struct Target {
    settings: Settings,
    start: Instant,
    state: watch::Sender<TargetState>,
    grant: Mutex<Option<Grant>>,
    slots: Arc<Semaphore>,
    queue_length: AtomicUsize,
    run_count: AtomicU64,
    writer: Option<RecordWriter>,
}

/// Accepts requests and announces the target until the future is dropped. See [`http1::serve`].
///
/// # Errors
///
/// If the record file cannot be opened.
pub async fn serve(listener: TcpListener, settings: Settings) -> std::io::Result<()> {
    let address = listener.local_addr()?;
    let writer = settings
        .record
        .as_deref()
        .map(RecordWriter::open)
        .transpose()?;
    let target = Arc::new(Target {
        start: Instant::now(),
        state: watch::Sender::default(),
        grant: Mutex::default(),
        slots: Arc::new(Semaphore::new(settings.slots.into())),
        queue_length: AtomicUsize::new(0),
        run_count: AtomicU64::new(0),
        writer,
        settings,
    });
    let connections = target.settings.connections;
    let announcing = target.clone();
    let handler = move |req| handle(target.clone(), req);
    tokio::select! {
        () = http1::serve(listener, connections, handler) => {}
        () = announce(&announcing, address) => {}
    }
    Ok(())
}

async fn announce(target: &Target, address: SocketAddr) {
    let Some(daemon) = target.settings.announce else {
        return std::future::pending().await;
    };
    let http = http1::Client::default();
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        target.wait_until_thawed().await;
        let body = serde_json::to_vec(&target.announcement(address)).unwrap_or_default();
        let path = headers::PATH_ANNOUNCE;
        let json = [("content-type", "application/json")];
        let sent = http.send(Method::POST, daemon, path, &json, body, ANNOUNCE_INTERVAL);
        match sent.await {
            Ok(response) if response.status.is_success() => {}
            Ok(response) => log::warn!("daemon rejected the announcement: {}", response.text()),
            Err(e) => log::debug!("cannot send the announcement: {e}"),
        }
    }
}

async fn handle(target: Arc<Target>, req: Request<Incoming>) -> Result<Response<Body>> {
    if req.uri().path() == "/control/state" {
        return Ok(set_state(&target, req).await);
    }
    target.wait_until_thawed().await;
    let res = if req.uri().path() == headers::PATH_GRANT {
        install_grant(&target, req).await
    } else {
        execute(&target, req).await
    };
    target.wait_until_thawed().await;
    Ok(res)
}

async fn set_state(target: &Target, req: Request<Incoming>) -> Response<Body> {
    let body = http1::read_body(req.into_body(), MAX_REQUEST_BYTES).await;
    match serde_json::from_slice(&body.unwrap_or_default()) {
        Ok(state) => {
            target.state.send_replace(state);
            response(StatusCode::OK, "")
        }
        Err(e) => response(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

async fn install_grant(target: &Target, req: Request<Incoming>) -> Response<Body> {
    if req.method() != Method::PUT {
        return response(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    let body = http1::read_body(req.into_body(), MAX_REQUEST_BYTES).await;
    let grant: Grant = match serde_json::from_slice(&body.unwrap_or_default()) {
        Ok(grant) => grant,
        Err(e) => return response(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let mut installed = target.grant.lock().unwrap();
    let newest = installed.as_ref().map(|g| (g.session, g.sequence));
    if newest.is_some_and(|newest| (grant.session, grant.sequence) <= newest) {
        return response(StatusCode::CONFLICT, "");
    }
    *installed = Some(grant);
    response(StatusCode::OK, "")
}

async fn execute(target: &Arc<Target>, req: Request<Incoming>) -> Response<Body> {
    if target.state.borrow().draining {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "draining");
    }
    let (head, body) = req.into_parts();
    if http1::read_body(body, MAX_REQUEST_BYTES).await.is_none() {
        return refusal(StatusCode::BAD_REQUEST, "body");
    }
    let Some(slot) = target.acquire_slot(&head.headers).await else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "shed");
    };
    target.wait_until_thawed().await;
    let Some(run) = target.start_run(&head, slot) else {
        return refusal(StatusCode::PRECONDITION_FAILED, "grant");
    };
    run.respond(&head.headers).await
}

fn refusal(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut res = response(status, reason);
    let not_run = http::HeaderValue::from_static("NotRun");
    res.headers_mut().insert(headers::VERDICT, not_run);
    let reason = http::HeaderValue::from_static(reason);
    res.headers_mut().insert(headers::REASON, reason);
    res
}

impl Target {
    /// Waits while the target is frozen.
    async fn wait_until_thawed(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|s| !s.frozen).await;
    }

    fn announcement(&self, address: SocketAddr) -> Announce {
        let slots = self.settings.slots;
        let busy = f32::from(slots) - self.slots.available_permits() as f32;
        let load = busy / f32::from(slots);
        let state = match self.state.borrow().draining {
            true => AnnouncedState::Draining,
            false => AnnouncedState::Ready,
        };
        Announce {
            service: self.settings.service.clone(),
            address,
            slots,
            checks_grants: self.settings.checks_grants,
            state,
            load: Some(if self.settings.reports_idle {
                0.0
            } else {
                load
            }),
            instance: String::new(),
            incarnation: 0,
        }
    }

    /// Waits for a slot until the deadline in the headers, or for a minute without one. Returns
    /// `None` if the queue is full or the deadline expires.
    async fn acquire_slot(&self, headers: &HeaderMap) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let _queue_place = QueuePlace::enter(&self.queue_length, self.settings.queue)?;
        let time_left_ms = http1::header_number(headers, headers::DEADLINE_MS).unwrap_or(60_000);
        let slot = self.slots.clone().acquire_owned();
        let slot = tokio::time::timeout(Duration::from_millis(time_left_ms), slot).await;
        slot.ok()?.ok()
    }

    /// Checks the grant, if this target does, and records the start. Returns `None` if the grant
    /// does not cover the request.
    fn start_run(
        self: &Arc<Self>,
        head: &http::request::Parts,
        slot: OwnedSemaphorePermit,
    ) -> Option<RunningRequest> {
        let key = key_in_path(head.uri.path());
        let shard = http1::header_number(&head.headers, headers::SHARD);
        let epoch = http1::header_number(&head.headers, headers::EPOCH);
        let checked = self.settings.checks_grants && shard.is_some();
        let grant = self.grant.lock().unwrap();
        let at_us = time_since_boot_us();
        if checked && !grant_covers(grant.as_ref(), at_us, key, shard, epoch) {
            return None;
        }
        let id = http1::header_text(&head.headers, headers::REQUEST_ID).unwrap_or("");
        let event = Event {
            at_us,
            step: Step::Start,
            target: self.settings.name.clone(),
            run: self.run_count.fetch_add(1, Ordering::Relaxed),
            id: id.to_owned(),
            key: format!("{}/{key}", self.settings.service),
            shard,
            epoch,
            checked,
        };
        self.record(&event);
        Some(RunningRequest {
            target: self.clone(),
            event,
            finished: false,
            _slot: slot,
        })
    }

    fn record(&self, event: &Event) {
        if let Some(writer) = &self.writer {
            writer.write(event);
        }
    }

    fn service_time(&self, headers: &HeaderMap) -> Duration {
        let requested =
            http1::header_number(headers, payload::WORK_MS_HEADER).map(Duration::from_millis);
        let is_cold = self.start.elapsed() < self.settings.cold_period;
        let cold_factor = if is_cold {
            self.settings.cold_factor
        } else {
            1.0
        };
        let factor = self.settings.service_time_factor * self.state.borrow().slow * cold_factor;
        requested
            .unwrap_or(self.settings.default_service_time)
            .mul_f64(factor)
    }
}

/// Returns the key: the second segment of the path.
fn key_in_path(path: &str) -> &str {
    path.split('/').nth(2).unwrap_or("")
}

fn grant_covers(
    grant: Option<&Grant>,
    now_us: u64,
    key: &str,
    shard: Option<u32>,
    epoch: Option<u32>,
) -> bool {
    let (Some(grant), Some(shard), Some(epoch)) = (grant, shard, epoch) else {
        return false;
    };
    let hash = xxh3_64(key.as_bytes());
    let valid = now_us < grant.until_boot_ms.saturating_mul(1_000);
    valid && (grant.shards.contains(&(shard, epoch)) || grant.keys.contains(&(hash, epoch)))
}

/// Place in the queue for a slot; dropping it frees the place.
struct QueuePlace<'a>(&'a AtomicUsize);

impl<'a> QueuePlace<'a> {
    /// Takes a place. Returns `None` if all `limit` places are taken.
    fn enter(count: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::Relaxed);
        let place = Self(count);
        (before < limit).then_some(place)
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Running request. Dropping it before it has finished records it as cancelled.
struct RunningRequest {
    target: Arc<Target>,
    event: Event,
    finished: bool,
    _slot: OwnedSemaphorePermit,
}

impl RunningRequest {
    async fn respond(mut self, headers: &HeaderMap) -> Response<Body> {
        let length = http1::header_number(headers, payload::RESPONSE_BYTES_HEADER).unwrap_or(128);
        let body = payload::body(&self.event.id, &self.target.settings.name, length);
        let time = self.target.service_time(headers);
        let mut res = self.response_head(&body);
        if time >= self.target.settings.chunked_from {
            *res.body_mut() = chunked_body(self, body, time);
            return res;
        }
        tokio::time::sleep(time).await;
        self.target.wait_until_thawed().await;
        self.finish();
        let errors = self.target.state.borrow().errors;
        if rand::rng().random::<f64>() < errors {
            *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        *res.body_mut() = http1::full_body(body);
        res
    }

    fn response_head(&self, body: &[u8]) -> Response<Body> {
        let mut res = response(StatusCode::OK, "");
        let mut set = |name, value: &str| {
            if let Ok(value) = http::HeaderValue::from_str(value) {
                res.headers_mut().insert(name, value);
            }
        };
        set(payload::ID_HEADER, &self.event.id);
        set(payload::TARGET_HEADER, &self.target.settings.name);
        set(payload::LENGTH_HEADER, &body.len().to_string());
        set(payload::CHECKSUM_HEADER, &payload::checksum(body));
        res
    }

    fn finish(&mut self) {
        self.finished = true;
        self.record(Step::Finished);
    }

    fn record(&self, step: Step) {
        let at_us = time_since_boot_us();
        let event = Event {
            at_us,
            step,
            ..self.event.clone()
        };
        self.target.record(&event);
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if !self.finished {
            self.record(Step::Cancelled);
        }
    }
}

/// Returns a body that is sent in [`RESPONSE_CHUNKS`] chunks over `time`; the last ones may be
/// empty. The end of the request is recorded before the last chunk is sent.
fn chunked_body(run: RunningRequest, body: bytes::Bytes, time: Duration) -> Body {
    use http_body_util::{BodyExt, StreamBody};
    let chunk_bytes = body.len().div_ceil(RESPONSE_CHUNKS as usize).max(1);
    let initial = (run, body, RESPONSE_CHUNKS);
    let stream = futures_util::stream::unfold(
        initial,
        move |(mut run, mut body, chunks_left)| async move {
            if chunks_left == 0 {
                return None;
            }
            tokio::time::sleep(time / RESPONSE_CHUNKS).await;
            run.target.wait_until_thawed().await;
            if chunks_left == 1 {
                run.finish();
            }
            let chunk = body.split_to(chunk_bytes.min(body.len()));
            let frame = Ok(hyper::body::Frame::data(chunk));
            Some((frame, (run, body, chunks_left - 1)))
        },
    );
    StreamBody::new(stream).boxed_unsync()
}

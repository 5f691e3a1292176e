//! HTTP service of the platform stand-in, with injected faults.
//!
//! Which writes are late or lose their response is drawn from a seeded generator, so that a run
//! with one connection is reproducible. A late write is applied under the same conditions as any
//! other write; a fault changes neither the conditions nor the value of a write.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use masticdeal_wire::headers;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http1::{self, Body, Error, Result, response};
use crate::store::{MAX_VALUE_BYTES, PutOutcome, Store, Value};

/// Maximum number of concurrent connections; larger than the number of daemons in a run, each of
/// which has a pending watch.
const MAX_CONNECTIONS: usize = 4_096;

/// Active faults; the body of `POST /control/fault`. The default is no fault.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Outage mode.
    pub down: Outage,
    /// Delay before a call is executed, in milliseconds.
    pub delay_ms: u64,
    /// Share of the writes that are applied but get no response.
    pub lose_answers: f64,
    /// Share of the writes that get no response and are applied later if their conditions still
    /// hold.
    pub late_writes: f64,
    /// Maximum delay of a late write in milliseconds.
    pub late_ms: u64,
    /// New seed of the random generator; 0 keeps the current generator.
    pub seed: u64,
}

/// Outage mode of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    No,
    /// Connections are closed without a response.
    Refuse,
    /// Connections stay open and get no response.
    Hang,
}

/// Number of calls by kind since the start; the body of `GET /control/stats`. A watch counts once,
/// however long it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads and unrecognised calls.
    pub get: u64,
    /// Conditional writes.
    pub swap: u64,
    /// Watches.
    pub watch: u64,
    /// Lease grants, renewals and revocations.
    pub lease: u64,
    /// Bytes of values in writes, including rejected ones, and in responses to reads and watches.
    pub bytes: u64,
}

impl Stats {
    /// Returns the number of calls of all kinds.
    pub fn total_calls(&self) -> u64 {
        self.get + self.swap + self.watch + self.lease
    }
}

struct Server {
    start: Instant,
    store: Mutex<Store>,
    stats: Mutex<Stats>,
    rng: Mutex<StdRng>,
    fault: watch::Sender<Fault>,
    changes: watch::Sender<u64>,
}

/// Handling of a write, drawn under the active faults.
enum WriteHandling {
    Normal,
    ResponseLost,
    Delayed(Duration),
}

/// Accepts connections and serves the platform protocol until the future is dropped. See
/// [`http1::serve`].
pub async fn serve(listener: TcpListener, seed: u64) {
    let server = Arc::new(Server {
        start: Instant::now(),
        store: Mutex::default(),
        stats: Mutex::default(),
        rng: Mutex::new(StdRng::seed_from_u64(seed)),
        fault: watch::Sender::new(Fault::default()),
        changes: watch::Sender::new(0),
    });
    http1::serve(listener, MAX_CONNECTIONS, move |req| {
        handle(server.clone(), req)
    })
    .await;
}

async fn handle(cx: Arc<Server>, req: Request<Incoming>) -> Result<Response<Body>> {
    if req.uri().path().starts_with("/control/") {
        return Ok(handle_control(&cx, req).await);
    }
    cx.count_call(&req);
    let mut fault = cx.fault.subscribe();
    tokio::select! {
        res = serve_call(&cx, req) => res,
        e = wait_for_outage(&mut fault) => Err(e),
    }
}

/// Waits for an outage. Returns when the connection is to be closed: at once, or after a hang ends.
async fn wait_for_outage(fault: &mut watch::Receiver<Fault>) -> Error {
    let down = fault.wait_for(|f| f.down != Outage::No).await;
    let hang = down.is_ok_and(|f| f.down == Outage::Hang);
    if hang {
        let _ = fault.wait_for(|f| f.down != Outage::Hang).await;
    }
    Error::Closed
}

async fn serve_call(cx: &Arc<Server>, req: Request<Incoming>) -> Result<Response<Body>> {
    let delay = cx.fault.borrow().delay_ms;
    // Lets `wait_for_outage` run first, so that no call is executed during an outage.
    tokio::task::yield_now().await;
    if cx.fault.borrow().down != Outage::No {
        std::future::pending::<()>().await;
    }
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let path = req.uri().path().to_owned();
    let (method, path) = (req.method().clone(), path.as_str());
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return match method {
            Method::GET => Ok(cx.get(key)),
            Method::PUT => put(cx, key, req).await,
            _ => Ok(response(StatusCode::METHOD_NOT_ALLOWED, "")),
        };
    }
    if let Some(key) = path.strip_prefix("/v1/watch/") {
        return Ok(watch_key(cx, key, &req).await);
    }
    if path == "/v1/lease" && method == Method::POST {
        return Ok(cx.grant_lease(&req));
    }
    if let Some(id) = path.strip_prefix("/v1/lease/") {
        return Ok(cx.renew_or_revoke_lease(&method, id));
    }
    Ok(response(StatusCode::NOT_FOUND, ""))
}

async fn put(cx: &Arc<Server>, key: &str, req: Request<Incoming>) -> Result<Response<Body>> {
    let Some(expected_revision) = http1::header_number(req.headers(), headers::IF_REVISION) else {
        return Ok(response(
            StatusCode::BAD_REQUEST,
            "x-if-revision is missing",
        ));
    };
    let lease = match http1::header_text(req.headers(), headers::LEASE).map(str::parse) {
        None => None,
        Some(Ok(id)) => Some(id),
        Some(Err(_)) => return Ok(response(StatusCode::BAD_REQUEST, "x-lease is malformed")),
    };
    let Some(bytes) = http1::read_body(req.into_body(), MAX_VALUE_BYTES).await else {
        return Ok(response(StatusCode::PAYLOAD_TOO_LARGE, ""));
    };
    match cx.draw_write_handling() {
        WriteHandling::Normal => Ok(cx.put(key, expected_revision, bytes, lease)),
        WriteHandling::ResponseLost => {
            cx.put(key, expected_revision, bytes, lease);
            Err(Error::Closed)
        }
        WriteHandling::Delayed(delay) => {
            let (cx, key) = (cx.clone(), key.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                cx.put(&key, expected_revision, bytes, lease);
            });
            Err(Error::Closed)
        }
    }
}

async fn watch_key(cx: &Server, key: &str, req: &Request<Incoming>) -> Response<Body> {
    let param = |name| http1::query_parameter(req.uri(), name).and_then(|v| v.parse::<u64>().ok());
    let (Some(after), Some(wait_ms)) = (param("after"), param("wait_ms")) else {
        return response(StatusCode::BAD_REQUEST, "after or wait_ms is missing");
    };
    let mut changes = cx.changes.subscribe();
    let newer = async {
        loop {
            changes.borrow_and_update();
            let value = cx.store().get(cx.now(), key);
            if let Some(value) = value.filter(|v| v.revision > after) {
                return value;
            }
            let _ = changes.changed().await;
        }
    };
    match tokio::time::timeout(Duration::from_millis(wait_ms), newer).await {
        Ok(value) => cx.value_response(value),
        Err(_) => response(StatusCode::NO_CONTENT, ""),
    }
}

async fn handle_control(cx: &Server, req: Request<Incoming>) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/control/stats") => {
            let stats = serde_json::to_vec(&*cx.stats.lock().unwrap()).unwrap_or_default();
            response(StatusCode::OK, stats)
        }
        (&Method::POST, "/control/fault") => set_fault(cx, req).await,
        _ => response(StatusCode::NOT_FOUND, ""),
    }
}

async fn set_fault(cx: &Server, req: Request<Incoming>) -> Response<Body> {
    let body = http1::read_body(req.into_body(), MAX_VALUE_BYTES).await;
    match serde_json::from_slice::<Fault>(&body.unwrap_or_default()) {
        Ok(fault) => {
            if fault.seed != 0 {
                *cx.rng.lock().unwrap() = StdRng::seed_from_u64(fault.seed);
            }
            cx.fault.send_replace(fault);
            response(StatusCode::OK, "")
        }
        Err(e) => response(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

impl Server {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        self.store.lock().unwrap()
    }

    fn count_call(&self, req: &Request<Incoming>) {
        let mut stats = self.stats.lock().unwrap();
        let path = req.uri().path();
        let counter = if path.starts_with("/v1/watch/") {
            &mut stats.watch
        } else if path.starts_with("/v1/lease") {
            &mut stats.lease
        } else if req.method() == Method::PUT {
            &mut stats.swap
        } else {
            &mut stats.get
        };
        *counter += 1;
    }

    fn add_bytes(&self, bytes: usize) {
        self.stats.lock().unwrap().bytes += bytes as u64;
    }

    fn draw_write_handling(&self) -> WriteHandling {
        let (late_writes, late_ms, lose_answers) = {
            let fault = self.fault.borrow();
            (fault.late_writes, fault.late_ms, fault.lose_answers)
        };
        let mut rng = self.rng.lock().unwrap();
        if rng.random::<f64>() < late_writes {
            WriteHandling::Delayed(Duration::from_millis(rng.random_range(0..=late_ms)))
        } else if rng.random::<f64>() < lose_answers {
            WriteHandling::ResponseLost
        } else {
            WriteHandling::Normal
        }
    }

    fn get(&self, key: &str) -> Response<Body> {
        let value = self.store().get(self.now(), key);
        match value {
            Some(value) => self.value_response(value),
            None => response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn value_response(&self, value: Value) -> Response<Body> {
        self.add_bytes(value.bytes.len());
        with_revision(response(StatusCode::OK, value.bytes), value.revision)
    }

    fn put(
        &self,
        key: &str,
        expected_revision: u64,
        bytes: Bytes,
        lease: Option<u64>,
    ) -> Response<Body> {
        self.add_bytes(bytes.len());
        let outcome = self
            .store()
            .put(self.now(), key, expected_revision, bytes, lease);
        match outcome {
            PutOutcome::Applied(revision) => {
                self.changes.send_replace(revision);
                with_revision(response(StatusCode::OK, ""), revision)
            }
            PutOutcome::Conflict(revision) => {
                with_revision(response(StatusCode::CONFLICT, ""), revision)
            }
            PutOutcome::NoLease => response(StatusCode::NOT_FOUND, "lease has lapsed"),
        }
    }

    fn grant_lease(&self, req: &Request<Incoming>) -> Response<Body> {
        let ttl = http1::query_parameter(req.uri(), "ttl_ms").and_then(|v| v.parse().ok());
        let Some(ttl) = ttl else {
            return response(StatusCode::BAD_REQUEST, "ttl_ms is missing");
        };
        let id = self
            .store()
            .grant_lease(self.now(), Duration::from_millis(ttl));
        response(StatusCode::OK, id.to_string())
    }

    fn renew_or_revoke_lease(&self, method: &Method, id: &str) -> Response<Body> {
        let Ok(id) = id.parse() else {
            return response(StatusCode::NOT_FOUND, "");
        };
        let lease_existed = match *method {
            Method::PUT => self.store().renew_lease(self.now(), id),
            Method::DELETE => self.store().revoke_lease(self.now(), id),
            _ => return response(StatusCode::METHOD_NOT_ALLOWED, ""),
        };
        match lease_existed {
            true => response(StatusCode::OK, ""),
            false => response(StatusCode::NOT_FOUND, ""),
        }
    }
}

fn with_revision(mut res: Response<Body>, revision: u64) -> Response<Body> {
    res.headers_mut().insert(headers::REVISION, revision.into());
    res
}

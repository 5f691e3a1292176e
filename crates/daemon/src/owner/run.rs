//! One request at the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use masticdeal_ownership::ids::{Epoch, ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use masticdeal_policy::Verdict;
use masticdeal_wire::headers;
use masticdeal_wire::peer::{Forward, Reason};
use masticdeal_wire::target::Announce;
use tokio::time::timeout;

use super::Owner;
use super::admission::Slot;
use super::answer::{Running, TargetBody};
use super::shards::Entered;
use super::target::Connection;
use crate::exchange::{Answer, Body, Failure, Request, end_to_end, to_header_map, to_wire_ms};
use crate::meter::RequestKey;
use crate::node::Node;
use crate::telemetry::traces::HopSpan;

/// Wait after which a request without any byte of an answer speaks against the target. Callers
/// choose their deadlines, and a short one says nothing about the target.
const SILENT_AFTER: Duration = Duration::from_millis(250);

/// Longest wait for a grant to reach the target. A target reports about once a second.
const GRANT_WAIT: Duration = Duration::from_millis(1_200);

/// Longest time between two looks at what the target holds; a grant counts a little after it was
/// sent.
const GRANT_LOOK: Duration = Duration::from_millis(50);

/// Silent requests in a row after which the target is treated as away.
const SILENT_LIMIT: u32 = 3;

/// Requests in a row that got no byte of an answer.
#[derive(Debug, Default)]
pub struct Health {
    silent: AtomicU32,
}

impl Health {
    fn answered(&self) {
        self.silent.store(0, Ordering::Release);
    }

    /// Counts a silent request. Returns whether the target is to be treated as away; the next
    /// silent request after that is enough again.
    fn count_silent(&self) -> bool {
        self.silent.fetch_add(1, Ordering::AcqRel) + 1 >= SILENT_LIMIT
    }
}

/// The right to serve one request, which can be lost at any time.
#[derive(Clone)]
struct Right {
    node: Arc<Node>,
    service: ServiceId,
    key: Option<(ShardId, u64)>,
}

impl Right {
    /// Returns whether this daemon may serve the key, whatever its target holds.
    fn is_owner(&self) -> bool {
        let may_serve = |(shard, hash)| (self.node.may_serve)(self.service, shard, hash).is_ok();
        self.key.is_some_and(may_serve)
    }

    fn epoch(&self) -> Result<Option<Epoch>, Failure> {
        let Some((shard, key_hash)) = self.key else {
            return Ok(None);
        };
        let epoch = (self.node.may_serve)(self.service, shard, key_hash);
        let epoch = epoch.map_err(Failure::not_run)?;
        let ranges = self.node.range_shard_count(self.service).is_some();
        if ranges
            && !self
                .node
                .granted_shards
                .holds(self.node.clock.now(), shard, epoch)
        {
            return Err(Failure::not_run(Reason::Moving));
        }
        Ok(Some(epoch))
    }
}

impl Owner {
    pub(super) async fn run(&self, request: Request) -> Result<Answer, Failure> {
        let Request {
            head,
            body,
            deadline,
        } = request;
        let hop = HopSpan::start("owner", &head.traceparent);
        let key = head.shard.zip(head.key_hash);
        let right = Right {
            node: Arc::clone(&self.node),
            service: head.service,
            key,
        };
        // Counted before the first check, so that a move that waits for the shard sees every
        // request that passed the check.
        let own = key.is_some_and(|(_, hash)| self.has_override(head.service, hash));
        let shard = head.shard.filter(|_| !own);
        let entered = key.map(|(_, hash)| self.shards.enter(head.service, shard, hash));
        let place = key.map(|(_, key_hash)| RequestKey { shard, key_hash });
        let admitted = self.admit(&head, &right, deadline).await;
        self.meter(place, &admitted);
        let slot = admitted?;
        let target = self.target_for(head.service)?;
        let epoch = right.epoch()?;
        let granted = key.map(|(shard, hash)| if own { override_shard(hash) } else { shard });
        let held = granted.zip(epoch);
        let request = build(&self.node, &head, body, held, &target, &hop)?;
        let job = Job {
            owner: self,
            right,
            epoch,
            address: target.address,
            request_id: head.request_id.clone(),
            deadline,
        };
        job.run(request, slot, entered).await
    }

    /// Counts what a request asks of the target. One that the target may not serve is counted where it
    /// ends up.
    fn meter(&self, place: Option<RequestKey>, admitted: &Result<Slot, Failure>) {
        let now = self.node.clock.now();
        match admitted {
            Ok(_) => self.node.meter.count(now, place),
            Err(f) if matches!(f.reason, Reason::QueueFull | Reason::Deadline) => {
                self.node.meter.count_refused(now, place);
            }
            Err(_) => {}
        }
    }

    fn has_override(&self, service: ServiceId, key_hash: u64) -> bool {
        let table = self.node.table.borrow();
        let known = table.service(service);
        known.is_some_and(|s| s.overrides.iter().any(|o| o.key_hash == key_hash))
    }

    /// Waits while the shard is this daemon's and the target is not yet granted it: the grant is on
    /// its way with the answer to the target's next report.
    async fn await_grant(&self, right: &Right, deadline: Duration) -> Result<(), Failure> {
        let until = deadline.min(self.node.clock.now() + GRANT_WAIT);
        loop {
            let changed = self.node.granted_shards.changed();
            tokio::pin!(changed);
            let refused = match right.epoch() {
                Ok(_) => return Ok(()),
                Err(failure) => failure,
            };
            let left = until.saturating_sub(self.node.clock.now());
            if left.is_zero() || !right.is_owner() {
                return Err(refused);
            }
            let _ = timeout(left.min(GRANT_LOOK), changed).await;
        }
    }

    async fn admit(
        &self,
        head: &Forward,
        right: &Right,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        if *self.node.draining.borrow() {
            return Err(Failure::not_run(Reason::ShuttingDown));
        }
        if self.node.clock.now() >= deadline {
            return Err(Failure::not_run(Reason::Deadline));
        }
        self.await_grant(right, deadline).await?;
        self.target_for(head.service)?;
        let rules = self.node.service_config(head.service);
        let service = rules.as_ref().and_then(|(rules, name)| rules.service(name));
        self.admission.admit(head, service, deadline).await
    }
}

/// A request that has a slot.
struct Job<'a> {
    owner: &'a Owner,
    right: Right,
    epoch: Option<Epoch>,
    address: SocketAddr,
    request_id: String,
    deadline: Duration,
}

impl Job<'_> {
    async fn run(
        &self,
        mut request: http::Request<Body>,
        mut slot: Slot,
        shard: Option<Entered>,
    ) -> Result<Answer, Failure> {
        let node = &self.owner.node;
        loop {
            let now = node.clock.now();
            let reused = self.owner.pool.take(self.address, now);
            let is_reused = reused.is_some();
            let mut connection = match reused {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            self.check()?;
            let remaining = self.deadline.saturating_sub(node.clock.now());
            let names = &node.protocol.headers;
            set_deadline(request.headers_mut(), &names.deadline, remaining);
            self.arm(&connection);
            let (read, written) = (connection.counts.read(), connection.counts.written());
            let sent = timeout(remaining, connection.send.try_send_request(request)).await;
            let Ok(sent) = sent else {
                return Err(self.silent(&connection, read, remaining));
            };
            let failed = match sent {
                Ok(response) if self.is_stray(&response) => {
                    log::warn!(id = self.request_id.as_str(), target:% = self.address;
                        "the target's connection carries the answer to another request");
                    return Err(Failure::may_have_run(Reason::TargetFailed));
                }
                Ok(response) => {
                    self.owner.health.answered();
                    let answered = node.clock.now().as_millis() as u64;
                    node.target_last_answer_ms
                        .store(answered, Ordering::Relaxed);
                    slot.note_head();
                    let pool = Arc::clone(&self.owner.pool);
                    let node = Arc::clone(node);
                    let running = Running {
                        node,
                        pool,
                        connection,
                        slot,
                        _shard: shard,
                    };
                    return self.answer(response, running);
                }
                Err(failed) => failed,
            };
            if connection.gate.has_refused() {
                return Err(self
                    .check()
                    .err()
                    .unwrap_or(Failure::not_run(Reason::Deadline)));
            }
            let unwritten = connection.counts.written() == written;
            let mut failed = failed;
            request = match failed.take_message() {
                // The target closed an idle connection; the request is whole.
                Some(request) if unwritten && is_reused => request,
                _ if unwritten => return Err(Failure::not_run(Reason::TargetFailed)),
                _ => return Err(Failure::may_have_run(Reason::TargetFailed)),
            };
        }
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let remaining = self.deadline.saturating_sub(self.owner.node.clock.now());
        let opened = timeout(remaining, Connection::open(&self.owner.node, self.address)).await;
        let opened = opened.map_err(|_| Failure::not_run(Reason::Deadline))?;
        opened.map_err(|e| {
            log::warn!(target:% = self.address; "Cannot connect to the target: {e}");
            self.owner.set_away(self.address);
            Failure::not_run(Reason::TargetFailed)
        })
    }

    /// Returns whether an answer names another request.
    fn is_stray(&self, response: &http::Response<Incoming>) -> bool {
        let name = &self.owner.node.protocol.headers.request_id;
        let echoed = response.headers().get(name);
        let expected = self.owner.node.protocol.caller.requires_request_id;
        echoed.map_or(expected, |id| id.as_bytes() != self.request_id.as_bytes())
    }

    /// Checks the right and the deadline after an await.
    fn check(&self) -> Result<(), Failure> {
        if self.right.epoch()? != self.epoch {
            return Err(Failure::not_run(Reason::Moving));
        }
        if self.owner.node.clock.now() >= self.deadline {
            return Err(Failure::not_run(Reason::Deadline));
        }
        Ok(())
    }

    fn arm(&self, connection: &Connection) {
        let (right, epoch) = (self.right.clone(), self.epoch);
        connection.gate.arm(move || right.epoch() == Ok(epoch));
    }

    fn silent(&self, connection: &Connection, read: u64, waited: Duration) -> Failure {
        let silent = connection.counts.read() == read && waited >= SILENT_AFTER;
        if silent && self.owner.health.count_silent() {
            log::warn!(target:% = self.address; "The target is silent");
            self.owner.set_away(self.address);
        }
        Failure::may_have_run(Reason::Deadline)
    }

    fn answer(
        &self,
        response: http::Response<Incoming>,
        running: Running,
    ) -> Result<Answer, Failure> {
        let protocol = &self.owner.node.protocol;
        if let Some(failure) = (protocol.target.refusal)(response.status(), response.headers()) {
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                let load = failure.load;
                let busy = usize::from(load.running) + usize::from(load.queued);
                // A target that does not tell its load is taken to be full.
                let full = busy == 0 || busy >= self.owner.slots();
                running.slot.shed(full);
            }
            return Err(failure);
        }
        if !ends_visibly(&response) && !protocol.target.close_delimited {
            return Err(Failure::new(Verdict::Ran, Reason::TargetFailed));
        }
        let signed = |name| response.headers().contains_key(name);
        let unsigned = protocol
            .headers
            .signature
            .as_ref()
            .is_some_and(|n| !signed(n));
        if response.status().is_success() && unsigned {
            return Err(Failure::may_have_run(Reason::TargetFailed));
        }
        let status = response.status().as_u16();
        let headers = end_to_end(response.headers());
        let headers = headers
            .into_iter()
            .filter(|(name, _)| !protocol.headers.is_set_by_daemon(name))
            .collect();
        let body = TargetBody::new(response.into_body(), running).boxed_unsync();
        Ok(Answer {
            status,
            headers,
            body,
            load: self.owner.load(),
        })
    }
}

impl Owner {
    /// Treats the target as away until its next announcement.
    fn set_away(&self, address: SocketAddr) {
        self.node.target.send_if_modified(|target| {
            let same = target.as_ref().is_some_and(|t| t.address == address);
            if same {
                *target = None;
            }
            same
        });
    }
}

/// Returns whether a cut answer can be told from a whole one. An answer that ends with the
/// connection cannot.
fn ends_visibly(response: &http::Response<Incoming>) -> bool {
    let headers = response.headers();
    http_body::Body::is_end_stream(response.body())
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn build(
    node: &Node,
    head: &Forward,
    body: Body,
    held: Option<(ShardId, Epoch)>,
    target: &Announce,
    hop: &HopSpan,
) -> Result<http::Request<Body>, Failure> {
    let malformed = || Failure::not_run(Reason::Malformed);
    let mut request = http::Request::new(body);
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).map_err(|_| malformed())?;
    *request.uri_mut() = Uri::try_from(head.path.as_str()).map_err(|_| malformed())?;
    let mut map = to_header_map(&head.headers).map_err(|_| malformed())?;
    let text = |text: &str| HeaderValue::try_from(text).map_err(|_| malformed());
    if !map.contains_key(HOST) {
        map.insert(HOST, text(&target.address.to_string())?);
    }
    let names = &node.protocol.headers;
    map.insert(&names.request_id, text(&head.request_id)?);
    if let Some(name) = names
        .instance
        .as_ref()
        .filter(|_| !target.instance.is_empty())
    {
        map.insert(name, text(&target.instance)?);
    }
    if names.adds_diagnostics {
        map.insert(headers::TRACEPARENT, text(&hop.traceparent())?);
    }
    let by_report = node.protocol.target.grants_by_report;
    if let Some((shard, epoch)) = held.filter(|_| !by_report) {
        map.insert(headers::SHARD, HeaderValue::from(shard.0));
        map.insert(headers::EPOCH, HeaderValue::from(epoch.0));
    }
    *request.headers_mut() = map;
    Ok(request)
}

fn set_deadline(headers: &mut HeaderMap, name: &HeaderName, remaining: Duration) {
    headers.insert(name, HeaderValue::from(to_wire_ms(remaining)));
}

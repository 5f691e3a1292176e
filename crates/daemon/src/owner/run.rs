//! Runs one request at the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use masticdeal_ownership::ids::{Epoch, ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use masticdeal_policy::Verdict;
use masticdeal_policy::attempts::AttemptId;
use masticdeal_wire::headers;
use masticdeal_wire::peer::{Forward, Reason};
use masticdeal_wire::target::Announce;
use tokio::time::timeout;

use super::Owner;
use super::admission::Slot;
use super::connection::{Connection, is_reset};
use super::in_flight::InFlightGuard;
use super::ownership_check::OwnershipCheck;
use super::response_body::{RequestResources, TargetBody};
use super::response_head;
use crate::exchange::{
    Body, Failure, Request, TargetResponse, end_to_end, to_header_map, to_wire_ms,
};
use crate::meter::RequestKey;
use crate::node::Node;
use crate::telemetry::traces::HopSpan;

/// Shortest wait without a response byte that counts as a fault of the target. Callers choose their
/// deadlines, and missing a shorter one is no evidence against the target.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Longest wait until the target holds the grant for a shard. A target fetches its grants with its
/// reports, about once a second.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval at which the granted shards are checked again. A grant takes effect a little after it
/// was sent, and no notification marks that instant.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Consecutive requests without a response byte after which the target is unavailable.
const MAX_SILENT_REQUESTS: u32 = 3;

/// Counts consecutive requests without a response byte.
#[derive(Debug, Default)]
pub struct SilenceCounter {
    silent_requests: AtomicU32,
}

impl SilenceCounter {
    fn reset(&self) {
        self.silent_requests.store(0, Ordering::Release);
    }

    /// Counts a request without a response byte. Returns whether the target is unavailable. The
    /// count is reset only by a response, so after the limit each further request returns `true`.
    fn count_silent(&self) -> bool {
        self.silent_requests.fetch_add(1, Ordering::AcqRel) + 1 >= MAX_SILENT_REQUESTS
    }
}

impl Owner {
    pub(super) async fn run(&self, request: Request) -> Result<TargetResponse, Failure> {
        let Request {
            head,
            body,
            deadline,
        } = request;
        let hop = HopSpan::start("owner", &head.traceparent);
        let key = head.shard.zip(head.key_hash);
        let ownership = OwnershipCheck {
            node: Arc::clone(&self.node),
            service: head.service,
            key,
        };
        // The request is tracked before the first ownership check. A move that waits for the shard
        // to drain therefore sees every request that passed the check.
        let has_override = key.is_some_and(|(_, hash)| self.has_override(head.service, hash));
        let shard = head.shard.filter(|_| !has_override);
        let guard = key.map(|(_, hash)| self.in_flight.track(head.service, shard, hash));
        let request_key = key.map(|(_, key_hash)| RequestKey { shard, key_hash });
        // A request that waits here has not started, so that a withdrawal applies to it.
        let admitted = tokio::select! {
            biased;
            () = self.node.await_withdrawal(head.attempt) => Err(Failure::not_run(Reason::Silent)),
            admitted = self.admit(&head, &ownership, deadline) => admitted,
        };
        self.count_request(request_key, &admitted);
        let slot = admitted?;
        let target = self.target_for(head.service)?;
        let epoch = ownership.epoch()?;
        let granted_shard = key.map(|(shard, hash)| {
            if has_override {
                override_shard(hash)
            } else {
                shard
            }
        });
        let grant = granted_shard.zip(epoch);
        let request = build_request(&self.node, &head, body, grant, &target, &hop)?;
        let target_request = TargetRequest {
            owner: self,
            ownership,
            epoch,
            address: target.address,
            request_id: head.request_id.clone(),
            deadline,
            attempt: head.attempt,
        };
        target_request.run(request, slot, guard).await
    }

    /// Counts the request for the planner's load figures. A request refused for another reason than
    /// load is counted by the daemon that runs it.
    fn count_request(&self, request_key: Option<RequestKey>, admitted: &Result<Slot, Failure>) {
        let now = self.node.clock.now();
        match admitted {
            Ok(_) => self.node.meter.count(now, request_key),
            Err(f) if is_load(f.reason) => {
                self.node.meter.count_refused(now, request_key);
            }
            Err(_) => {}
        }
    }

    fn has_override(&self, service: ServiceId, key_hash: u64) -> bool {
        let table = self.node.table.borrow();
        let service = table.service(service);
        service.is_some_and(|s| s.overrides.iter().any(|o| o.key_hash == key_hash))
    }

    /// Waits for at most [`GRANT_TIMEOUT`] while this daemon owns the shard and the target does not
    /// hold the grant yet. The reply to the target's next report carries the grant.
    async fn await_grant(
        &self,
        ownership: &OwnershipCheck,
        deadline: Duration,
    ) -> Result<(), Failure> {
        let wait_until = deadline.min(self.node.clock.now() + GRANT_TIMEOUT);
        loop {
            let changed = self.node.granted_shards.changed();
            tokio::pin!(changed);
            let failure = match ownership.epoch() {
                Ok(_) => return Ok(()),
                Err(failure) => failure,
            };
            let remaining = wait_until.saturating_sub(self.node.clock.now());
            if remaining.is_zero() || !ownership.is_owner() {
                return Err(failure);
            }
            let _ = timeout(remaining.min(GRANT_POLL_INTERVAL), changed).await;
        }
    }

    async fn admit(
        &self,
        head: &Forward,
        ownership: &OwnershipCheck,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        if *self.node.draining.borrow() {
            return Err(Failure::not_run(Reason::ShuttingDown));
        }
        if self.node.clock.now() >= deadline {
            return Err(Failure::not_run(Reason::Deadline));
        }
        self.await_grant(ownership, deadline).await?;
        self.target_for(head.service)?;
        let config = self.node.config_and_service_name(head.service);
        let service = config
            .as_ref()
            .and_then(|(deployment, name)| deployment.service(name));
        let admitted = self.admission.admit(head, service, deadline);
        let waits_for_rate = service.is_some_and(|s| s.cold_requests_per_s > 0.0);
        let admitted = if ownership.key.is_none() || !waits_for_rate {
            admitted.await
        } else {
            tokio::select! {
                biased;
                slot = admitted => slot,
                failure = ownership.lost() => Err(failure),
            }
        };
        // An evacuation closes the admission, which refuses the waiting requests for another reason.
        admitted.map_err(|failure| match ownership.evacuation_refusal() {
            Some(refusal) if failure.reason == Reason::TargetAway => refusal,
            _ => failure,
        })
    }
}

/// An admitted request, with a slot of the target.
struct TargetRequest<'a> {
    owner: &'a Owner,
    ownership: OwnershipCheck,
    epoch: Option<Epoch>,
    address: SocketAddr,
    request_id: String,
    deadline: Duration,
    attempt: Option<AttemptId>,
}

impl TargetRequest<'_> {
    async fn run(
        &self,
        mut request: http::Request<Body>,
        mut slot: Slot,
        guard: Option<InFlightGuard>,
    ) -> Result<TargetResponse, Failure> {
        let node = &self.owner.node;
        loop {
            let now = node.clock.now();
            let pooled = self.owner.pool.take(self.address, now);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            self.check()?;
            let sent_at = node.clock.now();
            let remaining = self.deadline.saturating_sub(sent_at);
            let names = &node.protocol.headers;
            set_deadline(request.headers_mut(), &names.deadline, remaining);
            self.set_write_check(&connection);
            // From here on the attempt may run, and cannot be withdrawn.
            if !node.start_attempt(self.attempt) {
                return Err(Failure::not_run(Reason::Silent));
            }
            let (read_before, written_before) =
                (connection.counts.read(), connection.counts.written());
            let result = timeout(remaining, connection.send.try_send_request(request)).await;
            let Ok(result) = result else {
                return Err(self.handle_timeout(&connection, read_before, remaining));
            };
            let send_error = match result {
                Ok(response) if self.is_mismatched(&response) => {
                    log::warn!(id = self.request_id.as_str(), target:% = self.address;
                        "target's response does not carry the identifier of this request");
                    return Err(Failure::may_have_run(Reason::TargetFailed));
                }
                Ok(response) => {
                    self.owner.silence.reset();
                    let now_ms = node.clock.now().as_millis() as u64;
                    node.target_last_response_ms
                        .store(now_ms, Ordering::Relaxed);
                    slot.record_head();
                    let pool = Arc::clone(&self.owner.pool);
                    let node = Arc::clone(node);
                    let resources = RequestResources {
                        node,
                        pool,
                        connection,
                        slot,
                        _in_flight: guard,
                    };
                    return self.process_response(response, resources, sent_at);
                }
                Err(send_error) => send_error,
            };
            if connection.write_check.has_refused() {
                return Err(self
                    .check()
                    .err()
                    .unwrap_or(Failure::not_run(Reason::Deadline)));
            }
            let is_unwritten = connection.counts.written() == written_before;
            let mut send_error = send_error;
            if send_error.error().is_parse_status() {
                log::warn!(id = self.request_id.as_str(), target:% = self.address;
                    "target's response {}", response_head::INVALID_STATUS);
            }
            let unsent = send_error.take_message();
            if !(is_unwritten && is_pooled) && is_reset(send_error.error()) {
                slot.record_connection_failure();
            }
            request = match unsent {
                // The target closed the idle connection before the request was sent: try another.
                Some(request) if is_unwritten && is_pooled => request,
                _ if is_unwritten => return Err(Failure::not_run(Reason::TargetFailed)),
                _ => return Err(Failure::may_have_run(Reason::TargetFailed)),
            };
        }
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let remaining = self.deadline.saturating_sub(self.owner.node.clock.now());
        let opened = timeout(remaining, Connection::open(&self.owner.node, self.address)).await;
        let opened = opened.map_err(|_| Failure::not_run(Reason::Deadline))?;
        opened.map_err(|e| {
            log::warn!(target:% = self.address; "cannot connect to the target: {e}");
            if e.kind() != std::io::ErrorKind::TimedOut {
                self.owner.admission.record_connection_failure();
            }
            self.owner.mark_unavailable(self.address);
            Failure::not_run(Reason::TargetFailed)
        })
    }

    /// Returns whether the response cannot be attributed to this request: it carries another
    /// request's identifier, more than one, or none although the protocol requires it.
    fn is_mismatched(&self, response: &http::Response<Incoming>) -> bool {
        let name = &self.owner.node.protocol.headers.request_id;
        let mut echoed = response.headers().get_all(name).iter();
        match echoed.next() {
            None => self.owner.node.protocol.caller.requires_request_id,
            Some(id) => id.as_bytes() != self.request_id.as_bytes() || echoed.next().is_some(),
        }
    }

    /// Checks ownership and the deadline. Called once a connection is open, since ownership can be
    /// lost or the deadline can pass before that, and to find out why the write check refused.
    fn check(&self) -> Result<(), Failure> {
        if self.ownership.epoch()? != self.epoch {
            return Err(Failure::not_run(Reason::Moving));
        }
        if self.owner.node.clock.now() >= self.deadline {
            return Err(Failure::not_run(Reason::Deadline));
        }
        Ok(())
    }

    fn set_write_check(&self, connection: &Connection) {
        let (ownership, epoch) = (self.ownership.clone(), self.epoch);
        connection
            .write_check
            .set(move || ownership.epoch() == Ok(epoch));
    }

    fn handle_timeout(
        &self,
        connection: &Connection,
        read_before: u64,
        waited: Duration,
    ) -> Failure {
        let is_silent = connection.counts.read() == read_before && waited >= MIN_SILENCE;
        if is_silent && self.owner.silence.count_silent() {
            log::warn!(target:% = self.address;
                "no response byte to {MAX_SILENT_REQUESTS} or more requests in a row; \
                 the target is unavailable until it announces itself");
            self.owner.mark_unavailable(self.address);
        }
        Failure::may_have_run(Reason::Deadline)
    }

    fn process_response(
        &self,
        response: http::Response<Incoming>,
        resources: RequestResources,
        sent_at: Duration,
    ) -> Result<TargetResponse, Failure> {
        let protocol = &self.owner.node.protocol;
        if let Some(fault) = response_head::fault(&response) {
            log::warn!(id = self.request_id.as_str(), target:% = self.address,
                status = response.status().as_u16(); "target's response {fault}");
            return Err(Failure::may_have_run(Reason::TargetFailed));
        }
        if let Some(failure) = (protocol.target.refusal)(response.status(), response.headers()) {
            if let Some((shard, _)) = self.ownership.key
                && failure.reason == Reason::Moving
            {
                self.owner
                    .node
                    .granted_shards
                    .record_refusal(sent_at, shard);
            }
            let is_refused = failure.verdict == Verdict::NotRun;
            if is_refused && response.status() == StatusCode::SERVICE_UNAVAILABLE {
                let load = failure.load;
                let requests = usize::from(load.running) + usize::from(load.queued);
                // A target that does not report its load counts as full.
                let full = requests == 0 || requests >= self.owner.slots();
                resources.slot.shed(full);
            }
            return Err(failure);
        }
        if !response_head::has_framing(&response) && !protocol.target.close_delimited {
            return Err(Failure::new(Verdict::Ran, Reason::TargetFailed));
        }
        let is_signed = |name| response.headers().contains_key(name);
        let is_unsigned = protocol
            .headers
            .signature
            .as_ref()
            .is_some_and(|n| !is_signed(n));
        if response.status().is_success() && is_unsigned {
            return Err(Failure::may_have_run(Reason::TargetFailed));
        }
        let status = response.status();
        let headers = end_to_end(response.headers());
        let headers = headers
            .into_iter()
            .filter(|(name, _)| !protocol.headers.is_set_by_daemon(name))
            .collect();
        let body = TargetBody::new(response.into_body(), resources, self.deadline).boxed_unsync();
        Ok(TargetResponse {
            status,
            headers,
            body,
            load: self.owner.load(),
        })
    }
}

impl Owner {
    /// Marks the target as unavailable until its next announcement.
    fn mark_unavailable(&self, address: SocketAddr) {
        self.node.target.send_if_modified(|target| {
            let is_same = target.as_ref().is_some_and(|t| t.address == address);
            if is_same {
                *target = None;
            }
            is_same
        });
    }
}

/// Returns whether a request was refused because of load.
fn is_load(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull | Reason::Deadline | Reason::ColdTarget
    )
}

fn build_request(
    node: &Node,
    head: &Forward,
    body: Body,
    grant: Option<(ShardId, Epoch)>,
    target: &Announce,
    hop: &HopSpan,
) -> Result<http::Request<Body>, Failure> {
    let malformed = || Failure::not_run(Reason::Malformed);
    let mut request = http::Request::new(body);
    *request.method_mut() = Method::from_bytes(head.method.as_bytes()).map_err(|_| malformed())?;
    *request.uri_mut() = Uri::try_from(head.path.as_str()).map_err(|_| malformed())?;
    let mut map = to_header_map(&head.headers).map_err(|_| malformed())?;
    let header_value = |text: &str| HeaderValue::try_from(text).map_err(|_| malformed());
    if !map.contains_key(HOST) {
        map.insert(HOST, header_value(&target.address.to_string())?);
    }
    let names = &node.protocol.headers;
    map.insert(&names.request_id, header_value(&head.request_id)?);
    if let Some(name) = names
        .instance
        .as_ref()
        .filter(|_| !target.instance.is_empty())
    {
        map.insert(name, header_value(&target.instance)?);
    }
    if names.adds_diagnostics {
        map.insert(headers::TRACEPARENT, header_value(&hop.traceparent())?);
    }
    let grants_by_report = node.protocol.target.grants_by_report;
    if let Some((shard, epoch)) = grant.filter(|_| !grants_by_report) {
        map.insert(headers::SHARD, HeaderValue::from(shard.0));
        map.insert(headers::EPOCH, HeaderValue::from(epoch.0));
    }
    *request.headers_mut() = map;
    Ok(request)
}

fn set_deadline(headers: &mut HeaderMap, name: &HeaderName, remaining: Duration) {
    headers.insert(name, HeaderValue::from(to_wire_ms(remaining)));
}

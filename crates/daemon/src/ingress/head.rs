//! Validates the head of a caller's request and determines its service, key and deadline.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::{HeaderMap, Method, Version};
use masticdeal_config::deployment::{Deployment, Service};
use masticdeal_ownership::ids::ServiceId;
use masticdeal_policy::deadline::{self, Deadline};
use masticdeal_wire::headers;
use masticdeal_wire::peer::{Forward, Reason, Versions};
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::{Failure, end_to_end, to_wire_ms};
use crate::holdings::numeric_key_hash;
use crate::node::Node;

/// Longest request identifier accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A validated request head, ready for routing.
pub struct Head {
    /// Configuration that was used for the validation.
    pub deployment: Arc<Deployment>,
    /// Name of the service.
    pub service: String,
    /// Limit on the attempts set by the route; `None` if only the retry policy limits them.
    pub max_attempts: Option<u32>,
    /// Deadline for the response head.
    pub deadline: Deadline,
    /// Objective of the route: when the response should arrive, as time since boot.
    pub due: Option<Duration>,
    /// Request head for the daemon that is chosen. Each attempt sets service id, shard, objective
    /// and versions. The ingress sets the trace context, and the peer transport the deadline.
    pub forward: Forward,
}

impl Head {
    /// Validates a request head.
    ///
    /// # Errors
    ///
    /// A failure with the verdict `NotRun` and the reason.
    pub fn validate(node: &Node, parts: &Parts, request_id: &str) -> Result<Self, Failure> {
        validate_protocol_and_limits(node, parts)?;
        let (revision, deployment) = node.deployment.borrow().clone();
        if revision == 0 {
            return Err(Failure::not_run(Reason::NotReady));
        }
        let names = &node.protocol.headers;
        let path = parts.uri.path();
        let matched = deployment
            .resolve(host(parts), path, rand::random())
            .ok_or(Failure::not_run(Reason::NoService))?;
        let (service, route) = (matched.service, matched.route);
        let key_hash = key_hash(node, service, parts)?;
        let now = node.clock.now();
        let requested = requested_timeout(&parts.headers, names.deadline.as_str())?;
        let max_timeout = route.map_or(service.deadline, |r| r.timeout);
        let deadline = Deadline::new(now, requested, max_timeout);
        let idempotent_header = header_text(&parts.headers, headers::IDEMPOTENT);
        let is_idempotent = || service.is_idempotent(parts.method.as_str(), idempotent_header);
        let idempotent = route.map_or_else(is_idempotent, |r| r.idempotent);
        let max_attempts = route.map(|r| r.max_attempts);
        let due = route
            .filter(|r| !r.objective.is_zero())
            .map(|r| now + r.objective);
        let forward = Forward {
            service: ServiceId(0),
            shard: None,
            key_hash,
            method: parts.method.as_str().to_owned(),
            path: parts
                .uri
                .path_and_query()
                .map_or(path, |p| p.as_str())
                .to_owned(),
            prefix_bytes: route.map_or(0, |r| r.prefix.len() as u16),
            headers: forwarded_headers(node, parts),
            deadline_ms: 0,
            objective_ms: None,
            caller_limit_ms: requested.map(to_wire_ms),
            rank: route.map_or(0, |r| r.priority),
            idempotent,
            request_id: request_id.to_owned(),
            traceparent: String::new(),
            versions: Versions::default(),
            attempt: None,
        };
        let service = service.name.clone();
        Ok(Self {
            deployment,
            service,
            max_attempts,
            deadline,
            due,
            forward,
        })
    }

    /// Returns the configuration of the service.
    pub fn service(&self) -> Option<&Service> {
        self.deployment.service(&self.service)
    }
}

/// Returns the request identifier sent by the caller, or a new one if there is no valid one.
pub fn request_id(node: &Node, headers: &HeaderMap) -> String {
    let caller_id = header_text(headers, node.protocol.headers.request_id.as_str()).filter(|id| {
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_BYTES
            && id.bytes().all(|b| b.is_ascii_graphic())
    });
    caller_id.map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned)
}

/// Returns the trace context sent by the caller.
pub fn traceparent(headers: &HeaderMap) -> &str {
    header_text(headers, headers::TRACEPARENT).unwrap_or_default()
}

fn validate_protocol_and_limits(node: &Node, parts: &Parts) -> Result<(), Failure> {
    let limits = &node.settings.limits;
    let bytes: usize = parts
        .headers
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len())
        .sum();
    if bytes > limits.max_header_bytes {
        return Err(Failure::not_run(Reason::HeadersTooLarge));
    }
    // An HTTP/1.0 response may be delimited by the close of the connection, so a caller could not
    // detect a truncated one. CONNECT opens a tunnel, so there is no response to relay.
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err(Failure::not_run(Reason::Malformed));
    }
    let length = header_text(&parts.headers, CONTENT_LENGTH.as_str());
    let length = length.and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
    if length > limits.max_body_bytes {
        return Err(Failure::not_run(Reason::TooLarge));
    }
    Ok(())
}

fn key_hash(node: &Node, service: &Service, parts: &Parts) -> Result<Option<u64>, Failure> {
    if service.key.is_none() {
        return Ok(None);
    }
    let header = |name: &str| {
        let mut values = parts.headers.get_all(name).iter();
        let first = values.next()?.to_str().ok()?;
        // With several values the target might use a different one as key.
        values.next().is_none().then_some(first)
    };
    let key = service.key_of(parts.uri.path(), parts.uri.query(), header);
    let key = key.ok_or(Failure::not_run(Reason::NoKey))?;
    if service.has_numeric_keys() {
        let number = key.parse().map_err(|_| Failure::not_run(Reason::NoKey))?;
        let table = node.table.borrow();
        let declared = table
            .service_id(&service.name)
            .and_then(|id| table.service(id));
        let shards = declared.map_or(service.shards, |s| s.shards.len() as u32);
        return Ok(Some(numeric_key_hash(number, shards)));
    }
    Ok(Some(xxh3_64(key.as_bytes())))
}

fn requested_timeout(headers: &HeaderMap, name: &str) -> Result<Option<Duration>, Failure> {
    if !headers.contains_key(name) {
        return Ok(None);
    }
    let requested = header_text(headers, name).and_then(deadline::parse_header);
    requested
        .map(Some)
        .ok_or(Failure::not_run(Reason::Malformed))
}

/// Returns the headers that are forwarded to the target: the end-to-end headers that the caller
/// sent, without those that daemons set, and the headers with the host and the caller's service.
/// The caller counts as the target on this VM, so its service is the configured one.
fn forwarded_headers(node: &Node, parts: &Parts) -> Vec<(String, Vec<u8>)> {
    let names = &node.protocol.headers;
    let mut forwarded = end_to_end(&parts.headers);
    // Callers must not be able to forge the headers that daemons set.
    forwarded.retain(|(name, _)| !names.is_set_by_daemon(name));
    if let Some(name) = &names.caller_service {
        let service = node.settings.target.service.clone();
        forwarded.push((name.as_str().to_owned(), service.into_bytes()));
    }
    // HTTP/2 carries the host in `:authority`, which the HTTP library puts into the URI.
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
    {
        forwarded.push((
            HOST.as_str().to_owned(),
            authority.as_str().as_bytes().to_vec(),
        ));
    }
    forwarded
}

/// Returns the host of the request as sent, with the port if there is one.
fn host(parts: &Parts) -> &str {
    let host_header = header_text(&parts.headers, HOST.as_str());
    let authority = || parts.uri.authority().map(|a| a.as_str());
    host_header.or_else(authority).unwrap_or_default()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

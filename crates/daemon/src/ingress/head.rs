//! The head of a caller's request: checks, service, key and deadline.

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

use crate::exchange::{Failure, end_to_end};
use crate::node::Node;

/// Longest identifier of a request that is taken over from the caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A request that may be routed.
pub struct Head {
    /// Configuration that the request was checked against.
    pub rules: Arc<Deployment>,
    /// Name of the service.
    pub service: String,
    /// When the caller needs the head of the answer.
    pub deadline: Deadline,
    /// Head for the owner; service id, shard, deadline and versions are set for each attempt.
    pub forward: Forward,
}

impl Head {
    /// Checks a request.
    ///
    /// # Errors
    ///
    /// A failure with verdict `NotRun` and the reason.
    pub fn check(node: &Node, parts: &Parts, request_id: &str) -> Result<Self, Failure> {
        check_shape(node, parts)?;
        let (revision, rules) = node.deployment.borrow().clone();
        if revision == 0 {
            return Err(Failure::not_run(Reason::NotReady));
        }
        let path = parts.uri.path();
        let service = rules
            .route(path)
            .ok_or(Failure::not_run(Reason::NoService))?;
        let key_hash = key_hash(service, parts)?;
        let now = node.clock.now();
        let asked = asked_deadline(&parts.headers)?;
        let deadline = Deadline::new(now, asked, service.deadline);
        let idempotent = text(&parts.headers, headers::IDEMPOTENT);
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
            headers: passed_on(parts),
            deadline_ms: 0,
            idempotent: service.is_idempotent(parts.method.as_str(), idempotent),
            request_id: request_id.to_owned(),
            traceparent: String::new(),
            versions: Versions::default(),
        };
        let service = service.name.clone();
        Ok(Self {
            rules,
            service,
            deadline,
            forward,
        })
    }

    /// Returns the rules of the service.
    pub fn service(&self) -> Option<&Service> {
        self.rules.service(&self.service)
    }
}

/// Returns the caller's identifier of the request, or a new one.
pub fn request_id(headers: &HeaderMap) -> String {
    let given = text(headers, headers::REQUEST_ID).filter(|id| {
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_BYTES
            && id.bytes().all(|b| b.is_ascii_graphic())
    });
    given.map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned)
}

/// Returns the trace context that the caller sent.
pub fn traceparent(headers: &HeaderMap) -> &str {
    text(headers, headers::TRACEPARENT).unwrap_or_default()
}

fn check_shape(node: &Node, parts: &Parts) -> Result<(), Failure> {
    let limits = &node.settings.limits;
    let bytes: usize = parts
        .headers
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len())
        .sum();
    if bytes > limits.max_header_bytes {
        return Err(Failure::not_run(Reason::HeadersTooLarge));
    }
    // An answer to HTTP/1.0 may end with the connection, so a cut answer would look whole. A
    // tunnel has no answer to speak of.
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err(Failure::not_run(Reason::Malformed));
    }
    let length = text(&parts.headers, CONTENT_LENGTH.as_str());
    let length = length.and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
    if length > limits.max_body_bytes {
        return Err(Failure::not_run(Reason::TooLarge));
    }
    Ok(())
}

fn key_hash(service: &Service, parts: &Parts) -> Result<Option<u64>, Failure> {
    if service.key.is_none() {
        return Ok(None);
    }
    let header = |name: &str| {
        let mut values = parts.headers.get_all(name).iter();
        let first = values.next()?.to_str().ok()?;
        // The target might read another one of several values.
        values.next().is_none().then_some(first)
    };
    let key = service.key_of(parts.uri.path(), parts.uri.query(), header);
    let key = key.ok_or(Failure::not_run(Reason::NoKey))?;
    Ok(Some(xxh3_64(key.as_bytes())))
}

fn asked_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    if !headers.contains_key(headers::DEADLINE_MS) {
        return Ok(None);
    }
    let asked = text(headers, headers::DEADLINE_MS).and_then(deadline::parse_header);
    asked.map(Some).ok_or(Failure::not_run(Reason::Malformed))
}

/// Returns the headers that go to the target as they came.
fn passed_on(parts: &Parts) -> Vec<(String, Vec<u8>)> {
    let mut passed = end_to_end(&parts.headers);
    passed.retain(|(name, _)| !is_internal(name));
    // HTTP/2 carries the host in the URI.
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
    {
        passed.push((
            HOST.as_str().to_owned(),
            authority.as_str().as_bytes().to_vec(),
        ));
    }
    passed
}

/// Returns whether the daemon reads or sets the header itself. None of them is passed on as it came,
/// so that a caller cannot pose as a daemon.
fn is_internal(name: &str) -> bool {
    name.starts_with(headers::PREFIX) || name == headers::REQUEST_ID || name == headers::TRACEPARENT
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

//! One request and its outcome, as the ingress, the peer transport and the owner hand them on.
//!
//! Bodies are streams on every hop. An [`Outcome::Failed`] always carries a [`Verdict`]; an answer
//! whose body ends with an error is a truncated answer and must end visibly towards the caller.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use masticdeal_config::deployment::{KeySource, Service};
use masticdeal_policy::{Verdict, classifier};
use masticdeal_wire::peer::{Forward, LoadHint, Reason, Versions};

/// Streaming body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body ended before it was whole.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// the connection to the target failed inside the body
    TargetFailed,
    /// the connection to the owner's daemon failed inside the body
    PeerFailed,
    /// the caller's request body ended early
    CallerFailed,
    /// the body exceeds the limit
    TooLarge,
    /// no progress within the bound
    Stalled,
    /// the body was already read by an earlier attempt
    Superseded,
}

impl std::error::Error for BodyError {}

/// A request with its body.
#[derive(Debug)]
pub struct Request {
    /// Head, as it travels between daemons.
    pub head: Forward,
    /// Body.
    pub body: Body,
    /// Deadline as a time since boot on this daemon's clock.
    pub deadline: Duration,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The head of the target's answer, and its body.
    Answer(Answer),
    /// No answer of the target.
    Failed(Failure),
}

/// The target's answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// End-to-end headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body; an error on it means that the answer is cut.
    pub body: Body,
    /// Load of the target.
    pub load: LoadHint,
}

/// A failure with its verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What is known about the execution.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// When a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Versions that the daemon which failed the request holds.
    pub versions: Versions,
    /// Load of the target.
    pub load: LoadHint,
}

impl Failure {
    /// Makes a failure without versions and load.
    pub fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: None,
            versions: Versions::default(),
            load: LoadHint::default(),
        }
    }

    /// Makes a failure of a request that provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// Makes a failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Returns a body without bytes.
pub fn empty() -> Body {
    http_body_util::Empty::new()
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and `expect`, which the
/// daemon's own server answers.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the end-to-end headers, in order. Headers named by `connection` are left out as well.
pub fn end_to_end(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Puts headers that came over the wire into a map.
///
/// # Errors
///
/// The name of the first header that is not valid HTTP.
pub fn to_header_map(headers: &[(String, Vec<u8>)]) -> Result<HeaderMap, String> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let parsed = HeaderName::try_from(name.as_str());
        let Ok(key) = parsed else {
            return Err(name.clone());
        };
        let Ok(value) = HeaderValue::from_bytes(value) else {
            return Err(name.clone());
        };
        map.append(key, value);
    }
    Ok(map)
}

/// Rounds a remaining time up to whole milliseconds, the unit of the wire.
pub fn to_wire_ms(remaining: Duration) -> u32 {
    remaining
        .as_micros()
        .div_ceil(1_000)
        .min(u128::from(u32::MAX)) as u32
}

/// Returns what names the cost class of a request, at the ingress and at the owner alike.
pub fn shape_of<'a>(head: &'a Forward, service: Option<&'a Service>) -> classifier::Request<'a> {
    let key_segment = match service.and_then(|s| s.key.as_ref()) {
        Some(KeySource::PathSegment(segment)) => Some(*segment),
        _ => None,
    };
    classifier::Request {
        service: service.map_or("", |s| s.name.as_str()),
        method: &head.method,
        path: match usize::from(head.prefix_bytes) {
            0 => &head.path,
            prefix => head.path.get(..prefix).unwrap_or(&head.path),
        },
        key_segment,
        is_route: head.prefix_bytes > 0,
    }
}

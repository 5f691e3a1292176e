//! One request and its outcome, passed between the ingress, the peer transport and the owner.
//!
//! Bodies are streamed on every hop. An [`Outcome::Failed`] always carries a [`Verdict`]. If a
//! response body ends with an error, the caller must be able to detect the truncation.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use masticdeal_config::deployment::{KeySource, Service};
use masticdeal_policy::{Verdict, classifier};
use masticdeal_wire::peer::{Forward, LoadHint, Reason, Versions};

/// Streaming body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Reason why a body is incomplete.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// the connection to the target failed within the body
    TargetFailed,
    /// the connection to the owner's daemon failed within the body
    PeerFailed,
    /// the caller's request body ended early
    CallerFailed,
    /// the request body exceeds `limits.max_body_bytes`
    TooLarge,
    /// no byte of the body was transferred within 30 s
    Stalled,
    /// the deadline of the request passed within the body
    Deadline,
    /// a later attempt took the body over
    Superseded,
}

impl std::error::Error for BodyError {}

/// A request with its body.
#[derive(Debug)]
pub struct Request {
    /// Request head, as sent between daemons.
    pub head: Forward,
    /// Request body.
    pub body: Body,
    /// Deadline, as time since boot by this daemon's clock.
    pub deadline: Duration,
}

/// Outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The target's response.
    Response(TargetResponse),
    /// There is no usable response from the target.
    Failed(Failure),
}

/// The target's response. The body is still being received.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status of a final response, see [`final_status`].
    pub status: StatusCode,
    /// End-to-end headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body. An error means that the response is truncated.
    pub body: Body,
    /// Load of the target.
    pub load: LoadHint,
}

/// A failed request, with its verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request ran, as far as the daemon knows.
    pub verdict: Verdict,
    /// Reason of the failure.
    pub reason: Reason,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Table and configuration versions of the daemon that refused the request.
    pub versions: Versions,
    /// Load of the target.
    pub load: LoadHint,
}

impl Failure {
    /// Creates a failure without delay, versions and load.
    pub fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: None,
            versions: Versions::default(),
            load: LoadHint::default(),
        }
    }

    /// Creates the failure of a request that provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Returns an empty body.
pub fn empty_body() -> Body {
    http_body_util::Empty::new()
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `expect`, which the daemon's HTTP server
/// handles.
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

/// Copies the end-to-end headers, in order. Headers listed in `connection` are dropped as well.
pub fn end_to_end(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let connection_options: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !connection_options.iter().any(|n| n == name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Converts headers in the form that is sent between daemons into a header map.
///
/// # Errors
///
/// The name of the first header with an invalid name or value.
pub fn to_header_map(headers: &[(String, Vec<u8>)]) -> Result<HeaderMap, String> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let parsed_name = HeaderName::try_from(name.as_str());
        let Ok(key) = parsed_name else {
            return Err(name.clone());
        };
        let Ok(value) = HeaderValue::from_bytes(value) else {
            return Err(name.clone());
        };
        map.append(key, value);
    }
    Ok(map)
}

/// Returns the status if it is that of a final response, 200 to 599. HTTP defines no class for other
/// numbers (RFC 9110, section 15), and a response 1xx is not the last one of its request.
pub fn final_status(code: u16) -> Option<StatusCode> {
    let status = StatusCode::from_u16(code).ok()?;
    (200..=599).contains(&code).then_some(status)
}

/// Rounds a remaining time up to whole milliseconds, the unit used between daemons.
pub fn to_wire_ms(remaining: Duration) -> u32 {
    remaining
        .as_micros()
        .div_ceil(1_000)
        .min(u128::from(u32::MAX)) as u32
}

/// Returns the attributes by which a request is classified. The ingress and the owner must agree on
/// them.
pub fn classifier_request<'a>(
    head: &'a Forward,
    service: Option<&'a Service>,
) -> classifier::Request<'a> {
    let key_segment = match service.and_then(|s| s.key.as_ref()) {
        Some(KeySource::PathSegment(segment)) => Some(*segment),
        _ => None,
    };
    classifier::Request {
        service: service.map_or("", |s| s.name.as_str()),
        method: &head.method,
        path: match usize::from(head.prefix_bytes) {
            0 => &head.path,
            prefix_bytes => head.path.get(..prefix_bytes).unwrap_or(&head.path),
        },
        key_segment,
        is_route: head.prefix_bytes > 0,
    }
}

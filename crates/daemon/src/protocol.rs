//! Protocols used with callers, targets, the platform's store and the operators' configuration.
//!
//! A [`Protocol`] contains names and conversions, but no decisions. [`Protocol::default`] is the
//! project's own interface; an adapter to other protocols supplies another value.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use masticdeal_config::deployment::Deployment;
use masticdeal_config::fault::Fault;
use masticdeal_platform::{Binding, NATIVE_BINDING};
use masticdeal_policy::Verdict;
use masticdeal_wire::headers;
use masticdeal_wire::peer::{ConfigValue, Reason};
use masticdeal_wire::target::{Announce, Report, ReportReply};

use crate::exchange::Failure;

/// A decoded message, or a description of what is malformed.
pub type DecodeResult<T> = Result<T, String>;

/// Names and conversions of one set of protocols.
pub struct Protocol {
    /// Wire format of the platform's store.
    pub store: Binding,
    /// Operators' configuration.
    pub config: ConfigFormat,
    /// Header names.
    pub headers: HeaderNames,
    /// Messages of targets, and replies to them.
    pub target: TargetFormat,
    /// Responses to callers after a failure.
    pub caller: CallerFormat,
}

/// Key and format of the configuration.
pub struct ConfigFormat {
    /// Key in the platform's store.
    pub key: &'static str,
    /// Keys of evacuated data centres; `None` if the store has none.
    pub evacuations: Option<EvacuationKeys>,
    /// Whether daemons accept changes. Otherwise operators write the value by other means.
    pub writable: bool,
    /// Decodes the stored value.
    pub decode: fn(&[u8]) -> Result<ConfigValue, String>,
    /// Parses the text of the value.
    pub parse: fn(&str) -> Result<Deployment, Vec<Fault>>,
}

/// Keys by which operators evacuate data centres.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationKeys {
    /// Prefix of these keys and of the configuration's key. One watch covers both.
    pub watched_prefix: &'static str,
    /// Prefix of these keys only. The name of the data centre follows.
    pub prefix: &'static str,
}

/// Header names; `None` for a header that the protocol does not have.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request; the response repeats it.
    pub request_id: HeaderName,
    /// Remaining time in whole milliseconds.
    pub deadline: HeaderName,
    /// Service of the target whose daemon received the request from the caller.
    pub caller_service: Option<HeaderName>,
    /// Instance of the target that the request is meant for; any other instance refuses it.
    pub instance: Option<HeaderName>,
    /// Signature of a successful response. A successful response without it is not passed on.
    pub signature: Option<HeaderName>,
    /// Whether the daemon adds headers with its verdict, its reason and the name of the serving VM.
    pub adds_diagnostics: bool,
}

/// Message of the local target to the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetMessage {
    /// Report of the target's state.
    Report(Report),
    /// The target leaves.
    Leave {
        /// Identifier of the target.
        instance: String,
        /// Incarnation of the target; 0 when the message contains none.
        incarnation: u64,
    },
}

/// Format of the messages between daemon and target.
pub struct TargetFormat {
    /// Decodes a message by its path and body. Returns `None` for an unknown path.
    pub decode: fn(&str, &[u8]) -> Option<DecodeResult<TargetMessage>>,
    /// Encodes the reply to a report.
    pub encode: fn(&ReportReply) -> Bytes,
    /// Whether grants are sent as replies to reports. Otherwise the daemon sends them on its own.
    pub grants_by_report: bool,
    /// Returns the failure when a response shows that the target refused the request and did not
    /// run it, or `MayHaveRun` when the response contradicts itself about that.
    pub refusal: fn(StatusCode, &HeaderMap) -> Option<Failure>,
    /// Whether the close of the connection may delimit a response body. A truncated response can
    /// then be recognised only by a reset of the connection.
    pub close_delimited: bool,
}

/// Format of responses to callers after a failure.
pub struct CallerFormat {
    /// Returns the HTTP status of a failure.
    pub status: fn(&Failure) -> StatusCode,
    /// Returns the value of the `Retry-After` header.
    pub retry_after: fn(Duration) -> HeaderValue,
    /// Whether a target's response must repeat the request id. Otherwise a response without an id
    /// also matches.
    pub requires_request_id: bool,
}

impl Default for Protocol {
    fn default() -> Self {
        Self {
            store: NATIVE_BINDING,
            config: ConfigFormat {
                key: headers::KEY_CONFIG,
                evacuations: None,
                writable: true,
                decode: |bytes| serde_json::from_slice(bytes).map_err(|e| e.to_string()),
                parse: Deployment::parse,
            },
            headers: HeaderNames {
                request_id: HeaderName::from_static(headers::REQUEST_ID),
                deadline: HeaderName::from_static(headers::DEADLINE_MS),
                caller_service: None,
                instance: None,
                signature: None,
                adds_diagnostics: true,
            },
            target: TargetFormat {
                decode: decode_announcement,
                encode: |_| Bytes::new(),
                grants_by_report: false,
                refusal: decode_refusal,
                close_delimited: false,
            },
            caller: CallerFormat {
                status,
                retry_after: retry_after_seconds,
                requires_request_id: false,
            },
        }
    }
}

impl HeaderNames {
    /// Returns whether the daemon sets the header itself. Such a header is not forwarded as
    /// received.
    pub fn is_set_by_daemon(&self, name: &str) -> bool {
        let optional = [&self.caller_service, &self.instance];
        let names = [&self.request_id, &self.deadline];
        let names = names.into_iter().chain(optional.into_iter().flatten());
        name.starts_with(headers::PREFIX)
            || name == headers::TRACEPARENT
            || names.into_iter().any(|header| header.as_str() == name)
    }
}

fn decode_announcement(path: &str, body: &[u8]) -> Option<Result<TargetMessage, String>> {
    if path != headers::PATH_ANNOUNCE {
        return None;
    }
    let announce = serde_json::from_slice::<Announce>(body);
    let report = announce.map(|announce| Report {
        announce,
        sequence: 0,
        holds: None,
        released: Vec::new(),
        cold_remaining: None,
    });
    Some(report.map(TargetMessage::Report).map_err(|e| e.to_string()))
}

fn decode_refusal(status: StatusCode, map: &HeaderMap) -> Option<Failure> {
    let refused = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PRECONDITION_FAILED,
    ];
    let verdict = map.get(headers::VERDICT)?.to_str().ok()?;
    if Verdict::parse(verdict) != Some(Verdict::NotRun) {
        return None;
    }
    if status.is_success() {
        return Some(Failure::may_have_run(Reason::TargetFailed));
    }
    if !refused.contains(&status) {
        return None;
    }
    if status == StatusCode::PRECONDITION_FAILED {
        // The target has no grant for this epoch: the grant is still in flight, or a newer owner
        // has sent one.
        return Some(Failure::not_run(Reason::Moving));
    }
    let retry_after = map.get(http::header::RETRY_AFTER);
    let seconds = retry_after
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    Some(Failure {
        retry_after: seconds.map(Duration::from_secs),
        ..Failure::not_run(Reason::TargetRefused)
    })
}

/// Returns the HTTP status of a failure in the project's own interface.
pub fn status(failure: &Failure) -> StatusCode {
    match (failure.reason, failure.verdict) {
        (Reason::NoService, _) => StatusCode::NOT_FOUND,
        (Reason::NoKey, _) => StatusCode::BAD_REQUEST,
        (Reason::Malformed, Verdict::NotRun) => StatusCode::BAD_REQUEST,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::HeadersTooLarge, _) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        (Reason::TooManyRequests, _) => StatusCode::TOO_MANY_REQUESTS,
        (Reason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
    }
}

fn retry_after_seconds(wait: Duration) -> HeaderValue {
    HeaderValue::from(wait.as_secs_f64().ceil().max(1.0) as u64)
}

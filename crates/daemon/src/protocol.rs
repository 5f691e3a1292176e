//! How callers, targets, the operators' configuration and the platform's service are spoken to.
//!
//! A [`Protocol`] holds names and translations, and no decision. [`Protocol::default`] is the
//! project's own interface; an adapter to other protocols supplies another one.

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

/// A message that was read, or what is wrong with it.
pub type DecodeResult<T> = Result<T, String>;

/// Names and translations of one set of protocols.
pub struct Protocol {
    /// Wire format of the platform's service.
    pub store: Binding,
    /// The operators' configuration.
    pub config: ConfigFormat,
    /// Names of headers.
    pub headers: HeaderNames,
    /// What targets say and are told.
    pub target: TargetFormat,
    /// What callers are told of a failure.
    pub caller: CallerFormat,
}

/// Where the configuration lies and how it is read.
pub struct ConfigFormat {
    /// Key in the platform's service.
    pub key: &'static str,
    /// Whether daemons accept changes. Otherwise operators write the value by other means.
    pub writable: bool,
    /// Reads the stored value.
    pub decode: fn(&[u8]) -> Result<ConfigValue, String>,
    /// Reads the text of the value.
    pub parse: fn(&str) -> Result<Deployment, Vec<Fault>>,
}

/// Names of headers; `None` where the protocol has none.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request, which its answer repeats.
    pub request_id: HeaderName,
    /// Remaining time in whole milliseconds.
    pub deadline: HeaderName,
    /// Service beside which a request began.
    pub caller_service: Option<HeaderName>,
    /// Instance that is to run a request; any other refuses it.
    pub instance: Option<HeaderName>,
    /// Proof of a target's success, without which a success is not passed on.
    pub signature: Option<HeaderName>,
    /// Whether the daemon adds its verdict, its reason and the name of the VM that served.
    pub adds_diagnostics: bool,
}

/// What a target says to the daemon beside it.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetMessage {
    /// A report of its state.
    Report(Report),
    /// It leaves.
    Leave {
        /// Identifier of the target.
        instance: String,
        /// Its incarnation; 0 when the message names none.
        incarnation: u64,
    },
}

/// How targets report, and how they are told what they hold.
pub struct TargetFormat {
    /// Reads a message by its path and body; `None` for a path that is not one of a target's.
    pub decode: fn(&str, &[u8]) -> Option<DecodeResult<TargetMessage>>,
    /// Writes the answer to a report.
    pub encode: fn(&ReportReply) -> Bytes,
    /// Whether grants are the answers to reports. Otherwise the daemon sends them itself.
    pub grants_by_report: bool,
    /// Reads a refusal: the failure when the answer says that the request did not run.
    pub refusal: fn(StatusCode, &HeaderMap) -> Option<Failure>,
    /// Whether an answer may end with its connection. A cut then shows only by a reset.
    pub close_delimited: bool,
}

/// What callers are told of a failure.
pub struct CallerFormat {
    /// Status of a failure.
    pub status: fn(&Failure) -> StatusCode,
    /// When to come back.
    pub retry_after: fn(Duration) -> HeaderValue,
    /// Whether a request has to carry the caller's identifier.
    pub requires_request_id: bool,
}

impl Default for Protocol {
    fn default() -> Self {
        Self {
            store: NATIVE_BINDING,
            config: ConfigFormat {
                key: headers::KEY_CONFIG,
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
    /// Returns whether the daemon sets the header itself, so that none is passed on as it came.
    pub fn is_set_by_daemon(&self, name: &str) -> bool {
        let optional = [&self.caller_service, &self.instance];
        let known = [&self.request_id, &self.deadline];
        let known = known.into_iter().chain(optional.into_iter().flatten());
        name.starts_with(headers::PREFIX)
            || name == headers::TRACEPARENT
            || known.into_iter().any(|k| k.as_str() == name)
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
        holds: Vec::new(),
        released: Vec::new(),
    });
    Some(report.map(TargetMessage::Report).map_err(|e| e.to_string()))
}

fn decode_refusal(status: StatusCode, map: &HeaderMap) -> Option<Failure> {
    let refused = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PRECONDITION_FAILED,
    ];
    let verdict = map.get(headers::VERDICT)?.to_str().ok()?;
    if !refused.contains(&status) || Verdict::parse(verdict) != Some(Verdict::NotRun) {
        return None;
    }
    if status == StatusCode::PRECONDITION_FAILED {
        // The target does not hold the grant for this epoch: it is on its way, or a newer owner
        // has sent its own.
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

/// Returns the status of a failure in the project's own interface.
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

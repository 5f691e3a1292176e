//! Builds the response for the caller from the target's response or from a failure.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use masticdeal_policy::Verdict;
use masticdeal_wire::headers;
use masticdeal_wire::peer::Reason;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::balance::SelectedTarget;
use super::retry::ServedResponse;
use super::stall::StallDetector;
use crate::exchange::{Body, BodyError, Failure, full_body, to_header_map};
use crate::node::Node;
use crate::telemetry::log_writer::DECISION_TARGET;
use crate::telemetry::metrics::{ReasonLabel, RequestLabels};

/// `retry-after` of a failure that states no delay.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Tracks one request of a caller from its arrival to the last byte of the response.
pub struct RequestGuard {
    node: Arc<Node>,
    /// Name of the service, for the metrics.
    pub service: String,
    outcome: &'static str,
    _permit: OwnedSemaphorePermit,
    _running: TaskTrackerToken,
}

impl RequestGuard {
    /// Starts tracking a request. Dropping the guard counts the request, by default as cancelled.
    pub fn new(node: &Arc<Node>, permit: OwnedSemaphorePermit) -> Self {
        Self {
            node: Arc::clone(node),
            service: "none".to_owned(),
            outcome: "cancelled",
            _permit: permit,
            _running: node.in_progress.token(),
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let service = std::mem::take(&mut self.service);
        let labels = RequestLabels {
            service,
            outcome: self.outcome,
        };
        self.node.metrics.requests.get_or_create(&labels).inc();
    }
}

/// Response body that is being sent to the caller.
struct CallerBody {
    inner: Body,
    guard: RequestGuard,
    selected: Option<SelectedTarget>,
    /// Body bytes passed to the HTTP library so far.
    sent_bytes: u64,
    /// Error to report at the next poll.
    deferred_error: Option<BodyError>,
}

impl CallerBody {
    /// Defers an error by one poll. When a body fails, the HTTP library drops its unflushed data,
    /// and the caller would receive neither the head nor the bytes before the error.
    fn defer_error(&mut self, e: BodyError, cx: &mut Context<'_>) -> FramePoll {
        self.guard.outcome = "cut";
        let service = &self.guard.service;
        log::warn!(service = service.as_str(); "response truncated: {e}");
        self.deferred_error = Some(e);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn complete(&mut self) {
        self.guard.outcome = "answered";
        if let Some(selected) = &mut self.selected {
            selected.complete(self.sent_bytes);
        }
        self.selected = None;
    }
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl http_body::Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(e) = self.deferred_error {
            return Poll::Ready(Some(Err(e)));
        }
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.sent_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
        match &frame {
            Some(Err(e)) => return self.defer_error(*e, cx),
            None => self.complete(),
            Some(Ok(_)) if self.inner.is_end_stream() => self.complete(),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Builds the response for the caller from the target's response. The request is tracked until the
/// end of the body. `deadline` is that of the request, as time since boot.
pub fn render_response(
    served: ServedResponse,
    guard: RequestGuard,
    stall_detector: &Arc<StallDetector>,
    request_id: &str,
    deadline: Duration,
) -> Response<Body> {
    let ServedResponse {
        response: target_response,
        vm,
        selected,
    } = served;
    let Ok(header_map) = to_header_map(&target_response.headers) else {
        return render_failure(
            Failure::new(Verdict::Ran, Reason::Malformed),
            guard,
            request_id,
        );
    };
    let names = guard.node.protocol.headers.clone();
    let mut body = CallerBody {
        inner: target_response.body,
        guard,
        selected,
        sent_bytes: 0,
        deferred_error: None,
    };
    if body.is_end_stream() {
        body.complete();
    }
    let mut response = Response::new(stall_detector.monitor(body.boxed_unsync(), deadline));
    *response.status_mut() = target_response.status;
    *response.headers_mut() = header_map;
    if names.adds_diagnostics {
        set_header(&mut response, headers::SERVED_BY, &vm);
    }
    set_header(&mut response, names.request_id.as_str(), request_id);
    response
}

/// Ends a tracked request with a failure and returns the response for it.
pub fn render_failure(
    failure: Failure,
    mut guard: RequestGuard,
    request_id: &str,
) -> Response<Body> {
    guard.outcome = match failure.verdict {
        Verdict::NotRun => "not-run",
        Verdict::MayHaveRun => "may-have-run",
        Verdict::Ran => "ran",
    };
    failure_response(&guard.node, failure, request_id)
}

/// Logs and counts a failure, and returns its response: status, verdict, reason, and `retry-after`
/// with the statuses 503 and 429.
pub fn failure_response(node: &Node, failure: Failure, request_id: &str) -> Response<Body> {
    let (verdict, reason) = (failure.verdict, failure.reason.as_str());
    let versions = node.versions();
    let retry_after_ms = failure.retry_after.map(|d| d.as_millis() as u64);
    log::info!(
        target: DECISION_TARGET,
        id = request_id,
        hop = "ingress",
        reason,
        verdict:%,
        status = (node.protocol.caller.status)(&failure).as_u16(),
        retry_after_ms:?,
        table = versions.table,
        config = versions.config,
        running = failure.load.running,
        queued = failure.load.queued;
        "request failed"
    );
    node.metrics
        .failures
        .get_or_create(&ReasonLabel { reason })
        .inc();
    let mut response = Response::new(full_body(format!("{verdict}: {reason}\n")));
    *response.status_mut() = (node.protocol.caller.status)(&failure);
    let names = &node.protocol.headers;
    set_header(&mut response, headers::VERDICT, &verdict.to_string());
    set_header(&mut response, headers::REASON, reason);
    set_header(&mut response, names.request_id.as_str(), request_id);
    set_header(&mut response, CONTENT_TYPE.as_str(), "text/plain");
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::TOO_MANY_REQUESTS
    {
        let retry_after = failure.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let retry_after = (node.protocol.caller.retry_after)(retry_after);
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

fn set_header(response: &mut Response<Body>, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
        response.headers_mut().insert(name, value);
    }
}

//! Answers and failures as the caller sees them.

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

use super::attempts::Answered;
use super::balance::Choice;
use super::stall::Stalls;
use crate::exchange::{Body, BodyError, Failure, full, to_header_map};
use crate::node::Node;
use crate::telemetry::log_writer::DECISION_TARGET;
use crate::telemetry::metrics::{ReasonLabel, RequestLabels};

/// Advice to come back when nothing better is known.
const RETRY_DEFAULT: Duration = Duration::from_millis(300);

/// One request of a caller, from its arrival to the last byte of its answer.
pub struct Open {
    node: Arc<Node>,
    /// Name of the service, for the metrics.
    pub service: String,
    outcome: &'static str,
    _permit: OwnedSemaphorePermit,
    _running: TaskTrackerToken,
}

impl Open {
    /// Counts a request until this is dropped. It counts as cancelled unless it ends otherwise.
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

impl Drop for Open {
    fn drop(&mut self) {
        let service = std::mem::take(&mut self.service);
        let finished = RequestLabels {
            service,
            outcome: self.outcome,
        };
        self.node.metrics.requests.get_or_create(&finished).inc();
    }
}

/// Body of an answer on its way to the caller.
struct CallerBody {
    inner: Body,
    open: Open,
    choice: Option<Choice>,
    /// Bytes so far.
    bytes: u64,
    /// An error that is reported at the next poll.
    deferred: Option<BodyError>,
}

impl CallerBody {
    /// Keeps an error back for one poll. The HTTP library drops what it has not flushed when a body
    /// fails, and the caller would see neither the head nor what came before the cut.
    fn defer(&mut self, e: BodyError, cx: &mut Context<'_>) -> FramePoll {
        self.open.outcome = "cut";
        let service = &self.open.service;
        log::warn!(service = service.as_str(); "An answer was cut: {e}");
        self.deferred = Some(e);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn complete(&mut self) {
        self.open.outcome = "answered";
        if let Some(choice) = &mut self.choice {
            choice.complete(self.bytes);
        }
        self.choice = None;
    }
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl http_body::Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(e) = self.deferred {
            return Poll::Ready(Some(Err(e)));
        }
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
        }
        match &frame {
            Some(Err(e)) => return self.defer(*e, cx),
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

/// Renders the target's answer.
pub fn answer(
    answered: Answered,
    open: Open,
    stalls: &Arc<Stalls>,
    request_id: &str,
) -> Response<Body> {
    let Answered { answer, vm, choice } = answered;
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        return failure(
            Failure::new(Verdict::Ran, Reason::Malformed),
            open,
            request_id,
        );
    };
    let Ok(map) = to_header_map(&answer.headers) else {
        return failure(
            Failure::new(Verdict::Ran, Reason::Malformed),
            open,
            request_id,
        );
    };
    let names = open.node.protocol.headers.clone();
    let mut body = CallerBody {
        inner: answer.body,
        open,
        choice,
        bytes: 0,
        deferred: None,
    };
    if body.is_end_stream() {
        body.complete();
    }
    let mut response = Response::new(stalls.watch(body.boxed_unsync()));
    *response.status_mut() = status;
    *response.headers_mut() = map;
    if names.adds_diagnostics {
        set(&mut response, headers::SERVED_BY, &vm);
    }
    set(&mut response, names.request_id.as_str(), request_id);
    response
}

/// Ends a request with a failure: status, verdict, reason, and when a retry may succeed.
pub fn failure(failure: Failure, mut open: Open, request_id: &str) -> Response<Body> {
    open.outcome = match failure.verdict {
        Verdict::NotRun => "not-run",
        Verdict::MayHaveRun => "may-have-run",
        Verdict::Ran => "ran",
    };
    unadmitted(&open.node, failure, request_id)
}

/// Renders the failure of a request that is not counted as in progress.
pub fn unadmitted(node: &Node, failure: Failure, request_id: &str) -> Response<Body> {
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
    let mut response = Response::new(full(format!("{verdict}: {reason}\n")));
    *response.status_mut() = (node.protocol.caller.status)(&failure);
    let names = &node.protocol.headers;
    set(&mut response, headers::VERDICT, &verdict.to_string());
    set(&mut response, headers::REASON, reason);
    set(&mut response, names.request_id.as_str(), request_id);
    set(&mut response, CONTENT_TYPE.as_str(), "text/plain");
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.status() == StatusCode::TOO_MANY_REQUESTS
    {
        let wait = failure.retry_after.unwrap_or(RETRY_DEFAULT);
        let wait = (node.protocol.caller.retry_after)(wait);
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}

fn set(response: &mut Response<Body>, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
        response.headers_mut().insert(name, value);
    }
}

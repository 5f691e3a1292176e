//! Body of the target's response, which owns the resources of its request.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Sleep, sleep};

use super::admission::Slot;
use super::connection::{Connection, ConnectionPool, is_reset};
use super::in_flight::InFlightGuard;
use crate::exchange::BodyError;
use crate::node::Node;

/// Longest wait for the next bytes of a response body.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Resources of a running request. Dropping them releases the slot and closes the connection.
pub struct RequestResources {
    /// Shared state.
    pub node: Arc<Node>,
    /// Pool that receives the connection after a complete response.
    pub pool: Arc<ConnectionPool>,
    /// Connection of the request.
    pub connection: Connection,
    /// Slot of the target.
    pub slot: Slot,
    /// Counts the request as in flight for its shard.
    pub _in_flight: Option<InFlightGuard>,
}

impl RequestResources {
    /// Ends a request whose response was read completely.
    pub fn complete(self) {
        self.pool.put(self.connection, self.node.clock.now());
        self.slot.complete();
    }
}

/// Body of the target's response.
pub struct TargetBody {
    inner: Incoming,
    resources: Option<RequestResources>,
    /// Deadline of the request, as time since boot.
    deadline: Duration,
    /// Running while the next frame is awaited.
    timer: Option<FrameTimer>,
}

/// Bounds the wait for a frame. `error` is the error that the body ends with when it expires.
struct FrameTimer {
    sleep: Pin<Box<Sleep>>,
    error: BodyError,
}

impl FrameTimer {
    fn start(remaining: Duration) -> Self {
        let (wait, error) = match remaining < STALL_TIMEOUT {
            true => (remaining, BodyError::Deadline),
            false => (STALL_TIMEOUT, BodyError::Stalled),
        };
        let sleep = Box::pin(sleep(wait));
        Self { sleep, error }
    }
}

impl TargetBody {
    /// Creates the body. If the response has no body, its resources are released at once.
    pub fn new(inner: Incoming, resources: RequestResources, deadline: Duration) -> Self {
        let mut body = Self {
            inner,
            resources: Some(resources),
            deadline,
            timer: None,
        };
        body.complete_if_ended();
        body
    }

    fn complete_if_ended(&mut self) {
        if self.inner.is_end_stream()
            && let Some(resources) = self.resources.take()
        {
            resources.complete();
        }
    }

    /// Returns the time until the deadline; `None` after the end of the body.
    fn remaining(&self) -> Option<Duration> {
        let resources = self.resources.as_ref()?;
        Some(self.deadline.saturating_sub(resources.node.clock.now()))
    }

    fn poll_timer(&mut self, remaining: Duration, cx: &mut Context<'_>) -> Poll<BodyError> {
        let timer = self
            .timer
            .get_or_insert_with(|| FrameTimer::start(remaining));
        let error = timer.error;
        timer.sleep.as_mut().poll(cx).map(|()| error)
    }
}

impl http_body::Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let remaining = self.remaining();
        if remaining.is_some_and(|d| d.is_zero()) {
            self.resources = None;
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        }
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => {
                let expired = self.poll_timer(remaining.unwrap_or(STALL_TIMEOUT), cx);
                expired.map(|e| {
                    self.resources = None;
                    Some(Err(e))
                })
            }
            Poll::Ready(frame) => {
                self.timer = None;
                match frame {
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, Bytes::len);
                        if let Some(resources) = &mut self.resources {
                            resources.slot.record_bytes(bytes);
                        }
                        self.complete_if_ended();
                        Poll::Ready(Some(Ok(frame)))
                    }
                    Some(Err(e)) => {
                        if let Some(resources) = self.resources.take()
                            && is_reset(&e)
                        {
                            resources.slot.record_connection_failure();
                        }
                        Poll::Ready(Some(Err(BodyError::TargetFailed)))
                    }
                    None => {
                        if let Some(resources) = self.resources.take() {
                            resources.complete();
                        }
                        Poll::Ready(None)
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

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
use super::connection::{Connection, ConnectionPool};
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
    /// Running while the next frame is awaited.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl TargetBody {
    /// Creates the body. If the response has no body, its resources are released at once.
    pub fn new(inner: Incoming, resources: RequestResources) -> Self {
        let mut body = Self {
            inner,
            resources: Some(resources),
            stall_timer: None,
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

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        stall_timer.as_mut().poll(cx).map(|()| BodyError::Stalled)
    }
}

impl http_body::Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Pending => {
                let stalled = self.poll_stall(cx);
                stalled.map(|e| {
                    self.resources = None;
                    Some(Err(e))
                })
            }
            Poll::Ready(frame) => {
                self.stall_timer = None;
                match frame {
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, Bytes::len);
                        if let Some(resources) = &mut self.resources {
                            resources.slot.record_bytes(bytes);
                        }
                        self.complete_if_ended();
                        Poll::Ready(Some(Ok(frame)))
                    }
                    Some(Err(_)) => {
                        self.resources = None;
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

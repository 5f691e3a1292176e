//! Body of the target's answer, with everything that lives as long as it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Sleep, sleep};

use super::admission::Slot;
use super::shards::Entered;
use super::target::{Connection, Pool};
use crate::exchange::BodyError;
use crate::node::Node;

/// Longest time without a byte of an answer that has begun.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// What a running request holds: dropping it frees the slot and closes the connection.
pub struct Running {
    /// Shared state.
    pub node: Arc<Node>,
    /// Where the connection goes after a whole answer.
    pub pool: Arc<Pool>,
    /// Connection of the request.
    pub connection: Connection,
    /// Slot of the target.
    pub slot: Slot,
    /// Counts the request for its shard.
    pub _shard: Option<Entered>,
}

impl Running {
    /// Ends a request whose answer was read in full.
    pub fn complete(self) {
        self.pool.keep(self.connection, self.node.clock.now());
        self.slot.complete();
    }
}

/// Body of the target's answer.
pub struct TargetBody {
    inner: Incoming,
    running: Option<Running>,
    stall: Option<Pin<Box<Sleep>>>,
}

impl TargetBody {
    /// Makes the body.
    pub fn new(inner: Incoming, running: Running) -> Self {
        let mut body = Self {
            inner,
            running: Some(running),
            stall: None,
        };
        body.complete_at_end();
        body
    }

    fn complete_at_end(&mut self) {
        if self.inner.is_end_stream()
            && let Some(running) = self.running.take()
        {
            running.complete();
        }
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep(STALL_LIMIT)));
        stall.as_mut().poll(cx).map(|()| BodyError::Stalled)
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
                    self.running = None;
                    Some(Err(e))
                })
            }
            Poll::Ready(frame) => {
                self.stall = None;
                match frame {
                    Some(Ok(frame)) => {
                        let bytes = frame.data_ref().map_or(0, Bytes::len);
                        if let Some(running) = &mut self.running {
                            running.slot.note_bytes(bytes);
                        }
                        self.complete_at_end();
                        Poll::Ready(Some(Ok(frame)))
                    }
                    Some(Err(_)) => {
                        self.running = None;
                        Poll::Ready(Some(Err(BodyError::TargetFailed)))
                    }
                    None => {
                        if let Some(running) = self.running.take() {
                            running.complete();
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

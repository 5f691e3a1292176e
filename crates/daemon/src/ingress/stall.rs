//! Aborts responses whose callers have stopped reading.
//!
//! A response is sent as fast as the caller reads it, and it holds the target's slot until its end.
//! A few callers that never read could hold all slots forever, so a response is aborted if the
//! caller reads nothing for [`STALL_TIMEOUT`] or until the deadline of its request. The HTTP library
//! does not poll a body that cannot be sent, so a task scans all open bodies.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::exchange::{Body, BodyError};

/// Longest time for which a caller may leave a response frame unread.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two scans of the open bodies.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Detects stalled responses among all that are being sent.
pub struct StallDetector {
    clock: Arc<dyn Clock>,
    bodies: Mutex<HashMap<u64, Weak<Mutex<TrackedBody>>>>,
    next_id: AtomicU64,
}

struct TrackedBody {
    /// `None` after the response was aborted.
    body: Option<Body>,
    /// When the caller read the last frame, as time since boot. `None` while the next frame is
    /// still awaited from the target.
    last_read_at: Option<Duration>,
    /// Deadline of the request, as time since boot.
    deadline: Duration,
}

impl TrackedBody {
    fn is_stalled(&self, now: Duration) -> bool {
        let is_stalled = |at| now >= self.deadline || now.saturating_sub(at) >= STALL_TIMEOUT;
        self.last_read_at.is_some_and(is_stalled)
    }
}

impl StallDetector {
    /// Creates a detector and starts the task that scans its bodies. The task ends when the last
    /// reference to the detector is dropped.
    pub fn start(clock: Arc<dyn Clock>) -> Arc<Self> {
        let (bodies, next_id) = (Mutex::default(), AtomicU64::new(0));
        let stall_detector = Arc::new(Self {
            clock,
            bodies,
            next_id,
        });
        let weak_detector = Arc::downgrade(&stall_detector);
        tokio::spawn(async move {
            while let Some(stall_detector) = weak_detector.upgrade() {
                stall_detector.scan();
                drop(stall_detector);
                sleep(SCAN_INTERVAL).await;
            }
        });
        stall_detector
    }

    /// Wraps the body of a response so that it is aborted when its reader stalls. `deadline` is that
    /// of the request, as time since boot.
    pub fn monitor(self: &Arc<Self>, body: Body, deadline: Duration) -> Body {
        if body.is_end_stream() {
            return body;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let last_read_at = Some(self.clock.now());
        let body = Some(body);
        let tracked = Arc::new(Mutex::new(TrackedBody {
            body,
            last_read_at,
            deadline,
        }));
        lock(&self.bodies).insert(id, Arc::downgrade(&tracked));
        let stall_detector = Arc::clone(self);
        MonitoredBody {
            id,
            tracked,
            stall_detector,
        }
        .boxed_unsync()
    }

    fn scan(&self) {
        let now = self.clock.now();
        let bodies: Vec<_> = lock(&self.bodies)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        for tracked in bodies {
            let mut tracked = lock(&tracked);
            let body = if tracked.is_stalled(now) {
                tracked.body.take()
            } else {
                None
            };
            drop(tracked);
            if body.is_some() {
                log::warn!(
                    "caller read nothing for {STALL_TIMEOUT:?} or until its deadline; \
                     aborting its response"
                );
            }
        }
    }
}

struct MonitoredBody {
    id: u64,
    tracked: Arc<Mutex<TrackedBody>>,
    stall_detector: Arc<StallDetector>,
}

impl Drop for MonitoredBody {
    fn drop(&mut self) {
        lock(&self.stall_detector.bodies).remove(&self.id);
    }
}

impl http_body::Body for MonitoredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut tracked = lock(&self.tracked);
        let Some(body) = &mut tracked.body else {
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        };
        let frame = Pin::new(body).poll_frame(cx);
        tracked.last_read_at = frame.is_ready().then(|| self.stall_detector.clock.now());
        frame
    }

    fn is_end_stream(&self) -> bool {
        let tracked = lock(&self.tracked);
        tracked
            .body
            .as_ref()
            .is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let tracked = lock(&self.tracked);
        tracked
            .body
            .as_ref()
            .map_or_else(SizeHint::default, |body| body.size_hint())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

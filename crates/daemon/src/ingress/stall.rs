//! Callers that stop reading an answer.
//!
//! An answer is sent at the speed of its caller, and the target's slot is held until its end. A
//! caller that takes nothing for [`STALL_LIMIT`] loses the answer, or a few of them could hold all
//! slots for good. The HTTP library does not poll a body that cannot be sent, so a task looks at
//! all open bodies.

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

/// Longest time for which a caller may leave a frame of its answer untaken.
pub const STALL_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at the open bodies.
const SCAN_EVERY: Duration = Duration::from_secs(1);

/// All answers that are being sent.
pub struct Stalls {
    clock: Arc<dyn Clock>,
    open: Mutex<HashMap<u64, Weak<Mutex<Held>>>>,
    next: AtomicU64,
}

struct Held {
    /// `None` once the answer was taken away.
    body: Option<Body>,
    /// When the caller took the last frame, as time since boot; `None` while the next frame is not
    /// there yet.
    taken: Option<Duration>,
}

impl Stalls {
    /// Starts looking at the bodies until the last reference is dropped.
    pub fn start(clock: Arc<dyn Clock>) -> Arc<Self> {
        let (open, next) = (Mutex::default(), AtomicU64::new(0));
        let stalls = Arc::new(Self { clock, open, next });
        let scanned = Arc::downgrade(&stalls);
        tokio::spawn(async move {
            while let Some(stalls) = scanned.upgrade() {
                stalls.scan();
                drop(stalls);
                sleep(SCAN_EVERY).await;
            }
        });
        stalls
    }

    /// Bounds how long the reader of a body may leave it alone.
    pub fn watch(self: &Arc<Self>, body: Body) -> Body {
        if body.is_end_stream() {
            return body;
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let taken = Some(self.clock.now());
        let body = Some(body);
        let held = Arc::new(Mutex::new(Held { body, taken }));
        lock(&self.open).insert(id, Arc::downgrade(&held));
        let stalls = Arc::clone(self);
        Watched { id, held, stalls }.boxed_unsync()
    }

    fn scan(&self) {
        let now = self.clock.now();
        let open: Vec<_> = lock(&self.open)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        for held in open {
            let mut held = lock(&held);
            let stalled = held
                .taken
                .is_some_and(|at| now.saturating_sub(at) >= STALL_LIMIT);
            let body = if stalled { held.body.take() } else { None };
            drop(held);
            if body.is_some() {
                log::warn!("A caller left its answer unread and loses it");
            }
        }
    }
}

struct Watched {
    id: u64,
    held: Arc<Mutex<Held>>,
    stalls: Arc<Stalls>,
}

impl Drop for Watched {
    fn drop(&mut self) {
        lock(&self.stalls.open).remove(&self.id);
    }
}

impl http_body::Body for Watched {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut held = lock(&self.held);
        let Some(body) = &mut held.body else {
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        };
        let frame = Pin::new(body).poll_frame(cx);
        held.taken = frame.is_ready().then(|| self.stalls.clock.now());
        frame
    }

    fn is_end_stream(&self) -> bool {
        let held = lock(&self.held);
        held.body.as_ref().is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let held = lock(&self.held);
        held.body
            .as_ref()
            .map_or_else(SizeHint::default, |body| body.size_hint())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

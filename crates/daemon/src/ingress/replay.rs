//! The caller's request body, readable again while it is small.
//!
//! The first [`REPLAY_BYTES`] are kept until the answer begins, so that a request whose body has
//! begun to stream can still go to another owner. A longer body can be sent once only.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::exchange::{Body, BodyError, empty};

/// Bytes of a request body that are kept for another attempt. The bound on requests in progress
/// multiplies it, so it covers forms and not uploads.
pub const REPLAY_BYTES: usize = 16 << 10;

/// A request body that several attempts may read, one after the other.
pub struct Replay {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    incoming: Incoming,
    /// Chunks read so far, empty once they exceed [`REPLAY_BYTES`].
    kept: Vec<Bytes>,
    read: u64,
    limit: u64,
    /// Number of the attempt that may read.
    attempt: u64,
    failed: Option<BodyError>,
}

impl Replay {
    /// Takes over a body of at most `limit` bytes.
    pub fn new(incoming: Incoming, limit: u64) -> Self {
        let shared = Shared {
            incoming,
            kept: Vec::new(),
            read: 0,
            limit,
            attempt: 0,
            failed: None,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Returns the body for the next attempt, and ends that of the attempt before. Returns `None`
    /// when more was read than is kept, or when the body failed.
    pub fn next_attempt(&self) -> Option<Body> {
        if !self.can_replay() {
            return None;
        }
        let mut shared = lock(&self.shared);
        shared.attempt += 1;
        if shared.read == 0 && shared.incoming.is_end_stream() {
            return Some(empty());
        }
        let attempt = shared.attempt;
        let body = Attempt {
            shared: Arc::clone(&self.shared),
            attempt,
            next: 0,
        };
        Some(body.boxed_unsync())
    }

    /// Returns whether another attempt can read the body from its beginning.
    pub fn can_replay(&self) -> bool {
        let shared = lock(&self.shared);
        shared.failed.is_none() && shared.keeps_all()
    }

    /// Returns why the body failed.
    pub fn failed(&self) -> Option<BodyError> {
        lock(&self.shared).failed
    }
}

impl Shared {
    fn keeps_all(&self) -> bool {
        self.read <= REPLAY_BYTES as u64
    }

    fn accept(&mut self, data: &Bytes) -> Result<(), BodyError> {
        self.read += data.len() as u64;
        if self.read > self.limit {
            return Err(self.fail(BodyError::TooLarge));
        }
        if self.keeps_all() {
            self.kept.push(data.clone());
        } else {
            self.kept = Vec::new();
        }
        Ok(())
    }

    fn fail(&mut self, e: BodyError) -> BodyError {
        self.failed = Some(e);
        e
    }
}

/// The body as one attempt reads it.
struct Attempt {
    shared: Arc<Mutex<Shared>>,
    attempt: u64,
    next: usize,
}

impl http_body::Body for Attempt {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut shared = lock(&this.shared);
        if shared.attempt != this.attempt {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if let Some(data) = shared.kept.get(this.next) {
            this.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(data.clone()))));
        }
        let frame = match ready!(Pin::new(&mut shared.incoming).poll_frame(cx)) {
            None => return Poll::Ready(None),
            Some(Ok(frame)) => frame,
            Some(Err(_)) => {
                return Poll::Ready(Some(Err(shared.fail(BodyError::CallerFailed))));
            }
        };
        if let Some(data) = frame.data_ref() {
            shared.accept(data)?;
            this.next = shared.kept.len();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        let shared = lock(&self.shared);
        self.next >= shared.kept.len() && shared.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let shared = lock(&self.shared);
        if self.next == 0 && shared.read == 0 {
            return shared.incoming.size_hint();
        }
        SizeHint::default()
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

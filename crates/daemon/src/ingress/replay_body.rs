//! A caller's request body. A small body can be replayed for another attempt.
//!
//! The bytes read are buffered up to [`MAX_REPLAY_BYTES`], so that a request whose body was already
//! sent in part can go to another owner. Once more was read, the buffer is dropped, and the body
//! cannot be sent again.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::exchange::{Body, BodyError, empty_body};

/// Largest body that is buffered for another attempt, in bytes. Each request in progress may buffer
/// that much, so the limit covers forms but not uploads.
pub const MAX_REPLAY_BYTES: usize = 16 << 10;

/// A request body that is read by successive attempts.
pub struct ReplayBody {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    incoming: Incoming,
    /// Chunks read so far. Empty once their total exceeds [`MAX_REPLAY_BYTES`].
    buffered: Vec<Bytes>,
    read_bytes: u64,
    max_bytes: u64,
    /// Number of the attempt that may read the body.
    current_attempt: u64,
    error: Option<BodyError>,
}

impl ReplayBody {
    /// Wraps a body. Reading more than `max_bytes` bytes fails.
    pub fn new(incoming: Incoming, max_bytes: u64) -> Self {
        let shared = Shared {
            incoming,
            buffered: Vec::new(),
            read_bytes: 0,
            max_bytes,
            current_attempt: 0,
            error: None,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Returns the body for the next attempt and invalidates that of the previous attempt. Returns
    /// `None` if the bytes read exceed the buffer, or after an error.
    pub fn next_attempt(&self) -> Option<Body> {
        if !self.can_replay() {
            return None;
        }
        let mut shared = lock(&self.shared);
        shared.current_attempt += 1;
        if shared.read_bytes == 0 && shared.incoming.is_end_stream() {
            return Some(empty_body());
        }
        let attempt = shared.current_attempt;
        let body = AttemptBody {
            shared: Arc::clone(&self.shared),
            attempt,
            next_chunk: 0,
        };
        Some(body.boxed_unsync())
    }

    /// Returns whether another attempt can read the body from the start.
    pub fn can_replay(&self) -> bool {
        let shared = lock(&self.shared);
        shared.error.is_none() && shared.is_fully_buffered()
    }

    /// Returns the error that ended the body, if any.
    pub fn error(&self) -> Option<BodyError> {
        lock(&self.shared).error
    }
}

impl Shared {
    fn is_fully_buffered(&self) -> bool {
        self.read_bytes <= MAX_REPLAY_BYTES as u64
    }

    fn record_chunk(&mut self, data: &Bytes) -> Result<(), BodyError> {
        self.read_bytes += data.len() as u64;
        if self.read_bytes > self.max_bytes {
            return Err(self.fail(BodyError::TooLarge));
        }
        if self.is_fully_buffered() {
            self.buffered.push(data.clone());
        } else {
            self.buffered = Vec::new();
        }
        Ok(())
    }

    fn fail(&mut self, e: BodyError) -> BodyError {
        self.error = Some(e);
        e
    }
}

/// The body as read by one attempt.
struct AttemptBody {
    shared: Arc<Mutex<Shared>>,
    attempt: u64,
    next_chunk: usize,
}

impl http_body::Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut shared = lock(&this.shared);
        if shared.current_attempt != this.attempt {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        if let Some(data) = shared.buffered.get(this.next_chunk) {
            this.next_chunk += 1;
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
            shared.record_chunk(data)?;
            this.next_chunk = shared.buffered.len();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        let shared = lock(&self.shared);
        self.next_chunk >= shared.buffered.len() && shared.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let shared = lock(&self.shared);
        if self.next_chunk == 0 && shared.read_bytes == 0 {
            return shared.incoming.size_hint();
        }
        SizeHint::default()
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

//! Last ownership check, directly before the first byte of a request is written to the target.
//!
//! The HTTP library writes from a task of its own, some time after it was given the request. The
//! check therefore runs in the stream below the library. If it fails, no byte of the request has
//! been written, so the request provably did not run.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

type Check = Box<dyn FnOnce() -> bool + Send>;

/// The check that runs before the next write.
#[derive(Default)]
pub struct WriteCheck {
    check: Mutex<Option<Check>>,
    refused: AtomicBool,
}

impl WriteCheck {
    /// Sets the check for the next write. `check` returns whether the write is allowed.
    pub fn set(&self, check: impl FnOnce() -> bool + Send + 'static) {
        *self.check.lock().unwrap_or_else(|e| e.into_inner()) = Some(Box::new(check));
    }

    /// Returns whether a check has refused a write.
    pub fn has_refused(&self) -> bool {
        self.refused.load(Ordering::Acquire)
    }

    fn run(&self) -> io::Result<()> {
        let check = self.check.lock().unwrap_or_else(|e| e.into_inner()).take();
        if check.is_none_or(|check| check()) {
            return Ok(());
        }
        self.refused.store(true, Ordering::Release);
        Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "ownership was lost before the request was written",
        ))
    }
}

/// A stream whose writes are subject to a [`WriteCheck`].
pub struct CheckedStream<S> {
    inner: S,
    write_check: Arc<WriteCheck>,
}

impl<S> CheckedStream<S> {
    /// Wraps `inner`. Each check set in `write_check` runs once, before the next write.
    pub fn new(inner: S, write_check: Arc<WriteCheck>) -> Self {
        Self { inner, write_check }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CheckedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CheckedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_check.run()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_check.run()?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

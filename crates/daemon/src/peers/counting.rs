//! A TCP stream that counts the bytes read and written.
//!
//! The counts have three uses:
//!
//! - A request is provably unwritten if the connection has written nothing since the request was
//!   handed over to it.
//! - A connection is considered silent if it reads nothing while a response is awaited.
//! - The bytes of control connections are exported as metrics.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Numbers of bytes read and written on one connection.
#[derive(Debug, Default)]
pub struct ByteCounts {
    read: AtomicU64,
    written: AtomicU64,
    exported: OnceLock<(Counter, Counter)>,
}

impl ByteCounts {
    /// Returns the number of bytes read.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Acquire)
    }

    /// Returns the number of bytes written.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Adds the bytes counted so far, and all later ones, to these metrics. Only the first call has
    /// an effect.
    pub fn export_to(&self, read: &Counter, written: &Counter) {
        if self.exported.set((read.clone(), written.clone())).is_ok() {
            read.inc_by(self.read());
            written.inc_by(self.written());
        }
    }

    fn add_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Ordering::AcqRel);
        if let Some((read, _)) = self.exported.get() {
            read.inc_by(bytes as u64);
        }
    }

    fn add_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Ordering::AcqRel);
        if let Some((_, written)) = self.exported.get() {
            written.inc_by(bytes as u64);
        }
    }
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub struct CountingStream<S> {
    inner: S,
    counts: Arc<ByteCounts>,
}

impl<S> CountingStream<S> {
    /// Wraps a stream and counts its bytes from now on.
    pub fn new(inner: S, counts: Arc<ByteCounts>) -> Self {
        Self { inner, counts }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.counts.add_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.counts.add_written(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.counts.add_written(bytes);
        Poll::Ready(Ok(bytes))
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

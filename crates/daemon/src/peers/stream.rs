//! Bodies on HTTP/2 streams, and the messages that precede them.

use std::any::Any;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures_util::FutureExt;
use h2::{RecvStream, SendStream};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use masticdeal_wire::codec;
use masticdeal_wire::format::Format;
use serde::de::DeserializeOwned;

use crate::exchange::{Body, BodyError};

/// Size in bytes below which frames of a body are joined.
const SMALL_FRAME_BYTES: usize = 1 << 10;

/// Error of sending or receiving a message or a body.
#[derive(Debug, Display)]
pub enum Error {
    /// the stream failed: {0}
    Stream(h2::Error),
    /// the stream ended within the message
    Truncated,
    /// malformed message: {0}
    Codec(codec::Error),
    /// the body failed: {0}
    Body(BodyError),
}

impl std::error::Error for Error {}

impl From<h2::Error> for Error {
    fn from(e: h2::Error) -> Self {
        Self::Stream(e)
    }
}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads the message of this format at the start of a stream. Returns it with the bytes read beyond its end.
///
/// # Errors
///
/// [`Error::Codec`] if the message is too long or malformed, [`Error::Truncated`] if the stream
/// ends within it, and [`Error::Stream`] if the stream fails.
pub async fn read_message<M: DeserializeOwned>(
    format: Format,
    stream: &mut RecvStream,
) -> Result<(M, Bytes)> {
    let mut buf = BytesMut::new();
    loop {
        if let Some(message) = codec::decode_as(format, &mut buf).map_err(Error::Codec)? {
            return Ok((message, buf.freeze()));
        }
        let data = next_data(stream).await?.ok_or(Error::Truncated)?;
        buf.extend_from_slice(&data);
    }
}

/// Reads a stream to its end, as one frame. The content of the frame is not checked.
///
/// # Errors
///
/// [`Error::Codec`] if the data exceeds the maximum length of a frame, and [`Error::Stream`] if the
/// stream fails.
pub async fn read_frame(stream: &mut RecvStream) -> Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(data) = next_data(stream).await? {
        buf.extend_from_slice(&data);
        if buf.len() > codec::PREFIX_BYTES + codec::MAX_FRAME_BYTES {
            return Err(Error::Codec(codec::Error::TooLong(buf.len())));
        }
    }
    Ok(buf.freeze())
}

async fn next_data(stream: &mut RecvStream) -> Result<Option<Bytes>> {
    let Some(data) = stream.data().await else {
        return Ok(None);
    };
    let data = data?;
    stream.flow_control().release_capacity(data.len())?;
    Ok(Some(data))
}

/// The remainder of a stream as a body. Dropping it before the end resets the stream.
pub struct StreamBody {
    stream: RecvStream,
    buffered: Bytes,
    error: BodyError,
    _resources: Box<dyn Any + Send>,
}

impl StreamBody {
    /// Creates a body of `buffered` and the remainder of `stream`. If the stream fails, the body
    /// fails with `error`. `resources` is dropped with the body.
    pub fn boxed(
        stream: RecvStream,
        buffered: Bytes,
        error: BodyError,
        resources: impl Any + Send,
    ) -> Body {
        Self {
            stream,
            buffered,
            error,
            _resources: Box::new(resources),
        }
        .boxed_unsync()
    }

    fn poll_trailers_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(self.stream.poll_trailers(cx)) {
            Ok(Some(trailers)) => Poll::Ready(Some(Ok(Frame::trailers(trailers)))),
            Ok(None) => Poll::Ready(None),
            Err(_) => Poll::Ready(Some(Err(self.error))),
        }
    }
}

impl http_body::Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let data = match ready!(self.stream.poll_data(cx)) {
            Some(Ok(data)) => data,
            Some(Err(_)) => return Poll::Ready(Some(Err(self.error))),
            None => return self.poll_trailers_frame(cx),
        };
        // Release the capacity at once: the reader takes this frame before it polls again.
        if self
            .stream
            .flow_control()
            .release_capacity(data.len())
            .is_err()
        {
            return Poll::Ready(Some(Err(self.error)));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.stream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.stream.is_end_stream() {
            true => SizeHint::with_exact(self.buffered.len() as u64),
            false => SizeHint::default(),
        }
    }
}

/// Sends a body to its end, subject to the receiver's flow control.
///
/// # Errors
///
/// [`Error::Body`] if the body fails; the stream then stays open, and the caller of this function
/// must reset it. [`Error::Stream`] if the receiver resets the stream or the connection fails, and
/// [`Error::Truncated`] if the stream is closed before the end of the body.
pub async fn send_body(mut body: Body, stream: &mut SendStream<Bytes>) -> Result<()> {
    let mut following = None;
    loop {
        let frame = match following.take() {
            Some(frame) => frame,
            None => tokio::select! {
                frame = body.frame() => frame,
                reset = poll_fn(|cx| stream.poll_reset(cx)) => {
                    return Err(Error::Stream(reset?.into()));
                }
            },
        };
        let Some(frame) = frame else {
            stream.send_data(Bytes::new(), true)?;
            return Ok(());
        };
        match frame.map_err(Error::Body)?.into_data() {
            Ok(first) => {
                let data;
                (data, following) = join_small_frames(first, &mut body).await;
                let end_of_stream = match &following {
                    Some(next) => next.is_none(),
                    None => http_body::Body::is_end_stream(&body),
                };
                send_data(data, end_of_stream, stream).await?;
                if end_of_stream {
                    return Ok(());
                }
            }
            Err(frame) => {
                let trailers = frame.into_trailers().unwrap_or_default();
                stream.send_trailers(trailers)?;
                return Ok(());
            }
        }
    }
}

/// What a body yields next; `None` at its end.
type BodyFrame = Option<Result<Frame<Bytes>, BodyError>>;

/// Joins `first` with the small frames that the body has ready, up to [`SMALL_FRAME_BYTES`]. Returns
/// the data, and what the body yields next if that was polled already.
///
/// Flow control counts payload only, so a receiver with a slow reader keeps every frame of a window
/// with its overhead.
async fn join_small_frames(first: Bytes, body: &mut Body) -> (Bytes, Option<BodyFrame>) {
    let is_small = |bytes: &[u8]| bytes.len() < SMALL_FRAME_BYTES;
    if !is_small(&first) {
        return (first, None);
    }
    let mut joined = BytesMut::new();
    let following = loop {
        if http_body::Body::is_end_stream(&*body) {
            break None;
        }
        // The connection to the target is a task of its own and hands over one frame at a time.
        tokio::task::yield_now().await;
        let next = body.frame().now_or_never();
        let Some(Some(Ok(frame))) = next else {
            break next;
        };
        match frame.data_ref() {
            Some(data) if is_small(data) => {
                if joined.is_empty() {
                    joined.extend_from_slice(&first);
                }
                joined.extend_from_slice(data);
            }
            _ => break Some(Some(Ok(frame))),
        }
        if !is_small(&joined) {
            break None;
        }
    };
    match joined.is_empty() {
        true => (first, following),
        false => (joined.freeze(), following),
    }
}

async fn send_data(
    mut data: Bytes,
    end_of_stream: bool,
    stream: &mut SendStream<Bytes>,
) -> Result<()> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        // `poll_capacity` only reports an increase, so use the capacity that is left first.
        while stream.capacity() == 0 {
            poll_fn(|cx| stream.poll_capacity(cx))
                .await
                .ok_or(Error::Truncated)??;
        }
        let part = data.split_to(stream.capacity().min(data.len()));
        stream.send_data(part, end_of_stream && data.is_empty())?;
    }
    Ok(())
}

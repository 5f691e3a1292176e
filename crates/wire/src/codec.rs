//! Length-prefixed bincode frames.
//!
//! A frame consists of the length of the message as 4 bytes in big-endian order and the message in
//! bincode's standard configuration. The message is at most [`MAX_FRAME_BYTES`] long.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::format::{Format, with_format};

/// Maximum length of a message. A full table of 65,536 shards and 480 sessions fits.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the length prefix of a frame.
pub const PREFIX_BYTES: usize = 4;

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// message of {0} bytes exceeds the limit of 1048576 bytes
    TooLong(usize),
    /// malformed message: {0}
    Malformed(String),
    /// {0} trailing bytes after the message
    TrailingBytes(usize),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Encodes a message with its length prefix.
///
/// # Errors
///
/// [`Error::TooLong`] if the message exceeds [`MAX_FRAME_BYTES`]; [`Error::Malformed`] if it cannot
/// be serialized.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes> {
    encode_as(Format::Current, message)
}

/// Encodes a message of this format with its length prefix.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_as<M: Serialize>(format: Format, message: &M) -> Result<Bytes> {
    let encode_body = || bincode::serde::encode_to_vec(message, bincode::config::standard());
    let body = with_format(format, encode_body).map_err(|e| Error::Malformed(e.to_string()))?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.into())
}

/// Decodes a frame at the start of `buf` and removes it from `buf`.
///
/// Returns `None` and leaves `buf` unchanged if the frame is incomplete.
///
/// # Errors
///
/// [`Error::TooLong`] once the prefix is complete and its length exceeds [`MAX_FRAME_BYTES`];
/// [`Error::Malformed`] and [`Error::TrailingBytes`] if the frame does not contain exactly one
/// message. The frame is removed from `buf` with the last two errors, but not with `TooLong`.
pub fn decode<M: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<M>> {
    decode_as(Format::Current, buf)
}

/// Decodes a frame of this format, as [`decode`] does.
///
/// # Errors
///
/// As [`decode`].
pub fn decode_as<M: DeserializeOwned>(format: Format, buf: &mut BytesMut) -> Result<Option<M>> {
    let Some(prefix) = buf.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    if buf.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    buf.advance(PREFIX_BYTES);
    let body = buf.split_to(length);
    with_format(format, || decode_body(&body)).map(Some)
}

/// Decodes a buffer that contains exactly one frame, including its prefix.
///
/// # Errors
///
/// As [`decode`]; also [`Error::Malformed`] if the frame is truncated and [`Error::TrailingBytes`]
/// if bytes follow it.
pub fn decode_frame<M: DeserializeOwned>(frame: &[u8]) -> Result<M> {
    decode_frame_as(Format::Current, frame)
}

/// Decodes a buffer with one frame of this format, as [`decode_frame`] does.
///
/// # Errors
///
/// As [`decode_frame`].
pub fn decode_frame_as<M: DeserializeOwned>(format: Format, frame: &[u8]) -> Result<M> {
    let (prefix, body) = frame
        .split_first_chunk::<PREFIX_BYTES>()
        .ok_or_else(|| Error::Malformed("frame is shorter than its length prefix".into()))?;
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    if body.len() < length {
        return Err(Error::Malformed(format!(
            "frame truncated: got {} of {length} bytes",
            body.len()
        )));
    }
    if body.len() > length {
        return Err(Error::TrailingBytes(body.len() - length));
    }
    with_format(format, || decode_body(body))
}

/// Decodes a message without its prefix.
///
/// # Errors
///
/// [`Error::Malformed`] and [`Error::TrailingBytes`] if the body is not exactly one message.
pub fn decode_body<M: DeserializeOwned>(body: &[u8]) -> Result<M> {
    // The limit bounds the allocations that forged lengths inside the message can cause.
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(body, config)
        .map_err(|e| Error::Malformed(e.to_string()))?;
    if used != body.len() {
        return Err(Error::TrailingBytes(body.len() - used));
    }
    Ok(message)
}

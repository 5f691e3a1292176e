//! Bodies of answers that a caller can check: whole, and of its own request.
//!
//! A body is a function of request id, target name and length. Its checksum travels in a header,
//! so that a body put together from two answers is noticed.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// Request id that the target answered.
pub const ID_HEADER: &str = "x-standin-id";
/// Name of the target that answered.
pub const TARGET_HEADER: &str = "x-standin-target";
/// Length of the body in bytes.
pub const LENGTH_HEADER: &str = "x-standin-length";
/// xxh3 checksum of the body, hexadecimal.
pub const CHECKSUM_HEADER: &str = "x-standin-sum";

/// Requested service time in milliseconds.
pub const WORK_MS_HEADER: &str = "x-work-ms";
/// Requested length of the answer in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// Longest answer in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Returns the body of an answer, cut to or filled up to `length` bytes.
pub fn body(id: &str, target: &str, length: usize) -> Bytes {
    let mut bytes = format!("{id} {target}\n").into_bytes();
    let padding = xxh3_64(&bytes).to_le_bytes();
    let length = length.min(MAX_RESPONSE_BYTES);
    bytes.extend(
        padding
            .iter()
            .cycle()
            .take(length.saturating_sub(bytes.len())),
    );
    bytes.truncate(length);
    bytes.into()
}

/// Returns the checksum of a body as the header carries it.
pub fn checksum(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Returns what is wrong with an answer to request `id`, or `None` when it is whole and its own.
pub fn validation_error(id: &str, headers: &http::HeaderMap, body: &[u8]) -> Option<&'static str> {
    let header = |name| crate::http1::header_text(headers, name);
    if header(ID_HEADER) != Some(id) {
        return Some("answer of another request");
    }
    let length: Option<usize> = crate::http1::header_number(headers, LENGTH_HEADER);
    if length != Some(body.len()) {
        return Some("wrong length");
    }
    let expected = header(TARGET_HEADER).map(|target| self::body(id, target, body.len()));
    if header(CHECKSUM_HEADER) != Some(&checksum(body)) || expected.is_none_or(|e| e != body) {
        return Some("wrong content");
    }
    None
}

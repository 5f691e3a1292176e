//! Bodies of answers that a caller can check: whole, and of its own request.
//!
//! A body is a function of request id, target name and length. Its checksum travels in a header,
//! so that a body put together from two answers is noticed.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// Request id that the target answered.
pub const ID: &str = "x-standin-id";
/// Name of the target that answered.
pub const TARGET: &str = "x-standin-target";
/// Length of the body in bytes.
pub const LENGTH: &str = "x-standin-length";
/// xxh3 checksum of the body, hexadecimal.
pub const SUM: &str = "x-standin-sum";

/// Requested service time in milliseconds.
pub const WORK_MS: &str = "x-work-ms";
/// Requested length of the answer in bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Longest answer in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// Returns the body of an answer, cut to or filled up to `length` bytes.
pub fn body(id: &str, target: &str, length: usize) -> Bytes {
    let mut bytes = format!("{id} {target}\n").into_bytes();
    let fill = xxh3_64(&bytes).to_le_bytes();
    let length = length.min(MAX_BYTES);
    bytes.extend(fill.iter().cycle().take(length.saturating_sub(bytes.len())));
    bytes.truncate(length);
    bytes.into()
}

/// Returns the checksum of a body as the header carries it.
pub fn sum(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Returns what is wrong with an answer to request `id`, or `None` when it is whole and its own.
pub fn fault(id: &str, headers: &http::HeaderMap, body: &[u8]) -> Option<&'static str> {
    let header = |name| crate::http1::text(headers, name);
    if header(ID) != Some(id) {
        return Some("answer of another request");
    }
    let length: Option<usize> = crate::http1::number(headers, LENGTH);
    if length != Some(body.len()) {
        return Some("wrong length");
    }
    let expected = header(TARGET).map(|target| self::body(id, target, body.len()));
    if header(SUM) != Some(&sum(body)) || expected.is_none_or(|e| e != body) {
        return Some("wrong content");
    }
    None
}

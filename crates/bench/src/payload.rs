//! Response bodies that let a caller check that a response is complete and belongs to its request.
//!
//! A body is a function of request id, target name and length. Its checksum is sent in a header, so
//! that a body assembled from two responses is detected.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// Header with the id of the request that the response belongs to.
pub const ID_HEADER: &str = "x-standin-id";
/// Header with the name of the target that responded.
pub const TARGET_HEADER: &str = "x-standin-target";
/// Header with the length of the body in bytes.
pub const LENGTH_HEADER: &str = "x-standin-length";
/// Header with the xxh3 checksum of the body in hexadecimal.
pub const CHECKSUM_HEADER: &str = "x-standin-sum";

/// Request header with the service time in milliseconds.
pub const WORK_MS_HEADER: &str = "x-work-ms";
/// Request header with the length of the response body in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";

/// Maximum length of a response body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Returns the body of a response, truncated or padded to `length` bytes, but at most
/// [`MAX_BODY_BYTES`].
pub fn body(id: &str, target: &str, length: usize) -> Bytes {
    let mut bytes = format!("{id} {target}\n").into_bytes();
    let padding = xxh3_64(&bytes).to_le_bytes();
    let length = length.min(MAX_BODY_BYTES);
    bytes.extend(
        padding
            .iter()
            .cycle()
            .take(length.saturating_sub(bytes.len())),
    );
    bytes.truncate(length);
    bytes.into()
}

/// Returns the checksum of a body as formatted in the header.
pub fn checksum(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Returns why a response to request `id` is invalid, or `None` if it is complete and belongs to
/// the request.
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

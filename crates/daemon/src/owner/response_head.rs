//! Checks whether the head of the target's response is usable.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use hyper::body::Incoming;

use crate::exchange::final_status;

/// Fault of a response whose status is not three digits, or is not that of a final response.
pub const INVALID_STATUS: &str = "has an invalid status";

/// Returns what makes the response unusable, as the rest of a sentence, or `None` if nothing does.
/// Nothing in an unusable response proves that the request did not run.
pub fn fault(response: &Response<Incoming>) -> Option<&'static str> {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Some("switches protocols");
    }
    // The HTTP library rejects statuses that are not three digits or below 100, and skips interim
    // responses, but accepts 600 to 999.
    if final_status(response.status().as_u16()).is_none() {
        return Some(INVALID_STATUS);
    }
    has_ambiguous_framing(response.headers()).then_some("has an ambiguous length")
}

/// Returns whether the headers leave the length of the body in doubt. The HTTP library reads a body
/// whose last transfer coding is not `chunked` until the close of the connection, and does not
/// decode other codings.
fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    let is_chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    let is_number = |v: &HeaderValue| v.as_bytes().iter().all(u8::is_ascii_digit);
    !is_single(headers, &TRANSFER_ENCODING, is_chunked)
        || !is_single(headers, &CONTENT_LENGTH, is_number)
}

/// Returns whether the header is absent, or occurs once and is valid.
fn is_single(headers: &HeaderMap, name: &HeaderName, is_valid: fn(&HeaderValue) -> bool) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_none_or(is_valid) && values.next().is_none()
}

/// Returns whether a truncated response can be detected. It cannot if the response is delimited by
/// the close of the connection.
pub fn has_framing(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    http_body::Body::is_end_stream(response.body())
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

//! Path shapes, also called route templates: request paths with the variable segments replaced by
//! wildcards.
//!
//! Requests of one shape run the same code at the target and therefore take about the same time.

/// Replacement for a variable segment.
const WILDCARD: char = '*';

/// Longest constant segment in bytes. Longer ones are tokens or free text.
const MAX_SEGMENT_BYTES: usize = 24;

/// Maximum number of segments in a shape. Further segments identify an object, not the code that
/// runs.
const MAX_SEGMENTS: usize = 8;

/// Longest file extension in bytes that is kept.
const MAX_EXTENSION_BYTES: usize = 5;

/// Appends the shape of `path` to `shape`.
///
/// A segment without its file extension becomes `*` if it is longer than `MAX_SEGMENT_BYTES` or
/// contains anything but ASCII letters, `-` and `_`; an API version such as `v1` is kept. The file
/// extension is kept, since `/report/1` and `/report/1.pdf` differ in service time. Segments after
/// the first `MAX_SEGMENTS` become `/**`, and the query is omitted.
///
/// `key_segment` is the position, counted from 1, of the segment that contains the shard key. That
/// segment is always replaced.
pub fn write_shape(path: &str, key_segment: Option<usize>, shape: &mut String) {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let segments = path.split('/').filter(|segment| !segment.is_empty());
    for (index, segment) in segments.enumerate() {
        if index == MAX_SEGMENTS {
            shape.push_str("/**");
            return;
        }
        shape.push('/');
        if key_segment == Some(index + 1) {
            shape.push(WILDCARD);
        } else {
            write_segment(segment, shape);
        }
    }
}

/// Appends a segment, with a wildcard in place of a variable stem.
fn write_segment(segment: &str, shape: &mut String) {
    let (stem, extension) = split_extension(segment);
    if is_variable(stem) {
        shape.push(WILDCARD);
    } else {
        shape.push_str(stem);
    }
    if let Some(extension) = extension {
        shape.push('.');
        shape.push_str(extension);
    }
}

/// Splits a segment into stem and file extension. An extension has only letters, at most
/// `MAX_EXTENSION_BYTES`.
fn split_extension(segment: &str) -> (&str, Option<&str>) {
    let Some((stem, extension)) = segment.rsplit_once('.') else {
        return (segment, None);
    };
    let only_letters = extension.bytes().all(|b| b.is_ascii_alphabetic());
    if stem.is_empty()
        || extension.is_empty()
        || extension.len() > MAX_EXTENSION_BYTES
        || !only_letters
    {
        return (segment, None);
    }
    (stem, Some(extension))
}

/// Returns whether a segment, without its extension, is likely to vary between requests.
fn is_variable(stem: &str) -> bool {
    if is_version(stem) {
        return false;
    }
    let is_constant_byte = |b: u8| b.is_ascii_alphabetic() || b == b'-' || b == b'_';
    stem.len() > MAX_SEGMENT_BYTES || !stem.bytes().all(is_constant_byte)
}

/// Returns whether a segment is an API version such as `v1`.
fn is_version(stem: &str) -> bool {
    let Some(number) = stem.strip_prefix('v') else {
        return false;
    };
    (1..=2).contains(&number.len()) && number.bytes().all(|b| b.is_ascii_digit())
}

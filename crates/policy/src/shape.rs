//! Path shapes: request paths with the variable segments replaced by wildcards.
//!
//! Requests of one shape run the same code at the target and therefore take about the same time.

/// Replacement for a variable segment.
const WILDCARD: char = '*';

/// Longest constant segment in bytes. Longer ones are tokens or free text.
const MAX_SEGMENT_BYTES: usize = 24;

/// Number of segments in a shape. Further segments identify an object, not the code that runs.
const MAX_SEGMENTS: usize = 8;

/// Longest file extension in bytes that is kept.
const MAX_EXTENSION_BYTES: usize = 5;

/// Appends the shape of `path` to `shape`.
///
/// Identifiers, numbers, and long or encoded segments become `*`. A file extension is kept, since a
/// page and its download differ in service time. The query is omitted. `key_segment`, counted from
/// 1, is the segment with the key of a sharded service, which is always replaced.
pub fn write_shape(path: &str, key_segment: Option<usize>, shape: &mut String) {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let segments = path.split('/').filter(|segment| !segment.is_empty());
    for (at, segment) in segments.enumerate() {
        if at == MAX_SEGMENTS {
            shape.push_str("/**");
            return;
        }
        shape.push('/');
        if key_segment == Some(at + 1) {
            shape.push(WILDCARD);
        } else {
            write_segment(segment, shape);
        }
    }
}

/// Appends a segment or its wildcard.
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

/// Splits a segment into stem and file extension.
fn split_extension(segment: &str) -> (&str, Option<&str>) {
    let Some((stem, extension)) = segment.rsplit_once('.') else {
        return (segment, None);
    };
    let letters = extension.bytes().all(|b| b.is_ascii_alphabetic());
    if stem.is_empty() || extension.is_empty() || extension.len() > MAX_EXTENSION_BYTES || !letters
    {
        return (segment, None);
    }
    (stem, Some(extension))
}

/// Returns whether a segment is likely to vary between requests.
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

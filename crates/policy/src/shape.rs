//! Path shapes: request paths with the parts that vary from request to request replaced.
//!
//! Requests of one shape run the same code at the target and therefore cost about the same.

/// Stands for a replaced segment.
const WILDCARD: char = '*';

/// Longest segment, in bytes, that is kept as it is; longer ones are tokens or free text.
const MAX_SEGMENT: usize = 24;

/// Segments that a shape keeps. Deeper paths differ in what they name, not in what they run.
const MAX_DEPTH: usize = 8;

/// Longest file extension, in bytes, that is kept.
const MAX_EXTENSION: usize = 5;

/// Appends the shape of `path` to `shape`.
///
/// Identifiers, numbers, long and encoded segments become `*`; a file extension stays, since a
/// sheet and its download differ in cost. The query is left out. `key_segment`, counted from 1, is
/// the segment that holds the key of a divided service and is always replaced.
pub fn write_shape(path: &str, key_segment: Option<usize>, shape: &mut String) {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let segments = path.split('/').filter(|segment| !segment.is_empty());
    for (at, segment) in segments.enumerate() {
        if at == MAX_DEPTH {
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

/// Appends one segment, or its wildcard.
fn write_segment(segment: &str, shape: &mut String) {
    let (stem, extension) = split_extension(segment);
    if varies(stem) {
        shape.push(WILDCARD);
    } else {
        shape.push_str(stem);
    }
    if let Some(extension) = extension {
        shape.push('.');
        shape.push_str(extension);
    }
}

/// Splits a file extension of a few letters off a segment.
fn split_extension(segment: &str) -> (&str, Option<&str>) {
    let Some((stem, extension)) = segment.rsplit_once('.') else {
        return (segment, None);
    };
    let letters = extension.bytes().all(|b| b.is_ascii_alphabetic());
    if stem.is_empty() || extension.is_empty() || extension.len() > MAX_EXTENSION || !letters {
        return (segment, None);
    }
    (stem, Some(extension))
}

/// Returns whether a segment is likely to differ from request to request.
fn varies(stem: &str) -> bool {
    if is_version(stem) {
        return false;
    }
    let plain = |b: u8| b.is_ascii_alphabetic() || b == b'-' || b == b'_';
    stem.len() > MAX_SEGMENT || !stem.bytes().all(plain)
}

/// Returns whether a segment is an API version such as `v1`.
fn is_version(stem: &str) -> bool {
    let Some(number) = stem.strip_prefix('v') else {
        return false;
    };
    (1..=2).contains(&number.len()) && number.bytes().all(|b| b.is_ascii_digit())
}

//! Messages between the processes of masticdeal, and their codec.
//!
//! - [`codec`]: length-prefixed bincode with a length limit for encoding and decoding.
//! - [`headers`]: names of HTTP headers and paths.
//! - [`peer`]: messages between daemons.
//! - [`target`]: messages between a daemon and the target on its VM.
//!
//! Decoding never allocates more than the length limit.

pub mod codec;
pub mod headers;
pub mod peer;
pub mod target;

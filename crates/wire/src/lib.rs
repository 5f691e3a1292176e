//! Messages between the processes of masticdeal, and their codec.
//!
//! - [`codec`]: length-prefixed bincode with a byte limit on both sides.
//! - [`headers`]: names of HTTP headers and paths.
//! - [`peer`]: messages between daemons.
//! - [`target`]: messages between a daemon and the target beside it.
//!
//! Decoding never allocates more than the limit it is given.

pub mod codec;
pub mod headers;
pub mod peer;
pub mod target;

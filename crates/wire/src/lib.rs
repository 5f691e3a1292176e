//! Messages between the processes of masticdeal, and their codec.
//!
//! - [`codec`]: length-prefixed bincode, with a length limit for both encoding and decoding.
//! - [`headers`]: names of HTTP headers, paths and keys of the platform store.
//! - [`format`](mod@format): formats of messages by version.
//! - [`peer`]: messages between daemons.
//! - [`target`]: messages between a daemon and the target on its VM.
//! - [`text_delta`]: compressed differences between texts.
//! - [`versions`]: versions that messages between daemons carry.
//!
//! The codec bounds the allocations that a forged length can cause.

pub mod codec;
pub mod format;
pub mod headers;
pub mod peer;
mod reason;
pub mod target;
pub mod text_delta;
pub mod versions;
pub mod withdraw;

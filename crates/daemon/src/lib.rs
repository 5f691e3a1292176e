//! The masticdeal daemon as a library: the binary wires the modules, the tests use them alone.
//!
//! - [`clock`]: the boot-time clock, passed in as an interface.
//! - [`node`]: state that all parts share.
//! - [`operators`]: answers to operators.

pub mod clock;
pub mod node;
pub mod operators;

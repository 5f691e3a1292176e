//! Client of the platform's key-value service: get, compare-and-swap, watch and leases over HTTP.
//!
//! The wire format stays behind a [`Binding`]; [`NATIVE_BINDING`] is the project's own. Every call is counted
//! by kind, since the service counts each call and its rates grow more slowly than the fleet.
//!
//! A write has three outcomes. [`SwapOutcome::Unknown`] means that the answer was lost and the write
//! may have taken effect, now or later; the caller reads back before it tries anything else.

pub mod binding;
mod client;
mod counts;
mod native;

pub use binding::{Binding, ReadResult};
pub use client::{Client, Error, Result, Settings, SwapOutcome, Value};
pub use counts::{CallCounts, CallKind};
pub use native::NATIVE_BINDING;

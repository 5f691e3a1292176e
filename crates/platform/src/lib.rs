//! Client of the platform store: get, compare-and-swap, watch and leases over HTTP.
//!
//! A [`Binding`] defines the wire format; [`NATIVE_BINDING`] is the default. Calls are counted by
//! kind because the store counts every call and its rates grow more slowly than the fleet.
//!
//! A write has three outcomes. [`SwapOutcome::Unknown`] means that there was no usable response:
//! the write may have been applied or may still be applied, so the key must be read back before the
//! next write.

pub mod binding;
mod client;
mod counts;
mod native;

pub use binding::{Binding, KeyChange, PrefixResult, ReadResult};
pub use client::{Client, Error, Position, Result, Settings, SwapOutcome, Value};
pub use counts::{CallCounts, CallKind};
pub use native::NATIVE_BINDING;

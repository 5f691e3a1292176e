//! The lease core: keeps this daemon's session and lease, renews those of its lessees, ends the
//! sessions that both of their lessors have counted out, and decides what this daemon may serve.
//!
//! Section 6 of the design page states the rules (R1 to R13) that the comments name. All times are
//! boot times of this VM.

mod api;
mod core;
mod grants;
mod install;
mod join;
mod lessee;
mod lessor;
mod proposal;
mod releases;
mod schedule;
mod unreachable;
mod writer;

pub use api::{
    CoreSettings, DeclaredService, Effect, Event, ExpiryQuery, Grants, HeldShard, Identity,
    JoinRequest, MoveWriter, Outcome, Refusal, Renewal, Rule, TargetReport, override_shard,
};
pub use core::Core;

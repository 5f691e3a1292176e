//! The lease state machine of one daemon.
//!
//! It keeps the daemon's session and lease, renews the leases of other sessions, ends sessions
//! whose leases have expired at every lessor, and decides which shards the daemon may serve.
//!
//! This state machine is called the lease core. Comments refer to the safety rules R1 to R13 of
//! section 6 of the design page. All times are measured since the boot of this VM.

mod api;
mod core;
mod grants;
mod install;
mod join;
mod lessee;
mod lessor;
mod lessor_replacement;
mod proposal;
mod releases;
mod restoration;
mod schedule;
mod unreachable;
mod writer;

pub use api::{
    CollectionReplies, CoreSettings, DeclaredService, Effect, Event, ExpiryQuery, Grants,
    HeldShard, Identity, JoinRequest, MoveWriter, Outcome, Refusal, Renewal, Rule, TargetReport,
    TargetRequest, override_shard,
};
pub use core::Core;

//! Identifiers of the ownership state, as newtypes over integers.

use serde::{Deserialize, Serialize};

macro_rules! entity {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the identifier as an index into a slice.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

entity! {
    /// One membership of a daemon process, from its join until it is removed from the table. The
    /// table allocates the ids from a counter and never reuses one.
    SessionId(u32)
}
entity! {
    /// A service, as its index in the table. The index of a service never changes.
    ServiceId(u16)
}
entity! {
    /// A shard of a service, as its index in the service's list of shards.
    ShardId(u32)
}
entity! {
    /// Identifies one assignment of a shard. It increases with each assignment of the shard and is
    /// the fencing token of the grants for that shard.
    Epoch(u32)
}
entity! {
    /// Version of the assignment table. Each accepted swap increments it.
    TableVersion(u64)
}
entity! {
    /// A random number that identifies one attempted swap. An author who got no reply looks for it
    /// in the table to find out whether the swap took effect.
    ChangeId(u64)
}

/// Returns the shard that a key hash falls into. `shards` is a power of two.
pub fn shard_of(key_hash: u64, shards: u32) -> ShardId {
    debug_assert!(shards.is_power_of_two());
    ShardId((key_hash & u64::from(shards - 1)) as u32)
}

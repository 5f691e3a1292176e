//! Identifiers of the ownership state, as newtypes over dense integers.

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
    /// One life of one daemon. Allocated by the table from a counter, never used twice.
    SessionId(u32)
}
entity! {
    /// A service, as its index in the table. A service keeps its index once it has one.
    ServiceId(u16)
}
entity! {
    /// A shard of a service, as its index in the service's shard list.
    ShardId(u32)
}
entity! {
    /// Counts the assignments of one shard. It rises with each change of owner and is the fencing
    /// token of the grants for that shard.
    Epoch(u32)
}
entity! {
    /// Version of the assignment table. Each accepted swap raises it by exactly one.
    TableVersion(u64)
}
entity! {
    /// A random number that names one attempted change, so that its author can recognise it after
    /// a lost answer.
    ChangeId(u64)
}

/// Returns the shard that a key hash falls into. `shards` is a power of two.
pub fn shard_of(key_hash: u64, shards: u32) -> ShardId {
    debug_assert!(shards.is_power_of_two());
    ShardId((key_hash & u64::from(shards - 1)) as u32)
}

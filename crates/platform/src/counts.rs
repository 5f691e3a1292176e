//! Counters of the calls to the platform store.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key.
    Get,
    /// Conditional write.
    Swap,
    /// Watch; each request counts once, however long it waits.
    Watch,
    /// Lease grant, renewal or revocation.
    Lease,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Get, Self::Swap, Self::Watch, Self::Lease];

    /// Returns the metrics label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Swap => "swap",
            Self::Watch => "watch",
            Self::Lease => "lease",
        }
    }
}

/// Number of calls since the client was created, by kind.
#[derive(Debug, Default)]
pub struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    /// Returns the number of calls of a kind.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, kind: CallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }
}

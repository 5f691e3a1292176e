//! Counters of the calls made to the platform's service.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key.
    Get,
    /// Conditional write.
    Swap,
    /// Watch, counted once per wait.
    Watch,
    /// Lease grant, renewal or revocation.
    Lease,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Get, Self::Swap, Self::Watch, Self::Lease];

    /// Returns the label of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Swap => "swap",
            Self::Watch => "watch",
            Self::Lease => "lease",
        }
    }
}

/// Calls since the process started, by kind.
#[derive(Debug, Default)]
pub struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    /// Returns the number of calls of one kind.
    pub fn get(&self, call: CallKind) -> u64 {
        self.0[call as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, call: CallKind) {
        self.0[call as usize].fetch_add(1, Ordering::Relaxed);
    }
}

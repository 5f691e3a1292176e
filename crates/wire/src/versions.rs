//! Versions that messages between daemons carry.

use masticdeal_policy::evacuation::StorePosition;
use serde::{Deserialize, Serialize};

/// Versions of the table and of the configuration that a daemon has. Messages carry them, so that a
/// daemon with an older version pulls from the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the assignment table.
    pub table: u64,
    /// Revision of the deployment configuration.
    pub config: u64,
    /// Position of the set of evacuated data centres.
    #[serde(with = "crate::format::later")]
    pub evacuations: StorePosition,
}

impl Versions {
    /// Returns whether any version is newer than in `other`.
    pub fn has_newer_than(&self, other: &Self) -> bool {
        self.table > other.table
            || self.config > other.config
            || self.evacuations > other.evacuations
    }

    /// Raises each version to that of `other`.
    pub fn raise_to(&mut self, other: &Self) {
        self.table = self.table.max(other.table);
        self.config = self.config.max(other.config);
        self.evacuations = self.evacuations.max(other.evacuations);
    }
}

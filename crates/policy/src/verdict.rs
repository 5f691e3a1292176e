//! Verdict on whether a failed request may have run at its target.
//!
//! Invariant: on its way back to the caller, a verdict changes only if a hop has lost information,
//! and then only to a less certain one. It never changes from `MayHaveRun` to `NotRun`.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a request without a complete response has run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// NotRun
    NotRun,
    /// MayHaveRun
    MayHaveRun,
    /// Ran
    Ran,
}

impl Verdict {
    /// Parses the value of the verdict header. Returns `None` for an unknown value.
    pub fn parse(value: &str) -> Option<Self> {
        match value {
            "NotRun" => Some(Self::NotRun),
            "MayHaveRun" => Some(Self::MayHaveRun),
            "Ran" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Returns whether a request with this verdict may be retried.
    ///
    /// A request that is not idempotent is retried only if it is certain not to have run.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }
}

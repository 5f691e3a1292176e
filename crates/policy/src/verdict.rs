//! Whether a failed request may have run at its target.
//!
//! Invariant: a verdict may only become less certain on its way back to the caller when a hop
//! lost information; it never turns from "may have run" into "not run".

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that has no whole answer.
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
    /// Parses the value of the verdict header. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "NotRun" => Some(Self::NotRun),
            "MayHaveRun" => Some(Self::MayHaveRun),
            "Ran" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Returns whether a request with this verdict may be sent again.
    ///
    /// A request that is not idempotent is only sent again when it provably did not run.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }
}

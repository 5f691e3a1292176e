//! Causes of swaps, for the log and the metrics of operators.

use crate::change::{Change, Delta, EndCause};

/// Main cause of a swap. A swap contains all changes that its author may make at that time; the one
/// that is listed first here counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SwapCause {
    /// A daemon leaves.
    Leave,
    /// A process joins.
    Join,
    /// A session ends without having left.
    End,
    /// Shards or keys get another owner.
    Move,
    /// The state of a target.
    Target,
    /// A session changes its lessors.
    Lessors,
    /// Unassigned shards get an owner.
    Assign,
    /// A new service.
    Declare,
}

impl SwapCause {
    /// Returns the main cause of a swap.
    pub fn of(delta: &Delta) -> Self {
        let causes = delta.changes.iter().map(Self::of_change);
        causes.min().unwrap_or(Self::Declare)
    }

    fn of_change(change: &Change) -> Self {
        match change {
            Change::End {
                cause: EndCause::Left,
                ..
            } => Self::Leave,
            Change::End { .. } => Self::End,
            Change::Join { .. } => Self::Join,
            Change::Move { .. } | Change::Override { .. } => Self::Move,
            Change::SetTarget { .. } => Self::Target,
            Change::SetLessors { .. } => Self::Lessors,
            Change::Assign { .. } => Self::Assign,
            Change::DeclareService { .. } => Self::Declare,
        }
    }

    /// Returns the name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leave => "leave",
            Self::Join => "join",
            Self::End => "end",
            Self::Move => "move",
            Self::Target => "target",
            Self::Lessors => "lessors",
            Self::Assign => "assign",
            Self::Declare => "declare",
        }
    }
}

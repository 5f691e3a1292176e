//! Reasons of refusals and failures, as daemons and callers see them.

use serde::{Deserialize, Serialize};

use crate::format::Format;

/// Reason why a request got no response from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No service matches the path.
    NoService,
    /// The service is sharded, but the request has no key.
    NoKey,
    /// The shard has no owner.
    NoOwner,
    /// No target of the service accepts requests.
    NoTarget,
    /// The daemon does not own the shard in its newest table.
    WrongOwner,
    /// The lease of the owner has expired.
    LeaseExpired,
    /// The shard is being moved.
    Moving,
    /// The queue is full.
    QueueFull,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The target rejected the request.
    TargetRefused,
    /// The target is unavailable: leaving, or not ready.
    TargetAway,
    /// The connection to the target failed.
    TargetFailed,
    /// The connection to the owner daemon failed.
    PeerFailed,
    /// No data arrived on the connection within the time limit.
    Silent,
    /// The caller closed the connection or aborted the request.
    Cancelled,
    /// The request exceeds a size limit.
    TooLarge,
    /// The message is malformed.
    Malformed,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The headers of the request exceed their size limit.
    HeadersTooLarge,
    /// Too many requests of callers are in progress.
    TooManyRequests,
    /// Too many connections of callers are open.
    TooManyConnections,
    /// The daemon has no configuration yet.
    NotReady,
    /// An operator has evacuated the data centre of the target.
    Evacuated,
    /// The target is cold, and the request's turn would come too late.
    ColdTarget,
}

impl Reason {
    /// Returns this reason, or the closest one that messages of the format have.
    #[must_use]
    pub fn in_format(self, format: Format) -> Self {
        match (format, self) {
            (Format::Previous, Self::Evacuated | Self::ColdTarget) => Self::TargetAway,
            _ => self,
        }
    }

    /// Returns the text of the reason header and of metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoKey => "no-key",
            Self::NoOwner => "no-owner",
            Self::NoTarget => "no-target",
            Self::WrongOwner => "wrong-owner",
            Self::LeaseExpired => "lease-expired",
            Self::Moving => "moving",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::TargetRefused => "target-refused",
            Self::TargetAway => "target-away",
            Self::TargetFailed => "target-failed",
            Self::PeerFailed => "peer-failed",
            Self::Silent => "silent-connection",
            Self::Cancelled => "cancelled",
            Self::TooLarge => "too-large",
            Self::Malformed => "malformed",
            Self::ShuttingDown => "shutting-down",
            Self::RetryBudget => "retry-budget",
            Self::HeadersTooLarge => "headers-too-large",
            Self::TooManyRequests => "too-many-requests",
            Self::TooManyConnections => "too-many-connections",
            Self::NotReady => "not-ready",
            Self::Evacuated => "evacuated",
            Self::ColdTarget => "cold-target",
        }
    }
}

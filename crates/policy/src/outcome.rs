//! Whose fault a failed request is.
//!
//! Only faults of the target may eject it, and only they say anything about its health.

/// What a finished request says about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered as it should, also with a client error.
    Success,
    /// The target failed: reset, refused connection, server error, or no answer in fair time.
    TargetFault,
    /// The target turned the request away because of load, without running it.
    Overload,
    /// The caller sent something that cannot succeed, or left too little time.
    CallerFault,
    /// This project failed: a stale table, a lost peer, a full queue.
    RouterFault,
    /// The caller went away before the answer.
    Cancelled,
}

/// How an attempt ended, as the daemon sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered with this HTTP status.
    Status(u16),
    /// The target refused the request with 503 and verdict `NotRun`.
    Shed,
    /// The target refused the connection or it could not be opened.
    ConnectFailed,
    /// The target closed or broke the connection before the whole answer.
    ConnectionLost,
    /// The target's answer broke the protocol.
    InvalidResponse,
    /// The deadline passed while the target was running the request.
    DeadlineExceeded {
        /// Whether the time given was fair: at least a few times what such requests take.
        enough_time: bool,
    },
    /// The caller closed its connection, or its request body broke off.
    CallerDisconnected,
    /// A daemon on the way refused or lost the request.
    PeerFailed,
    /// The target refused a stale grant with 412 and verdict `NotRun`.
    StaleGrant,
}

impl AttemptEnd {
    /// Returns whose fault the ending is.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Status(500..=599) => Outcome::TargetFault,
            Self::Status(400..=499) => Outcome::CallerFault,
            Self::Status(_) => Outcome::Success,
            Self::Shed => Outcome::Overload,
            Self::ConnectFailed | Self::ConnectionLost | Self::InvalidResponse => {
                Outcome::TargetFault
            }
            Self::DeadlineExceeded { enough_time: true } => Outcome::TargetFault,
            Self::DeadlineExceeded { enough_time: false } => Outcome::CallerFault,
            Self::CallerDisconnected => Outcome::Cancelled,
            Self::PeerFailed | Self::StaleGrant => Outcome::RouterFault,
        }
    }
}

//! Attribution of failed requests to the target, the caller or the router.
//!
//! Only faults of the target indicate its health, so only they may eject it.

/// Outcome of an attempt, by the party at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded without a fault of its own.
    Success,
    /// The target failed: refused connection, reset, server error, or no response although the
    /// deadline left it enough time.
    TargetFault,
    /// The target refused the request because of load, without running it.
    Overload,
    /// The caller sent an invalid request, or left too little time.
    CallerFault,
    /// The router failed, for example because of a stale table, a lost peer or a full queue.
    RouterFault,
    /// The caller disconnected before the response was complete.
    Cancelled,
}

/// End of an attempt, as observed by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target responded with this HTTP status.
    Status(u16),
    /// The target refused the request with 503 and verdict `NotRun`.
    Shed,
    /// The connection to the target was refused or could not be opened.
    ConnectFailed,
    /// The connection to the target closed or failed before the response was complete.
    ConnectionLost,
    /// The response of the target violated the protocol.
    InvalidResponse,
    /// The deadline passed before the target had responded.
    DeadlineExceeded {
        /// Whether the target had enough time, so that the missed deadline counts as its fault.
        enough_time: bool,
    },
    /// The caller closed its connection, or its request body was truncated.
    CallerDisconnected,
    /// A daemon on the path refused or lost the request.
    PeerFailed,
    /// The target refused a stale grant with 412 and verdict `NotRun`.
    StaleGrant,
}

impl AttemptEnd {
    /// Returns the outcome, which attributes a failure to the party at fault.
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

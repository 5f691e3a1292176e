//! Request deadlines.
//!
//! A deadline is the instant after which a response is of no use to the caller. It is sent to the
//! next hop as remaining time, since VMs do not share a clock. Each hop passes on the time that is
//! left, less the time that the response takes on the way back, so that the remaining time never
//! increases along the path.

use std::time::Duration;

use displaydoc::Display;

/// Result with [`DeadlineExceeded`] as the default error.
pub type Result<T, E = DeadlineExceeded> = std::result::Result<T, E>;

/// the deadline of the request has passed
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct DeadlineExceeded;

impl std::error::Error for DeadlineExceeded {}

/// Instant by which the caller needs the response, as time since boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Duration);

impl Deadline {
    /// Creates the deadline of a request that arrives now.
    ///
    /// `requested` is the remaining time given by the caller or the previous hop. `max` is the
    /// deadline of the service, which is the default and the upper bound.
    pub fn new(now: Duration, requested: Option<Duration>, max: Duration) -> Self {
        let remaining = requested.unwrap_or(max).min(max);
        Self(now.saturating_add(remaining))
    }

    /// Returns the deadline as time since boot.
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the remaining time.
    ///
    /// # Errors
    ///
    /// [`DeadlineExceeded`] if no time remains.
    pub fn remaining(self, now: Duration) -> Result<Duration> {
        match self.0.saturating_sub(now) {
            Duration::ZERO => Err(DeadlineExceeded),
            remaining => Ok(remaining),
        }
    }

    /// Returns the remaining time to send to the next hop.
    ///
    /// `reserve` is the time that the response takes on the way back; it is subtracted.
    ///
    /// # Errors
    ///
    /// [`DeadlineExceeded`] if no time remains for the next hop.
    pub fn remaining_for_next_hop(self, now: Duration, reserve: Duration) -> Result<Duration> {
        match self.remaining(now)?.saturating_sub(reserve) {
            Duration::ZERO => Err(DeadlineExceeded),
            remaining => Ok(remaining),
        }
    }
}

/// Parses the value of the deadline header, in whole milliseconds. Returns `None` if it is not a
/// whole number.
pub fn parse_header(value: &str) -> Option<Duration> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let ms = digits.then(|| value.parse().ok())??;
    Some(Duration::from_millis(ms))
}

/// Returns the value of the deadline header, in whole milliseconds, rounded down.
pub fn header_value(remaining: Duration) -> u64 {
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}

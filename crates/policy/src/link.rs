//! Admission of responses to the network link of a VM.
//!
//! On a slow link, large responses can build up a backlog although the target has free slots. Small
//! responses then wait behind the backlog until their callers have given up. A request with a large
//! response (a bulk request) therefore starts only while the backlog is small, and is refused if
//! the link has no room in time. Small responses add to the backlog but never wait for it.

use std::time::Duration;

/// Minimum size of a bulk response in bytes. Smaller responses take few packets, so they do not
/// wait for the link.
const MIN_BULK_BYTES: f64 = 8_192.0;

/// Share of the link rate for responses. The rest is for peer traffic, reports and protocol
/// overhead.
const USABLE_SHARE: f64 = 0.8;

/// Longest backlog, as transmission time, at which a bulk request may start. It is short relative
/// to the objective of 100 ms for calls between services.
const MAX_BACKLOG: Duration = Duration::from_millis(20);

/// Modelled backlog of one link.
#[derive(Debug, Clone, Default)]
pub struct Link {
    /// Usable rate in bytes per second; 0 if the link is not limited.
    bytes_per_s: f64,
    /// When the backlog will have been transmitted, as time since boot.
    free_at: Duration,
}

impl Link {
    /// Creates an idle link with a rate in bytes per second; 0 if it is not limited.
    pub fn new(bytes_per_s: f64) -> Self {
        let mut link = Self::default();
        link.set_rate(bytes_per_s);
        link
    }

    /// Sets the rate of the link in bytes per second; 0 if it is not limited.
    pub fn set_rate(&mut self, bytes_per_s: f64) {
        self.bytes_per_s = bytes_per_s * USABLE_SHARE;
    }

    /// Returns whether a request with a response of this size has to wait for room on the link.
    pub fn is_bulk(&self, bytes: f64) -> bool {
        self.bytes_per_s > 0.0 && bytes >= MIN_BULK_BYTES
    }

    /// Returns whether a bulk request may start now.
    pub fn has_room(&self, now: Duration) -> bool {
        self.free_at <= now + MAX_BACKLOG
    }

    /// Returns the instant from which a bulk request may start, as time since boot.
    pub fn room_at(&self) -> Duration {
        self.free_at.saturating_sub(MAX_BACKLOG)
    }

    /// Adds the expected size of a response to the backlog when its request starts.
    pub fn add_response(&mut self, now: Duration, bytes: f64) {
        self.free_at = self.free_at.max(now) + self.transmission_time(bytes);
    }

    /// Replaces the expected size by the actual size of a response.
    pub fn correct_response(&mut self, expected_bytes: f64, actual_bytes: f64) {
        if actual_bytes > expected_bytes {
            self.free_at += self.transmission_time(actual_bytes - expected_bytes);
        } else {
            self.free_at = self
                .free_at
                .saturating_sub(self.transmission_time(expected_bytes - actual_bytes));
        }
    }

    /// Returns the wait of a bulk request with `bytes_ahead` bytes of other bulk responses ahead of
    /// it.
    pub fn queueing_delay(&self, now: Duration, bytes_ahead: f64) -> Duration {
        (self.free_at + self.transmission_time(bytes_ahead)).saturating_sub(now + MAX_BACKLOG)
    }

    /// Returns the transmission time of a response.
    pub fn transmission_time(&self, bytes: f64) -> Duration {
        if self.bytes_per_s <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(bytes / self.bytes_per_s)
    }
}

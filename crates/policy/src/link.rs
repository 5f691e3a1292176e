//! The VM's network link as a second resource of its target's queue.
//!
//! It answers the load of downloads at a VM with a slow link: the target has free slots, and the answers
//! queue on the link, where small answers wait behind them until their callers have given up. So a
//! download starts only while little is on its way, and what finds no room on the link in time is refused
//! before it takes a slot. Small answers are counted and never wait.

use std::time::Duration;

/// Answers below this size, in bytes, never wait for the link: a packet or two at most.
const MIN_BULK_BYTES: f64 = 8_192.0;

/// Part of the link that answers may fill; the rest is for peers, reports and the bytes around answers.
const USABLE_SHARE: f64 = 0.8;

/// Time on the link that may be ahead of a download that starts. It is short against the 100 ms in which
/// calls between services are to be answered.
const MAX_BACKLOG: Duration = Duration::from_millis(20);

/// State of the link.
#[derive(Debug, Clone, Default)]
pub struct Link {
    /// Bytes a second; 0 for a link that is never short.
    rate: f64,
    /// When all that was started has passed, as time since boot.
    free_at: Duration,
}

impl Link {
    /// Makes an idle link with this rate in bytes a second; 0 for one that is never short.
    pub fn new(rate: f64) -> Self {
        let mut link = Self::default();
        link.set_rate(rate);
        link
    }

    /// Takes over the rate of the link in bytes a second; 0 for one that is never short.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate * USABLE_SHARE;
    }

    /// Returns whether an answer of this size has to wait for room.
    pub fn is_bulk(&self, bytes: f64) -> bool {
        self.rate > 0.0 && bytes >= MIN_BULK_BYTES
    }

    /// Returns whether a heavy answer may start now.
    pub fn has_room(&self, now: Duration) -> bool {
        self.free_at <= now + MAX_BACKLOG
    }

    /// Returns when a heavy answer may start.
    pub fn has_room_at(&self) -> Duration {
        self.free_at.saturating_sub(MAX_BACKLOG)
    }

    /// Counts an answer that starts with its expected size.
    pub fn start(&mut self, now: Duration, bytes: f64) {
        self.free_at = self.free_at.max(now) + self.transmission_time(bytes);
    }

    /// Corrects what was counted, once the size of the answer is known.
    pub fn finish(&mut self, expected: f64, bytes: f64) {
        if bytes > expected {
            self.free_at += self.transmission_time(bytes - expected);
        } else {
            self.free_at = self
                .free_at
                .saturating_sub(self.transmission_time(expected - bytes));
        }
    }

    /// Returns the wait of a heavy answer with this many bytes of others before it.
    pub fn queueing_delay(&self, now: Duration, ahead: f64) -> Duration {
        (self.free_at + self.transmission_time(ahead)).saturating_sub(now + MAX_BACKLOG)
    }

    /// Returns the time that bytes take on the link.
    pub fn transmission_time(&self, bytes: f64) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(bytes / self.rate)
    }
}

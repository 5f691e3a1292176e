//! Decides when an incoming connection between daemons is closed because its peer sends nothing.
//!
//! Silence does not tell a peer that is busy, paused or behind a full link from one that is gone.
//! While the target works on requests of the connection, closing it would cancel their work, so it
//! stays open until no response can be of use any more.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time limits of the requests in progress on one connection.
#[derive(Debug, Clone, Default)]
pub struct TimeLimits {
    /// Number of requests by time limit.
    counts: BTreeMap<Duration, usize>,
}

impl TimeLimits {
    /// Adds a request with the time to its deadline on arrival.
    pub fn add(&mut self, limit: Duration) {
        *self.counts.entry(limit).or_default() += 1;
    }

    /// Removes a request that was added with this limit.
    pub fn remove(&mut self, limit: Duration) {
        if let Some(count) = self.counts.get_mut(&limit) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&limit);
            }
        }
    }

    /// Returns whether the connection is closed once its peer has sent nothing for this time.
    ///
    /// All requests arrived before the silence began, so that their deadlines have passed after the
    /// longest limit. Without a request, the silence alone decides.
    pub fn is_gone(&self, silence: Duration) -> bool {
        let longest = self.counts.last_key_value();
        longest.is_none_or(|(limit, _)| silence >= *limit)
    }
}

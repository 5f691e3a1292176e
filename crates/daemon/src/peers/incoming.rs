//! State of an incoming connection, which its streams and other connections of its sender share.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_config::settings::Limits;
use masticdeal_policy::silence::TimeLimits;
use tokio_util::sync::CancellationToken;

use super::counting::ByteCounts;
use super::watchdog::{self, Outstanding};

/// State of an incoming connection.
#[derive(Debug, Default)]
pub struct IncomingState {
    /// Bytes read and written.
    pub counts: Arc<ByteCounts>,
    /// Streams in progress.
    pub outstanding: Arc<Outstanding>,
    /// Cancelled when the sender withdraws the attempts that have not started.
    pub withdrawn: CancellationToken,
    /// Cancelled when the sender reports that the connection has ended.
    pub ended: CancellationToken,
    time_limits: Mutex<TimeLimits>,
}

impl IncomingState {
    /// Records a request with the time to its deadline, until the guard is dropped.
    pub fn track_limit(self: &Arc<Self>, limit: Duration) -> TimeLimitGuard {
        self.time_limits().add(limit);
        TimeLimitGuard {
            state: Arc::clone(self),
            limit,
        }
    }

    /// Returns when the peer counts as gone; never returns while it responds. Calls `on_silence`
    /// whenever the peer has not answered a ping.
    ///
    /// The task that polls this future must poll the connection first, see
    /// `watchdog::wait_until_silent`.
    pub async fn wait_until_gone(
        &self,
        mut ping_pong: h2::PingPong,
        limits: &Limits,
        on_silence: impl Fn(),
    ) {
        loop {
            let (counts, outstanding) = (&self.counts, &self.outstanding);
            watchdog::wait_until_silent(&mut ping_pong, counts, outstanding, limits).await;
            let read_before = counts.read();
            let mut silence = limits.ping_after + limits.ping_timeout;
            on_silence();
            loop {
                if !outstanding.has_requests() {
                    break;
                }
                if self.time_limits().is_gone(silence) {
                    return;
                }
                if watchdog::wait_for_bytes(counts, read_before, limits.ping_timeout).await {
                    break;
                }
                silence += limits.ping_timeout;
            }
        }
    }

    fn time_limits(&self) -> MutexGuard<'_, TimeLimits> {
        self.time_limits.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Counts the time limit of one request until it is dropped.
#[derive(Debug)]
pub struct TimeLimitGuard {
    state: Arc<IncomingState>,
    limit: Duration,
}

impl Drop for TimeLimitGuard {
    fn drop(&mut self) {
        self.state.time_limits().remove(self.limit);
    }
}

//! Detects silent connections.
//!
//! TCP reports a dead path only after minutes. With requests outstanding and no byte read for
//! `ping_after`, the watchdog sends an HTTP/2 ping. If no byte arrives within `ping_timeout` after
//! that, the connection is silent.
//!
//! A busy thread of this daemon must not make a peer look silent: see [`wait_for_bytes`].

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;
use std::time::Duration;

use masticdeal_config::settings::Limits;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::sleep;

use super::counting::ByteCounts;

/// Number of requests in progress on one connection.
#[derive(Debug, Default)]
pub struct Outstanding {
    count: AtomicUsize,
    became_busy: Notify,
    became_idle: Notify,
}

impl Outstanding {
    /// Counts one request until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> OutstandingGuard {
        if self.count.fetch_add(1, Ordering::AcqRel) == 0 {
            self.became_busy.notify_one();
        }
        OutstandingGuard(Arc::clone(self))
    }

    /// Returns whether a request is in progress.
    pub fn has_requests(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }

    async fn wait_for_requests(&self) {
        while !self.has_requests() {
            self.became_busy.notified().await;
        }
    }

    /// Waits until no request is in progress. Only one task may wait.
    pub async fn wait_until_idle(&self) {
        while self.has_requests() {
            self.became_idle.notified().await;
        }
    }
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct OutstandingGuard(Arc<Outstanding>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.became_idle.notify_one();
        }
    }
}

/// Number of parts into which the wait for a ping is divided.
const WAIT_STEPS: u32 = 10;

/// Returns when the connection is silent; never returns while the peer responds.
///
/// The task that polls this future must poll the connection first, so that bytes that are already
/// in the socket are read before a timer decides.
pub async fn wait_until_silent(
    ping_pong: &mut h2::PingPong,
    counts: &ByteCounts,
    outstanding: &Outstanding,
    limits: &Limits,
) {
    loop {
        outstanding.wait_for_requests().await;
        let read_before = counts.read();
        sleep(limits.ping_after).await;
        if counts.read() != read_before || !outstanding.has_requests() {
            continue;
        }
        let wait = wait_for_bytes(counts, read_before, limits.ping_timeout);
        tokio::pin!(wait);
        // The result of the ping is ignored: any byte received proves that the connection is alive,
        // and a connection that closes fails its requests itself.
        let received_bytes = tokio::select! {
            received_bytes = &mut wait => received_bytes,
            () = ping(ping_pong) => wait.await,
        };
        if !received_bytes {
            return;
        }
    }
}

/// Sends a ping and waits for its answer. Returns at once while an earlier one is unanswered.
async fn ping(ping_pong: &mut h2::PingPong) {
    // The answer to an earlier ping may have come after the wait for it had ended. No further ping
    // can be sent before it is taken.
    poll_fn(|cx| {
        let _ = ping_pong.poll_pong(cx);
        Poll::Ready(())
    })
    .await;
    let _ = ping_pong.ping(h2::Ping::opaque()).await;
}

/// Waits for `timeout` until bytes arrive, and returns whether they did.
///
/// A step of the wait counts with its nominal time, however late its timer fires. While this
/// daemon's thread is busy or the process is paused, the ping may not have been written yet, and its
/// answer may not have been read; one late timer therefore uses up one step at most.
pub async fn wait_for_bytes(counts: &ByteCounts, read_before: u64, timeout: Duration) -> bool {
    for _ in 0..WAIT_STEPS {
        sleep(timeout / WAIT_STEPS).await;
        // Continues after the runtime has looked for new bytes, and the connection has read them.
        yield_now().await;
        if counts.read() != read_before {
            return true;
        }
    }
    false
}

//! Detects silent connections.
//!
//! TCP reports a dead path only after minutes. With requests outstanding and no byte read for
//! `ping_after`, the watchdog sends an HTTP/2 ping. If no byte arrives within `ping_timeout` after
//! that, the connection is silent.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use masticdeal_config::settings::Limits;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::counting::ByteCounts;

/// Number of requests in progress on one connection.
#[derive(Debug, Default)]
pub struct Outstanding {
    count: AtomicUsize,
    became_busy: Notify,
}

impl Outstanding {
    /// Counts one request until the guard is dropped.
    pub fn track(self: &Arc<Self>) -> OutstandingGuard {
        if self.count.fetch_add(1, Ordering::AcqRel) == 0 {
            self.became_busy.notify_one();
        }
        OutstandingGuard(Arc::clone(self))
    }

    fn has_requests(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }

    async fn wait_for_requests(&self) {
        while !self.has_requests() {
            self.became_busy.notified().await;
        }
    }
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct OutstandingGuard(Arc<Outstanding>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns when the connection is silent; never returns while the peer responds.
pub async fn wait_until_silent(
    mut ping_pong: h2::PingPong,
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
        // The result of the ping is ignored: any byte received proves that the connection is alive,
        // and a connection that closes fails its requests itself.
        let _ = timeout(limits.ping_timeout, ping_pong.ping(h2::Ping::opaque())).await;
        if counts.read() == read_before {
            return;
        }
    }
}

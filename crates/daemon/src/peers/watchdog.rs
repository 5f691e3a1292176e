//! Finds connections that went silent.
//!
//! TCP reports a dead path only after minutes. With requests outstanding and no byte read for
//! `ping_after`, the watchdog sends an h2 ping; without any byte within `ping_timeout` after it,
//! the connection is silent.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use masticdeal_config::settings::Limits;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::io::Counts;

/// Number of requests in progress on one connection.
#[derive(Debug, Default)]
pub struct Outstanding {
    count: AtomicUsize,
    first: Notify,
}

impl Outstanding {
    /// Counts one request until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Entered {
        if self.count.fetch_add(1, Ordering::AcqRel) == 0 {
            self.first.notify_one();
        }
        Entered(Arc::clone(self))
    }

    fn any(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }

    async fn until_any(&self) {
        while !self.any() {
            self.first.notified().await;
        }
    }
}

/// Keeps one request counted.
#[derive(Debug)]
pub struct Entered(Arc<Outstanding>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns once the connection is silent. Never returns while it answers.
pub async fn until_silent(
    mut pings: h2::PingPong,
    counts: &Counts,
    outstanding: &Outstanding,
    limits: &Limits,
) {
    loop {
        outstanding.until_any().await;
        let read = counts.read();
        sleep(limits.ping_after).await;
        if counts.read() != read || !outstanding.any() {
            continue;
        }
        // The result of the ping is not needed: any byte that arrives shows a live connection, and
        // a connection that is closing fails its requests by itself.
        let _ = timeout(limits.ping_timeout, pings.ping(h2::Ping::opaque())).await;
        if counts.read() == read {
            return;
        }
    }
}

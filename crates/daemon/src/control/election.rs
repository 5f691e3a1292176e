//! Election of the planner by a lease of the platform's service.
//!
//! The planner is a convenience: two planners at once, or none, endanger nothing, since every move
//! is checked against the table that it changes. So the election needs no fencing token.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use masticdeal_platform::{Client, Written};
use masticdeal_wire::headers::KEY_PLANNER;
use tokio::sync::watch;

use crate::clock::Clock;

/// Time to live of the planner's lease.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(3);

/// Time between two looks of a candidate at the planner's key.
const LOOK: Duration = Duration::from_secs(5);

/// One candidate.
pub struct Election {
    /// Client of the platform's service.
    pub platform: Client,
    /// Boot-time clock.
    pub clock: Arc<dyn Clock>,
    /// Name of the VM, stored in the planner's key for operators.
    pub name: String,
    /// Whether this daemon is a candidate.
    pub candidate: watch::Receiver<bool>,
    /// Whether this daemon is the planner.
    pub leading: watch::Sender<bool>,
}

impl Election {
    /// Takes part in the election until the task is dropped.
    pub async fn run(mut self) {
        loop {
            // The sender lives as long as the daemon.
            if self.candidate.wait_for(|is| *is).await.is_err() {
                return;
            }
            if let Some(lease) = self.try_win().await {
                log::info!("elected as planner");
                self.lead(&lease).await;
                log::info!("no longer the planner");
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns the lease under which the planner's key is now held, if this daemon won.
    async fn try_win(&self) -> Option<String> {
        let held = self.platform.get(KEY_PLANNER).await.ok()?;
        if held.is_some() {
            return None;
        }
        let lease = self.platform.lease_grant(LEASE).await.ok()?;
        let name = Bytes::from(self.name.clone().into_bytes());
        match self.platform.swap(KEY_PLANNER, 0, name, Some(&lease)).await {
            Written::Done(_) => Some(lease),
            // An unknown outcome counts as lost; the key lapses with the lease.
            Written::Conflict(_) | Written::Unknown(_) => None,
        }
    }

    /// Leads until the lease may have lapsed or this daemon stops being a candidate.
    async fn lead(&self, lease: &str) {
        let mut renewed = self.clock.now();
        self.leading.send_replace(true);
        while *self.candidate.borrow() {
            tokio::time::sleep(RENEW).await;
            let sent = self.clock.now();
            match self.platform.lease_renew(lease).await {
                Ok(true) => renewed = sent,
                Ok(false) => break,
                Err(e) => log::warn!("planner's lease is not renewed: {e}"),
            }
            if self.clock.now().saturating_sub(renewed) >= LEASE {
                break;
            }
        }
        self.leading.send_replace(false);
    }
}

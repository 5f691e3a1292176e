//! Refreshes the target's grant, and revokes it before a shard moves.
//!
//! A grant ends no later than the lease and is refreshed once per renewal interval. The target's
//! right to run requests therefore ends no later than the daemon's right to send them.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId};
use masticdeal_ownership::lease::{Event, Grants, HeldShard, override_shard};
use masticdeal_wire::target::Grant;

use super::Control;

/// Longest time that a move from a target in service waits for the running requests of its shard.
const MOVE_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between two attempts to revoke a grant.
const REVOKE_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Control {
    /// Sends the grant when it changes and once per renewal interval, so that it does not expire
    /// while the lease is valid. Runs until the task is dropped.
    pub async fn refresh_grants(self: Arc<Self>) {
        if self.node.protocol.target.grants_by_report {
            return;
        }
        let renew_interval = self.node.settings.lease.renew_interval;
        loop {
            tokio::select! {
                () = self.grants_changed.notified() => {}
                () = tokio::time::sleep(renew_interval) => {}
            }
            self.send_grants().await;
        }
    }

    /// Sends the current grant. Returns whether the target confirmed it.
    async fn send_grants(&self) -> bool {
        // The lock is held while a grant is in flight, so that the sequence follows the order of
        // the decisions.
        let mut sequence = self.grant_sequence.lock().await;
        let Some(grants) = self.current_grants() else {
            return false;
        };
        *sequence += 1;
        let grant = to_message(&grants, *sequence);
        let timeout = self.node.settings.lease.renew_interval;
        match self.owner.send_grant(&grant, timeout).await {
            Ok(()) => true,
            Err(e) => {
                log::debug!("target did not confirm the grant: {e}");
                false
            }
        }
    }

    fn current_grants(&self) -> Option<Grants> {
        let core = self.core.lock().unwrap();
        core.grants(self.node.clock.now())
    }

    /// Waits until the requests of a shard have finished, revokes its grant, and reports the shard
    /// as drained to the core. Reports the move as abandoned if requests are still running after
    /// the drain timeout.
    pub(super) async fn drain_shard(self: Arc<Self>, held: HeldShard) {
        if self.node.range_shard_count(held.service).is_some() {
            // A target with range grants reports a shard released once its requests have finished.
            self.await_released(held).await;
            self.handle_event(Event::ShardDrained(held));
            self.notify_planner(held);
            return;
        }
        let drained = self.owner.await_drained(held.service, held.shard);
        let timeout = self.drain_timeout();
        if tokio::time::timeout(timeout, drained).await.is_err() {
            log::info!(
                "shard {} still has running requests after the drain timeout and is not moved",
                held.shard
            );
            self.handle_event(Event::MoveAbandoned(held));
            return;
        }
        self.revoke_grant().await;
        self.handle_event(Event::ShardDrained(held));
        self.notify_planner(held);
    }

    /// As [`Control::drain_shard`] for one key, without a timeout.
    pub(super) async fn drain_key(
        self: Arc<Self>,
        (service, key_hash, epoch): (ServiceId, u64, Epoch),
    ) {
        let shard = override_shard(key_hash);
        self.owner.await_drained(service, shard).await;
        self.revoke_grant().await;
        self.handle_event(Event::KeyDrained {
            service,
            key_hash,
            epoch,
        });
    }

    /// Returns the time that the requests of a shard have to finish. A leaving target gets no new
    /// work, so the drain time of the settings applies instead of [`MOVE_DRAIN_TIMEOUT`].
    fn drain_timeout(&self) -> Duration {
        let is_leaving = *self.node.draining.borrow() || self.is_set_to_drain();
        if is_leaving {
            self.node.settings.daemon.drain_timeout
        } else {
            MOVE_DRAIN_TIMEOUT
        }
    }

    /// Sends the grant without the released shards and keys until the target confirms it. Returns
    /// without a confirmation when the target's last grant has expired.
    async fn revoke_grant(&self) {
        let expires_at = self.node.clock.now() + self.node.settings.lease.duration;
        while self.node.clock.now() < expires_at {
            if self.send_grants().await {
                return;
            }
            tokio::time::sleep(REVOKE_RETRY_DELAY).await;
        }
    }
}

fn to_message(grants: &Grants, sequence: u64) -> Grant {
    let shards = grants.shards.iter().map(|(s, e)| (s.0, e.0));
    Grant {
        session: grants.session.0,
        sequence,
        until_boot_ms: grants.until.as_millis() as u64,
        shards: shards.collect(),
        keys: Vec::new(),
    }
}

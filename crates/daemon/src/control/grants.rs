//! Keeps the target's grant current, and takes it back before a shard moves.
//!
//! The grant ends no later than the lease. It is renewed with each renewal of the lease, so a
//! target loses its right to act at the moment its daemon does.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId};
use masticdeal_ownership::lease::{Event, Grants, HeldShard, override_shard};
use masticdeal_wire::target::Grant;

use super::Control;

/// Longest time that a planned move waits for running work.
const MOVE_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two tries to take a grant back.
const REVOKE_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Control {
    /// Sends a grant whenever it changes, and often enough that it never lapses while the lease is
    /// live, until the task is dropped.
    pub async fn refresh_grants(self: Arc<Self>) {
        if self.node.protocol.target.grants_by_report {
            return;
        }
        let renew = self.node.settings.lease.renew_interval;
        loop {
            tokio::select! {
                () = self.grants_changed.notified() => {}
                () = tokio::time::sleep(renew) => {}
            }
            self.send_grants().await;
        }
    }

    /// Sends what the target may be granted now. Returns whether the target has confirmed it.
    async fn send_grants(&self) -> bool {
        // One grant at a time, so that the sequence rises in the order of the decisions.
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
                log::debug!("grant is not confirmed: {e}");
                false
            }
        }
    }

    fn current_grants(&self) -> Option<Grants> {
        let core = self.core.lock().unwrap();
        core.grants(self.node.clock.now())
    }

    /// Lets a shard's running work finish, takes the grant back and reports to the core.
    pub(super) async fn drain_shard(self: Arc<Self>, held: HeldShard) {
        if self.node.range_shard_count(held.service).is_some() {
            // Such a target holds a range until its running work is done.
            self.await_released(held).await;
            self.handle_event(Event::ShardDrained(held));
            return;
        }
        let drained = self.owner.drained(held.service, held.shard);
        let limit = self.drain_timeout();
        if tokio::time::timeout(limit, drained).await.is_err() {
            log::info!("shard {} still has running work and stays", held.shard);
            self.handle_event(Event::MoveAbandoned(held));
            return;
        }
        self.revoke_grant().await;
        self.handle_event(Event::ShardDrained(held));
    }

    /// As [`Control::drain_shard`] for one key.
    pub(super) async fn drain_key(
        self: Arc<Self>,
        (service, key_hash, epoch): (ServiceId, u64, Epoch),
    ) {
        let shard = override_shard(key_hash);
        self.owner.drained(service, shard).await;
        self.revoke_grant().await;
        self.handle_event(Event::KeyDrained {
            service,
            key_hash,
            epoch,
        });
    }

    /// A leaving target gets no new work, so its running work may finish in its own time.
    fn drain_timeout(&self) -> Duration {
        let leaving = *self.node.draining.borrow() || self.is_away();
        if leaving {
            self.node.settings.daemon.drain_timeout
        } else {
            MOVE_DRAIN_TIMEOUT
        }
    }

    /// Returns once the target has confirmed a grant without what the core has released, or its last
    /// grant has run out.
    async fn revoke_grant(&self) {
        let lapsed = self.node.clock.now() + self.node.settings.lease.duration;
        while self.node.clock.now() < lapsed {
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

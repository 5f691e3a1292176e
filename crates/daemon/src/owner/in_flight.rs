//! Counts the requests in flight for each shard and key, so that a planned move of a shard or key
//! can wait until its requests have ended.
//!
//! A key is represented by the pseudo shard that grants use for it, see [`override_shard`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use tokio::sync::Notify;

/// A shard, or the pseudo shard of a key.
type ShardRef = (ServiceId, ShardId);

/// Number of running and queued requests of each shard and key. Those without requests have no
/// entry.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: Mutex<HashMap<ShardRef, usize>>,
    drained: Notify,
}

impl InFlight {
    /// Counts one request for its key and for `shard` until the guard is dropped. `shard` is `None`
    /// for a key with an override, whose requests must not delay a move of the key's shard.
    pub fn track(
        self: &Arc<Self>,
        service: ServiceId,
        shard: Option<ShardId>,
        key_hash: u64,
    ) -> InFlightGuard {
        let key_ref = (service, override_shard(key_hash));
        let shard_ref = shard.map(|shard| (service, shard));
        let refs = [Some(key_ref), shard_ref];
        let mut counts = self.lock();
        for shard_ref in refs.into_iter().flatten() {
            *counts.entry(shard_ref).or_default() += 1;
        }
        InFlightGuard {
            in_flight: Arc::clone(self),
            refs,
        }
    }

    /// Waits until no request of the shard is running or queued.
    pub async fn await_drained(&self, service: ServiceId, shard: ShardId) {
        loop {
            let drained = self.drained.notified();
            tokio::pin!(drained);
            // Register before the check, so that no notification between the two is lost.
            drained.as_mut().enable();
            if !self.lock().contains_key(&(service, shard)) {
                return;
            }
            drained.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ShardRef, usize>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    refs: [Option<ShardRef>; 2],
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        for shard_ref in self.refs.into_iter().flatten() {
            let Some(count) = counts.get_mut(&shard_ref) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                counts.remove(&shard_ref);
                self.in_flight.drained.notify_waiters();
            }
        }
    }
}

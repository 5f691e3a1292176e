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
        let key = (service, override_shard(key_hash));
        let shard = shard.map(|shard| (service, shard));
        let keys = [Some(key), shard];
        let mut counts = self.lock();
        for key in keys.into_iter().flatten() {
            *counts.entry(key).or_default() += 1;
        }
        InFlightGuard {
            in_flight: Arc::clone(self),
            keys,
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
    keys: [Option<ShardRef>; 2],
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.lock();
        for key in self.keys.into_iter().flatten() {
            let Some(count) = counts.get_mut(&key) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                counts.remove(&key);
                self.in_flight.drained.notify_waiters();
            }
        }
    }
}

//! Counts the requests of each shard and key, so that a planned move can wait for the last one.
//!
//! A key stands as the pseudo shard by which grants name it, see [`override_shard`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use tokio::sync::Notify;

type Key = (ServiceId, ShardId);

/// Requests that run or wait, by shard. Shards without any take no memory.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: Mutex<HashMap<Key, usize>>,
    drained: Notify,
}

impl InFlight {
    /// Counts one request until the guard is dropped. `shard` is `None` for a key with an owner of
    /// its own, whose requests do not hold up a move of its shard.
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

    /// Resolves when no request of the shard runs or waits.
    pub async fn await_drained(&self, service: ServiceId, shard: ShardId) {
        loop {
            let drained = self.drained.notified();
            tokio::pin!(drained);
            // Registered before the look, so that no notification is missed in between.
            drained.as_mut().enable();
            if !self.lock().contains_key(&(service, shard)) {
                return;
            }
            drained.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, usize>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Keeps one request counted.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    keys: [Option<Key>; 2],
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

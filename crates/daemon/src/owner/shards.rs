//! Counts the requests of each shard, so that a planned move can wait for the last one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use masticdeal_ownership::ids::{ServiceId, ShardId};
use tokio::sync::Notify;

type Key = (ServiceId, ShardId);

/// Requests that run or wait, by shard. Shards without any take no memory.
#[derive(Debug, Default)]
pub struct Shards {
    counts: Mutex<HashMap<Key, usize>>,
    emptied: Notify,
}

impl Shards {
    /// Counts one request until the guard is dropped.
    pub fn enter(self: &Arc<Self>, service: ServiceId, shard: ShardId) -> Entered {
        let key = (service, shard);
        *self.lock().entry(key).or_default() += 1;
        Entered {
            shards: Arc::clone(self),
            key,
        }
    }

    /// Resolves when no request of the shard runs or waits.
    pub async fn drained(&self, service: ServiceId, shard: ShardId) {
        loop {
            let emptied = self.emptied.notified();
            tokio::pin!(emptied);
            // Registered before the look, so that no notification is missed in between.
            emptied.as_mut().enable();
            if !self.lock().contains_key(&(service, shard)) {
                return;
            }
            emptied.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, usize>> {
        self.counts.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Keeps one request counted.
#[derive(Debug)]
pub struct Entered {
    shards: Arc<Shards>,
    key: Key,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let mut counts = self.shards.lock();
        let Some(count) = counts.get_mut(&self.key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.key);
            self.shards.emptied.notify_waiters();
        }
    }
}

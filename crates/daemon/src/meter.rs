//! Counts requests per shard and key at the owner, in bounded memory.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use masticdeal_ownership::ids::ShardId;

/// Time over which requests are counted before the rates are renewed.
const WINDOW: Duration = Duration::from_secs(2);

/// Shards that are counted; a daemon owns far fewer.
const MAX_SHARDS: usize = 4_096;

/// Rates in requests per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rates {
    /// All requests.
    pub total: f32,
    /// Each shard with any requests.
    pub shards: Vec<(ShardId, f32)>,
    /// Shard, hash and rate of the hottest keys.
    pub keys: Vec<(ShardId, u64, f32)>,
}

#[derive(Debug, Default)]
struct State {
    started: Duration,
    counts: HashMap<ShardId, u32>,
    total: u32,
    last: Rates,
}

/// Counter of the requests that this daemon runs.
#[derive(Debug, Default)]
pub struct Meter(Mutex<State>);

impl Meter {
    /// Counts one request; `place` is the shard and the key's hash for a divided service.
    pub fn count(&self, now: Duration, place: Option<(ShardId, u64)>) {
        let mut state = self.0.lock().unwrap();
        state.turn(now);
        state.total += 1;
        if let Some((shard, _)) = place
            && (state.counts.len() < MAX_SHARDS || state.counts.contains_key(&shard))
        {
            *state.counts.entry(shard).or_default() += 1;
        }
    }

    /// Returns the rates of the last whole window.
    pub fn rates(&self, now: Duration) -> Rates {
        let mut state = self.0.lock().unwrap();
        state.turn(now);
        state.last.clone()
    }
}

impl State {
    /// Starts a new window when the current one is over.
    fn turn(&mut self, now: Duration) {
        let length = now.saturating_sub(self.started);
        if length < WINDOW {
            return;
        }
        let seconds = length.as_secs_f32();
        let shards = self.counts.drain().map(|(s, n)| (s, n as f32 / seconds));
        self.last = Rates {
            total: self.total as f32 / seconds,
            shards: shards.collect(),
            keys: Vec::new(),
        };
        self.total = 0;
        self.started = now;
    }
}

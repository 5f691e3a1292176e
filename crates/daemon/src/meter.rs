//! Measures request rates per shard and of the hottest keys at the owner, in bounded memory.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use masticdeal_ownership::ids::ShardId;
use masticdeal_ownership::sketch::{HotKeySketch, SketchSettings};

/// Minimum length of the window over which a rate is measured.
const WINDOW: Duration = Duration::from_secs(2);

/// Number of hottest keys in a load report. The largest fleet that the project is designed for has
/// 18 hot keys in all.
const REPORTED_KEYS: usize = 18;

/// Weight, in the total and in the rates of shards, of a request that was refused because the queue
/// was full or its deadline could not be met. Callers retry twice, so a request that is not served
/// arrives three times. With full weight, an overloaded shard would look three times as hot as it
/// is. The rates of keys count each request in full.
const REFUSED_WEIGHT: f32 = 1.0 / 3.0;

/// Maximum number of shards that are counted in one window; a daemon owns far fewer.
const MAX_SHARDS: usize = 4_096;

/// Rates in requests per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rates {
    /// Rate of all requests; a refused request counts as `REFUSED_WEIGHT`.
    pub total: f32,
    /// Rate of each shard that received requests.
    pub shards: Vec<(ShardId, f32)>,
    /// xxh3 hash and rate of each of the hottest keys.
    pub keys: Vec<(u64, f32)>,
}

/// Shard and key of a request for a sharded service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey {
    /// Shard of the key; `None` when the key has an override.
    pub shard: Option<ShardId>,
    /// xxh3 hash of the key.
    pub key_hash: u64,
}

#[derive(Debug)]
struct State {
    window_start: Duration,
    shard_counts: HashMap<ShardId, f32>,
    hot: HotKeySketch,
    total: f32,
    last_rates: Rates,
}

impl Default for State {
    fn default() -> Self {
        Self {
            window_start: Duration::ZERO,
            shard_counts: HashMap::new(),
            hot: HotKeySketch::new(SketchSettings::default()),
            total: 0.0,
            last_rates: Rates::default(),
        }
    }
}

/// Measures the rates of requests for the target of this daemon.
#[derive(Debug, Default)]
pub struct Meter(Mutex<State>);

impl Meter {
    /// Counts one admitted request; `request_key` is `None` for an unsharded service.
    pub fn count(&self, now: Duration, request_key: Option<RequestKey>) {
        self.add(now, request_key, 1.0);
    }

    /// Counts one request that was refused because of overload.
    pub fn count_refused(&self, now: Duration, request_key: Option<RequestKey>) {
        self.add(now, request_key, REFUSED_WEIGHT);
    }

    fn add(&self, now: Duration, request_key: Option<RequestKey>, weight: f32) {
        let mut state = self.0.lock().unwrap();
        state.roll_window(now);
        state.total += weight;
        let Some(key) = request_key else {
            return;
        };
        state.hot.record(now, key.key_hash);
        if let Some(shard) = key.shard
            && (state.shard_counts.len() < MAX_SHARDS || state.shard_counts.contains_key(&shard))
        {
            *state.shard_counts.entry(shard).or_default() += weight;
        }
    }

    /// Returns the rates of the last complete window, and the current rates of the hottest keys.
    pub fn rates(&self, now: Duration) -> Rates {
        let mut state = self.0.lock().unwrap();
        state.roll_window(now);
        let hot = state.hot.hottest(now, REPORTED_KEYS);
        Rates {
            keys: hot
                .into_iter()
                .map(|(key_hash, rate)| (key_hash, rate as f32))
                .collect(),
            ..state.last_rates.clone()
        }
    }
}

impl State {
    /// Stores the rates of the current window and starts a new one, if the current one is at least
    /// [`WINDOW`] long.
    fn roll_window(&mut self, now: Duration) {
        let length = now.saturating_sub(self.window_start);
        if length < WINDOW {
            return;
        }
        let seconds = length.as_secs_f32();
        let shards = self
            .shard_counts
            .drain()
            .map(|(shard, count)| (shard, count / seconds));
        self.last_rates = Rates {
            total: self.total / seconds,
            shards: shards.collect(),
            keys: Vec::new(),
        };
        self.total = 0.0;
        self.window_start = now;
    }
}

//! Finds the hottest keys of a stream in bounded memory.
//!
//! Uses the space-saving algorithm: once all counters are in use, a key without a counter replaces
//! the key with the smallest count and inherits that count as its maximum error. All counts decay,
//! so that keys that receive fewer requests than before are replaced. Keys are identified by their
//! xxh3 hashes.

use std::collections::HashMap;
use std::time::Duration;

/// Decay steps per half-life. Counts decay in steps, so that most calls need not visit all
/// counters.
const STEPS_PER_HALF_LIFE: u32 = 8;

/// Size and decay of the sketch.
#[derive(Debug, Clone)]
pub struct SketchSettings {
    /// Number of counters. Each takes about 60 bytes, including its entry in the map of positions.
    pub counters: usize,
    /// Time in which a count without new requests halves.
    pub half_life: Duration,
}

impl Default for SketchSettings {
    fn default() -> Self {
        Self {
            counters: 512,
            half_life: Duration::from_secs(10),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    key_hash: u64,
    count: f64,
    error: f64,
}

/// Counters of the hottest keys, in a min-heap by count, with the heap index of each key hash.
#[derive(Debug, Clone)]
pub struct HotKeySketch {
    settings: SketchSettings,
    heap: Vec<Counter>,
    positions: HashMap<u64, usize>,
    decayed_at: Option<Duration>,
}

impl HotKeySketch {
    /// Creates an empty sketch with at least one counter.
    pub fn new(settings: SketchSettings) -> Self {
        let counters = settings.counters.max(1);
        Self {
            settings: SketchSettings {
                counters,
                ..settings
            },
            heap: Vec::with_capacity(counters),
            positions: HashMap::with_capacity(counters),
            decayed_at: None,
        }
    }

    /// Counts a request for the key with this xxh3 hash. `now` is the time since boot.
    pub fn record(&mut self, now: Duration, key_hash: u64) {
        self.decay(now);
        if let Some(&index) = self.positions.get(&key_hash) {
            self.heap[index].count += 1.0;
            self.sift_down(index);
        } else if self.heap.len() < self.settings.counters {
            self.heap.push(Counter {
                key_hash,
                count: 1.0,
                error: 0.0,
            });
            self.positions.insert(key_hash, self.heap.len() - 1);
            self.sift_up(self.heap.len() - 1);
        } else {
            let smallest = self.heap[0];
            self.positions.remove(&smallest.key_hash);
            self.positions.insert(key_hash, 0);
            self.heap[0] = Counter {
                key_hash,
                count: smallest.count + 1.0,
                error: smallest.count,
            };
            self.sift_down(0);
        }
    }

    /// Returns the hashes of up to `count` keys with the highest lower bounds of their rates, in
    /// requests per second, the highest first.
    pub fn hottest(&mut self, now: Duration, count: usize) -> Vec<(u64, f64)> {
        self.decay(now);
        // At a constant rate r the count converges to r x half-life / ln 2.
        let time_constant_s = self.settings.half_life.as_secs_f64() / std::f64::consts::LN_2;
        let mut keys: Vec<_> = self
            .heap
            .iter()
            .map(|c| (c.key_hash, (c.count - c.error) / time_constant_s))
            .collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys.truncate(count);
        keys
    }

    /// Returns the number of counters in use.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns whether no request has been counted.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Decays all counts in steps, by half per half-life. The order of the heap is preserved.
    fn decay(&mut self, now: Duration) {
        let step = self.settings.half_life / STEPS_PER_HALF_LIFE;
        let last = *self.decayed_at.get_or_insert(now);
        if step.is_zero() || now < last + step {
            return;
        }
        // After 10,000 steps every count is 0, so `decayed_at` may stay behind `now`.
        let steps = ((now - last).as_nanos() / step.as_nanos()).min(10_000) as u32;
        let factor = 0.5f64.powf(f64::from(steps) / f64::from(STEPS_PER_HALF_LIFE));
        for counter in &mut self.heap {
            counter.count *= factor;
            counter.error *= factor;
        }
        self.decayed_at = Some(last + step * steps);
    }

    fn sift_up(&mut self, mut index: usize) {
        while index > 0 {
            let parent = (index - 1) / 2;
            if self.heap[parent].count <= self.heap[index].count {
                return;
            }
            self.swap(index, parent);
            index = parent;
        }
    }

    fn sift_down(&mut self, mut index: usize) {
        loop {
            let children = (2 * index + 1)..(2 * index + 3).min(self.heap.len());
            let smallest =
                children.min_by(|&a, &b| self.heap[a].count.total_cmp(&self.heap[b].count));
            match smallest {
                Some(child) if self.heap[child].count < self.heap[index].count => {
                    self.swap(index, child);
                    index = child;
                }
                _ => return,
            }
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.positions.insert(self.heap[a].key_hash, a);
        self.positions.insert(self.heap[b].key_hash, b);
    }
}

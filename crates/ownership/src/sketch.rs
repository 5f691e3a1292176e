//! Finds the hottest keys of a stream in bounded memory.
//!
//! Space-saving counters: a key without a counter takes the smallest one over and keeps that count
//! as its possible error. All counts decay, so that keys that cool down make room.

use std::collections::HashMap;
use std::time::Duration;

/// Decay steps per half-life.
const STEPS_PER_HALF_LIFE: u32 = 8;

/// Bounds of the sketch.
#[derive(Debug, Clone)]
pub struct SketchSettings {
    /// Number of counters; each takes about 48 bytes.
    pub counters: usize,
    /// Time after which a count without new requests has halved.
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
    key: u64,
    count: f64,
    error: f64,
}

/// Counters of the hottest keys, as a heap with the smallest count first.
#[derive(Debug, Clone)]
pub struct HotKeySketch {
    settings: SketchSettings,
    heap: Vec<Counter>,
    positions: HashMap<u64, usize>,
    decayed_at: Option<Duration>,
}

impl HotKeySketch {
    /// Makes an empty sketch. At least one counter is kept.
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

    /// Counts one request for the key with this xxh3 hash at boot time `now`.
    pub fn record(&mut self, now: Duration, key: u64) {
        self.decay(now);
        if let Some(&at) = self.positions.get(&key) {
            self.heap[at].count += 1.0;
            self.sift_down(at);
        } else if self.heap.len() < self.settings.counters {
            self.heap.push(Counter {
                key,
                count: 1.0,
                error: 0.0,
            });
            self.positions.insert(key, self.heap.len() - 1);
            self.sift_up(self.heap.len() - 1);
        } else {
            let smallest = self.heap[0];
            self.positions.remove(&smallest.key);
            self.positions.insert(key, 0);
            self.heap[0] = Counter {
                key,
                count: smallest.count + 1.0,
                error: smallest.count,
            };
            self.sift_down(0);
        }
    }

    /// Returns up to `count` keys with the highest proven rates in requests per second, the
    /// hottest first.
    pub fn hottest(&mut self, now: Duration, count: usize) -> Vec<(u64, f64)> {
        self.decay(now);
        // A constant rate r settles at r x half-life / ln 2.
        let seconds = self.settings.half_life.as_secs_f64() / std::f64::consts::LN_2;
        let mut keys: Vec<_> = self
            .heap
            .iter()
            .map(|c| (c.key, (c.count - c.error) / seconds))
            .collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        keys.truncate(count);
        keys
    }

    /// Number of counters in use.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Tells whether nothing was counted yet.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Halves all counts per half-life, in steps. The order of the heap stays.
    fn decay(&mut self, now: Duration) {
        let step = self.settings.half_life / STEPS_PER_HALF_LIFE;
        let last = *self.decayed_at.get_or_insert(now);
        if step.is_zero() || now < last + step {
            return;
        }
        let steps = ((now - last).as_nanos() / step.as_nanos()).min(10_000) as u32;
        let factor = 0.5f64.powf(f64::from(steps) / f64::from(STEPS_PER_HALF_LIFE));
        for counter in &mut self.heap {
            counter.count *= factor;
            counter.error *= factor;
        }
        self.decayed_at = Some(last + step * steps);
    }

    fn sift_up(&mut self, mut at: usize) {
        while at > 0 {
            let parent = (at - 1) / 2;
            if self.heap[parent].count <= self.heap[at].count {
                return;
            }
            self.swap(at, parent);
            at = parent;
        }
    }

    fn sift_down(&mut self, mut at: usize) {
        loop {
            let children = (2 * at + 1)..(2 * at + 3).min(self.heap.len());
            let smallest =
                children.min_by(|&a, &b| self.heap[a].count.total_cmp(&self.heap[b].count));
            match smallest {
                Some(child) if self.heap[child].count < self.heap[at].count => {
                    self.swap(at, child);
                    at = child;
                }
                _ => return,
            }
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.positions.insert(self.heap[a].key, a);
        self.positions.insert(self.heap[b].key, b);
    }
}

//! Cost classes: which requests are short and which are long, learned from their service times.
//!
//! Each shape (service, method, path shape) keeps a smoothed service time. A shape is long when
//! that time is many times the reference of its service, which is the time of the cheapest shapes
//! that together make up a set part of its requests. The reference follows the cheap work, so a
//! few long requests do not move it.
//!
//! Invariants: the table never holds more than [`Settings::capacity`] shapes; a shape changes
//! class only when it crosses the ratio on the far side of the hysteresis band.

use std::collections::HashMap;
use std::time::Duration;

use crate::shape::write_shape;

/// Requests between two reviews of a service's reference time.
const REVIEW_EVERY: u32 = 64;

/// Cost class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cost {
    /// Runs about as long as most requests of its service.
    Short,
    /// Runs many times longer than most requests of its service.
    Long,
}

/// Handle of a learned shape. It goes stale when the shape is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShapeId {
    index: u32,
    generation: u32,
}

/// What is known about the cost of a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Shape that the request belongs to.
    pub shape: ShapeId,
    /// Cost class of the shape.
    pub cost: Cost,
    /// Smoothed service time; `None` while the shape has too few samples, or only old ones.
    pub expected: Option<Duration>,
}

/// The parts of a request that name its shape.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Request path, with or without its query.
    pub path: &'a str,
    /// Path segment that holds the key, counted from 1.
    pub key_segment: Option<usize>,
}

/// Settings of the cost classes.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Shapes kept at most.
    pub capacity: usize,
    /// Weight of a new sample in the smoothed service time, above 0 and at most 1.
    pub smoothing: f64,
    /// Multiple of the reference above which a shape becomes long.
    pub long_ratio: f64,
    /// Multiple of the reference below which a long shape becomes short again.
    pub short_ratio: f64,
    /// Part of a service's requests, cheapest first, whose shapes set the reference.
    pub reference_share: f64,
    /// Samples from which a shape counts as known.
    pub min_samples: u32,
    /// Age after which a smoothed service time no longer predicts anything. It lets a shape that
    /// was refused for its expected time be measured again.
    pub forget: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 256,
            smoothing: 0.1,
            long_ratio: 10.0,
            short_ratio: 5.0,
            reference_share: 0.25,
            min_samples: 4,
            forget: Duration::from_secs(15),
        }
    }
}

/// Bounded table of learned shapes.
#[derive(Debug)]
pub struct Classes {
    settings: Settings,
    by_key: HashMap<Box<str>, u32>,
    shapes: Vec<Shape>,
    mixes: Vec<Mix>,
    /// Scratch space for the key of a look-up.
    key: String,
}

#[derive(Debug)]
struct Shape {
    key: Box<str>,
    generation: u32,
    mix: usize,
    cost: Cost,
    samples: u32,
    /// Smoothed service time in seconds.
    mean: f64,
    /// Recent requests; halved at each review.
    weight: f64,
    used: Duration,
    sampled: Duration,
}

/// What a service's requests have in common.
#[derive(Debug)]
struct Mix {
    service: Box<str>,
    /// Reference service time in seconds, once a shape is known.
    reference: Option<f64>,
    until_review: u32,
}

impl Classes {
    /// Makes an empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            by_key: HashMap::new(),
            shapes: Vec::new(),
            mixes: Vec::new(),
            key: String::new(),
        }
    }

    /// Returns the class of a request, and learns its shape if it is new.
    ///
    /// A new shape is short. A full table evicts the shape with the fewest recent requests.
    pub fn classify(&mut self, now: Duration, req: Request<'_>) -> Class {
        self.write_key(req);
        let index = match self.by_key.get(self.key.as_str()) {
            Some(&index) => index,
            None => self.insert(now, req.service),
        };
        let shape = &mut self.shapes[index as usize];
        shape.used = now;
        shape.weight += 1.0;
        let id = ShapeId {
            index,
            generation: shape.generation,
        };
        Class {
            shape: id,
            cost: shape.cost,
            expected: self.expected(now, id),
        }
    }

    /// Returns the present class of a shape; `None` when it was evicted.
    pub fn cost(&self, id: ShapeId) -> Option<Cost> {
        self.get(id).map(|shape| shape.cost)
    }

    /// Returns the smoothed service time of a shape, if it is known and not outdated.
    pub fn expected(&self, now: Duration, id: ShapeId) -> Option<Duration> {
        let shape = self.get(id)?;
        let known = shape.samples >= self.settings.min_samples;
        let fresh = now.saturating_sub(shape.sampled) <= self.settings.forget;
        (known && fresh).then(|| Duration::from_secs_f64(shape.mean))
    }

    /// Returns the running time above which a request of the service counts as long; `None` until
    /// a shape of the service is known.
    pub fn short_bound(&self, service: &str) -> Option<Duration> {
        let mix = self.mixes.iter().find(|mix| *mix.service == *service)?;
        self.bound_of(mix)
    }

    /// Returns the same bound for the service of a shape.
    pub fn short_bound_of(&self, id: ShapeId) -> Option<Duration> {
        let shape = self.get(id)?;
        self.bound_of(&self.mixes[shape.mix])
    }

    /// Records the service time of a finished request. Stale handles are ignored.
    pub fn record(&mut self, now: Duration, id: ShapeId, service_time: Duration) {
        let smoothing = self.settings.smoothing;
        let Some(shape) = self.get_mut(id) else {
            return;
        };
        shape.samples = shape.samples.saturating_add(1);
        shape.sampled = now;
        // The first samples count alike, so that the start does not linger.
        let weight = smoothing.max(1.0 / f64::from(shape.samples));
        shape.mean += weight * (service_time.as_secs_f64() - shape.mean);
        let mix = shape.mix;
        self.count(mix);
        self.reclassify(id.index as usize);
    }

    /// Notes that a request has been running for `elapsed`, and returns the class that it counts
    /// as from now on.
    ///
    /// A shape that is not known yet becomes long as soon as one of its requests passes the bound,
    /// before any has finished.
    pub fn note_running(&mut self, id: ShapeId, elapsed: Duration) -> Cost {
        let Some(bound) = self.short_bound_of(id) else {
            return Cost::Short;
        };
        if elapsed <= bound {
            return Cost::Short;
        }
        let min_samples = self.settings.min_samples;
        if let Some(shape) = self.get_mut(id)
            && shape.samples < min_samples
        {
            shape.cost = Cost::Long;
        }
        Cost::Long
    }

    /// Returns the number of shapes held.
    pub fn len(&self) -> usize {
        self.shapes.len()
    }

    /// Returns whether no shape has been seen.
    pub fn is_empty(&self) -> bool {
        self.shapes.is_empty()
    }

    fn write_key(&mut self, req: Request<'_>) {
        self.key.clear();
        self.key.push_str(req.service);
        self.key.push(' ');
        self.key.push_str(req.method);
        self.key.push(' ');
        write_shape(req.path, req.key_segment, &mut self.key);
    }

    fn get(&self, id: ShapeId) -> Option<&Shape> {
        let shape = self.shapes.get(id.index as usize)?;
        (shape.generation == id.generation).then_some(shape)
    }

    fn get_mut(&mut self, id: ShapeId) -> Option<&mut Shape> {
        let shape = self.shapes.get_mut(id.index as usize)?;
        (shape.generation == id.generation).then_some(shape)
    }

    fn bound_of(&self, mix: &Mix) -> Option<Duration> {
        let bound = mix.reference? * self.settings.long_ratio;
        Some(Duration::from_secs_f64(bound))
    }

    fn insert(&mut self, now: Duration, service: &str) -> u32 {
        let mix = self.mix_of(service);
        let mut shape = Shape {
            key: self.key.as_str().into(),
            generation: 0,
            mix,
            cost: Cost::Short,
            samples: 0,
            mean: 0.0,
            weight: 0.0,
            used: now,
            sampled: now,
        };
        let index = if self.shapes.len() < self.settings.capacity.max(1) {
            self.shapes.len()
        } else {
            self.coldest()
        };
        let key = shape.key.clone();
        if let Some(old) = self.shapes.get_mut(index) {
            self.by_key.remove(&old.key);
            shape.generation = old.generation.wrapping_add(1);
            *old = shape;
        } else {
            self.shapes.push(shape);
        }
        self.by_key.insert(key, index as u32);
        index as u32
    }

    /// Returns the shape with the fewest recent requests, the oldest among equals.
    ///
    /// Shapes that are seen once therefore replace each other and not those in regular use.
    fn coldest(&self) -> usize {
        let cold = |a: &Shape, b: &Shape| {
            a.weight
                .total_cmp(&b.weight)
                .then_with(|| a.used.cmp(&b.used))
        };
        let order = |&a: &usize, &b: &usize| cold(&self.shapes[a], &self.shapes[b]);
        (0..self.shapes.len()).min_by(order).unwrap_or(0)
    }

    fn mix_of(&mut self, service: &str) -> usize {
        let known = self.mixes.iter().position(|mix| *mix.service == *service);
        known.unwrap_or_else(|| {
            self.mixes.push(Mix {
                service: service.into(),
                reference: None,
                until_review: 0,
            });
            self.mixes.len() - 1
        })
    }

    /// Counts a finished request, and reviews the service's reference when it is due.
    fn count(&mut self, mix: usize) {
        if self.mixes[mix].until_review > 0 && self.mixes[mix].reference.is_some() {
            self.mixes[mix].until_review -= 1;
            return;
        }
        self.mixes[mix].until_review = REVIEW_EVERY;
        self.mixes[mix].reference = self.reference(mix);
        for index in 0..self.shapes.len() {
            if self.shapes[index].mix == mix {
                self.shapes[index].weight *= 0.5;
                self.reclassify(index);
            }
        }
    }

    /// Returns the smoothed time of the shape at [`Settings::reference_share`] of the requests.
    fn reference(&self, mix: usize) -> Option<f64> {
        let known = |shape: &&Shape| shape.mix == mix && shape.samples >= self.settings.min_samples;
        let mut times: Vec<(f64, f64)> = self
            .shapes
            .iter()
            .filter(known)
            .map(|shape| (shape.mean, shape.weight))
            .collect();
        times.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = times.iter().map(|(_, weight)| weight).sum();
        let mut seen = 0.0;
        for (mean, weight) in &times {
            seen += weight;
            if seen >= self.settings.reference_share * total {
                return Some(*mean);
            }
        }
        None
    }

    /// Moves a known shape across the hysteresis band.
    fn reclassify(&mut self, index: usize) {
        let shape = &mut self.shapes[index];
        let Some(reference) = self.mixes[shape.mix].reference else {
            return;
        };
        if shape.samples < self.settings.min_samples {
            return;
        }
        if shape.mean > reference * self.settings.long_ratio {
            shape.cost = Cost::Long;
        } else if shape.mean < reference * self.settings.short_ratio {
            shape.cost = Cost::Short;
        }
    }
}

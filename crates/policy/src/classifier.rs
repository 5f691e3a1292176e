//! Cost classes: which requests are short and which are long, learned from their service times.
//!
//! Each shape (service, method, path shape) keeps a smoothed service time. A shape is long when
//! that time is many times the reference of its service, which is the time of the cheapest shapes
//! that together make up a set part of its requests. The reference follows the cheap work, so a
//! few long requests do not move it.
//!
//! A shape that is not known yet counts like its siblings, the shapes that differ only in the last
//! segment, if most of their requests are long, and is short otherwise. Without that, a service
//! that names its downloads in words would start each of them as short.
//!
//! Invariants: the table never holds more than [`Settings::capacity`] shapes; a shape changes
//! class only when it crosses the ratio on the far side of the hysteresis band.

use std::collections::HashMap;
use std::time::Duration;

use crate::shape::write_shape;

/// Requests between two reviews of a service's reference time.
const REFERENCE_INTERVAL_REQUESTS: u32 = 64;

/// Cost class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostClass {
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
pub struct Classification {
    /// Shape that the request belongs to.
    pub shape: ShapeId,
    /// Cost class of the shape.
    pub cost: CostClass,
    /// Expected service time; `None` while the shape has too few samples, or only old ones.
    pub expected: Option<ExpectedTime>,
}

/// Expected service time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Smoothed mean.
    pub mean: Duration,
    /// Time that most requests of the shape stay below: the mean and twice the mean deviation.
    pub upper: Duration,
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
    /// Whether the path is the prefix of a route, whose requests are all alike. It is then taken as it is:
    /// two prefixes may differ only in what looks like an identifier.
    pub is_route: bool,
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
    pub max_age: Duration,
    /// Whether an unknown shape counts like its siblings.
    pub use_siblings: bool,
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
            max_age: Duration::from_secs(15),
            use_siblings: true,
        }
    }
}

/// Bounded table of learned shapes.
#[derive(Debug)]
pub struct Classifier {
    settings: Settings,
    by_key: HashMap<Box<str>, u32>,
    shapes: Vec<Shape>,
    services: Vec<ServiceStats>,
    /// Scratch space for the key of a look-up.
    key: String,
    /// Changes of class so far.
    class_changes: u64,
}

#[derive(Debug)]
struct Shape {
    key: Box<str>,
    generation: u32,
    service_index: usize,
    /// Entry that stands for this shape and its siblings.
    sibling_group: Option<ShapeId>,
    /// Whether this is such an entry.
    is_sibling_group: bool,
    cost: CostClass,
    samples: u32,
    /// Smoothed service time and its smoothed mean deviation, in seconds.
    mean: f64,
    deviation: f64,
    /// Recent requests; halved at each review.
    weight: f64,
    last_used: Duration,
    last_sampled: Duration,
}

/// What a service's requests have in common.
#[derive(Debug)]
struct ServiceStats {
    service: Box<str>,
    /// Reference service time in seconds, once a shape is known.
    reference: Option<f64>,
    until_update: u32,
}

impl Classifier {
    /// Makes an empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            by_key: HashMap::new(),
            shapes: Vec::new(),
            services: Vec::new(),
            key: String::new(),
            class_changes: 0,
        }
    }

    /// Returns the class of a request, and learns its shape if it is new.
    ///
    /// A new shape is short. A full table evicts the shape with the fewest recent requests.
    pub fn classify(&mut self, now: Duration, req: Request<'_>) -> Classification {
        self.write_key(req);
        let id = self.look_up(now, req.service);
        let known = self.is_known(id);
        if !known && self.settings.use_siblings {
            self.join_siblings(now, id, req.service);
        }
        Classification {
            shape: id,
            cost: self.cost(id).unwrap_or(CostClass::Short),
            expected: self.expected(now, id),
        }
    }

    /// Returns the present class of a shape; `None` when it was evicted.
    pub fn cost(&self, id: ShapeId) -> Option<CostClass> {
        let shape = self.get(id)?;
        if shape.cost == CostClass::Long || self.is_known(id) {
            return Some(shape.cost);
        }
        let siblings = shape.sibling_group.and_then(|siblings| self.get(siblings));
        Some(siblings.map_or(CostClass::Short, |siblings| siblings.cost))
    }

    /// Returns the expected service time of a shape, if it is known and not outdated.
    pub fn expected(&self, now: Duration, id: ShapeId) -> Option<ExpectedTime> {
        let shape = self.get(id)?;
        let fresh = now.saturating_sub(shape.last_sampled) <= self.settings.max_age;
        (self.is_known(id) && fresh).then(|| ExpectedTime {
            mean: Duration::from_secs_f64(shape.mean),
            upper: Duration::from_secs_f64(shape.mean + 2.0 * shape.deviation),
        })
    }

    /// Returns the running time above which a request of the service counts as long; `None` until
    /// a shape of the service is known.
    pub fn long_threshold(&self, service: &str) -> Option<Duration> {
        let stats = self
            .services
            .iter()
            .find(|stats| *stats.service == *service)?;
        self.threshold_of(stats)
    }

    /// Returns the same bound for the service of a shape.
    pub fn long_threshold_of(&self, id: ShapeId) -> Option<Duration> {
        let shape = self.get(id)?;
        self.threshold_of(&self.services[shape.service_index])
    }

    /// Records the service time of a finished request. Stale handles are ignored.
    pub fn record(&mut self, now: Duration, id: ShapeId, service_time: Duration) {
        let Some(shape) = self.get(id) else {
            return;
        };
        let (service_index, sibling_group) = (shape.service_index, shape.sibling_group);
        self.sample(now, id, service_time);
        // With its samples cut off at twice the bound, the mean of the siblings passes the bound
        // when about half of the requests do, however long those are.
        if let (Some(group), Some(threshold)) = (sibling_group, self.long_threshold_of(id)) {
            self.sample(now, group, service_time.min(2 * threshold));
        }
        self.count(service_index);
    }

    /// Notes that a request has been running for `elapsed`, and returns the class that it counts
    /// as from now on.
    ///
    /// A shape that is not known yet becomes long as soon as one of its requests passes the bound,
    /// before any has finished.
    pub fn classify_running(&mut self, id: ShapeId, elapsed: Duration) -> CostClass {
        let Some(threshold) = self.long_threshold_of(id) else {
            return CostClass::Short;
        };
        if elapsed <= threshold {
            return CostClass::Short;
        }
        let min_samples = self.settings.min_samples;
        if let Some(shape) = self.get_mut(id)
            && shape.samples < min_samples
            && shape.cost == CostClass::Short
        {
            shape.cost = CostClass::Long;
            self.class_changes += 1;
        }
        CostClass::Long
    }

    /// Returns how often a shape has changed class, so that a queue sees when to look again.
    pub fn class_changes(&self) -> u64 {
        self.class_changes
    }

    /// Returns the number of shapes held.
    pub fn len(&self) -> usize {
        self.shapes.len()
    }

    /// Returns whether no shape has been seen.
    pub fn is_empty(&self) -> bool {
        self.shapes.is_empty()
    }

    fn sample(&mut self, now: Duration, id: ShapeId, service_time: Duration) {
        let smoothing = self.settings.smoothing;
        let Some(shape) = self.get_mut(id) else {
            return;
        };
        shape.samples = shape.samples.saturating_add(1);
        shape.last_sampled = now;
        // The first samples count alike, so that the start does not linger.
        let weight = smoothing.max(1.0 / f64::from(shape.samples));
        let error = service_time.as_secs_f64() - shape.mean;
        shape.mean += weight * error;
        if shape.samples > 1 {
            shape.deviation += weight * (error.abs() - shape.deviation);
        }
        self.reclassify(id.index as usize);
    }

    fn is_known(&self, id: ShapeId) -> bool {
        let samples = self.get(id).map_or(0, |shape| shape.samples);
        samples >= self.settings.min_samples
    }

    /// Finds the entry of the key that was written last, or makes it.
    fn look_up(&mut self, now: Duration, service: &str) -> ShapeId {
        let index = match self.by_key.get(self.key.as_str()) {
            Some(&index) => index,
            None => self.insert(now, service),
        };
        let shape = &mut self.shapes[index as usize];
        shape.last_used = now;
        shape.weight += 1.0;
        ShapeId {
            index,
            generation: shape.generation,
        }
    }

    /// Points a shape at the entry of its siblings, whose key ends in `/+`.
    fn join_siblings(&mut self, now: Duration, id: ShapeId, service: &str) {
        let Some(end) = self.key.rfind('/') else {
            return;
        };
        self.key.truncate(end);
        self.key.push_str("/+");
        let siblings = self.look_up(now, service);
        self.shapes[siblings.index as usize].is_sibling_group = true;
        if let Some(shape) = self.get_mut(id) {
            shape.sibling_group = Some(siblings);
        }
    }

    fn write_key(&mut self, req: Request<'_>) {
        self.key.clear();
        self.key.push_str(req.service);
        self.key.push(' ');
        self.key.push_str(req.method);
        self.key.push(' ');
        if req.is_route {
            self.key.push_str(req.path);
        } else {
            write_shape(req.path, req.key_segment, &mut self.key);
        }
    }

    fn get(&self, id: ShapeId) -> Option<&Shape> {
        let shape = self.shapes.get(id.index as usize)?;
        (shape.generation == id.generation).then_some(shape)
    }

    fn get_mut(&mut self, id: ShapeId) -> Option<&mut Shape> {
        let shape = self.shapes.get_mut(id.index as usize)?;
        (shape.generation == id.generation).then_some(shape)
    }

    fn threshold_of(&self, stats: &ServiceStats) -> Option<Duration> {
        let threshold = stats.reference? * self.settings.long_ratio;
        Some(Duration::from_secs_f64(threshold))
    }

    fn insert(&mut self, now: Duration, service: &str) -> u32 {
        let service_index = self.service_index_of(service);
        let mut shape = Shape {
            key: self.key.as_str().into(),
            generation: 0,
            service_index,
            sibling_group: None,
            is_sibling_group: false,
            cost: CostClass::Short,
            samples: 0,
            mean: 0.0,
            deviation: 0.0,
            weight: 0.0,
            last_used: now,
            last_sampled: now,
        };
        let index = if self.shapes.len() < self.settings.capacity.max(1) {
            self.shapes.len()
        } else {
            self.eviction_candidate()
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
    fn eviction_candidate(&self) -> usize {
        let cold = |a: &Shape, b: &Shape| {
            a.weight
                .total_cmp(&b.weight)
                .then_with(|| a.last_used.cmp(&b.last_used))
        };
        let order = |&a: &usize, &b: &usize| cold(&self.shapes[a], &self.shapes[b]);
        (0..self.shapes.len()).min_by(order).unwrap_or(0)
    }

    fn service_index_of(&mut self, service: &str) -> usize {
        let known = self
            .services
            .iter()
            .position(|stats| *stats.service == *service);
        known.unwrap_or_else(|| {
            self.services.push(ServiceStats {
                service: service.into(),
                reference: None,
                until_update: 0,
            });
            self.services.len() - 1
        })
    }

    /// Counts a finished request, and reviews the service's reference when it is due.
    fn count(&mut self, service_index: usize) {
        if self.services[service_index].until_update > 0
            && self.services[service_index].reference.is_some()
        {
            self.services[service_index].until_update -= 1;
            return;
        }
        self.services[service_index].until_update = REFERENCE_INTERVAL_REQUESTS;
        self.services[service_index].reference = self.reference(service_index);
        for index in 0..self.shapes.len() {
            if self.shapes[index].service_index == service_index {
                self.shapes[index].weight *= 0.5;
                self.reclassify(index);
            }
        }
    }

    /// Returns the smoothed time of the shape at [`Settings::reference_share`] of the requests.
    fn reference(&self, service_index: usize) -> Option<f64> {
        let known = |shape: &&Shape| {
            let counts = shape.service_index == service_index && !shape.is_sibling_group;
            counts && shape.samples >= self.settings.min_samples
        };
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
        let Some(reference) = self.services[shape.service_index].reference else {
            return;
        };
        if shape.samples < self.settings.min_samples {
            return;
        }
        let cost = if shape.mean > reference * self.settings.long_ratio {
            CostClass::Long
        } else if shape.mean < reference * self.settings.short_ratio {
            CostClass::Short
        } else {
            return;
        };
        self.class_changes += u64::from(cost != shape.cost);
        shape.cost = cost;
    }
}

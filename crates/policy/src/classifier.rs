//! Classification of requests as short or long by their measured service times.
//!
//! The classifier keeps a smoothed service time per request shape: the combination of service,
//! method and path shape. A shape is long if its service time is many times the reference time of
//! its service. The reference time is a low quantile of the service times, weighted by recent
//! requests, so that a few long requests do not change it.
//!
//! A shape is known once it has [`Settings::min_samples`] samples. An unknown shape is long if most
//! requests to its siblings are long, and short otherwise. Siblings are shapes that differ only in
//! the last path segment. Without this rule, each download under a name of its own would first
//! count as short.
//!
//! Invariants:
//! - The table holds at most [`Settings::capacity`] shapes.
//! - A known shape becomes long only above [`Settings::long_ratio`], and short again only below
//!   [`Settings::short_ratio`].

use std::collections::HashMap;
use std::time::Duration;

use crate::shape::write_shape;

/// Finished requests between two updates of a service's reference time.
const REFERENCE_INTERVAL_REQUESTS: u32 = 64;

/// Cost class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostClass {
    /// Takes about as long as most requests of the service.
    Short,
    /// Takes many times as long as most requests of the service.
    Long,
}

/// Handle of a shape. It becomes stale when the shape is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShapeId {
    index: u32,
    generation: u32,
}

/// Expected cost of a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Classification {
    /// Shape of the request.
    pub shape: ShapeId,
    /// Cost class of the shape.
    pub cost: CostClass,
    /// Expected service time; `None` if the shape has too few or only outdated samples.
    pub expected: Option<ExpectedTime>,
}

/// Expected service time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Smoothed mean service time.
    pub mean: Duration,
    /// Upper estimate that most requests stay below: the mean plus twice the mean deviation.
    pub upper: Duration,
}

/// Parts of a request that determine its shape.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Request path, with or without the query.
    pub path: &'a str,
    /// Position, counted from 1, of the path segment that contains the shard key.
    pub key_segment: Option<usize>,
    /// Whether `path` is the prefix of a route. All requests of a route have one shape, and the
    /// prefix is not generalised: two prefixes may differ only in a segment that looks like an
    /// identifier.
    pub is_route: bool,
}

/// Settings of the classifier.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of shapes, including the combined entries of siblings.
    pub capacity: usize,
    /// Weight of a new sample in the smoothed service time, above 0 and at most 1.
    pub smoothing: f64,
    /// Multiple of the reference time above which a shape becomes long.
    pub long_ratio: f64,
    /// Multiple of the reference time below which a long shape becomes short again.
    pub short_ratio: f64,
    /// Quantile of the service times that defines the reference time of a service.
    pub reference_share: f64,
    /// Minimum number of samples of a known shape.
    pub min_samples: u32,
    /// Age after which a smoothed service time is not used as an estimate. Requests of a shape that
    /// were refused because of its expected time are then admitted and measured again.
    pub max_age: Duration,
    /// Whether an unknown shape takes the class of its siblings.
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

/// Bounded table of shapes with their measured service times.
#[derive(Debug)]
pub struct Classifier {
    settings: Settings,
    by_key: HashMap<Box<str>, u32>,
    shapes: Vec<Shape>,
    services: Vec<ServiceStats>,
    /// Key of the request that is being classified; kept to reuse its allocation.
    key: String,
    /// Number of changes of class so far.
    class_changes: u64,
}

#[derive(Debug)]
struct Shape {
    key: Box<str>,
    generation: u32,
    service_index: usize,
    /// Entry with the combined samples of this shape and its siblings.
    sibling_group: Option<ShapeId>,
    /// Whether this entry combines the samples of siblings.
    is_sibling_group: bool,
    cost: CostClass,
    samples: u32,
    /// Smoothed service time in seconds.
    mean_s: f64,
    /// Smoothed mean deviation of the service time in seconds.
    deviation_s: f64,
    /// Number of recent requests; halved at each update of the reference time.
    weight: f64,
    last_used: Duration,
    last_sampled: Duration,
}

/// Statistics of one service.
#[derive(Debug)]
struct ServiceStats {
    service: Box<str>,
    /// Reference time in seconds; `None` until a shape is known.
    reference_s: Option<f64>,
    /// Finished requests until the next update of the reference time.
    until_update: u32,
}

impl Classifier {
    /// Creates an empty table.
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

    /// Classifies a request, and inserts its shape if it is new.
    ///
    /// A full table evicts the shape with the fewest recent requests.
    pub fn classify(&mut self, now: Duration, req: Request<'_>) -> Classification {
        self.write_key(req);
        let id = self.get_or_insert(now, req.service);
        let known = self.is_known(id);
        if !known && self.settings.use_siblings {
            self.join_siblings(now, id, req.service);
        }
        Classification {
            shape: id,
            cost: self.cost(id).unwrap_or(CostClass::Short),
            expected: self.expected_time(now, id),
        }
    }

    /// Returns the current class of a shape; `None` if it was evicted.
    pub fn cost(&self, id: ShapeId) -> Option<CostClass> {
        let shape = self.get(id)?;
        if shape.cost == CostClass::Long || self.is_known(id) {
            return Some(shape.cost);
        }
        let siblings = shape.sibling_group.and_then(|siblings| self.get(siblings));
        Some(siblings.map_or(CostClass::Short, |siblings| siblings.cost))
    }

    /// Returns the expected service time of a shape; `None` if it is unknown or outdated.
    pub fn expected_time(&self, now: Duration, id: ShapeId) -> Option<ExpectedTime> {
        let shape = self.get(id)?;
        let is_recent = now.saturating_sub(shape.last_sampled) <= self.settings.max_age;
        (self.is_known(id) && is_recent).then(|| ExpectedTime {
            mean: Duration::from_secs_f64(shape.mean_s),
            upper: Duration::from_secs_f64(shape.mean_s + 2.0 * shape.deviation_s),
        })
    }

    /// Returns the running time above which a request of a service counts as long; `None` until a
    /// shape of the service is known.
    pub fn long_threshold(&self, service: &str) -> Option<Duration> {
        let stats = self
            .services
            .iter()
            .find(|stats| *stats.service == *service)?;
        self.threshold_of(stats)
    }

    /// Returns the [`Classifier::long_threshold`] of the service of a shape.
    pub fn long_threshold_of(&self, id: ShapeId) -> Option<Duration> {
        let shape = self.get(id)?;
        self.threshold_of(&self.services[shape.service_index])
    }

    /// Records the service time of a finished request. A stale handle is ignored.
    pub fn record(&mut self, now: Duration, id: ShapeId, service_time: Duration) {
        let Some(shape) = self.get(id) else {
            return;
        };
        let (service_index, sibling_group) = (shape.service_index, shape.sibling_group);
        self.add_sample(now, id, service_time);
        // Samples are capped at twice the threshold. The mean of the siblings then exceeds the
        // threshold when about half of the requests do, regardless of how long these take.
        if let (Some(group), Some(threshold)) = (sibling_group, self.long_threshold_of(id)) {
            self.add_sample(now, group, service_time.min(2 * threshold));
        }
        self.count_finished(service_index);
    }

    /// Returns the class of a request that has been running for `elapsed`.
    ///
    /// An unknown shape becomes long as soon as one of its requests exceeds the threshold, even
    /// before any of them has finished.
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

    /// Returns the number of changes of class so far. A change tells a queue to reclassify its
    /// entries.
    pub fn class_changes(&self) -> u64 {
        self.class_changes
    }

    /// Returns the number of entries: shapes and combined entries of siblings.
    pub fn len(&self) -> usize {
        self.shapes.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.shapes.is_empty()
    }

    fn add_sample(&mut self, now: Duration, id: ShapeId, service_time: Duration) {
        let smoothing = self.settings.smoothing;
        let Some(shape) = self.get_mut(id) else {
            return;
        };
        shape.samples = shape.samples.saturating_add(1);
        shape.last_sampled = now;
        // The first samples have equal weight, so that the very first one does not dominate.
        let weight = smoothing.max(1.0 / f64::from(shape.samples));
        let error_s = service_time.as_secs_f64() - shape.mean_s;
        shape.mean_s += weight * error_s;
        if shape.samples > 1 {
            shape.deviation_s += weight * (error_s.abs() - shape.deviation_s);
        }
        self.reclassify(id.index as usize);
    }

    fn is_known(&self, id: ShapeId) -> bool {
        let samples = self.get(id).map_or(0, |shape| shape.samples);
        samples >= self.settings.min_samples
    }

    /// Returns the entry for `self.key`, which is inserted if necessary, and counts a request for
    /// it.
    fn get_or_insert(&mut self, now: Duration, service: &str) -> ShapeId {
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

    /// Links a shape to the entry of its siblings. The key of that entry ends in `/+`.
    fn join_siblings(&mut self, now: Duration, id: ShapeId, service: &str) {
        let Some(end) = self.key.rfind('/') else {
            return;
        };
        self.key.truncate(end);
        self.key.push_str("/+");
        let siblings = self.get_or_insert(now, service);
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
        let threshold_s = stats.reference_s? * self.settings.long_ratio;
        Some(Duration::from_secs_f64(threshold_s))
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
            mean_s: 0.0,
            deviation_s: 0.0,
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

    /// Returns the index of the shape with the fewest recent requests; of several, the least
    /// recently used one.
    ///
    /// Shapes that are requested once therefore replace each other, not those in regular use.
    fn eviction_candidate(&self) -> usize {
        let by_recent_use = |a: &Shape, b: &Shape| {
            a.weight
                .total_cmp(&b.weight)
                .then_with(|| a.last_used.cmp(&b.last_used))
        };
        let order = |&a: &usize, &b: &usize| by_recent_use(&self.shapes[a], &self.shapes[b]);
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
                reference_s: None,
                until_update: 0,
            });
            self.services.len() - 1
        })
    }

    /// Counts a finished request, and updates the service's reference time at intervals.
    fn count_finished(&mut self, service_index: usize) {
        if self.services[service_index].until_update > 0
            && self.services[service_index].reference_s.is_some()
        {
            self.services[service_index].until_update -= 1;
            return;
        }
        self.services[service_index].until_update = REFERENCE_INTERVAL_REQUESTS;
        self.services[service_index].reference_s = self.compute_reference_s(service_index);
        for index in 0..self.shapes.len() {
            if self.shapes[index].service_index == service_index {
                self.shapes[index].weight *= 0.5;
                self.reclassify(index);
            }
        }
    }

    /// Computes the reference time of a service, the [`Settings::reference_share`] quantile.
    fn compute_reference_s(&self, service_index: usize) -> Option<f64> {
        let known = |shape: &&Shape| {
            let is_eligible = shape.service_index == service_index && !shape.is_sibling_group;
            is_eligible && shape.samples >= self.settings.min_samples
        };
        let mut times: Vec<(f64, f64)> = self
            .shapes
            .iter()
            .filter(known)
            .map(|shape| (shape.mean_s, shape.weight))
            .collect();
        times.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = times.iter().map(|(_, weight)| weight).sum();
        let mut cumulative = 0.0;
        for (mean_s, weight) in &times {
            cumulative += weight;
            if cumulative >= self.settings.reference_share * total {
                return Some(*mean_s);
            }
        }
        None
    }

    /// Updates the class of a known shape. Between the two ratios it keeps its class.
    fn reclassify(&mut self, index: usize) {
        let shape = &mut self.shapes[index];
        let Some(reference_s) = self.services[shape.service_index].reference_s else {
            return;
        };
        if shape.samples < self.settings.min_samples {
            return;
        }
        let cost = if shape.mean_s > reference_s * self.settings.long_ratio {
            CostClass::Long
        } else if shape.mean_s < reference_s * self.settings.short_ratio {
            CostClass::Short
        } else {
            return;
        };
        self.class_changes += u64::from(cost != shape.cost);
        shape.cost = cost;
    }
}

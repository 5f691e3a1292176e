//! Smoothed sizes of the answers to each shape of requests.

use std::collections::HashMap;

use crate::classifier::ShapeId;

/// Weight of a new answer in the smoothed size.
const WEIGHT: f64 = 0.1;

/// Shapes whose sizes are kept.
const MAX_SHAPES: usize = 1_024;

/// Sizes in bytes, by shape.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    means: HashMap<ShapeId, f64>,
}

impl ResponseSizes {
    /// Returns the expected size of an answer in bytes; 0 while none was seen.
    pub fn expected(&self, shape: ShapeId) -> f64 {
        self.means.get(&shape).copied().unwrap_or(0.0)
    }

    /// Takes the size of a whole answer.
    pub fn record(&mut self, shape: ShapeId, bytes: u64) {
        if self.means.len() >= MAX_SHAPES && !self.means.contains_key(&shape) {
            self.means.clear();
        }
        let mean = self.means.entry(shape).or_insert(bytes as f64);
        *mean += WEIGHT * (bytes as f64 - *mean);
    }
}

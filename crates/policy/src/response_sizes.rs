//! Smoothed response sizes by request shape.

use std::collections::HashMap;

use crate::classifier::ShapeId;

/// Weight of a new sample in the smoothed size.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Maximum number of shapes.
const MAX_SHAPES: usize = 1_024;

/// Bounded table of smoothed response sizes.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    /// Smoothed size in bytes, by shape.
    mean_bytes: HashMap<ShapeId, f64>,
}

impl ResponseSizes {
    /// Returns the expected size of a response in bytes; 0 without a sample.
    pub fn expected_bytes(&self, shape: ShapeId) -> f64 {
        self.mean_bytes.get(&shape).copied().unwrap_or(0.0)
    }

    /// Records the size of a complete response. A full table is cleared before a new shape is
    /// inserted.
    pub fn record(&mut self, shape: ShapeId, bytes: u64) {
        if self.mean_bytes.len() >= MAX_SHAPES && !self.mean_bytes.contains_key(&shape) {
            self.mean_bytes.clear();
        }
        let mean = self.mean_bytes.entry(shape).or_insert(bytes as f64);
        *mean += SAMPLE_WEIGHT * (bytes as f64 - *mean);
    }
}

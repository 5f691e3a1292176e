//! Measurements on loopback fleets. They write CSV files and print summary lines.

pub mod config;
pub mod control;
pub mod unavailable;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use crate::fleet::{Error, Result};

/// Maximum wait for a fleet to become ready. Only ends a measurement that hangs; measured times are
/// not limited by it.
pub const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// CSV file that is written line by line, so that an aborted run keeps its lines.
#[derive(Debug)]
pub struct Csv(File);

impl Csv {
    /// Creates the file and writes the header line.
    ///
    /// # Errors
    ///
    /// If the directory or file cannot be created.
    pub fn create(dir: &Path, name: &str, header: &str) -> Result<Self> {
        let path = dir.join(name);
        let io_error = |e| Error::Io(path.display().to_string(), e);
        std::fs::create_dir_all(dir).map_err(io_error)?;
        let mut csv = Self(File::create(&path).map_err(io_error)?);
        csv.write_line(header)?;
        Ok(csv)
    }

    /// Appends a line.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write_line(&mut self, line: &str) -> Result<()> {
        writeln!(self.0, "{line}").map_err(|e| Error::Io("csv".into(), e))
    }
}

/// Median, 99th percentile and maximum of a set of values.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Percentiles {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub median: f64,
    /// 99th percentile by the nearest-rank method.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Percentiles {
    /// Summarises values. All fields are 0 if there are none.
    pub fn from_values(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let rank = (share * values.len() as f64).ceil() as usize;
            values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self {
            count: values.len(),
            median: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }
}

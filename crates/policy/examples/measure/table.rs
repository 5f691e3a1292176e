//! Table of results, written as CSV with one row per run and printed as medians over the seeds.

use std::fs;
use std::io;
use std::path::Path;

use crate::stats::median_and_range;

/// Result of one run.
#[derive(Debug, Clone)]
pub struct Row {
    /// Values of the case columns, such as policy and load.
    pub case: Vec<String>,
    /// Seed of the run.
    pub seed: u64,
    /// Measured values.
    pub values: Vec<f64>,
}

/// Results of one experiment.
#[derive(Debug)]
pub struct Table {
    /// Names of the case columns.
    pub case: Vec<&'static str>,
    /// Names of the value columns.
    pub values: Vec<&'static str>,
    /// Results.
    pub rows: Vec<Row>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(case: &[&'static str], values: &[&'static str]) -> Self {
        Self {
            case: case.to_vec(),
            values: values.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Writes a CSV file with one row per run.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = format!("{},seed,{}\n", self.case.join(","), self.values.join(","));
        for row in &self.rows {
            let values: Vec<String> = row.values.iter().map(|v| format!("{v:.4}")).collect();
            let line = format!("{},{},{}\n", row.case.join(","), row.seed, values.join(","));
            text.push_str(&line);
        }
        fs::write(path, text)
    }

    /// Prints the median, minimum and maximum of each case as a Markdown table.
    pub fn print(&self) {
        println!(
            "| {} | {} |",
            self.case.join(" | "),
            self.values.join(" | ")
        );
        println!("|{}", "---|".repeat(self.case.len() + self.values.len()));
        for case in self.cases() {
            let rows: Vec<&Row> = self.rows.iter().filter(|row| row.case == case).collect();
            let cell = |column| {
                let values: Vec<f64> = rows.iter().map(|row| row.values[column]).collect();
                let (median, min, max) = median_and_range(&values);
                format!(
                    "{} ({}..{})",
                    format_value(median),
                    format_value(min),
                    format_value(max)
                )
            };
            let cells: Vec<String> = (0..self.values.len()).map(cell).collect();
            println!("| {} | {} |", case.join(" | "), cells.join(" | "));
        }
    }

    fn cases(&self) -> Vec<Vec<String>> {
        let mut cases = Vec::new();
        for row in &self.rows {
            if !cases.contains(&row.case) {
                cases.push(row.case.clone());
            }
        }
        cases
    }
}

fn format_value(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

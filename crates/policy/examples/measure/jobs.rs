//! Parallel execution of independent simulations.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::table::{Row, Table};

/// Number of threads.
const THREADS: usize = 3;

/// One run of a case with a seed.
pub struct Job<'a> {
    /// Values of the case columns.
    pub case: Vec<String>,
    /// Seed of the run.
    pub seed: u64,
    /// Function that returns the measured values of a row.
    pub measure: Box<dyn Fn(u64) -> Vec<f64> + Send + Sync + 'a>,
}

/// Runs all jobs, and appends their rows to the table in the order of the jobs.
pub fn run(jobs: &[Job<'_>], table: &mut Table) {
    let next = AtomicUsize::new(0);
    let rows: Mutex<Vec<(usize, Row)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    let row = Row {
                        case: job.case.clone(),
                        seed: job.seed,
                        values: (job.measure)(job.seed),
                    };
                    rows.lock().expect("no job panicked").push((index, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no job panicked");
    rows.sort_by_key(|(index, _)| *index);
    table.rows.extend(rows.into_iter().map(|(_, row)| row));
}

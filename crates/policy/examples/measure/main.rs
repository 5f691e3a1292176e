//! Measures the request policy in virtual time, and the processor time of its decisions.
//!
//! Usage: `cargo run --release -p masticdeal-policy --example measure -- EXPERIMENT DIRECTORY`
//!
//! Writes `DIRECTORY/policy-EXPERIMENT.csv` with one row per run. Prints the median, minimum and
//! maximum over the seeds.

mod cost;
mod events;
mod fleet;
mod jobs;
mod mix;
mod request;
mod scenario;
mod sim;
mod stats;
mod table;

use std::path::PathBuf;
use std::process::ExitCode;

use mix::Paths;
use scenario::DEADLINES_S;

/// Seeds of the runs. All policies receive the same arrivals for a given seed.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// Deadlines of short and long requests in seconds, both the default of a service.
const DEFAULT_DEADLINES_S: (f64, f64) = (2.0, 2.0);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [experiment, directory] = args.as_slice() else {
        eprintln!("usage: measure EXPERIMENT DIRECTORY");
        return ExitCode::FAILURE;
    };
    let table = match experiment.as_str() {
        "mix" => mix::constant(&SEEDS, Paths::Known, DEADLINES_S),
        "tight" => mix::constant(&SEEDS, Paths::Known, DEFAULT_DEADLINES_S),
        "unseen" => mix::constant(&SEEDS, Paths::Unseen, DEADLINES_S),
        "speeds" => fleet::speeds(&SEEDS),
        "lying" => fleet::lying(&SEEDS),
        "ejection" => fleet::ejection(&SEEDS),
        "retries" => fleet::retries(&SEEDS),
        "cost" => cost::measure(&SEEDS),
        "start" => mix::start(&SEEDS),
        "flood" => mix::flood(&SEEDS),
        "swing" => mix::swing(&SEEDS),
        other => {
            eprintln!("no experiment `{other}`");
            return ExitCode::FAILURE;
        }
    };
    table.print();
    let path = PathBuf::from(directory).join(format!("policy-{experiment}.csv"));
    if let Err(error) = table.write(&path) {
        eprintln!("{}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

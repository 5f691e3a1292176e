//! Runs the measurements of [`masticdeal_bench::measure`] from the command line.

use std::path::PathBuf;
use std::process::ExitCode;

use masticdeal_bench::fleet::{Result, termination_requested};
use masticdeal_bench::measure::{config, control, unavailable};

/// Measurements on fleets on loopback.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    measurement: Measurement,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Measurement {
    Unavailable(Unavailable),
    Control(Control),
    Config(Config),
}

/// Time that keys are unavailable after a loss.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "unavailable")]
struct Unavailable {
    /// tries per kind of loss (default 20)
    #[argh(option, default = "20")]
    tries: usize,
    /// targets check grants
    #[argh(switch)]
    checks_grants: bool,
    /// only kinds of loss whose name contains this (default: all)
    #[argh(option, default = "String::new()")]
    only: String,
    /// folder of the results (default docs/measurements)
    #[argh(option, default = "PathBuf::from(\"docs/measurements\")")]
    out: PathBuf,
}

/// Cost of control in the steady state.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// sizes of the fleets, separated by commas (default 5,10,20,40)
    #[argh(option, default = "\"5,10,20,40\".into()")]
    sizes: String,
    /// shards of the tables, separated by commas (default 1024)
    #[argh(option, default = "\"1024\".into()")]
    shards: String,
    /// length of each measurement in seconds (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// folder of the results (default docs/measurements)
    #[argh(option, default = "PathBuf::from(\"docs/measurements\")")]
    out: PathBuf,
}

/// Time until a configuration is in force everywhere.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "config")]
struct Config {
    /// sizes of the fleets, separated by commas (default 5,10,20,40)
    #[argh(option, default = "\"5,10,20,40\".into()")]
    sizes: String,
    /// changes per size and trouble (default 20)
    #[argh(option, default = "20")]
    changes: usize,
    /// pairs of conflicting commands (default 100)
    #[argh(option, default = "100")]
    pairs: usize,
    /// folder of the results (default docs/measurements)
    #[argh(option, default = "PathBuf::from(\"docs/measurements\")")]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = tokio::select! {
        result = measure(&args.measurement) => result,
        () = termination_requested() => return ExitCode::FAILURE,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("measure: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(measurement: &Measurement) -> Result<()> {
    match measurement {
        Measurement::Unavailable(a) => {
            unavailable::run(&a.out, a.tries, a.checks_grants, &a.only).await
        }
        Measurement::Control(a) => {
            let (sizes, shards) = (parse_numbers(&a.sizes), parse_numbers(&a.shards));
            control::run(&a.out, &sizes, &shards, a.seconds).await
        }
        Measurement::Config(a) => {
            config::run(&a.out, &parse_numbers(&a.sizes), a.changes, a.pairs).await
        }
    }
}

/// Parses numbers separated by commas. Malformed ones are skipped.
fn parse_numbers<T: std::str::FromStr>(text: &str) -> Vec<T> {
    text.split(',').filter_map(|n| n.parse().ok()).collect()
}

//! Command-line tool of masticdeal.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    masticdeal::run(&args).into()
}

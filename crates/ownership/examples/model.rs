//! Long random runs of the lease cores (state machines). Run by hand in release mode.
//!
//! - `model hold FROM COUNT` runs one simulation per seed with every rule, and exits with 1 when a
//!   run violates an invariant.
//! - `model lives FROM COUNT` does the same with targets that report their incarnation.
//! - `model search RULE FROM COUNT` disables a rule such as `ReadBack`, and prints up to three
//!   seeds whose run violates an invariant then.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::ops::Range;
use std::process::ExitCode;

use masticdeal_ownership::lease::Rule;
use sim::seeds::{run_seed, run_seed_with_incarnations};

/// Every rule that can be disabled.
const RULES: [Rule; 15] = [
    Rule::CountFromSend,
    Rule::DriftBound,
    Rule::LessorNeedsLease,
    Rule::NamedLessors,
    Rule::FullLeaseOnNewTerm,
    Rule::NoOutsideRenewals,
    Rule::NoGrantAfterCommit,
    Rule::AllLessors,
    Rule::EndedLessorWait,
    Rule::ReleaseFirst,
    Rule::ReleaseEpoch,
    Rule::ReplaceWait,
    Rule::ReadBack,
    Rule::GrantEnd,
    Rule::CountFromSwapStart,
];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["hold", from, count] => run_seeds(seeds(from, count), false),
        ["lives", from, count] => run_seeds(seeds(from, count), true),
        ["search", rule, from, count] => search(rule, seeds(from, count)),
        _ => usage(),
    }
}

fn usage() -> ExitCode {
    eprintln!("usage: model hold|lives FROM COUNT | model search RULE FROM COUNT");
    ExitCode::from(2)
}

fn seeds(from: &str, count: &str) -> Range<u64> {
    let number = |text: &str| text.parse::<u64>().expect("a seed or a count is a number");
    number(from)..number(from) + number(count)
}

fn run_seeds(seeds: Range<u64>, report_incarnations: bool) -> ExitCode {
    let mut violations = 0;
    for seed in seeds.clone() {
        if let Err(violation) = run_seed_with_incarnations(seed, None, report_incarnations) {
            println!("seed {seed}: {violation:?}");
            violations += 1;
        }
    }
    println!("seeds {seeds:?}: {violations} broken");
    ExitCode::from(u8::from(violations > 0))
}

fn search(name: &str, seeds: Range<u64>) -> ExitCode {
    let Some(rule) = RULES.into_iter().find(|rule| format!("{rule:?}") == name) else {
        return usage();
    };
    let violations = seeds.filter_map(|seed| Some((seed, run_seed(seed, Some(rule)).err()?)));
    for (seed, violation) in violations.take(3) {
        println!("{name}: seed {seed}: {violation:?}");
    }
    ExitCode::SUCCESS
}

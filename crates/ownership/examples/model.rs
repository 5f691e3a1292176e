//! Long random runs of the lease core, by hand in release mode.
//!
//! `model hold FROM COUNT`: runs seeds with every rule and exits with 1 when an invariant broke.
//! `model lives FROM COUNT`: the same with targets that tell their lives apart.
//! `model search RULE FROM COUNT`: prints up to three seeds that break without the rule, such as
//! `ReadBack`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::ops::Range;
use std::process::ExitCode;

use masticdeal_ownership::lease::Rule;
use sim::seeds::{run_seed, run_seed_with};

/// Every rule that the core can leave out.
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
        ["hold", from, count] => hold(seeds(from, count), false),
        ["lives", from, count] => hold(seeds(from, count), true),
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

fn hold(seeds: Range<u64>, report_incarnations: bool) -> ExitCode {
    let mut broken = 0;
    for seed in seeds.clone() {
        if let Err(found) = run_seed_with(seed, None, report_incarnations) {
            println!("seed {seed}: {found:?}");
            broken += 1;
        }
    }
    println!("seeds {seeds:?}: {broken} broken");
    ExitCode::from(u8::from(broken > 0))
}

fn search(name: &str, seeds: Range<u64>) -> ExitCode {
    let Some(rule) = RULES.into_iter().find(|rule| format!("{rule:?}") == name) else {
        return usage();
    };
    let broken = seeds.filter_map(|seed| Some((seed, run_seed(seed, Some(rule)).err()?)));
    for (seed, found) in broken.take(3) {
        println!("{name}: seed {seed}: {found:?}");
    }
    ExitCode::SUCCESS
}

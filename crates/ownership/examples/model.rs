//! Long random runs of the lease cores (state machines). Run by hand in release mode.
//!
//! - `model hold FROM COUNT` runs one simulation per seed with every rule, and exits with 1 when a
//!   run violates an invariant.
//! - `model lives FROM COUNT` does the same with targets that report their incarnation.
//! - `model restored FROM COUNT` does the same with a store that is restored from a backup.
//! - `model minimise SEED` removes faults from a failing run of `restored` and prints the rest.
//! - `model search RULE FROM COUNT` disables a rule such as `ReadBack`, and prints up to three
//!   seeds whose run violates an invariant then.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::ops::Range;
use std::process::ExitCode;

use masticdeal_ownership::lease::Rule;
use sim::seeds::{
    restore_plan, run_restore_plan, run_seed, run_seed_with_incarnations, run_seed_with_restores,
};
use sim::{Broken, Fault};

/// Every rule that can be disabled.
const RULES: [Rule; 16] = [
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
    Rule::RestorationWait,
];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["hold", from, count] => run_seeds(seeds(from, count), |seed| run_seed(seed, None)),
        ["lives", from, count] => run_seeds(seeds(from, count), |seed| {
            run_seed_with_incarnations(seed, None, true)
        }),
        ["restored", from, count] => run_seeds(seeds(from, count), |seed| {
            run_seed_with_restores(seed, None)
        }),
        ["minimise", seed] => minimise(seed.parse().expect("a seed is a number")),
        ["search", rule, from, count] => search(rule, seeds(from, count)),
        _ => usage(),
    }
}

fn usage() -> ExitCode {
    eprintln!(
        "usage: model hold|lives|restored FROM COUNT | model minimise SEED | model search RULE FROM COUNT"
    );
    ExitCode::from(2)
}

fn seeds(from: &str, count: &str) -> Range<u64> {
    let number = |text: &str| text.parse::<u64>().expect("a seed or a count is a number");
    number(from)..number(from) + number(count)
}

fn run_seeds(seeds: Range<u64>, run: impl Fn(u64) -> Result<(), Broken>) -> ExitCode {
    let mut violations = 0;
    for seed in seeds.clone() {
        if let Err(violation) = run(seed) {
            println!("seed {seed}: {violation:?}");
            violations += 1;
        }
    }
    println!("seeds {seeds:?}: {violations} broken");
    ExitCode::from(u8::from(violations > 0))
}

/// Removes faults from the plan of a failing seed as long as the run fails.
fn minimise(seed: u64) -> ExitCode {
    let mut plan = restore_plan(seed);
    let mut index = 0;
    while index < plan.len() {
        let mut shorter: Vec<(u64, Fault)> = plan.clone();
        let (delay, _) = shorter.remove(index);
        if let Some(next) = shorter.get_mut(index) {
            next.0 += delay;
        }
        match run_restore_plan(seed, None, &shorter) {
            Err(_) => plan = shorter,
            Ok(()) => index += 1,
        }
    }
    for fault in &plan {
        println!("{fault:?}");
    }
    println!("{:?}", run_restore_plan(seed, None, &plan));
    ExitCode::SUCCESS
}

fn search(name: &str, seeds: Range<u64>) -> ExitCode {
    let Some(rule) = RULES.into_iter().find(|rule| format!("{rule:?}") == name) else {
        return usage();
    };
    // Only a run with restores can violate the rule of the restoration.
    let run = match rule {
        Rule::RestorationWait => run_seed_with_restores,
        _ => run_seed,
    };
    let violations = seeds.filter_map(|seed| Some((seed, run(seed, Some(rule)).err()?)));
    for (seed, violation) in violations.take(3) {
        println!("{name}: seed {seed}: {violation:?}");
    }
    ExitCode::SUCCESS
}

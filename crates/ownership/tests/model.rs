//! Random runs of several lease cores against fakes of the platform, the network, clocks,
//! processes and targets, with every invariant checked after each step.

mod fake;

use fake::{Broken, Fault, Setup, Step, World, ms};
use masticdeal_ownership::lease::{CoreSettings, Rule};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// A world whose clocks deviate by up to 5%, with the drift bound set to match.
fn setup(vms: usize, without: Option<Rule>) -> Setup {
    let base = Setup::default();
    Setup {
        settings: CoreSettings {
            drift_ppm: 50_000,
            take_back: ms(400),
            steady: ms(2_000),
            without,
            ..CoreSettings::default()
        },
        places: base.places[..vms].to_vec(),
        drift: 0.05,
        drop: 0.005,
        ..base
    }
}

/// Runs a plan, lets everything recover, and expects every shard to be served again.
fn run(setup: Setup, seed: u64, plan: &[(u64, Fault)]) -> Result<(), Broken> {
    let shards = setup.shards as usize;
    let mut world = World::new(setup, seed);
    world.run(ms(1_500))?;
    let mut at = 0;
    for (delay, fault) in plan {
        at += delay;
        world.at(ms(at), Step::Fault(fault.clone()));
    }
    world.run(ms(at + 3_000))?;
    world.heal();
    world.run(ms(8_000))?;
    world.confirm_lost();
    world.run(ms(8_000))?;
    let served = world.served();
    if served != shards {
        world.violation(format!(
            "{served} of {shards} shards are served after recovery"
        ));
    }
    world.broken.map_or(Ok(()), Err)
}

/// Draws the plan that belongs to a seed.
fn draw(seed: u64, vms: usize) -> Vec<(u64, Fault)> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let tree = fake::plan(vms, 4).new_tree(&mut runner);
    tree.expect("plan is drawn").current()
}

fn run_seed(seed: u64, without: Option<Rule>) -> Result<(), Broken> {
    let vms = 3 + (seed / 3 % 3) as usize;
    let mut setup = setup(vms, without);
    // The baseline with one lessor has to be as safe.
    setup.settings.lessors = if seed % 7 == 6 { 1 } else { 2 };
    run(setup, seed, &draw(seed, vms))
}

/// Number from the environment, for longer runs by hand.
fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_faults() {
    let cases = number("MODEL_CASES", 100) as u32;
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (2usize..6, proptest::num::u64::ANY)
        .prop_flat_map(|(vms, seed)| (proptest::strategy::Just((vms, seed)), fake::plan(vms, 4)));
    let result = runner.run(&strategy, |((vms, seed), plan)| {
        run(setup(vms, None), seed, &plan)
            .map_err(|broken| TestCaseError::fail(format!("seed {seed}: {broken:?}")))
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

/// Runs `MODEL_SEEDS` seeds from `MODEL_FROM` on; by hand in release mode.
#[test]
#[ignore = "long; run by hand in release mode"]
fn invariants_hold_over_many_seeds() {
    let (from, count) = (number("MODEL_FROM", 0), number("MODEL_SEEDS", 1_000));
    let mut broken = Vec::new();
    for seed in from..from + count {
        if let Err(b) = run_seed(seed, None) {
            println!("seed {seed}: {b:?}");
            broken.push(seed);
        }
    }
    println!(
        "{count} seeds from {from}, {} broken: {broken:?}",
        broken.len()
    );
    assert!(broken.is_empty());
}

/// Searches for a seed that shows each rule's absence; by hand in release mode.
#[test]
#[ignore = "long; run by hand in release mode"]
fn search_for_seeds_that_need_each_rule() {
    let (from, count) = (number("MODEL_FROM", 0), number("MODEL_SEEDS", 300));
    let only = std::env::var("MODEL_RULE").ok();
    for Needed { rule, .. } in NEEDED {
        if only
            .as_ref()
            .is_some_and(|name| *name != format!("{rule:?}"))
        {
            continue;
        }
        let mut shown = Vec::new();
        for seed in from..from + count {
            if let Err(broken) = run_seed(seed, Some(rule)) {
                shown.push((seed, broken));
            }
            if shown.len() >= 3 {
                break;
            }
        }
        println!("{rule:?}: {shown:?}");
    }
}

/// A rule and a seed whose run breaks an invariant when the core leaves the rule out.
struct Needed {
    rule: Rule,
    seed: u64,
}

const fn needed(rule: Rule, seed: u64) -> Needed {
    Needed { rule, seed }
}

/// Every rule that the core can leave out, with the seed that shows its absence.
const NEEDED: [Needed; 15] = [
    needed(Rule::CountFromSend, 8),
    needed(Rule::DriftBound, 15),
    needed(Rule::LessorNeedsLease, 35),
    needed(Rule::NamedLessors, 212),
    needed(Rule::FullLeaseOnNewTerm, 0),
    needed(Rule::NoOutsideRenewals, 330),
    needed(Rule::NoGrantAfterCommit, 12),
    needed(Rule::AllLessors, 15),
    needed(Rule::EndedLessorWait, 52),
    needed(Rule::ReleaseFirst, 18),
    needed(Rule::ReleaseEpoch, 167),
    needed(Rule::ReplaceWait, 87),
    needed(Rule::ReadBack, 3822),
    needed(Rule::GrantEnd, 0),
    needed(Rule::CountFromSwapStart, 926),
];

/// Guards against a rule that the checks would not miss. A seed that no longer shows its rule is
/// replaced by searching anew with `search_for_seeds_that_need_each_rule`.
#[test]
fn each_rule_is_needed() {
    let mut missed = Vec::new();
    for Needed { rule, seed } in NEEDED {
        match run_seed(seed, Some(rule)) {
            Err(broken) => println!("without {rule:?}, seed {seed}: {broken:?}"),
            Ok(()) => missed.push((rule, seed)),
        }
        if let Err(broken) = run_seed(seed, None) {
            panic!("with every rule, seed {seed}: {broken:?}");
        }
    }
    assert!(missed.is_empty(), "nothing broke without {missed:?}");
}

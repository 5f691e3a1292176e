//! Runs whose setup and faults follow from a seed, shared by the tests and the example `model`.

use masticdeal_ownership::lease::{CoreSettings, Rule};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{Broken, Fault, Setup, SimEvent, Simulation, ms};

/// Separates the random numbers of the restores from those of the run.
const RESTORE_SEED: u64 = 1 << 63;

/// Returns a setup whose clocks deviate by up to 5%, with the drift bound set to match.
pub fn setup(vms: usize, disabled_rule: Option<Rule>) -> Setup {
    let base = Setup::default();
    Setup {
        settings: CoreSettings {
            drift_ppm: 50_000,
            reclaim_delay: ms(400),
            steady_period: ms(2_000),
            disabled_rule,
            ..CoreSettings::default()
        },
        locations: base.locations[..vms].to_vec(),
        max_drift: 0.05,
        loss_rate: 0.005,
        ..base
    }
}

/// Runs a plan, ends its faults, confirms the lost VMs and checks that every shard is served again.
pub fn run_plan(setup: Setup, seed: u64, plan: &[(u64, Fault)]) -> Result<(), Broken> {
    let shards = setup.shards as usize;
    let mut sim = Simulation::new(setup, seed);
    sim.run(ms(1_500))?;
    let mut at_ms = 0;
    for (delay, fault) in plan {
        at_ms += delay;
        sim.schedule(ms(at_ms), SimEvent::Fault(fault.clone()));
    }
    sim.run(ms(at_ms + 3_000))?;
    sim.clear_faults();
    sim.run(ms(8_000))?;
    sim.confirm_lost();
    sim.run(ms(8_000))?;
    let served = sim.served_shards();
    if served != shards {
        sim.record_violation(format!(
            "{served} of {shards} shards are served after recovery"
        ));
    }
    sim.violation.map_or(Ok(()), Err)
}

/// Returns the faults that follow from a seed, each with its delay in milliseconds after the
/// previous one.
fn plan_for_seed(seed: u64, vms: usize) -> Vec<(u64, Fault)> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let tree = super::fault_plan(vms, 4).new_tree(&mut runner);
    tree.expect("plan is generated").current()
}

/// Returns the plan of a seed with up to three restores of the store among its other faults.
pub fn restore_plan(seed: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut at_ms = 0;
    let mut plan = plan_for_seed(seed, vm_count(seed));
    for (delay, _) in &mut plan {
        at_ms += *delay;
        *delay = at_ms;
    }
    for _ in 0..rng.random_range(1..=3) {
        let oldest_ms = [300, 2_000, 8_000][rng.random_range(0..3)];
        let age_ms = rng.random_range(0..oldest_ms);
        let away_ms = rng.random_range(0..2_500);
        let fault = Fault::RestoreStore(age_ms, away_ms);
        plan.push((rng.random_range(0..=at_ms), fault));
    }
    plan.sort_by_key(|(at, _)| *at);
    let mut previous = 0;
    for (delay, _) in &mut plan {
        let at = std::mem::replace(&mut previous, *delay);
        *delay -= at;
    }
    plan
}

/// Runs a plan of a seed against a store that may be restored from a backup. Targets of odd seeds
/// report an incarnation.
pub fn run_restore_plan(
    seed: u64,
    disabled_rule: Option<Rule>,
    plan: &[(u64, Fault)],
) -> Result<(), Broken> {
    let mut setup = Setup {
        report_incarnations: seed % 2 == 1,
        restores_store: true,
        ..setup(vm_count(seed), disabled_rule)
    };
    setup.settings.lessors = lessor_count(seed);
    run_plan(setup, seed, plan)
}

/// Runs a seed with restores of the store.
pub fn run_seed_with_restores(seed: u64, disabled_rule: Option<Rule>) -> Result<(), Broken> {
    run_restore_plan(seed, disabled_rule, &restore_plan(seed))
}

fn vm_count(seed: u64) -> usize {
    3 + (seed / 3 % 3) as usize
}

/// Returns the number of lessors. Every seventh seed uses one instead of two; the invariants must
/// hold then too.
fn lessor_count(seed: u64) -> usize {
    if seed % 7 == 6 { 1 } else { 2 }
}

/// Runs a seed with targets that report no incarnation.
pub fn run_seed(seed: u64, disabled_rule: Option<Rule>) -> Result<(), Broken> {
    run_seed_with_incarnations(seed, disabled_rule, false)
}

/// Runs a seed. `report_incarnations` tells whether the targets report an incarnation.
pub fn run_seed_with_incarnations(
    seed: u64,
    disabled_rule: Option<Rule>,
    report_incarnations: bool,
) -> Result<(), Broken> {
    let vms = vm_count(seed);
    let mut setup = Setup {
        report_incarnations,
        ..setup(vms, disabled_rule)
    };
    setup.settings.lessors = lessor_count(seed);
    run_plan(setup, seed, &plan_for_seed(seed, vms))
}

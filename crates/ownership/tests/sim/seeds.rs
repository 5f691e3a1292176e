//! Runs whose setup and faults follow from a seed, shared by the tests and the example `model`.

use masticdeal_ownership::lease::{CoreSettings, Rule};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{Broken, Fault, Setup, SimEvent, Simulation, ms};

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
    let vms = 3 + (seed / 3 % 3) as usize;
    let mut setup = Setup {
        report_incarnations,
        ..setup(vms, disabled_rule)
    };
    // Every seventh seed uses one lessor instead of two. The invariants must hold then too.
    setup.settings.lessors = if seed % 7 == 6 { 1 } else { 2 };
    run_plan(setup, seed, &plan_for_seed(seed, vms))
}

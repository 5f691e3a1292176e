//! Runs by seed, shared by the tests and the long runs by hand (example `model`).

use masticdeal_ownership::lease::{CoreSettings, Rule};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{Broken, Fault, Setup, SimEvent, Simulation, ms};

/// A world whose clocks deviate by up to 5%, with the drift bound set to match.
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

/// Runs a plan, lets everything recover, and expects every shard to be served again.
pub fn run_plan(setup: Setup, seed: u64, plan: &[(u64, Fault)]) -> Result<(), Broken> {
    let shards = setup.shards as usize;
    let mut sim = Simulation::new(setup, seed);
    sim.run(ms(1_500))?;
    let mut at = 0;
    for (delay, fault) in plan {
        at += delay;
        sim.schedule(ms(at), SimEvent::Fault(fault.clone()));
    }
    sim.run(ms(at + 3_000))?;
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
    sim.broken.map_or(Ok(()), Err)
}

/// Draws the plan that belongs to a seed.
fn plan_for_seed(seed: u64, vms: usize) -> Vec<(u64, Fault)> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let tree = super::fault_plan(vms, 4).new_tree(&mut runner);
    tree.expect("plan is drawn").current()
}

pub fn run_seed(seed: u64, without: Option<Rule>) -> Result<(), Broken> {
    run_seed_with(seed, without, false)
}

/// Runs a seed with targets that tell their lives apart, or do not.
pub fn run_seed_with(
    seed: u64,
    without: Option<Rule>,
    report_incarnations: bool,
) -> Result<(), Broken> {
    let vms = 3 + (seed / 3 % 3) as usize;
    let mut setup = Setup {
        report_incarnations,
        ..setup(vms, without)
    };
    // The baseline with one lessor has to be as safe.
    setup.settings.lessors = if seed % 7 == 6 { 1 } else { 2 };
    run_plan(setup, seed, &plan_for_seed(seed, vms))
}

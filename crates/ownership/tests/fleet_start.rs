//! Calls to the platform store while all daemons of a fleet start at once.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use sim::{Setup, Simulation, ms};

/// Calls for each further daemon of a larger fleet: two reads of the table, a share of the swaps that
/// write the requests of many daemons, and one change of lessors.
const MAX_CALLS_PER_DAEMON: u64 = 5;

/// Time from the start of a fleet to the start of its traffic, at the users' large sites.
const START: Duration = Duration::from_secs(10);

/// Returns the number of calls to the store until all daemons of a fleet have joined and all shards
/// have owners, and the lessors were distributed.
fn calls_at_start(daemons: usize, seed: u64) -> u64 {
    let data_centres = ["a", "b", "c", "d", "e"];
    let locations = (0..daemons).map(|i| ("r", data_centres[i % 5]));
    let base = Setup::default();
    let setup = Setup {
        settings: masticdeal_ownership::lease::CoreSettings {
            lease: ms(3_000),
            renew_interval: ms(300),
            gather_delay: ms(2_200),
            ..base.settings.clone()
        },
        locations: locations.collect(),
        shards: 512,
        report_incarnations: true,
        check_invariants: false,
        ..base
    };
    let mut sim = Simulation::new(setup, seed);
    sim.run(START).expect("no invariant is violated");
    assert_that!(sim.platform.table.sessions.len(), eq(daemons));
    assert_that!(sim.served_shards(), eq(512));
    sim.platform.calls
}

/// Guards against a start of the whole fleet whose daemons retry their writes against each other, so
/// that the calls grow with the square of the fleet.
#[gtest]
fn calls_at_the_start_grow_with_the_fleet_only() {
    for seed in [1, 2, 3] {
        let (small, large) = (calls_at_start(15, seed), calls_at_start(60, seed));
        println!("seed {seed}: {small} calls of 15 daemons, {large} of 60");
        expect_that!(large - small, le(MAX_CALLS_PER_DAEMON * 45), "seed {seed}");
    }
}

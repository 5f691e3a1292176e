//! Recovery from losses in simulated time, with every invariant checked.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::lease::CoreSettings;
use sim::{Fault, Setup, SimEvent, Simulation, ms};

const SHARDS: u32 = 16;

/// Nine VMs in three data centres, `vm % 3` being the data centre.
fn steady_fleet(lessors: usize, seed: u64) -> Simulation {
    steady_fleet_with(lessors, seed, true)
}

fn steady_fleet_with(lessors: usize, seed: u64, targets_check_grants: bool) -> Simulation {
    let places = [("r", "a"), ("r", "b"), ("r", "c")];
    let setup = Setup {
        settings: CoreSettings {
            lessors,
            ..CoreSettings::default()
        },
        locations: (0..9).map(|at| places[at % 3]).collect(),
        shards: SHARDS,
        max_drift: 0.002,
        targets_check_grants,
        ..Setup::default()
    };
    let mut sim = Simulation::new(setup, seed);
    run(&mut sim, ms(14_000));
    assert_eq!(sim.served_shards(), SHARDS as usize, "seed {seed}");
    sim
}

/// Five VMs with the lease of targets that take their grants as answers to reports.
fn steady_reporting_fleet(report_incarnations: bool) -> Simulation {
    let setup = Setup {
        settings: CoreSettings {
            lease: ms(3_000),
            renew_interval: ms(300),
            ..CoreSettings::default()
        },
        locations: vec![("r", "a"), ("r", "b"), ("r", "c"), ("r", "a"), ("r", "b")],
        shards: SHARDS,
        report_incarnations,
        ..Setup::default()
    };
    let mut sim = Simulation::new(setup, 3);
    run(&mut sim, ms(14_000));
    sim
}

fn run(sim: &mut Simulation, length: Duration) {
    if let Err(broken) = sim.run(length) {
        panic!("{broken:?}");
    }
}

fn inject(sim: &mut Simulation, fault: Fault) {
    sim.schedule(Duration::ZERO, SimEvent::Fault(fault));
}

/// Simulated time until all shards are served, at most 20 s.
fn time_to_recover(sim: &mut Simulation) -> Duration {
    let start = sim.now;
    run(sim, ms(1));
    while sim.served_shards() != SHARDS as usize && sim.now < start + ms(20_000) {
        run(sim, ms(1));
    }
    sim.now - start
}

/// Number of running processes without a live lease.
fn sessions_without_lease(sim: &Simulation) -> usize {
    let cores = sim.vms.iter().filter_map(|vm| {
        let core = vm.core.as_ref()?;
        Some((core, vm.clock.local(sim.now)))
    });
    cores
        .filter(|(core, now)| core.lease_until().is_none_or(|until| until <= *now))
        .count()
}

/// Guards against a loss that needs an operator or takes longer than 1 s.
#[googletest::test]
fn any_vm_and_any_data_centre_is_recovered_within_a_second() {
    let losses: [&[usize]; 4] = [&[0], &[4], &[0, 3, 6], &[2, 5, 8]];
    for (seed, lost) in losses.iter().enumerate() {
        let mut sim = steady_fleet(2, seed as u64);
        lost.iter()
            .for_each(|&vm| inject(&mut sim, Fault::Kill(vm)));
        expect_that!(time_to_recover(&mut sim), lt(ms(1_000)), "lost {lost:?}");
    }
}

/// Guards against a restart beside a living target that waits out its predecessor's lease, or moves
/// the shards away and back.
#[googletest::test]
fn a_process_beside_the_same_target_serves_again_at_once() {
    for (report_incarnations, least, most) in
        [(true, ms(0), ms(1_000)), (false, ms(1_500), ms(6_000))]
    {
        let mut sim = steady_reporting_fleet(report_incarnations);
        let owned = |sim: &Simulation| sim.vms[1].core.as_ref().map(|c| c.owned().len());
        let before = owned(&sim);
        inject(&mut sim, Fault::Restart(1, 100));
        let time = time_to_recover(&mut sim);
        expect_that!(
            time,
            all!(ge(least), le(most)),
            "report_incarnations: {report_incarnations}"
        );
        if report_incarnations {
            expect_that!(owned(&sim), eq(before));
        }
    }
}

/// Guards against a fleet that waits out the leases of before a loss of power, although the targets that
/// held the grants lost it as well.
#[googletest::test]
fn a_fleet_that_lost_power_with_its_targets_serves_again_at_once() {
    for (report_incarnations, least, most) in
        [(true, ms(0), ms(1_000)), (false, ms(2_900), ms(6_000))]
    {
        let mut sim = steady_reporting_fleet(report_incarnations);
        for vm in 0..5 {
            inject(&mut sim, Fault::Restart(vm, 101));
        }
        run(&mut sim, ms(102));
        expect_that!(
            time_to_recover(&mut sim),
            all!(ge(least), le(most)),
            "report_incarnations: {report_incarnations}"
        );
    }
}

/// Guards against a last daemon that serves nothing although its platform answers, and against one
/// that never serves again after a pause, since it has no lessor that would tell it anything.
#[googletest::test]
fn the_last_daemon_serves_on_and_again_after_a_pause() {
    let setup = Setup {
        locations: vec![("r", "a"), ("r", "b")],
        shards: SHARDS,
        ..Setup::default()
    };
    let mut sim = Simulation::new(setup, 5);
    run(&mut sim, ms(14_000));
    inject(&mut sim, Fault::Kill(1));
    expect_that!(time_to_recover(&mut sim), lt(ms(1_500)));
    for _ in 0..100 {
        run(&mut sim, ms(100));
        expect_that!(sim.served_shards(), eq(SHARDS as usize));
    }
    inject(&mut sim, Fault::Freeze(0, 3_000));
    run(&mut sim, ms(3_100));
    expect_that!(time_to_recover(&mut sim), lt(ms(1_500)));
}

/// Guards against mutual lessors: their loss at once would need an operator.
#[googletest::test]
fn a_vm_and_its_lessor_are_recovered_within_a_second() {
    for seed in 0..3 {
        let mut sim = steady_fleet(2, seed);
        let table = sim.table();
        let lessor = table.sessions[0].lessors[0];
        for id in [table.sessions[0].id, lessor] {
            let vm = sim
                .vms
                .iter()
                .position(|vm| vm.core.as_ref().and_then(|c| c.session()) == Some(id));
            inject(&mut sim, Fault::Kill(vm.expect("session runs")));
        }
        expect_that!(time_to_recover(&mut sim), lt(ms(1_000)), "seed {seed}");
    }
}

/// Guards against the spread of a loss to other sessions while the platform is down, which one
/// lessor per session does not prevent.
#[googletest::test]
fn in_an_outage_a_lost_data_centre_stops_others_only_with_one_lessor() {
    let others_stopped = |lessors| {
        let mut sim = steady_fleet(lessors, 3);
        sim.platform.down_until = sim.now + ms(60_000);
        run(&mut sim, ms(300));
        for vm in [1, 4, 7] {
            inject(&mut sim, Fault::Kill(vm));
        }
        run(&mut sim, ms(5_000));
        sessions_without_lease(&sim)
    };
    expect_that!(others_stopped(2), eq(0));
    expect_that!(others_stopped(1), gt(0));
}

/// Guards against lessors that commit to the end of a session in an outage: nobody could end it,
/// and it could not renew before the outage ends.
#[googletest::test]
fn a_process_paused_in_an_outage_serves_again_after_the_pause() {
    let mut sim = steady_fleet(2, 5);
    sim.platform.down_until = sim.now + ms(60_000);
    run(&mut sim, ms(1_000));
    inject(&mut sim, Fault::Freeze(2, 2_000));
    run(&mut sim, ms(2_300));
    expect_that!(sessions_without_lease(&sim), eq(0));
    expect_that!(sim.served_shards(), eq(SHARDS as usize));
}

/// Guards against a change of lessors that starts in an outage: until its outcome is known only the
/// other lessor counts, so the loss of that one would stop the lessee.
#[googletest::test]
fn a_lessor_paused_in_an_outage_counts_again_when_the_other_is_lost() {
    let mut sim = steady_fleet(2, 4);
    sim.platform.down_until = sim.now + ms(60_000);
    run(&mut sim, ms(1_000));
    for vm in [0, 3, 6] {
        inject(&mut sim, Fault::Freeze(vm, 440));
    }
    run(&mut sim, ms(2_000));
    expect_that!(sessions_without_lease(&sim), eq(0));
    for vm in [1, 4, 7] {
        inject(&mut sim, Fault::Kill(vm));
    }
    run(&mut sim, ms(3_000));
    expect_that!(sessions_without_lease(&sim), eq(0));
}

/// Guards against sessions that lose their leases again and again, and fill the platform with
/// swaps, while their data centre is cut off from the others.
#[googletest::test]
fn a_data_centre_that_is_cut_off_settles_on_lessors_of_its_own() {
    let mut sim = steady_fleet(2, 14);
    let before = sim.platform.writes;
    inject(&mut sim, Fault::CutPeers(0b001_001_001, 60_000));
    run(&mut sim, ms(10_000));
    let settling = sim.platform.writes - before;
    let mut unserved = 0;
    for _ in 0..200 {
        run(&mut sim, ms(100));
        unserved += usize::from(sim.served_shards() != SHARDS as usize);
    }
    let settled = sim.platform.writes - before - settling;
    println!(
        "writes: {settling} in the first 10 s, {settled} in 20 s after it; unserved {unserved}"
    );
    expect_that!(sessions_without_lease(&sim), eq(0));
    expect_that!(unserved, eq(0));
    // Each of the three sessions may try the preferred lessors again, at two swaps per 15 s.
    expect_that!(settled, le(12));
}

/// Guards against cores that ask for ticks in the past while they wait for the platform: a steady
/// core handles about 35 events a second.
#[googletest::test]
fn an_outage_does_not_keep_the_cores_busy() {
    let mut sim = steady_fleet(2, 9);
    sim.platform.down_until = sim.now + ms(60_000);
    inject(&mut sim, Fault::Kill(3));
    run(&mut sim, ms(1_000));
    let handled = |sim: &Simulation| sim.vms.iter().map(|vm| vm.events_handled).sum::<u64>();
    let before = handled(&sim);
    run(&mut sim, ms(10_000));
    expect_that!(handled(&sim) - before, lt(8 * 10 * 70));
}

/// Guards against a settling time that stays the next deadline after it has passed, with which the
/// driver of the daemon never sleeps.
#[googletest::test]
fn settled_shards_do_not_keep_the_cores_busy() {
    let mut sim = steady_fleet_with(2, 12, false);
    inject(&mut sim, Fault::Kill(3));
    expect_that!(time_to_recover(&mut sim), lt(ms(1_000)));
    run(&mut sim, ms(1_000));
    let handled = |sim: &Simulation| sim.vms.iter().map(|vm| vm.events_handled).sum::<u64>();
    let before = handled(&sim);
    run(&mut sim, ms(5_000));
    expect_that!(handled(&sim) - before, lt(8 * 5 * 70));
}

/// Guards against a fleet that cannot start again after all leases ran out at once (R12).
#[googletest::test]
fn the_fleet_recovers_from_a_pause_of_all_processes() {
    let mut sim = steady_fleet(2, 6);
    inject(&mut sim, Fault::FreezeAll(3_000));
    run(&mut sim, ms(3_001));
    expect_that!(time_to_recover(&mut sim), lt(ms(3_000)));
}

/// Guards against a restart of the whole fleet that waits for lessors which are gone (R7), and
/// against one that leaves most shards to the first daemons that return.
#[googletest::test]
fn the_fleet_recovers_from_a_restart_at_the_same_addresses() {
    let mut sim = steady_fleet(2, 7);
    for vm in 0..9 {
        inject(&mut sim, Fault::Restart(vm, 50));
    }
    run(&mut sim, ms(60));
    expect_that!(time_to_recover(&mut sim), lt(ms(5_000)));
    let cores = sim.vms.iter().filter_map(|vm| vm.core.as_ref());
    let most = cores.map(|core| core.owned().len()).max();
    expect_that!(most, some(le(SHARDS as usize / 4)));
}

/// Guards against a planned leave that is handled as a loss: its shards move under R6 within the
/// time of a drain and a swap.
#[googletest::test]
fn a_leaving_daemon_hands_its_shards_over() {
    let mut sim = steady_fleet(2, 8);
    inject(&mut sim, Fault::Leave(0));
    expect_that!(time_to_recover(&mut sim), lt(ms(200)));
    run(&mut sim, ms(300));
    let core = sim.vms[0].core.as_ref().expect("process runs");
    expect_that!(core.session_state(), eq("ended"));
    expect_that!(sim.table().sessions.len(), eq(8));
}

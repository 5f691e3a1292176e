//! Recovery from losses in simulated time, with all invariants checked.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::lease::CoreSettings;
use sim::{Fault, Setup, SimEvent, Simulation, ms};

const SHARDS: u32 = 16;

/// Runs nine VMs in three data centres for 14 s, after which all shards are served. VM `n` is in
/// data centre `n % 3`.
fn steady_fleet(lessors: usize, seed: u64) -> Simulation {
    steady_fleet_with_grant_checks(lessors, seed, true)
}

fn steady_fleet_with_grant_checks(
    lessors: usize,
    seed: u64,
    targets_check_grants: bool,
) -> Simulation {
    let data_centres = [("r", "a"), ("r", "b"), ("r", "c")];
    let setup = Setup {
        settings: CoreSettings {
            lessors,
            ..CoreSettings::default()
        },
        locations: (0..9).map(|vm| data_centres[vm % 3]).collect(),
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

/// Runs five VMs for 14 s with the lease that is used when targets receive their grants in replies
/// to reports.
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
    if let Err(violation) = sim.run(length) {
        panic!("{violation:?}");
    }
}

fn inject(sim: &mut Simulation, fault: Fault) {
    sim.schedule(Duration::ZERO, SimEvent::Fault(fault));
}

/// Returns the simulated time until all shards are served, at most 20 s.
fn time_to_recover(sim: &mut Simulation) -> Duration {
    let start = sim.now;
    run(sim, ms(1));
    while sim.served_shards() != SHARDS as usize && sim.now < start + ms(20_000) {
        run(sim, ms(1));
    }
    sim.now - start
}

/// Returns the number of running processes without a valid lease.
fn processes_without_lease(sim: &Simulation) -> usize {
    let cores = sim.vms.iter().filter_map(|vm| {
        let core = vm.core.as_ref()?;
        Some((core, vm.clock.local(sim.now)))
    });
    cores
        .filter(|(core, now)| core.lease_until().is_none_or(|until| until <= *now))
        .count()
}

/// Guards against losses that need an operator or take longer than 1 s to recover.
#[googletest::test]
fn loss_of_vm_or_data_centre_recovers_within_one_second() {
    let losses: [&[usize]; 4] = [&[0], &[4], &[0, 3, 6], &[2, 5, 8]];
    for (seed, lost) in losses.iter().enumerate() {
        let mut sim = steady_fleet(2, seed as u64);
        lost.iter()
            .for_each(|&vm| inject(&mut sim, Fault::Kill(vm)));
        expect_that!(time_to_recover(&mut sim), lt(ms(1_000)), "lost {lost:?}");
    }
}

/// Guards against a daemon that restarts beside a running target and waits for its predecessor's
/// lease to expire, or whose shards move away and back. Without incarnations, it has to wait.
#[googletest::test]
fn restart_beside_same_target_resumes_immediately() {
    for (report_incarnations, min, max) in [(true, ms(0), ms(1_000)), (false, ms(1_500), ms(6_000))]
    {
        let mut sim = steady_reporting_fleet(report_incarnations);
        let owned = |sim: &Simulation| sim.vms[1].core.as_ref().map(|c| c.owned().len());
        let before = owned(&sim);
        inject(&mut sim, Fault::Restart(1, 100));
        let time = time_to_recover(&mut sim);
        expect_that!(
            time,
            all!(ge(min), le(max)),
            "report_incarnations: {report_incarnations}"
        );
        if report_incarnations {
            expect_that!(owned(&sim), eq(before));
        }
    }
}

/// Guards against waiting for the old leases after a power loss in which the targets lost their
/// grants too. The restarts have an odd duration, which also ends the targets. Without
/// incarnations, the daemons have to wait.
#[googletest::test]
fn fleet_resumes_immediately_after_power_loss_with_targets() {
    for (report_incarnations, min, max) in [(true, ms(0), ms(1_000)), (false, ms(2_900), ms(6_000))]
    {
        let mut sim = steady_reporting_fleet(report_incarnations);
        for vm in 0..5 {
            inject(&mut sim, Fault::Restart(vm, 101));
        }
        run(&mut sim, ms(102));
        expect_that!(
            time_to_recover(&mut sim),
            all!(ge(min), le(max)),
            "report_incarnations: {report_incarnations}"
        );
    }
}

/// Guards against a last remaining daemon that does not serve although the platform responds, or
/// that never serves again after a pause. Without lessors, no peer reports a newer table to it.
#[googletest::test]
fn last_daemon_serves_after_loss_and_after_pause() {
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
    inject(&mut sim, Fault::Pause(0, 3_000));
    run(&mut sim, ms(3_100));
    expect_that!(time_to_recover(&mut sim), lt(ms(1_500)));
}

/// Guards against sessions that are each other's lessors. Losing both would need an operator.
#[googletest::test]
fn loss_of_vm_and_its_lessor_recovers_within_one_second() {
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

/// Guards against a loss that stops the remaining processes while the platform is down. With one
/// lessor per session, that cannot be prevented.
#[googletest::test]
fn data_centre_loss_in_outage_stops_others_only_with_one_lessor() {
    let processes_stopped = |lessors| {
        let mut sim = steady_fleet(lessors, 3);
        sim.platform.down_until = sim.now + ms(60_000);
        run(&mut sim, ms(300));
        for vm in [1, 4, 7] {
            inject(&mut sim, Fault::Kill(vm));
        }
        run(&mut sim, ms(5_000));
        processes_without_lease(&sim)
    };
    expect_that!(processes_stopped(2), eq(0));
    expect_that!(processes_stopped(1), gt(0));
}

/// Guards against lessors that commit to ending a session during an outage. The session cannot be
/// ended then, but its lessors would refuse to renew its lease until the outage is over.
#[googletest::test]
fn process_paused_in_outage_serves_after_pause() {
    let mut sim = steady_fleet(2, 5);
    sim.platform.down_until = sim.now + ms(60_000);
    run(&mut sim, ms(1_000));
    inject(&mut sim, Fault::Pause(2, 2_000));
    run(&mut sim, ms(2_300));
    expect_that!(processes_without_lease(&sim), eq(0));
    expect_that!(sim.served_shards(), eq(SHARDS as usize));
}

/// Guards against starting a change of lessors during an outage. Until its outcome is known, only
/// the lessor that stays can renew the lease, so the loss of that one would stop the lessee.
#[googletest::test]
fn lessor_paused_in_outage_still_renews_after_loss_of_other() {
    let mut sim = steady_fleet(2, 4);
    sim.platform.down_until = sim.now + ms(60_000);
    run(&mut sim, ms(1_000));
    for vm in [0, 3, 6] {
        inject(&mut sim, Fault::Pause(vm, 440));
    }
    run(&mut sim, ms(2_000));
    expect_that!(processes_without_lease(&sim), eq(0));
    for vm in [1, 4, 7] {
        inject(&mut sim, Fault::Kill(vm));
    }
    run(&mut sim, ms(3_000));
    expect_that!(processes_without_lease(&sim), eq(0));
}

/// Guards against sessions that repeatedly lose their leases and flood the platform with swaps
/// while their data centre is cut off from the others.
#[googletest::test]
fn isolated_data_centre_uses_its_own_lessors() {
    let mut sim = steady_fleet(2, 14);
    let before = sim.platform.writes;
    inject(&mut sim, Fault::CutPeers(0b001_001_001, 60_000));
    run(&mut sim, ms(10_000));
    let first_writes = sim.platform.writes - before;
    let mut unserved = 0;
    for _ in 0..200 {
        run(&mut sim, ms(100));
        unserved += usize::from(sim.served_shards() != SHARDS as usize);
    }
    let later_writes = sim.platform.writes - before - first_writes;
    println!(
        "writes: {first_writes} in the first 10 s, {later_writes} in 20 s after it; unserved {unserved}"
    );
    expect_that!(processes_without_lease(&sim), eq(0));
    expect_that!(unserved, eq(0));
    // Each of the three sessions may retry its preferred lessors, at two swaps per 15 s.
    expect_that!(later_writes, le(12));
}

/// Guards against cores that busy-loop, since their next deadline is in the past, while they wait
/// for the platform. A steady core handles about 35 events per second.
#[googletest::test]
fn cores_stay_idle_in_outage() {
    let mut sim = steady_fleet(2, 9);
    sim.platform.down_until = sim.now + ms(60_000);
    inject(&mut sim, Fault::Kill(3));
    run(&mut sim, ms(1_000));
    let events_handled = |sim: &Simulation| sim.vms.iter().map(|vm| vm.events_handled).sum::<u64>();
    let before = events_handled(&sim);
    run(&mut sim, ms(10_000));
    expect_that!(events_handled(&sim) - before, lt(8 * 10 * 70));
}

/// Guards against a settling time that remains the next deadline after it has passed, which keeps
/// the daemon's driver from sleeping.
#[googletest::test]
fn cores_stay_idle_after_settling() {
    let mut sim = steady_fleet_with_grant_checks(2, 12, false);
    inject(&mut sim, Fault::Kill(3));
    expect_that!(time_to_recover(&mut sim), lt(ms(1_000)));
    run(&mut sim, ms(1_000));
    let events_handled = |sim: &Simulation| sim.vms.iter().map(|vm| vm.events_handled).sum::<u64>();
    let before = events_handled(&sim);
    run(&mut sim, ms(5_000));
    expect_that!(events_handled(&sim) - before, lt(8 * 5 * 70));
}

/// Guards against a fleet that does not recover after all leases expired at once (R12).
#[googletest::test]
fn fleet_recovers_from_pause_of_all_processes() {
    let mut sim = steady_fleet(2, 6);
    inject(&mut sim, Fault::PauseAll(3_000));
    run(&mut sim, ms(3_001));
    expect_that!(time_to_recover(&mut sim), lt(ms(3_000)));
}

/// Guards against a restart of the whole fleet that waits for lessors that no longer exist (R7),
/// and against assigning most shards to the first daemons that return.
#[googletest::test]
fn fleet_recovers_from_restart_at_same_addresses() {
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

/// Guards against treating a planned leave as a loss. The shards move under R6 in the time of a
/// drain and a swap.
#[googletest::test]
fn leaving_daemon_hands_over_its_shards() {
    let mut sim = steady_fleet(2, 8);
    inject(&mut sim, Fault::Leave(0));
    expect_that!(time_to_recover(&mut sim), lt(ms(200)));
    run(&mut sim, ms(300));
    let core = sim.vms[0].core.as_ref().expect("process runs");
    expect_that!(core.session_state(), eq("ended"));
    expect_that!(sim.table().sessions.len(), eq(8));
}

//! Measures recovery in simulated time and prints CSV.
//!
//! - `recovery losses SEEDS`: time from a loss until every shard is served again.
//! - `recovery outage SEEDS`: remaining processes that stop serving after a loss of VMs during a
//!   platform outage.
//! - `recovery lease SEEDS`: sessions ended by pauses, and time to recover from the loss of a VM,
//!   by lease length.
//! - `recovery fleet SEEDS`: loss of a data centre at increasing numbers of VMs.
//! - `recovery moves SEEDS`: time for which no process serves a shard that is moving. Running
//!   requests at the target finish within 1 ms.
//! - `recovery idle`: events per second of each lease core and calls of the platform per minute, in
//!   the steady state and after a loss during a platform outage.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use masticdeal_ownership::ids::ShardId;
use masticdeal_ownership::lease::{CoreSettings, MoveWriter};
use rand::RngExt;
use sim::{Fault, Setup, SimEvent, Simulation, ms};

const DATA_CENTRES: [(&str, &str); 3] = [("r", "a"), ("r", "b"), ("r", "c")];

/// The VMs that are lost together.
#[derive(Debug, Clone, Copy)]
enum Loss {
    OneVm,
    TwoVms,
    VmAndLessor,
    DataCentre,
}

fn setup(vms: usize, shards: u32, settings: CoreSettings) -> Setup {
    Setup {
        settings,
        locations: (0..vms).map(|vm| DATA_CENTRES[vm % 3]).collect(),
        shards,
        max_drift: 0.002,
        check_invariants: false,
        max_work_ms: 1,
        abandon_rate: 0.0,
        ..Setup::default()
    }
}

/// Runs a simulation for 25 s and 50 ms per VM, which is meant to suffice for the preferred lessors
/// to be in place, plus a random offset of up to 150 ms (one renewal interval).
fn steady_fleet(vms: usize, shards: u32, settings: CoreSettings, seed: u64) -> Simulation {
    let mut sim = Simulation::new(setup(vms, shards, settings), seed);
    sim.run(ms(25_000 + 50 * vms as u64)).expect("no violation");
    let offset_us = sim.rng.random_range(0..150_000);
    sim.run(Duration::from_micros(offset_us))
        .expect("no violation");
    assert_eq!(
        sim.served_shards(),
        shards as usize,
        "seed {seed}: not all shards are served at the start"
    );
    sim
}

/// Selects the VMs of a loss at random.
fn lost_vms(sim: &mut Simulation, loss: Loss) -> Vec<usize> {
    let vms = sim.vms.len();
    let first = sim.rng.random_range(0..vms);
    match loss {
        Loss::OneVm => vec![first],
        Loss::TwoVms => vec![first, (first + sim.rng.random_range(1..vms)) % vms],
        Loss::DataCentre => (0..vms).filter(|vm| vm % 3 == first % 3).collect(),
        Loss::VmAndLessor => {
            let table = sim.table();
            let id = sim.vms[first].core.as_ref().and_then(|c| c.session());
            let lessors = id
                .and_then(|id| table.session(id))
                .map(|s| s.lessors.clone());
            let lessor = lessors.unwrap_or_default()[0];
            let runs_lessor =
                |vm: &sim::Vm| vm.core.as_ref().and_then(|c| c.session()) == Some(lessor);
            let other = sim.vms.iter().position(runs_lessor);
            vec![first, other.expect("lessor runs")]
        }
    }
}

/// Returns the time until all shards are served, or `None` after 20 s.
fn time_to_recover(sim: &mut Simulation, lost: &[usize], shards: usize) -> Option<Duration> {
    let start = sim.now;
    for &vm in lost {
        sim.schedule(Duration::ZERO, SimEvent::Fault(Fault::Kill(vm)));
    }
    for _ in 0..20_000 {
        sim.run(ms(1)).expect("no violation");
        if sim.served_shards() == shards {
            return Some(sim.now - start);
        }
    }
    None
}

/// Returns the median, the 99th percentile and the maximum in milliseconds, as CSV.
fn csv_quantiles_ms(mut times: Vec<Duration>) -> String {
    times.sort();
    let quantile_ms = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize].as_millis();
    format!(
        "{},{},{}",
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(1.0)
    )
}

fn losses(seeds: u64) {
    println!("loss,vms,shards,runs,median_ms,p99_ms,worst_ms,unrecovered");
    for loss in [
        Loss::OneVm,
        Loss::TwoVms,
        Loss::VmAndLessor,
        Loss::DataCentre,
    ] {
        let mut times = Vec::new();
        let mut unrecovered = 0;
        for seed in 0..seeds {
            let mut sim = steady_fleet(9, 256, CoreSettings::default(), seed);
            let lost = lost_vms(&mut sim, loss);
            match time_to_recover(&mut sim, &lost, 256) {
                Some(time) => times.push(time),
                None => unrecovered += 1,
            }
        }
        println!(
            "{loss:?},9,256,{seeds},{},{unrecovered}",
            csv_quantiles_ms(times)
        );
    }
}

fn outage(seeds: u64) {
    println!("lessors,loss,vms,runs,mean_others_stopped,most_others_stopped");
    for lessors in [2, 1] {
        for loss in [Loss::OneVm, Loss::DataCentre] {
            let settings = CoreSettings {
                lessors,
                ..CoreSettings::default()
            };
            let stopped_counts: Vec<_> = (0..seeds)
                .map(|seed| count_stopped_in_outage(settings.clone(), loss, seed))
                .collect();
            let sum: usize = stopped_counts.iter().sum();
            let max = stopped_counts.iter().max().copied().unwrap_or(0);
            let mean = sum as f64 / seeds as f64;
            println!("{lessors},{loss:?},9,{seeds},{mean:.2},{max}");
        }
    }
}

/// Returns the number of running processes without a valid lease 10 s after a loss during an
/// outage.
fn count_stopped_in_outage(settings: CoreSettings, loss: Loss, seed: u64) -> usize {
    let mut sim = steady_fleet(9, 64, settings, seed);
    sim.platform.down_until = sim.now + ms(60_000);
    sim.run(ms(200)).expect("no violation");
    for vm in lost_vms(&mut sim, loss) {
        sim.schedule(Duration::ZERO, SimEvent::Fault(Fault::Kill(vm)));
    }
    sim.run(ms(10_000)).expect("no violation");
    let without_lease = sim.vms.iter().filter(|vm| {
        let now = vm.clock.local(sim.now);
        let core = vm.core.as_ref();
        core.is_some_and(|c| c.lease_until().is_none_or(|until| until <= now))
    });
    without_lease.count()
}

fn lease(seeds: u64) {
    println!("lease_ms,renew_ms,pauses,false_ends,ends_per_1000_pauses,median_ms,p99_ms,worst_ms");
    for length_ms in [150, 300, 450, 600, 900, 1350] {
        let settings = CoreSettings {
            lease: ms(length_ms),
            renew_interval: ms(length_ms / 3),
            ..CoreSettings::default()
        };
        let (mut pauses, mut ended_sessions) = (0, 0);
        let mut times = Vec::new();
        for seed in 0..seeds {
            let mut sim = steady_fleet(9, 64, settings.clone(), seed);
            let lost = lost_vms(&mut sim, Loss::OneVm);
            times.extend(time_to_recover(&mut sim, &lost, 64));
            let (new_pauses, new_ended_sessions) = run_with_pauses(settings.clone(), seed);
            pauses += new_pauses;
            ended_sessions += new_ended_sessions;
        }
        let ended_per_1000 = ended_sessions as f64 * 1000.0 / pauses as f64;
        println!(
            "{length_ms},{},{pauses},{ended_sessions},{ended_per_1000:.1},{}",
            length_ms / 3,
            csv_quantiles_ms(times)
        );
    }
}

/// Runs 65 s. During the first 60 s, a random VM is paused about twice a second, for between 20 ms
/// and 2 s with a log-uniform distribution. Returns the number of pauses and of ended sessions.
fn run_with_pauses(settings: CoreSettings, seed: u64) -> (u64, u64) {
    let mut sim = steady_fleet(9, 64, settings, seed);
    let before: u64 = sim.vms.iter().map(|vm| vm.sessions_ended).sum();
    let mut pauses = 0;
    let mut start_ms = 0;
    while start_ms < 60_000 {
        start_ms += sim.rng.random_range(1..1_000);
        let length_ms = 20.0 * 100f64.powf(sim.rng.random_range(0.0..1.0));
        let vm = sim.rng.random_range(0..9);
        sim.schedule(
            ms(start_ms),
            SimEvent::Fault(Fault::Pause(vm, length_ms as u64)),
        );
        pauses += 1;
    }
    sim.run(ms(65_000)).expect("no violation");
    let after: u64 = sim.vms.iter().map(|vm| vm.sessions_ended).sum();
    (pauses, after - before)
}

fn fleet(seeds: u64) {
    println!("vms,shards,runs,median_ms,p99_ms,worst_ms,unrecovered,writes,conflicts,reads");
    for vms in [9, 18, 36, 72, 144] {
        let shards = 1024;
        let (mut times, mut unrecovered) = (Vec::new(), 0);
        let (mut writes, mut conflicts, mut reads) = (0, 0, 0);
        for seed in 0..seeds {
            let mut sim = steady_fleet(vms, shards, CoreSettings::default(), seed);
            let lost = lost_vms(&mut sim, Loss::DataCentre);
            let before = (
                sim.platform.writes,
                sim.platform.conflicts,
                sim.platform.reads,
            );
            match time_to_recover(&mut sim, &lost, shards as usize) {
                Some(time) => times.push(time),
                None => unrecovered += 1,
            }
            writes += sim.platform.writes - before.0;
            conflicts += sim.platform.conflicts - before.1;
            reads += sim.platform.reads - before.2;
        }
        println!(
            "{vms},{shards},{seeds},{},{unrecovered},{:.1},{:.1},{:.1}",
            csv_quantiles_ms(times),
            writes as f64 / seeds as f64,
            conflicts as f64 / seeds as f64,
            reads as f64 / seeds as f64
        );
    }
}

fn moves(seeds: u64) {
    println!("runs,moved,median_us,p99_us,worst_us");
    let mut times = Vec::new();
    for seed in 0..seeds {
        let mut sim = steady_fleet(9, 256, CoreSettings::default(), seed);
        for index in 0..10 {
            let shard = sim.rng.random_range(0..256);
            let to = sim.rng.random_range(0..9);
            let before = sim.table().services[0].shards[shard as usize];
            let request = Fault::Move(index % 9, shard, to, MoveWriter::Owner);
            sim.schedule(Duration::ZERO, SimEvent::Fault(request));
            let mut unserved_steps = 0;
            for _ in 0..2_000 {
                sim.run(Duration::from_micros(100)).expect("no violation");
                unserved_steps += u64::from(!sim.is_served(ShardId(shard)));
            }
            if sim.table().services[0].shards[shard as usize] != before {
                times.push(unserved_steps * 100);
            }
        }
    }
    times.sort();
    let quantile_us = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize];
    let (requested, moved) = (seeds * 10, times.len());
    println!(
        "{requested},{moved},{},{},{}",
        quantile_us(0.5),
        quantile_us(0.99),
        quantile_us(1.0)
    );
}

fn idle() {
    println!("state,vms,events_per_core_s,platform_calls_per_min");
    let mut sim = steady_fleet(9, 256, CoreSettings::default(), 1);
    for outage in [false, true] {
        if outage {
            sim.platform.down_until = sim.now + ms(120_000);
            sim.schedule(Duration::ZERO, SimEvent::Fault(Fault::Kill(0)));
            sim.run(ms(1_000)).expect("no violation");
        }
        let counts = |sim: &Simulation| {
            let events_handled: u64 = sim.vms.iter().map(|vm| vm.events_handled).sum();
            (events_handled, sim.platform.calls)
        };
        let before = counts(&sim);
        sim.run(ms(60_000)).expect("no violation");
        let after = counts(&sim);
        let cores = sim.vms.iter().filter(|vm| vm.core.is_some()).count();
        let events = (after.0 - before.0) as f64 / 60.0 / cores as f64;
        let state = if outage { "loss in outage" } else { "steady" };
        println!("{state},{cores},{events:.1},{}", after.1 - before.1);
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let subcommand = args.next().unwrap_or_default();
    let seeds = args.next().and_then(|s| s.parse().ok()).unwrap_or(20);
    match subcommand.as_str() {
        "losses" => losses(seeds),
        "outage" => outage(seeds),
        "lease" => lease(seeds),
        "fleet" => fleet(seeds),
        "moves" => moves(seeds),
        "idle" => idle(),
        _ => eprintln!("usage: recovery losses|outage|lease|fleet|moves|idle [SEEDS]"),
    }
}

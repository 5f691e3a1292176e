//! Measures recovery in simulated time and prints CSV.
//!
//! `recovery losses SEEDS`: time from a loss until every shard is served again.
//! `recovery outage SEEDS`: sessions beside the lost ones that stop serving in a platform outage.
//! `recovery lease SEEDS`: lease length against false ends under pauses and unavailable time.
//! `recovery fleet SEEDS`: a lost data centre at growing numbers of VMs.
//! `recovery moves SEEDS`: time that a shard is served by nobody while it moves, without running
//! work at the target.
//! `recovery idle`: events per core and platform calls, in the steady state and after a loss in an
//! outage of the platform.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use masticdeal_ownership::ids::ShardId;
use masticdeal_ownership::lease::{CoreSettings, MoveBy};
use rand::RngExt;
use sim::{Fault, Setup, Step, World, ms};

const DATA_CENTRES: [(&str, &str); 3] = [("r", "a"), ("r", "b"), ("r", "c")];

/// What is lost.
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
        places: (0..vms).map(|at| DATA_CENTRES[at % 3]).collect(),
        shards,
        drift: 0.002,
        checks: false,
        work: 1,
        abandon: 0.0,
        ..Setup::default()
    }
}

/// A world that has run long enough to hold the preferred lessors, at a random phase.
fn steady(vms: usize, shards: u32, settings: CoreSettings, seed: u64) -> World {
    let mut world = World::new(setup(vms, shards, settings), seed);
    world
        .run(ms(25_000 + 50 * vms as u64))
        .expect("no violation");
    let phase = world.rng.random_range(0..150_000);
    world
        .run(Duration::from_micros(phase))
        .expect("no violation");
    assert_eq!(world.served(), shards as usize, "seed {seed} starts served");
    world
}

/// Draws the VMs that a loss takes.
fn victims(world: &mut World, loss: Loss) -> Vec<usize> {
    let vms = world.vms.len();
    let first = world.rng.random_range(0..vms);
    match loss {
        Loss::OneVm => vec![first],
        Loss::TwoVms => vec![first, (first + world.rng.random_range(1..vms)) % vms],
        Loss::DataCentre => (0..vms).filter(|vm| vm % 3 == first % 3).collect(),
        Loss::VmAndLessor => {
            let table = world.table();
            let id = world.vms[first].core.as_ref().and_then(|c| c.session());
            let lessors = id
                .and_then(|id| table.session(id))
                .map(|s| s.lessors.clone());
            let lessor = lessors.unwrap_or_default()[0];
            let held = |vm: &sim::Vm| vm.core.as_ref().and_then(|c| c.session()) == Some(lessor);
            let other = world.vms.iter().position(held);
            vec![first, other.expect("lessor runs")]
        }
    }
}

/// Time until all shards are served; `None` after 20 s.
fn recover(world: &mut World, lost: &[usize], shards: usize) -> Option<Duration> {
    let start = world.now;
    for &vm in lost {
        world.at(Duration::ZERO, Step::Fault(Fault::Kill(vm)));
    }
    for _ in 0..20_000 {
        world.run(ms(1)).expect("no violation");
        if world.served() == shards {
            return Some(world.now - start);
        }
    }
    None
}

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize].as_millis();
    format!("{},{},{}", at(0.5), at(0.99), at(1.0))
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
        let mut open = 0;
        for seed in 0..seeds {
            let mut world = steady(9, 256, CoreSettings::default(), seed);
            let lost = victims(&mut world, loss);
            match recover(&mut world, &lost, 256) {
                Some(time) => times.push(time),
                None => open += 1,
            }
        }
        println!("{loss:?},9,256,{seeds},{},{open}", quantiles(times));
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
            let stopped: Vec<_> = (0..seeds)
                .map(|seed| stopped_in_outage(settings.clone(), loss, seed))
                .collect();
            let sum: usize = stopped.iter().sum();
            let most = stopped.iter().max().copied().unwrap_or(0);
            let mean = sum as f64 / seeds as f64;
            println!("{lessors},{loss:?},9,{seeds},{mean:.2},{most}");
        }
    }
}

/// Number of surviving sessions without a live lease 10 s after a loss in an outage.
fn stopped_in_outage(settings: CoreSettings, loss: Loss, seed: u64) -> usize {
    let mut world = steady(9, 64, settings, seed);
    world.platform.down_until = world.now + ms(60_000);
    world.run(ms(200)).expect("no violation");
    for vm in victims(&mut world, loss) {
        world.at(Duration::ZERO, Step::Fault(Fault::Kill(vm)));
    }
    world.run(ms(10_000)).expect("no violation");
    let stopped = world.vms.iter().filter(|vm| {
        let now = vm.clock.local(world.now);
        let core = vm.core.as_ref();
        core.is_some_and(|c| c.lease_until().is_none_or(|until| until <= now))
    });
    stopped.count()
}

fn lease(seeds: u64) {
    println!("lease_ms,renew_ms,pauses,false_ends,ends_per_1000_pauses,median_ms,p99_ms,worst_ms");
    for length in [150, 300, 450, 600, 900, 1350] {
        let settings = CoreSettings {
            lease: ms(length),
            renew: ms(length / 3),
            ..CoreSettings::default()
        };
        let (mut pauses, mut ends) = (0, 0);
        let mut times = Vec::new();
        for seed in 0..seeds {
            let mut world = steady(9, 64, settings.clone(), seed);
            let lost = victims(&mut world, Loss::OneVm);
            times.extend(recover(&mut world, &lost, 64));
            let (p, e) = under_pauses(settings.clone(), seed);
            pauses += p;
            ends += e;
        }
        let per = ends as f64 * 1000.0 / pauses as f64;
        println!(
            "{length},{},{pauses},{ends},{per:.1},{}",
            length / 3,
            quantiles(times)
        );
    }
}

/// Runs 60 s with a pause of a random VM about twice a second, lengths between 20 ms and 2 s with
/// density 1/length. Returns the number of pauses and of sessions that ended.
fn under_pauses(settings: CoreSettings, seed: u64) -> (u64, u64) {
    let mut world = steady(9, 64, settings, seed);
    let before: u64 = world.vms.iter().map(|vm| vm.ended).sum();
    let mut pauses = 0;
    let mut at = 0;
    while at < 60_000 {
        at += world.rng.random_range(1..1_000);
        let length = 20.0 * 100f64.powf(world.rng.random_range(0.0..1.0));
        let vm = world.rng.random_range(0..9);
        world.at(ms(at), Step::Fault(Fault::Freeze(vm, length as u64)));
        pauses += 1;
    }
    world.run(ms(65_000)).expect("no violation");
    let after: u64 = world.vms.iter().map(|vm| vm.ended).sum();
    (pauses, after - before)
}

fn fleet(seeds: u64) {
    println!("vms,shards,runs,median_ms,p99_ms,worst_ms,unrecovered,writes,conflicts,reads");
    for vms in [9, 18, 36, 72, 144] {
        let shards = 1024;
        let (mut times, mut open) = (Vec::new(), 0);
        let (mut writes, mut conflicts, mut reads) = (0, 0, 0);
        for seed in 0..seeds {
            let mut world = steady(vms, shards, CoreSettings::default(), seed);
            let lost = victims(&mut world, Loss::DataCentre);
            let before = (
                world.platform.writes,
                world.platform.conflicts,
                world.platform.reads,
            );
            match recover(&mut world, &lost, shards as usize) {
                Some(time) => times.push(time),
                None => open += 1,
            }
            writes += world.platform.writes - before.0;
            conflicts += world.platform.conflicts - before.1;
            reads += world.platform.reads - before.2;
        }
        println!(
            "{vms},{shards},{seeds},{},{open},{:.1},{:.1},{:.1}",
            quantiles(times),
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
        let mut world = steady(9, 256, CoreSettings::default(), seed);
        for at in 0..10 {
            let shard = world.rng.random_range(0..256);
            let to = world.rng.random_range(0..9);
            let before = world.table().services[0].shards[shard as usize];
            let request = Fault::Move(at % 9, shard, to, MoveBy::Owner);
            world.at(Duration::ZERO, Step::Fault(request));
            let mut idle = 0;
            for _ in 0..2_000 {
                world.run(Duration::from_micros(100)).expect("no violation");
                idle += u64::from(!world.serves(ShardId(shard)));
            }
            if world.table().services[0].shards[shard as usize] != before {
                times.push(idle * 100);
            }
        }
    }
    times.sort();
    let at = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize];
    let (runs, moved) = (seeds * 10, times.len());
    println!("{runs},{moved},{},{},{}", at(0.5), at(0.99), at(1.0));
}

fn idle() {
    println!("state,vms,events_per_core_s,platform_calls_per_min");
    let mut world = steady(9, 256, CoreSettings::default(), 1);
    for outage in [false, true] {
        if outage {
            world.platform.down_until = world.now + ms(120_000);
            world.at(Duration::ZERO, Step::Fault(Fault::Kill(0)));
            world.run(ms(1_000)).expect("no violation");
        }
        let count = |world: &World| {
            let handled: u64 = world.vms.iter().map(|vm| vm.handled).sum();
            (handled, world.platform.calls)
        };
        let before = count(&world);
        world.run(ms(60_000)).expect("no violation");
        let after = count(&world);
        let cores = world.vms.iter().filter(|vm| vm.core.is_some()).count();
        let events = (after.0 - before.0) as f64 / 60.0 / cores as f64;
        let state = if outage { "loss in outage" } else { "steady" };
        println!("{state},{cores},{events:.1},{}", after.1 - before.1);
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let seeds = args.next().and_then(|s| s.parse().ok()).unwrap_or(20);
    match what.as_str() {
        "losses" => losses(seeds),
        "outage" => outage(seeds),
        "lease" => lease(seeds),
        "fleet" => fleet(seeds),
        "moves" => moves(seeds),
        "idle" => idle(),
        _ => eprintln!("usage: recovery losses|outage|lease|fleet|moves|idle [SEEDS]"),
    }
}

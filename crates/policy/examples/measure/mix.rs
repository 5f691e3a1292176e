//! Short and long work in front of one target.

use masticdeal_policy::queue::{Order, Settings};

use crate::jobs::{self, Job};
use crate::scenario::{DEADLINES, Scenario};
use crate::sim;
use crate::stats::Run;
use crate::table::Table;

/// A policy under test, as a change to the scenario.
struct Variant {
    name: &'static str,
    apply: fn(&mut Scenario),
}

const VARIANTS: [Variant; 9] = [
    Variant {
        name: "policy",
        apply: |_| {},
    },
    Variant {
        name: "first come",
        apply: first_come,
    },
    Variant {
        name: "no limits",
        apply: no_limits,
    },
    Variant {
        name: "without share",
        apply: |s| {
            s.queue.long_share = None;
            s.queue.adaptive_share = false;
        },
    },
    Variant {
        name: "without short first",
        apply: |s| s.queue.order = Order::Fifo,
    },
    Variant {
        name: "without ageing",
        apply: |s| s.queue.ageing = None,
    },
    Variant {
        name: "without admission",
        apply: |s| s.queue.refuse_unreachable = false,
    },
    Variant {
        name: "without wait bound",
        apply: |s| s.queue.max_wait_share = 1.0,
    },
    Variant {
        name: "without review",
        apply: |s| s.review = false,
    },
];

/// Other settings of the share.
const SHARES: [Variant; 9] = [
    Variant {
        name: "without siblings",
        apply: |s| s.classifier.use_siblings = false,
    },
    Variant {
        name: "share 0.5",
        apply: |s| s.queue.long_share = Some(0.5),
    },
    Variant {
        name: "fixed share 0.5",
        apply: |s| {
            s.queue.long_share = Some(0.5);
            s.queue.adaptive_share = false;
        },
    },
    Variant {
        name: "share 0.67",
        apply: |s| s.queue.long_share = Some(0.67),
    },
    Variant {
        name: "fixed share 0.67",
        apply: |s| {
            s.queue.long_share = Some(0.67);
            s.queue.adaptive_share = false;
        },
    },
    Variant {
        name: "share 0.78",
        apply: |s| s.queue.long_share = Some(0.78),
    },
    Variant {
        name: "fixed share 0.78",
        apply: |s| {
            s.queue.long_share = Some(0.78);
            s.queue.adaptive_share = false;
        },
    },
    Variant {
        name: "share 0.9",
        apply: |s| s.queue.long_share = Some(0.9),
    },
    Variant {
        name: "fixed share 0.9",
        apply: |s| {
            s.queue.long_share = Some(0.9);
            s.queue.adaptive_share = false;
        },
    },
];

/// Whether the target has seen the paths of long requests before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Paths {
    /// One path shape.
    Known,
    /// Each request has a path of its own.
    Unseen,
}

/// Variants measured with paths that were never seen and with tight deadlines.
const FEW: [&str; 6] = [
    "without admission",
    "policy",
    "without review",
    "without siblings",
    "first come",
    "no limits",
];

const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.0, 1.3];

/// Slots of a target at the two deployments.
const SLOTS: [usize; 2] = [6, 9];

fn first_come(scenario: &mut Scenario) {
    scenario.queue = Settings {
        long_share: None,
        adaptive_share: false,
        ageing: None,
        order: Order::Fifo,
        refuse_unreachable: false,
        ..Settings::default()
    };
}

fn no_limits(scenario: &mut Scenario) {
    first_come(scenario);
    scenario.queue.capacity = usize::MAX;
    scenario.limit = Some(usize::MAX >> 12);
}

/// Measures all policies at constant loads.
pub fn constant(seeds: &[u64], paths: Paths, deadlines: (f64, f64)) -> Table {
    let unseen_paths = paths == Paths::Unseen;
    let plain = !unseen_paths && deadlines == DEADLINES;
    // The other cases matter to few variants, so the rest is left out.
    let told = |variant: &&Variant| plain || FEW.contains(&variant.name);
    let mut table = Table::new(
        &["policy", "slots", "load"],
        &[
            "short_p50_ms",
            "short_p99_ms",
            "short_p999_ms",
            "short_p99_to_alone",
            "short_in_time",
            "long_p50_ms",
            "long_p99_ms",
            "long_in_time",
            "goodput_per_s",
            "goodput_to_load_1",
            "work_of_slots",
            "work_to_load_1",
        ],
    );
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for load in LOADS {
            for variant in VARIANTS.iter().chain(&SHARES).filter(told) {
                for &seed in seeds {
                    let scenario = move |load: f64| {
                        let mut scenario = Scenario {
                            slots,
                            unseen_paths,
                            deadlines,
                            ..Scenario::default()
                        };
                        (variant.apply)(&mut scenario);
                        scenario.with_load(load)
                    };
                    jobs.push(Job {
                        case: vec![variant.name.into(), slots.to_string(), load.to_string()],
                        seed,
                        measure: Box::new(move |seed| {
                            let mut alone = scenario(load);
                            alone.skip_long = true;
                            let alone = sim::run(&alone, seed);
                            let full = sim::run(&scenario(1.0), seed);
                            values(&sim::run(&scenario(load), seed), &alone, &full, slots)
                        }),
                    });
                }
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

fn values(run: &Run, alone: &Run, full: &Run, slots: usize) -> Vec<f64> {
    let [short, long] = &run.kinds;
    let [p50, p99, p999] = short.quantiles_ms([0.5, 0.99, 0.999]);
    let [alone_p99] = alone.kinds[0].quantiles_ms([0.99]);
    let [long_p50, long_p99] = long.quantiles_ms([0.5, 0.99]);
    vec![
        p50,
        p99,
        p999,
        p99 / alone_p99,
        short.in_time(),
        long_p50,
        long_p99,
        long.in_time(),
        run.goodput(),
        run.goodput() / full.goodput(),
        run.work() / slots as f64,
        run.work() / full.work(),
    ]
}

/// Start, length of the rise and end of the high load, in seconds.
const SWING: (f64, f64, f64) = (30.0, 2.0, 60.0);

/// Measures all policies in the first 10 s, when no shape is known.
pub fn start(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &SWING_VALUES);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&SHARES) {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = Scenario {
                        slots,
                        length: 10.0,
                        warm_up: 0.0,
                        ..Scenario::default()
                    };
                    (variant.apply)(&mut scenario);
                    swing_values(&sim::run(&scenario.with_load(0.8), seed), slots)
                };
                jobs.push(Job {
                    case: vec![variant.name.into(), slots.to_string()],
                    seed,
                    measure: Box::new(measure),
                });
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

const SWING_VALUES: [&str; 7] = [
    "in_time",
    "short_in_time",
    "long_in_time",
    "short_p50_ms",
    "short_p99_ms",
    "goodput_per_s",
    "work_of_slots",
];

/// Measures all policies through a rise of the load to the tenfold within 2 s.
pub fn swing(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &SWING_VALUES);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&SHARES) {
            for &seed in seeds {
                jobs.push(Job {
                    case: vec![variant.name.into(), slots.to_string()],
                    seed,
                    measure: Box::new(move |seed| swing_run(variant, slots, seed)),
                });
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

fn swing_run(variant: &Variant, slots: usize, seed: u64) -> Vec<f64> {
    let mut scenario = Scenario {
        slots,
        length: SWING.2,
        warm_up: SWING.0,
        ..Scenario::default()
    };
    (variant.apply)(&mut scenario);
    let high = 1.3 * scenario.capacity();
    scenario.peak_rate = high;
    scenario.rate = Box::new(move |now| high * (0.1 + 0.9 * risen(now)));
    swing_values(&sim::run(&scenario, seed), slots)
}

fn swing_values(run: &Run, slots: usize) -> Vec<f64> {
    let [short, long] = &run.kinds;
    let [p50, p99] = short.quantiles_ms([0.5, 0.99]);
    vec![
        run.in_time(),
        short.in_time(),
        long.in_time(),
        p50,
        p99,
        run.goodput(),
        run.work() / slots as f64,
    ]
}

/// Measures all policies while short work alone rises to the tenfold within 2 s, from a load of 0.8
/// of short and long work.
pub fn flood(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &SWING_VALUES);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&SHARES) {
            for &seed in seeds {
                jobs.push(Job {
                    case: vec![variant.name.into(), slots.to_string()],
                    seed,
                    measure: Box::new(move |seed| flood_run(variant, slots, seed)),
                });
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

fn flood_run(variant: &Variant, slots: usize, seed: u64) -> Vec<f64> {
    let mut scenario = Scenario {
        slots,
        length: SWING.2,
        warm_up: SWING.0,
        ..Scenario::default()
    };
    (variant.apply)(&mut scenario);
    let base = 0.8 * scenario.capacity();
    scenario.peak_rate = 10.0 * base;
    scenario.rate = Box::new(move |now| base * (1.0 + 9.0 * risen(now)));
    // The rate of long work stays what it was.
    scenario.long_factor = Box::new(|now| 1.0 / (1.0 + 9.0 * risen(now)));
    swing_values(&sim::run(&scenario, seed), slots)
}

/// Returns how far the rise has come, 0 to 1.
fn risen(now: f64) -> f64 {
    ((now - SWING.0) / SWING.1).clamp(0.0, 1.0)
}

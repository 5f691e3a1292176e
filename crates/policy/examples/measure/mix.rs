//! Experiments with short and long requests at one target.

use masticdeal_policy::queue::{Order, Settings};

use crate::jobs::{self, Job};
use crate::scenario::{DEADLINES_S, Scenario};
use crate::sim;
use crate::stats::Run;
use crate::table::Table;

/// Variant of the policy, as a change to the scenario.
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
        apply: fifo,
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
        apply: |s| s.reclassify = false,
    },
];

/// Further variants: one in which unknown shapes do not take the class of their siblings, and some
/// with other settings of the share of long requests.
const MORE_VARIANTS: [Variant; 9] = [
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

/// Paths of the long requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Paths {
    /// All requests have the same path.
    Known,
    /// Each request has a path of its own.
    Unseen,
}

/// Variants measured with unseen paths, and with deadlines other than [`DEADLINES_S`].
const SELECTED_VARIANTS: [&str; 6] = [
    "without admission",
    "policy",
    "without review",
    "without siblings",
    "first come",
    "no limits",
];

const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.0, 1.3];

/// Slots of a target in the two example deployments, Kocaeli and Hanoi.
const SLOTS: [usize; 2] = [6, 9];

fn fifo(scenario: &mut Scenario) {
    scenario.queue = Settings {
        long_share: None,
        adaptive_share: false,
        ageing: None,
        order: Order::Fifo,
        refuse_unreachable: false,
        ..Settings::default()
    };
}

/// Removes the limits on waiting requests and, in practice, on running ones.
fn no_limits(scenario: &mut Scenario) {
    fifo(scenario);
    scenario.queue.capacity = usize::MAX;
    scenario.limit = Some(usize::MAX >> 12);
}

/// Measures the variants at constant loads.
pub fn constant(seeds: &[u64], paths: Paths, deadlines: (f64, f64)) -> Table {
    let unseen_paths = paths == Paths::Unseen;
    let all_variants = !unseen_paths && deadlines == DEADLINES_S;
    // With unseen paths or other deadlines, only the selected variants are measured.
    let is_selected =
        |variant: &&Variant| all_variants || SELECTED_VARIANTS.contains(&variant.name);
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
            for variant in VARIANTS.iter().chain(&MORE_VARIANTS).filter(is_selected) {
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
                            let mut short_only = scenario(load);
                            short_only.skip_long = true;
                            let short_only = sim::run(&short_only, seed);
                            let at_load_1 = sim::run(&scenario(1.0), seed);
                            constant_load_row(
                                &sim::run(&scenario(load), seed),
                                &short_only,
                                &at_load_1,
                                slots,
                            )
                        }),
                    });
                }
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

fn constant_load_row(run: &Run, short_only: &Run, at_load_1: &Run, slots: usize) -> Vec<f64> {
    let [short, long] = &run.kinds;
    let [p50, p99, p999] = short.quantiles_ms([0.5, 0.99, 0.999]);
    let [short_only_p99] = short_only.kinds[0].quantiles_ms([0.99]);
    let [long_p50, long_p99] = long.quantiles_ms([0.5, 0.99]);
    vec![
        p50,
        p99,
        p999,
        p99 / short_only_p99,
        short.in_time(),
        long_p50,
        long_p99,
        long.in_time(),
        run.goodput(),
        run.goodput() / at_load_1.goodput(),
        run.work() / slots as f64,
        run.work() / at_load_1.work(),
    ]
}

/// Start of the load increase, duration of the increase, and end of the run, in seconds.
const INCREASE_S: (f64, f64, f64) = (30.0, 2.0, 60.0);

/// Measures all variants in the first 10 s of a run, at whose start no shape is known.
pub fn start(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &VALUE_COLUMNS);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&MORE_VARIANTS) {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = Scenario {
                        slots,
                        duration_s: 10.0,
                        warm_up_s: 0.0,
                        ..Scenario::default()
                    };
                    (variant.apply)(&mut scenario);
                    varying_load_row(&sim::run(&scenario.with_load(0.8), seed), slots)
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

/// Value columns of [`start`], [`swing`] and [`flood`].
const VALUE_COLUMNS: [&str; 7] = [
    "in_time",
    "short_in_time",
    "long_in_time",
    "short_p50_ms",
    "short_p99_ms",
    "goodput_per_s",
    "work_of_slots",
];

/// Measures all variants while the load increases tenfold within 2 s.
pub fn swing(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &VALUE_COLUMNS);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&MORE_VARIANTS) {
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
        duration_s: INCREASE_S.2,
        warm_up_s: INCREASE_S.0,
        ..Scenario::default()
    };
    (variant.apply)(&mut scenario);
    let high_rate = 1.3 * scenario.capacity();
    scenario.peak_rate = high_rate;
    scenario.rate = Box::new(move |now| high_rate * (0.1 + 0.9 * increase_progress(now)));
    varying_load_row(&sim::run(&scenario, seed), slots)
}

fn varying_load_row(run: &Run, slots: usize) -> Vec<f64> {
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

/// Measures all variants while the rate of short requests increases about tenfold within 2 s. The
/// initial load of short and long requests is 0.8.
pub fn flood(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["policy", "slots"], &VALUE_COLUMNS);
    let mut jobs = Vec::new();
    for slots in SLOTS {
        for variant in VARIANTS.iter().chain(&MORE_VARIANTS) {
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
        duration_s: INCREASE_S.2,
        warm_up_s: INCREASE_S.0,
        ..Scenario::default()
    };
    (variant.apply)(&mut scenario);
    let base_rate = 0.8 * scenario.capacity();
    scenario.peak_rate = 10.0 * base_rate;
    scenario.rate = Box::new(move |now| base_rate * (1.0 + 9.0 * increase_progress(now)));
    // The rate of long requests remains constant.
    scenario.long_factor = Box::new(|now| 1.0 / (1.0 + 9.0 * increase_progress(now)));
    varying_load_row(&sim::run(&scenario, seed), slots)
}

/// Returns the progress of the load increase, from 0 to 1.
fn increase_progress(now: f64) -> f64 {
    ((now - INCREASE_S.0) / INCREASE_S.1).clamp(0.0, 1.0)
}

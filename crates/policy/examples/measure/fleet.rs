//! Several targets: balancing, ejection and retries.

use masticdeal_policy::balance::{self, Policy};
use masticdeal_policy::eject::{self, Counting};
use masticdeal_policy::retry;

use crate::jobs::{self, Job};
use crate::scenario::{BadCallers, Faults, Report, Scenario};
use crate::sim;
use crate::stats::Run;
use crate::table::Table;

/// Balancer without the classes of requests.
const ONE_CLASS: &str = "two choices unclassed";

const BALANCERS: [(&str, Policy); 7] = [
    ("two choices", Policy::TwoChoices),
    (ONE_CLASS, Policy::TwoChoices),
    ("best score", Policy::BestScore),
    ("random", Policy::Random),
    ("round robin", Policy::RoundRobin),
    ("least outstanding", Policy::LeastOutstanding),
    ("lowest report", Policy::LowestReport),
];

/// Ingress daemons that send to the same targets.
const INGRESSES: usize = 3;

/// Start and end of a disturbance, in seconds.
const DISTURBED: (f64, f64) = (30.0, 90.0);

fn balanced(policy: Policy) -> Scenario {
    Scenario {
        ingresses: INGRESSES,
        balance: balance::Settings {
            policy,
            ..balance::Settings::default()
        },
        ..Scenario::default()
    }
}

/// Measures the balancers over targets of speeds 1:2:4, two of each, and with two of six targets,
/// those of one data centre, at half the speed.
pub fn speeds(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &["policy", "speeds", "ingresses", "long", "load"],
        &[
            "short_p50_ms",
            "short_p99_ms",
            "short_p999_ms",
            "in_time",
            "long_in_time",
            "part_of_first_two",
            "part_of_last_two",
        ],
    );
    let ratio = ("1:2:4", [1.0, 1.0, 2.0, 2.0, 4.0, 4.0]);
    let half = ("one data centre of half", [1.0, 1.0, 1.0, 1.0, 0.5, 0.5]);
    let cases = [
        (ratio, 3, 0.0),
        (ratio, 3, 0.05),
        (ratio, 30, 0.05),
        (half, 3, 0.05),
    ];
    let mut jobs = Vec::new();
    for (speeds, ingresses, long) in cases {
        for load in [0.5, 0.8, 0.95] {
            for (name, policy) in BALANCERS {
                for &seed in seeds {
                    let measure = move |seed| {
                        let mut scenario = balanced(policy);
                        scenario.classes_at_ingress = name != ONE_CLASS;
                        scenario.speeds = speeds.1.to_vec();
                        scenario.ingresses = ingresses;
                        scenario.long = long;
                        // Short work alone arrives faster; the run is shorter for it.
                        scenario.length = if long > 0.0 { 80.0 } else { 40.0 };
                        let run = sim::run(&scenario.with_load(load), seed);
                        let [p50, p99, p999] = run.kinds[0].quantiles_ms([0.5, 0.99, 0.999]);
                        vec![
                            p50,
                            p99,
                            p999,
                            run.in_time(),
                            run.kinds[1].in_time(),
                            run.part_of(0) + run.part_of(1),
                            run.part_of(4) + run.part_of(5),
                        ]
                    };
                    jobs.push(Job {
                        case: vec![
                            name.into(),
                            speeds.0.into(),
                            ingresses.to_string(),
                            long.to_string(),
                            load.to_string(),
                        ],
                        seed,
                        measure: Box::new(measure),
                    });
                }
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

/// Measures the balancers with one of four targets at a quarter of the speed, which reports that it
/// is idle.
pub fn lying(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &["policy", "reports", "load"],
        &["short_p50_ms", "short_p99_ms", "in_time", "part_of_slow"],
    );
    let truth = [Report::True, Report::True, Report::True, Report::True];
    let lie = [Report::True, Report::True, Report::True, Report::Idle];
    let cases = [
        ("none", vec![Report::None]),
        ("true", truth.to_vec()),
        ("lying", lie.to_vec()),
    ];
    let mut jobs = Vec::new();
    for load in [0.5, 0.8] {
        for (reports, told) in &cases {
            for (name, policy) in BALANCERS {
                for &seed in seeds {
                    let measure = move |seed| {
                        let mut scenario = balanced(policy);
                        scenario.classes_at_ingress = name != ONE_CLASS;
                        scenario.speeds = vec![1.0, 1.0, 1.0, 0.25];
                        scenario.reports = told.clone();
                        scenario.long = 0.0;
                        scenario.length = 60.0;
                        let run = sim::run(&scenario.with_load(load), seed);
                        let [p50, p99] = run.kinds[0].quantiles_ms([0.5, 0.99]);
                        vec![p50, p99, run.in_time(), run.part_of(3)]
                    };
                    jobs.push(Job {
                        case: vec![name.into(), (*reports).into(), load.to_string()],
                        seed,
                        measure: Box::new(measure),
                    });
                }
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

/// Measures ejection while a target fails, while callers ask for the impossible, and during both.
pub fn ejection(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &["counting", "disturbance", "ingresses", "load"],
        &[
            "in_time",
            "goodput_per_s",
            "short_p99_ms",
            "ejections_of_faulty",
            "ejections_of_healthy",
            "part_of_faulty",
        ],
    );
    let countings = [
        ("none", None),
        ("target faults", Some(Counting::TargetFaults)),
        ("all errors", Some(Counting::AllErrors)),
    ];
    let disturbances = [
        ("nothing", false, false),
        ("failing target", true, false),
        ("bad callers", false, true),
        ("both", true, true),
    ];
    let mut jobs = Vec::new();
    let cases = [(1, 0.6), (1, 0.7), (3, 0.6), (3, 0.7)]
        .into_iter()
        .flat_map(|case| disturbances.map(|d| (case, d)));
    for ((ingresses, load), (disturbance, failing, storm)) in cases {
        for (name, counting) in countings {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = disturbed(load, counting, failing, storm);
                    scenario.ingresses = ingresses;
                    let run = sim::run(&scenario, seed);
                    let [p99] = run.kinds[0].quantiles_ms([0.99]);
                    let healthy: usize = run.ejections[1..].iter().sum();
                    vec![
                        run.in_time(),
                        run.goodput(),
                        p99,
                        run.ejections[0] as f64,
                        healthy as f64,
                        run.part_of(0),
                    ]
                };
                jobs.push(Job {
                    case: vec![
                        name.into(),
                        disturbance.into(),
                        ingresses.to_string(),
                        load.to_string(),
                    ],
                    seed,
                    measure: Box::new(measure),
                });
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

/// Share of requests that bad callers send while they are active.
const BAD_SHARE: f64 = 0.6;

fn disturbed(load: f64, counting: Option<Counting>, failing: bool, storm: bool) -> Scenario {
    let mut scenario = balanced(Policy::TwoChoices);
    scenario.speeds = vec![1.0; 4];
    scenario.long = 0.0;
    scenario.warm_up = DISTURBED.0;
    scenario.length = DISTURBED.1;
    scenario.eject = counting.map(|counting| eject::Settings {
        counting,
        ..eject::Settings::default()
    });
    if failing {
        scenario.faults = Faults {
            target: 0,
            during: DISTURBED,
            failing: 0.8,
            all: false,
        };
    }
    let good = load * scenario.capacity();
    scenario.peak_rate = good;
    scenario.rate = Box::new(move |_| good);
    if storm {
        scenario.bad_callers = BadCallers {
            during: DISTURBED,
            invalid: BAD_SHARE * 2.0 / 3.0,
            impatient: BAD_SHARE / 3.0,
        };
        // The bad requests come on top of the good ones.
        scenario.peak_rate = good / (1.0 - BAD_SHARE);
        let all = scenario.peak_rate;
        scenario.rate = Box::new(move |now| if now < DISTURBED.0 { good } else { all });
    }
    scenario
}

/// Measures what retries add to the load, with and without a budget.
pub fn retries(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &["retries", "disturbance"],
        &["attempts_per_request", "in_time", "short_p99_ms"],
    );
    let rules = [
        ("none", 1, 0.1),
        ("budget 0.1", 3, 0.1),
        ("no budget", 3, 1e9),
    ];
    let disturbances = [
        ("nothing", 0.6),
        ("one of 4 fails", 0.6),
        ("one of 4 fails with ejection", 0.6),
        ("all fail", 0.6),
        ("load 1.3", 1.3),
    ];
    let mut jobs = Vec::new();
    for (disturbance, load) in disturbances {
        for (name, attempts, share) in rules {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = balanced(Policy::TwoChoices);
                    scenario.speeds = vec![1.0; 4];
                    scenario.long = 0.0;
                    scenario.warm_up = DISTURBED.0;
                    scenario.length = DISTURBED.1;
                    scenario.retry.max_attempts = attempts;
                    scenario.budget = retry::RetryBudgetSettings {
                        share,
                        ..retry::RetryBudgetSettings::default()
                    };
                    let ejects = disturbance.contains("ejection");
                    scenario.eject = ejects.then(eject::Settings::default);
                    scenario.faults = Faults {
                        target: 0,
                        during: DISTURBED,
                        failing: if disturbance.contains("fail") {
                            1.0
                        } else {
                            0.0
                        },
                        all: disturbance == "all fail",
                    };
                    values(&sim::run(&scenario.with_load(load), seed))
                };
                jobs.push(Job {
                    case: vec![name.into(), disturbance.into()],
                    seed,
                    measure: Box::new(measure),
                });
            }
        }
    }
    jobs::run(&jobs, &mut table);
    table
}

fn values(run: &Run) -> Vec<f64> {
    let [p99] = run.kinds[0].quantiles_ms([0.99]);
    vec![run.load_factor(), run.in_time(), p99]
}

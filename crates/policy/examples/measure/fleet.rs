//! Experiments with several targets: balancing, ejection and retries.

use masticdeal_policy::balance::{self, Policy};
use masticdeal_policy::eject::{self, Counting};
use masticdeal_policy::retry;

use crate::jobs::{self, Job};
use crate::scenario::{BadCallers, Faults, Report, Scenario};
use crate::sim;
use crate::stats::Run;
use crate::table::Table;

/// Variant in which the balancer does not know the cost classes.
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

/// Number of ingress daemons.
const INGRESSES: usize = 3;

/// Start and end of a disturbance in seconds.
const DISTURBANCE_S: (f64, f64) = (30.0, 90.0);

fn scenario_with_policy(policy: Policy) -> Scenario {
    Scenario {
        ingresses: INGRESSES,
        balance: balance::Settings {
            policy,
            ..balance::Settings::default()
        },
        ..Scenario::default()
    }
}

/// Measures the balancing policies over targets of different speeds.
///
/// Of six targets, either two each have speed 1, 2 and 4, or the two of one data centre have half
/// the speed of the others.
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
    let ratio_1_2_4 = ("1:2:4", [1.0, 1.0, 2.0, 2.0, 4.0, 4.0]);
    let half_speed = ("one data centre of half", [1.0, 1.0, 1.0, 1.0, 0.5, 0.5]);
    let cases = [
        (ratio_1_2_4, 3, 0.0),
        (ratio_1_2_4, 3, 0.05),
        (ratio_1_2_4, 30, 0.05),
        (half_speed, 3, 0.05),
    ];
    let mut jobs = Vec::new();
    for (speeds, ingresses, long_share) in cases {
        for load in [0.5, 0.8, 0.95] {
            for (name, policy) in BALANCERS {
                for &seed in seeds {
                    let measure = move |seed| {
                        let mut scenario = scenario_with_policy(policy);
                        scenario.classes_at_ingress = name != ONE_CLASS;
                        scenario.speeds = speeds.1.to_vec();
                        scenario.ingresses = ingresses;
                        scenario.long_share = long_share;
                        // The rate of short requests alone is higher, so a shorter run suffices.
                        scenario.duration_s = if long_share > 0.0 { 80.0 } else { 40.0 };
                        let run = sim::run(&scenario.with_load(load), seed);
                        let [p50, p99, p999] = run.kinds[0].quantiles_ms([0.5, 0.99, 0.999]);
                        vec![
                            p50,
                            p99,
                            p999,
                            run.in_time(),
                            run.kinds[1].in_time(),
                            run.share_of(0) + run.share_of(1),
                            run.share_of(4) + run.share_of(5),
                        ]
                    };
                    jobs.push(Job {
                        case: vec![
                            name.into(),
                            speeds.0.into(),
                            ingresses.to_string(),
                            long_share.to_string(),
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

/// Measures the balancing policies with one of four targets at a quarter of the speed. In one case,
/// this target falsely reports that it is idle.
pub fn lying(seeds: &[u64]) -> Table {
    let mut table = Table::new(
        &["policy", "reports", "load"],
        &["short_p50_ms", "short_p99_ms", "in_time", "part_of_slow"],
    );
    let true_reports = [Report::True, Report::True, Report::True, Report::True];
    let one_false_report = [Report::True, Report::True, Report::True, Report::Idle];
    let cases = [
        ("none", vec![Report::None]),
        ("true", true_reports.to_vec()),
        ("lying", one_false_report.to_vec()),
    ];
    let mut jobs = Vec::new();
    for load in [0.5, 0.8] {
        for (case, reports) in &cases {
            for (name, policy) in BALANCERS {
                for &seed in seeds {
                    let measure = move |seed| {
                        let mut scenario = scenario_with_policy(policy);
                        scenario.classes_at_ingress = name != ONE_CLASS;
                        scenario.speeds = vec![1.0, 1.0, 1.0, 0.25];
                        scenario.reports = reports.clone();
                        scenario.long_share = 0.0;
                        scenario.duration_s = 60.0;
                        let run = sim::run(&scenario.with_load(load), seed);
                        let [p50, p99] = run.kinds[0].quantiles_ms([0.5, 0.99]);
                        vec![p50, p99, run.in_time(), run.share_of(3)]
                    };
                    jobs.push(Job {
                        case: vec![name.into(), (*case).into(), load.to_string()],
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

/// Measures ejection while a target fails, while callers send bad requests, and during both.
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
    for ((ingresses, load), (disturbance, failing, bad_callers)) in cases {
        for (name, counting) in countings {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = disturbed_scenario(load, counting, failing, bad_callers);
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
                        run.share_of(0),
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

/// Share of all requests that come from bad callers while these are active.
const BAD_SHARE: f64 = 0.6;

/// Returns a scenario with the given disturbances, which last from the end of the warm-up to the
/// end of the arrivals.
fn disturbed_scenario(
    load: f64,
    counting: Option<Counting>,
    failing: bool,
    bad_callers: bool,
) -> Scenario {
    let mut scenario = scenario_with_policy(Policy::TwoChoices);
    scenario.speeds = vec![1.0; 4];
    scenario.long_share = 0.0;
    scenario.warm_up_s = DISTURBANCE_S.0;
    scenario.duration_s = DISTURBANCE_S.1;
    scenario.eject = counting.map(|counting| eject::Settings {
        counting,
        ..eject::Settings::default()
    });
    if failing {
        scenario.faults = Faults {
            target: 0,
            period_s: DISTURBANCE_S,
            failure_share: 0.8,
            all_targets: false,
        };
    }
    let good_rate = load * scenario.capacity();
    scenario.peak_rate = good_rate;
    scenario.rate = Box::new(move |_| good_rate);
    if bad_callers {
        scenario.bad_callers = BadCallers {
            period_s: DISTURBANCE_S,
            invalid_share: BAD_SHARE * 2.0 / 3.0,
            impatient_share: BAD_SHARE / 3.0,
        };
        // The bad requests are sent in addition to the good ones.
        scenario.peak_rate = good_rate / (1.0 - BAD_SHARE);
        let total_rate = scenario.peak_rate;
        scenario.rate = Box::new(move |now| {
            if now < DISTURBANCE_S.0 {
                good_rate
            } else {
                total_rate
            }
        });
    }
    scenario
}

/// Measures the load added by retries with and without a budget, and the load without retries.
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
        for (name, max_attempts, share) in rules {
            for &seed in seeds {
                let measure = move |seed| {
                    let mut scenario = scenario_with_policy(Policy::TwoChoices);
                    scenario.speeds = vec![1.0; 4];
                    scenario.long_share = 0.0;
                    scenario.warm_up_s = DISTURBANCE_S.0;
                    scenario.duration_s = DISTURBANCE_S.1;
                    scenario.retry.max_attempts = max_attempts;
                    scenario.budget = retry::RetryBudgetSettings {
                        share,
                        ..retry::RetryBudgetSettings::default()
                    };
                    let ejects = disturbance.contains("ejection");
                    scenario.eject = ejects.then(eject::Settings::default);
                    scenario.faults = Faults {
                        target: 0,
                        period_s: DISTURBANCE_S,
                        failure_share: if disturbance.contains("fail") {
                            1.0
                        } else {
                            0.0
                        },
                        all_targets: disturbance == "all fail",
                    };
                    retry_row(&sim::run(&scenario.with_load(load), seed))
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

fn retry_row(run: &Run) -> Vec<f64> {
    let [p99] = run.kinds[0].quantiles_ms([0.99]);
    vec![run.load_factor(), run.in_time(), p99]
}

//! Processor time of the policy decisions, in real time on this machine.

use std::hint::black_box;
use std::time::{Duration, Instant};

use masticdeal_policy::balance::{self, Balancer, TargetIx};
use masticdeal_policy::classifier::{self, Classifier, CostClass, ExpectedTime};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{self, Queue, RequestInfo};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::table::{Row, Table};

/// Number of requests in one measurement.
const ROUNDS: u32 = 100_000;

/// Measures the time per request of the decisions of the owner and of the ingress.
pub fn measure(seeds: &[u64]) -> Table {
    let mut table = Table::new(&["decision", "size"], &["ns_per_request"]);
    for &seed in seeds {
        for waiting in [0, 20, 190] {
            add_row(
                &mut table,
                "owner by waiting requests",
                waiting,
                seed,
                measure_owner(waiting),
            );
        }
        for targets in [3, 6, 40] {
            add_row(
                &mut table,
                "ingress by targets",
                targets,
                seed,
                measure_ingress(targets, seed),
            );
        }
    }
    table
}

fn add_row(table: &mut Table, decision: &str, size: usize, seed: u64, time_ns: f64) {
    table.rows.push(Row {
        case: vec![decision.to_owned(), size.to_string()],
        seed,
        values: vec![time_ns],
    });
}

fn request(path: &str) -> classifier::Request<'_> {
    classifier::Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    }
}

/// Measures the classification of a request and its way through the queue, at a constant number of
/// waiting requests. Returns nanoseconds per request.
fn measure_owner(waiting: usize) -> f64 {
    let mut classifier = Classifier::new(classifier::Settings::default());
    let mut queue = Queue::new(
        queue::Settings::default(),
        ConcurrencyLimit::new(limit::Settings::default(), 6),
    );
    let deadline = Duration::from_secs(3600);
    let mean = Duration::from_millis(1);
    for item in 0..waiting + 5 {
        let info = RequestInfo {
            cost: CostClass::Short,
            shape: None,
            expected: Some(ExpectedTime { mean, upper: mean }),
            deadline,
            due: None,
            priority: 0,
            bytes: 0.0,
        };
        let _ = queue.push(Duration::ZERO, info, item);
    }
    // Five requests hold a slot during the whole measurement.
    let permits: Vec<_> = (0..5).map_while(|_| queue.pop(Duration::ZERO)).collect();
    let paths = ["/library/session/4711", "/library/abstract/17.pdf"];
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        let class = classifier.classify(now, request(paths[round as usize % 2]));
        let _ = black_box(queue.push(now, RequestInfo::new(class, deadline), 0));
        queue.reclassify(now, &mut classifier);
        if let Some((_, permit)) = queue.pop(now) {
            queue.finish(now, permit, Some(mean));
        }
        black_box(queue.take_refused(now));
        classifier.record(now, class.shape, mean);
    }
    let time_ns = start.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    drop(permits);
    time_ns
}

/// Measures the choice, start and finish of a request. Returns nanoseconds per request.
fn measure_ingress(targets: usize, seed: u64) -> f64 {
    let mut balancer = Balancer::new(balance::Settings::default());
    let mut rng = StdRng::seed_from_u64(seed);
    for ix in 0..targets {
        balancer.add(Duration::ZERO, TargetIx(ix as u32), false);
    }
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_micros(u64::from(round));
        if let Some(ix) = balancer.choose(now, &mut rng) {
            let sent_request = balancer.start(now, ix);
            balancer.finish(now + Duration::from_millis(1), sent_request, true);
        }
    }
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

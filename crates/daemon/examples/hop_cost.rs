//! Measures the latency that the daemons add to a request. Each round measures three paths: direct
//! to the target, through the owner's daemon, and through an ingress daemon and the owner's daemon.
//!
//! One caller sends requests sequentially on a keep-alive connection. The output is p50 and p99 in
//! microseconds for each path and round, followed by the median and the range over all rounds of
//! the ratio and the difference to the direct path.
//!
//! `cargo run --release -p masticdeald --example hop_cost -- [requests per round] [rounds]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{Caller, Script, Target, read, request, start_pair};

/// Number of requests sent before each measurement; their latency is discarded.
const WARM_UP_REQUESTS: usize = 500;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let mut args = std::env::args()
        .skip(1)
        .map(|a| a.parse::<usize>().expect("a number"));
    let requests = args.next().unwrap_or(5_000);
    let rounds = args.next().unwrap_or(5);
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    let paths = [
        ("direct", target.address),
        ("owner", owner.caller_address),
        ("hop", ingress.caller_address),
    ];
    let mut p50 = vec![Vec::new(); paths.len()];
    for round in 0..rounds {
        for (i, (name, address)) in paths.iter().enumerate() {
            let mut times = measure_latencies(*address, requests).await;
            times.sort_by(f64::total_cmp);
            let quantile = |q: f64| times[(times.len() as f64 * q) as usize];
            println!(
                "round {round} {name}: p50 {} us, p99 {} us",
                quantile(0.5),
                quantile(0.99)
            );
            p50[i].push(quantile(0.5));
        }
    }
    for (i, (name, _)) in paths.iter().enumerate().skip(1) {
        let pairs = || p50[i].iter().zip(&p50[0]);
        print_summary(name, "ratio", pairs().map(|(a, b)| a / b).collect());
        print_summary(
            name,
            "difference in us",
            pairs().map(|(a, b)| a - b).collect(),
        );
    }
}

/// Returns the latency of each request in microseconds.
async fn measure_latencies(address: SocketAddr, requests: usize) -> Vec<f64> {
    let mut caller = Caller::connect(address).await;
    let mut times = Vec::with_capacity(requests);
    for i in 0..WARM_UP_REQUESTS + requests {
        let start = Instant::now();
        let response = read(caller.send(request("GET", "/search/4711", &[], "")).await).await;
        let time = start.elapsed();
        assert_eq!(response.status, 200);
        if i >= WARM_UP_REQUESTS {
            times.push(time.as_nanos() as f64 / 1_000.0);
        }
    }
    times
}

fn print_summary(path: &str, quantity: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let (least, most) = (values[0], values[values.len() - 1]);
    println!(
        "{path} against direct, p50 {quantity}: median {median:.2}, from {least:.2} to {most:.2}"
    );
}

//! Measures what the daemons add to a request: direct to the target, through the owner's daemon,
//! and through an ingress daemon and the owner's daemon, in turn within one run.
//!
//! One caller sends requests one after the other on a kept connection. Output: p50 and p99 in
//! microseconds for each way and round, then median and spread over the rounds of the ratio and the
//! difference to the direct way.
//!
//! `cargo run --release -p masticdeald --example hop_cost -- [requests per round] [rounds]`

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{Caller, Script, Target, read, request, start_pair};

const WARM_UP: usize = 500;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let mut args = std::env::args()
        .skip(1)
        .map(|a| a.parse::<usize>().expect("a number"));
    let requests = args.next().unwrap_or(5_000);
    let rounds = args.next().unwrap_or(5);
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    let ways = [
        ("direct", target.address),
        ("owner", owner.callers),
        ("hop", ingress.callers),
    ];
    let mut p50 = vec![Vec::new(); ways.len()];
    for round in 0..rounds {
        for (i, (name, port)) in ways.iter().enumerate() {
            let mut times = run(*port, requests).await;
            times.sort_by(f64::total_cmp);
            let at = |q: f64| times[(times.len() as f64 * q) as usize];
            println!(
                "round {round} {name}: p50 {} us, p99 {} us",
                at(0.5),
                at(0.99)
            );
            p50[i].push(at(0.5));
        }
    }
    for (i, (name, _)) in ways.iter().enumerate().skip(1) {
        let pairs = || p50[i].iter().zip(&p50[0]);
        summary(name, "ratio", pairs().map(|(a, b)| a / b).collect());
        summary(
            name,
            "difference in us",
            pairs().map(|(a, b)| a - b).collect(),
        );
    }
}

/// Returns the times in microseconds.
async fn run(port: SocketAddr, requests: usize) -> Vec<f64> {
    let mut caller = Caller::connect(port).await;
    let mut times = Vec::with_capacity(requests);
    for i in 0..WARM_UP + requests {
        let start = Instant::now();
        let seen = read(caller.send(request("GET", "/search/4711", &[], "")).await).await;
        let time = start.elapsed();
        assert_eq!(seen.status, 200);
        if i >= WARM_UP {
            times.push(time.as_nanos() as f64 / 1_000.0);
        }
    }
    times
}

fn summary(way: &str, what: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let (least, most) = (values[0], values[values.len() - 1]);
    println!("{way} against direct, p50 {what}: median {median:.2}, from {least:.2} to {most:.2}");
}

//! The desired state changes while a worker drains.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Site, wait_ready};
use crate::requester::Sent;
use crate::store::Store;
use crate::util::{now, record, sleep_ms, sleep_until};
use crate::worker::{Work, Worker};

/// `drain-s` of the small deployments.
const DRAIN: Duration = Duration::from_secs(2);

/// Requests per second; the two workers run 41 of them.
const RATE: u64 = 60;

fn config(version: u32, other_timeout: f64) -> String {
    format!(
        r#"{{"version":"r{version}","routes":[
{{"name":"r-reg","host":"reg.example","path-prefix":"/reg/","kind":"non_idempotent","timeout-s":5,"target-latency-s":3,"priority":1,"service":"reg","max-attempts":2}},
{{"name":"r-other","host":"other.example","path-prefix":"/other/","kind":"idempotent","timeout-s":{other_timeout},"target-latency-s":0.3,"priority":2,"service":"reg","max-attempts":2}}],
"services":[{{"name":"reg","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#
    )
}

pub fn run(dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.operator_put("op/config", &config(7, 1.0));
    let places = [("sidecar-a-1", "a"), ("sidecar-b-1", "b")];
    let mut daemons: Vec<Daemon> = places
        .into_iter()
        .map(|(name, zone)| {
            let site = Site {
                name: name.into(),
                zone: zone.into(),
                service: "reg".into(),
            };
            Daemon::new(dir, site, store.address, false)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    sleep_ms(200);
    let work = Work {
        slots: 6,
        queue: 24,
        head_after: Duration::from_millis(290),
        body_bytes: 1_500,
        body_over: Duration::ZERO,
    };
    let workers: Vec<Worker> = daemons.iter().map(|d| Worker::start(d, work)).collect();
    if !wait_ready(&daemons) {
        return Verdict::CouldNotRun;
    }
    sleep_ms(4_000);
    let begin = now();
    let (first, second) = (daemons[0].callers, daemons[1].callers);
    let seen = Arc::new(Mutex::new(Vec::new()));
    let collected = seen.clone();
    let load = thread::spawn(move || {
        let mut requesters = Vec::new();
        for i in 0..RATE * 10 {
            sleep_until(begin + Duration::from_micros(1_000_000 / RATE * i));
            let sent = Sent {
                id: format!("{i:016x}"),
                to: if i % 2 == 0 { first } else { second },
                method: "POST",
                host: "reg.example",
                path: "/reg/new",
                body: 600,
                limit_ms: 5_000,
                leaves_after: None,
            };
            let collected = collected.clone();
            requesters.push(thread::spawn(move || {
                let answer = sent.send(Duration::from_secs(6));
                collected.lock().unwrap().push(answer);
            }));
        }
        requesters.into_iter().for_each(|r| r.join().unwrap());
    });
    sleep_until(begin + Duration::from_secs(5));
    let Some(acked_at) = workers[0].drain() else {
        return Verdict::CouldNotRun;
    };
    sleep_until(acked_at + Duration::from_millis(1_000));
    if trouble {
        record("the operator writes version r9, with another time-out of route r-other");
        store.operator_put("op/config", &config(9, 1.1));
    }
    // The worker serves on a little longer than `drain-s` after the ack, and exits.
    sleep_until(acked_at + DRAIN + Duration::from_millis(200));
    workers[0].end();
    load.join().unwrap();
    let seen = seen.lock().unwrap();
    let count = |status: u16| seen.iter().filter(|s| s.status == status).count();
    record(&format!(
        "{} requests: {} with 200, {} with 503, {} with 502, {} with 504, {} without an answer",
        seen.len(),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0)
    ));
    let arrivals = workers[0].arrivals();
    let after = arrivals.iter().filter(|a| a.at > acked_at).count();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|a| a.at > acked_at + DRAIN && a.outcome != "421")
        .collect();
    for arrival in &late {
        let answer = seen
            .iter()
            .find(|s| s.id == arrival.id)
            .map_or(0, |s| s.status);
        record(&format!(
            "request {} reached worker {} {:.3} s after the ack: {}; its requester got {answer}",
            arrival.id,
            workers[0].id,
            (arrival.at - acked_at).as_secs_f64(),
            arrival.outcome
        ));
    }
    record(&format!(
        "worker {}: {} requests, {after} after the ack, {} later than drain-s after it",
        workers[0].id,
        arrivals.len(),
        late.len()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

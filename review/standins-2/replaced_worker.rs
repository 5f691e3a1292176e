//! A worker whose status reports arrive late crashes and starts again with another id.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Site, wait_ready};
use crate::requester::{Seen, Sent};
use crate::store::Store;
use crate::util::{now, record, sleep_ms, sleep_until};
use crate::worker::{Work, Worker};

/// Requests per second; the eight workers run 800 of them.
const RATE: u64 = 200;

/// Length of the load.
const LOAD: Duration = Duration::from_secs(20);

/// Time by which the reports of one worker are late.
const LATENESS: Duration = Duration::from_millis(2500);

/// Time for which the worker is down.
const DOWN: Duration = Duration::from_secs(1);

/// `budget-window-s`, `retry-budget-ratio` and `retry-budget-slack` of the small deployments.
const BUDGET: (Duration, f64, f64) = (Duration::from_secs(10), 0.2, 62.0);

const CONFIG: &str = r#"{"version":"r7","routes":[
{"name":"r-look","host":"look.example","path-prefix":"/look/","kind":"idempotent","timeout-s":1,"target-latency-s":0.3,"priority":2,"service":"look","max-attempts":2}],
"services":[{"name":"look","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.operator_put("op/config", CONFIG);
    let places = [
        ("a-1", "a"),
        ("a-2", "a"),
        ("a-3", "a"),
        ("b-1", "b"),
        ("b-2", "b"),
        ("b-3", "b"),
        ("c-1", "c"),
        ("c-2", "c"),
    ];
    let mut daemons: Vec<Daemon> = places
        .into_iter()
        .map(|(name, zone)| {
            let site = Site {
                name: format!("sidecar-{name}"),
                zone: zone.into(),
                service: "look".into(),
            };
            Daemon::new(dir, site, store.address, false)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    sleep_ms(200);
    let work = Work {
        slots: 6,
        queue: 24,
        head_after: Duration::from_millis(60),
        body_bytes: 1_500,
        body_over: Duration::ZERO,
    };
    let mut workers: Vec<Worker> = daemons[1..]
        .iter()
        .map(|d| Worker::start(d, work))
        .collect();
    workers.push(Worker::start_late(&daemons[0], work, LATENESS));
    if !wait_ready(&daemons) {
        return Verdict::CouldNotRun;
    }
    sleep_ms(6_000);
    let begin = now();
    let callers: Vec<_> = daemons.iter().map(|d| d.callers).collect();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let collected = seen.clone();
    let load = thread::spawn(move || {
        let mut requesters = Vec::new();
        for i in 0..RATE * LOAD.as_secs() {
            sleep_until(begin + Duration::from_micros(1_000_000 / RATE * i));
            let sent = Sent {
                id: format!("{i:016x}"),
                to: callers[i as usize % callers.len()],
                method: "GET",
                host: "look.example",
                path: "/look/up",
                body: 0,
                limit_ms: 2_000,
                leaves_after: None,
            };
            let collected = collected.clone();
            requesters.push(thread::spawn(move || {
                let answer = sent.send(Duration::from_secs(3));
                collected.lock().unwrap().push(answer);
            }));
        }
        requesters.into_iter().for_each(|r| r.join().unwrap());
    });
    sleep_until(begin + Duration::from_secs(11));
    if trouble {
        workers[7].end();
        thread::sleep(DOWN);
        workers.push(Worker::start_late(&daemons[0], work, LATENESS));
        record(&format!("worker {} starts at its address", workers[8].id));
    }
    load.join().unwrap();
    judge(&workers, &seen.lock().unwrap())
}

/// Judges by the largest number of arrivals beyond the first of each request in a window.
fn judge(workers: &[Worker], seen: &[Seen]) -> Verdict {
    for worker in workers {
        let arrivals = worker.arrivals();
        let refused = arrivals.iter().filter(|a| a.outcome == "421").count();
        record(&format!(
            "worker {}: {} arrivals, {refused} refused with 421",
            worker.id,
            arrivals.len()
        ));
    }
    let mut counts = HashMap::new();
    seen.iter()
        .for_each(|s| *counts.entry(s.status).or_insert(0) += 1);
    record(&format!("{} requests, by status: {counts:?}", seen.len()));
    let mut arrivals: Vec<_> = workers.iter().flat_map(Worker::arrivals).collect();
    arrivals.sort_by_key(|a| a.at);
    let mut known = HashSet::new();
    let repeats: Vec<Duration> = arrivals
        .iter()
        .filter(|a| !known.insert(a.id.clone()))
        .map(|a| a.at)
        .collect();
    let (window, ratio, slack) = BUDGET;
    let sent_in = |from: Duration| {
        let is_in = |s: &&Seen| from <= s.sent_at && s.sent_at < from + window;
        seen.iter().filter(is_in).count()
    };
    let Some(&first) = repeats.first() else {
        record("no repeated arrivals");
        return Verdict::Held;
    };
    let mut is_broken = false;
    let mut most = (0, 0);
    for step in 0..400 {
        let from = first.saturating_sub(window) + Duration::from_millis(50) * step;
        let repeated = repeats
            .iter()
            .filter(|at| from <= **at && **at < from + window)
            .count();
        let earlier = [
            from,
            from.saturating_sub(window),
            from.saturating_sub(window / 2),
        ];
        let sent = earlier.into_iter().map(sent_in).max().unwrap_or(0);
        is_broken |= repeated as f64 > ratio * sent as f64 + slack;
        most = most.max((repeated, sent));
    }
    record(&format!(
        "{} repeated arrivals; most in a window of {window:?}: {}, with {} requests, so {:.0} are allowed",
        repeats.len(),
        most.0,
        most.1,
        ratio * most.1 as f64 + slack
    ));
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

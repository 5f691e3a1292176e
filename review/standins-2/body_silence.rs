//! One connection between two daemons goes silent for good while response bodies are on their way.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Site, wait_ready};
use crate::proxy::Proxy;
use crate::requester::Sent;
use crate::store::Store;
use crate::util::{now, record, sleep_ms, sleep_until};
use crate::worker::{Work, Worker};

/// `timeout-s` of the route.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit of the requesters, the longest one on the sheets.
const LIMIT: Duration = Duration::from_secs(6);

/// Time after the route's time-out at which a final answer must have come.
const SLACK: Duration = Duration::from_millis(500);

const REQUESTS: usize = 24;

const CONFIG: &str = r#"{"version":"r7","routes":[
{"name":"r-files","host":"files.example","path-prefix":"/files/","kind":"download","timeout-s":4,"target-latency-s":1.2,"priority":2,"service":"files","max-attempts":2},
{"name":"r-front","host":"front.example","path-prefix":"/front/","kind":"idempotent","timeout-s":1,"target-latency-s":0.3,"priority":2,"service":"front","max-attempts":2}],
"services":[{"name":"files","health-path":"/health","max-connections":130,"protocol":"h1","tls":false},{"name":"front","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.operator_put("op/config", CONFIG);
    let places = [
        ("sidecar-a-1", "a", "front"),
        ("sidecar-b-1", "b", "files"),
        ("sidecar-c-1", "c", "files"),
    ];
    let mut daemons: Vec<Daemon> = places
        .into_iter()
        .map(|(name, zone, service)| {
            let site = Site {
                name: name.into(),
                zone: zone.into(),
                service: service.into(),
            };
            Daemon::new(dir, site, store.address, true)
        })
        .collect();
    let proxies: Vec<Proxy> = daemons
        .iter()
        .map(|d| Proxy::start(d.advertised, d.peers))
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    let work = |body_bytes, body_over| Work {
        slots: 12,
        queue: 24,
        head_after: Duration::from_millis(60),
        body_bytes,
        body_over: Duration::from_millis(body_over),
    };
    sleep_ms(200);
    let workers = [
        Worker::start(&daemons[0], work(1_500, 0)),
        Worker::start(&daemons[1], work(300_000, 2_000)),
        Worker::start(&daemons[2], work(300_000, 2_000)),
    ];
    if !wait_ready(&daemons) {
        return Verdict::CouldNotRun;
    }
    // All machines are in touch once they have run without disturbance for `stable-window-s`.
    sleep_ms(4_000);
    let begin = now();
    let to = daemons[0].callers;
    let requesters: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let sent = Sent {
                id: format!("{i:016x}"),
                to,
                method: "GET",
                host: "files.example",
                path: "/files/sheet",
                body: 0,
                limit_ms: LIMIT.as_millis() as u64,
                leaves_after: None,
            };
            thread::spawn(move || sent.send(LIMIT))
        })
        .collect();
    sleep_until(begin + Duration::from_millis(600));
    if trouble {
        let (bytes, opened) = proxies[1].silence_busiest();
        record(&format!(
            "one of {opened} connections to daemon sidecar-b-1 goes silent, {bytes} bytes came on it"
        ));
    }
    let seen: Vec<_> = requesters.into_iter().map(|r| r.join().unwrap()).collect();
    let arrived: usize = workers.iter().map(|w| w.arrivals().len()).sum();
    for arrival in workers.iter().flat_map(Worker::arrivals) {
        record(&format!(
            "worker: request {} arrived at {:.3} s, {}",
            arrival.id,
            arrival.at.as_secs_f64(),
            arrival.outcome
        ));
    }
    let lasts = |limit: Duration| {
        seen.iter()
            .filter(|s| s.ended_at.is_none_or(|at| at > s.sent_at + limit))
            .count()
    };
    let (late, unanswered) = (lasts(TIMEOUT), lasts(TIMEOUT + SLACK));
    let complete = seen.iter().filter(|s| s.is_complete).count();
    record(&format!(
        "{REQUESTS} requests, {arrived} arrivals, {complete} complete; {late} last longer than timeout-s, {unanswered} of them have no final answer 0.5 s later"
    ));
    if daemons.iter_mut().any(|d| !d.is_running()) {
        record("a daemon has ended by itself");
    }
    if !trouble && complete < REQUESTS {
        return Verdict::CouldNotRun;
    }
    match unanswered >= 8 && 4 * unanswered > late {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

//! A worker has left. Its daemon is killed, and the next process gets a late report of an earlier boot.

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

/// `drain-s` and `stable-window-s` of the small deployments.
const DRAIN: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time by which one report is late.
const LATENESS: Duration = Duration::from_secs(5);

/// Requests per second.
const RATE: u64 = 30;

const CONFIG: &str = r#"{"version":"r7","routes":[
{"name":"r-reg","host":"reg.example","path-prefix":"/reg/","kind":"non_idempotent","timeout-s":1.2,"target-latency-s":0.4,"priority":1,"service":"reg","max-attempts":2}],
"services":[{"name":"reg","health-path":"/health","max-connections":130,"protocol":"h1","tls":false},{"name":"front","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.operator_put("op/config", CONFIG);
    let places = [
        ("a-1", "a", "reg"),
        ("b-1", "b", "reg"),
        ("c-1", "c", "reg"),
        ("d-1", "d", "front"),
    ];
    let mut daemons: Vec<Daemon> = places
        .into_iter()
        .map(|(name, zone, service)| {
            let site = Site {
                name: format!("sidecar-{name}"),
                zone: zone.into(),
                service: service.into(),
            };
            Daemon::new(dir, site, store.address, false)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    sleep_ms(200);
    let work = Work {
        slots: 6,
        queue: 24,
        head_after: Duration::from_millis(100),
        body_bytes: 1_500,
        body_over: Duration::ZERO,
    };
    let first = Worker::start(&daemons[0], work);
    let _others = [
        Worker::start(&daemons[1], work),
        Worker::start(&daemons[2], work),
        Worker::start(&daemons[3], work),
    ];
    if !wait_ready(&daemons) {
        return Verdict::CouldNotRun;
    }
    sleep_ms(4_000);
    let begin = now();
    let to = daemons[3].callers;
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let collected = seen.clone();
    let load = thread::spawn(move || {
        let mut requesters = Vec::new();
        for i in 0..RATE * 16 {
            sleep_until(begin + Duration::from_micros(1_000_000 / RATE * i));
            let sent = Sent {
                id: format!("{i:016x}"),
                to,
                method: "POST",
                host: "reg.example",
                path: "/reg/new",
                body: 600,
                limit_ms: 2_500,
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
    sleep_until(begin + Duration::from_millis(500));
    first.hold_up_report(LATENESS);
    sleep_ms(50);
    first.end();
    sleep_ms(200);
    let second = Worker::start_as(Some(&first.id), &daemons[0], work, Duration::ZERO);
    record("the worker starts again under the id that it had");
    sleep_ms(1_500);
    let Some(acked_at) = second.deregister() else {
        return Verdict::CouldNotRun;
    };
    sleep_ms(500);
    let mut restarted_at = now();
    if trouble {
        daemons[0].signal("KILL");
        daemons[0].wait_end(Duration::from_secs(1));
        sleep_ms(1_000);
        daemons[0].start();
        restarted_at = now();
    }
    // The worker serves on for many seconds and exits.
    sleep_until(acked_at + Duration::from_secs(12));
    second.end();
    load.join().unwrap();
    let in_touch_at = restarted_at + STABLE_WINDOW;
    let late: Vec<_> = second
        .arrivals()
        .into_iter()
        .filter(|a| a.at > (acked_at + DRAIN).max(in_touch_at) && a.outcome != "421")
        .collect();
    let seen = seen.lock().unwrap();
    for arrival in &late {
        let answer = seen
            .iter()
            .find(|s| s.id == arrival.id)
            .map_or(0, |s| s.status);
        record(&format!(
            "request {} reached worker {} {:.3} s after the ack: {}; its requester got {answer}",
            arrival.id,
            second.id,
            (arrival.at - acked_at).as_secs_f64(),
            arrival.outcome
        ));
    }
    record(&format!(
        "{} requests reached the worker later than drain-s after its ack, with all machines in touch",
        late.len()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

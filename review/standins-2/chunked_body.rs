//! Requests of each method whose bodies are sent in chunks, at the worker's machine and over a hop.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Site, wait_ready};
use crate::http;
use crate::store::Store;
use crate::util::{record, sleep_ms};
use crate::worker::{Work, Worker};

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

/// Body of each request.
const BODY: &[u8] = br#"{"notices":["2026-117","2026-204"],"from":"2026-11-01"}"#;

const CONFIG: &str = r#"{"version":"r7","routes":[
{"name":"r-search","host":"search.example","path-prefix":"/search/","kind":"idempotent","timeout-s":2,"target-latency-s":0.3,"priority":2,"service":"search","max-attempts":2},
{"name":"r-front","host":"front.example","path-prefix":"/front/","kind":"idempotent","timeout-s":1,"target-latency-s":0.3,"priority":2,"service":"front","max-attempts":2}],
"services":[{"name":"search","health-path":"/health","max-connections":130,"protocol":"h1","tls":false},{"name":"front","health-path":"/health","max-connections":130,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(dir: &Path, in_chunks: bool) -> Verdict {
    let store = Store::start();
    store.operator_put("op/config", CONFIG);
    let places = [
        ("sidecar-a-1", "a", "search"),
        ("sidecar-b-1", "b", "front"),
    ];
    let mut daemons: Vec<Daemon> = places
        .into_iter()
        .map(|(name, zone, service)| {
            let site = Site {
                name: name.into(),
                zone: zone.into(),
                service: service.into(),
            };
            Daemon::new(dir, site, store.address, false)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    let work = || Work {
        slots: 6,
        queue: 24,
        head_after: Duration::from_millis(20),
        body_bytes: 1_500,
        body_over: Duration::ZERO,
    };
    sleep_ms(200);
    let worker = Worker::start(&daemons[0], work());
    let _front = Worker::start(&daemons[1], work());
    if !wait_ready(&daemons) {
        return Verdict::CouldNotRun;
    }
    sleep_ms(4_000);
    for (place, to) in daemons.iter().map(|d| d.callers).enumerate() {
        for (i, method) in METHODS.into_iter().enumerate() {
            let id = format!("{:016x}", place * 16 + i);
            let status = send(to, method, &id, in_chunks).unwrap_or(0);
            let framing = if in_chunks {
                "in chunks"
            } else {
                "with a length"
            };
            let machine = if place == 0 {
                "the worker's machine"
            } else {
                "another machine"
            };
            record(&format!(
                "request {id} sent to {machine}: {method}, {} body bytes {framing}; status {status}",
                BODY.len()
            ));
        }
    }
    sleep_ms(500);
    let arrivals = worker.arrivals();
    for a in &arrivals {
        let line = format!(
            "worker: request {} with {} body bytes, {}",
            a.id, a.body_bytes, a.outcome
        );
        record(&line);
    }
    let changed = |a: &&crate::worker::Arrival| a.outcome == "done" && a.body_bytes != BODY.len();
    let count = arrivals.iter().filter(changed).count();
    let run = arrivals.iter().filter(|a| a.outcome == "done").count();
    record(&format!(
        "{run} requests were run, {count} of them with another body than was sent"
    ));
    match (run, count) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request on a new connection and returns the status of its answer.
fn send(to: SocketAddr, method: &str, id: &str, in_chunks: bool) -> Result<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let framing = match in_chunks {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", BODY.len()),
    };
    let mut bytes = format!(
        "{method} /search/notices HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: 2000\r\nContent-Type: application/json\r\n{framing}\r\n\r\n"
    )
    .into_bytes();
    if in_chunks {
        bytes.extend(format!("{:x}\r\n", BODY.len()).bytes());
        bytes.extend(BODY);
        bytes.extend(b"\r\n0\r\n\r\n");
    } else {
        bytes.extend(BODY);
    }
    stream.write_all(&bytes)?;
    let head = http::read_head(&mut BufReader::new(stream))?;
    Ok(head.map_or(0, |head| head.status()))
}

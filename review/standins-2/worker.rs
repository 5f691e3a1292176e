//! An application worker, as PROTOCOL.md describes it.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{self, Head};
use crate::util::{now, record, sleep_ms};

/// Interval between status reports in seconds.
const HEARTBEAT: f64 = 0.87;

/// How a worker runs requests.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub slots: usize,
    /// Requests that wait for a slot beside the running ones.
    pub queue: usize,
    /// Time until the head of the response.
    pub head_after: Duration,
    pub body_bytes: usize,
    /// Time over which the body is sent.
    pub body_over: Duration,
}

/// A request that reached the worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub body_bytes: usize,
    pub outcome: String,
}

#[derive(Debug)]
struct State {
    /// `ready` or `draining`.
    state: &'static str,
    sequence: u64,
    /// When the first report of a state was acknowledged.
    drain_acked_at: Option<Duration>,
    running: usize,
    waiting: usize,
    arrivals: Vec<Arrival>,
    has_ended: bool,
    /// Whether it has sent `deregister`, after which it sends no more reports.
    has_left: bool,
    /// Open connections, which close when the worker ends.
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u64,
    work: Work,
    state: Arc<(Mutex<State>, Condvar)>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Worker {
    /// Starts a worker beside a daemon, and its status reports.
    pub fn start(daemon: &crate::daemon::Daemon, work: Work) -> Worker {
        Self::start_late(daemon, work, Duration::ZERO)
    }

    /// As [`Worker::start`], with reports that arrive `lateness` after they were sent.
    pub fn start_late(daemon: &crate::daemon::Daemon, work: Work, lateness: Duration) -> Worker {
        Self::start_as(None, daemon, work, lateness)
    }

    /// As [`Worker::start_late`], under the id of an earlier boot if one is given.
    pub fn start_as(
        id: Option<&str>,
        daemon: &crate::daemon::Daemon,
        work: Work,
        lateness: Duration,
    ) -> Worker {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Worker {
            id: id.map_or_else(|| format!("i-{number:08x}"), str::to_owned),
            service: daemon.site.service.clone(),
            zone: daemon.site.zone.clone(),
            address: daemon.app,
            control: daemon.control,
            born: since_epoch.unwrap().as_millis() as u64,
            work,
            state: Arc::new((
                Mutex::new(State {
                    state: "ready",
                    sequence: 0,
                    drain_acked_at: None,
                    running: 0,
                    waiting: 0,
                    arrivals: Vec::new(),
                    has_ended: false,
                    has_left: false,
                    connections: Vec::new(),
                }),
                Condvar::new(),
            )),
        };
        let listener = TcpListener::bind(daemon.app).unwrap();
        listener.set_nonblocking(true).unwrap();
        let served = worker.clone();
        std::thread::spawn(move || {
            while !served.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let worker = served.clone();
                        std::thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        let reporting = worker.clone();
        std::thread::spawn(move || {
            while !reporting.is_silent() {
                reporting.report_late(lateness);
                std::thread::sleep(Duration::from_secs_f64(HEARTBEAT));
            }
        });
        worker
    }

    /// Sends a status report. Returns whether it was acknowledged.
    pub fn report(&self) -> bool {
        let (state, body) = self.next_report();
        self.deliver(state, &body)
    }

    /// Sends a status report that arrives late. It arrives also if the worker has ended by then.
    fn report_late(&self, lateness: Duration) {
        if lateness.is_zero() {
            self.report();
            return;
        }
        let (state, body) = self.next_report();
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(lateness);
            let acked = worker.deliver(state, &body);
            record(&format!(
                "a late report of worker {}, born {}, arrives; acknowledged: {acked}",
                worker.id, worker.born
            ));
        });
    }

    fn next_report(&self) -> (&'static str, String) {
        let mut shared = self.state.0.lock().unwrap();
        shared.sequence += 1;
        let (state, sequence) = (shared.state, shared.sequence);
        let Self {
            service,
            zone,
            address,
            born,
            ..
        } = self;
        let slots = self.work.slots;
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","sequence":{sequence},"cold-remaining-s":0}}}}"#
        );
        (state, body)
    }

    fn deliver(&self, state: &str, body: &str) -> bool {
        let line = format!("POST /masticdeal/instances/{}/heartbeat HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let response = http::call(self.control, &line, &headers, body.as_bytes(), limit);
        let is_acked = response.is_ok_and(|(head, _)| (200..300).contains(&head.status()));
        let mut shared = self.state.0.lock().unwrap();
        if is_acked && state == "draining" && shared.drain_acked_at.is_none() {
            shared.drain_acked_at = Some(now());
            record(&format!("worker {} has the ack of `draining`", self.id));
        }
        is_acked
    }

    /// Reports that the worker is draining, until that is acknowledged.
    pub fn drain(&self) -> Option<Duration> {
        self.state.0.lock().unwrap().state = "draining";
        record(&format!("worker {} reports `draining`", self.id));
        for _ in 0..4 {
            if self.report() {
                break;
            }
        }
        self.drain_acked_at()
    }

    /// Ends the worker: its connections close, and it accepts no others.
    pub fn end(&self) {
        let mut shared = self.state.0.lock().unwrap();
        shared.has_ended = true;
        for connection in shared.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(shared);
        record(&format!("worker {} ends", self.id));
    }

    /// Sends a status report that arrives after `lateness`, whatever happens to the worker meanwhile.
    pub fn hold_up_report(&self, lateness: Duration) {
        record(&format!(
            "a report of worker {} is held up for {lateness:?}",
            self.id
        ));
        self.report_late(lateness);
    }

    /// Sends `deregister` until it is acknowledged, and returns when it was. The worker serves on.
    pub fn deregister(&self) -> Option<Duration> {
        self.state.0.lock().unwrap().has_left = true;
        let line = format!("POST /masticdeal/instances/{}/deregister HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let body = format!(r#"{{"born":{}}}"#, self.born);
        for _ in 0..4 {
            let limit = Duration::from_secs(1);
            let response = http::call(self.control, &line, &headers, body.as_bytes(), limit);
            if response.is_ok_and(|(head, _)| (200..300).contains(&head.status())) {
                record(&format!("worker {} has the ack of `deregister`", self.id));
                return Some(now());
            }
        }
        None
    }

    fn is_silent(&self) -> bool {
        let shared = self.state.0.lock().unwrap();
        shared.has_ended || shared.has_left
    }

    fn has_ended(&self) -> bool {
        self.state.0.lock().unwrap().has_ended
    }

    pub fn drain_acked_at(&self) -> Option<Duration> {
        self.state.0.lock().unwrap().drain_acked_at
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.0.lock().unwrap().arrivals.clone()
    }

    fn set_outcome(&self, index: usize, outcome: &str) {
        let mut shared = self.state.0.lock().unwrap();
        shared.arrivals[index].outcome = outcome.into();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let connection = stream.try_clone().ok()?;
        self.state.0.lock().unwrap().connections.push(connection);
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            if self.has_ended() {
                return None;
            }
            if head.part(1) == "/health" {
                let instance = [("Instance-Id", self.id.as_str())];
                writer
                    .write_all(&http::message("HTTP/1.1 200 OK", &instance, b""))
                    .ok()?;
                continue;
            }
            self.run(&head, &mut reader, &mut writer)?;
        }
    }

    /// Runs one request. Returns `None` if the connection has to close.
    fn run(
        &self,
        head: &Head,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let id = head.header("request-id").unwrap_or("").to_owned();
        let index = {
            let mut shared = self.state.0.lock().unwrap();
            shared.arrivals.push(Arrival {
                at: now(),
                id: id.clone(),
                body_bytes: 0,
                outcome: "arrived".into(),
            });
            shared.arrivals.len() - 1
        };
        let echo = [("Request-Id", id.as_str())];
        if head.header("target-instance").is_some_and(|i| i != self.id) {
            self.set_outcome(index, "421");
            let _ = http::read_body(reader, head, false);
            let headers = [echo[0], ("Not-Executed", "1")];
            writer
                .write_all(&http::message("HTTP/1.1 421 X", &headers, b""))
                .ok()?;
            return Some(());
        }
        let Ok(body) = http::read_body(reader, head, false) else {
            self.set_outcome(index, "the body ended early");
            return None;
        };
        self.state.0.lock().unwrap().arrivals[index].body_bytes = body.len();
        if !self.take_slot() {
            self.set_outcome(index, "503, full");
            let headers = [echo[0], ("Not-Executed", "1")];
            writer
                .write_all(&http::message("HTTP/1.1 503 X", &headers, b""))
                .ok()?;
            return Some(());
        }
        self.set_outcome(index, "begun");
        let sent = self.respond(&id, reader, writer);
        self.set_outcome(
            index,
            if sent.is_some() {
                "done"
            } else {
                "dropped, its connection closed"
            },
        );
        let mut shared = self.state.0.lock().unwrap();
        shared.running -= 1;
        self.state.1.notify_one();
        sent
    }

    fn take_slot(&self) -> bool {
        let mut shared = self.state.0.lock().unwrap();
        if shared.running >= self.work.slots && shared.waiting >= self.work.queue {
            return false;
        }
        shared.waiting += 1;
        while shared.running >= self.work.slots {
            shared = self.state.1.wait(shared).unwrap();
        }
        shared.waiting -= 1;
        shared.running += 1;
        true
    }

    fn respond(
        &self,
        id: &str,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let is_open = |reader: &mut BufReader<TcpStream>| {
            let _ = reader.get_ref().set_nonblocking(true);
            let open = match reader.fill_buf() {
                Ok(bytes) => !bytes.is_empty(),
                Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
            };
            let _ = reader.get_ref().set_nonblocking(false);
            open
        };
        let begun = now();
        while now() < begun + self.work.head_after {
            sleep_ms(5);
            (is_open(reader) && !self.has_ended()).then_some(())?;
        }
        let length = self.work.body_bytes;
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 3e1b.07.{length}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        writer.write_all(text.as_bytes()).ok()?;
        let steps = if self.work.body_over.is_zero() { 1 } else { 20 };
        let part = vec![b'x'; length / steps];
        let mut left = length;
        for _ in 0..steps {
            if steps > 1 {
                std::thread::sleep(self.work.body_over / steps as u32);
            }
            writer.write_all(&part).ok()?;
            left -= part.len();
        }
        writer.write_all(&vec![b'x'; left]).ok()
    }
}

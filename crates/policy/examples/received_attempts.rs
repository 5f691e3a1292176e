//! Measures memory and processor time of the records of received attempts, on this machine.
//!
//! Usage: `cargo run --release -p masticdeal-policy --example received_attempts -- PEERS OUTSTANDING`
//!
//! Each of `PEERS` connections has `OUTSTANDING` attempts without a response. Prints the memory that
//! their records add to the process, the time of one start, and that of a query about all attempts of
//! one connection.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use masticdeal_policy::attempts::{AttemptId, ConnectionId, ReceivedAttempts};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Starts in the measurement of their time.
const STARTS: u64 = 2_000_000;

/// Closed connections in addition to the open ones, more than are remembered.
const CLOSED: usize = 300;

/// Connections of a daemon, with the same number of attempts without a response on each.
struct Daemon {
    received: ReceivedAttempts,
    connections: Vec<ConnectionId>,
    outstanding: u64,
    /// Newest attempt of each connection.
    last: u64,
}

impl Daemon {
    fn start(&mut self, connection: ConnectionId, number: u64) {
        let attempt = AttemptId {
            connection,
            number,
            oldest: (number + 1).saturating_sub(self.outstanding).max(1),
        };
        assert!(self.received.start(attempt));
    }

    /// Starts attempts on all connections in turn.
    fn start_each(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.last += 1;
            for i in 0..self.connections.len() {
                self.start(self.connections[i], self.last);
            }
        }
    }

    /// Opens a connection with its attempts, and closes it.
    fn open_and_close(&mut self, connection: ConnectionId) {
        self.received.open(connection);
        for number in 1..=self.outstanding {
            self.start(connection, number);
        }
        self.received.close(connection);
    }
}

fn main() -> ExitCode {
    let args: Vec<u64> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let [peers, outstanding] = args[..] else {
        eprintln!("usage: received_attempts PEERS OUTSTANDING");
        return ExitCode::FAILURE;
    };
    let mut rng = StdRng::seed_from_u64(11);
    let mut draw = |count| -> Vec<_> { (0..count).map(|_| ConnectionId(rng.random())).collect() };
    let (connections, closed) = (draw(peers as usize), draw(CLOSED));
    let before = resident_bytes();
    let mut daemon = Daemon {
        received: ReceivedAttempts::default(),
        connections,
        outstanding,
        last: 0,
    };
    for connection in &daemon.connections {
        daemon.received.open(*connection);
    }
    daemon.start_each(outstanding);
    let open = resident_bytes();
    let rounds = STARTS / peers;
    let start = Instant::now();
    daemon.start_each(rounds);
    let start_time = start.elapsed() / (rounds * peers) as u32;
    for connection in &closed {
        daemon.open_and_close(*connection);
    }
    let all = resident_bytes();
    let numbers: Vec<u64> = (daemon.last + 1 - outstanding..=daemon.last).collect();
    let start = Instant::now();
    let withdrawn = daemon.received.withdraw(daemon.connections[0], &numbers);
    let query_time = start.elapsed();
    assert_eq!(black_box(withdrawn), Some(vec![]));
    println!(
        "open connections: {} KB; with 256 closed ones: {} KB; start: {start_time:?}; query: \
         {query_time:?}",
        (open - before) / 1_024,
        (all - before) / 1_024,
    );
    ExitCode::SUCCESS
}

/// Returns the resident memory of this process, or 0 where it is not known.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

//! Clock, record file, free ports and small helpers.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Time since the start of the scenario.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until `at`, a time since the start of the scenario.
pub fn sleep_until(at: Duration) {
    std::thread::sleep(at.saturating_sub(now()));
}

pub fn open_record(path: &str) -> std::io::Result<()> {
    now();
    let _ = RECORD.set(Mutex::new(File::create(path)?));
    Ok(())
}

/// Writes a line with the time to the record and to the standard output.
pub fn record(line: &str) {
    let line = format!("{:9.3} s  {line}", now().as_secs_f64());
    println!("{line}");
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{line}");
    }
}

/// Lowest port that [`free_ports`] returns, and the number of ports after it. They lie below the range
/// from which the system takes the local ports of outgoing connections, so that no connection takes the
/// port of a process that is down for a moment.
const PORTS: (u16, u16) = (12_000, 20_000);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns different free loopback ports.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let start = (std::process::id() as u16).wrapping_mul(257) % PORTS.1;
    let mut free = Vec::new();
    while free.len() < count {
        let offset = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.0 + start.wrapping_add(offset) % PORTS.1;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            free.push(address);
        }
    }
    free
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Waits until `check` holds; `false` after `limit`.
pub fn wait_for(limit: Duration, check: impl Fn() -> bool) -> bool {
    let until = now() + limit;
    while now() < until {
        if check() {
            return true;
        }
        sleep_ms(20);
    }
    false
}

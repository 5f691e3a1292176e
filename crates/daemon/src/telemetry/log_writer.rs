//! Non-blocking log writer.
//!
//! A thread writes the log lines from a bounded queue. A line is dropped if the queue is full or
//! the rate limit is exceeded. The thread logs the number of dropped lines with its next write.
//! Lines on single requests have a separate rate limit, so that a flood of refused requests does
//! not displace the daemon's other lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Log target of lines on the outcome of single requests.
pub const DECISION_TARGET: &str = "decision";

/// Maximum number of lines in the queue.
const MAX_QUEUED_LINES: usize = 2_048;

/// Rate limit of each kind of lines. At 300 bytes a line, both kinds together are at most 150 KB/s.
const MAX_LINES_PER_SECOND: u32 = 250;

/// Maximum wait for the thread to write the queue at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

/// Rate limit of one kind of lines: the number of lines since the start of a one-second window.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    lines: u32,
}

/// Queue of log lines with its writer thread.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Message>,
    // Index 0 is for other lines, index 1 for those with the target `DECISION_TARGET`.
    rate_windows: [Mutex<RateWindow>; 2],
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_in_thread = Arc::clone(&dropped);
        std::thread::spawn(move || run_writer(&rx, sink, &dropped_in_thread));
        let new_window = || {
            Mutex::new(RateWindow {
                started_at: Instant::now(),
                lines: 0,
            })
        };
        Self {
            tx,
            rate_windows: [new_window(), new_window()],
            dropped,
        }
    }

    /// Adds a line to the queue, or drops it. Never blocks.
    pub fn enqueue(&self, target: &str, line: String) {
        let kind = usize::from(target == DECISION_TARGET);
        if !self.try_admit(kind) || self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits up to `FLUSH_TIMEOUT` until the lines in the queue are written.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        match self.tx.try_send(Message::Flush(tx)) {
            Ok(()) => drop(rx.recv_timeout(FLUSH_TIMEOUT)),
            // A full queue would not be written in time; without the thread, nothing is written.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    /// Counts a line of this kind. Returns whether it is within the rate limit.
    fn try_admit(&self, kind: usize) -> bool {
        let mut window = self.rate_windows[kind]
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        let now = Instant::now();
        if now.saturating_duration_since(window.started_at) >= Duration::from_secs(1) {
            *window = RateWindow {
                started_at: now,
                lines: 0,
            };
        }
        window.lines += 1;
        window.lines <= MAX_LINES_PER_SECOND
    }
}

/// Writes lines until the queue is closed. Combines all queued lines in one write.
fn run_writer(rx: &Receiver<Message>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        buf.clear();
        let mut flush_done = None;
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => {
                    buf.extend_from_slice(line.as_bytes());
                    buf.push(b'\n');
                }
                Message::Flush(done) => {
                    flush_done = Some(done);
                    break;
                }
            }
            next = rx.try_recv().ok();
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line = serde_json::json!({"level": "WARN",
                "message": "log lines dropped: queue full or rate limit exceeded",
                "lines": dropped_lines});
            buf.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // A failed write cannot be reported anywhere else.
        let _ = sink.write_all(&buf).and_then(|()| sink.flush());
        if let Some(done) = flush_done {
            let _ = done.send(());
        }
    }
}

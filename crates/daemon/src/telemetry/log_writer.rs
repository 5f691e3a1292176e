//! Writes log lines without holding up whoever logs.
//!
//! Lines go through a bounded queue to a thread that writes them. A line that finds the queue full,
//! or its share of the second used up, is dropped and counted; the next line that is written tells
//! how many are missing. Lines on the decisions about requests have a share of their own, so that a
//! flood of refused requests leaves room for what the daemon says of itself.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Log target of lines on decisions about requests.
pub const DECISION_TARGET: &str = "decision";

/// Lines that wait for the thread.
const MAX_QUEUED_LINES: usize = 2_048;

/// Lines of each kind in a second. At 300 bytes a line both together stay below 150 KB/s.
const MAX_LINES_PER_SECOND: u32 = 250;

/// Longest wait for the thread at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

/// Share of the present second that is used.
#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    admitted: u32,
}

/// The way of log lines to their writer.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Message>,
    rate_windows: [Mutex<RateWindow>; 2],
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let missing = Arc::clone(&dropped);
        std::thread::spawn(move || run_writer(&rx, sink, &missing));
        let new_window = || {
            Mutex::new(RateWindow {
                started_at: Instant::now(),
                admitted: 0,
            })
        };
        Self {
            tx,
            rate_windows: [new_window(), new_window()],
            dropped,
        }
    }

    /// Hands a line over, or drops it. Never waits.
    pub fn enqueue(&self, target: &str, line: String) {
        let kind = usize::from(target == DECISION_TARGET);
        if !self.try_admit(kind) || self.tx.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a moment for the lines handed over so far.
    pub fn flush(&self) {
        let (tx, rx) = sync_channel(1);
        match self.tx.try_send(Message::Flush(tx)) {
            Ok(()) => drop(rx.recv_timeout(FLUSH_TIMEOUT)),
            // A full queue is not written in time, and without the thread nothing is.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    fn try_admit(&self, kind: usize) -> bool {
        let mut window = self.rate_windows[kind]
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        let now = Instant::now();
        if now.saturating_duration_since(window.started_at) >= Duration::from_secs(1) {
            *window = RateWindow {
                started_at: now,
                admitted: 0,
            };
        }
        window.admitted += 1;
        window.admitted <= MAX_LINES_PER_SECOND
    }
}

/// Writes until the queue is closed. Several waiting lines are one write.
fn run_writer(rx: &Receiver<Message>, mut sink: impl Write, dropped: &AtomicU64) {
    let mut buf = Vec::new();
    while let Ok(first) = rx.recv() {
        buf.clear();
        let mut flushed = None;
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => {
                    buf.extend_from_slice(line.as_bytes());
                    buf.push(b'\n');
                }
                Message::Flush(done) => {
                    flushed = Some(done);
                    break;
                }
            }
            next = rx.try_recv().ok();
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = serde_json::json!({"level": "WARN", "message": "log lines were dropped",
                "lines": missing});
            buf.extend_from_slice(format!("{line}\n").as_bytes());
        }
        // There is no other place to report a failed write to.
        let _ = sink.write_all(&buf).and_then(|()| sink.flush());
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}

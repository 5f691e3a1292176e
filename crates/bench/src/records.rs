//! Records of targets and callers as JSON lines, and their writer.
//!
//! Each line is passed to the file at once and nothing is buffered, so that a kill can truncate
//! only the last line.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use masticdeal_policy::Verdict;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Step in the execution of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The target started the request.
    Start,
    /// The request finished. The last byte of the response is sent after this record.
    Finished,
    /// The request was dropped before it finished, usually because its connection was closed.
    Cancelled,
}

/// One event at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event since boot, in microseconds.
    pub at_us: u64,
    /// Step of the execution.
    pub step: Step,
    /// Name of the target.
    pub target: String,
    /// Sequence number of the execution within one incarnation of the target.
    pub run: u64,
    /// Request id.
    pub id: String,
    /// Service and key, such as `search/4711`.
    pub key: String,
    /// Shard given in the request.
    pub shard: Option<u32>,
    /// Epoch given in the request.
    pub epoch: Option<u32>,
    /// Whether the target checked shard and epoch against its grant.
    pub checked: bool,
}

/// Result of a request as observed by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObservedResult {
    /// A complete and valid response with a success status.
    Answered,
    /// A complete and valid response of the target with an error status.
    TargetError,
    /// A response with a verdict.
    Failed,
    /// A response with an error status but without a verdict, which is not a valid response of a
    /// target.
    Unexplained,
    /// The connection could not be opened, or failed before the response was complete.
    Broken,
    /// No complete response within the deadline and
    /// [`RESPONSE_GRACE`](crate::load::RESPONSE_GRACE), counted from the sending.
    Silent,
    /// A response with a success status that is incomplete or belongs to another request.
    Wrong,
    /// Not sent, because the limit on concurrent requests was reached until the deadline.
    NotSent,
}

/// Outcome of a request at its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Request id.
    pub id: String,
    /// Service and key, such as `search/4711`.
    pub key: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it was a long request.
    pub long: bool,
    /// Due time since boot, in microseconds.
    pub due_us: u64,
    /// Time from the due time to the end of the response or to the failure, in microseconds.
    pub took_us: u64,
    /// Result that the caller observed.
    pub seen: ObservedResult,
    /// Verdict in the response.
    pub verdict: Option<Verdict>,
    /// Reason in the response, or the connection error, error status or validation error.
    pub reason: Option<String>,
    /// Target named in the response.
    pub target: Option<String>,
}

/// Returns the time since boot in microseconds, including time in suspend.
pub fn time_since_boot_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Writer that appends records to a file.
#[derive(Debug)]
pub struct RecordWriter(Mutex<File>);

impl RecordWriter {
    /// Opens or creates a file for appending.
    ///
    /// # Errors
    ///
    /// If the file cannot be opened.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    /// Appends a record. A record that cannot be serialised is skipped.
    ///
    /// # Panics
    ///
    /// If the file cannot be written, since a run cannot be checked without its records.
    pub fn write<T: Serialize>(&self, record: &T) {
        let Ok(mut line) = serde_json::to_vec(record) else {
            return;
        };
        line.push(b'\n');
        let written = self.0.lock().unwrap().write_all(&line);
        written.expect("cannot write to the record file; the run cannot be checked");
    }
}

/// Reads all records of a file. A malformed last line is skipped, since a kill may truncate it.
///
/// # Errors
///
/// If the file cannot be read; `InvalidData` for a malformed line before the last one.
pub fn read<T: DeserializeOwned>(path: &Path) -> std::io::Result<Vec<T>> {
    let mut records = Vec::new();
    let mut last_error = None;
    for line in BufReader::new(File::open(path)?).lines() {
        if let Some(e) = last_error {
            return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, e));
        }
        match serde_json::from_str(&line?) {
            Ok(record) => records.push(record),
            Err(e) => last_error = Some(e),
        }
    }
    Ok(records)
}

/// Reads the records of several files. Files that do not exist are skipped.
///
/// # Errors
///
/// See [`read`].
pub fn read_all<T: DeserializeOwned>(paths: &[PathBuf]) -> std::io::Result<Vec<T>> {
    let mut records = Vec::new();
    for path in paths.iter().filter(|p| p.exists()) {
        records.extend(read(path)?);
    }
    Ok(records)
}

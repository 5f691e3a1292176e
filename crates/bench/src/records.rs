//! Records of targets and callers as JSON lines, and their writer.
//!
//! Each line is written by one `write` call, so that the records of a killed process are complete.

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
    /// The connection was closed before the request finished.
    Cancelled,
}

/// One event at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Boot-time clock in microseconds.
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
    /// A failure with a verdict.
    Failed,
    /// A failure without a verdict.
    Unexplained,
    /// The connection failed before the response was complete.
    Broken,
    /// No complete response until well after the deadline.
    Silent,
    /// A response with a success status that is incomplete or belongs to another request.
    Wrong,
    /// Not sent, because the limit on concurrent requests was reached.
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
    /// Due time on the boot-time clock in microseconds.
    pub due_us: u64,
    /// Time from the due time to the end of the response in microseconds.
    pub took_us: u64,
    /// Result that the caller observed.
    pub seen: ObservedResult,
    /// Verdict of a failure.
    pub verdict: Option<Verdict>,
    /// Reason of a failure, or the validation error of the response.
    pub reason: Option<String>,
    /// Target that responded.
    pub target: Option<String>,
}

/// Returns the boot-time clock in microseconds.
pub fn boot_time_us() -> u64 {
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

    /// Appends a record.
    ///
    /// # Panics
    ///
    /// If the file cannot be written: the run could not be checked without its records.
    pub fn write<T: Serialize>(&self, record: &T) {
        let Ok(mut line) = serde_json::to_vec(record) else {
            return;
        };
        line.push(b'\n');
        let written = self.0.lock().unwrap().write_all(&line);
        written.expect("cannot write to the record file; the run cannot be checked");
    }
}

/// Reads all records of a file. A last line that was truncated by a kill is skipped.
///
/// # Errors
///
/// If the file cannot be read; `InvalidData` for a malformed line before the last one.
pub fn read<T: DeserializeOwned>(path: &Path) -> std::io::Result<Vec<T>> {
    let mut records = Vec::new();
    let mut truncated_line = None;
    for line in BufReader::new(File::open(path)?).lines() {
        if let Some(e) = truncated_line {
            return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, e));
        }
        match serde_json::from_str(&line?) {
            Ok(record) => records.push(record),
            Err(e) => truncated_line = Some(e),
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

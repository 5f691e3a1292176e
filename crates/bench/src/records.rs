//! Records of targets and callers as JSON lines, and their writer.
//!
//! Each line is one `write`, so that what a process recorded before a kill is complete.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use masticdeal_policy::Verdict;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// What happened to a run of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The target took it on.
    Start,
    /// It is done; the last byte of the answer is sent after this record.
    Finished,
    /// Its connection closed before it was done.
    Cancelled,
}

/// One event at a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Boot-time clock in microseconds.
    pub at_us: u64,
    /// What happened.
    pub step: Step,
    /// Name of the target.
    pub target: String,
    /// Numbers the runs of one life of a target.
    pub run: u64,
    /// Request id.
    pub id: String,
    /// Service and key, such as `search/4711`.
    pub key: String,
    /// Shard that the request named.
    pub shard: Option<u32>,
    /// Epoch that the request named.
    pub epoch: Option<u32>,
    /// Whether the target checked the shard and epoch against its grant.
    pub checked: bool,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObservedResult {
    /// A whole answer of its own.
    Answered,
    /// An answer of the target that reports an error of its own.
    TargetError,
    /// A failure with a verdict.
    Failed,
    /// A failure without a verdict.
    Unexplained,
    /// The connection broke before the answer was whole.
    Broken,
    /// Nothing until well past the deadline.
    Silent,
    /// An answer passed off as whole that is not, or is not its own.
    Wrong,
    /// The load tool had no free connection and did not send it.
    NotSent,
}

/// One request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Request id.
    pub id: String,
    /// Service and key, such as `search/4711`.
    pub key: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it asked for long work.
    pub long: bool,
    /// When it was due, boot-time clock in microseconds.
    pub due_us: u64,
    /// Time from due to the end of the answer in microseconds.
    pub took_us: u64,
    /// What the caller saw.
    pub seen: ObservedResult,
    /// Verdict on a failure.
    pub verdict: Option<Verdict>,
    /// Reason for a failure, or what was wrong.
    pub reason: Option<String>,
    /// Target that answered.
    pub target: Option<String>,
}

/// Returns the boot-time clock in microseconds.
pub fn boot_time_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Appends records to a file.
#[derive(Debug)]
pub struct RecordWriter(Mutex<File>);

impl RecordWriter {
    /// Opens a file to append to.
    ///
    /// # Errors
    ///
    /// Any error of opening it.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Mutex::new(file)))
    }

    /// Appends one record.
    pub fn write<T: Serialize>(&self, record: &T) {
        let Ok(mut line) = serde_json::to_vec(record) else {
            return;
        };
        line.push(b'\n');
        let written = self.0.lock().unwrap().write_all(&line);
        written.expect("record file takes no more lines; the run cannot be judged");
    }
}

/// Reads all records of a file. A last line that was cut off by a kill is left out.
///
/// # Errors
///
/// Any error of reading; `InvalidData` for a malformed line that is not the last.
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

/// Reads the records of several files. A file that does not exist has none.
///
/// # Errors
///
/// As [`read`].
pub fn read_all<T: DeserializeOwned>(paths: &[PathBuf]) -> std::io::Result<Vec<T>> {
    let mut records = Vec::new();
    for path in paths.iter().filter(|p| p.exists()) {
        records.extend(read(path)?);
    }
    Ok(records)
}

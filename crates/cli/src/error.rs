//! Errors and exit codes of the tool.

use displaydoc::Display;
use masticdeal_config::Fault;

/// Exit codes of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// Rejected or not found; nothing changed.
    Refused = 1,
    /// Invalid arguments or sentence, or a local file that cannot be read or written.
    Usage = 2,
    /// Another operator's change was accepted first; nothing changed.
    Conflict = 3,
    /// No daemon responded, a response was invalid, or the outcome of a change is unknown.
    Unreachable = 4,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Error of the tool.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Usage(String),
    /// {path}: {cause}
    File {
        /// Path of the file, or name of the input.
        path: String,
        /// Error of the operating system, or why the file was rejected.
        cause: std::io::Error,
    },
    /// text has faults
    Faults(Vec<Fault>),
    /// no daemon answers: {0}
    Unreachable(String),
    /// {daemon} does not accept the secret; see --secret-file
    Unauthorized {
        /// Address of the daemon.
        daemon: String,
    },
    /// {daemon} answered with status {status}: {message}
    Status {
        /// Address of the daemon.
        daemon: String,
        /// HTTP status code.
        status: u16,
        /// Message of the daemon.
        message: String,
    },
    /// {daemon} sent an answer that is not understood: {part}
    Malformed {
        /// Address of the daemon, or `the daemon` if the address is not known.
        daemon: String,
        /// Invalid part of the response.
        part: &'static str,
    },
    /// {0}
    OutcomeUnknown(String),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File { .. } => Exit::Usage,
            Self::Faults(_) | Self::Unauthorized { .. } | Self::Status { .. } => Exit::Refused,
            Self::Unreachable(_) | Self::Malformed { .. } | Self::OutcomeUnknown(_) => {
                Exit::Unreachable
            }
        }
    }

    /// Prints the error to the standard error stream and returns the exit code.
    pub fn print(&self) -> Exit {
        match self {
            Self::Faults(faults) => faults.iter().for_each(|fault| eprintln!("{fault}")),
            other => eprintln!("masticdeal: {other}"),
        }
        self.exit()
    }
}

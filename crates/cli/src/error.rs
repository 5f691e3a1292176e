//! Errors of the tool and its exit codes.

use displaydoc::Display;
use masticdeal_config::Fault;

/// Exit codes of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Answered or done.
    Ok = 0,
    /// Refused, faulty, or no such thing; nothing changed.
    Refused = 1,
    /// The arguments or the sentence are not understood.
    Usage = 2,
    /// Another operator's change came first; nothing changed.
    Conflict = 3,
    /// No daemon answered, or the outcome of a change is not known.
    Unreachable = 4,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why the tool has no result.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Usage(String),
    /// {path}: {cause}
    File {
        /// The file.
        path: String,
        /// What the operating system says.
        cause: std::io::Error,
    },
    /// text has faults
    Faults(Vec<Fault>),
    /// no daemon answers: {0}
    Unreachable(String),
    /// {daemon} does not accept the secret; see --secret-file
    Unauthorized {
        /// The daemon.
        daemon: String,
    },
    /// {daemon} answered with status {status}: {message}
    Status {
        /// The daemon.
        daemon: String,
        /// HTTP status.
        status: u16,
        /// Its message.
        message: String,
    },
    /// {daemon} sent an answer that is not understood: {what}
    Malformed {
        /// The daemon.
        daemon: String,
        /// The part.
        what: &'static str,
    },
    /// {0}
    OutcomeUnknown(String),
}

impl std::error::Error for Error {}

/// Result of this crate.
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

//! Attempts that were sent on a connection between daemons, and which of them may have run.
//!
//! When a connection stops answering or ends, its sender asks the receiver over another connection
//! about the attempts without a response. The receiver answers from [`ReceivedAttempts`], and the
//! sender decides on each attempt by [`fate`].
//!
//! Invariant: an attempt is reported as withdrawn only if it has not started and never will. Starts
//! and withdrawals happen under the same lock, and a withdrawal applies to all attempts of the
//! connection that have not started, including those whose bytes have not been read yet.

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Identifies a connection between two daemons. Its sender draws it at random, so that no process
/// draws the number of a connection of an earlier process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConnectionId(pub u128);

/// Identifies an attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Connection on which the attempt is sent.
    pub connection: ConnectionId,
    /// Number of the attempt on this connection, in ascending order.
    pub number: u64,
    /// Lowest number on this connection without a response when the attempt was sent. The sender
    /// never asks about lower ones.
    pub oldest: u64,
}

/// Bounds on what a receiver remembers.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Maximum number of started attempts per connection. Above it, the connection's attempts are
    /// unknown.
    pub max_started: usize,
    /// Maximum number of closed connections.
    pub max_closed: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_started: 2_048,
            max_closed: 256,
        }
    }
}

/// Attempts that a daemon has received, by connection.
#[derive(Debug, Default)]
pub struct ReceivedAttempts {
    settings: Settings,
    connections: HashMap<ConnectionId, Received>,
    /// Closed connections, oldest first.
    closed: VecDeque<ConnectionId>,
}

#[derive(Debug, Default)]
struct Received {
    /// Attempts that have started and may still be asked about.
    started: BTreeSet<u64>,
    /// Whether a started attempt is missing in `started`.
    is_incomplete: bool,
    /// Whether no further attempt may start.
    is_withdrawn: bool,
}

impl ReceivedAttempts {
    /// Creates an empty set with these bounds.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a connection. Must be called once for each connection, before its first attempt starts.
    pub fn open(&mut self, connection: ConnectionId) {
        self.connections.entry(connection).or_default();
    }

    /// Records that a connection is closed. Its attempts are kept until newer closed connections
    /// exceed the bound.
    pub fn close(&mut self, connection: ConnectionId) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        self.closed.push_back(connection);
        if self.closed.len() > self.settings.max_closed
            && let Some(oldest) = self.closed.pop_front()
        {
            self.connections.remove(&oldest);
        }
    }

    /// Returns whether the attempt may start, and records the start. An attempt that has started
    /// before may continue.
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        let Some(received) = self.connections.get_mut(&attempt.connection) else {
            // The connection was closed and is forgotten.
            return false;
        };
        if received.started.contains(&attempt.number) {
            return true;
        }
        if received.is_withdrawn {
            return false;
        }
        received.started = received.started.split_off(&attempt.oldest);
        match received.started.len() < self.settings.max_started {
            true => drop(received.started.insert(attempt.number)),
            false => received.is_incomplete = true,
        }
        true
    }

    /// Withdraws all attempts of the connection that have not started, and returns those of
    /// `numbers`. Returns `None`, and withdraws nothing, if it is not known which have started.
    pub fn withdraw(&mut self, connection: ConnectionId, numbers: &[u64]) -> Option<Vec<u64>> {
        let received = self.connections.get_mut(&connection)?;
        if received.is_incomplete {
            return None;
        }
        received.is_withdrawn = true;
        let has_started = |number: &u64| received.started.contains(number);
        Some(
            numbers
                .iter()
                .copied()
                .filter(|n| !has_started(n))
                .collect(),
        )
    }
}

/// State of a connection for its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// It accepts new requests.
    Usable,
    /// It has stopped answering. It accepts no new requests.
    Suspect,
    /// It transfers nothing any more.
    Closed,
}

/// Answer of the receiver about the attempts of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer<'a> {
    /// These attempts are withdrawn. The others have started.
    Withdrawn(&'a [u64]),
    /// The receiver does not know the connection, or not all of its attempts.
    Unknown,
    /// No answer came in time.
    Missing,
}

/// What becomes of an attempt without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It has not run and never will.
    NotRun,
    /// It waits for its response until its deadline.
    Wait,
    /// It may have run, and no response will come.
    MayHaveRun,
}

/// Decides on an attempt without a response once the receiver was asked. A receiver that cannot be
/// reached over another connection either will not respond over a suspect one.
///
/// `can_repeat` says that the request is idempotent and that the connection has transferred nothing
/// while the receiver answered on another one. Such a request is better tried again than left to
/// wait.
pub fn fate(state: ConnectionState, answer: Answer<'_>, number: u64, can_repeat: bool) -> Fate {
    use ConnectionState::{Closed, Suspect};
    match (answer, state) {
        (Answer::Withdrawn(numbers), _) if numbers.contains(&number) => Fate::NotRun,
        (_, Closed) | (Answer::Missing, Suspect) => Fate::MayHaveRun,
        (_, Suspect) if can_repeat => Fate::MayHaveRun,
        _ => Fate::Wait,
    }
}

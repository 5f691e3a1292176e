//! Attempts without a response on a connection that this daemon has opened.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use masticdeal_policy::attempts::{Answer, AttemptId, ConnectionId, ConnectionState, Fate, fate};
use tokio::sync::oneshot;

/// Attempts of one connection.
#[derive(Debug)]
pub struct SentAttempts {
    connection: ConnectionId,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    last: u64,
    unanswered: BTreeMap<u64, Unanswered>,
}

#[derive(Debug)]
struct Unanswered {
    idempotent: bool,
    fate_tx: oneshot::Sender<Fate>,
}

/// Numbers of attempts by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FateCounts {
    /// Withdrawn.
    pub not_run: usize,
    /// Waiting for their responses.
    pub waiting: usize,
    /// Failed, with an unknown outcome.
    pub may_have_run: usize,
}

/// An attempt without a response. Dropping it ends the interest in its fate.
#[derive(Debug)]
pub struct SentAttempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    fate_rx: oneshot::Receiver<Fate>,
    attempts: Arc<SentAttempts>,
}

impl SentAttempts {
    /// Creates the empty set of a connection with a new identifier.
    pub fn new() -> Self {
        Self {
            connection: ConnectionId(rand::random()),
            inner: Mutex::default(),
        }
    }

    /// Identifier of the connection.
    pub fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Adds an attempt.
    pub fn begin(self: &Arc<Self>, idempotent: bool) -> SentAttempt {
        let (fate_tx, fate_rx) = oneshot::channel();
        let mut inner = self.lock();
        inner.last += 1;
        let number = inner.last;
        let unanswered = Unanswered {
            idempotent,
            fate_tx,
        };
        inner.unanswered.insert(number, unanswered);
        let oldest = inner.unanswered.keys().next().copied();
        drop(inner);
        SentAttempt {
            id: AttemptId {
                connection: self.connection,
                number,
                oldest: oldest.unwrap_or(number),
            },
            fate_rx,
            attempts: Arc::clone(self),
        }
    }

    /// Returns the numbers of the attempts without a response.
    pub fn unanswered(&self) -> Vec<u64> {
        self.lock().unanswered.keys().copied().collect()
    }

    /// Decides on all attempts without a response. `transfers_data` says whether bytes arrived on
    /// the connection while the peer was asked.
    pub fn resolve(
        &self,
        state: ConnectionState,
        answer: Answer<'_>,
        transfers_data: bool,
    ) -> FateCounts {
        let mut counts = FateCounts::default();
        let mut inner = self.lock();
        for (number, attempt) in std::mem::take(&mut inner.unanswered) {
            let can_repeat = attempt.idempotent && !transfers_data;
            let fate = fate(state, answer, number, can_repeat);
            match fate {
                Fate::Wait => {
                    counts.waiting += 1;
                    inner.unanswered.insert(number, attempt);
                    continue;
                }
                Fate::NotRun => counts.not_run += 1,
                Fate::MayHaveRun => counts.may_have_run += 1,
            }
            // Fails if the attempt has just ended.
            let _ = attempt.fate_tx.send(fate);
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl SentAttempt {
    /// Waits until the fate of the attempt is decided without its response.
    pub async fn decided(&mut self) -> Fate {
        match (&mut self.fate_rx).await {
            Ok(fate) => fate,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        self.attempts.lock().unanswered.remove(&self.id.number);
    }
}

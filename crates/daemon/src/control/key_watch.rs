//! Watches one key of the platform's store, or the keys under a prefix, across failures, lost history
//! and restored copies.

use std::time::Duration;

use masticdeal_platform::{
    Client, Error, KeyChange, Position, PrefixResult, ReadResult, Result, Value,
};

/// Longest wait of one watch call for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// First delay after a failed watch.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay after a failed watch. The delay doubles up to it from [`INITIAL_RETRY_DELAY`]. The
/// platform counts each call against its limit, refused calls included.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// What a watch covers.
#[derive(Debug, Clone, Copy)]
pub enum Scope {
    /// One key.
    Key(&'static str),
    /// All keys under a prefix.
    Prefix(&'static str),
}

/// Result of a successful call.
#[derive(Debug)]
pub struct Received {
    /// The keys, or their changes from the oldest to the newest.
    pub changes: Vec<KeyChange>,
    /// Whether the keys were read, so that a key that is absent does not exist.
    pub is_whole: bool,
    /// Position up to which the result is valid.
    pub position: Position,
}

impl Received {
    /// Returns the newest value of a key; `None` if it did not change or does not exist.
    pub fn value_of(&self, key: &str) -> Option<Value> {
        let newest = self.changes.iter().rev().find(|c| c.key == key)?;
        let bytes = newest.value.clone()?;
        Some(Value {
            revision: newest.revision,
            bytes,
        })
    }
}

/// State of a watch.
///
/// Whenever changes may have been missed, the scope is read before the watch continues: after a
/// failed call, after the store dropped its history, and in a new era of the store. In a new era
/// revisions are reused, so a watch from an old revision can be accepted and miss changes.
pub struct KeyWatch {
    scope: Scope,
    /// Longest wait of one call for a change.
    wait: Duration,
    /// `None` if the scope must be read first.
    position: Option<Position>,
    /// Delay after the next failure.
    retry_delay: Duration,
    /// Whether the last call failed.
    failing: bool,
    /// Whether the last watch found its history gone.
    history_lost: bool,
}

impl KeyWatch {
    /// Creates a watch that first reads its scope.
    pub fn new(scope: Scope) -> Self {
        Self {
            scope,
            wait: WATCH_TIMEOUT,
            position: None,
            retry_delay: INITIAL_RETRY_DELAY,
            failing: false,
            history_lost: false,
        }
    }

    /// Creates a watch that only asks for the changes so far.
    pub fn without_wait(scope: Scope) -> Self {
        Self {
            wait: Duration::ZERO,
            ..Self::new(scope)
        }
    }

    /// Returns whether the next call waits for a change, rather than reads the scope.
    pub fn is_positioned(&self) -> bool {
        self.position.is_some()
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Skips the changes up to a revision that this daemon has received otherwise.
    pub fn skip_to(&mut self, known: Position) {
        if let Some(position) = &mut self.position
            && position.era == known.era
        {
            position.revision = position.revision.max(known.revision);
        }
    }

    /// Waits for the next changes, which may be none after the longest wait. Returns `None` after a
    /// failed call, and when the scope must be read next.
    pub async fn next(&mut self, platform: &Client) -> Option<Received> {
        let called = match (self.position, self.scope) {
            (None, Scope::Key(key)) => Some(platform.read(key).await.map(|r| key_result(key, r))),
            (None, Scope::Prefix(prefix)) => Some(platform.read_prefix(prefix).await),
            (Some(position), _) => self.watch(platform, position).await,
        };
        match called? {
            Ok(read) => Some(self.record(read)),
            Err(e) => {
                self.position = None;
                self.back_off(&e).await;
                None
            }
        }
    }

    /// Watches the scope in the era of `position`. Returns `None` if the era ended.
    async fn watch(
        &mut self,
        platform: &Client,
        position: Position,
    ) -> Option<Result<PrefixResult>> {
        let mut era = platform.era();
        let era_ended = era.wait_for(|era| *era != position.era);
        let watched = tokio::select! {
            watched = self.call_watch(platform, position.revision) => Some(watched),
            _ = era_ended => None,
        };
        let is_same_era = match &watched {
            Some(Ok(read)) => read.era == position.era,
            Some(Err(_)) => true,
            None => false,
        };
        if !is_same_era {
            log::info!(key = self.name(), era = position.era, after = position.revision;
                "the platform store came back in another era, reading the watched key");
            self.position = None;
            return None;
        }
        watched
    }

    async fn call_watch(&self, platform: &Client, after: u64) -> Result<PrefixResult> {
        match self.scope {
            Scope::Key(key) => {
                let watched = platform.watch(key, after, self.wait).await;
                watched.map(|read| key_result(key, read))
            }
            Scope::Prefix(prefix) => platform.watch_prefix(prefix, after, self.wait).await,
        }
    }

    /// Returns the key or prefix for the log.
    fn name(&self) -> &'static str {
        match self.scope {
            Scope::Key(name) | Scope::Prefix(name) => name,
        }
    }

    fn record(&mut self, read: PrefixResult) -> Received {
        if std::mem::take(&mut self.failing) {
            log::info!(key = self.name(); "watch of the platform store succeeded again");
        }
        self.retry_delay = INITIAL_RETRY_DELAY;
        if self.position.is_some() {
            self.history_lost = false;
        }
        let position = Position::new(read.era, read.watch_revision);
        Received {
            changes: read.changes,
            is_whole: self.position.replace(position).is_none(),
            position,
        }
    }

    /// Waits after a failed call. The first read after lost history follows at once; if the next
    /// watch finds its history gone again, there is a pause.
    async fn back_off(&mut self, e: &Error) {
        if *e == Error::Compacted {
            log::info!(key = self.name(); "history of the watched key is gone, reading its value");
            if !std::mem::replace(&mut self.history_lost, true) {
                return;
            }
        } else if !std::mem::replace(&mut self.failing, true) {
            log::warn!(key = self.name(), error:% = e;
                "watch of the platform store failed, retrying with back-off");
        }
        tokio::time::sleep(self.retry_delay.mul_f64(rand::random_range(0.5..1.0))).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Returns the result of a call for one key.
fn key_result(key: &str, read: ReadResult) -> PrefixResult {
    let change = |value: Value| KeyChange {
        key: key.into(),
        revision: value.revision,
        value: Some(value.bytes),
    };
    PrefixResult {
        changes: read.value.into_iter().map(change).collect(),
        watch_revision: read.watch_revision,
        era: read.era,
    }
}

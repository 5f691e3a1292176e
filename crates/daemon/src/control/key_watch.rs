//! Watches one key of the platform's store across failures, lost history and restored copies.

use std::time::Duration;

use masticdeal_platform::{Client, Error, Position, ReadResult, Result, Value};

/// Longest wait of one watch call for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// First delay after a failed watch.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay after a failed watch. The delay doubles up to it from [`INITIAL_RETRY_DELAY`]. The
/// platform counts each call against its limit, refused calls included.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// State of the watch of one key.
///
/// Whenever changes may have been missed, the key is read before the watch continues: after a
/// failed call, after the store dropped its history, and in a new era of the store. In a new era
/// revisions are reused, so a watch from an old revision can be accepted and miss changes.
pub struct KeyWatch {
    key: &'static str,
    /// Longest wait of one call for a change.
    wait: Duration,
    /// `None` if the key must be read first.
    position: Option<Position>,
    /// Delay after the next failure.
    retry_delay: Duration,
    /// Whether the last call failed.
    failing: bool,
    /// Whether the last watch found its history gone.
    history_lost: bool,
}

impl KeyWatch {
    /// Creates a watch that first reads the key.
    pub fn new(key: &'static str) -> Self {
        Self {
            key,
            wait: WATCH_TIMEOUT,
            position: None,
            retry_delay: INITIAL_RETRY_DELAY,
            failing: false,
            history_lost: false,
        }
    }

    /// Creates a watch that only asks for the changes so far.
    pub fn without_wait(key: &'static str) -> Self {
        Self {
            wait: Duration::ZERO,
            ..Self::new(key)
        }
    }

    /// Returns whether the next call waits for a change, rather than reads the key.
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

    /// Waits for the next value and returns it with its era. Returns `None` after a timeout or a
    /// failed call, and when the key must be read next.
    pub async fn next(&mut self, platform: &Client) -> Option<(Value, u64)> {
        let called = match self.position {
            None => Some(platform.read(self.key).await),
            Some(position) => self.watch(platform, position).await,
        };
        match called? {
            Ok(read) => self.record(read),
            Err(e) => {
                self.position = None;
                self.back_off(&e).await;
                None
            }
        }
    }

    /// Watches the key in the era of `position`. Returns `None` if the era ended.
    async fn watch(&mut self, platform: &Client, position: Position) -> Option<Result<ReadResult>> {
        let mut era = platform.era();
        let era_ended = era.wait_for(|era| *era != position.era);
        let watched = tokio::select! {
            watched = platform.watch(self.key, position.revision, self.wait) => Some(watched),
            _ = era_ended => None,
        };
        let is_same_era = match &watched {
            Some(Ok(read)) => read.era == position.era,
            Some(Err(_)) => true,
            None => false,
        };
        if !is_same_era {
            log::info!(key = self.key, era = position.era, after = position.revision;
                "the platform store came back in another era, reading the watched key");
            self.position = None;
            return None;
        }
        watched
    }

    fn record(&mut self, read: ReadResult) -> Option<(Value, u64)> {
        if std::mem::take(&mut self.failing) {
            log::info!(key = self.key; "watch of the platform store succeeded again");
        }
        self.retry_delay = INITIAL_RETRY_DELAY;
        if self.position.is_some() {
            self.history_lost = false;
        }
        self.position = Some(Position::new(read.era, read.watch_revision));
        read.value.map(|value| (value, read.era))
    }

    /// Waits after a failed call. The first read after lost history follows at once; if the next
    /// watch finds its history gone again, there is a pause.
    async fn back_off(&mut self, e: &Error) {
        if *e == Error::Compacted {
            log::info!(key = self.key; "history of the watched key is gone, reading its value");
            if !std::mem::replace(&mut self.history_lost, true) {
                return;
            }
        } else if !std::mem::replace(&mut self.failing, true) {
            log::warn!(key = self.key, error:% = e;
                "watch of the platform store failed, retrying with back-off");
        }
        tokio::time::sleep(self.retry_delay.mul_f64(rand::random_range(0.5..1.0))).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

//! Watches the platform's service for the table, the configuration, on a few daemons only.
//!
//! A waiting watch counts as a call, and the service's rates grow more slowly than the fleet. So
//! only the [`WATCHERS`] lowest sessions of each data centre watch; all others learn from peers.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::Event;
use masticdeal_ownership::planner::planner_session;
use masticdeal_ownership::table::Table;
use masticdeal_platform::{Call, Client, Error, Value};
use masticdeal_wire::headers::KEY_TABLE;
use tokio::sync::watch;

use super::Control;
use crate::telemetry::metrics::ByKind;

/// Watching daemons per data centre.
pub const WATCHERS: usize = 2;

/// Longest wait of one watch.
const WAIT: Duration = Duration::from_secs(30);

/// Time that the tree of peers has to bring the same news. A whole table from a watch carries no
/// deltas and no reasons, so it is only used when the tree failed.
const TREE_LEAD: Duration = Duration::from_millis(200);

/// Pause after a change of the table. Moves come in series, the tree and the versions in heartbeats
/// bring each of them, and every watch is a call that counts.
const TABLE_PAUSE: Duration = Duration::from_secs(1);

/// Time between two copies of the counters into the metrics.
const METRICS: Duration = Duration::from_secs(1);

/// First pause after a failed watch.
const RETRY: Duration = Duration::from_millis(500);

/// Largest fleet in which every daemon watches the configuration. A watch is one call in half a minute and
/// one for each change; the users' store for fleets of 71 to 76 takes 6,000 reads a second.
pub const ALL_WATCH: usize = 128;

/// Longest pause after failed watches; it doubles from [`RETRY`]. Each call is counted, refused ones
/// included.
const LONGEST_RETRY: Duration = Duration::from_millis(1_500);

/// One key that is followed by watches.
struct Following {
    key: &'static str,
    /// Revision from which the next watch continues.
    after: u64,
    retry: Duration,
    failing: bool,
}

impl Following {
    fn new(key: &'static str) -> Self {
        Self {
            key,
            after: 0,
            retry: RETRY,
            failing: false,
        }
    }

    /// Returns the next value; `None` after a wait without one or a failed call.
    async fn next(&mut self, platform: &Client) -> Option<Value> {
        let watched = match platform.watch(self.key, self.after, WAIT).await {
            Err(Error::Compacted) => {
                log::info!(key = self.key, after = self.after; "the history of a watch is gone");
                platform.read(self.key).await
            }
            other => other,
        };
        match watched {
            Ok(watched) => {
                if std::mem::take(&mut self.failing) {
                    log::info!(key = self.key; "the platform's service answers watches again");
                }
                self.retry = RETRY;
                self.after = self.after.max(watched.at);
                watched.value
            }
            Err(e) => {
                if !std::mem::replace(&mut self.failing, true) {
                    log::warn!(key = self.key, error:% = e; "a watch failed");
                }
                tokio::time::sleep(self.retry.mul_f64(rand::random_range(0.5..1.0))).await;
                self.retry = (self.retry * 2).min(LONGEST_RETRY);
                None
            }
        }
    }
}

/// Returns whether a session is one of its data centre's watchers.
pub fn is_watcher(table: &Table, me: SessionId) -> bool {
    let Some(own) = table.session(me) else {
        return false;
    };
    let ahead = table
        .sessions
        .iter()
        .filter(|s| s.data_centre == own.data_centre && s.id < me);
    ahead.count() < WATCHERS
}

impl Control {
    /// Keeps `watching`, and who plans, up to date with the table and the own session.
    pub async fn follow_role(self: Arc<Self>, watching: watch::Sender<bool>) {
        let mut table = self.node.table.subscribe();
        let mut session = self.node.session.subscribe();
        loop {
            let me = *session.borrow_and_update();
            let newest = table.borrow_and_update().clone();
            let is = me.is_some_and(|me| is_watcher(&newest, me));
            watching.send_if_modified(|was| std::mem::replace(was, is) != is);
            let plans = me.is_some() && planner_session(&newest) == me;
            if self
                .planning
                .send_if_modified(|was| std::mem::replace(was, plans) != plans)
            {
                log::info!(table = newest.version, plans; "who plans has changed");
            }
            let ended = tokio::select! {
                changed = table.changed() => changed.is_err(),
                changed = session.changed() => changed.is_err(),
            };
            if ended {
                return;
            }
        }
    }

    /// Watches the table while this daemon is a watcher.
    pub async fn watch_table(
        self: Arc<Self>,
        platform: Client,
        mut watching: watch::Receiver<bool>,
    ) {
        let mut watch = Following::new(KEY_TABLE);
        while watching.wait_for(|is| *is).await.is_ok() {
            watch.after = watch.after.max(self.tables.revision());
            if let Some(value) = watch.next(&platform).await {
                tokio::time::sleep(TREE_LEAD).await;
                self.learn_watched(&value);
                tokio::time::sleep(TABLE_PAUSE).await;
            }
        }
    }

    fn learn_watched(self: &Arc<Self>, value: &Value) {
        match self.tables.learn(value) {
            Ok(table) if table.version > self.node.table.borrow().version => {
                self.feed(Event::TableReceived(Arc::new(table)));
            }
            Ok(_) => {}
            Err(e) => log::error!("watched table is not used: {e}"),
        }
    }

    /// Watches the configuration and passes news on. In a small fleet every daemon watches, so that
    /// a change does not depend on peers; in a larger one the watchers of the table do.
    pub async fn watch_config(
        self: Arc<Self>,
        platform: Client,
        mut watching: watch::Receiver<bool>,
    ) {
        let mut watch = Following::new(self.node.dialect.config.key);
        let mut table = self.node.table.subscribe();
        loop {
            let small = table.borrow_and_update().sessions.len() <= ALL_WATCH;
            if !small && !*watching.borrow_and_update() {
                let ended = tokio::select! {
                    changed = table.changed() => changed.is_err(),
                    changed = watching.changed() => changed.is_err(),
                };
                if ended {
                    return;
                }
                continue;
            }
            if let Some(value) = watch.next(&platform).await
                && self.config.learn_stored(&value)
            {
                self.spread_config();
            }
        }
    }

    /// Copies the counters of platform calls into the metrics, until the task is dropped.
    pub async fn follow_platform_calls(self: Arc<Self>, platform: Client) {
        let mut known = [0; Call::ALL.len()];
        loop {
            tokio::time::sleep(METRICS).await;
            for (call, known) in Call::ALL.into_iter().zip(&mut known) {
                let count = platform.counts().get(call);
                let kind = ByKind {
                    kind: call.as_str(),
                };
                let counter = self.node.metrics.platform_calls.get_or_create(&kind);
                counter.inc_by(count - *known);
                *known = count;
            }
        }
    }

    /// Reads the configuration once at the start, trying until the service or a peer had one.
    pub async fn load_config(self: Arc<Self>) {
        while self.config.current().revision == 0 {
            if let Err(e) = self.config.refresh().await {
                log::warn!("{e}");
                self.start_from_peers().await;
            }
            tokio::time::sleep(RETRY).await;
        }
    }
}

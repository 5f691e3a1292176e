//! Watches the platform's service for the table, the configuration, on a few daemons only.
//!
//! A waiting watch counts as a call, and the service's rates grow more slowly than the fleet. So
//! only the [`WATCHERS`] lowest sessions of each data centre watch; all others learn from peers.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::Event;
use masticdeal_ownership::table::Table;
use masticdeal_platform::{Call, Client};
use masticdeal_wire::headers::{KEY_CONFIG, KEY_TABLE};
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

/// Time between two copies of the counters into the metrics.
const METRICS: Duration = Duration::from_secs(1);

/// Pause after a failed watch.
const RETRY: Duration = Duration::from_millis(500);

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
    /// Keeps `watching` up to date with the table and the own session.
    pub async fn follow_role(self: Arc<Self>, watching: watch::Sender<bool>) {
        let mut table = self.node.table.subscribe();
        let mut session = self.node.session.subscribe();
        loop {
            let me = *session.borrow_and_update();
            let is = me.is_some_and(|me| is_watcher(&table.borrow_and_update(), me));
            watching.send_if_modified(|was| std::mem::replace(was, is) != is);
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
        while watching.wait_for(|is| *is).await.is_ok() {
            let after = self.tables.revision();
            match platform.watch(KEY_TABLE, after, WAIT).await {
                Ok(None) => {}
                Ok(Some(value)) => {
                    tokio::time::sleep(TREE_LEAD).await;
                    self.learn_watched(&value);
                }
                Err(e) => {
                    log::warn!("watch of the table failed: {e}");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    fn learn_watched(self: &Arc<Self>, value: &masticdeal_platform::Value) {
        match self.tables.learn(value) {
            Ok(table) if table.version > self.node.table.borrow().version => {
                self.feed(Event::TableLearned(Arc::new(table)));
            }
            Ok(_) => {}
            Err(e) => log::error!("watched table is not used: {e}"),
        }
    }

    /// Watches the configuration while this daemon is a watcher, and passes news on.
    pub async fn watch_config(
        self: Arc<Self>,
        platform: Client,
        mut watching: watch::Receiver<bool>,
    ) {
        let mut after = 0;
        while watching.wait_for(|is| *is).await.is_ok() {
            match platform.watch(KEY_CONFIG, after, WAIT).await {
                Ok(None) => {}
                Ok(Some(value)) => {
                    after = value.revision;
                    if self.config.learn_stored(&value) {
                        self.spread_config();
                    }
                }
                Err(e) => {
                    log::warn!("watch of the configuration failed: {e}");
                    tokio::time::sleep(RETRY).await;
                }
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

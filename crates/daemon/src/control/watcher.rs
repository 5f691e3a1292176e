//! Watches the table and the configuration in the platform's store, on a few daemons only.
//!
//! Each watch counts as a call, and the store's rate limits grow more slowly than the fleet. So
//! only the [`TABLE_WATCHERS`] lowest sessions of each data centre watch the table, and the
//! [`CONFIG_WATCHERS`] lowest ones the configuration. All other daemons receive updates from peers. See
//! [`super::config_watch`] for the configuration.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::Event;
use masticdeal_ownership::planner::planner_session;
use masticdeal_ownership::table::Table;
use masticdeal_platform::{CallKind, Client, Value};
use masticdeal_wire::headers::KEY_TABLE;
use tokio::sync::watch;

use super::Control;
use super::key_watch::{KeyWatch, Scope};
use crate::telemetry::metrics::KindLabel;

/// Number of daemons per data centre that watch the table.
pub const TABLE_WATCHERS: usize = 2;

/// Number of daemons per data centre that watch the configuration. The store may refuse a third of
/// all daemons at the same time.
pub const CONFIG_WATCHERS: usize = 4;

/// Wait after a watch returned a table, in which the dissemination tree usually delivers the same
/// table. The table from a watch comes without deltas and reasons, so it is installed only if the
/// tree did not deliver it.
const TREE_DELIVERY_DELAY: Duration = Duration::from_millis(200);

/// Pause of the watch after a change of the table. Moves come in bursts, and the tree and the
/// versions in lease renewals deliver each of them, while each watch counts as a call.
const TABLE_CHANGE_DELAY: Duration = Duration::from_secs(1);

/// Interval at which the state of the platform's store is exported to the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whether a session is one of the `count` lowest ones of its data centre.
pub fn is_watcher(table: &Table, me: SessionId, count: usize) -> bool {
    let Some(own_session) = table.session(me) else {
        return false;
    };
    let lower_sessions = table
        .sessions
        .iter()
        .filter(|s| s.data_centre == own_session.data_centre && s.id < me);
    lower_sessions.count() < count
}

impl Control {
    /// Updates whether this daemon is a watcher (`is_watcher_tx`) and whether it is the planner,
    /// when the table or the daemon's session changes.
    pub async fn update_roles(self: Arc<Self>, is_watcher_tx: watch::Sender<bool>) {
        let mut table = self.node.table.subscribe();
        let mut session = self.node.session.subscribe();
        loop {
            let me = *session.borrow_and_update();
            let newest = table.borrow_and_update().clone();
            let is_watcher_now = me.is_some_and(|me| is_watcher(&newest, me, TABLE_WATCHERS));
            is_watcher_tx.send_if_modified(|was_watcher| {
                std::mem::replace(was_watcher, is_watcher_now) != is_watcher_now
            });
            let plans = me.is_some() && planner_session(&newest) == me;
            if self
                .is_planner
                .send_if_modified(|was_planner| std::mem::replace(was_planner, plans) != plans)
            {
                log::info!(table = newest.version, plans; "planner role of this daemon changed");
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

    /// Watches the table while this daemon is a watcher, until the task is dropped.
    pub async fn watch_table(
        self: Arc<Self>,
        platform: Client,
        mut is_watcher_rx: watch::Receiver<bool>,
    ) {
        let mut watch = KeyWatch::new(Scope::Key(KEY_TABLE));
        while is_watcher_rx
            .wait_for(|is_watcher| *is_watcher)
            .await
            .is_ok()
        {
            if let Some(known) = self.tables.position() {
                watch.skip_to(known);
            }
            let received = watch.next(&platform).await;
            if let Some(received) = received
                && let Some(value) = received.value_of(KEY_TABLE)
            {
                tokio::time::sleep(TREE_DELIVERY_DELAY).await;
                self.install_watched(&value, received.position.era);
                tokio::time::sleep(TABLE_CHANGE_DELAY).await;
            }
        }
    }

    fn install_watched(self: &Arc<Self>, value: &Value, era: u64) {
        match self.tables.decode_stored(value, era) {
            Ok(table) if table.version > self.node.table.borrow().version => {
                self.handle_event(Event::TableReceived(Arc::new(table)));
            }
            Ok(_) => {}
            Err(e) => log::error!("ignoring the table from a watch: {e}"),
        }
    }

    /// Passes changes of the store's era to the lease core, until the task is dropped.
    pub async fn follow_store_era(self: Arc<Self>, platform: Client) {
        let mut era_rx = platform.era();
        while era_rx.changed().await.is_ok() {
            let era = *era_rx.borrow_and_update();
            log::info!(era, table = self.node.versions().table; "era of the platform store changed");
            self.handle_event(Event::StoreEra(era));
            tokio::spawn(self.clone().write_back_config());
        }
    }

    /// Exports the counters of platform calls and the age of the configuration to the metrics, until
    /// the task is dropped.
    pub async fn export_platform_state(self: Arc<Self>, platform: Client) {
        let mut exported = [0; CallKind::ALL.len()];
        loop {
            tokio::time::sleep(METRICS_INTERVAL).await;
            let age = self.config_freshness().age(self.node.clock.now());
            let age_s = age.map_or(f64::NAN, |age| age.as_secs_f64());
            self.node.metrics.config_age.set(age_s);
            for (call, exported) in CallKind::ALL.into_iter().zip(&mut exported) {
                let count = platform.call_counts().get(call);
                let kind = KindLabel {
                    kind: call.as_str(),
                };
                let counter = self.node.metrics.platform_calls.get_or_create(&kind);
                counter.inc_by(count - *exported);
                *exported = count;
            }
        }
    }
}

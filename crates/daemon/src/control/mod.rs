//! Control plane of the daemon: runs the lease core and carries out its effects. The lease core is
//! the ownership crate's state machine for the lease and the assignment table.
//!
//! - [`driver`]: passes events to the lease core and runs its effects.
//! - [`messages`]: handles control messages from other daemons.
//! - [`table_store`], [`config_store`]: the assignment table and the configuration in the
//!   platform's store.
//! - [`config_watch`]: learns of new configurations from the platform's store.
//! - [`config_freshness`]: how old the last answer of the store about the configuration is.
//! - [`config_history`]: the differences that bring a peer's configuration up to date.
//! - [`config_restoration`]: finds the newest configuration after the store was restored from a
//!   backup.
//! - [`dissemination`]: sends updates of table and configuration to peers and pulls missing ones.
//! - [`evacuation`]: learns which data centres are evacuated.
//! - [`watcher`]: watches the table in the platform's store, on a few daemons only.
//! - [`key_watch`]: the watch of one key.
//! - [`grants`]: refreshes the target's grant and revokes it before a move.
//! - [`move_reasons`]: reasons of moves, for the journals.
//! - [`restoration`]: collects and writes the table after the store was restored from a backup.
//! - [`reports`]: replies to target reports with grants.
//! - [`target`]: passes the state of the local target to the lease core.
//! - [`load_collection`]: collects load and versions from all daemons.
//! - [`port`], [`commands`]: the operator port and the commands that it accepts.
//! - [`relay`]: calls to the platform's store, directly or through a member.
//! - [`planned_releases`]: releases of shards for moves that the planner writes.
//! - [`planner`]: planning rounds, while this daemon is the planner.
//!
//! Invariants: the version of the published table and the revision of the published configuration
//! never decrease. No shard is granted or served beyond the end of the lease. The ownership crate's
//! checker runs on every table before it is published.

pub mod commands;
pub mod config_freshness;
pub mod config_history;
pub mod config_restoration;
pub mod config_store;
pub mod config_watch;
pub mod dissemination;
pub mod driver;
pub mod evacuation;
pub mod grants;
pub mod key_watch;
pub mod load_collection;
pub mod messages;
pub mod move_reasons;
pub mod planned_releases;
pub mod planner;
pub mod port;
pub mod relay;
pub mod reports;
pub mod restoration;
pub mod table_store;
pub mod target;
pub mod watcher;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::sync::{Arc, Mutex};

use masticdeal_ownership::change::Delta;
use masticdeal_ownership::history::History;
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::{Core, Event};
use masticdeal_ownership::pending_moves::PendingMoves;
use masticdeal_wire::peer::{Update, Versions};
use tokio::sync::{Notify, OnceCell, watch};

use crate::node::Node;
use crate::operators::journal::{DEFAULT_MEMORY_LIMIT_BYTES, Journal};
use crate::owner::Owner;
use crate::peers::Peers;

use config_freshness::ConfigFreshness;
use config_store::ConfigStore;
use load_collection::LoadCollection;
use move_reasons::MoveReasons;
use planned_releases::PlannedReleases;
use relay::Relay;
use table_store::TableStore;

/// The control plane of one daemon.
pub struct Control {
    /// Shared state of the daemon.
    pub node: Arc<Node>,
    /// Transport to other daemons.
    pub peers: Arc<Peers>,
    /// Owner role of the daemon: admission and the client of the local target.
    pub owner: Arc<Owner>,
    /// Deployment configuration.
    pub config: ConfigStore,
    /// Assignment table in the platform's store.
    pub tables: TableStore,
    /// Decisions of this daemon and of other daemons, as they appear in deltas, tables and
    /// configurations.
    pub journal: Mutex<Journal>,
    core: Arc<Mutex<Core>>,
    history: Mutex<History>,
    /// Delta of the swap in progress.
    swap_delta: Mutex<Option<Delta>>,
    move_reasons: Mutex<MoveReasons>,
    /// When this daemon last knew that its configuration was the newest.
    config_freshness: Mutex<ConfigFreshness>,
    /// Time of the newest confirmation that this daemon has forwarded, by the origin.
    forwarded_confirmations: Mutex<BTreeMap<SessionId, u64>>,
    /// Sessions from which updates are being pulled.
    pulls: Mutex<BTreeSet<SessionId>>,
    /// Newest versions that this daemon has forwarded along the dissemination tree.
    disseminated: Mutex<Versions>,
    load_collection: tokio::sync::Mutex<LoadCollection>,
    /// Whether this daemon is the planner.
    is_planner: watch::Sender<bool>,
    /// Moves that this daemon requested as the planner.
    pending_moves: Mutex<PendingMoves>,
    /// Whether, at some time since the start, each shard of every declared service had an owner and
    /// the local target was in the table if it had announced itself.
    services_assigned: AtomicBool,
    /// Capacity of the target in requests per second, as last reported to the core.
    capacity: AtomicU32,
    /// Set once the wait for configuration and target at startup is over.
    startup_wait: OnceCell<()>,
    /// Set once members were asked for a newer configuration than the stored one.
    config_search: OnceCell<()>,
    /// Wakes the task that sends ticks to the core, since its next deadline may have changed.
    wake: Notify,
    grants_changed: Notify,
    /// Sequence number of the last grant.
    grant_sequence: tokio::sync::Mutex<u64>,
    /// Moves of this owner that their planner writes.
    planned_releases: PlannedReleases,
    /// Moves that start with the next report of the target.
    deferred_moves: Mutex<Vec<Event>>,
}

impl Control {
    /// Creates the control plane. `core` must be the lease core that `node.may_serve` consults.
    pub fn new(
        node: Arc<Node>,
        peers: Arc<Peers>,
        owner: Arc<Owner>,
        platform: masticdeal_platform::Client,
        core: Arc<Mutex<Core>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            config: ConfigStore::new(node.clone(), platform.clone()),
            tables: TableStore::new(
                Relay::new(node.clone(), peers.clone(), platform),
                node.clock.clone(),
            ),
            journal: Mutex::new(Journal::new(unix_ms(), DEFAULT_MEMORY_LIMIT_BYTES)),
            history: Mutex::default(),
            swap_delta: Mutex::default(),
            move_reasons: Mutex::default(),
            config_freshness: Mutex::default(),
            forwarded_confirmations: Mutex::default(),
            pulls: Mutex::default(),
            disseminated: Mutex::default(),
            load_collection: tokio::sync::Mutex::default(),
            is_planner: watch::Sender::new(false),
            pending_moves: Mutex::default(),
            services_assigned: AtomicBool::new(false),
            capacity: AtomicU32::new(0),
            startup_wait: OnceCell::new(),
            config_search: OnceCell::new(),
            wake: Notify::new(),
            grants_changed: Notify::new(),
            grant_sequence: tokio::sync::Mutex::new(0),
            planned_releases: PlannedReleases::default(),
            deferred_moves: Mutex::default(),
            node,
            peers,
            owner,
            core,
        })
    }

    /// Returns the session of this daemon, once it has joined.
    pub fn session(&self) -> Option<SessionId> {
        *self.node.session.borrow()
    }

    /// Returns the remaining time of the lease; `None` without a valid lease.
    pub fn lease_left(&self) -> Option<std::time::Duration> {
        let until = self.core.lock().unwrap().lease_until()?;
        until.checked_sub(self.node.clock.now())
    }

    /// Sends the current configuration to this daemon's children in the dissemination tree.
    pub fn disseminate_config(self: &Arc<Self>) {
        let update = Update {
            origin: self.session(),
            config: Some(self.config.last_update()),
            ..Update::default()
        };
        self.disseminate(update);
    }
}

/// Returns the Unix time in milliseconds. It is only displayed; no decision depends on it.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}

//! The control plane of the daemon: it drives the lease core and carries out its effects.
//!
//! - [`driver`]: feeds events to the core and runs its effects.
//! - [`messages`]: control messages of other daemons.
//! - [`table_store`], [`config_store`]: the two values in the platform's service.
//! - [`dissemination`]: passes on and pulls what is newer.
//! - [`watcher`]: watches the platform's service, on a few daemons only.
//! - [`grants`]: keeps the target's grant current, and takes it back before a move.
//! - [`move_reasons`]: why shards moved, for the journals.
//! - [`reports`]: answers the reports of a target that takes its grants that way.
//! - [`target`]: tells the core about the target beside the daemon.
//! - [`load_collection`]: what every other daemon last reported.
//! - [`port`], [`commands`]: the operators' port and what it carries out.
//! - [`relay`]: calls to the platform's service through members.
//! - [`planner`]: the rounds of is_planner, while this daemon is the planner.
//!
//! Invariants: the published table and configuration never fall back to an older version, and no
//! shard is granted or served beyond the end of the lease. The checker of the ownership crate runs
//! on every table before it is published.

pub mod commands;
pub mod config_store;
pub mod dissemination;
pub mod driver;
pub mod grants;
pub mod load_collection;
pub mod messages;
pub mod move_reasons;
pub mod planner;
pub mod port;
pub mod relay;
pub mod reports;
pub mod table_store;
pub mod target;
pub mod watcher;

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
use crate::operators::journal::{DEFAULT_BUDGET_BYTES, Journal};
use crate::owner::Owner;
use crate::peers::Peers;

use config_store::ConfigStore;
use load_collection::LoadCollection;
use move_reasons::MoveReasons;
use relay::Relay;
use table_store::TableStore;

/// The control plane of one daemon.
pub struct Control {
    /// Shared state of the daemon.
    pub node: Arc<Node>,
    /// Transport to other daemons.
    pub peers: Arc<Peers>,
    /// The target's side of the daemon.
    pub owner: Arc<Owner>,
    /// The deployment configuration.
    pub config: ConfigStore,
    /// The assignment table in the platform's service.
    pub tables: TableStore,
    /// Decisions of this daemon and those it learned.
    pub journal: Mutex<Journal>,
    core: Arc<Mutex<Core>>,
    history: Mutex<History>,
    swap_delta: Mutex<Option<Delta>>,
    move_reasons: Mutex<MoveReasons>,
    /// Newest versions that came along the tree and were passed on.
    disseminated: Mutex<Versions>,
    load_collection: tokio::sync::Mutex<LoadCollection>,
    /// Whether this daemon is the planner.
    is_planner: watch::Sender<bool>,
    /// Moves that this daemon asked for as the planner.
    pending_moves: Mutex<PendingMoves>,
    services_assigned: AtomicBool,
    /// Capacity of the target in requests per second, as the core was told.
    capacity: AtomicU32,
    target_wait: OnceCell<()>,
    wake: Notify,
    grants_changed: Notify,
    grant_sequence: tokio::sync::Mutex<u64>,
    /// Moves that wait for the next report of the target.
    deferred_moves: Mutex<Vec<Event>>,
}

impl Control {
    /// Puts the parts together. `core` is the one that `node.may_serve` asks.
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
            journal: Mutex::new(Journal::new(unix_ms(), DEFAULT_BUDGET_BYTES)),
            history: Mutex::default(),
            swap_delta: Mutex::default(),
            move_reasons: Mutex::default(),
            disseminated: Mutex::default(),
            load_collection: tokio::sync::Mutex::default(),
            is_planner: watch::Sender::new(false),
            pending_moves: Mutex::default(),
            services_assigned: AtomicBool::new(false),
            capacity: AtomicU32::new(0),
            target_wait: OnceCell::new(),
            wake: Notify::new(),
            grants_changed: Notify::new(),
            grant_sequence: tokio::sync::Mutex::new(0),
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

    /// Returns the time for which the lease is still live; `None` without one.
    pub fn lease_left(&self) -> Option<std::time::Duration> {
        let until = self.core.lock().unwrap().lease_until()?;
        until.checked_sub(self.node.clock.now())
    }

    /// Passes an accepted configuration on to the daemons below this one in the tree.
    pub fn disseminate_config(self: &Arc<Self>) {
        let news = Update {
            origin: self.session(),
            config: Some(self.config.current()),
            ..Update::default()
        };
        self.disseminate(news);
    }
}

/// Returns the Unix time in milliseconds, for people to read; no decision depends on it.
pub(crate) fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

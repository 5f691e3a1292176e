//! What all parts of the daemon share: settings, the clock, and the newest table, configuration
//! and target.
//!
//! The control plane publishes; the request path reads. A reader takes the current value once per
//! request and works on that copy.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use masticdeal_config::deployment::Deployment;
use masticdeal_config::settings::Settings;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::Table;
use masticdeal_wire::peer::{Reason, Versions};
use masticdeal_wire::target::Announce;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::holdings::GrantedShards;
use crate::meter::Meter;
use crate::protocol::Protocol;
use crate::reload::ReloadableSettings;
use crate::telemetry::Metrics;

/// Decides whether this daemon may serve a shard, or a single key of it, at this moment.
///
/// The control plane supplies it. It is called again after every await that precedes an effect.
pub type MayServe =
    Box<dyn Fn(ServiceId, ShardId, u64) -> Result<Epoch, Reason> + Send + Sync + 'static>;

/// Shared state of the daemon.
pub struct Node {
    /// Settings, checked at start.
    pub settings: Settings,
    /// Settings that change while the daemon runs.
    pub reloadable_settings: watch::Sender<Arc<ReloadableSettings>>,
    /// How outside parties are spoken to.
    pub protocol: Protocol,
    /// Boot-time clock.
    pub clock: Arc<dyn Clock>,
    /// Newest assignment table.
    pub table: watch::Sender<Arc<Table>>,
    /// Newest deployment configuration and its revision.
    pub deployment: watch::Sender<(u64, Arc<Deployment>)>,
    /// Last announcement of the target beside the daemon; `None` while it is silent.
    pub target: watch::Sender<Option<Announce>>,
    /// What the target holds, when it takes its grants as answers to its reports.
    pub granted_shards: GrantedShards,
    /// When the target last answered a request, as milliseconds since boot.
    pub target_last_answer_ms: AtomicU64,
    /// Session of this daemon, once it has joined.
    pub session: watch::Sender<Option<SessionId>>,
    /// Newest versions that a peer reported_versions; the control plane pulls when it is behind.
    pub reported_versions: watch::Sender<Versions>,
    /// Whether the daemon was told to stop. It still takes requests for the time that the settings
    /// name, but is no longer ready.
    pub stopping: watch::Sender<bool>,
    /// Whether the daemon is shutting down and takes nothing new.
    pub draining: watch::Sender<bool>,
    /// Ownership decision of the control plane.
    pub may_serve: MayServe,
    /// Requests per shard and key.
    pub meter: Meter,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in progress at this daemon, up to the last byte of their answers.
    pub in_progress: TaskTracker,
    /// Set when nothing is in progress any more and the peers' port closes its connections.
    pub closing: watch::Sender<bool>,
}

impl Node {
    /// Makes the shared state with an empty table and configuration.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, may_serve: MayServe) -> Self {
        Self {
            reloadable_settings: watch::Sender::new(Arc::new(ReloadableSettings::from_settings(
                &settings,
            ))),
            settings,
            protocol: Protocol::default(),
            clock,
            table: watch::Sender::new(Arc::default()),
            deployment: watch::Sender::new((0, Arc::default())),
            target: watch::Sender::new(None),
            granted_shards: GrantedShards::default(),
            target_last_answer_ms: AtomicU64::new(0),
            session: watch::Sender::new(None),
            reported_versions: watch::Sender::new(Versions::default()),
            stopping: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            may_serve,
            meter: Meter::default(),
            metrics: Metrics::new(),
            in_progress: TaskTracker::new(),
            closing: watch::Sender::new(false),
        }
    }

    /// Returns the number of shards of a service whose keys are numbers and whose targets take their
    /// grants as answers to their reports; `None` for any other.
    pub fn range_shard_count(&self, service: ServiceId) -> Option<u32> {
        if !self.protocol.target.grants_by_report {
            return None;
        }
        let table = self.table.borrow();
        let count = table.service(service)?.shards.len() as u32;
        (count > 0).then_some(count)
    }

    /// Returns the versions that this daemon holds.
    pub fn versions(&self) -> Versions {
        Versions {
            table: self.table.borrow().version,
            config: self.deployment.borrow().0,
        }
    }

    /// Returns the configuration and the name of a service in it.
    pub fn service_config(&self, service: ServiceId) -> Option<(Arc<Deployment>, String)> {
        let name = self.table.borrow().service(service)?.name.clone();
        let rules = Arc::clone(&self.deployment.borrow().1);
        Some((rules, name))
    }

    /// Records versions that a peer reported_versions.
    pub fn record_versions(&self, versions: Versions) {
        self.reported_versions.send_if_modified(|known| {
            let newer = versions.table > known.table || versions.config > known.config;
            known.table = known.table.max(versions.table);
            known.config = known.config.max(versions.config);
            newer
        });
    }
}

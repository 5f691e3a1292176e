//! State shared by all parts of the daemon: settings, clock, and the newest table, configuration
//! and target announcement.
//!
//! The control plane publishes and the request path reads. A reader takes the current value once
//! per request and works on that copy.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use masticdeal_config::deployment::Deployment;
use masticdeal_config::settings::Settings;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::Table;
use masticdeal_policy::attempts::{AttemptId, ConnectionId, ReceivedAttempts};
use masticdeal_policy::caller_limits::CallerLimits;
use masticdeal_policy::evacuation::StorePosition;
use masticdeal_wire::peer::{Reason, Versions};
use masticdeal_wire::target::Announce;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::evacuations::Evacuations;
use crate::holdings::GrantedShards;
use crate::meter::Meter;
use crate::peers::incoming::IncomingState;
use crate::protocol::Protocol;
use crate::reload::ReloadableSettings;
use crate::telemetry::Metrics;

/// Checks whether this daemon may serve a key at this moment. Returns the epoch of the key's
/// assignment, or the reason of the refusal.
///
/// The arguments are the service, the shard of the key, and the key's xxh3 hash, since an override
/// can give the key another owner than its shard. The control plane supplies the function. The
/// request path repeats the check after every await before it sends anything to the target.
pub type MayServe =
    Box<dyn Fn(ServiceId, ShardId, u64) -> Result<Epoch, Reason> + Send + Sync + 'static>;

/// What a report of the target says about its cold time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdReport {
    /// Time of receipt, as time since boot.
    pub received_at: Duration,
    /// Incarnation under which the target is published.
    pub incarnation: u64,
    /// Time for which the target remains cold, counted from the receipt; `None` if not reported.
    pub remaining: Option<Duration>,
}

/// Shared state of the daemon.
pub struct Node {
    /// Settings, checked at start.
    pub settings: Settings,
    /// Settings that can change while the daemon runs.
    pub reloadable_settings: watch::Sender<Arc<ReloadableSettings>>,
    /// Protocols used with callers, targets, the platform's store and operators.
    pub protocol: Protocol,
    /// Time since boot.
    pub clock: Arc<dyn Clock>,
    /// Newest assignment table.
    pub table: watch::Sender<Arc<Table>>,
    /// Revision of the newest deployment configuration, and the configuration.
    pub deployment: watch::Sender<(u64, Arc<Deployment>)>,
    /// Evacuated data centres.
    pub evacuations: watch::Sender<Arc<Evacuations>>,
    /// Last announcement of the local target. `None` if it has not announced itself recently or
    /// does not respond to requests.
    pub target: watch::Sender<Option<Announce>>,
    /// What the target's last report says about its cold time. Published before the target, so that
    /// no request starts at an incarnation whose state is not known.
    pub cold_report: watch::Sender<Option<ColdReport>>,
    /// Shards that the target may hold under range grants.
    pub granted_shards: GrantedShards,
    /// When the target last responded to a request, in milliseconds since boot.
    pub target_last_response_ms: AtomicU64,
    /// Session of this daemon, once it has joined.
    pub session: watch::Sender<Option<SessionId>>,
    /// Newest versions reported by peers. The control plane pulls updates when the versions of this
    /// daemon are older.
    pub reported_versions: watch::Sender<Versions>,
    /// Whether the daemon received a stop signal. It still accepts requests for the linger time of
    /// the settings, but is no longer ready.
    pub stopping: watch::Sender<bool>,
    /// Whether the caller port accepts no further connections or requests.
    pub caller_port_closed: watch::Sender<bool>,
    /// Whether the daemon is shutting down and accepts no new requests.
    pub draining: watch::Sender<bool>,
    /// Ownership check of the lease core.
    pub may_serve: MayServe,
    /// Request rates per shard and of the hottest keys.
    pub meter: Meter,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in progress at this daemon, up to the last byte of their responses.
    pub in_progress: TaskTracker,
    /// Learned time limits of callers of the local target.
    pub caller_limits: Mutex<CallerLimits>,
    /// Attempts received from other daemons.
    pub received_attempts: Mutex<ReceivedAttempts>,
    /// Open connections on which attempts are received.
    pub receiving_connections: Mutex<HashMap<ConnectionId, Weak<IncomingState>>>,
    /// Tells the peer port to close its connections. Set when no request is in progress any more or
    /// the drain timeout has expired.
    pub closing: watch::Sender<bool>,
}

/// Returns the longest time for which the target may hold a shard after the grant: the lease
/// duration, by a clock that may be slower by `drift_ppm`.
pub fn longest_grant(settings: &Settings) -> Duration {
    let lease = &settings.lease;
    lease.duration + lease.duration * lease.drift_ppm / 1_000_000
}

impl Node {
    /// Creates the shared state with an empty table and configuration.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, may_serve: MayServe) -> Self {
        let earlier_grants_until = clock.now() + longest_grant(&settings);
        Self {
            reloadable_settings: watch::Sender::new(Arc::new(ReloadableSettings::from_settings(
                &settings,
            ))),
            settings,
            protocol: Protocol::default(),
            clock,
            table: watch::Sender::new(Arc::default()),
            deployment: watch::Sender::new((0, Arc::default())),
            evacuations: watch::Sender::new(Arc::default()),
            target: watch::Sender::new(None),
            cold_report: watch::Sender::new(None),
            granted_shards: GrantedShards::new(earlier_grants_until),
            target_last_response_ms: AtomicU64::new(0),
            session: watch::Sender::new(None),
            reported_versions: watch::Sender::new(Versions::default()),
            stopping: watch::Sender::new(false),
            caller_port_closed: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            may_serve,
            meter: Meter::default(),
            metrics: Metrics::new(),
            in_progress: TaskTracker::new(),
            caller_limits: Mutex::default(),
            received_attempts: Mutex::default(),
            receiving_connections: Mutex::default(),
            closing: watch::Sender::new(false),
        }
    }

    /// Returns the number of shards of a service with range grants: a sharded service, while the
    /// protocol sends grants as replies to reports. Returns `None` for any other service.
    pub fn range_shard_count(&self, service: ServiceId) -> Option<u32> {
        if !self.protocol.target.grants_by_report {
            return None;
        }
        let table = self.table.borrow();
        let count = table.service(service)?.shards.len() as u32;
        (count > 0).then_some(count)
    }

    /// Locks the learned time limits of callers.
    pub fn caller_limits(&self) -> MutexGuard<'_, CallerLimits> {
        self.caller_limits.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the attempts received from other daemons.
    pub fn received_attempts(&self) -> MutexGuard<'_, ReceivedAttempts> {
        let attempts = self.received_attempts.lock();
        attempts.unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the open connections on which attempts are received.
    pub fn receiving_connections(
        &self,
    ) -> MutexGuard<'_, HashMap<ConnectionId, Weak<IncomingState>>> {
        let connections = self.receiving_connections.lock();
        connections.unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the connection if it is open and has received an attempt.
    pub fn receiving_connection(&self, connection: ConnectionId) -> Option<Arc<IncomingState>> {
        let connections = self.receiving_connections();
        connections.get(&connection)?.upgrade()
    }

    /// Returns once the sender of the attempt has withdrawn it, if it has not started.
    pub async fn await_withdrawal(&self, attempt: Option<AttemptId>) {
        let state = attempt.and_then(|attempt| self.receiving_connection(attempt.connection));
        match state {
            Some(state) => state.withdrawn.cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether an attempt may be sent to the target, and records that it is. Without an
    /// identifier, the request has come from a caller.
    pub fn start_attempt(&self, attempt: Option<AttemptId>) -> bool {
        attempt.is_none_or(|attempt| self.received_attempts().start(attempt))
    }

    /// Returns the versions of this daemon's table and configuration.
    pub fn versions(&self) -> Versions {
        let evacuations = match self.evacuation_keys() {
            Some(_) => self.evacuations.borrow().state.set().position,
            // The revision of the configuration covers the set.
            None => StorePosition::default(),
        };
        Versions {
            table: self.table.borrow().version,
            config: self.deployment.borrow().0,
            evacuations,
        }
    }

    /// Returns the current configuration and the name of the service.
    pub fn config_and_service_name(&self, service: ServiceId) -> Option<(Arc<Deployment>, String)> {
        let name = self.table.borrow().service(service)?.name.clone();
        let deployment = Arc::clone(&self.deployment.borrow().1);
        Some((deployment, name))
    }

    /// Records versions reported by a peer.
    pub fn record_reported_versions(&self, versions: Versions) {
        self.reported_versions.send_if_modified(|newest| {
            let is_newer = versions.has_newer_than(newest);
            newest.raise_to(&versions);
            is_newer
        });
    }
}

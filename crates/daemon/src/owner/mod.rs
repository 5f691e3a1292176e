//! The owner role: admission control and the HTTP client for the target on this VM.
//!
//! Invariants:
//!
//! - A request reaches the target only while this daemon may serve its shard. Ownership is checked
//!   on arrival, after the queue, once a connection is open, and directly before the first byte is
//!   written.
//! - The number of running requests never exceeds the target's slots.
//! - Every failure carries a verdict.

mod admission;
mod announce;
mod connection;
mod grant;
mod in_flight;
mod known_target;
mod ownership_check;
mod read_limit;
mod response_body;
mod response_head;
mod run;
mod write_check;

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_policy::drain::DRAIN_START_WINDOW;
use masticdeal_policy::evacuation::Permission;
use masticdeal_wire::peer::{LoadHint, Reason};
use masticdeal_wire::target::{Announce, AnnouncedState, ColdState};

pub use announce::{ReportHandler, serve as serve_announce};
pub use grant::Error as GrantError;

use crate::exchange::{Failure, Outcome, Request};
use crate::node::Node;
use crate::peers::server::ForwardHandler;
use crate::telemetry::log_writer::DECISION_TARGET;
use crate::telemetry::metrics::ReasonLabel;
use admission::Admission;
use connection::ConnectionPool;
use grant::GrantConnection;
use in_flight::InFlight;
use run::SilenceCounter;

/// The owner role of one daemon.
pub struct Owner {
    node: Arc<Node>,
    admission: Arc<Admission>,
    in_flight: Arc<InFlight>,
    pool: Arc<ConnectionPool>,
    silence: SilenceCounter,
    grant_connection: GrantConnection,
}

impl Owner {
    /// Creates the owner role and starts the task that applies changes of the target's state.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let admission = Admission::new(Arc::clone(&node));
        tokio::spawn(apply_target_changes(
            Arc::clone(&node),
            Arc::clone(&admission),
        ));
        Arc::new(Self {
            node,
            admission,
            in_flight: Arc::default(),
            pool: Arc::default(),
            silence: SilenceCounter::default(),
            grant_connection: GrantConnection::default(),
        })
    }

    /// Runs a request at the target. Dropping the future or the response body cancels the request.
    pub async fn handle(&self, request: Request) -> Outcome {
        let id = request.head.request_id.clone();
        let objective_ms = request.head.objective_ms;
        let priority = request.head.rank;
        let remaining = request.deadline.saturating_sub(self.node.clock.now());
        match self.run(request).await {
            Ok(response) => Outcome::Response(response),
            Err(failure) => {
                let reason = ReasonLabel {
                    reason: failure.reason.as_str(),
                };
                self.node.metrics.refusals.get_or_create(&reason).inc();
                let (versions, load) = (self.node.versions(), self.load());
                let estimate = self.admission.estimate(objective_ms, priority);
                log::info!(
                    target: DECISION_TARGET,
                    id = id.as_str(),
                    hop = "owner",
                    reason = failure.reason.as_str(),
                    verdict:% = failure.verdict,
                    running = load.running,
                    queued = load.queued,
                    service_ms = load.service_us / 1_000,
                    slots = estimate.slots,
                    wait_ms = estimate.queue_wait.as_millis() as u64,
                    objective_ms:?,
                    rank = priority,
                    deadline_ms = remaining.as_millis() as u64,
                    table = versions.table,
                    target:? = self.node.target.borrow().as_ref().map(|t| &t.instance);
                    "request not served by the target"
                );
                Outcome::Failed(Failure {
                    versions,
                    load,
                    ..failure
                })
            }
        }
    }

    /// Returns the handler of `/forward` for [`crate::peers::Handlers`].
    pub fn forward_handler(self: &Arc<Self>) -> ForwardHandler {
        let owner = Arc::clone(self);
        Box::new(move |request| {
            let owner = Arc::clone(&owner);
            async move { owner.handle(request).await }.boxed()
        })
    }

    /// Waits until no request of the shard is running or queued at this daemon. A planned move
    /// calls this once [`Node::may_serve`] refuses the shard.
    pub async fn await_drained(&self, service: ServiceId, shard: ShardId) {
        self.in_flight.await_drained(service, shard).await;
    }

    /// Returns how long the target has been cold; `None` if it is warm.
    pub fn cold_state(&self) -> Option<ColdState> {
        self.admission.cold_state()
    }

    /// Returns the load of the target as counted by this daemon.
    pub fn load(&self) -> LoadHint {
        self.admission.load()
    }

    /// Returns the number of slots that the target announced, or 0 without a target.
    fn slots(&self) -> usize {
        let target = self.node.target.borrow();
        target.as_ref().map_or(0, |t| usize::from(t.slots))
    }

    /// Returns the measured capacity in requests per second: slots divided by the smoothed service
    /// time. Returns 0 before the first measurement.
    pub fn service_rate(&self) -> f64 {
        self.admission.service_rate()
    }

    /// Returns the target if it accepts requests for this service. A draining target still runs the
    /// requests that the admission control starts.
    fn target_for(&self, service: ServiceId) -> Result<Announce, Failure> {
        let target = self.node.target.borrow().clone();
        let target = target.filter(|t| t.state != AnnouncedState::Starting);
        let target = target.ok_or(Failure::not_run(Reason::TargetAway))?;
        let service_id = self.node.table.borrow().service_id(&target.service);
        if service_id != Some(service) {
            return Err(Failure::not_run(Reason::TargetAway));
        }
        Ok(target)
    }
}

/// Returns whether an evacuation of the data centre keeps the target from getting further requests.
fn is_closed_by_evacuation(permission: Permission, is_sharded: bool) -> bool {
    match permission {
        Permission::All => false,
        Permission::Keys => !is_sharded,
        Permission::Nothing => true,
    }
}

/// Waits until the time ends in which requests for keys may be sent to an evacuated target.
async fn await_end_of_keys(node: &Node) {
    let until = node.evacuations.borrow().keys_until();
    match until.map(|until| until.saturating_sub(node.clock.now())) {
        Some(left) if !left.is_zero() => tokio::time::sleep(left).await,
        _ => std::future::pending().await,
    }
}

/// Opens or closes the admission control when the target's state, its service's configuration, the
/// drain of this daemon or the evacuation of its data centre changes.
async fn apply_target_changes(node: Arc<Node>, admission: Arc<Admission>) {
    let mut target_rx = node.target.subscribe();
    let mut deployment_rx = node.deployment.subscribe();
    let mut draining_rx = node.draining.subscribe();
    let mut evacuations_rx = node.evacuations.subscribe();
    let mut was_starting = false;
    let mut was_evacuated = false;
    loop {
        evacuations_rx.borrow_and_update();
        let permission = node.permission();
        let is_evacuated = permission != Permission::All;
        if std::mem::replace(&mut was_evacuated, is_evacuated) && !is_evacuated {
            // The target may have become cold while it got no requests.
            admission.assume_cold();
        }
        let announced = target_rx.borrow_and_update().clone();
        let (_, deployment) = deployment_rx.borrow_and_update().clone();
        let is_draining = *draining_rx.borrow_and_update();
        let state = announced.as_ref().map(|t| t.state);
        let service = announced
            .as_ref()
            .and_then(|t| deployment.service(&t.service));
        let is_sharded = service.is_some_and(|s| s.shards > 0);
        match announced {
            _ if is_closed_by_evacuation(permission, is_sharded) => admission.close(Duration::ZERO),
            _ if is_draining => admission.close(DRAIN_START_WINDOW),
            Some(t) if t.state == AnnouncedState::Ready => {
                let earliest_due_first = deployment.routes.iter().any(|r| !r.objective.is_zero());
                let (slots, service) = (usize::from(t.slots), deployment.service(&t.service));
                admission.open(slots, was_starting, service, earliest_due_first);
            }
            Some(t) if t.state == AnnouncedState::Draining => admission.close(DRAIN_START_WINDOW),
            _ => admission.close(Duration::ZERO),
        }
        was_starting = state == Some(AnnouncedState::Starting);
        let changed = tokio::select! {
            changed = target_rx.changed() => changed,
            changed = deployment_rx.changed() => changed,
            changed = draining_rx.changed() => changed,
            changed = evacuations_rx.changed() => changed,
            () = await_end_of_keys(&node) => Ok(()),
        };
        if changed.is_err() {
            return;
        }
    }
}

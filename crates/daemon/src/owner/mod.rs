//! The owner's side: admission in front of the target, and the target's client.
//!
//! Invariants: a request reaches the target only while this daemon may serve its shard, checked on
//! arrival, after the queue, and directly before the first byte is written; at most as many
//! requests run as the target has slots; every failure carries a verdict.

mod admission;
mod announce;
mod answer;
mod gate;
mod grant;
mod run;
mod shards;
mod target;

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_policy::drain::DRAIN_START_WINDOW;
use masticdeal_wire::peer::{LoadHint, Reason};
use masticdeal_wire::target::{Announce, AnnouncedState};

pub use announce::{Reports, serve as serve_announce};
pub use grant::Error as GrantError;

use crate::exchange::{Failure, Outcome, Request};
use crate::node::Node;
use crate::peers::server::Forwarded;
use crate::telemetry::log_writer::DECISION_TARGET;
use crate::telemetry::metrics::ReasonLabel;
use admission::Admission;
use grant::Grants;
use run::Health;
use shards::Shards;
use target::Pool;

/// The owner's side of one daemon.
pub struct Owner {
    node: Arc<Node>,
    admission: Arc<Admission>,
    shards: Arc<Shards>,
    pool: Arc<Pool>,
    health: Health,
    grants: Grants,
}

impl Owner {
    /// Makes the owner's side and follows the announcements of the target.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let admission = Admission::new(Arc::clone(&node));
        tokio::spawn(follow(Arc::clone(&node), Arc::clone(&admission)));
        Arc::new(Self {
            node,
            admission,
            shards: Arc::default(),
            pool: Arc::default(),
            health: Health::default(),
            grants: Grants::default(),
        })
    }

    /// Runs a request at the target beside this daemon. Dropping the future, or the body of the
    /// answer, cancels the request.
    pub async fn handle(&self, request: Request) -> Outcome {
        let id = request.head.request_id.clone();
        let objective_ms = request.head.objective_ms;
        let rank = request.head.rank;
        let left = request.deadline.saturating_sub(self.node.clock.now());
        match self.run(request).await {
            Ok(answer) => Outcome::Answer(answer),
            Err(failure) => {
                let reason = ReasonLabel {
                    reason: failure.reason.as_str(),
                };
                self.node.metrics.refusals.get_or_create(&reason).inc();
                let (versions, load) = (self.node.versions(), self.load());
                let estimate = self.admission.estimate(objective_ms, rank);
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
                    wait_ms = estimate.wait.as_millis() as u64,
                    objective_ms:?,
                    rank,
                    deadline_ms = left.as_millis() as u64,
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
    pub fn forwarded(self: &Arc<Self>) -> Forwarded {
        let owner = Arc::clone(self);
        Box::new(move |request| {
            let owner = Arc::clone(&owner);
            async move { owner.handle(request).await }.boxed()
        })
    }

    /// Resolves when no request of the shard runs or waits here. A planned move awaits it after
    /// [`Node::may_serve`] began to refuse the shard.
    pub async fn drained(&self, service: ServiceId, shard: ShardId) {
        self.shards.drained(service, shard).await;
    }

    /// Returns the load of the target, as this daemon counts it.
    pub fn load(&self) -> LoadHint {
        self.admission.load()
    }

    /// Returns the slots that the target announced; 0 without a target.
    fn slots(&self) -> usize {
        let target = self.node.target.borrow();
        target.as_ref().map_or(0, |t| usize::from(t.slots))
    }

    /// Returns the measured capacity in requests per second: slots over smoothed service time. 0
    /// while nothing is measured.
    pub fn service_rate(&self) -> f64 {
        self.admission.service_rate()
    }

    /// Returns the target when it takes work for this service. A draining target still takes what
    /// the admission lets start.
    fn target_for(&self, service: ServiceId) -> Result<Announce, Failure> {
        let target = self.node.target.borrow().clone();
        let target = target.filter(|t| t.state != AnnouncedState::Starting);
        let target = target.ok_or(Failure::not_run(Reason::TargetAway))?;
        let known = self.node.table.borrow().service_id(&target.service);
        if known != Some(service) {
            return Err(Failure::not_run(Reason::TargetAway));
        }
        Ok(target)
    }
}

/// Passes the target's state and the rules of its service on to the admission.
async fn follow(node: Arc<Node>, admission: Arc<Admission>) {
    let mut target = node.target.subscribe();
    let mut deployment = node.deployment.subscribe();
    let mut draining = node.draining.subscribe();
    let mut starting = false;
    loop {
        let announced = target.borrow_and_update().clone();
        let (_, rules) = deployment.borrow_and_update().clone();
        let closing = *draining.borrow_and_update();
        let state = announced.as_ref().map(|t| t.state);
        match announced {
            _ if closing => admission.close(DRAIN_START_WINDOW),
            Some(t) if t.state == AnnouncedState::Ready => {
                let due_first = rules.routes.iter().any(|r| !r.objective.is_zero());
                let (slots, service) = (usize::from(t.slots), rules.service(&t.service));
                admission.open(slots, starting, service, due_first);
            }
            Some(t) if t.state == AnnouncedState::Draining => admission.close(DRAIN_START_WINDOW),
            _ => admission.close(Duration::ZERO),
        }
        starting = state == Some(AnnouncedState::Starting);
        let changed = tokio::select! {
            changed = target.changed() => changed,
            changed = deployment.changed() => changed,
            changed = draining.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

//! Reports the local target to the lease core: its announcements, its measured capacity, and
//! whether an operator drains it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticdeal_config::deployment::Deployment;
use masticdeal_ownership::lease::{DeclaredService, Event, TargetReport};
use masticdeal_ownership::table::TargetState;
use masticdeal_policy::evacuation::Permission;
use masticdeal_wire::target::{Announce, AnnouncedState};

use super::Control;
use crate::operators::installed;

/// Interval at which the measured capacity is checked.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(60);

/// Relative change of the measured capacity up to which it is not reported again. Each new value
/// costs a swap of the table.
const MIN_CAPACITY_CHANGE: f64 = 0.5;

impl Control {
    /// Reports the target to the core when its announcement, the configuration or the set of
    /// evacuated data centres changes, and checks its measured capacity periodically, until the task
    /// is dropped.
    pub async fn follow_target(self: Arc<Self>) {
        let mut target = self.node.target.subscribe();
        let mut deployment = self.node.deployment.subscribe();
        let mut evacuations = self.node.evacuations.subscribe();
        loop {
            let capacity = self.measured_capacity(self.reported_capacity());
            self.capacity.store(capacity, Ordering::Relaxed);
            let announce = target.borrow_and_update().clone();
            deployment.borrow_and_update();
            evacuations.borrow_and_update();
            let report = announce.map(|a| self.target_report(&a, capacity));
            self.handle_event(Event::TargetChanged(report));
            let ended = tokio::select! {
                changed = target.changed() => changed.is_err(),
                changed = deployment.changed() => changed.is_err(),
                changed = evacuations.changed() => changed.is_err(),
                () = tokio::time::sleep(CAPACITY_INTERVAL) => false,
            };
            if ended {
                return;
            }
        }
    }

    /// Declares the services of each new configuration to the core, and records the data centres that it
    /// evacuates, until the task is dropped.
    pub async fn follow_services(self: Arc<Self>) {
        let mut deployment = self.node.deployment.subscribe();
        let mut before = Arc::<Deployment>::default();
        loop {
            let (_, current) = deployment.borrow_and_update().clone();
            let services = current.services.iter().map(|s| DeclaredService {
                name: s.name.clone(),
                shards: s.shards,
            });
            self.handle_event(Event::ServicesDeclared(services.collect()));
            self.record_configured_evacuations();
            self.record_config(&before, &current);
            before = current;
            if deployment.changed().await.is_err() {
                return;
            }
        }
    }

    /// Records an installed configuration in the journal.
    fn record_config(&self, before: &Deployment, current: &Deployment) {
        let value = self.config.current();
        if value.revision == 0 {
            return;
        }
        let table = self.node.table.borrow().version;
        let entry = installed::entry_of_config(before, current, &value, table, super::unix_ms());
        self.journal.lock().unwrap().record(entry);
    }

    /// Returns whether an operator set this VM to drain, or evacuated its data centre.
    pub(super) fn is_set_to_drain(&self) -> bool {
        if self.node.permission() != Permission::All {
            return true;
        }
        let deployment = self.node.deployment.borrow();
        let name = &self.node.settings.daemon.name;
        deployment.1.rules.away.contains(name)
    }

    /// Returns whether the target may keep running while this daemon restarts: it is ready, reports
    /// its incarnation, and is not set to drain. The next process of this daemon then takes over
    /// the target's shards. Moving them away and back would interrupt them twice.
    pub fn target_survives_restart(&self) -> bool {
        let target = self.node.target.borrow();
        let ready = target.as_ref().filter(|t| t.state == AnnouncedState::Ready);
        ready.is_some_and(|t| t.incarnation != 0) && !self.is_set_to_drain()
    }

    /// Returns the capacity last reported to the core, in requests per second.
    pub(super) fn reported_capacity(&self) -> u32 {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Returns the measured capacity if it differs from `reported` by more than
    /// [`MIN_CAPACITY_CHANGE`], or else `reported`.
    fn measured_capacity(&self, reported: u32) -> u32 {
        let measured = self.owner.service_rate();
        let change = (measured - f64::from(reported)).abs();
        if change > MIN_CAPACITY_CHANGE * f64::from(reported) {
            measured.round() as u32
        } else {
            reported
        }
    }

    /// Returns the state of the target in the form that the core uses.
    pub(super) fn target_report(&self, announce: &Announce, capacity: u32) -> TargetReport {
        let state = match announce.state {
            AnnouncedState::Starting => TargetState::Away,
            AnnouncedState::Draining => TargetState::Departing,
            AnnouncedState::Ready if self.is_set_to_drain() => TargetState::Draining,
            AnnouncedState::Ready => TargetState::Ready,
        };
        // A target counts as checking its grants only if both the service's setting and its own
        // announcement say so.
        let is_configured = self
            .node
            .deployment
            .borrow()
            .1
            .service(&announce.service)
            .is_some_and(|s| s.targets_check_grants);
        TargetReport {
            service: announce.service.clone(),
            slots: announce.slots,
            checks_grants: is_configured && announce.checks_grants,
            state,
            capacity,
            incarnation: announce.incarnation,
        }
    }
}

//! Retry budget of each service, and target selection for unsharded services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_ownership::ids::{ServiceId, SessionId};
use masticdeal_ownership::table::{Session, Table, TargetState};
use masticdeal_policy::balance::{Balancer, OwnerLoad, SentRequest, TargetAttributes, TargetIx};
use masticdeal_policy::classifier::{self, Classification, Classifier, ShapeId};
use masticdeal_policy::eject::{EjectionState, Ejector};
use masticdeal_policy::response_sizes::ResponseSizes;
use masticdeal_policy::retry::{self, Decision, FailedAttempt, RetryBudget, RetryBudgetSettings};
use masticdeal_policy::{Outcome, balance, eject};
use masticdeal_wire::peer::LoadHint;

use crate::clock::Clock;
use crate::evacuations::Evacuations;
use crate::node::Node;

/// Share of its part of the fleet's reserve that a daemon uses in one window. Tokens left over from
/// the previous window can double the retries of a window, so the share stays below one half.
const DAEMON_RESERVE_SHARE: f64 = 0.4;

/// Balancers of all services, by service name.
#[derive(Default)]
pub struct ServiceBalancers {
    services: Mutex<HashMap<String, Arc<Mutex<ServiceState>>>>,
}

impl ServiceBalancers {
    /// Returns the balancer of a service and applies `rules` to it. Creates it if there is none.
    pub fn get(&self, now: Duration, rules: &ServiceRules) -> ServiceBalancer {
        let mut services = self.services.lock().unwrap_or_else(|e| e.into_inner());
        if !services.contains_key(&rules.name) {
            let state = Arc::new(Mutex::new(ServiceState::new(now, rules)));
            services.insert(rules.name.clone(), state);
        }
        let state = Arc::clone(&services[&rules.name]);
        drop(services);
        let balancer = ServiceBalancer { state };
        balancer.set_rules(rules);
        balancer
    }
}

/// Handle to the balancer of one service.
#[derive(Clone)]
pub struct ServiceBalancer {
    state: Arc<Mutex<ServiceState>>,
}

struct ServiceState {
    rules: ServiceRules,
    budget: RetryBudget,
    /// Cost classes, learned from the latency of complete responses.
    classifier: Classifier,
    balancer: Balancer,
    ejector: Ejector,
    /// Version of the table, and number of changes of the evacuated data centres, from which
    /// `targets` was updated.
    versions: Option<(u64, u64)>,
    targets: Vec<Target>,
    /// Response sizes by request shape.
    response_sizes: ResponseSizes,
}

/// Retry and ejection rules of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRules {
    /// Name of the service.
    pub name: String,
    /// Retries as a share of recent requests.
    pub retry_budget: f64,
    /// Retries allowed to this daemon in each window in addition to `retry_budget`.
    pub reserve: f64,
    /// Time over which requests count as recent.
    pub window: Duration,
    /// Share of the targets that may be ejected at once.
    pub max_ejected: f64,
}

#[derive(Debug, Clone)]
struct Target {
    session: SessionId,
    slots: u16,
    is_present: bool,
}

impl ServiceState {
    fn new(now: Duration, rules: &ServiceRules) -> Self {
        Self {
            budget: budget(now, rules),
            classifier: Classifier::new(classifier::Settings::default()),
            balancer: Balancer::new(balance::Settings::default()),
            ejector: ejector(rules, 0),
            rules: rules.clone(),
            response_sizes: ResponseSizes::default(),
            versions: None,
            targets: Vec::new(),
        }
    }

    /// Updates the targets of the service from the table. Targets of evacuated data centres are left
    /// out before the table shows that they accept no requests.
    fn update_targets(
        &mut self,
        now: Duration,
        local_data_centre: &str,
        table: &Table,
        evacuations: &Evacuations,
        service: ServiceId,
    ) {
        let versions = Some((table.version, evacuations.generation));
        if std::mem::replace(&mut self.versions, versions) == versions {
            return;
        }
        let ready: Vec<&Session> = table
            .sessions
            .iter()
            .filter(|s| is_ready_for(s, service) && !evacuations.contains(&s.data_centre))
            .collect();
        for (i, target) in self.targets.iter_mut().enumerate() {
            if target.is_present && !ready.iter().any(|s| s.id == target.session) {
                target.is_present = false;
                self.balancer.remove(TargetIx(i as u32));
            }
        }
        for session in ready {
            self.add_target(now, local_data_centre, session);
        }
        self.ejector.resize(self.targets.len());
    }

    fn add_target(&mut self, now: Duration, local_data_centre: &str, session: &Session) {
        let slots = session.target.as_ref().map_or(1, |t| t.slots);
        let known_index = self.targets.iter().position(|t| t.session == session.id);
        let i = known_index.unwrap_or_else(|| self.free_index(now));
        let target = Target {
            session: session.id,
            slots,
            is_present: true,
        };
        let was_present = known_index.is_some_and(|i| self.targets[i].is_present);
        match self.targets.get_mut(i) {
            Some(entry) => *entry = target,
            None => self.targets.push(target),
        }
        if !was_present {
            // Not added as cold: the owner ramps a cold target up, because it sees every request to
            // the target.
            self.balancer.add(now, TargetIx(i as u32), false);
        }
        let attributes = TargetAttributes {
            local: session.data_centre == local_data_centre,
            slots,
        };
        self.balancer.set_attributes(TargetIx(i as u32), attributes);
    }

    /// Returns an index that is no longer in use, or a new one.
    fn free_index(&self, now: Duration) -> usize {
        let is_free = |i: &usize| {
            let index = TargetIx(*i as u32);
            let is_idle = !self.targets[*i].is_present && self.balancer.outstanding(index) == 0;
            is_idle && self.ejector.ejection_state(now, index) == EjectionState::InRotation
        };
        (0..self.targets.len())
            .find(is_free)
            .unwrap_or(self.targets.len())
    }

    fn choose(
        &mut self,
        now: Duration,
        remote_penalty: Duration,
        tried: &[SessionId],
    ) -> Option<TargetIx> {
        let (targets, ejector) = (&self.targets, &self.ejector);
        let is_untried = |index: TargetIx| !tried.contains(&targets[index.0 as usize].session);
        let is_eligible = |index: TargetIx| {
            is_untried(index) && ejector.ejection_state(now, index) != EjectionState::Ejected
        };
        let mut rng = rand::rng();
        let chosen =
            self.balancer
                .choose_shortest_delay(now, &mut rng, remote_penalty, is_eligible);
        // If every untried target is ejected, use one of them.
        let chosen = chosen.or_else(|| {
            self.balancer
                .choose_shortest_delay(now, &mut rng, remote_penalty, is_untried)
        })?;
        if self.ejector.ejection_state(now, chosen) == EjectionState::ProbeDue {
            self.ejector.begin_probe(now, chosen);
        }
        Some(chosen)
    }
}

impl ServiceBalancer {
    fn set_rules(&self, rules: &ServiceRules) {
        let mut state = self.lock();
        let current = &state.rules;
        let is_ejector_unchanged = current.max_ejected == rules.max_ejected;
        if *current == *rules {
            return;
        }
        // Keep the tokens: a new budget would start full, and the reserve changes whenever a daemon
        // joins or leaves.
        state.budget.set_settings(budget_settings(rules));
        if !is_ejector_unchanged {
            state.ejector = ejector(rules, state.targets.len());
        }
        state.rules = rules.clone();
    }

    /// Counts a request of a caller towards the retry budget.
    pub fn record_request(&self, now: Duration) {
        self.lock().budget.deposit(now);
    }

    /// Decides whether to retry after a failed attempt.
    pub fn decide(&self, now: Duration, failed: &FailedAttempt) -> Decision {
        let settings = retry::Settings::default();
        retry::decide(
            now,
            failed,
            &mut self.lock().budget,
            &settings,
            rand::random(),
        )
    }

    /// Selects a target that was not tried yet for a request.
    pub fn choose(
        &self,
        node: &Node,
        table: &Table,
        service: ServiceId,
        request: classifier::Request<'_>,
        tried: &[SessionId],
    ) -> Option<SelectedTarget> {
        let now = node.clock.now();
        let mut state = self.lock();
        let local_data_centre = &node.settings.daemon.data_centre;
        let evacuations = node.evacuations.borrow().clone();
        state.update_targets(now, local_data_centre, table, &evacuations, service);
        let Classification {
            shape,
            cost,
            expected,
        } = state.classifier.classify(now, request);
        let expected_bytes = state.response_sizes.expected_bytes(shape);
        let remote_penalty = node
            .reloadable_settings
            .borrow()
            .placing
            .remote_penalty_per_kb
            .mul_f64(expected_bytes / 1024.0);
        let target = state.choose(now, remote_penalty, tried)?;
        let session = state.targets[target.0 as usize].session;
        let expected = expected.map(|e| e.mean);
        let sent = Some(state.balancer.start_for(now, target, cost, expected));
        let clock = Arc::clone(&node.clock);
        Some(SelectedTarget {
            session,
            balancer: self.clone(),
            clock,
            sent,
            shape,
            is_complete: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn is_ready_for(session: &Session, service: ServiceId) -> bool {
    let target = session.target.as_ref();
    target.is_some_and(|t| t.service == service && t.state == TargetState::Ready)
}

fn budget(now: Duration, rules: &ServiceRules) -> RetryBudget {
    RetryBudget::new(now, budget_settings(rules))
}

fn budget_settings(rules: &ServiceRules) -> RetryBudgetSettings {
    let settings = RetryBudgetSettings::default();
    let reserve_rate = rules.reserve * DAEMON_RESERVE_SHARE / rules.window.as_secs_f64();
    RetryBudgetSettings {
        share: rules.retry_budget,
        window: rules.window,
        reserve_rate: reserve_rate.max(settings.reserve_rate),
    }
}

fn ejector(rules: &ServiceRules, targets: usize) -> Ejector {
    let settings = eject::Settings {
        max_ejected: rules.max_ejected,
        ..Default::default()
    };
    Ejector::new(settings, targets)
}

/// The target selected for a request. The request counts as outstanding until this is dropped.
pub struct SelectedTarget {
    /// Session of the daemon on the target's VM.
    pub session: SessionId,
    balancer: ServiceBalancer,
    clock: Arc<dyn Clock>,
    sent: Option<SentRequest>,
    shape: ShapeId,
    is_complete: bool,
}

impl SelectedTarget {
    /// Records the outcome of the attempt and the load reported by the target's daemon.
    pub fn record(&self, outcome: Outcome, load: LoadHint) {
        let now = self.clock.now();
        let Some(target) = self.sent.as_ref().map(SentRequest::target) else {
            return;
        };
        let mut state = self.balancer.lock();
        let slots = state.targets[target.0 as usize].slots.max(1);
        let requests = u32::from(load.running) + u32::from(load.queued);
        state
            .balancer
            .record_report(now, target, f64::from(requests) / f64::from(slots));
        if load != LoadHint::default() {
            let owner_load = OwnerLoad {
                requests,
                service_time: Duration::from_micros(load.service_us.into()),
                start_wait: Duration::from_millis(load.start_wait_ms.into()),
                received_at: now,
            };
            state.balancer.record_owner_load(target, owner_load);
        }
        if outcome == Outcome::TargetFault {
            state.balancer.record_fault(now, target);
        }
        if let Some(change) = state.ejector.record(now, target, outcome) {
            log::warn!(session:% = self.session;
                "ejection state of the target changed: {change:?}");
        }
    }

    /// Marks the response as complete, with a body of `bytes` bytes.
    pub fn complete(&mut self, bytes: u64) {
        self.is_complete = true;
        self.balancer
            .lock()
            .response_sizes
            .record(self.shape, bytes);
    }
}

impl Drop for SelectedTarget {
    fn drop(&mut self) {
        if let Some(sent) = self.sent.take() {
            let now = self.clock.now();
            let mut state = self.balancer.lock();
            if self.is_complete {
                state.classifier.record(now, self.shape, sent.elapsed(now));
            }
            state.balancer.finish(now, sent, self.is_complete);
        }
    }
}

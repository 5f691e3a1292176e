//! Per service: the retry budget, and for services that are not divided by key the choice of a
//! target.

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
use crate::node::Node;

/// Part of the fleet's reserve that a daemon takes in one window. Tokens of the window before may be
/// left, so that up to twice as many retries fall into one.
const RESERVE_PART: f64 = 0.4;

/// State of all services, by name.
#[derive(Default)]
pub struct Services {
    services: Mutex<HashMap<String, Arc<Mutex<State>>>>,
}

impl Services {
    /// Returns the state of a service, with its present rules.
    pub fn get(&self, now: Duration, rules: &Rules) -> Balance {
        let mut services = self.services.lock().unwrap_or_else(|e| e.into_inner());
        if !services.contains_key(&rules.name) {
            let state = Arc::new(Mutex::new(State::new(now, rules)));
            services.insert(rules.name.clone(), state);
        }
        let state = Arc::clone(&services[&rules.name]);
        drop(services);
        let balance = Balance { state };
        balance.set_rules(rules);
        balance
    }
}

/// State of one service.
#[derive(Clone)]
pub struct Balance {
    state: Arc<Mutex<State>>,
}

struct State {
    rules: Rules,
    budget: RetryBudget,
    /// Cost classes as this daemon sees them: by the latency of whole answers.
    classifier: Classifier,
    balancer: Balancer,
    ejector: Ejector,
    /// Version of the table that the targets were taken from.
    table: Option<u64>,
    targets: Vec<Target>,
    /// Sizes of the answers to each shape of requests.
    response_sizes: ResponseSizes,
}

/// Rules of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Name of the service.
    pub name: String,
    /// Retries as a share of recent requests.
    pub retry_budget: f64,
    /// Retries in each window beyond that share.
    pub reserve: f64,
    /// Time over which requests count as recent.
    pub window: Duration,
    /// Part of the targets that may be ejected at once.
    pub max_ejected: f64,
}

#[derive(Debug, Clone)]
struct Target {
    session: SessionId,
    slots: u16,
    present: bool,
}

impl State {
    fn new(now: Duration, rules: &Rules) -> Self {
        Self {
            budget: budget(now, rules),
            classifier: Classifier::new(classifier::Settings::default()),
            balancer: Balancer::new(balance::Settings::default()),
            ejector: ejector(rules, 0),
            rules: rules.clone(),
            response_sizes: ResponseSizes::default(),
            table: None,
            targets: Vec::new(),
        }
    }

    /// Takes over the targets of the service from the table.
    fn follow(&mut self, now: Duration, home: &str, table: &Table, service: ServiceId) {
        if self.table.replace(table.version) == Some(table.version) {
            return;
        }
        let ready: Vec<&Session> = table
            .sessions
            .iter()
            .filter(|s| takes_work(s, service))
            .collect();
        for (at, target) in self.targets.iter_mut().enumerate() {
            if target.present && !ready.iter().any(|s| s.id == target.session) {
                target.present = false;
                self.balancer.remove(TargetIx(at as u32));
            }
        }
        for session in ready {
            self.add(now, home, session);
        }
        self.ejector.resize(self.targets.len());
    }

    fn add(&mut self, now: Duration, home: &str, session: &Session) {
        let slots = session.target.as_ref().map_or(1, |t| t.slots);
        let known = self.targets.iter().position(|t| t.session == session.id);
        let at = known.unwrap_or_else(|| self.place(now));
        let target = Target {
            session: session.id,
            slots,
            present: true,
        };
        let was_present = known.is_some_and(|at| self.targets[at].present);
        match self.targets.get_mut(at) {
            Some(place) => *place = target,
            None => self.targets.push(target),
        }
        if !was_present {
            // The ramp is left to the owner, which sees every request to its target.
            self.balancer.add(now, TargetIx(at as u32), false);
        }
        let place = TargetAttributes {
            local: session.data_centre == home,
            slots,
        };
        self.balancer.set_attributes(TargetIx(at as u32), place);
    }

    /// Returns an index that nothing refers to any more, or a new one.
    fn place(&self, now: Duration) -> usize {
        let free = |at: &usize| {
            let ix = TargetIx(*at as u32);
            let idle = !self.targets[*at].present && self.balancer.outstanding(ix) == 0;
            idle && self.ejector.ejection_state(now, ix) == EjectionState::InRotation
        };
        (0..self.targets.len())
            .find(free)
            .unwrap_or(self.targets.len())
    }

    fn choose(&mut self, now: Duration, far: Duration, tried: &[SessionId]) -> Option<TargetIx> {
        let (targets, ejector) = (&self.targets, &self.ejector);
        let untried = |ix: TargetIx| !tried.contains(&targets[ix.0 as usize].session);
        let open =
            |ix: TargetIx| untried(ix) && ejector.ejection_state(now, ix) != EjectionState::Ejected;
        let mut rng = rand::rng();
        let chosen = self
            .balancer
            .choose_shortest_delay(now, &mut rng, far, open);
        // An ejected target is better than none.
        let chosen = chosen.or_else(|| {
            self.balancer
                .choose_shortest_delay(now, &mut rng, far, untried)
        })?;
        if self.ejector.ejection_state(now, chosen) == EjectionState::ProbeDue {
            self.ejector.begin_probe(now, chosen);
        }
        Some(chosen)
    }
}

impl Balance {
    fn set_rules(&self, rules: &Rules) {
        let mut state = self.lock();
        let known = &state.rules;
        let same_ejector = known.max_ejected == rules.max_ejected;
        if *known == *rules {
            return;
        }
        // A budget that started anew with each change of the fleet would be a full one each time.
        state.budget.set_settings(budget_settings(rules));
        if !same_ejector {
            state.ejector = ejector(rules, state.targets.len());
        }
        state.rules = rules.clone();
    }

    /// Counts a request of a caller.
    pub fn begin(&self, now: Duration) {
        self.lock().budget.deposit(now);
    }

    /// Decides whether a failed attempt is made again.
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

    /// Chooses the target of a request among those not tried yet.
    pub fn choose(
        &self,
        node: &Node,
        table: &Table,
        service: ServiceId,
        shape: classifier::Request<'_>,
        tried: &[SessionId],
    ) -> Option<Choice> {
        let now = node.clock.now();
        let mut state = self.lock();
        let home = &node.settings.daemon.data_centre;
        state.follow(now, home, table, service);
        let Classification {
            shape,
            cost,
            expected,
        } = state.classifier.classify(now, shape);
        let bytes = state.response_sizes.expected(shape);
        let far = node
            .tuning
            .borrow()
            .placing
            .remote_penalty_per_kb
            .mul_f64(bytes / 1024.0);
        let target = state.choose(now, far, tried)?;
        let session = state.targets[target.0 as usize].session;
        let expected = expected.map(|e| e.mean);
        let sent = Some(state.balancer.start_for(now, target, cost, expected));
        let clock = Arc::clone(&node.clock);
        Some(Choice {
            session,
            balance: self.clone(),
            clock,
            sent,
            shape,
            answered: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn takes_work(session: &Session, service: ServiceId) -> bool {
    let target = session.target.as_ref();
    target.is_some_and(|t| t.service == service && t.state == TargetState::Ready)
}

fn budget(now: Duration, rules: &Rules) -> RetryBudget {
    RetryBudget::new(now, budget_settings(rules))
}

fn budget_settings(rules: &Rules) -> RetryBudgetSettings {
    let settings = RetryBudgetSettings::default();
    let reserve_rate = rules.reserve * RESERVE_PART / rules.window.as_secs_f64();
    RetryBudgetSettings {
        share: rules.retry_budget,
        window: rules.window,
        reserve_rate: reserve_rate.max(settings.reserve_rate),
    }
}

fn ejector(rules: &Rules, targets: usize) -> Ejector {
    let settings = eject::Settings {
        max_ejected: rules.max_ejected,
        ..Default::default()
    };
    Ejector::new(settings, targets)
}

/// A request to a chosen target. It counts as outstanding until this is dropped.
pub struct Choice {
    /// Session of the daemon beside the target.
    pub session: SessionId,
    balance: Balance,
    clock: Arc<dyn Clock>,
    sent: Option<SentRequest>,
    shape: ShapeId,
    answered: bool,
}

impl Choice {
    /// Records how the attempt ended and what the target's daemon reported.
    pub fn record(&self, outcome: Outcome, load: LoadHint) {
        let now = self.clock.now();
        let Some(target) = self.sent.as_ref().map(SentRequest::target) else {
            return;
        };
        let mut state = self.balance.lock();
        let slots = state.targets[target.0 as usize].slots.max(1);
        let count = u32::from(load.running) + u32::from(load.queued);
        state
            .balancer
            .record_report(now, target, f64::from(count) / f64::from(slots));
        if load != LoadHint::default() {
            let count = OwnerLoad {
                requests: count,
                service_time: Duration::from_micros(load.service_us.into()),
                received_at: now,
            };
            state.balancer.record_owner_load(target, count);
        }
        if outcome == Outcome::TargetFault {
            state.balancer.record_fault(now, target);
        }
        if let Some(change) = state.ejector.record(now, target, outcome) {
            log::warn!(session:% = self.session; "Target standing changed: {change:?}");
        }
    }

    /// Marks the request as answered in full, with this many bytes.
    pub fn complete(&mut self, bytes: u64) {
        self.answered = true;
        self.balance.lock().response_sizes.record(self.shape, bytes);
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        if let Some(sent) = self.sent.take() {
            let now = self.clock.now();
            let mut state = self.balance.lock();
            if self.answered {
                state.classifier.record(now, self.shape, sent.elapsed(now));
            }
            state.balancer.finish(now, sent, self.answered);
        }
    }
}

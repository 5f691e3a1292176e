//! Requests that return after a refusal: recognition, advice to refused callers, log and metric.

use std::time::Duration;

use masticdeal_policy::caller_limits::{Event, RefusedCaller};
use masticdeal_policy::classifier::Classification;
use masticdeal_policy::queue::{Refusal, RefusalReason};
use masticdeal_wire::peer::Forward;

use crate::node::Node;
use crate::telemetry::metrics::AdmissionLabels;

/// Caller of a request on a route with an objective.
#[derive(Debug)]
pub(super) struct Caller {
    /// Path prefix of the route.
    route: String,
    /// Time since the first attempt; zero for a first attempt.
    pub(super) age: Duration,
    /// Until when the caller waits; `None` if it is not known or returning requests of the route
    /// can't be recognised.
    waits_until: Option<Duration>,
    /// When the request must start to meet its objective.
    start_by_due: Duration,
}

impl Caller {
    /// Recognises the caller of an arriving request. Returns `None` if the route has no objective or
    /// the setting is off.
    pub(super) fn recognise(
        node: &Node,
        now: Duration,
        head: &Forward,
        class: &Classification,
    ) -> Option<Self> {
        if !node.settings.limits.returning_callers {
            return None;
        }
        let objective = Duration::from_millis(head.objective_ms?.into());
        let limit = head
            .caller_limit_ms
            .map(|ms| Duration::from_millis(ms.into()));
        // The bytes come from a peer and may not be a valid prefix.
        let route = head.path.get(..head.prefix_bytes.into()).unwrap_or("");
        let arrival = node.caller_limits().record_arrival(now, route, limit);
        log_event(route, arrival.event);
        let due = (now + objective).saturating_sub(arrival.age);
        let expected = class.expected.map_or(Duration::ZERO, |e| e.mean);
        Some(Self {
            route: route.to_owned(),
            age: arrival.age,
            waits_until: limit
                .filter(|_| arrival.is_recognisable)
                .map(|limit| now + limit),
            start_by_due: due.saturating_sub(expected),
        })
    }

    /// Counts a request that starts.
    pub(super) fn count_admitted(&self, node: &Node) {
        self.count(node, "admitted");
    }

    /// Counts a refusal, and returns it with the time after which the caller should retry.
    pub(super) fn refuse(&self, node: &Node, now: Duration, refusal: Refusal) -> Refusal {
        self.count(node, "refused");
        node.caller_limits().record_refusal(now, &self.route);
        if matches!(
            refusal.reason,
            RefusalReason::ColdTarget | RefusalReason::Draining
        ) {
            return refusal;
        }
        let refused = RefusedCaller {
            capacity_in: refusal.retry_after,
            start_within: self.start_by_due.saturating_sub(now),
            time_left: self.waits_until.map(|at| at.saturating_sub(now)),
        };
        Refusal {
            retry_after: refused.retry_after(rand::random()),
            ..refusal
        }
    }

    fn count(&self, node: &Node, outcome: &'static str) {
        let age = match self.age.is_zero() {
            true => "first",
            false => "returning",
        };
        let labels = AdmissionLabels { age, outcome };
        node.metrics.admissions.get_or_create(&labels).inc();
    }
}

fn log_event(route: &str, event: Option<Event>) {
    match event {
        Some(Event::Known(limits)) => log::info!(
            route,
            median_ms = limits.median.as_millis() as u64,
            returning_below_ms = limits.returning_below().as_millis() as u64,
            recognisable = limits.is_recognisable();
            "time limits of callers are known"
        ),
        Some(Event::Resumed(pause)) => log::info!(
            route,
            pause_ms = pause.as_millis() as u64;
            "learning of callers' time limits has resumed"
        ),
        None => {}
    }
}

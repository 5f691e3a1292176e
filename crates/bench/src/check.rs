//! Checks the records of callers and targets after a run.
//!
//! All processes of a run read the same clock, the time since boot, so that starts at different
//! targets can be ordered. A request belongs to the epoch under which it started. If it still runs when
//! the next owner starts work, it counts as an overlap, not as a violation.

use std::collections::{BTreeMap, HashMap};

use displaydoc::Display;
use masticdeal_policy::Verdict;

use crate::records::{Event, ObservedResult, Outcome, Step};

/// Violation of a guarantee.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// shard {shard}: epoch {epoch} started work at both {first} and {second}
    TwoOwners {
        /// Service and shard.
        shard: String,
        /// Epoch of both starts.
        epoch: u32,
        /// Target that started first.
        first: String,
        /// The other target.
        second: String,
    },
    /// shard {shard}: {id} started at {target} under epoch {epoch}, {late_us} us after epoch {newer_epoch} at {newer} (checks grants: {checked})
    EpochRegression {
        /// Service and shard.
        shard: String,
        /// Request under the older epoch.
        id: String,
        /// Target under the older epoch.
        target: String,
        /// The older epoch.
        epoch: u32,
        /// Whether the target under the older epoch checks grants.
        checked: bool,
        /// Target under the newer epoch.
        newer: String,
        /// The newer epoch.
        newer_epoch: u32,
        /// Time since the first start under the newer epoch, in microseconds.
        late_us: u64,
    },
    /// {id} is not idempotent and started {starts} times
    RepeatedExecution {
        /// Request.
        id: String,
        /// Number of starts.
        starts: usize,
    },
    /// {id} was answered, but {target} has no record of its end
    MissingEnd {
        /// Request.
        id: String,
        /// Target named in the response.
        target: String,
    },
    /// {id} started at {target}, although its caller was told that it did not run ({reason})
    NotRunExecuted {
        /// Request.
        id: String,
        /// Reason given to the caller.
        reason: String,
        /// Target at which the request started.
        target: String,
    },
    /// {id} got an answer passed off as whole: {error}
    InvalidResponse {
        /// Request.
        id: String,
        /// Validation error of the response.
        error: String,
    },
    /// {0}
    Other(String),
}

/// Violations found by [`check`], and totals of the records.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Violations.
    pub violations: Vec<Violation>,
    /// Requests of all callers, including those that were not sent.
    pub due: usize,
    /// Requests with a complete and valid response that has a success status.
    pub answered: usize,
    /// Starts at targets.
    pub starts: usize,
    /// Changes of a key's target at which a request still ran at the previous target.
    pub overlaps: usize,
    /// Idempotent requests that started more than once.
    pub repeated: usize,
}

impl Report {
    /// Counts the violations of one kind.
    pub fn count(&self, kind: impl Fn(&Violation) -> bool) -> usize {
        self.violations.iter().filter(|v| kind(v)).count()
    }
}

/// Checks the events of all targets against the outcomes of all callers.
pub fn check(events: &[Event], outcomes: &[Outcome]) -> Report {
    let mut report = Report {
        due: outcomes.len(),
        answered: outcomes
            .iter()
            .filter(|o| o.seen == ObservedResult::Answered)
            .count(),
        ..Report::default()
    };
    let mut starts: Vec<&Event> = events.iter().filter(|e| e.step == Step::Start).collect();
    starts.sort_by_key(|e| e.at_us);
    report.starts = starts.len();
    check_requests(&mut report, events, outcomes);
    check_owners(&mut report, &starts);
    report.overlaps = count_overlaps(events, &starts);
    report
}

fn check_requests(report: &mut Report, events: &[Event], outcomes: &[Outcome]) {
    let mut events_by_id: HashMap<&str, Vec<&Event>> = HashMap::new();
    for event in events {
        events_by_id.entry(&event.id).or_default().push(event);
    }
    for outcome in outcomes {
        let request_events = events_by_id.get(outcome.id.as_str()).map_or(&[][..], |v| v);
        check_request(report, outcome, request_events);
    }
}

fn check_request(report: &mut Report, outcome: &Outcome, events: &[&Event]) {
    let id = outcome.id.clone();
    let starts: Vec<_> = events.iter().filter(|e| e.step == Step::Start).collect();
    if starts.len() > 1 && outcome.idempotent {
        report.repeated += 1;
    } else if starts.len() > 1 {
        let starts = starts.len();
        let id = id.clone();
        report
            .violations
            .push(Violation::RepeatedExecution { id, starts });
    }
    let has_end_at = |target| {
        events
            .iter()
            .any(|e| e.step == Step::Finished && e.target == target)
    };
    let target = outcome.target.clone().unwrap_or_default();
    let violation = match (outcome.seen, outcome.verdict, starts.first()) {
        (ObservedResult::Answered, _, _) if !has_end_at(target.as_str()) => {
            Violation::MissingEnd { id, target }
        }
        (ObservedResult::Wrong, _, _) => Violation::InvalidResponse {
            id,
            error: outcome.reason.clone().unwrap_or_default(),
        },
        (ObservedResult::Failed, Some(Verdict::NotRun), Some(start)) => Violation::NotRunExecuted {
            id,
            reason: outcome.reason.clone().unwrap_or_default(),
            target: start.target.clone(),
        },
        _ => return,
    };
    report.violations.push(violation);
}

/// Newest epoch of a shard among the starts so far.
struct NewestEpoch<'a> {
    epoch: u32,
    target: &'a str,
    first_start_us: u64,
}

fn check_owners(report: &mut Report, starts: &[&Event]) {
    let mut newest: BTreeMap<(&str, u32), NewestEpoch<'_>> = BTreeMap::new();
    let mut owners: HashMap<(&str, u32, u32), &str> = HashMap::new();
    for start in starts {
        let (Some(shard), Some(epoch)) = (start.shard, start.epoch) else {
            continue;
        };
        let service = start.key.split('/').next().unwrap_or("");
        let owner = *owners
            .entry((service, shard, epoch))
            .or_insert(&start.target);
        if owner != start.target {
            report.violations.push(Violation::TwoOwners {
                shard: format!("{service}/{shard}"),
                epoch,
                first: owner.to_owned(),
                second: start.target.clone(),
            });
        }
        let current = newest.entry((service, shard)).or_insert(NewestEpoch {
            epoch,
            target: &start.target,
            first_start_us: start.at_us,
        });
        if epoch < current.epoch && current.target != start.target {
            report.violations.push(Violation::EpochRegression {
                shard: format!("{service}/{shard}"),
                id: start.id.clone(),
                target: start.target.clone(),
                epoch,
                checked: start.checked,
                newer: current.target.to_owned(),
                newer_epoch: current.epoch,
                late_us: start.at_us - current.first_start_us,
            });
        }
        if epoch > current.epoch {
            *current = NewestEpoch {
                epoch,
                target: &start.target,
                first_start_us: start.at_us,
            };
        }
    }
}

/// Counts changes of a key's target where a request at the previous target ended after the first
/// start at the new one. A request without a recorded end counts as ended at its start.
fn count_overlaps(events: &[Event], starts: &[&Event]) -> usize {
    let mut ends: HashMap<(&str, u64, &str), u64> = HashMap::new();
    for event in events.iter().filter(|e| e.step != Step::Start) {
        ends.insert((&event.target, event.run, &event.id), event.at_us);
    }
    let recorded_end = |e: &Event| {
        ends.get(&(e.target.as_str(), e.run, e.id.as_str()))
            .copied()
    };
    let mut latest_by_key: HashMap<&str, (&str, u64)> = HashMap::new();
    let mut count = 0;
    for start in starts.iter().filter(|e| e.shard.is_some()) {
        let ends_at = recorded_end(start).unwrap_or(start.at_us);
        let latest = latest_by_key
            .entry(&start.key)
            .or_insert((&start.target, ends_at));
        if latest.0 != start.target {
            count += usize::from(latest.1 > start.at_us);
            *latest = (&start.target, ends_at);
        }
        latest.1 = latest.1.max(ends_at);
    }
    count
}

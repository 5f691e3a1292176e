//! Tests of the check of records: it reports each kind of violation, and none for valid records.

use googletest::prelude::*;
use masticdeal_bench::check::{Violation, check};
use masticdeal_bench::records::{Event, ObservedResult, Outcome, Step};
use masticdeal_policy::Verdict;

fn event(at_us: u64, step: Step, target: &str, id: &str, epoch: u32) -> Event {
    Event {
        at_us,
        step,
        target: target.into(),
        run: 0,
        id: id.into(),
        key: "search/1".into(),
        shard: Some(3),
        epoch: Some(epoch),
        checked: false,
    }
}

/// Returns the start and, 10 µs later, the end of a request.
fn start_and_end(at_us: u64, target: &str, id: &str, epoch: u32) -> [Event; 2] {
    let start = event(at_us, Step::Start, target, id, epoch);
    let finished = event(at_us + 10, Step::Finished, target, id, epoch);
    [start, finished]
}

fn outcome(id: &str, seen: ObservedResult, verdict: Option<Verdict>) -> Outcome {
    Outcome {
        id: id.into(),
        key: "search/1".into(),
        idempotent: false,
        long: false,
        due_us: 0,
        took_us: 20,
        seen,
        verdict,
        reason: None,
        target: Some("a".into()),
    }
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    outcomes: Vec<Outcome>,
    expected_violation: fn(&Violation) -> bool,
}

/// Guards against a check that misses a kind of violation or reports it as another kind.
#[gtest]
fn each_kind_of_violation_is_reported() {
    let answered = || outcome("x", ObservedResult::Answered, None);
    let cases = [
        Case {
            name: "one epoch at two targets",
            events: [
                start_and_end(0, "a", "x", 1),
                start_and_end(50, "b", "y", 1),
            ]
            .concat(),
            outcomes: vec![],
            expected_violation: |v| matches!(v, Violation::TwoOwners { epoch: 1, .. }),
        },
        Case {
            name: "older epoch after a newer one",
            events: [
                start_and_end(0, "b", "x", 2),
                start_and_end(50, "a", "y", 1),
            ]
            .concat(),
            outcomes: vec![],
            expected_violation: |v| matches!(v, Violation::EpochRegression { late_us: 50, .. }),
        },
        Case {
            name: "non-idempotent request started twice",
            events: [
                start_and_end(0, "a", "x", 1),
                start_and_end(50, "a", "x", 1),
            ]
            .concat(),
            outcomes: vec![answered()],
            expected_violation: |v| matches!(v, Violation::RepeatedExecution { starts: 2, .. }),
        },
        Case {
            name: "response without a recorded end",
            events: vec![event(0, Step::Start, "a", "x", 1)],
            outcomes: vec![answered()],
            expected_violation: |v| matches!(v, Violation::MissingEnd { .. }),
        },
        Case {
            name: "response of a target that did not run the request",
            events: start_and_end(0, "b", "x", 1).to_vec(),
            outcomes: vec![answered()],
            expected_violation: |v| matches!(v, Violation::MissingEnd { .. }),
        },
        Case {
            name: "request that ran despite the verdict NotRun",
            events: vec![event(0, Step::Start, "a", "x", 1)],
            outcomes: vec![outcome("x", ObservedResult::Failed, Some(Verdict::NotRun))],
            expected_violation: |v| matches!(v, Violation::NotRunExecuted { .. }),
        },
        Case {
            name: "invalid response",
            events: start_and_end(0, "a", "x", 1).to_vec(),
            outcomes: vec![outcome("x", ObservedResult::Wrong, None)],
            expected_violation: |v| matches!(v, Violation::InvalidResponse { .. }),
        },
    ];
    for case in cases {
        let report = check(&case.events, &case.outcomes);
        expect_that!(report.violations.len(), eq(1), "{}", case.name);
        expect_that!(
            report.count(case.expected_violation),
            eq(1),
            "{}",
            case.name
        );
    }
}

/// Guards against violations or wrong overlap counts for a key that moves between targets, requests
/// with a correct verdict and requests that still run.
#[gtest]
fn valid_records_have_no_violation() {
    let mut events = [
        start_and_end(0, "a", "x", 1),
        start_and_end(5, "b", "y", 2),
        start_and_end(90, "a", "z", 3),
    ]
    .concat();
    events.push(event(200, Step::Start, "a", "cut", 3));
    let outcomes = [
        outcome("x", ObservedResult::Answered, None),
        outcome("none", ObservedResult::Failed, Some(Verdict::NotRun)),
        outcome("cut", ObservedResult::Failed, Some(Verdict::MayHaveRun)),
    ];
    let report = check(&events, &outcomes);
    assert_that!(report.violations, eq(&vec![]));
    assert_that!(
        (report.due, report.answered, report.overlaps),
        eq((3, 1, 1))
    );
}

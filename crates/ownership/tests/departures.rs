//! Departures of targets in the table.

mod common;

use common::{apply, session, target};
use googletest::prelude::*;
use masticdeal_ownership::change::{Change, EndCause};
use masticdeal_ownership::checker::{self, Violation};
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::table::{self, Departure, MAX_DEPARTURES, Session, Table, TargetState};

/// Creates a table of sessions with a ready target each.
fn fleet(sessions: u32) -> Table {
    let declare = Change::DeclareService {
        name: "search".into(),
        shards: 4,
    };
    let join = |n| Change::Join {
        session: Session {
            target: target(TargetState::Ready, 1),
            ..session(n)
        },
    };
    let changes = [declare].into_iter().chain((0..sessions).map(join));
    apply(&Table::default(), changes.collect())
}

/// Guards against a departure that is lost, and against a cut table that looks complete.
#[googletest::test]
fn codec_keeps_departures_and_rejects_cut_tables() {
    let departures = vec![departure(3, 17), departure(4, u64::MAX)];
    for era in [0, 3] {
        let table = Table {
            departures: departures.clone(),
            era,
            ..fleet(20)
        };
        let bytes = table::encode(&table).expect("table encodes");
        expect_that!(table::decode(&bytes), ok(eq(&table)));
        for cut in 0..bytes.len() {
            expect_that!(table::decode(&bytes[..cut]), err(anything()), "{cut}");
        }
    }
}

fn departure(n: u32, incarnation: u64) -> Departure {
    Departure {
        address: session(n).address,
        incarnation,
    }
}

/// Guards against a departure that ends with the session of the daemon that heard of it, one that
/// keeps the next incarnation out of service, and a list of departures without end.
#[googletest::test]
fn departures_outlive_sessions_until_the_next_incarnation_is_in_service() {
    use TargetState::{Away, Departing, Draining, Ready};
    const LEAVING: SessionId = SessionId(1);
    struct Case {
        name: &'static str,
        /// States of the target of the leaving session, with its incarnations.
        targets: &'static [(TargetState, u64)],
        expected: Option<u64>,
    }
    let cases = [
        Case {
            name: "departed",
            targets: &[(Ready, 7), (Departing, 7)],
            expected: Some(7),
        },
        Case {
            name: "silent after the departure",
            targets: &[(Departing, 7), (Away, 7)],
            expected: Some(7),
        },
        Case {
            name: "drained by an operator",
            targets: &[(Ready, 7), (Draining, 7)],
            expected: None,
        },
        Case {
            name: "returned to service",
            targets: &[(Departing, 7), (Ready, 7)],
            expected: None,
        },
        Case {
            name: "next incarnation in service",
            targets: &[(Departing, 7), (Ready, 8)],
            expected: None,
        },
        Case {
            name: "late entry of an earlier incarnation",
            targets: &[(Departing, 7), (Ready, 6)],
            expected: Some(7),
        },
        Case {
            name: "next incarnation departed",
            targets: &[(Departing, 7), (Departing, 8)],
            expected: Some(8),
        },
        Case {
            name: "without an incarnation",
            targets: &[(Departing, 0)],
            expected: None,
        },
    ];
    for c in cases {
        let mut table = fleet(3);
        for &(state, incarnation) in c.targets {
            let change = Change::SetTarget {
                session: LEAVING,
                target: target(state, incarnation),
            };
            table = apply(&table, vec![change]);
        }
        let end = Change::End {
            session: LEAVING,
            term: 1,
            cause: EndCause::LeaseExpired,
        };
        table = apply(&table, vec![end]);
        let expected: Vec<_> = c.expected.iter().map(|i| departure(1, *i)).collect();
        expect_that!(table.departures, eq(&expected), "{}", c.name);
        expect_that!(checker::check_table(&table), ok(anything()), "{}", c.name);
    }
}

/// Guards against a list of departures that grows with each VM that ever left.
#[googletest::test]
fn oldest_departures_are_dropped_at_the_limit() {
    let mut table = fleet(1);
    for n in 1..=MAX_DEPARTURES as u32 + 3 {
        let own = Session {
            target: target(TargetState::Departing, 7),
            ..session(n)
        };
        let end = Change::End {
            session: SessionId(table.next_session),
            term: 1,
            cause: EndCause::Left,
        };
        table = apply(&table, vec![Change::Join { session: own }, end]);
    }
    expect_that!(table.departures, len(eq(MAX_DEPARTURES)));
    expect_that!(table.departures.first(), some(eq(&departure(4, 7))));
}

/// Guards against a table that shows a target in service after its departure.
#[googletest::test]
fn target_in_service_after_its_departure_violates_an_invariant() {
    let mut table = fleet(3);
    table.sessions[1].target = target(TargetState::Ready, 7);
    table.departures = vec![departure(1, 6)];
    expect_that!(checker::check_table(&table), ok(anything()));
    table.departures = vec![departure(1, 7)];
    let violation = Violation::DepartedTarget(SessionId(1));
    expect_that!(checker::check_table(&table), err(eq(&violation)));
}

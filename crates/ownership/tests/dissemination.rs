//! Dissemination: the tree reaches every session once, and the history has no gaps.

use googletest::prelude::*;
use masticdeal_ownership::change::Delta;
use masticdeal_ownership::dissemination_tree;
use masticdeal_ownership::history::{History, MAX_DELTAS};
use masticdeal_ownership::ids::{ChangeId, SessionId};
use masticdeal_ownership::table::{Session, Table};

fn table(sessions: u32) -> Table {
    let sessions = (0..sessions).map(|n| Session {
        id: SessionId(n * 3 + 1),
        incarnation: u64::from(n),
        vm: format!("vm-{n}"),
        address: ([127, 0, 0, 1], 7001).into(),
        region: "r".into(),
        data_centre: "dc".into(),
        lessors: Vec::new(),
        term: 0,
        target: None,
    });
    Table {
        sessions: sessions.collect(),
        ..Table::default()
    }
}

/// Guards against sessions that an update does not reach, or reaches twice.
#[gtest]
fn every_session_is_reached_once() {
    struct Case {
        sessions: u32,
        origin: u32,
        levels: usize,
    }
    let cases = [
        Case {
            sessions: 1,
            origin: 0,
            levels: 0,
        },
        Case {
            sessions: 9,
            origin: 4,
            levels: 1,
        },
        Case {
            sessions: 10,
            origin: 9,
            levels: 2,
        },
        Case {
            sessions: 480,
            origin: 17,
            levels: 3,
        },
    ];
    for case in cases {
        let table = table(case.sessions);
        let origin = table.sessions[case.origin as usize].id;
        let mut reached = vec![origin];
        let mut level = vec![origin];
        let mut levels = 0;
        loop {
            level = level
                .iter()
                .flat_map(|&me| dissemination_tree::children(&table, origin, me))
                .collect();
            if level.is_empty() {
                break;
            }
            levels += 1;
            reached.extend(&level);
        }
        reached.sort();
        let all: Vec<_> = table.sessions.iter().map(|s| s.id).collect();
        expect_that!(reached, eq(&all));
        expect_that!(levels, eq(case.levels));
    }
}

/// Guards against forwarding an update from a session that the table lacks: without the origin's
/// place in the table, the tree is not defined.
#[gtest]
fn unknown_origin_has_no_children() {
    let table = table(4);
    let me = table.sessions[0].id;
    expect_that!(
        dissemination_tree::children(&table, SessionId(2), me),
        is_empty()
    );
}

fn delta(to: u64) -> Delta {
    Delta {
        to_version: to,
        change_id: ChangeId(to),
        changes: Vec::new(),
    }
}

/// Guards against replies with a gap in the deltas.
#[gtest]
fn history_returns_only_consecutive_deltas() {
    let mut history = History::default();
    for to in 5..=8 {
        history.push(delta(to));
    }
    let versions = |from| -> Option<Vec<u64>> {
        let deltas = history.deltas_since(from, 8)?;
        Some(deltas.iter().map(|d| d.to_version).collect())
    };
    expect_that!(versions(8), some(eq(&Vec::<u64>::new())));
    expect_that!(versions(6), some(eq(&vec![7, 8])));
    expect_that!(versions(4), some(eq(&vec![5, 6, 7, 8])));
    expect_that!(versions(3), none());
    expect_that!(history.deltas_since(6, 9), none());
    history.push(delta(11));
    expect_that!(history.deltas_since(8, 11), none());
    expect_that!(history.deltas_since(10, 11), some(len(eq(1))));
}

/// Guards against a history that grows without bound.
#[gtest]
fn history_is_bounded() {
    let mut history = History::default();
    let last = 3 * MAX_DELTAS as u64;
    for to in 1..=last {
        history.push(delta(to));
    }
    expect_that!(
        history.deltas_since(last - MAX_DELTAS as u64, last),
        some(len(eq(MAX_DELTAS)))
    );
    expect_that!(history.deltas_since(0, last), none());
}

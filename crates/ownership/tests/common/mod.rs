//! Tables for the tests of changes.

use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, ServiceId, SessionId};
use masticdeal_ownership::table::{Session, Table, TargetInfo, TargetState};

/// The first service of a table.
pub const SEARCH: ServiceId = ServiceId(0);

/// Returns the session of the daemon on VM `n`, without a target.
pub fn session(n: u32) -> Session {
    Session {
        id: SessionId(0),
        incarnation: u64::from(n) + 100,
        vm: format!("vm-{n}"),
        address: ([127, 0, (n >> 8) as u8, n as u8], 7001).into(),
        region: "r".into(),
        data_centre: ["a", "b", "c"][n as usize % 3].into(),
        lessors: Vec::new(),
        term: 1,
        target: None,
    }
}

pub fn target(state: TargetState, incarnation: u64) -> Option<TargetInfo> {
    Some(TargetInfo {
        service: SEARCH,
        slots: 6,
        checks_grants: true,
        state,
        capacity: 0,
        incarnation,
    })
}

/// Returns the delta that applies the changes to a table.
pub fn delta(table: &Table, changes: Vec<Change>) -> Delta {
    Delta {
        to_version: table.version + 1,
        change_id: ChangeId(table.version + 1),
        changes,
    }
}

pub fn apply(table: &Table, changes: Vec<Change>) -> Table {
    table.apply(&delta(table, changes)).expect("change applies")
}

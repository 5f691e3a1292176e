//! What a lost race for the table leaves behind, step by step on one core.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, SessionId};
use masticdeal_ownership::lease::{
    Core, CoreSettings, DeclaredService, Effect, Event, Identity, Outcome, TargetReport,
};
use masticdeal_ownership::table::{Session, Table, TargetState};

const LEASE: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn core() -> Core {
    let settings = CoreSettings {
        lease: LEASE,
        renew_interval: ms(300),
        ..CoreSettings::default()
    };
    Core::new(
        settings,
        Identity {
            incarnation: 1,
            vm: "vm-0".into(),
            address: ([127, 0, 0, 1], 1000).into(),
            region: "r".into(),
            data_centre: "a".into(),
            bound_at: Duration::ZERO,
            seed: 7,
        },
    )
}

/// The table after another process joined.
fn with_joined_session(table: &Table, at: u16) -> Arc<Table> {
    let session = Session {
        id: SessionId(0),
        incarnation: 1_000 + u64::from(at),
        vm: format!("vm-{at}"),
        address: ([127, 0, 0, 1], 1000 + at).into(),
        region: "r".into(),
        data_centre: format!("dc-{at}"),
        lessors: table.sessions.iter().map(|s| s.id).collect(),
        term: 1,
        target: None,
    };
    let delta = Delta {
        to_version: table.version + 1,
        change_id: ChangeId(u64::from(at)),
        changes: vec![Change::Join { session }],
    };
    Arc::new(table.apply(&delta).expect("join fits"))
}

/// A core whose reads are answered with the table that stands.
struct Harness {
    core: Core,
    now: Duration,
    stored_table: Arc<Table>,
    effects: Vec<Effect>,
}

impl Harness {
    fn new() -> Self {
        Self {
            core: core(),
            now: Duration::ZERO,
            stored_table: Arc::default(),
            effects: Vec::new(),
        }
    }

    /// Lets the platform accept a swap.
    fn accept(&mut self, delta: &Delta, next: Arc<Table>) {
        self.stored_table = next;
        self.handle_event(Event::SwapOutcome {
            change_id: delta.change_id,
            outcome: Outcome::Done,
        });
    }

    fn handle_event(&mut self, event: Event) {
        let effects = self.core.handle(self.now, event);
        self.effects.extend(effects);
    }

    /// Lets the core act every millisecond until it writes.
    fn next_swap(&mut self) -> (Delta, Arc<Table>) {
        let end = self.now + LEASE * 2;
        while self.now < end {
            match self.effects.pop() {
                Some(Effect::Swap { delta, next }) => return (delta, next),
                Some(Effect::ReadTable { read }) => {
                    let table = Some(self.stored_table.clone());
                    self.handle_event(Event::TableRead { read, table });
                }
                Some(_) => {}
                None => {
                    self.now += ms(1);
                    self.handle_event(Event::Tick);
                }
            }
        }
        panic!("nothing is written in {:?}", LEASE * 2);
    }
}

fn changes_lessors(delta: &Delta) -> bool {
    let names = |c: &Change| matches!(c, Change::SetLessors { .. });
    delta.changes.iter().any(names)
}

/// Guards against a first member that stays without lessors for half a lease because it lost the race for
/// the swap that names them: an outage that begins meanwhile takes its lease, and its keys are not served.
#[googletest::test]
fn a_lost_race_does_not_hold_up_the_change_of_lessors() {
    let mut harness = Harness::new();
    let (delta, one_member) = harness.next_swap();
    harness.accept(&delta, one_member.clone());
    harness.stored_table = with_joined_session(&one_member, 1);
    harness.handle_event(Event::TableReceived(harness.stored_table.clone()));
    let (lost, _) = harness.next_swap();
    expect_that!(changes_lessors(&lost), eq(true));
    harness.stored_table = with_joined_session(&harness.stored_table, 2);
    harness.handle_event(Event::TableReceived(harness.stored_table.clone()));
    let from = harness.now;
    let (again, _) = harness.next_swap();
    expect_that!(changes_lessors(&again), eq(true));
    expect_that!(harness.now - from, lt(LEASE / 10));
}

/// Guards against a fleet in which every daemon writes its measured capacity at the same time and loses as
/// many races as there are daemons: a capacity waits for a swap that is due for another reason.
#[googletest::test]
fn a_measured_capacity_by_itself_writes_nothing() {
    let mut harness = Harness::new();
    let report = |capacity, state| {
        Event::TargetChanged(Some(TargetReport {
            service: "search".into(),
            slots: 6,
            checks_grants: true,
            state,
            capacity,
            incarnation: 0,
        }))
    };
    harness.handle_event(Event::ServicesDeclared(vec![DeclaredService {
        name: "search".into(),
        shards: 0,
    }]));
    harness.handle_event(report(0, TargetState::Ready));
    let stored_capacity = |table: &Table| {
        let target = table.sessions.first().and_then(|s| s.target.as_ref());
        target.map(|t| t.capacity)
    };
    while stored_capacity(&harness.stored_table) != Some(0) {
        let (delta, next) = harness.next_swap();
        harness.accept(&delta, next);
    }
    harness.handle_event(report(60, TargetState::Ready));
    for _ in 0..2_000 {
        harness.now += ms(1);
        harness.handle_event(Event::Tick);
    }
    let writes = |e: &&Effect| matches!(e, Effect::Swap { .. });
    expect_that!(harness.effects.iter().filter(writes).count(), eq(0));
    harness.handle_event(report(60, TargetState::Draining));
    let (_, next) = harness.next_swap();
    expect_that!(stored_capacity(&next), some(eq(60)));
}

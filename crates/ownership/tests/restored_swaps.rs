//! Tests what becomes of a swap whose outcome is unknown when the platform store is restored.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, SessionId};
use masticdeal_ownership::lease::{
    CollectionReplies, Core, CoreSettings, Effect, Event, Identity, Outcome, TargetReport,
};
use masticdeal_ownership::table::{Session, Table, TargetState};

/// Time that a read of the simulated store takes.
const READ_TIME: Duration = Duration::from_millis(4);

fn apply(table: &Table, change: Change) -> Arc<Table> {
    let delta = Delta {
        to_version: table.version + 1,
        change_id: ChangeId(table.version + 100),
        changes: vec![change],
    };
    Arc::new(table.apply(&delta).expect("change applies"))
}

fn session(vm: u16, lessors: &[SessionId]) -> Session {
    Session {
        id: SessionId(0),
        incarnation: u64::from(vm) + 10,
        vm: format!("vm-{vm}"),
        address: ([127, 0, 0, 1], 1000 + vm).into(),
        region: "r".into(),
        data_centre: format!("dc-{vm}"),
        lessors: lessors.to_vec(),
        term: 1,
        target: None,
    }
}

fn core(settings: &CoreSettings) -> Core {
    let own = session(0, &[]);
    let identity = Identity {
        incarnation: own.incarnation,
        vm: own.vm,
        address: own.address,
        region: own.region,
        data_centre: own.data_centre,
        bound_at: Duration::ZERO,
        seed: 1,
    };
    Core::new(settings.clone(), identity)
}

/// Calls of a daemon after it learned that the store was restored.
#[derive(Debug, Default)]
struct Calls {
    reads: u32,
    swaps: u32,
    restores: u32,
}

/// Plays a daemon whose swap gets no reply before the store is restored with `stored`, while
/// another daemon does not reply to the collection of tables.
fn play_restore(known: &Arc<Table>, stored: &Arc<Table>) -> Calls {
    let settings = CoreSettings::default();
    let mut core = core(&settings);
    let mut now = settings.lease;
    let target = TargetReport {
        service: "search".into(),
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: 0,
        incarnation: 1,
    };
    let mut effects = core.handle(now, Event::TableReceived(known.clone()));
    effects.extend(core.handle(now, Event::TargetChanged(Some(target))));
    let mut calls = Calls::default();
    let mut restored_at = None;
    let mut due_reads: Vec<(Duration, u64)> = Vec::new();
    while now < settings.lease * 4 && calls.restores == 0 {
        let event = match effects.pop() {
            Some(Effect::SendRenew(renewal)) => Event::RenewReply {
                lessor: renewal.lessor,
                sequence: renewal.sequence,
                granted: true,
                version: known.version,
            },
            Some(Effect::ReadTable { read }) => {
                calls.reads += u32::from(restored_at.is_some());
                due_reads.push((now + READ_TIME, read));
                continue;
            }
            Some(Effect::Swap { delta, .. }) => {
                calls.swaps += u32::from(restored_at.is_some());
                restored_at = restored_at.or(Some(now));
                Event::SwapOutcome {
                    change_id: delta.change_id,
                    outcome: Outcome::Unknown,
                }
            }
            Some(Effect::CollectTables { version }) => Event::TablesCollected {
                version,
                replies: CollectionReplies::SilentAddress,
            },
            Some(Effect::RestoreTable { .. }) => {
                calls.restores += 1;
                continue;
            }
            Some(_) => continue,
            None => match due_reads.first().filter(|(at, _)| *at <= now) {
                Some(&(_, read)) => {
                    due_reads.remove(0);
                    let (table, store_era) = match restored_at {
                        Some(_) => (stored.clone(), 1),
                        None => (known.clone(), 0),
                    };
                    Event::TableRead {
                        read,
                        table: Some(table),
                        store_era,
                    }
                }
                None => {
                    now += Duration::from_millis(1);
                    Event::Tick
                }
            },
        };
        effects.extend(core.handle(now, event));
    }
    calls
}

/// Guards against a daemon that writes a change to a restored store on a version that others have
/// left, or that reads the store without pause to learn what became of the change.
#[googletest::test]
fn unresolved_swap_is_not_repeated_in_a_restored_store() {
    struct Case {
        name: &'static str,
        /// Whether the store lost the version on which the swap is based.
        lost_base: bool,
    }
    let cases = [
        Case {
            name: "the copy has the base version",
            lost_base: false,
        },
        Case {
            name: "the copy is older",
            lost_base: true,
        },
    ];
    let declare = Change::DeclareService {
        name: "search".into(),
        shards: 1,
    };
    let join = |vm, lessors: &[SessionId]| Change::Join {
        session: session(vm, lessors),
    };
    let older = apply(&apply(&Table::default(), declare), join(1, &[]));
    let known = apply(&older, join(0, &[older.sessions[0].id]));
    for case in cases {
        let stored = if case.lost_base { &older } else { &known };
        let calls = play_restore(&known, stored);
        expect_that!(calls.swaps, eq(0), "{}", case.name);
        expect_that!(calls.reads, le(5), "{}", case.name);
        expect_that!(calls.restores, eq(1), "{}", case.name);
    }
}

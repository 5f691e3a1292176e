//! Restoration of the table by one lease core, without a simulation.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, SessionId};
use masticdeal_ownership::lease::{CollectionReplies, Core, CoreSettings, Effect, Event, Identity};
use masticdeal_ownership::table::{Session, Table};

fn identity() -> Identity {
    Identity {
        incarnation: 1,
        vm: "vm".into(),
        address: "127.0.0.1:1000".parse().expect("address"),
        region: "r".into(),
        data_centre: "a".into(),
        bound_at: Duration::ZERO,
        seed: 1,
    }
}

fn has_lease(core: &Core, now: Duration) -> bool {
    core.lease_until().is_some_and(|until| now < until)
}

/// Returns a table with the session of [`identity`], which has no lessors.
fn table_of_one() -> Arc<Table> {
    let own = identity();
    let session = Session {
        id: SessionId(0),
        incarnation: own.incarnation,
        vm: own.vm,
        address: own.address,
        region: own.region,
        data_centre: own.data_centre,
        lessors: Vec::new(),
        term: 1,
        target: None,
    };
    let delta = Delta {
        to_version: 1,
        change_id: ChangeId(1),
        changes: vec![Change::Join { session }],
    };
    Arc::new(Table::default().apply(&delta).expect("join applies"))
}

/// Guards against a starting daemon that collects tables in a busy loop until a lease has passed.
#[googletest::test]
fn process_without_known_sessions_does_not_collect_without_pause() {
    let settings = CoreSettings::default();
    let mut core = Core::new(settings.clone(), identity());
    let mut now = Duration::ZERO;
    let mut effects = core.handle(now, Event::Tick);
    let (mut collections, mut writes) = (0, 0);
    while now < 2 * settings.lease {
        now += Duration::from_millis(1);
        let events = effects.iter().filter_map(|effect| match effect {
            Effect::ReadTable { read } => Some(Event::TableRead {
                read: *read,
                table: Some(Arc::new(Table::default())),
                store_era: 1,
            }),
            Effect::CollectTables { version } => {
                collections += 1;
                Some(Event::TablesCollected {
                    version: *version,
                    replies: CollectionReplies::AllSessions,
                })
            }
            Effect::RestoreTable { .. } => {
                writes += 1;
                None
            }
            _ => None,
        });
        let events: Vec<Event> = events.collect();
        effects = core.handle(now, Event::Tick);
        for event in events {
            effects.extend(core.handle(now, event));
        }
    }
    expect_that!(collections, le(5));
    expect_that!(writes, eq(1));
}

/// Guards against a session without lessors that was ended in a lost version of the table, and takes
/// up its shards again after it has read the copy in the restored store.
#[googletest::test]
fn read_of_a_restored_copy_does_not_extend_the_lease() {
    let settings = CoreSettings::default();
    let mut core = Core::new(settings.clone(), identity());
    let mut now = Duration::ZERO;
    let mut effects = core.handle(now, Event::Tick);
    let cut_from = 2 * settings.lease;
    let restored_at = 2 * cut_from;
    let mut served_before = false;
    while now < restored_at + settings.lease / 2 {
        let Some(effect) = effects.pop() else {
            now += Duration::from_millis(1);
            effects.extend(core.handle(now, Event::Tick));
            served_before |= now < cut_from && has_lease(&core, now);
            if now > restored_at {
                assert_that!(has_lease(&core, now), eq(false), "{now:?}");
            }
            continue;
        };
        if let Effect::ReadTable { read } = effect {
            let is_cut = cut_from <= now && now < restored_at;
            effects.extend(core.handle(
                now,
                Event::TableRead {
                    read,
                    table: (!is_cut).then(table_of_one),
                    store_era: u64::from(now >= restored_at),
                },
            ));
        }
    }
    expect_that!(served_before, eq(true));
}

/// Returns a table with the session of [`identity`] and its lessor.
fn table_of_two() -> Arc<Table> {
    let mut lessor = table_of_one().sessions[0].clone();
    lessor.incarnation = 2;
    lessor.address = "127.0.0.2:1000".parse().expect("address");
    let mut own = table_of_one().sessions[0].clone();
    own.lessors = vec![SessionId(0)];
    let mut table = Table::default();
    for session in [lessor, own] {
        let delta = Delta {
            to_version: table.version + 1,
            change_id: ChangeId(table.version + 1),
            changes: vec![Change::Join { session }],
        };
        table = table.apply(&delta).expect("join applies");
    }
    Arc::new(table)
}

/// Returns how long after it learned of a new era a daemon with the table writes it back. Unless
/// `renewed` is set, no lessor and no read of the table extends its lease before.
fn time_until_write(table: &Arc<Table>, replies: CollectionReplies, renewed: bool) -> Duration {
    let settings = CoreSettings::default();
    let mut core = Core::new(settings.clone(), identity());
    let mut now = Duration::ZERO;
    let mut effects = core.handle(now, Event::TableReceived(table.clone()));
    let restored_at = 2 * settings.lease;
    while now < restored_at + Duration::from_secs(20) {
        let event = match effects.pop() {
            Some(Effect::SendRenew(renewal)) => Event::RenewReply {
                lessor: renewal.lessor,
                sequence: renewal.sequence,
                granted: renewed,
                version: table.version,
            },
            Some(Effect::ReadTable { read }) => Event::TableRead {
                read,
                table: (renewed || now >= restored_at).then(|| table.clone()),
                store_era: u64::from(now >= restored_at),
            },
            Some(Effect::CollectTables { version }) => Event::TablesCollected { version, replies },
            Some(Effect::RestoreTable { .. }) => return now - restored_at,
            Some(_) => continue,
            None => {
                now += Duration::from_millis(1);
                match now == restored_at {
                    true => Event::StoreEra(1),
                    false => Event::Tick,
                }
            }
        };
        effects.extend(core.handle(now, event));
    }
    panic!("the table is not written back");
}

/// Guards against a restarted process that vouches for the grants of the process before it.
#[googletest::test]
fn restarted_process_does_not_replace_the_wait_of_a_lease() {
    struct Case {
        name: &'static str,
        replies: CollectionReplies,
        waits: bool,
    }
    let cases = [
        Case {
            name: "the session replied",
            replies: CollectionReplies::AllSessions,
            waits: false,
        },
        Case {
            name: "another process replied at its address",
            replies: CollectionReplies::RestartedSession,
            waits: true,
        },
        Case {
            name: "nobody replied",
            replies: CollectionReplies::SilentAddress,
            waits: true,
        },
    ];
    let lease = CoreSettings::default().lease;
    for case in cases {
        let waited = time_until_write(&table_of_two(), case.replies, true);
        let expected = waited >= lease;
        expect_that!(expected, eq(case.waits), "{}: {waited:?}", case.name);
        expect_that!(waited, lt(2 * lease), "{}", case.name);
    }
}

/// Guards against a session that was ended in a lost version of the table, and takes up its shards
/// while the sessions that ended it are cut off.
#[googletest::test]
fn process_without_a_lease_waits_longer_for_silent_sessions() {
    struct Case {
        name: &'static str,
        table: Arc<Table>,
        replies: CollectionReplies,
        /// Bounds of the wait.
        wait: [Duration; 2],
    }
    let lease = CoreSettings::default().lease;
    let long_wait = [Duration::from_secs(5), Duration::from_secs(6)];
    let cases = [
        Case {
            name: "its lessor is silent",
            table: table_of_two(),
            replies: CollectionReplies::SilentAddress,
            wait: long_wait,
        },
        Case {
            name: "its lessor restarted",
            table: table_of_two(),
            replies: CollectionReplies::RestartedSession,
            wait: [lease, 2 * lease],
        },
        Case {
            name: "it knows no session, and a seed is silent",
            table: Arc::default(),
            replies: CollectionReplies::SilentAddress,
            wait: long_wait,
        },
        Case {
            name: "it knows no session, and all seeds replied",
            table: Arc::default(),
            replies: CollectionReplies::AllSessions,
            wait: [lease, 2 * lease],
        },
    ];
    for case in cases {
        let waited = time_until_write(&case.table, case.replies, false);
        let [least, most] = case.wait;
        expect_that!(waited, all![ge(least), le(most)], "{}", case.name);
    }
}

/// Guards against a session that was ended in a lost version of the table, and takes up its shards
/// because all sessions of the copy replied: there may be others.
#[googletest::test]
fn session_without_a_lease_waits_for_sessions_that_the_copy_lacks() {
    struct Case {
        name: &'static str,
        table: Arc<Table>,
        renewed: bool,
        waits: bool,
    }
    let cases = [
        Case {
            name: "alone in the copy",
            table: table_of_one(),
            renewed: false,
            waits: true,
        },
        Case {
            name: "alone in the copy, with a lease",
            table: table_of_one(),
            renewed: true,
            waits: false,
        },
        Case {
            name: "its lessor replied",
            table: table_of_two(),
            renewed: false,
            waits: true,
        },
    ];
    let lease = CoreSettings::default().lease;
    for case in cases {
        let waited = time_until_write(&case.table, CollectionReplies::AllSessions, case.renewed);
        expect_that!(waited >= lease, eq(case.waits), "{}: {waited:?}", case.name);
        expect_that!(waited, lt(2 * lease), "{}", case.name);
    }
}

//! Changes of the table, its codec and the lessor ring.

use googletest::prelude::*;
use masticdeal_ownership::apply::ApplyError;
use masticdeal_ownership::assignment;
use masticdeal_ownership::change::{Change, Delta, EndCause};
use masticdeal_ownership::checker;
use masticdeal_ownership::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lessor_selection::{self, Location};
use masticdeal_ownership::table::{
    self, CodecError, MAX_RECENT_CHANGES, MAX_TABLE_BYTES, Session, Table, TargetInfo, TargetState,
};

const SEARCH: ServiceId = ServiceId(0);

fn session(at: u32) -> Session {
    Session {
        id: SessionId(0),
        incarnation: u64::from(at) + 100,
        vm: format!("vm-{at}"),
        address: ([127, 0, (at >> 8) as u8, at as u8], 7001).into(),
        region: "r".into(),
        data_centre: ["a", "b", "c"][at as usize % 3].into(),
        lessors: Vec::new(),
        term: 1,
        target: None,
    }
}

fn ready() -> Option<TargetInfo> {
    Some(TargetInfo {
        service: SEARCH,
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: 0,
        incarnation: 0,
    })
}

fn delta(table: &Table, changes: Vec<Change>) -> Delta {
    Delta {
        to_version: table.version + 1,
        change_id: ChangeId(table.version + 1),
        changes,
    }
}

fn apply(table: &Table, changes: Vec<Change>) -> Table {
    table.apply(&delta(table, changes)).expect("change fits")
}

/// Sessions with a ready target each, and a service whose shards are spread over them.
fn fleet(sessions: u32, shards: u32) -> Table {
    let mut changes = vec![Change::DeclareService {
        name: "search".into(),
        shards,
    }];
    for at in 0..sessions {
        changes.push(Change::Join {
            session: session(at),
        });
        changes.push(Change::SetTarget {
            session: SessionId(at),
            target: ready(),
        });
    }
    let table = apply(&Table::default(), changes);
    let assign = assignment::assign_shards(&table, |_| false, |_| false);
    apply(&table, assign)
}

/// A change that must be refused, and why.
struct Case {
    change: Change,
    refused: ApplyError,
}

/// Guards against changes that would break an invariant when their author is behind.
#[googletest::test]
fn changes_that_do_not_fit_are_refused() {
    let table = fleet(3, 8);
    let owner = table.services[0].shards[0].owner.expect("owned");
    let other = SessionId((owner.0 + 1) % 3);
    let moved = |from, epoch| Change::Move {
        service: SEARCH,
        shard: ShardId(0),
        from,
        epoch: Epoch(epoch),
        to: other,
    };
    let lessors = |term, lessors| Change::SetLessors {
        session: owner,
        term,
        lessors,
    };
    let key = |from| Change::Override {
        service: SEARCH,
        key_hash: 8,
        from,
        to: Some(other),
    };
    let declare = |name: &str, shards| Change::DeclareService {
        name: name.into(),
        shards,
    };
    let end = |session, term| Change::End {
        session,
        term,
        cause: EndCause::LeaseExpired,
    };
    let case = |change, refused| Case { change, refused };
    let cases = [
        case(moved(other, 1), ApplyError::NotReleased(ShardId(0))),
        case(moved(owner, 0), ApplyError::NotReleased(ShardId(0))),
        case(
            end(SessionId(9), 1),
            ApplyError::UnknownSession(SessionId(9)),
        ),
        case(end(owner, 2), ApplyError::TermMismatch(owner)),
        case(lessors(2, vec![other]), ApplyError::TermMismatch(owner)),
        case(lessors(1, vec![owner]), ApplyError::InvalidLessors(owner)),
        case(
            lessors(1, vec![other, other]),
            ApplyError::InvalidLessors(owner),
        ),
        case(
            lessors(1, vec![SessionId(9)]),
            ApplyError::InvalidLessors(owner),
        ),
        case(key(None), ApplyError::KeyNotReleased),
        case(key(Some((owner, Epoch(7)))), ApplyError::KeyNotReleased),
        case(declare("search", 16), ApplyError::ShardCountMismatch(8)),
        case(declare("other", 3), ApplyError::NotPowerOfTwo(3)),
        case(
            declare("other", 1 << 20),
            ApplyError::LimitReached("shards"),
        ),
        case(declare("", 8), ApplyError::InvalidName),
        case(
            Change::Join {
                session: session(0),
            },
            ApplyError::AlreadyJoined(SessionId(0)),
        ),
        case(
            Change::Join {
                session: Session {
                    incarnation: 7,
                    ..session(0)
                },
            },
            ApplyError::AddressInUse(SessionId(0)),
        ),
        case(
            Change::Assign {
                service: SEARCH,
                owner,
                shards: vec![ShardId(0)],
            },
            ApplyError::AlreadyOwned(ShardId(0)),
        ),
    ];
    for Case { change, refused } in cases {
        let result = table.apply(&delta(&table, vec![change.clone()]));
        expect_that!(result, err(eq(&refused)), "{change:?}");
    }
}

/// Guards against deltas that join with a gap or twice.
#[googletest::test]
fn a_delta_applies_to_the_version_below_it_only() {
    let table = fleet(2, 4);
    let mut next = delta(&table, Vec::new());
    expect_that!(table.apply(&next), ok(anything()));
    next.to_version += 1;
    let (current, to) = (table.version, next.to_version);
    expect_that!(
        table.apply(&next),
        err(eq(&ApplyError::VersionMismatch { current, to }))
    );
}

/// Guards against a leaving target whose shards become single ranges all over the fleet: each joins a
/// neighbour's run while that target owns less than its share, and goes to the least loaded one otherwise.
#[gtest]
fn shards_of_a_leaving_target_join_their_neighbours() {
    // Shards 0 to 15 lie at 0, 1, 2, 0, ...; 0 owns six, and a share is five and a third.
    let table = fleet(3, 16);
    let near = |shard, avoid| {
        let at = (ServiceId(0), ShardId(shard));
        assignment::choose_owner(&table, at, |id| id == SessionId(avoid), SessionId(1))
    };
    // Between 0, which owns more than its share, and 2.
    expect_that!(near(1, 9), some(eq(SessionId(2))));
    // The least loaded one that is left, although no neighbour owns less than its share.
    expect_that!(near(1, 2), some(eq(SessionId(0))));
}

/// Guards against a table that grows with each change, and against epochs used twice.
#[googletest::test]
fn moves_raise_epochs_and_memory_stays_bounded() {
    let mut table = fleet(2, 4);
    for _ in 0..3 * MAX_RECENT_CHANGES {
        let shard = table.services[0].shards[0];
        let from = shard.owner.expect("owned");
        let change = Change::Move {
            service: SEARCH,
            shard: ShardId(0),
            from,
            epoch: shard.epoch,
            to: SessionId(1 - from.0),
        };
        let next = apply(&table, vec![change]);
        expect_that!(checker::check_transition(&table, &next), ok(anything()));
        expect_that!(checker::check_transition(&next, &table), err(anything()));
        table = next;
    }
    expect_that!(table.recent_changes.len(), eq(MAX_RECENT_CHANGES));
}

/// Guards against a key that two epochs of one shard cover: the shard's epoch ends with the
/// override, and the key falls back to its shard when its owner ends.
#[googletest::test]
fn an_override_ends_the_epoch_of_its_shard_and_falls_back() {
    let table = fleet(3, 8);
    let before = table.services[0].shards[0];
    let owner = before.owner.expect("owned");
    let to = SessionId((owner.0 + 1) % 3);
    let change = Change::Override {
        service: SEARCH,
        key_hash: 8,
        from: Some((owner, before.epoch)),
        to: Some(to),
    };
    let table = apply(&table, vec![change]);
    expect_that!(table.services[0].shards[0].epoch, gt(before.epoch));
    let end = Change::End {
        session: to,
        term: 1,
        cause: EndCause::LeaseExpired,
    };
    let table = apply(&table, vec![end]);
    expect_that!(table.services[0].overrides, is_empty());
    expect_that!(checker::check_table(&table), ok(anything()));
}

/// Guards against memory that a forged or damaged value asks for.
#[googletest::test]
fn the_codec_refuses_what_is_not_one_table() {
    let table = fleet(20, 1024);
    let bytes = table::encode(&table).expect("table encodes");
    expect_that!(table::decode(&bytes), ok(eq(&table)));
    for cut in [0, 1, bytes.len() / 2, bytes.len() - 1] {
        expect_that!(table::decode(&bytes[..cut]), err(anything()));
    }
    let mut longer = bytes.clone();
    longer.push(0);
    expect_that!(
        table::decode(&longer),
        err(eq(&CodecError::TrailingBytes(1)))
    );
    // A length of 2^63 for the list of sessions.
    let forged = [0, 0, 253, 0, 0, 0, 0, 0, 0, 0, 128];
    expect_that!(table::decode(&forged), err(anything()));
    let huge = vec![0; MAX_TABLE_BYTES + 1];
    let size = MAX_TABLE_BYTES + 1;
    expect_that!(table::decode(&huge), err(eq(&CodecError::TooLarge(size))));
}

/// Guards against a value above the platform's limit at the largest size.
#[googletest::test]
fn the_largest_table_stays_below_a_megabyte() {
    let table = fleet(480, 65_536);
    let bytes = table::encode(&table).expect("table encodes");
    expect_that!(bytes.len(), lt(MAX_TABLE_BYTES / 2));
}

/// Guards against lessors inside the lessee's data centre, or both in one.
#[googletest::test]
fn lessors_stand_in_other_data_centres() {
    let table = fleet(60, 4);
    for s in &table.sessions {
        let lessors =
            lessor_selection::select_lessors(&table, Location::from(s), &[], 2, |_| false);
        let mut places: Vec<_> = lessors
            .iter()
            .filter_map(|id| table.session(*id))
            .map(|l| l.data_centre.as_str())
            .collect();
        places.push(&s.data_centre);
        places.sort_unstable();
        expect_that!(places, eq(&vec!["a", "b", "c"]), "{}", s.id);
    }
}

/// Guards against uneven first owners and against moves of shards that have one.
#[googletest::test]
fn orphans_go_to_the_least_loaded_and_others_stay() {
    let table = fleet(4, 64);
    let end = Change::End {
        session: SessionId(2),
        term: 1,
        cause: EndCause::LeaseExpired,
    };
    let ended = apply(&table, vec![end]);
    let next = apply(
        &ended,
        assignment::assign_shards(&ended, |_| false, |_| false),
    );
    let owned = |table: &Table, id| {
        let shards = table.services[0].shards.iter();
        shards.filter(|s| s.owner == Some(SessionId(id))).count()
    };
    for id in [0, 1, 3] {
        expect_that!(owned(&table, id), eq(16));
        expect_that!(owned(&next, id), all![ge(21), le(22)]);
    }
    let kept = table.services[0]
        .shards
        .iter()
        .zip(&next.services[0].shards);
    let moved = kept.filter(|(x, y)| x.owner != y.owner).count();
    expect_that!(moved, eq(16));
}

/// Guards against a session with so many lessees that its heartbeats exceed the budget of 11 KB/s: a
/// pair of lessor and lessee costs about 716 B/s on each side, so at most 13 beside the own two
/// lessors.
#[googletest::test]
fn lessees_are_spread_in_a_large_fleet() {
    const BUDGET: usize = 13;
    let places = [(0, 0), (0, 1), (0, 2), (1, 3), (1, 4), (2, 5), (2, 6)];
    for first in [0, 10_000, 20_000] {
        let mut table = Table::default();
        for at in 0..480 {
            let (region, data_centre) = places[at as usize % places.len()];
            let mut joined = Session {
                id: SessionId(first + at),
                region: format!("r{region}"),
                data_centre: format!("d{data_centre}"),
                ..session(at)
            };
            joined.lessors =
                lessor_selection::select_lessors(&table, Location::from(&joined), &[], 2, |_| {
                    false
                });
            table.sessions.push(joined);
        }
        // Each session reviews its choice once the fleet is complete.
        for at in 0..table.sessions.len() {
            if let Some(set) =
                lessor_selection::better_lessors(&table, &table.sessions[at], 2, |_| false)
            {
                table.sessions[at].lessors = set;
            }
        }
        let mut lessees = std::collections::BTreeMap::new();
        for lessor in table.sessions.iter().flat_map(|s| &s.lessors) {
            *lessees.entry(*lessor).or_insert(0) += 1;
        }
        let most = lessees.values().max().copied().unwrap_or(0);
        println!("first id {first}: at most {most} lessees");
        expect_that!(most, le(BUDGET));
    }
}

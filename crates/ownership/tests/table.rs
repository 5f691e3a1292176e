//! Changes of the table, its codec, the assignment of shards and the selection of lessors.

mod common;

use common::{SEARCH, apply, delta, session, target};
use googletest::prelude::*;
use masticdeal_ownership::apply::ApplyError;
use masticdeal_ownership::assignment;
use masticdeal_ownership::change::{Change, EndCause};
use masticdeal_ownership::checker;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lessor_selection::{self, Location};
use masticdeal_ownership::table::{
    self, CodecError, MAX_RECENT_CHANGES, MAX_TABLE_BYTES, Session, Table, TargetState,
};

/// Creates a table of sessions with a ready target each, and a service with all shards assigned.
fn fleet(sessions: u32, shards: u32) -> Table {
    let mut changes = vec![Change::DeclareService {
        name: "search".into(),
        shards,
    }];
    for n in 0..sessions {
        changes.push(Change::Join {
            session: session(n),
        });
        changes.push(Change::SetTarget {
            session: SessionId(n),
            target: target(TargetState::Ready, 0),
        });
    }
    let table = apply(&Table::default(), changes);
    let assign = assignment::assign_shards(&table, |_| false, |_| false);
    apply(&table, assign)
}

/// A change that must be rejected, and the expected error.
struct Case {
    change: Change,
    error: ApplyError,
}

/// Guards against accepting changes that would violate an invariant. A process proposes them when
/// it has an older table.
#[googletest::test]
fn invalid_changes_are_rejected() {
    let table = fleet(3, 8);
    let owner = table.services[0].shards[0].owner.expect("owned");
    let other = SessionId((owner.0 + 1) % 3);
    let move_shard = |from, epoch| Change::Move {
        service: SEARCH,
        shard: ShardId(0),
        from,
        epoch: Epoch(epoch),
        to: other,
    };
    let set_lessors = |term, lessors| Change::SetLessors {
        session: owner,
        term,
        lessors,
    };
    let override_key = |from| Change::Override {
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
    let case = |change, error| Case { change, error };
    let cases = [
        case(move_shard(other, 1), ApplyError::OwnerMismatch(ShardId(0))),
        case(move_shard(owner, 0), ApplyError::OwnerMismatch(ShardId(0))),
        case(
            end(SessionId(9), 1),
            ApplyError::UnknownSession(SessionId(9)),
        ),
        case(end(owner, 2), ApplyError::TermMismatch(owner)),
        case(set_lessors(2, vec![other]), ApplyError::TermMismatch(owner)),
        case(
            set_lessors(1, vec![owner]),
            ApplyError::InvalidLessors(owner),
        ),
        case(
            set_lessors(1, vec![other, other]),
            ApplyError::InvalidLessors(owner),
        ),
        case(
            set_lessors(1, vec![SessionId(9)]),
            ApplyError::InvalidLessors(owner),
        ),
        case(override_key(None), ApplyError::KeyOwnerMismatch),
        case(
            override_key(Some((owner, Epoch(7)))),
            ApplyError::KeyOwnerMismatch,
        ),
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
    for Case { change, error } in cases {
        let result = table.apply(&delta(&table, vec![change.clone()]));
        expect_that!(result, err(eq(&error)), "{change:?}");
    }
}

/// Guards against deltas that are applied after a gap or twice.
#[googletest::test]
fn delta_applies_only_to_preceding_version() {
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

/// Guards against scattering the shards of a leaving target as separate ranges over the fleet. A
/// shard extends the range of an adjacent owner while that owner has less than its share, and goes
/// to the least loaded target otherwise.
#[gtest]
fn shards_of_leaving_target_extend_adjacent_ranges() {
    // Shards 0 to 15 are owned by 0, 1, 2, 0, and so on. Session 0 owns six; a share is 5 1/3.
    let table = fleet(3, 16);
    let next_owner = |shard, avoid| {
        let shard_of_search = (ServiceId(0), ShardId(shard));
        assignment::choose_owner(
            &table,
            shard_of_search,
            |id| id == SessionId(avoid),
            SessionId(1),
        )
    };
    // Shard 1 is between session 0, which owns more than its share, and session 2.
    expect_that!(next_owner(1, 9), some(eq(SessionId(2))));
    // Session 0 is the only target left, although it owns more than its share.
    expect_that!(next_owner(1, 2), some(eq(SessionId(0))));
}

/// Guards against a table that grows with each change, and against reused epochs.
#[googletest::test]
fn moves_increase_epochs_and_recent_changes_are_bounded() {
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

/// Guards against a key that is covered by two epochs of one shard. The shard's epoch ends when the
/// override is created, and the key returns to its shard when the owner of the override ends.
#[googletest::test]
fn override_ends_shard_epoch_and_key_returns_to_shard() {
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

/// Guards against accepting a table that is truncated, has trailing bytes or exceeds the size
/// limit, and against an allocation of the size that a forged or damaged length states.
#[googletest::test]
fn codec_rejects_malformed_tables() {
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
    // The list of sessions has a length of 2^63.
    let forged = [0, 0, 253, 0, 0, 0, 0, 0, 0, 0, 128];
    expect_that!(table::decode(&forged), err(anything()));
    let huge = vec![0; MAX_TABLE_BYTES + 1];
    let size = MAX_TABLE_BYTES + 1;
    expect_that!(table::decode(&huge), err(eq(&CodecError::TooLarge(size))));
}

/// Guards against a restored table whose era is lost, and against a table of an earlier release that
/// is rejected because it has no era.
#[googletest::test]
fn codec_keeps_the_era_and_rejects_cut_tables() {
    let table = fleet(20, 1024);
    let without_era = table::encode(&table).expect("table encodes");
    let restored = Table { era: 3, ..table };
    let bytes = table::encode(&restored).expect("table encodes");
    expect_that!(&bytes[2..], eq(&without_era[..]));
    expect_that!(table::decode(&bytes), ok(eq(&restored)));
    for cut in [1, 2, 3, bytes.len() / 2, bytes.len() - 1] {
        expect_that!(table::decode(&bytes[..cut]), err(anything()));
    }
    let longer = [&bytes[..], &[0]].concat();
    let trailing = CodecError::TrailingBytes(1);
    expect_that!(table::decode(&longer), err(eq(&trailing)));
}

/// Guards against a table near or above the platform's size limit at the maximum number of shards.
#[googletest::test]
fn largest_table_is_below_half_of_size_limit() {
    let table = fleet(480, 65_536);
    let bytes = table::encode(&table).expect("table encodes");
    expect_that!(bytes.len(), lt(MAX_TABLE_BYTES / 2));
}

/// Guards against a lessor in the lessee's data centre, and against both lessors in one data
/// centre.
#[googletest::test]
fn lessors_are_in_different_data_centres() {
    let table = fleet(60, 4);
    for s in &table.sessions {
        let lessors =
            lessor_selection::select_lessors(&table, Location::from(s), &[], 2, |_| false);
        let mut data_centres: Vec<_> = lessors
            .iter()
            .filter_map(|id| table.session(*id))
            .map(|l| l.data_centre.as_str())
            .collect();
        data_centres.push(&s.data_centre);
        data_centres.sort_unstable();
        expect_that!(data_centres, eq(&vec!["a", "b", "c"]), "{}", s.id);
    }
}

/// Guards against an uneven assignment of unassigned shards, and against moving shards that are
/// assigned.
#[googletest::test]
fn unassigned_shards_go_to_least_loaded_targets() {
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
    let pairs = table.services[0]
        .shards
        .iter()
        .zip(&next.services[0].shards);
    let moved = pairs.filter(|(x, y)| x.owner != y.owner).count();
    expect_that!(moved, eq(16));
}

/// Guards against a session with so many lessees that its heartbeats exceed the budget of 11 KB/s.
/// A lessor–lessee pair costs about 716 B/s on each side, which allows 13 lessees beside the
/// session's own two lessors.
#[googletest::test]
fn lessees_are_balanced_in_large_fleet() {
    const MAX_LESSEES: usize = 13;
    let locations = [(0, 0), (0, 1), (0, 2), (1, 3), (1, 4), (2, 5), (2, 6)];
    for first_id in [0, 10_000, 20_000] {
        let mut table = Table::default();
        for index in 0..480 {
            let (region, data_centre) = locations[index as usize % locations.len()];
            let mut joined = Session {
                id: SessionId(first_id + index),
                region: format!("r{region}"),
                data_centre: format!("d{data_centre}"),
                ..session(index)
            };
            joined.lessors =
                lessor_selection::select_lessors(&table, Location::from(&joined), &[], 2, |_| {
                    false
                });
            table.sessions.push(joined);
        }
        // Each session reconsiders its lessors once the fleet is complete.
        for index in 0..table.sessions.len() {
            if let Some(lessors) =
                lessor_selection::better_lessors(&table, &table.sessions[index], 2, |_| false)
            {
                table.sessions[index].lessors = lessors;
            }
        }
        let mut lessees = std::collections::BTreeMap::new();
        for lessor in table.sessions.iter().flat_map(|s| &s.lessors) {
            *lessees.entry(*lessor).or_insert(0) += 1;
        }
        let most = lessees.values().max().copied().unwrap_or(0);
        println!("first id {first_id}: at most {most} lessees");
        expect_that!(most, le(MAX_LESSEES));
    }
}

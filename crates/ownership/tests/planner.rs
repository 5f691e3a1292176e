//! Planner, pending moves and hot-key sketch.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::assignment;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lease::HeldShard;
use masticdeal_ownership::pending_moves::{PendingMoveSettings, PendingMoves};
use masticdeal_ownership::planner::{
    self, FleetLoad, MoveItem, PlanSettings, ServiceLoad, planner_session,
};
use masticdeal_ownership::sketch::{HotKeySketch, SketchSettings};
use masticdeal_ownership::table::{Session, Table, TargetInfo, TargetState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SHARDS: u32 = 16;

/// Creates a table with one target per capacity; session `owners[shard]` owns the shard.
fn table(capacities: &[u32], owners: &[u32]) -> Table {
    table_of(SHARDS, capacities, owners)
}

/// As [`table`], with `shard_count` shards.
fn table_of(shard_count: u32, capacities: &[u32], owners: &[u32]) -> Table {
    let mut changes = vec![Change::DeclareService {
        name: "search".into(),
        shards: shard_count,
    }];
    for (index, &capacity) in capacities.iter().enumerate() {
        let session = Session {
            id: SessionId(0),
            incarnation: index as u64,
            vm: format!("vm-{index}"),
            address: ([127, 0, 0, 1], index as u16).into(),
            region: "r".into(),
            data_centre: "a".into(),
            lessors: Vec::new(),
            term: 1,
            target: Some(TargetInfo {
                service: ServiceId(0),
                slots: 6,
                checks_grants: true,
                state: TargetState::Ready,
                capacity,
                incarnation: 0,
            }),
        };
        changes.push(Change::Join { session });
    }
    for (shard, &owner) in owners.iter().enumerate() {
        changes.push(Change::Assign {
            service: ServiceId(0),
            owner: SessionId(owner),
            shards: vec![ShardId(shard as u32)],
        });
    }
    let delta = Delta {
        to_version: 1,
        change_id: ChangeId(1),
        changes,
    };
    Table::default().apply(&delta).expect("change applies")
}

fn loads(shard_rates: &[f64], hot_keys: Vec<(u64, f64)>) -> FleetLoad {
    let shard_rates = shard_rates.to_vec();
    FleetLoad {
        services: vec![ServiceLoad {
            shard_rates,
            hot_keys,
        }],
        ..FleetLoad::default()
    }
}

/// Assigns the first half of the shards to session 0 and the second half to session 1.
fn split_owners() -> Vec<u32> {
    (0..SHARDS).map(|shard| shard / 8).collect()
}

fn plan(table: &Table, loads: &FleetLoad) -> Vec<planner::Move> {
    planner::plan(table, loads, &PlanSettings::default())
}

/// Guards against moves that interrupt requests without a gain.
#[googletest::test]
fn balanced_load_causes_no_moves() {
    let table = table(&[100, 100], &split_owners());
    expect_that!(plan(&table, &loads(&[1.0; 16], Vec::new())), is_empty());
    let mut small_imbalance = [1.0; 16];
    small_imbalance[0] = 2.0;
    expect_that!(
        plan(&table, &loads(&small_imbalance, Vec::new())),
        is_empty()
    );
}

/// Guards against moving a hot shard back and forth instead of the other shards of its owner.
#[googletest::test]
fn other_shards_move_away_from_owner_of_hot_key() {
    let table = table(&[100, 100], &split_owners());
    let mut rates = [1.0; 16];
    rates[3] = 9.0;
    let moves = plan(&table, &loads(&rates, vec![(3, 8.5)]));
    expect_that!(moves, not(is_empty()));
    for m in &moves {
        expect_that!(m.from, eq(SessionId(0)));
        let hot = matches!(m.item, MoveItem::Shard(held) if held.shard == ShardId(3));
        expect_that!(hot || matches!(m.item, MoveItem::Key(_)), eq(false));
    }
}

/// Guards against an owner that stays overloaded because its only shard contains two hot keys.
#[googletest::test]
fn two_hot_keys_of_one_shard_are_separated() {
    let mut owners = vec![1; 16];
    owners[3] = 0;
    let table = table(&[100, 100], &owners);
    let mut rates = [0.01; 16];
    rates[3] = 10.0;
    // Hash 19 is in shard 3 too.
    let moves = plan(&table, &loads(&rates, vec![(3, 5.0), (19, 4.9)]));
    let keys = moves.iter().filter(|m| matches!(m.item, MoveItem::Key(_)));
    expect_that!(keys.count(), eq(1));
}

/// Guards against targets that get equal shares regardless of their capacity.
#[googletest::test]
fn load_is_weighted_by_capacity() {
    let table = table(&[100, 300], &split_owners());
    let moves = plan(&table, &loads(&[1.0; 16], Vec::new()));
    expect_that!(moves.len(), eq(4));
    expect_that!(moves.iter().all(|m| m.from == SessionId(0)), eq(true));
}

/// Guards against a new target that gets no shards, since eight others each own only a few.
#[googletest::test]
fn new_target_gets_shards() {
    let owners: Vec<_> = (0..SHARDS).map(|shard| shard % 8).collect();
    let table = table(&[0; 9], &owners);
    let moves = plan(&table, &FleetLoad::default());
    expect_that!(moves, not(is_empty()));
    expect_that!(moves.iter().all(|m| m.to == SessionId(8)), eq(true));
}

/// Guards against a sketch that misses new hot keys because it keeps old ones. A fifth of the
/// requests go to 18 hot keys, the others follow a Zipf distribution. Every two half-lives (20 s)
/// the hot keys change; before each change, all of them must have been found.
#[googletest::test]
fn sketch_finds_hot_keys_after_they_change() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut sketch = HotKeySketch::new(SketchSettings::default());
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        let hot: BTreeSet<u64> = (0..18)
            .map(|_| rng.random_range(1 << 40..u64::MAX))
            .collect();
        let hot_list: Vec<_> = hot.iter().copied().collect();
        for _ in 0..40_000 {
            now += Duration::from_micros(500);
            let key = match rng.random_bool(0.2) {
                true => hot_list[rng.random_range(0..18)],
                // Zipf distribution with exponent 1 over a million keys, by inverse transform
                // sampling. The harmonic sum is approximated by the logarithm.
                false => 1_000_000f64.powf(rng.random_range(0.0..1.0)) as u64 + 1_000,
            };
            sketch.record(now, key);
        }
        let found: BTreeSet<u64> = sketch.hottest(now, 36).iter().map(|(k, _)| *k).collect();
        expect_that!(hot.difference(&found).count(), eq(0));
        expect_that!(sketch.len(), le(512));
    }
}

fn planned_move(shard: u32, from: u32, to: u32) -> planner::Move {
    planner::Move {
        service: ServiceId(0),
        item: MoveItem::Shard(HeldShard {
            service: ServiceId(0),
            shard: ShardId(shard),
            epoch: Epoch(1),
        }),
        from: SessionId(from),
        to: SessionId(to),
        gain: 0.1,
    }
}

/// Guards against a period without a planner after the loss of one. The next oldest session takes
/// over as soon as the table no longer contains the planner's session.
#[googletest::test]
fn oldest_session_is_planner() {
    let all = table(&[100, 100], &split_owners());
    expect_that!(planner_session(&all), some(eq(SessionId(0))));
    let end = Delta {
        to_version: 2,
        change_id: ChangeId(2),
        changes: vec![Change::End {
            session: SessionId(0),
            term: 1,
            cause: masticdeal_ownership::change::EndCause::Left,
        }],
    };
    let remaining = all.apply(&end).expect("end applies");
    expect_that!(planner_session(&remaining), some(eq(SessionId(1))));
    expect_that!(planner_session(&Table::default()), none());
}

/// Guards against rounds that are spent on a stalled owner. An owner that is cut off from the
/// platform's store accepts each move and starts none, while the second busiest target could give
/// shards away.
#[googletest::test]
fn stalled_owner_is_skipped_until_backoff_ends() {
    let owners: Vec<u32> = (0..SHARDS).map(|shard| shard / 6).collect();
    let table = table(&[100, 100, 100], &owners);
    let rates: Vec<f64> = (0..SHARDS)
        .map(|shard| [6.0, 4.5, 0.1][shard as usize / 6])
        .collect();
    let mut loads = loads(&rates, Vec::new());
    let settings = PendingMoveSettings::default();
    let mut pending_moves = PendingMoves::new(settings.clone());
    let plan = |loads: &FleetLoad| {
        let settings = PlanSettings {
            moves_per_round: 2,
            ..PlanSettings::default()
        };
        planner::plan(&table, loads, &settings)
    };
    let first_moves = plan(&loads);
    expect_that!(first_moves.iter().all(|m| m.from == SessionId(0)), eq(true));
    first_moves
        .iter()
        .for_each(|m| pending_moves.record(Duration::ZERO, m));
    expect_that!(
        pending_moves.reconcile(settings.timeout / 2, &table),
        is_empty()
    );
    expect_that!(
        pending_moves.reconcile(settings.timeout, &table),
        elements_are![eq(&SessionId(0))]
    );
    loads.stalled = pending_moves.stalled().collect();
    let next_moves = plan(&loads);
    expect_that!(next_moves, not(is_empty()));
    expect_that!(next_moves.iter().all(|m| m.from == SessionId(1)), eq(true));
    pending_moves.reconcile(settings.timeout + settings.backoff, &table);
    expect_that!(pending_moves.stalled().count(), eq(0));
}

/// Guards against treating a slow owner as stalled. An owner that has carried out one of two moves
/// within the time-out is not stalled.
#[googletest::test]
fn owner_that_completes_a_move_is_not_stalled() {
    let settings = PendingMoveSettings::default();
    let mut pending_moves = PendingMoves::new(settings.clone());
    pending_moves.record(Duration::ZERO, &planned_move(0, 0, 1));
    pending_moves.record(Duration::ZERO, &planned_move(1, 0, 1));
    let moved = Delta {
        to_version: 2,
        change_id: ChangeId(2),
        changes: vec![Change::Move {
            service: ServiceId(0),
            shard: ShardId(0),
            epoch: Epoch(1),
            from: SessionId(0),
            to: SessionId(1),
        }],
    };
    let table = table(&[100, 100], &split_owners())
        .apply(&moved)
        .expect("move applies");
    expect_that!(
        pending_moves.reconcile(settings.timeout, &table),
        is_empty()
    );
}

/// Guards against shards that are not granted because a grant reply lists a limited number of
/// ranges. A target with too many ranges loses isolated shards, even when the load is balanced.
#[googletest::test]
fn isolated_shards_move_away_from_target_with_too_many_ranges() {
    let owner = |shard: u32| if shard < 8 { 1 + shard % 2 } else { 0 };
    let owners: Vec<u32> = (0..SHARDS).map(owner).collect();
    let table = table(&[100, 100, 100], &owners);
    let rates: Vec<f64> = owners
        .iter()
        .map(|o| [1.0, 2.0, 2.0][*o as usize])
        .collect();
    let settings = PlanSettings {
        max_ranges: 3,
        ..PlanSettings::default()
    };
    let moves = planner::plan(&table, &loads(&rates, Vec::new()), &settings);
    let from_to: Vec<_> = moves.iter().map(|m| (m.from.0, m.to.0)).collect();
    expect_that!(from_to, elements_are![eq(&(1, 0)), eq(&(2, 0))]);
}

/// Guards against adjacent hot keys that belong to a few targets of a large fleet. During a hot spell
/// at the users' large site, 200 adjacent keys of 65,536 got 44% of the requests for 108 targets.
#[gtest]
fn adjacent_hot_keys_belong_to_many_targets_of_a_large_fleet() {
    struct Case {
        targets: usize,
        shards: u32,
        min_owners: usize,
    }
    let cases = [
        Case {
            targets: 39,
            shards: 2_048,
            min_owners: 6,
        },
        Case {
            targets: 108,
            shards: 4_096,
            min_owners: 12,
        },
    ];
    for case in &cases {
        let unassigned = table_of(case.shards, &vec![0; case.targets], &[]);
        let changes = assignment::assign_shards(&unassigned, |_| false, |_| false);
        let delta = Delta {
            to_version: 2,
            change_id: ChangeId(2),
            changes,
        };
        let assigned = unassigned.apply(&delta).expect("assignment applies");
        let shards = &assigned.services[0].shards;
        let keys_per_shard = 65_536 / case.shards as usize;
        for first_key in (0..65_536 - 200).step_by(997) {
            let hot = first_key / keys_per_shard..=(first_key + 199) / keys_per_shard;
            let owners: BTreeSet<_> = shards[hot].iter().map(|s| s.owner).collect();
            expect_that!(
                owners.len(),
                ge(case.min_owners),
                "{} targets",
                case.targets
            );
        }
    }
}

/// Guards against a fleet that is planned by slots, as if all targets were equally fast, because a
/// target that has just joined is not measured yet.
#[gtest]
fn unmeasured_target_does_not_hide_the_capacities_of_the_others() {
    // The last target has joined and has no shards; the second one is three times as fast.
    let owners: Vec<u32> = (0..SHARDS).map(|shard| shard % 3).collect();
    let table = table(&[0, 0, 0, 0], &owners);
    let capacities = [(0, 10.0), (1, 30.0), (2, 10.0)];
    let loads = FleetLoad {
        services: vec![ServiceLoad {
            shard_rates: vec![2.0; SHARDS as usize],
            hot_keys: Vec::new(),
        }],
        capacities: capacities.map(|(id, rate)| (SessionId(id), rate)).into(),
        ..FleetLoad::default()
    };
    let settings = PlanSettings {
        moves_per_round: 16,
        ..PlanSettings::default()
    };
    let moves = planner::plan(&table, &loads, &settings);
    let from = |id| moves.iter().filter(|m| m.from == SessionId(id)).count();
    let to = |id| moves.iter().filter(|m| m.to == SessionId(id)).count();
    expect_that!(from(1), eq(0), "the fast target keeps its shards");
    expect_that!(to(3), gt(0), "the target that has joined gets shards");
    expect_that!(to(1), gt(0), "slow targets give shards to the fast one");
}

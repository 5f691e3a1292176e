//! The planner's choices and the hot-key sketch.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
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

/// A table with one target per capacity; `owners[shard]` owns the shard.
fn table(capacities: &[u32], owners: &[u32]) -> Table {
    let mut changes = vec![Change::DeclareService {
        name: "search".into(),
        shards: SHARDS,
    }];
    for (at, &capacity) in capacities.iter().enumerate() {
        let session = Session {
            id: SessionId(0),
            incarnation: at as u64,
            vm: format!("vm-{at}"),
            address: ([127, 0, 0, 1], at as u16).into(),
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
    Table::default().apply(&delta).expect("change fits")
}

fn loads(shards: &[f64], hot: Vec<(u64, f64)>) -> FleetLoad {
    let shards = shards.to_vec();
    FleetLoad {
        services: vec![ServiceLoad {
            shard_rates: shards,
            hot_keys: hot,
        }],
        ..FleetLoad::default()
    }
}

/// Half the shards each.
fn halves() -> Vec<u32> {
    (0..SHARDS).map(|shard| shard / 8).collect()
}

fn plan(table: &Table, loads: &FleetLoad) -> Vec<planner::Move> {
    planner::plan(table, loads, &PlanSettings::default())
}

/// Guards against moves that cost requests and gain nothing.
#[googletest::test]
fn an_even_load_is_left_alone() {
    let table = table(&[100, 100], &halves());
    expect_that!(plan(&table, &loads(&[1.0; 16], Vec::new())), is_empty());
    let mut slight = [1.0; 16];
    slight[0] = 2.0;
    expect_that!(plan(&table, &loads(&slight, Vec::new())), is_empty());
}

/// Guards against a plan that moves the hot shard to and fro instead of making room beside it.
#[googletest::test]
fn the_owner_of_a_hot_key_sheds_its_other_shards() {
    let table = table(&[100, 100], &halves());
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

/// Guards against an owner that stays overloaded because it has nothing else to shed.
#[googletest::test]
fn two_hot_keys_of_one_shard_are_parted() {
    let mut owners = vec![1; 16];
    owners[3] = 0;
    let table = table(&[100, 100], &owners);
    let mut rates = [0.01; 16];
    rates[3] = 10.0;
    let moves = plan(&table, &loads(&rates, vec![(3, 5.0), (19, 4.9)]));
    let keys = moves.iter().filter(|m| matches!(m.item, MoveItem::Key(_)));
    expect_that!(keys.count(), eq(1));
}

/// Guards against targets that are loaded by count and not by their speed.
#[googletest::test]
fn capacity_weighs_the_load() {
    let table = table(&[100, 300], &halves());
    let moves = plan(&table, &loads(&[1.0; 16], Vec::new()));
    expect_that!(moves.len(), eq(4));
    expect_that!(moves.iter().all(|m| m.from == SessionId(0)), eq(true));
}

/// Guards against a new target that stays empty among many.
#[googletest::test]
fn a_new_target_gets_shards() {
    let owners: Vec<_> = (0..SHARDS).map(|shard| shard % 8).collect();
    let table = table(&[0; 9], &owners);
    let moves = plan(&table, &FleetLoad::default());
    expect_that!(moves, not(is_empty()));
    expect_that!(moves.iter().all(|m| m.to == SessionId(8)), eq(true));
}

/// Guards against a sketch that misses hot keys or keeps old ones: 18 keys take a fifth of a Zipf
/// stream and change, and all must be found 20 s (two half-lives) later.
#[googletest::test]
fn the_sketch_finds_hot_keys_after_they_change() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut sketch = HotKeySketch::new(SketchSettings::default());
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        let hot: BTreeSet<u64> = (0..18)
            .map(|_| rng.random_range(1 << 40..u64::MAX))
            .collect();
        let list: Vec<_> = hot.iter().copied().collect();
        for _ in 0..40_000 {
            now += Duration::from_micros(500);
            let key = match rng.random_bool(0.2) {
                true => list[rng.random_range(0..18)],
                // Zipf with exponent 1 over a million keys, by inversion of its logarithmic sum.
                false => 1_000_000f64.powf(rng.random_range(0.0..1.0)) as u64 + 1_000,
            };
            sketch.record(now, key);
        }
        let found: BTreeSet<u64> = sketch.hottest(now, 36).iter().map(|(k, _)| *k).collect();
        expect_that!(hot.difference(&found).count(), eq(0));
        expect_that!(sketch.len(), le(512));
    }
}

fn move_of(shard: u32, from: u32, to: u32) -> planner::Move {
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

/// Guards against a fleet that nobody plans for while a lost planner's lease at the platform runs out:
/// the next oldest member takes over with the table that ends the session.
#[googletest::test]
fn the_oldest_member_plans() {
    let all = table(&[100, 100], &halves());
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
    let rest = all.apply(&end).expect("end fits");
    expect_that!(planner_session(&rest), some(eq(SessionId(1))));
    expect_that!(planner_session(&Table::default()), none());
}

/// Guards against rounds that are used up by an owner that is cut off from the platform's service: it
/// agrees to each move and begins none, while another target is as full.
#[googletest::test]
fn an_owner_that_begins_no_move_is_left_alone_for_a_while() {
    let owners: Vec<u32> = (0..SHARDS).map(|shard| shard / 6).collect();
    let table = table(&[100, 100, 100], &owners);
    let rates: Vec<f64> = (0..SHARDS)
        .map(|shard| [6.0, 4.5, 0.1][shard as usize / 6])
        .collect();
    let mut loads = loads(&rates, Vec::new());
    let settings = PendingMoveSettings::default();
    let mut asked = PendingMoves::new(settings.clone());
    let plan = |loads: &FleetLoad| {
        let settings = PlanSettings {
            moves_per_round: 2,
            ..PlanSettings::default()
        };
        planner::plan(&table, loads, &settings)
    };
    let busiest = plan(&loads);
    expect_that!(busiest.iter().all(|m| m.from == SessionId(0)), eq(true));
    busiest.iter().for_each(|m| asked.record(Duration::ZERO, m));
    expect_that!(asked.reconcile(settings.timeout / 2, &table), is_empty());
    expect_that!(
        asked.reconcile(settings.timeout, &table),
        elements_are![eq(&SessionId(0))]
    );
    loads.stalled = asked.stalled().collect();
    let next = plan(&loads);
    expect_that!(next, not(is_empty()));
    expect_that!(next.iter().all(|m| m.from == SessionId(1)), eq(true));
    asked.reconcile(settings.timeout + settings.backoff, &table);
    expect_that!(asked.stalled().count(), eq(0));
}

/// Guards against an owner that is left alone although it carries its moves out, only slowly.
#[googletest::test]
fn an_owner_that_moves_something_is_not_left_alone() {
    let settings = PendingMoveSettings::default();
    let mut asked = PendingMoves::new(settings.clone());
    asked.record(Duration::ZERO, &move_of(0, 0, 1));
    asked.record(Duration::ZERO, &move_of(1, 0, 1));
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
    let table = table(&[100, 100], &halves())
        .apply(&moved)
        .expect("move fits");
    expect_that!(asked.reconcile(settings.timeout, &table), is_empty());
}

/// Guards against shards that are granted to nobody, because they are left out of an answer that is full:
/// a target that owns too many runs gives single shards up, however even the load is.
#[googletest::test]
fn a_target_with_too_many_runs_sheds_single_shards() {
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
    let ends: Vec<_> = moves.iter().map(|m| (m.from.0, m.to.0)).collect();
    expect_that!(ends, elements_are![eq(&(1, 0)), eq(&(2, 0))]);
}

//! The planner's choices and the hot-key sketch.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, ServiceId, SessionId, ShardId};
use masticdeal_ownership::planner::{self, Load, Loads, PlanSettings, ServiceLoad};
use masticdeal_ownership::sketch::{HotKeys, SketchSettings};
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
                life: 0,
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
        to: 1,
        change_id: ChangeId(1),
        changes,
    };
    Table::default().apply(&delta).expect("change fits")
}

fn loads(shards: &[f64], hot: Vec<(u64, f64)>) -> Loads {
    let shards = shards.to_vec();
    Loads {
        services: vec![ServiceLoad { shards, hot }],
        ..Loads::default()
    }
}

/// Half the shards each.
fn halves() -> Vec<u32> {
    (0..SHARDS).map(|shard| shard / 8).collect()
}

fn plan(table: &Table, loads: &Loads) -> Vec<planner::Move> {
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
        let hot = matches!(m.load, Load::Shard(held) if held.shard == ShardId(3));
        expect_that!(hot || matches!(m.load, Load::Key(_)), eq(false));
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
    let keys = moves.iter().filter(|m| matches!(m.load, Load::Key(_)));
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
    let moves = plan(&table, &Loads::default());
    expect_that!(moves, not(is_empty()));
    expect_that!(moves.iter().all(|m| m.to == SessionId(8)), eq(true));
}

/// Guards against a sketch that misses hot keys or keeps old ones: 18 keys take a fifth of a Zipf
/// stream and change, and all must be found 20 s (two half-lives) later.
#[googletest::test]
fn the_sketch_finds_hot_keys_after_they_change() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut sketch = HotKeys::new(SketchSettings::default());
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

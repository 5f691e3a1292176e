//! Churn against imbalance of the planner, as CSV on standard output and as SVG in the file that
//! the first argument names.
//!
//! Keys follow a Zipf law; besides, 18 hot keys carry half of the load and change every two
//! minutes. Shard rates and hot keys are measured from sampled requests, as a daemon measures them.

use std::fmt::Write as _;
use std::time::Duration;

use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, ServiceId, SessionId, shard_of};
use masticdeal_ownership::planner::{self, FleetLoad, MoveItem, PlanSettings, ServiceLoad};
use masticdeal_ownership::sketch::{HotKeySketch, SketchSettings};
use masticdeal_ownership::table::{Session, Table, TargetInfo, TargetState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TARGETS: u32 = 12;
const SHARDS: u32 = 512;
const KEYS: usize = 100_000;
const HOT_KEYS: usize = 18;
const HOT_SHARE: f64 = 0.5;
const ROUNDS: u64 = 300;
const ROUND_LENGTH: Duration = Duration::from_secs(2);
const ROUNDS_PER_CHANGE: u64 = 60;
const SAMPLES: usize = 10_000;

/// Results of one setting, means over the seeds.
#[derive(Debug, Default)]
struct Point {
    moves: f64,
    keys: f64,
    mean: f64,
    p99: f64,
}

/// The load: cumulative Zipf weights and the hot keys of the moment.
struct Demand {
    cumulative: Vec<f64>,
    hot: Vec<u64>,
    rng: SmallRng,
}

impl Demand {
    fn new(seed: u64) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=KEYS)
            .map(|rank| {
                sum += 1.0 / rank as f64;
                sum
            })
            .collect();
        let mut demand = Self {
            cumulative,
            hot: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        demand.replace_hot_keys();
        demand
    }

    fn replace_hot_keys(&mut self) {
        let rng = &mut self.rng;
        self.hot = (0..HOT_KEYS)
            .map(|_| rng.random_range(0..u64::MAX))
            .collect();
    }

    fn sample_key(&mut self) -> u64 {
        if self.rng.random_bool(HOT_SHARE) {
            return self.hot[self.rng.random_range(0..HOT_KEYS)];
        }
        let total = self.cumulative[KEYS - 1];
        let at = self.rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|c| *c < at) as u64;
        // Spreads the ranks over the hash space.
        (rank + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// True load per shard, with overridden keys apart, as shares of the whole.
    fn true_load(&self, table: &Table) -> ServiceLoad {
        let total = self.cumulative[KEYS - 1];
        let mut load = ServiceLoad {
            shard_rates: vec![0.0; SHARDS as usize],
            hot_keys: Vec::new(),
        };
        let overrides = &table.services[0].overrides;
        let mut add = |key: u64, rate: f64| {
            if overrides.iter().any(|o| o.key_hash == key) {
                load.hot_keys.push((key, rate));
            } else {
                load.shard_rates[shard_of(key, SHARDS).index()] += rate;
            }
        };
        for rank in 0..KEYS as u64 {
            let key = (rank + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            add(key, (1.0 - HOT_SHARE) / (rank + 1) as f64 / total);
        }
        for key in &self.hot {
            add(*key, HOT_SHARE / HOT_KEYS as f64);
        }
        load
    }
}

/// Twelve targets of three speeds, 1:2:4, with shards spread by capacity.
fn table() -> Table {
    let target = |at: u32| TargetInfo {
        service: ServiceId(0),
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: [100, 200, 400][at as usize % 3],
        incarnation: 0,
    };
    let session = |at: u32| Session {
        id: SessionId(at),
        incarnation: u64::from(at),
        vm: format!("vm-{at}"),
        address: ([127, 0, 0, 1], 1000 + at as u16).into(),
        region: "r".into(),
        data_centre: format!("dc-{}", at % 3),
        lessors: Vec::new(),
        term: 1,
        target: None,
    };
    let declare = Change::DeclareService {
        name: "search".into(),
        shards: SHARDS,
    };
    let mut changes = vec![declare];
    for at in 0..TARGETS {
        let (session, target) = (session(at), Some(target(at)));
        changes.push(Change::Join { session });
        changes.push(Change::SetTarget {
            session: SessionId(at),
            target,
        });
    }
    let table = apply(&Table::default(), changes);
    let assign = masticdeal_ownership::assignment::assign_shards(&table, |_| false, |_| false);
    apply(&table, assign)
}

fn apply(table: &Table, changes: Vec<Change>) -> Table {
    let delta = Delta {
        to_version: table.version + 1,
        change_id: ChangeId(table.version + 1),
        changes,
    };
    table.apply(&delta).expect("change fits")
}

/// Runs one setting and one seed.
fn run(settings: Option<&PlanSettings>, seed: u64) -> (u64, u64, Vec<f64>) {
    let mut demand = Demand::new(seed);
    let mut table = table();
    let mut sketch = HotKeySketch::new(SketchSettings::default());
    let mut measured = vec![0.0; SHARDS as usize];
    let (mut moves, mut keys) = (0, 0);
    let mut levels = Vec::new();
    let mut true_load = demand.true_load(&table);
    for round in 0..ROUNDS {
        if round > 0 && round % ROUNDS_PER_CHANGE == 0 {
            demand.replace_hot_keys();
            true_load = demand.true_load(&table);
        }
        let now = ROUND_LENGTH * round as u32;
        measured.iter_mut().for_each(|rate| *rate *= 0.7);
        for _ in 0..SAMPLES {
            let key = demand.sample_key();
            sketch.record(now, key);
            if !table.services[0]
                .overrides
                .iter()
                .any(|o| o.key_hash == key)
            {
                measured[shard_of(key, SHARDS).index()] += 0.3 / ROUND_LENGTH.as_secs_f64();
            }
        }
        let level = planner::imbalance(&table, ServiceId(0), &true_load);
        levels.push(1.0 + level);
        let Some(settings) = settings else { continue };
        let load = ServiceLoad {
            shard_rates: measured.clone(),
            hot_keys: sketch.hottest(now, 2 * HOT_KEYS),
        };
        let services = vec![load];
        let changes: Vec<_> = planner::plan(
            &table,
            &FleetLoad {
                services,
                ..FleetLoad::default()
            },
            settings,
        )
        .iter()
        .map(|m| change_for(&table, m))
        .collect();
        if changes.is_empty() {
            continue;
        }
        let key = |c: &&Change| matches!(c, Change::Override { .. });
        let single = changes.iter().filter(key).count() as u64;
        keys += single;
        moves += changes.len() as u64 - single;
        table = apply(&table, changes);
        true_load = demand.true_load(&table);
    }
    (moves, keys, levels)
}

fn change_for(table: &Table, planned: &planner::Move) -> Change {
    match planned.item {
        MoveItem::Shard(held) => Change::Move {
            service: held.service,
            shard: held.shard,
            from: planned.from,
            epoch: held.epoch,
            to: planned.to,
        },
        MoveItem::Key(key_hash) => {
            let shard = table.services[0].shard_of(key_hash);
            Change::Override {
                service: planned.service,
                key_hash,
                from: Some((planned.from, shard.epoch)),
                to: Some(planned.to),
            }
        }
    }
}

fn point(settings: Option<&PlanSettings>, seeds: u64) -> Point {
    let mut point = Point::default();
    for seed in 0..seeds {
        let (moves, keys, mut levels) = run(settings, seed);
        let minutes = ROUND_LENGTH.as_secs_f64() * ROUNDS as f64 / 60.0;
        point.moves += moves as f64 / minutes / seeds as f64;
        point.keys += keys as f64 / minutes / seeds as f64;
        point.mean += levels.iter().sum::<f64>() / levels.len() as f64 / seeds as f64;
        levels.sort_by(f64::total_cmp);
        point.p99 += levels[levels.len() * 99 / 100] / seeds as f64;
    }
    point
}

fn svg(curves: &[(String, Vec<Point>)], unplanned: f64) -> String {
    let all_points = curves.iter().flat_map(|(_, points)| points);
    let (mut width, mut low, mut high) = (1.0f64, f64::MAX, unplanned);
    for p in all_points {
        width = width.max(p.moves + p.keys);
        low = low.min(p.mean);
        high = high.max(p.mean);
    }
    let x = |v: f64| 60.0 + 520.0 * v / width;
    let y = |v: f64| 350.0 - 320.0 * (v - low) / (high - low).max(0.01);
    let mut out = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"400\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"640\" height=\"400\" fill=\"white\"/>\n\
         <path d=\"M60 30V350H580\" fill=\"none\" stroke=\"black\"/>\n\
         <text x=\"220\" y=\"385\">shards and keys moved per minute</text>\n\
         <text x=\"10\" y=\"20\">mean of max/mean load</text>\n",
    );
    for v in [low, high] {
        let _ = writeln!(out, "<text x=\"15\" y=\"{:.0}\">{v:.2}</text>", y(v) + 4.0);
    }
    for share in [0.0, 0.5, 1.0] {
        let v = width * share;
        let _ = writeln!(out, "<text x=\"{:.0}\" y=\"366\">{v:.0}</text>", x(v));
    }
    let colours = ["#1b6ca8", "#d1495b", "#3a7d44", "#8e6c8a"];
    for (at, (name, points)) in curves.iter().enumerate() {
        let colour = colours[at % colours.len()];
        let mut line = String::new();
        for p in points {
            let _ = write!(line, "{:.1},{:.1} ", x(p.moves + p.keys), y(p.mean));
        }
        let _ = writeln!(
            out,
            "<polyline points=\"{line}\" fill=\"none\" stroke=\"{colour}\"/>\n\
             <text x=\"440\" y=\"{}\" fill=\"{colour}\">{name}</text>",
            50 + 18 * at
        );
    }
    out + "</svg>\n"
}

fn main() {
    let file = std::env::args().nth(1);
    let seeds = 3;
    println!(
        "moves_per_round,overrides,tolerance,shards_per_min,keys_per_min,mean_max_over_mean,p99_max_over_mean"
    );
    let unplanned = point(None, seeds);
    println!("0,no,-,0,0,{:.3},{:.3}", unplanned.mean, unplanned.p99);
    let mut curves = Vec::new();
    for (moves_per_round, overrides) in [(4, false), (1, true), (4, true), (16, true)] {
        let mut points = Vec::new();
        for tolerance in [0.05, 0.1, 0.15, 0.2, 0.3, 0.5] {
            let settings = PlanSettings {
                moves_per_round,
                allow_overrides: overrides,
                tolerance,
                stop_tolerance: tolerance / 3.0,
                ..PlanSettings::default()
            };
            let p = point(Some(&settings), seeds);
            let overrides_column = if overrides { "yes" } else { "no" };
            println!(
                "{moves_per_round},{overrides_column},{tolerance},{:.1},{:.1},{:.3},{:.3}",
                p.moves, p.keys, p.mean, p.p99
            );
            points.push(p);
        }
        let with = if overrides { "with" } else { "without" };
        let name = format!("{moves_per_round} per round, {with} key moves");
        curves.push((name, points));
    }
    if let Some(file) = file {
        std::fs::write(file, svg(&curves, unplanned.mean)).expect("SVG is written");
    }
}

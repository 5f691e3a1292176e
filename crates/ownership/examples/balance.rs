//! Measures, for various settings of the planner, how many moves it makes and which imbalance
//! remains. Prints CSV to standard output and writes an SVG to the file named by the first
//! argument.
//!
//! Keys follow a Zipf distribution. In addition, 18 hot keys carry half of the load and are
//! replaced every two minutes. The planner gets shard rates and hot keys measured from sampled
//! requests. The shard rates are smoothed over the rounds.

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
const ROUNDS_PER_HOT_KEY_SET: u64 = 60;
const SAMPLES: usize = 10_000;

/// Results of one setting, averaged over the seeds: shards and keys moved per minute, and mean and
/// 99th percentile over the rounds of the ratio of maximum to mean load. Loads are relative to the
/// capacities of the targets.
#[derive(Debug, Default)]
struct Point {
    moves: f64,
    keys: f64,
    mean: f64,
    p99: f64,
}

/// The offered load: cumulative Zipf weights and the current hot keys.
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
        let weight = self.rng.random_range(0.0..total);
        let rank = self.cumulative.partition_point(|c| *c < weight) as u64;
        // Distributes the ranks over the hash space.
        (rank + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// Returns the true load per shard, with overridden keys listed separately, as fractions of the
    /// total load.
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

/// Creates a table with twelve targets, whose capacities are in the ratio 1:2:4, and with the
/// shards assigned by capacity.
fn table() -> Table {
    let target = |n: u32| TargetInfo {
        service: ServiceId(0),
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: [100, 200, 400][n as usize % 3],
        incarnation: 0,
    };
    let session = |n: u32| Session {
        id: SessionId(n),
        incarnation: u64::from(n),
        vm: format!("vm-{n}"),
        address: ([127, 0, 0, 1], 1000 + n as u16).into(),
        region: "r".into(),
        data_centre: format!("dc-{}", n % 3),
        lessors: Vec::new(),
        term: 1,
        target: None,
    };
    let declare = Change::DeclareService {
        name: "search".into(),
        shards: SHARDS,
    };
    let mut changes = vec![declare];
    for n in 0..TARGETS {
        let (session, target) = (session(n), Some(target(n)));
        changes.push(Change::Join { session });
        changes.push(Change::SetTarget {
            session: SessionId(n),
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
    table.apply(&delta).expect("change applies")
}

/// Runs one setting, or no planner if it is `None`, with one seed. Returns the number of moved
/// shards, the number of moved keys and the ratio of maximum to mean load in each round.
fn run(settings: Option<&PlanSettings>, seed: u64) -> (u64, u64, Vec<f64>) {
    let mut demand = Demand::new(seed);
    let mut table = table();
    let mut sketch = HotKeySketch::new(SketchSettings::default());
    let mut measured = vec![0.0; SHARDS as usize];
    let (mut moves, mut keys) = (0, 0);
    let mut load_ratios = Vec::new();
    let mut true_load = demand.true_load(&table);
    for round in 0..ROUNDS {
        if round > 0 && round % ROUNDS_PER_HOT_KEY_SET == 0 {
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
        let imbalance = planner::imbalance(&table, ServiceId(0), &true_load);
        load_ratios.push(1.0 + imbalance);
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
        let is_override = |c: &&Change| matches!(c, Change::Override { .. });
        let key_moves = changes.iter().filter(is_override).count() as u64;
        keys += key_moves;
        moves += changes.len() as u64 - key_moves;
        table = apply(&table, changes);
        true_load = demand.true_load(&table);
    }
    (moves, keys, load_ratios)
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

/// Runs one setting, or no planner if it is `None`, with all seeds.
fn measure(settings: Option<&PlanSettings>, seeds: u64) -> Point {
    let mut point = Point::default();
    for seed in 0..seeds {
        let (moves, keys, mut load_ratios) = run(settings, seed);
        let minutes = ROUND_LENGTH.as_secs_f64() * ROUNDS as f64 / 60.0;
        point.moves += moves as f64 / minutes / seeds as f64;
        point.keys += keys as f64 / minutes / seeds as f64;
        point.mean += load_ratios.iter().sum::<f64>() / load_ratios.len() as f64 / seeds as f64;
        load_ratios.sort_by(f64::total_cmp);
        point.p99 += load_ratios[load_ratios.len() * 99 / 100] / seeds as f64;
    }
    point
}

/// Plots the mean ratio against the moves per minute, one line per curve. `mean_without_planner`
/// extends the axis of the ratio.
fn svg(curves: &[(String, Vec<Point>)], mean_without_planner: f64) -> String {
    let all_points = curves.iter().flat_map(|(_, points)| points);
    let (mut max_moves, mut min_mean, mut max_mean) = (1.0f64, f64::MAX, mean_without_planner);
    for p in all_points {
        max_moves = max_moves.max(p.moves + p.keys);
        min_mean = min_mean.min(p.mean);
        max_mean = max_mean.max(p.mean);
    }
    let x = |v: f64| 60.0 + 520.0 * v / max_moves;
    let y = |v: f64| 350.0 - 320.0 * (v - min_mean) / (max_mean - min_mean).max(0.01);
    let mut out = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"400\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"640\" height=\"400\" fill=\"white\"/>\n\
         <path d=\"M60 30V350H580\" fill=\"none\" stroke=\"black\"/>\n\
         <text x=\"220\" y=\"385\">shards and keys moved per minute</text>\n\
         <text x=\"10\" y=\"20\">mean of max/mean load</text>\n",
    );
    for v in [min_mean, max_mean] {
        let _ = writeln!(out, "<text x=\"15\" y=\"{:.0}\">{v:.2}</text>", y(v) + 4.0);
    }
    for share in [0.0, 0.5, 1.0] {
        let v = max_moves * share;
        let _ = writeln!(out, "<text x=\"{:.0}\" y=\"366\">{v:.0}</text>", x(v));
    }
    let colours = ["#1b6ca8", "#d1495b", "#3a7d44", "#8e6c8a"];
    for (index, (name, points)) in curves.iter().enumerate() {
        let colour = colours[index % colours.len()];
        let mut line = String::new();
        for p in points {
            let _ = write!(line, "{:.1},{:.1} ", x(p.moves + p.keys), y(p.mean));
        }
        let _ = writeln!(
            out,
            "<polyline points=\"{line}\" fill=\"none\" stroke=\"{colour}\"/>\n\
             <text x=\"440\" y=\"{}\" fill=\"{colour}\">{name}</text>",
            50 + 18 * index
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
    let without_planner = measure(None, seeds);
    println!(
        "0,no,-,0,0,{:.3},{:.3}",
        without_planner.mean, without_planner.p99
    );
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
            let p = measure(Some(&settings), seeds);
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
        std::fs::write(file, svg(&curves, without_planner.mean)).expect("SVG is written");
    }
}

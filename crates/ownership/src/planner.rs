//! Plans moves that balance the load.
//!
//! A plan contains few moves. Each one goes from the target with the highest load relative to its
//! capacity to the one with the lowest, and only while that lowers the peak load. If the most
//! loaded target owns a hot key, its other shards are moved first: moving the hot shard would only
//! move the peak, so the hot shard is chosen only if no other shard helps. If no shard helps, the
//! hottest key gets a separate owner.

mod ranges;

use std::collections::{BTreeMap, BTreeSet};

use crate::assignment;
use crate::ids::{Epoch, ServiceId, SessionId, ShardId, shard_of};
use crate::lease::{HeldShard, override_shard};
use crate::table::{MAX_OVERRIDES, Service, Table};

/// Measured load of all services, indexed by [`ServiceId`].
#[derive(Debug, Clone, Default)]
pub struct FleetLoad {
    /// One entry per service of the table; a service without an entry counts as idle.
    pub services: Vec<ServiceLoad>,
    /// Measured capacity of each target in requests per second, by session. A target without one
    /// counts as average.
    pub capacities: BTreeMap<SessionId, f64>,
    /// Stalled owners, which do not start requested moves. Their shards stay where they are.
    pub stalled: BTreeSet<SessionId>,
}

/// Measured load of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad {
    /// Requests per second of each shard, including hot keys but not overridden keys.
    pub shard_rates: Vec<f64>,
    /// Hottest keys with their requests per second, including overridden keys.
    pub hot_keys: Vec<(u64, f64)>,
}

/// Thresholds and limits of a plan.
#[derive(Debug, Clone)]
pub struct PlanSettings {
    /// Maximum number of moves in one plan, over all services.
    pub moves_per_round: usize,
    /// Load of the busiest target above the mean, as a fraction of the mean, at which rebalancing
    /// starts.
    pub tolerance: f64,
    /// Load above the mean at which rebalancing stops. The difference to `tolerance` prevents small
    /// load changes from moving shards back and forth.
    pub stop_tolerance: f64,
    /// Fraction of the mean load below which a target counts as idle. An idle target also starts
    /// rebalancing, since a new target among many hardly changes the mean.
    pub idle_threshold: f64,
    /// Minimum gain of a move, as a fraction of the mean load. One of 512 shards on six targets
    /// carries 0.012.
    pub min_gain: f64,
    /// Fraction of its measured capacity that the busiest target must use before shards move,
    /// unless a target has no shards at all. Below it every request finds a free slot on any
    /// target, and a move only causes an interruption.
    pub min_utilisation: f64,
    /// Whether a hot key may get a separate owner.
    pub allow_overrides: bool,
    /// Maximum number of contiguous shard ranges per target. If grants list ranges, this is how
    /// many fit into the reply to a report.
    pub max_ranges: usize,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            moves_per_round: 4,
            tolerance: 0.15,
            stop_tolerance: 0.05,
            idle_threshold: 0.5,
            min_gain: 0.002,
            min_utilisation: 0.5,
            allow_overrides: true,
            max_ranges: usize::MAX,
        }
    }
}

/// The shard or key to move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveItem {
    /// A shard.
    Shard(HeldShard),
    /// A key, by its xxh3 hash.
    Key(u64),
}

/// One planned move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// The service.
    pub service: ServiceId,
    /// The shard or key to move.
    pub item: MoveItem,
    /// The current owner, which must release the item.
    pub from: SessionId,
    /// The new owner.
    pub to: SessionId,
    /// Reduction of the peak load, as a fraction of the mean load.
    pub gain: f64,
}

/// A target with its shards and its load.
#[derive(Debug)]
struct TargetLoad {
    session: SessionId,
    /// Fraction of the service's capacity.
    weight: f64,
    /// Fraction of the service's load.
    rate: f64,
    /// Shards with their epochs and loads, in ascending order until one is removed.
    shards: Vec<(ShardId, Epoch, f64)>,
    /// Number of contiguous shard ranges; an estimate once moves are planned.
    ranges: usize,
    /// Whether the owner did not start requested moves.
    stalled: bool,
}

impl TargetLoad {
    /// Returns the load relative to the capacity; 1 is the mean of the service.
    fn relative_load(&self) -> f64 {
        self.rate / self.weight
    }

    /// Adds a shard. Shards must be added in ascending order.
    fn add(&mut self, shard: ShardId, epoch: Epoch, rate: f64) {
        let follows = |(last, ..): &(ShardId, Epoch, f64)| last.0 + 1 == shard.0;
        self.ranges += usize::from(!self.shards.last().is_some_and(follows));
        self.rate += rate;
        self.shards.push((shard, epoch, rate));
    }
}

/// Returns the session that runs the planner: the oldest one. All daemons with the same table agree
/// on it, and a lost planner is replaced as soon as its session is no longer in the table. Two
/// planners with different tables do no harm, since each move is validated against the table that
/// it changes.
pub fn planner_session(table: &Table) -> Option<SessionId> {
    table.sessions.iter().map(|s| s.id).min()
}

/// Returns the moves of one round in descending order of their gain.
pub fn plan(table: &Table, loads: &FleetLoad, settings: &PlanSettings) -> Vec<Move> {
    let idle = ServiceLoad::default();
    let mut moves = Vec::new();
    for (index, service) in table.services.iter().enumerate() {
        let load = loads.services.get(index).unwrap_or(&idle);
        let id = ServiceId(index as u16);
        let weights = target_weights(table, id, &loads.capacities);
        let measured = are_most_measured(weights.iter().map(|(s, _)| *s), &loads.capacities);
        let utilisation = Utilisation {
            rate: if measured {
                total_rate(service, load)
            } else {
                0.0
            },
            capacity: weights.iter().map(|(_, w)| *w).sum(),
        };
        let mut targets = target_loads(&weights, service, load);
        targets
            .iter_mut()
            .for_each(|t| t.stalled = loads.stalled.contains(&t.session));
        plan_service(
            targets,
            id,
            service,
            load,
            (settings, &utilisation),
            &mut moves,
        );
    }
    moves.sort_by(|a, b| b.gain.total_cmp(&a.gain));
    moves.truncate(settings.moves_per_round);
    moves
}

/// Returns the highest load of a target relative to its capacity, minus the mean of 1; 0 without
/// targets.
pub fn imbalance(table: &Table, service: ServiceId, load: &ServiceLoad) -> f64 {
    let Some(known) = table.service(service) else {
        return 0.0;
    };
    let weights = target_weights(table, service, &BTreeMap::new());
    let targets = target_loads(&weights, known, load);
    targets
        .iter()
        .map(|t| t.relative_load() - 1.0)
        .fold(0.0, f64::max)
}

/// Returns whether the capacities of most targets are measured.
fn are_most_measured(
    targets: impl Iterator<Item = SessionId>,
    capacities: &BTreeMap<SessionId, f64>,
) -> bool {
    let (mut measured, mut count) = (0, 0);
    for target in targets {
        count += 1;
        measured += usize::from(capacities.get(&target) > Some(&0.0));
    }
    measured * 2 > count
}

/// Returns the ready targets of a service with their weights: the measured capacities if most are
/// known, and the weights from the table otherwise. A target that has just joined is not measured
/// yet, and must not hide what is known of the others; it gets their mean capacity per slot.
fn target_weights(
    table: &Table,
    service: ServiceId,
    capacities: &BTreeMap<SessionId, f64>,
) -> Vec<(SessionId, f64)> {
    let ready = assignment::ready_targets(table, service);
    if !are_most_measured(ready.iter().map(|(id, _)| *id), capacities) {
        return ready.iter().map(|(id, w)| (*id, f64::from(*w))).collect();
    }
    let slots = |id: SessionId| {
        let target = table.session(id).and_then(|s| s.target.as_ref());
        target.map_or(1.0, |t| f64::from(t.slots.max(1)))
    };
    let measured = |id: SessionId| capacities.get(&id).copied().filter(|c| *c > 0.0);
    let (mut capacity, mut measured_slots) = (0.0, 0.0);
    for (id, _) in &ready {
        if let Some(measured) = measured(*id) {
            capacity += measured;
            measured_slots += slots(*id);
        }
    }
    let mean_per_slot = capacity / measured_slots;
    ready
        .iter()
        .map(|(id, _)| (*id, measured(*id).unwrap_or(slots(*id) * mean_per_slot)))
        .collect()
}

/// Load and capacity of a service, both in requests per second.
#[derive(Debug, Clone, Copy)]
struct Utilisation {
    /// 0 until all capacities are measured.
    rate: f64,
    capacity: f64,
}

impl Utilisation {
    /// Returns whether a target with this relative load is below the minimum utilisation.
    fn has_headroom(&self, relative_load: f64, settings: &PlanSettings) -> bool {
        self.rate > 0.0 && relative_load * self.rate < settings.min_utilisation * self.capacity
    }
}

fn plan_service(
    mut targets: Vec<TargetLoad>,
    id: ServiceId,
    service: &Service,
    load: &ServiceLoad,
    (settings, utilisation): (&PlanSettings, &Utilisation),
    moves: &mut Vec<Move>,
) {
    if targets.len() < 2 || service.shards.is_empty() {
        return;
    }
    ranges::reduce_ranges(&mut targets, id, (service, load), settings, moves);
    if !needs_rebalancing(&targets, settings) {
        return;
    }
    let any_empty = targets.iter().any(|t| t.shards.is_empty());
    let movable = targets.iter().filter(|t| !t.stalled);
    let peak = movable.map(TargetLoad::relative_load).fold(0.0, f64::max);
    if !any_empty && utilisation.has_headroom(peak, settings) {
        return;
    }
    let mut overrides = service.overrides.len();
    for _ in 0..settings.moves_per_round {
        let Some((peak, low)) = most_and_least_loaded(&targets, settings) else {
            return;
        };
        let balanced = targets[peak].relative_load() - 1.0 <= settings.stop_tolerance;
        let idle = targets[low].relative_load() < settings.idle_threshold;
        if balanced && !idle {
            return;
        }
        let Some(planned) = best_shard(id, &targets, peak, low, settings).or_else(|| {
            best_key(
                id,
                service,
                load,
                &targets,
                (peak, low),
                overrides,
                settings,
            )
        }) else {
            return;
        };
        overrides += usize::from(matches!(planned.item, MoveItem::Key(_)));
        let to = targets.iter().position(|t| t.session == planned.to);
        apply_move(
            &mut targets,
            peak,
            to.unwrap_or(low),
            &planned,
            service,
            load,
        );
        moves.push(planned);
    }
}

/// Builds the target loads of a service, with rates as fractions of the service's total load.
fn target_loads(
    ready: &[(SessionId, f64)],
    service: &Service,
    load: &ServiceLoad,
) -> Vec<TargetLoad> {
    let capacity: f64 = ready.iter().map(|(_, w)| *w).sum();
    let total = total_rate(service, load);
    let share = |rate: f64| if total > 0.0 { rate / total } else { 0.0 };
    // Without measurements all shards count as equally loaded.
    let measured = load.shard_rates.iter().any(|rate| *rate > 0.0);
    let shard_rate = |index: usize| match measured {
        true => load.shard_rates.get(index).copied().unwrap_or(0.0),
        false => 1.0,
    };
    let mut index = BTreeMap::new();
    let mut targets = Vec::new();
    for &(session, weight) in ready {
        index.insert(session, targets.len());
        targets.push(TargetLoad {
            session,
            weight: weight / capacity,
            rate: 0.0,
            shards: Vec::new(),
            ranges: 0,
            stalled: false,
        });
    }
    for (shard_index, shard) in service.shards.iter().enumerate() {
        let owner = shard.owner.and_then(|owner| index.get(&owner));
        if let Some(&target) = owner {
            let rate = share(shard_rate(shard_index));
            targets[target].add(ShardId(shard_index as u32), shard.epoch, rate);
        }
    }
    for key_override in &service.overrides {
        let owner = key_override
            .assignment
            .owner
            .and_then(|owner| index.get(&owner));
        if let Some(&target) = owner {
            targets[target].rate += share(key_rate(load, key_override.key_hash));
        }
    }
    targets
}

fn total_rate(service: &Service, load: &ServiceLoad) -> f64 {
    let shards: f64 = load.shard_rates.iter().sum();
    if shards <= 0.0 {
        return service.shards.len() as f64;
    }
    let keys = service.overrides.iter().map(|o| key_rate(load, o.key_hash));
    shards + keys.sum::<f64>()
}

fn key_rate(load: &ServiceLoad, key_hash: u64) -> f64 {
    let hot = load.hot_keys.iter().find(|(key, _)| *key == key_hash);
    hot.map_or(0.0, |(_, rate)| *rate)
}

fn needs_rebalancing(targets: &[TargetLoad], settings: &PlanSettings) -> bool {
    let is_unbalanced = |t: &TargetLoad| {
        (t.relative_load() - 1.0 > settings.tolerance && !t.stalled)
            || t.relative_load() < settings.idle_threshold
    };
    targets.iter().any(is_unbalanced)
}

/// Returns the most loaded target that is not stalled and the least loaded one that accepts another
/// range.
fn most_and_least_loaded(
    targets: &[TargetLoad],
    settings: &PlanSettings,
) -> Option<(usize, usize)> {
    let load_of = |index: &usize| targets[*index].relative_load();
    let by_load = |a: &usize, b: &usize| load_of(a).total_cmp(&load_of(b));
    let movable = (0..targets.len()).filter(|index| !targets[*index].stalled);
    let peak = movable.max_by(by_load)?;
    let accepting = (0..targets.len()).filter(|index| targets[*index].ranges < settings.max_ranges);
    let low = accepting.min_by(by_load)?;
    (peak != low).then_some((peak, low))
}

/// Returns how much a move of `rate` from target `peak` to target `low` lowers the higher of their
/// two relative loads.
fn gain(targets: &[TargetLoad], peak: usize, low: usize, rate: f64) -> f64 {
    let (from, to) = (&targets[peak], &targets[low]);
    let after = ((from.rate - rate) / from.weight).max((to.rate + rate) / to.weight);
    from.relative_load() - after
}

/// Returns the move of a shard away from target `peak` with the best ratio of gain to cost; `None`
/// if no move reaches the minimum gain. Target `low` is preferred.
fn best_shard(
    service: ServiceId,
    targets: &[TargetLoad],
    peak: usize,
    low: usize,
    settings: &PlanSettings,
) -> Option<Move> {
    let from = &targets[peak];
    // A move interrupts the requests of its shard and costs a swap. The cost of the swap is taken
    // as the load of an average shard.
    let swap_cost = from.rate / from.shards.len().max(1) as f64;
    let best_for = |to: usize| {
        let value = |rate: f64| gain(targets, peak, to, rate) / (rate + swap_cost);
        let useful = from
            .shards
            .iter()
            .filter(|(_, _, rate)| gain(targets, peak, to, *rate) >= settings.min_gain);
        let best = useful.max_by(|a, b| value(a.2).total_cmp(&value(b.2)))?;
        Some((to, *best, value(best.2)))
    };
    // A hot shard can overload the least loaded target too. A target of higher capacity may still
    // be able to take it.
    let others =
        (0..targets.len()).filter(|to| *to != peak && targets[*to].ranges < settings.max_ranges);
    let best = best_for(low).or_else(|| {
        let all = others.filter_map(best_for);
        all.max_by(|a, b| a.2.total_cmp(&b.2))
    });
    let (to, (shard, epoch, rate), _) = best?;
    Some(Move {
        service,
        item: MoveItem::Shard(HeldShard {
            service,
            shard,
            epoch,
        }),
        from: from.session,
        to: targets[to].session,
        gain: gain(targets, peak, to, rate),
    })
}

/// Returns the move of a hot key from target `peak` to target `low` that lowers the peak load most;
/// `None` if no move reaches the minimum gain. Keys that have an override already, or whose pseudo
/// shard an overridden key has, are not considered.
fn best_key(
    id: ServiceId,
    service: &Service,
    load: &ServiceLoad,
    targets: &[TargetLoad],
    (peak, low): (usize, usize),
    overrides: usize,
    settings: &PlanSettings,
) -> Option<Move> {
    if !settings.allow_overrides || overrides >= MAX_OVERRIDES {
        return None;
    }
    let total = total_rate(service, load);
    let from = &targets[peak];
    let shards = service.shards.len() as u32;
    let is_candidate = |key: u64| {
        let shard = shard_of(key, shards);
        let overridden = service.overrides.iter().any(|o| o.key_hash == key);
        // A grant cannot distinguish two keys with the same pseudo shard.
        let same_pseudo_shard =
            |o: &crate::table::KeyOverride| override_shard(o.key_hash) == override_shard(key);
        !overridden
            && !service.overrides.iter().any(same_pseudo_shard)
            && from.shards.iter().any(|(s, ..)| *s == shard)
    };
    let keys = load.hot_keys.iter().filter(|(key, _)| is_candidate(*key));
    let gains = keys.map(|(key, rate)| (*key, gain(targets, peak, low, rate / total)));
    let (key, best) = gains.max_by(|a, b| a.1.total_cmp(&b.1))?;
    (best >= settings.min_gain).then_some(Move {
        service: id,
        item: MoveItem::Key(key),
        from: from.session,
        to: targets[low].session,
        gain: best,
    })
}

/// Updates the loads for a move from target `peak` to target `low`. The moved item is not moved
/// again in the same plan.
fn apply_move(
    targets: &mut [TargetLoad],
    peak: usize,
    low: usize,
    planned: &Move,
    service: &Service,
    load: &ServiceLoad,
) {
    let rate = match planned.item {
        MoveItem::Shard(held) => {
            let from = &mut targets[peak];
            let index = from.shards.iter().position(|(s, ..)| *s == held.shard);
            index.map_or(0.0, |index| from.shards.swap_remove(index).2)
        }
        MoveItem::Key(key) => {
            let rate = key_rate(load, key) / total_rate(service, load);
            let shard = shard_of(key, service.shards.len() as u32);
            // Creating the override drains the shard, so the shard cannot move in the same plan.
            targets[peak].shards.retain(|(s, ..)| *s != shard);
            rate
        }
    };
    targets[peak].rate -= rate;
    targets[low].rate += rate;
    targets[low].ranges += 1;
}

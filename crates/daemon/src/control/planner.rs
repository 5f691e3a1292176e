//! Plans moves while this daemon is the planner: takes the collected, plans a round, and asks the
//! owners to release.
//!
//! The owner swaps each move itself, so a planner that is paused and returns has nothing in its
//! hands that could apply late.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, shard_of};
use masticdeal_ownership::planner::{self, FleetLoad, Move, MoveItem, PlanSettings, ServiceLoad};
use masticdeal_ownership::table::{Service, Table};
use masticdeal_wire::peer::{LoadReport, MoveReason, Release, ReleaseReply};

use super::Control;
use super::load_collection::CollectedLoad;

/// Least time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(1_500);

/// Requests per second that the shards of a service count as having in all, so that shards without load
/// are spread evenly as well and a returning target gets its share before the load comes.
const BASE_RATE: f64 = 1.0;

/// Runs of neighbouring shards that a target may own when its grants are answers to its reports. Such an
/// answer has 4 KiB, and a run takes about 24 bytes; the rest is for handovers.
const MAX_RUNS: usize = 140;

/// Daemons that the planner asks per second at the most; more daemons make the rounds longer, so
/// that the planner's traffic does not grow with the fleet. A report has about 600 bytes with 34
/// shards and 18 keys, and control may take 11 KB/s.
const REQUESTS_PER_SECOND: u32 = 14;

impl Control {
    /// Plans rounds while this daemon is the planner, until the task is dropped.
    pub async fn run_planner(self: Arc<Self>) {
        let mut is_planner = self.is_planner.subscribe();
        while is_planner.wait_for(|is| *is).await.is_ok() {
            tokio::time::sleep(self.round_interval()).await;
            if *self.is_planner.borrow() {
                self.run_planner_round().await;
            }
        }
    }

    fn round_interval(&self) -> Duration {
        let sessions = self.node.table.borrow().sessions.len() as u32;
        MIN_ROUND_INTERVAL.max(Duration::from_secs(1) * sessions / REQUESTS_PER_SECOND)
    }

    async fn run_planner_round(self: &Arc<Self>) {
        let collected = self.collect_loads().await;
        let table = self.node.table.borrow().clone();
        let mut loads = loads(&table, &collected);
        self.clear_hot_keys(&mut loads);
        loads.stalled = self.stalled_owners(&table);
        let rules = self.node.deployment.borrow().1.rules.clone();
        let settings = PlanSettings {
            moves_per_round: rules.moves_per_round,
            tolerance: rules.imbalance_tolerance,
            max_ranges: match self.node.protocol.target.grants_by_report {
                true => MAX_RUNS,
                false => usize::MAX,
            },
            ..PlanSettings::default()
        };
        let moves = planner::plan(&table, &loads, &settings);
        if !moves.is_empty() {
            log_planned_moves(&table, &loads, &moves);
        }
        for planned in moves {
            self.request_planned_move(&table, &planned).await;
        }
    }

    /// Returns the owners that did not carry out what they were asked for.
    fn stalled_owners(&self, table: &Table) -> BTreeSet<SessionId> {
        let mut pending = self.pending_moves.lock().unwrap();
        for session in pending.reconcile(self.node.clock.now(), table) {
            log::warn!(session:%, table = table.version; "an owner does not begin its planned moves");
        }
        pending.stalled().collect()
    }

    /// Leaves single keys where they are when targets are granted ranges: a key falls back to its
    /// shard under the shard's epoch, which such a target does not take after that of the key.
    fn clear_hot_keys(&self, loads: &mut FleetLoad) {
        for (at, load) in loads.services.iter_mut().enumerate() {
            if self.node.range_shard_count(ServiceId(at as u16)).is_some() {
                load.hot_keys.clear();
            }
        }
    }

    async fn request_planned_move(self: &Arc<Self>, table: &Table, planned: &Move) {
        let Some(release) = release(table, planned) else {
            return;
        };
        let shard = release.shard;
        let now = self.node.clock.now();
        self.pending_moves.lock().unwrap().record(now, planned);
        let reply = self.request_release(planned.from, release).await;
        match reply {
            Some(ReleaseReply::Started) => log::info!(
                "session {} releases shard {} of service {} for session {}",
                planned.from,
                shard,
                planned.service,
                planned.to
            ),
            Some(ReleaseReply::NotOwner) | None => {
                log::info!("a planned move was not begun by session {}", planned.from);
            }
        }
    }
}

/// Writes what a round was decided on: per target that gives or takes, its requests and its capacity per
/// second.
fn log_planned_moves(table: &Table, loads: &FleetLoad, moves: &[Move]) {
    let ends: BTreeSet<SessionId> = moves.iter().flat_map(|m| [m.from, m.to]).collect();
    let rate = |id: SessionId| -> f64 {
        let services = table.services.iter().zip(&loads.services);
        let owned =
            services.flat_map(|(service, load)| service.shards.iter().zip(&load.shard_rates));
        let own = owned.filter(|(shard, _)| shard.owner == Some(id));
        own.map(|(_, rate)| rate).sum()
    };
    let targets: Vec<String> = ends
        .into_iter()
        .map(|id| {
            let capacity = loads.capacities.get(&id).copied().unwrap_or(0.0);
            format!("{id}: {:.0} of {capacity:.0}", rate(id))
        })
        .collect();
    log::info!(table = table.version, moves = moves.len(), targets = targets.join(", ").as_str();
        "moves are planned");
}

/// Returns the message by which a planned move begins.
fn release(table: &Table, planned: &Move) -> Option<Release> {
    let service = table.service(planned.service)?;
    let (shard, key_hash, epoch, reason) = match planned.item {
        MoveItem::Shard(held) => (held.shard, None, held.epoch, MoveReason::Balance),
        MoveItem::Key(hash) => {
            let shard = shard_of(hash, u32::try_from(service.shards.len()).ok()?);
            let epoch = key_epoch(service, hash);
            (shard, Some(hash), epoch, MoveReason::HotKey)
        }
    };
    Some(Release {
        service: planned.service,
        shard,
        key_hash,
        epoch,
        to: planned.to,
        reason,
    })
}

/// Returns the epoch under which a key is held: that of its override, or of its shard.
fn key_epoch(service: &Service, hash: u64) -> Epoch {
    let own = service.overrides.iter().find(|o| o.key_hash == hash);
    own.map_or(service.shard_of(hash).epoch, |o| o.assignment.epoch)
}

/// Puts the reports of all daemons together.
fn loads(table: &Table, collected: &HashMap<SessionId, CollectedLoad>) -> FleetLoad {
    let empty = |service: &Service| ServiceLoad {
        shard_rates: vec![BASE_RATE / service.shards.len().max(1) as f64; service.shards.len()],
        hot_keys: Vec::new(),
    };
    let mut services: Vec<ServiceLoad> = table.services.iter().map(empty).collect();
    for (session, reply) in collected {
        let target = table.session(*session).and_then(|s| s.target.as_ref());
        let Some(load) = target.and_then(|t| services.get_mut(t.service.index())) else {
            continue;
        };
        add(load, &reply.report);
    }
    let capacities = collected.iter().map(|(id, reply)| {
        let capacity = f64::from(reply.report.capacity);
        (*id, capacity)
    });
    FleetLoad {
        services,
        capacities: capacities.collect(),
        stalled: BTreeSet::new(),
    }
}

fn add(load: &mut ServiceLoad, report: &LoadReport) {
    for (shard, rate) in &report.shards {
        // A shard that moved lately is in the reports of both owners, and neither of them has
        // counted a whole window.
        if let Some(known) = load.shard_rates.get_mut(shard.index()) {
            *known = known.max(f64::from(*rate));
        }
    }
    let keys = report
        .keys
        .iter()
        .map(|(hash, rate)| (*hash, f64::from(*rate)));
    load.hot_keys.extend(keys);
}

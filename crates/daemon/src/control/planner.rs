//! Plans moves while this daemon is the planner.
//!
//! Each round collects the loads, plans moves and asks the owners to release the shards. The
//! owner itself writes the swap of a move, so a planner that was paused cannot apply a move late.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, shard_of};
use masticdeal_ownership::planner::{self, FleetLoad, Move, MoveItem, PlanSettings, ServiceLoad};
use masticdeal_ownership::table::{Service, Session, Table, TargetState};
use masticdeal_wire::peer::{LoadReport, MoveReason, Release, ReleaseReply};

use super::Control;
use super::load_collection::CollectedLoad;
use crate::evacuations::Evacuations;

/// Minimum time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(1_500);

/// Minimum load of a service in requests per second, divided equally among its shards. With it, the
/// planner also distributes shards without load evenly, and a returning target gets its share
/// before the load arrives.
const BASE_RATE: f64 = 1.0;

/// Maximum number of ranges of shards that a target may own when it receives grants as replies to
/// its reports. Such a reply is limited to 4 KiB and a range takes about 24 bytes; the rest is for
/// handovers.
const MAX_RANGES: usize = 140;

/// Number of owners of shards above which the planner writes the moves of all owners. Fewer owners
/// write their own moves, which they can cancel when the platform's store becomes unavailable.
const MAX_OWNERS_WRITING_MOVES: usize = 8;

/// Maximum number of load requests that the planner sends per second. In a larger fleet the rounds
/// are further apart, so that the planner's traffic does not grow with the fleet. In a fleet of 108
/// owners a report of 38 shards has about 250 bytes, and the limit for control traffic is 11 KB/s.
const REQUESTS_PER_SECOND: u32 = 36;

impl Control {
    /// Runs planning rounds while this daemon is the planner, until the task is dropped.
    pub async fn run_planner(self: Arc<Self>) {
        let mut is_planner = self.is_planner.subscribe();
        while is_planner.wait_for(|is_planner| *is_planner).await.is_ok() {
            tokio::time::sleep(self.round_interval()).await;
            if *self.is_planner.borrow() {
                self.run_planner_round().await;
            }
        }
    }

    fn round_interval(&self) -> Duration {
        let sessions = shard_owners(&self.node.table.borrow()).len() as u32;
        MIN_ROUND_INTERVAL.max(Duration::from_secs(1) * sessions / REQUESTS_PER_SECOND)
    }

    async fn run_planner_round(self: &Arc<Self>) {
        let owners = shard_owners(&self.node.table.borrow());
        let writer = self.session().filter(|_| {
            owners.len() > MAX_OWNERS_WRITING_MOVES && self.node.protocol.target.grants_by_report
        });
        let collected = self.collect_loads_of(owners).await;
        let table = self.node.table.borrow().clone();
        let table = without_evacuated(table, &self.node.evacuations.borrow());
        let mut loads = combine_loads(&table, &collected);
        self.clear_hot_keys(&mut loads);
        loads.stalled = self.stalled_owners(&table);
        let rules = self.node.deployment.borrow().1.rules.clone();
        let settings = PlanSettings {
            moves_per_round: rules.moves_per_round,
            tolerance: rules.imbalance_tolerance,
            max_ranges: match self.node.protocol.target.grants_by_report {
                true => MAX_RANGES,
                false => usize::MAX,
            },
            ..PlanSettings::default()
        };
        let moves = planner::plan(&table, &loads, &settings);
        if moves.is_empty() {
            return;
        }
        log_planned_moves(&table, &loads, &moves);
        if writer.is_some() && !self.reaches_store().await {
            log::info!(moves = moves.len(); "planned moves not requested: cannot read the platform store");
            return;
        }
        for planned in moves {
            self.request_planned_move(&table, &planned, writer).await;
        }
    }

    /// Compares the pending moves with the table, and returns the owners that did not start the
    /// moves requested from them.
    fn stalled_owners(&self, table: &Table) -> BTreeSet<SessionId> {
        let mut pending = self.pending_moves.lock().unwrap();
        for session in pending.reconcile(self.node.clock.now(), table) {
            log::warn!(session:%, table = table.version;
                "owner did not start its planned moves, skipping it until its back-off ends");
        }
        pending.stalled().collect()
    }

    /// Removes the hot keys of services with range grants, so that no single key is moved. A moved
    /// key would return to its shard under the shard's epoch, and a target with range grants
    /// refuses an epoch below the key's.
    fn clear_hot_keys(&self, loads: &mut FleetLoad) {
        for (index, load) in loads.services.iter_mut().enumerate() {
            if self
                .node
                .range_shard_count(ServiceId(index as u16))
                .is_some()
            {
                load.hot_keys.clear();
            }
        }
    }

    async fn request_planned_move(
        self: &Arc<Self>,
        table: &Table,
        planned: &Move,
        writer: Option<SessionId>,
    ) {
        let Some(release) = release_message(table, planned) else {
            return;
        };
        let release = Release { writer, ..release };
        if writer.is_some() {
            self.move_reasons.lock().unwrap().record_request(&release);
        }
        let shard = release.shard;
        let now = self.node.clock.now();
        self.pending_moves.lock().unwrap().record(now, planned);
        let reply = self.request_release(planned.from, release).await;
        match reply {
            Some(ReleaseReply::Started) => log::info!(
                "session {} started to release shard {} of service {} to session {}",
                planned.from,
                shard,
                planned.service,
                planned.to
            ),
            Some(ReleaseReply::NotOwner) | None => {
                log::info!("session {} did not start a planned move", planned.from);
            }
        }
    }
}

/// Returns the table with the targets of evacuated data centres shown as draining, so that no shard is
/// moved to them before their daemons have written that.
fn without_evacuated(mut table: Arc<Table>, evacuations: &Evacuations) -> Arc<Table> {
    let is_evacuated = |s: &Session| evacuations.contains(&s.data_centre);
    if table.sessions.iter().any(is_evacuated) {
        let sessions = &mut Arc::make_mut(&mut table).sessions;
        let evacuated = sessions.iter_mut().filter(|s| is_evacuated(s));
        for target in evacuated.filter_map(|s| s.target.as_mut()) {
            if target.state == TargetState::Ready {
                target.state = TargetState::Draining;
            }
        }
    }
    table
}

/// Returns the sessions whose targets may own shards.
fn shard_owners(table: &Table) -> Vec<SessionId> {
    let is_sharded = |id| table.service(id).is_some_and(|s| !s.shards.is_empty());
    let sessions = table.sessions.iter();
    let owners = sessions.filter(|s| s.target.as_ref().is_some_and(|t| is_sharded(t.service)));
    owners.map(|s| s.id).collect()
}

/// Logs the loads that led to the moves of a round: the rate and the capacity, in requests per
/// second, of each target that a shard or key moves from or to.
fn log_planned_moves(table: &Table, loads: &FleetLoad, moves: &[Move]) {
    let sessions: BTreeSet<SessionId> = moves.iter().flat_map(|m| [m.from, m.to]).collect();
    let rate = |id: SessionId| -> f64 {
        let services = table.services.iter().zip(&loads.services);
        let shards =
            services.flat_map(|(service, load)| service.shards.iter().zip(&load.shard_rates));
        let owned = shards.filter(|(shard, _)| shard.owner == Some(id));
        owned.map(|(_, rate)| rate).sum()
    };
    let targets: Vec<String> = sessions
        .into_iter()
        .map(|id| {
            let capacity = loads.capacities.get(&id).copied().unwrap_or(0.0);
            format!("{id}: {:.0} of {capacity:.0}", rate(id))
        })
        .collect();
    log::info!(table = table.version, moves = moves.len(), targets = targets.join(", ").as_str();
        "planned moves");
}

/// Returns the message that requests a planned move from its owner.
fn release_message(table: &Table, planned: &Move) -> Option<Release> {
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
        writer: None,
    })
}

/// Returns the epoch of a key: that of its override, or of its shard when it has none.
fn key_epoch(service: &Service, hash: u64) -> Epoch {
    let key_override = service.overrides.iter().find(|o| o.key_hash == hash);
    key_override.map_or(service.shard_of(hash).epoch, |o| o.assignment.epoch)
}

/// Combines the load reports of all daemons by service. Each shard has at least its part of
/// [`BASE_RATE`].
fn combine_loads(table: &Table, collected: &HashMap<SessionId, CollectedLoad>) -> FleetLoad {
    let base_load = |service: &Service| ServiceLoad {
        shard_rates: vec![BASE_RATE / service.shards.len().max(1) as f64; service.shards.len()],
        hot_keys: Vec::new(),
    };
    let mut services: Vec<ServiceLoad> = table.services.iter().map(base_load).collect();
    for (session, collected_load) in collected {
        let target = table.session(*session).and_then(|s| s.target.as_ref());
        let Some(load) = target.and_then(|t| services.get_mut(t.service.index())) else {
            continue;
        };
        add_report(load, &collected_load.report);
    }
    let capacities = collected.iter().map(|(id, collected_load)| {
        let capacity = f64::from(collected_load.report.capacity);
        (*id, capacity)
    });
    FleetLoad {
        services,
        capacities: capacities.collect(),
        stalled: BTreeSet::new(),
    }
}

fn add_report(load: &mut ServiceLoad, report: &LoadReport) {
    for (shard, rate) in &report.shards {
        // A shard that moved recently is in the reports of both owners, and neither has counted it
        // for a complete window, so the higher rate is used.
        if let Some(highest) = load.shard_rates.get_mut(shard.index()) {
            *highest = highest.max(f64::from(*rate));
        }
    }
    let keys = report
        .keys
        .iter()
        .map(|(hash, rate)| (*hash, f64::from(*rate)));
    load.hot_keys.extend(keys);
}

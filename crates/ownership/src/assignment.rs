//! Gives shards without an owner to sessions, in proportion to capacity and without moving others.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::change::Change;
use crate::ids::{ServiceId, SessionId, ShardId};
use crate::table::{Session, Table, TargetState};

/// Runs of neighbouring shards that a target should own at most when all shards are dealt out. A grant
/// names each run, and the answer to a report, 4 KiB, holds about 160.
const RANGES_PER_TARGET: usize = 100;

/// Returns the sessions with a ready target of the service and their weights, which are measured
/// capacities when all are known and slots otherwise.
pub fn ready_targets(table: &Table, service: ServiceId) -> Vec<(SessionId, u32)> {
    let targets: Vec<_> = table
        .sessions
        .iter()
        .filter_map(|s| Some((s.id, ready_target(s, service)?)))
        .collect();
    let measured = targets.iter().all(|(_, t)| t.capacity > 0);
    let weight = |t: &crate::table::TargetInfo| match measured {
        true => t.capacity,
        false => u32::from(t.slots).max(1),
    };
    targets.iter().map(|(id, t)| (*id, weight(t))).collect()
}

fn ready_target(s: &Session, service: ServiceId) -> Option<&crate::table::TargetInfo> {
    let target = s.target.as_ref()?;
    (target.service == service && target.state == TargetState::Ready).then_some(target)
}

/// Tells whether some shard has no owner although a target of its service is ready.
pub fn has_unassigned(table: &Table) -> bool {
    table.services.iter().enumerate().any(|(at, service)| {
        let id = ServiceId(at as u16);
        service.shards.iter().any(|s| s.owner.is_none())
            && table.sessions.iter().any(|s| ready_target(s, id).is_some())
    })
}

/// Returns the changes that give every orphaned shard to a ready target, the least loaded for its
/// weight first. Sessions that `avoid` names get shards only when there is no other. Services for
/// which `skip` holds are left alone.
pub fn assign_shards(
    table: &Table,
    avoid: impl Fn(SessionId) -> bool,
    skip: impl Fn(ServiceId) -> bool,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for at in 0..table.services.len() {
        let service = ServiceId(at as u16);
        if !skip(service) {
            assign_service(table, service, &avoid, &mut changes);
        }
    }
    changes
}

fn assign_service(
    table: &Table,
    service: ServiceId,
    avoid: impl Fn(SessionId) -> bool,
    changes: &mut Vec<Change>,
) {
    let shards = &table.services[service.index()].shards;
    let unassigned: Vec<_> = (0..shards.len())
        .filter(|&at| shards[at].owner.is_none())
        .map(|at| ShardId(at as u32))
        .collect();
    let targets = ready_targets(table, service).len();
    let range_length = shards.len().div_ceil(targets.max(1) * RANGES_PER_TARGET);
    let owners = distribute(
        table,
        service,
        (unassigned.len(), range_length),
        avoid,
        None,
    );
    let mut assigned: BTreeMap<SessionId, Vec<ShardId>> = BTreeMap::new();
    for (shard, owner) in unassigned.into_iter().zip(owners) {
        assigned.entry(owner).or_default().push(shard);
    }
    changes.extend(assigned.into_iter().map(|(owner, shards)| Change::Assign {
        service,
        owner,
        shards,
    }));
}

/// Returns the next owner of one shard of `me`: the owner of a neighbour, so that the shard joins a run, if
/// that one owns less than its share; otherwise the least loaded target for its weight. `None` when no other
/// target is ready.
pub fn choose_owner(
    table: &Table,
    (service, shard): (ServiceId, ShardId),
    avoid: impl Fn(SessionId) -> bool,
    me: SessionId,
) -> Option<SessionId> {
    let shards = &table.services[service.index()].shards;
    let owner = |at: usize| shards.get(at).and_then(|s| s.owner);
    let before = shard.index().checked_sub(1).and_then(owner);
    let after = owner(shard.index() + 1);
    let ready = ready_targets(table, service);
    let total: u64 = ready.iter().map(|(_, w)| u64::from(*w)).sum();
    let below_share = |id: SessionId| {
        let weight = ready.iter().find(|(other, _)| *other == id)?.1;
        let count = shards.iter().filter(|s| s.owner == Some(id)).count() as u64;
        (count * total < shards.len() as u64 * u64::from(weight)).then_some(id)
    };
    let neighbours = [before, after].into_iter().flatten();
    let neighbours = neighbours.filter(|id| *id != me && !avoid(*id));
    let neighbours = neighbours.filter_map(below_share).next();
    neighbours.or_else(|| {
        distribute(table, service, (1, 1), &avoid, Some(me))
            .first()
            .copied()
    })
}

/// Deals `count` shards out in runs, each run to the least loaded target.
fn distribute(
    table: &Table,
    service: ServiceId,
    (count, range_length): (usize, usize),
    avoid: impl Fn(SessionId) -> bool,
    excluded: Option<SessionId>,
) -> Vec<SessionId> {
    if count == 0 {
        return Vec::new();
    }
    let mut ready = ready_targets(table, service);
    ready.retain(|(id, _)| Some(*id) != excluded);
    if ready.iter().any(|(id, _)| !avoid(*id)) {
        ready.retain(|(id, _)| !avoid(*id));
    }
    let mut counts: BTreeMap<SessionId, u64> = BTreeMap::new();
    for owner in table.services[service.index()]
        .shards
        .iter()
        .filter_map(|s| s.owner)
    {
        *counts.entry(owner).or_default() += 1;
    }
    // Load after one more shard, in millionths of a shard per unit of weight.
    let load = |count: u64, weight: u32| (count + 1) * 1_000_000 / u64::from(weight.max(1));
    let mut heap: BinaryHeap<_> = ready
        .iter()
        .map(|&(id, weight)| {
            let count = counts.get(&id).copied().unwrap_or(0);
            Reverse((load(count, weight), id, weight, count))
        })
        .collect();
    let wanted = count;
    let mut owners = Vec::with_capacity(wanted);
    while owners.len() < wanted {
        let Some(Reverse((_, id, weight, count))) = heap.pop() else {
            break;
        };
        let batch = range_length.min(wanted - owners.len());
        owners.extend(std::iter::repeat_n(id, batch));
        let count = count + batch as u64;
        heap.push(Reverse((load(count, weight), id, weight, count)));
    }
    owners
}

//! Assigns unassigned shards to ready targets in proportion to capacity. Assigned shards keep their
//! owners.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::change::Change;
use crate::ids::{ServiceId, SessionId, ShardId};
use crate::table::{Session, Table, TargetState};

/// Intended maximum number of contiguous shard ranges per target if all shards of a service are
/// assigned at once. A grant lists every range, and the 4 KiB reply to a report holds about 160.
const RANGES_PER_TARGET: usize = 100;

/// Returns the sessions that have a ready target of the service, with their weights. A weight is
/// the measured capacity if the capacities of all these targets are known, and the number of slots
/// otherwise.
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

/// Returns whether a shard is unassigned although a target of its service is ready.
pub fn has_unassigned(table: &Table) -> bool {
    table.services.iter().enumerate().any(|(index, service)| {
        let id = ServiceId(index as u16);
        service.shards.iter().any(|s| s.owner.is_none())
            && table.sessions.iter().any(|s| ready_target(s, id).is_some())
    })
}

/// Returns the changes that assign every unassigned shard of a service with a ready target. Each
/// range of shards goes to the target that then owns the fewest shards relative to its weight.
/// Sessions for which `avoid` holds get shards only if there is no other. Services for which `skip`
/// holds are skipped.
pub fn assign_shards(
    table: &Table,
    avoid: impl Fn(SessionId) -> bool,
    skip: impl Fn(ServiceId) -> bool,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for index in 0..table.services.len() {
        let service = ServiceId(index as u16);
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
        .filter(|&index| shards[index].owner.is_none())
        .map(|index| ShardId(index as u32))
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

/// Returns the next owner of a shard of `current_owner`. The owner of an adjacent shard is
/// preferred, so that the shard extends a range, unless that session already owns its share of the
/// shards or `avoid` holds for it. Otherwise the target that owns the fewest shards relative to its
/// weight is chosen. Returns `None` if no other target is ready.
pub fn choose_owner(
    table: &Table,
    (service, shard): (ServiceId, ShardId),
    avoid: impl Fn(SessionId) -> bool,
    current_owner: SessionId,
) -> Option<SessionId> {
    let shards = &table.services[service.index()].shards;
    let owner = |index: usize| shards.get(index).and_then(|s| s.owner);
    let before = shard.index().checked_sub(1).and_then(owner);
    let after = owner(shard.index() + 1);
    let ready = ready_targets(table, service);
    let total_weight: u64 = ready.iter().map(|(_, w)| u64::from(*w)).sum();
    let below_share = |id: SessionId| {
        let weight = ready.iter().find(|(other, _)| *other == id)?.1;
        let count = shards.iter().filter(|s| s.owner == Some(id)).count() as u64;
        (count * total_weight < shards.len() as u64 * u64::from(weight)).then_some(id)
    };
    let neighbours = [before, after].into_iter().flatten();
    let neighbours = neighbours.filter(|id| *id != current_owner && !avoid(*id));
    let neighbour = neighbours.filter_map(below_share).next();
    neighbour.or_else(|| {
        distribute(table, service, (1, 1), &avoid, Some(current_owner))
            .first()
            .copied()
    })
}

/// Distributes `count` shards in ranges of `range_length` shards, each to the target that then owns
/// the fewest shards relative to its weight. Returns the owner of each shard.
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
    // Number of shards after one more, in millionths of a shard per unit of weight.
    let load = |count: u64, weight: u32| (count + 1) * 1_000_000 / u64::from(weight.max(1));
    let mut heap: BinaryHeap<_> = ready
        .iter()
        .map(|&(id, weight)| {
            let count = counts.get(&id).copied().unwrap_or(0);
            Reverse((load(count, weight), id, weight, count))
        })
        .collect();
    let total_count = count;
    let mut owners = Vec::with_capacity(total_count);
    while owners.len() < total_count {
        let Some(Reverse((_, id, weight, count))) = heap.pop() else {
            break;
        };
        let batch = range_length.min(total_count - owners.len());
        owners.extend(std::iter::repeat_n(id, batch));
        let count = count + batch as u64;
        heap.push(Reverse((load(count, weight), id, weight, count)));
    }
    owners
}

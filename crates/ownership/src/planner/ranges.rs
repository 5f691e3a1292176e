//! Plans moves that reduce the number of contiguous shard ranges of targets that have more than one
//! grant can list.

use super::{Move, MoveItem, PlanSettings, ServiceLoad, TargetLoad, apply_move};
use crate::ids::{Epoch, ServiceId, ShardId};
use crate::lease::HeldShard;
use crate::table::Service;

/// Gain of a move that removes an excess range. It is above the usual load-based gains, which are
/// fractions of the mean load, so that such moves come first.
const RANGE_GAIN: f64 = 10.0;

/// Plans moves of isolated shards away from targets with more ranges than one grant can list, each
/// to the other target with the fewest ranges. Stalled owners keep their shards, since they do not
/// start requested moves. A shard that the grant cannot list would not be served.
pub(super) fn reduce_ranges(
    targets: &mut [TargetLoad],
    id: ServiceId,
    (service, load): (&Service, &ServiceLoad),
    settings: &PlanSettings,
    moves: &mut Vec<Move>,
) {
    for from in 0..targets.len() {
        let excess = targets[from].ranges.saturating_sub(settings.max_ranges);
        if targets[from].stalled {
            continue;
        }
        for (shard, epoch) in isolated_shards(&targets[from], excess.min(settings.moves_per_round))
        {
            let others = (0..targets.len()).filter(|to| *to != from);
            let Some(to) = others.min_by_key(|to| targets[*to].ranges) else {
                return;
            };
            if targets[to].ranges >= settings.max_ranges {
                return;
            }
            let held = HeldShard {
                service: id,
                shard,
                epoch,
            };
            let planned = Move {
                service: id,
                item: MoveItem::Shard(held),
                from: targets[from].session,
                to: targets[to].session,
                gain: RANGE_GAIN,
            };
            apply_move(targets, from, to, &planned, service, load);
            targets[from].ranges -= 1;
            moves.push(planned);
        }
    }
}

/// Returns up to `count` shards without an adjacent shard at the same target, in ascending order of
/// load.
fn isolated_shards(target: &TargetLoad, count: usize) -> Vec<(ShardId, Epoch)> {
    let adjacent = |a: &(ShardId, Epoch, f64), b: &(ShardId, Epoch, f64)| a.0.0 + 1 == b.0.0;
    let isolated = |index: &usize| {
        let shards = &target.shards;
        let before = *index > 0 && adjacent(&shards[*index - 1], &shards[*index]);
        let after = *index + 1 < shards.len() && adjacent(&shards[*index], &shards[*index + 1]);
        !before && !after
    };
    let indexes = (0..target.shards.len()).filter(isolated);
    let mut shards: Vec<_> = indexes.map(|index| target.shards[index]).collect();
    shards.sort_by(|a, b| a.2.total_cmp(&b.2));
    shards
        .into_iter()
        .take(count)
        .map(|(shard, epoch, _)| (shard, epoch))
        .collect()
}

//! Keeps the runs of neighbouring shards that a target owns within what one grant can name.

use super::{Move, MoveItem, PlanSettings, ServiceLoad, TargetLoad, apply_move};
use crate::ids::{Epoch, ServiceId, ShardId};
use crate::lease::HeldShard;
use crate::table::Service;

/// Gain by which a move to make a grant fit goes before all others.
const RANGE_GAIN: f64 = 10.0;

/// Moves single shards away from targets whose grants no longer fit one answer, each to the target with
/// the fewest runs. A shard that is left out of the answer is served by nobody.
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

/// Returns up to `count` shards without a neighbour at the same target, those with the least load first.
fn isolated_shards(target: &TargetLoad, count: usize) -> Vec<(ShardId, Epoch)> {
    let adjacent = |a: &(ShardId, Epoch, f64), b: &(ShardId, Epoch, f64)| a.0.0 + 1 == b.0.0;
    let isolated = |at: &usize| {
        let shards = &target.shards;
        let before = *at > 0 && adjacent(&shards[*at - 1], &shards[*at]);
        let after = *at + 1 < shards.len() && adjacent(&shards[*at], &shards[*at + 1]);
        !before && !after
    };
    let indexes = (0..target.shards.len()).filter(isolated);
    let mut shards: Vec<_> = indexes.map(|at| target.shards[at]).collect();
    shards.sort_by(|a, b| a.2.total_cmp(&b.2));
    shards
        .into_iter()
        .take(count)
        .map(|(shard, epoch, _)| (shard, epoch))
        .collect()
}

//! Keeps the runs of neighbouring shards that a target owns within what one grant can name.

use super::{Move, MoveItem, PlanSettings, ServiceLoad, TargetLoad, apply_move};
use crate::ids::{Epoch, ServiceId, ShardId};
use crate::lease::Held;
use crate::table::Service;

/// Gain by which a move to make a grant fit goes before all others.
const RANGE_GAIN: f64 = 10.0;

/// Moves single shards away from targets whose grants no longer fit one answer, each to the target with
/// the fewest runs. A shard that is left out of the answer is served by nobody.
pub(super) fn reduce_ranges(
    nodes: &mut [TargetLoad],
    id: ServiceId,
    (service, load): (&Service, &ServiceLoad),
    settings: &PlanSettings,
    moves: &mut Vec<Move>,
) {
    for from in 0..nodes.len() {
        let excess = nodes[from].ranges.saturating_sub(settings.max_ranges);
        if nodes[from].stalled {
            continue;
        }
        for (shard, epoch) in isolated_shards(&nodes[from], excess.min(settings.moves_per_round)) {
            let others = (0..nodes.len()).filter(|to| *to != from);
            let Some(to) = others.min_by_key(|to| nodes[*to].ranges) else {
                return;
            };
            if nodes[to].ranges >= settings.max_ranges {
                return;
            }
            let held = Held {
                service: id,
                shard,
                epoch,
            };
            let step = Move {
                service: id,
                item: MoveItem::Shard(held),
                from: nodes[from].session,
                to: nodes[to].session,
                gain: RANGE_GAIN,
            };
            apply_move(nodes, from, to, &step, service, load);
            nodes[from].ranges -= 1;
            moves.push(step);
        }
    }
}

/// Returns up to `count` shards without a neighbour at the same target, those with the least load first.
fn isolated_shards(node: &TargetLoad, count: usize) -> Vec<(ShardId, Epoch)> {
    let joins = |a: &(ShardId, Epoch, f64), b: &(ShardId, Epoch, f64)| a.0.0 + 1 == b.0.0;
    let alone = |at: &usize| {
        let shards = &node.shards;
        let before = *at > 0 && joins(&shards[*at - 1], &shards[*at]);
        let after = *at + 1 < shards.len() && joins(&shards[*at], &shards[*at + 1]);
        !before && !after
    };
    let found = (0..node.shards.len()).filter(alone);
    let mut found: Vec<_> = found.map(|at| node.shards[at]).collect();
    found.sort_by(|a, b| a.2.total_cmp(&b.2));
    found
        .into_iter()
        .take(count)
        .map(|(shard, epoch, _)| (shard, epoch))
        .collect()
}

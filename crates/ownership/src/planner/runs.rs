//! Keeps the runs of neighbouring shards that a target owns within what one grant can name.

use super::{Load, Move, Node, PlanSettings, ServiceLoad, carry_out};
use crate::ids::{Epoch, ServiceId, ShardId};
use crate::lease::HeldShard;
use crate::table::Service;

/// Gain by which a move to make a grant fit goes before all others.
const RUN_GAIN: f64 = 10.0;

/// Moves single shards away from targets whose grants no longer fit one answer, each to the target with
/// the fewest runs. A shard that is left out of the answer is served by nobody.
pub(super) fn shed(
    nodes: &mut [Node],
    id: ServiceId,
    (service, load): (&Service, &ServiceLoad),
    settings: &PlanSettings,
    moves: &mut Vec<Move>,
) {
    for from in 0..nodes.len() {
        let excess = nodes[from].runs.saturating_sub(settings.max_runs);
        if nodes[from].stuck {
            continue;
        }
        for (shard, epoch) in singles(&nodes[from], excess.min(settings.moves_per_round)) {
            let others = (0..nodes.len()).filter(|to| *to != from);
            let Some(to) = others.min_by_key(|to| nodes[*to].runs) else {
                return;
            };
            if nodes[to].runs >= settings.max_runs {
                return;
            }
            let held = HeldShard {
                service: id,
                shard,
                epoch,
            };
            let step = Move {
                service: id,
                load: Load::Shard(held),
                from: nodes[from].session,
                to: nodes[to].session,
                gain: RUN_GAIN,
            };
            carry_out(nodes, from, to, &step, service, load);
            nodes[from].runs -= 1;
            moves.push(step);
        }
    }
}

/// Returns up to `count` shards without a neighbour at the same target, those with the least load first.
fn singles(node: &Node, count: usize) -> Vec<(ShardId, Epoch)> {
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

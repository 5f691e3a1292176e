//! The dissemination tree of news.
//!
//! Every daemon computes the same tree from the sessions of its table: the sessions in the order
//! of their ids, rotated so that the origin of the news comes first, form a heap of fan-out
//! [`FAN_OUT`]. Daemons with different tables compute slightly different trees; whoever is missed
//! learns from the versions in its next heartbeat and pulls.

use crate::ids::SessionId;
use crate::table::Table;

/// Children of each session; three levels reach 585 sessions.
pub const FAN_OUT: usize = 8;

/// Returns the sessions to which `me` passes on news that started at `origin`.
///
/// Returns nothing when either is not in the table.
pub fn children(table: &Table, origin: SessionId, me: SessionId) -> Vec<SessionId> {
    let sessions = &table.sessions;
    let find = |id| sessions.binary_search_by_key(&id, |s| s.id).ok();
    let (Some(root), Some(own)) = (find(origin), find(me)) else {
        return Vec::new();
    };
    let count = sessions.len();
    let position = (own + count - root) % count;
    let first = position * FAN_OUT + 1;
    (first..first + FAN_OUT)
        .take_while(|&child| child < count)
        .map(|child| sessions[(root + child) % count].id)
        .collect()
}

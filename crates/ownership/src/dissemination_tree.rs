//! The dissemination tree of updates.
//!
//! Every daemon derives the same tree from the sessions of its table. The sessions in ascending
//! order of their ids, rotated so that the origin of the update comes first, form a heap with
//! fan-out [`FAN_OUT`]. Daemons with different tables derive slightly different trees. A daemon
//! that an update misses sees the newer version in its next heartbeat and pulls.

use crate::ids::SessionId;
use crate::table::Table;

/// Maximum number of children of a session; three levels reach 585 sessions.
pub const FAN_OUT: usize = 8;

/// Returns the sessions to which `me` forwards an update from `origin`.
///
/// The result is empty when either session is not in the table.
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

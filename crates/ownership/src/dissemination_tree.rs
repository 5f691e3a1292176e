//! The dissemination tree of updates.
//!
//! Every daemon derives the same tree from the sessions of its table. The sessions in ascending
//! order of their ids, rotated so that the origin of the update comes first, fill a tree with
//! fan-out [`FAN_OUT`] level by level. Daemons with different tables derive slightly different
//! trees, so an update may miss a daemon. That daemon sees the newer version in a later message,
//! such as the reply to a renewal, and pulls the update.

use crate::ids::SessionId;
use crate::table::Table;

/// Maximum number of children of a session; three levels reach 585 sessions.
pub const FAN_OUT: usize = 8;

/// Returns the sessions to which `me` forwards an update from `origin`.
///
/// The result is empty when either session is not in the table.
pub fn children(table: &Table, origin: SessionId, me: SessionId) -> Vec<SessionId> {
    let sessions = &table.sessions;
    let index_of = |id| sessions.binary_search_by_key(&id, |s| s.id).ok();
    let (Some(origin_index), Some(my_index)) = (index_of(origin), index_of(me)) else {
        return Vec::new();
    };
    let count = sessions.len();
    let position = (my_index + count - origin_index) % count;
    let first = position * FAN_OUT + 1;
    (first..first + FAN_OUT)
        .take_while(|&child| child < count)
        .map(|child| sessions[(origin_index + child) % count].id)
        .collect()
}

//! The assignment table after the platform store was restored from a backup.
//!
//! The store may have lost versions of the table that daemons have acted on, and the copy would
//! give out their versions, session ids, terms and epochs again. So the newest table that the
//! daemons know is written back with all of these counters raised by more than the store can have
//! lost, once for each era since that table was written. A table of an era in between may have been
//! lost as well.

use crate::ids::{ChangeId, Epoch};
use crate::table::Table;

/// Added to the counters of the table. At one swap per millisecond, the store would have to lose
/// more than a minute to reach it.
const COUNTER_GAP: u32 = 1 << 16;

/// Added instead if a table of the store's era was overwritten by one of an earlier era. The counters
/// then stay below those of the next era.
const OVERWRITTEN_GAP: u32 = 1 << 12;

/// Maximum number of eras that raise the counters, which keeps 32-bit counters from overflowing if
/// the store's first era has a high number.
const MAX_ERAS: u64 = 1 << 12;

/// Returns the table to write in a new era of the store. `newest` is the newest table known, and
/// `stored_version` the version of the copy in the store.
pub fn restored_table(newest: &Table, stored_version: u64, era: u64, change: ChangeId) -> Table {
    let mut table = newest.clone();
    let gap = match era - newest.era {
        0 => OVERWRITTEN_GAP,
        eras => COUNTER_GAP * eras.min(MAX_ERAS) as u32,
    };
    table.era = era;
    table.version = newest.version.max(stored_version) + u64::from(gap);
    table.next_session += gap;
    for session in &mut table.sessions {
        // Lessors count a full lease from the first sight of a new term, so no session ends early
        // because a renewal of a lost term is missing.
        session.term += gap;
    }
    let epoch = Epoch(table.version as u32);
    for service in &mut table.services {
        let overrides = service.overrides.iter_mut().map(|o| &mut o.assignment);
        for shard in service.shards.iter_mut().chain(overrides) {
            shard.epoch = epoch;
        }
    }
    table.record_change(change);
    table
}

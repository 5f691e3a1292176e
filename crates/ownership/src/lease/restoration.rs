//! Writes the table back after the platform store was restored from a backup.
//!
//! From the first sign of a new era of the store until a table of that era is installed, this
//! process starts no other swap. It collects the tables of all sessions, so that every version on
//! which a reachable daemon may have acted is known, and writes the newest one.
//!
//! A daemon that did not reply may serve shards under a version that nobody else knows. Its lease
//! ends within a lease unless a lessor renews it, and a reachable lessor knows the version. So the
//! write waits until all sessions have replied or a lease has passed. A process without a lease may
//! miss sessions in its table, and its own end, and always waits for the lease.
//!
//! A session that still has a lease then was renewed in the new era, so no lost version ended it.
//! For any other process, silent sessions may renew each other. It waits [`SILENCE_TIMEOUT`] for
//! their reply. A fleet of which some VMs are lost for good must recover by itself, so daemons that
//! are cut off for longer are not covered.

use std::sync::Arc;
use std::time::Duration;

use super::api::{CollectionReplies, Effect, Rule};
use super::core::Core;
use super::lessee::lessor_lease_length;
use crate::ids::ChangeId;
use crate::restoration::restored_table;
use crate::table::Table;

/// Delay before the restoration per session with a lower id. Usually the first session has written
/// the table before the next one starts.
const STAGGER: Duration = Duration::from_millis(50);

/// Time after which a collection or a write without a result is repeated.
const RESULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a process without a lease waits for the reply of silent sessions.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Restoration in progress.
#[derive(Debug)]
pub(super) struct Restoration {
    /// When this process learned of the era.
    since: Duration,
    /// Version of the copy of the table in the store, once it was read in this era.
    stored_version: Option<u64>,
    /// Last completed collection: the version of the own table at its start, and who replied.
    collected: Option<(u64, CollectionReplies)>,
    /// End of the pause before the next collection or write.
    not_before: Duration,
    /// The write in progress.
    write: Option<(ChangeId, Arc<Table>)>,
}

impl Core {
    /// Records an era of the store that a reply or a table showed.
    pub(super) fn record_store_era(&mut self, now: Duration, era: u64) {
        if era <= self.store_era {
            return;
        }
        self.store_era = era;
        if self.table.era < era {
            self.start_restoration(now);
        }
    }

    fn start_restoration(&mut self, now: Duration) {
        self.restoration = Some(Restoration {
            since: now,
            stored_version: None,
            collected: None,
            not_before: now,
            write: None,
        });
    }

    /// Ends the restoration once a table of the newest era is installed.
    pub(super) fn finish_restoration(&mut self) {
        if self.table.era >= self.store_era {
            self.store_era = self.table.era;
            self.restoration = None;
        }
    }

    /// Records the version of the stored table, read in `store_era`.
    ///
    /// If the stored table is of an earlier era than the own one, a write of that era took effect
    /// on a revision that was reused. The table is then restored once more.
    pub(super) fn record_stored_version(&mut self, now: Duration, store_era: u64, table: &Table) {
        if store_era != self.store_era {
            return;
        }
        let is_overwritten = table.era < store_era;
        if self.table.era >= store_era {
            match &self.restoration {
                None if is_overwritten => self.start_restoration(now),
                Some(_) if !is_overwritten => self.restoration = None,
                _ => {}
            }
        }
        if let Some(restoration) = &mut self.restoration {
            restoration.stored_version = Some(table.version);
            restoration.not_before = now;
        }
    }

    pub(super) fn record_collection(
        &mut self,
        now: Duration,
        version: u64,
        replies: CollectionReplies,
    ) {
        let write_at = self.restoration_write_at(now, replies);
        if let Some(restoration) = &mut self.restoration {
            let retry_at = now
                + match replies {
                    CollectionReplies::SilentAddress => self.settings.lease,
                    _ => self.settings.renew_interval,
                };
            restoration.collected = Some((version, replies));
            restoration.not_before = write_at.map_or(retry_at, |at| retry_at.min(at.max(now)));
        }
    }

    /// Handles the outcome of the write of a restored table. Returns whether the change is that
    /// write.
    pub(super) fn handle_restoration_outcome(
        &mut self,
        now: Duration,
        change: ChangeId,
        done: bool,
    ) -> bool {
        let Some(restoration) = &mut self.restoration else {
            return false;
        };
        let Some((_, next)) = restoration.write.take_if(|(id, _)| *id == change) else {
            return false;
        };
        if done {
            self.writer.record_write(now, next.version);
            self.install_table(now, next, None);
        } else {
            // Another daemon may have written the table, or this write may still take effect.
            restoration.stored_version = None;
            restoration.not_before = now + self.settings.renew_interval / 3;
        }
        true
    }

    /// Takes the next step of the restoration. Returns whether a restoration is in progress.
    pub(super) fn advance_restoration(&mut self, now: Duration) -> bool {
        let Some(due_at) = self.restoration_due_at() else {
            return false;
        };
        // A session that is ending does not write the table back, because it may have ended under
        // a version that only others know.
        if now < due_at || self.writer.is_ending() {
            return true;
        }
        let collected = self.restoration.as_ref().and_then(|r| r.collected);
        let newest = collected.filter(|(version, _)| *version == self.table.version);
        let write_at = newest.and_then(|(_, replies)| self.restoration_write_at(now, replies));
        let may_write = write_at.is_some_and(|at| {
            now >= at || self.settings.disabled_rule == Some(Rule::RestorationWait)
        });
        let Some(restoration) = &mut self.restoration else {
            return false;
        };
        let Some(stored_version) = restoration.stored_version else {
            let read = self.writer.start_read(now);
            restoration.not_before = match read {
                Some(_) => now + RESULT_TIMEOUT,
                // The writer is reading already, or backs off after a failure.
                None => now + self.settings.renew_interval / 3,
            };
            self.effects.extend(read);
            return true;
        };
        restoration.not_before = now + RESULT_TIMEOUT;
        if may_write {
            self.write_restored_table(now, stored_version);
        } else {
            self.effects.push(Effect::CollectTables {
                version: self.table.version,
            });
        }
        true
    }

    fn write_restored_table(&mut self, now: Duration, stored_version: u64) {
        // A pending swap is based on a version that the store may have lost. If it took effect, the
        // collected table contains it.
        if let Some(pending) = self.writer.take_pending() {
            self.lessee.next_lessors = None;
            self.finish_swap(now, false, pending);
        }
        let change_id = self.writer.change_id();
        let next = restored_table(&self.table, stored_version, self.store_era, change_id);
        let next = Arc::new(next);
        if let Some(restoration) = &mut self.restoration {
            restoration.write = Some((change_id, next.clone()));
        }
        self.effects.push(Effect::RestoreTable {
            change_id,
            stored_version,
            next,
        });
    }

    /// Returns when the next step of the restoration is due; `None` without a restoration.
    pub(super) fn restoration_due_at(&self) -> Option<Duration> {
        let restoration = self.restoration.as_ref()?;
        let lower = |me| {
            self.table
                .sessions
                .iter()
                .filter(move |s| s.id < me)
                .count()
        };
        let stagger = STAGGER * self.session.map_or(0, lower) as u32;
        let start_at = restoration.since + stagger;
        Some(restoration.not_before.max(start_at))
    }

    /// Returns when the table may be written after a collection with these replies.
    fn restoration_write_at(&self, now: Duration, replies: CollectionReplies) -> Option<Duration> {
        let since = self.restoration.as_ref()?.since;
        let lease_passed_at = since + lessor_lease_length(&self.settings);
        let has_lease = self.lessee.has_valid_lease(now);
        Some(match replies {
            CollectionReplies::AllSessions if has_lease => since,
            CollectionReplies::SilentAddress if !has_lease => since + SILENCE_TIMEOUT,
            _ => lease_passed_at,
        })
    }
}

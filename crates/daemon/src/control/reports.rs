//! Replies to the reports of a target with range grants.
//!
//! Such a target receives a grant only as the reply to a report, so a requested move starts with
//! the next report. The reply omits the shard, and the target's following report shows it released.
//! Requests for the shard are refused only between these two reports, not from the time the move
//! was requested.

use std::sync::Arc;

use masticdeal_ownership::ids::ServiceId;
use masticdeal_ownership::lease::{Event, HeldShard};
use masticdeal_ownership::table::Table;
use masticdeal_wire::headers::PATH_HANDOVER;
use masticdeal_wire::peer::Handover;
use masticdeal_wire::target::{Report, ReportReply};

use super::Control;
use crate::holdings::GrantableShards;
use crate::node::longest_grant;

/// Time for which a reply of the platform's store counts as proof that the store is reachable. The
/// requests for the moves of one planning round arrive within this time, so that usually only the
/// first of them needs a read.
const STORE_REPLY_MAX_AGE: std::time::Duration = std::time::Duration::from_millis(500);

/// Longest wait for a peer to accept a handover. A lost handover is not sent again: without it, the
/// next owner's target only serves the keys slowly at first.
const HANDOVER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

impl Control {
    /// Applies a report of the target and returns the reply with its grant.
    pub fn on_report(self: &Arc<Self>, report: &Report) -> ReportReply {
        let service = self
            .node
            .table
            .borrow()
            .service_id(&report.announce.service);
        let Some((id, shard_count)) =
            service.and_then(|id| Some((id, self.node.range_shard_count(id)?)))
        else {
            let ranges = report.holds.as_ref().map_or(0, Vec::len);
            if ranges > 0 {
                log::info!(ranges, table = self.node.versions().table;
                    "ranges in the target's report are ignored: the table does not show its service");
            }
            self.update_core_target();
            return ReportReply::default();
        };
        let max_earlier_grant = longest_grant(&self.node.settings);
        let now = self.node.clock.now();
        let is_applied =
            self.node
                .granted_shards
                .apply_report(now, report, shard_count, max_earlier_grant);
        self.update_core_target();
        if !is_applied {
            return ReportReply::default();
        }
        let deferred = std::mem::take(&mut *self.deferred_moves.lock().unwrap());
        for event in deferred {
            self.handle_event(event);
        }
        ReportReply {
            grant: self.range_grant(id, shard_count, report.announce.incarnation),
        }
    }

    /// Passes the target's state to the lease core. Called before the grant of a reply is created,
    /// so that the grant takes the state into account.
    fn update_core_target(self: &Arc<Self>) {
        let announce = self.node.target.borrow().clone();
        let capacity = self.reported_capacity();
        let report = announce.map(|a| self.target_report(&a, capacity));
        self.handle_event(Event::TargetChanged(report));
    }

    /// Returns the grant for the reply to a report of `incarnation`; `None` while the table shows
    /// another one. The core may have heard of an earlier report, or of none, since.
    fn range_grant(
        &self,
        service: ServiceId,
        shard_count: u32,
        incarnation: u64,
    ) -> Option<masticdeal_wire::target::RangeGrant> {
        let core = self.core.lock().unwrap();
        // The clock is read under the lock, so that a wait for the lock does not extend the grant.
        let now = self.node.clock.now();
        let grants = core.grants(now).filter(|g| g.service == service)?;
        let own = core.table().session(grants.session)?;
        if own.target.as_ref()?.incarnation != incarnation {
            return None;
        }
        let lease = &self.node.settings.lease;
        debug_assert!(grants.shards.iter().all(|(shard, _)| shard.0 < shard_count));
        let grantable = GrantableShards {
            shards: &grants.shards,
            shard_count,
            until: grants.until,
            max_grant: lease.longest_grant,
            drift_ppm: lease.drift_ppm,
        };
        Some(self.node.granted_shards.grant(now, &grantable))
    }

    /// Starts a requested move with the next report of the target, if the platform's store is
    /// reachable now; otherwise drops it. The move ends with a write to the store, and no target
    /// serves the shard from its release until then.
    pub(super) fn defer_move(self: &Arc<Self>, event: Event) {
        if self.is_store_reply_recent() {
            self.deferred_moves.lock().unwrap().push(event);
            return;
        }
        let control = self.clone();
        tokio::spawn(async move {
            if control.reaches_store().await {
                control.deferred_moves.lock().unwrap().push(event);
            } else {
                log::info!("requested move not started: cannot read the platform store");
            }
        });
    }

    fn is_store_reply_recent(&self) -> bool {
        let now = self.node.clock.now();
        now.saturating_sub(self.tables.last_reply()) < STORE_REPLY_MAX_AGE
    }

    /// Returns whether the platform's store replied recently, or replies to a read now.
    pub(super) async fn reaches_store(&self) -> bool {
        if self.is_store_reply_recent() {
            return true;
        }
        let read = self.tables.read().await;
        if let Err(e) = &read {
            log::info!(error:% = e; "the platform store does not reply");
        }
        read.is_ok()
    }

    /// Waits until the target can no longer hold the shard.
    pub(super) async fn await_released(&self, held: HeldShard) {
        if !self.node.granted_shards.is_recorded(held.shard) {
            log::info!(shard:% = held.shard, epoch = held.epoch.0;
                "no grant of the shard to release is known");
        }
        loop {
            let changed = self.node.granted_shards.changed();
            tokio::pin!(changed);
            if self
                .node
                .granted_shards
                .is_released(self.node.clock.now(), held.shard)
            {
                return;
            }
            let _ = tokio::time::timeout(self.node.settings.lease.renew_interval, changed).await;
        }
    }

    /// Sends the handovers of shards that moved away from this daemon to their new owners.
    pub(super) fn forward_handovers(self: &Arc<Self>, before: &Table, table: &Table) {
        let Some(me) = self.session() else { return };
        for (index, service) in table.services.iter().enumerate() {
            let id = ServiceId(index as u16);
            let Some(previous_service) = before.service(id) else {
                continue;
            };
            for (shard, (previous, current)) in previous_service
                .shards
                .iter()
                .zip(&service.shards)
                .enumerate()
            {
                let Some(to) = current
                    .owner
                    .filter(|to| previous.owner == Some(me) && *to != me)
                else {
                    continue;
                };
                let shard = masticdeal_ownership::ids::ShardId(shard as u32);
                let Some(payload) = self.node.granted_shards.take_handover(shard) else {
                    continue;
                };
                let message = Handover {
                    service: id,
                    shard,
                    epoch: current.epoch,
                    payload,
                };
                let control = self.clone();
                tokio::spawn(async move {
                    let accepted: Option<()> = control
                        .call(to, PATH_HANDOVER, &message, HANDOVER_TIMEOUT)
                        .await;
                    if accepted.is_none() {
                        log::info!(shard:% = message.shard, session:% = to;
                            "handover could not be sent to the next owner");
                    }
                });
            }
        }
    }

    /// Stores a handover from the former owner of a shard.
    pub(super) fn on_handover(&self, message: Handover) {
        let Handover {
            shard,
            epoch,
            payload,
            ..
        } = message;
        self.node
            .granted_shards
            .store_handover(shard, epoch, payload);
    }
}

//! Answers the reports of a target that takes its grants that way.
//!
//! A grant travels only as the answer to a report, so a planned move begins with one: the answer
//! leaves the shard out, and the target's next report, a moment later, shows it released. Requests
//! are turned away from the shard for that moment only, and not since the move was planned.

use std::sync::Arc;

use masticdeal_ownership::ids::ServiceId;
use masticdeal_ownership::lease::{Event, HeldShard};
use masticdeal_ownership::table::Table;
use masticdeal_wire::headers::PATH_HANDOVER;
use masticdeal_wire::peer::Handover;
use masticdeal_wire::target::{Report, ReportReply};

use super::Control;
use crate::holdings::GrantableShards;

/// Time for which an answer of the platform's service shows that it is there. Several moves of one
/// round come within it.
const PLATFORM_ANSWER_MAX_AGE: std::time::Duration = std::time::Duration::from_millis(500);

/// Longest wait for a peer to take a handover. Without it the next target serves the keys slowly
/// for a while.
const HANDOVER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

impl Control {
    /// Takes over a report and returns what the target is to hold.
    pub fn on_report(self: &Arc<Self>, report: &Report) -> ReportReply {
        let service = self
            .node
            .table
            .borrow()
            .service_id(&report.announce.service);
        let Some((id, count)) = service.and_then(|id| Some((id, self.node.range_shard_count(id)?)))
        else {
            self.report_target();
            return ReportReply::default();
        };
        let lease = &self.node.settings.lease;
        // An earlier process counted its lease on the same clock, and the target's may be slow.
        let max_hold = lease.duration + lease.duration * lease.drift_ppm / 1_000_000;
        let now = self.node.clock.now();
        self.node
            .granted_shards
            .apply_report(now, report, count, max_hold);
        self.report_target();
        let deferred = std::mem::take(&mut *self.deferred_moves.lock().unwrap());
        for event in deferred {
            self.handle_event(event);
        }
        ReportReply {
            grant: self.range_grant(id, count),
        }
    }

    /// Tells the core of the target at once, so that the answer to its report follows from it.
    fn report_target(self: &Arc<Self>) {
        let announce = self.node.target.borrow().clone();
        let capacity = self.reported_capacity();
        let report = announce.map(|a| self.target_report(&a, capacity));
        self.handle_event(Event::TargetChanged(report));
    }

    fn range_grant(
        &self,
        service: ServiceId,
        count: u32,
    ) -> Option<masticdeal_wire::target::RangeGrant> {
        let core = self.core.lock().unwrap();
        // The clock is read under the lock, so that a wait for the lock does not stretch the grant.
        let now = self.node.clock.now();
        let grants = core.grants(now).filter(|g| g.service == service)?;
        let lease = &self.node.settings.lease;
        debug_assert!(grants.shards.iter().all(|(shard, _)| shard.0 < count));
        let grantable = GrantableShards {
            shards: &grants.shards,
            shard_count: count,
            until: grants.until,
            max_hold: lease.longest_grant,
            drift_ppm: lease.drift_ppm,
        };
        Some(self.node.granted_shards.grant(now, &grantable))
    }

    /// Begins a planned move with the next report of the target, if the platform answers now. The
    /// move ends with a write there, and until then nobody serves the shard.
    pub(super) fn defer_move(self: &Arc<Self>, event: Event) {
        let now = self.node.clock.now();
        if now.saturating_sub(self.tables.last_answer()) < PLATFORM_ANSWER_MAX_AGE {
            self.deferred_moves.lock().unwrap().push(event);
            return;
        }
        let control = self.clone();
        tokio::spawn(async move {
            match control.tables.read().await {
                Ok(_) => control.deferred_moves.lock().unwrap().push(event),
                Err(e) => log::info!(error:% = e; "a planned move is not begun"),
            }
        });
    }

    /// Resolves once the target can no longer hold the shard.
    pub(super) async fn await_released(&self, held: HeldShard) {
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

    /// Sends what the own target released to the new owners of its shards.
    pub(super) fn forward_handovers(self: &Arc<Self>, before: &Table, table: &Table) {
        let Some(me) = self.session() else { return };
        for (at, service) in table.services.iter().enumerate() {
            let id = ServiceId(at as u16);
            let Some(old) = before.service(id) else {
                continue;
            };
            for (shard, (was, is)) in old.shards.iter().zip(&service.shards).enumerate() {
                let Some(to) = is.owner.filter(|to| was.owner == Some(me) && *to != me) else {
                    continue;
                };
                let shard = masticdeal_ownership::ids::ShardId(shard as u32);
                let Some(text) = self.node.granted_shards.take_handover(shard) else {
                    continue;
                };
                let message = Handover {
                    service: id,
                    shard,
                    epoch: is.epoch,
                    text,
                };
                let control = self.clone();
                tokio::spawn(async move {
                    let sent: Option<()> = control
                        .call(to, PATH_HANDOVER, &message, HANDOVER_TIMEOUT)
                        .await;
                    if sent.is_none() {
                        log::info!(shard:% = message.shard, session:% = to;
                            "the handover did not reach the next owner");
                    }
                });
            }
        }
    }

    /// Keeps what another target handed over.
    pub(super) fn on_handover(&self, message: Handover) {
        let Handover {
            shard, epoch, text, ..
        } = message;
        self.node.granted_shards.store_handover(shard, epoch, text);
    }
}

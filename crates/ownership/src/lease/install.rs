//! Installation of newer tables, and the state that is derived from them.

use std::sync::Arc;
use std::time::Duration;

use super::api::{Effect, HeldShard, Rule};
use super::core::Core;
use super::writer::{OwnSessionChange, Resolution};
use crate::assignment;
use crate::change::{Change, Delta};
use crate::checker;
use crate::ids::{ServiceId, SessionId, ShardId, shard_of};
use crate::journal::{Decision, DecisionKind, LessorCause, MoveCause, Rejection};
use crate::lessor_selection;
use crate::table::{Table, TargetState};

impl Core {
    pub(super) fn handle_table_read(
        &mut self,
        now: Duration,
        read: u64,
        table: Option<Arc<Table>>,
        store_era: u64,
    ) {
        self.record_store_era(now, store_era);
        let version = table.as_ref().map(|t| t.version);
        if !self.writer.finish_read(now, read, version, &self.settings) {
            return;
        }
        if let Some(table) = table {
            self.has_table = true;
            self.record_stored_version(now, store_era, &table);
            self.install_table(now, table, None);
            self.extend_lease_by_read(now);
        }
    }

    /// Extends the lease of a session without lessors, counting from the start of the read of the
    /// newest table (R13). A copy in a restored store does not count: the session may have been
    /// ended in a version that the store has lost.
    fn extend_lease_by_read(&mut self, now: Duration) {
        if !self.has_no_lessors() || self.restoration.is_some() {
            return;
        }
        let Some(seen_at) = self.writer.last_seen_at(self.table.version) else {
            return;
        };
        let from = match self.settings.disabled_rule {
            Some(Rule::CountFromSend) => now,
            _ => seen_at,
        };
        self.lessee.extend(from, &self.settings);
        self.effects.push(Effect::GrantsChanged);
    }

    /// Returns whether this session has no lessors in the newest table.
    pub(super) fn has_no_lessors(&self) -> bool {
        let own = self.session.and_then(|id| self.table.session(id));
        own.is_some_and(|s| s.lessors.is_empty())
    }

    pub(super) fn apply_deltas(&mut self, now: Duration, deltas: &[Delta]) {
        for delta in deltas {
            if delta.to_version != self.table.version + 1 {
                continue;
            }
            match self.table.apply(delta) {
                Ok(next) => self.install_table(now, Arc::new(next), Some(delta)),
                Err(_) => {
                    self.log_decision(DecisionKind::Rejected(Rejection::MalformedTable));
                    return;
                }
            }
        }
    }

    /// Installs a table if it is newer than the current one. `delta` is the delta between them, if
    /// known.
    pub(super) fn install_table(
        &mut self,
        now: Duration,
        table: Arc<Table>,
        delta: Option<&Delta>,
    ) {
        if table.version <= self.table.version {
            return;
        }
        // Applying a delta already checks its changes.
        if delta.is_none() && checker::check_table(&table).is_err() {
            self.log_decision(DecisionKind::Rejected(Rejection::MalformedTable));
            return;
        }
        let old = std::mem::replace(&mut self.table, table.clone());
        self.has_table = true;
        self.record_store_era(now, table.era);
        self.finish_restoration();
        self.installed_at = now;
        self.writer.record_installed(now, table.version);
        let resolution = self.writer.resolve(&table);
        let pending = resolution.and_then(|_| self.writer.take_pending());
        self.install_session(now);
        self.apply_departure();
        if let Some(pending) = pending {
            self.lessee.next_lessors = None;
            if resolution == Some(Resolution::Lost) && !pending.needs_read_back {
                self.writer.back_off_after_conflict(now, &self.settings);
            }
            self.finish_swap(now, resolution == Some(Resolution::Done), pending);
        } else if let Some(delta) = delta {
            self.log_delta(&old, delta);
        }
        self.lessees
            .install(now, self.session, &table, &self.settings);
        self.releases.retain_current(self.session, &table);
        self.drop_stale_requests(now);
        self.install_shards(now, &old, delta);
        if table.era > old.era {
            // Targets that the restored table does not know may hold grants for a lease.
            self.gathering_since.clear();
        }
        self.update_swap_conditions(now);
        self.effects.push(Effect::TableChanged(table));
    }

    /// Keeps a target out of service whose departure was reported to an earlier process of this
    /// daemon. The report that shows it as ready may date from before the departure.
    pub(super) fn apply_departure(&mut self) {
        let address = self.identity.address;
        if let Some(target) = &mut self.target
            && target.incarnation != self.reported_departure
            && self.table.has_departed(address, target.incarnation)
        {
            target.state = TargetState::Departing;
        }
    }

    fn install_session(&mut self, now: Duration) {
        let own = self
            .table
            .sessions
            .iter()
            .find(|s| s.incarnation == self.identity.incarnation);
        let id = own.map(|s| s.id);
        self.lessee.install(now, own, &self.settings);
        if id == self.session {
            return;
        }
        if let Some(old) = self.session {
            self.step_session("table.lacks");
            self.effects.push(Effect::Ended(old));
            // Each session has its own incarnation, so that a join of the old session that is
            // written late is not mistaken for the join of a new session.
            self.identity.incarnation = self.writer.random_nonzero();
        }
        self.session = id;
        let requested_at = self.requests.end_join();
        if let Some(id) = id {
            if let Some(requested_at) = requested_at {
                self.lessee.extend(requested_at, &self.settings);
            }
            let first_sequence = self.writer.random_nonzero() >> 1;
            self.lessee.start_sequence(first_sequence);
            self.step_session("table.shows");
            self.effects.push(Effect::Joined(id));
        }
    }

    pub(super) fn step_session(&mut self, event: &str) {
        let result = self.session_chart.step(event);
        debug_assert!(result.is_ok(), "{result:?}");
    }

    /// Updates the session and the lease after the outcome of a swap became known, and logs the
    /// decisions of a swap that took effect.
    pub(super) fn finish_swap(
        &mut self,
        now: Duration,
        done: bool,
        pending: super::writer::PendingSwap,
    ) {
        if !done {
            if matches!(self.session_chart.state(), "joining" | "withdrawing") {
                self.step_session("swap.lost");
            }
            // A change of lessors that was not written does not delay the next attempt.
            if pending.session_change == OwnSessionChange::Lease {
                self.lessor_change_not_before = now;
            }
            return;
        }
        if pending.session_change == OwnSessionChange::Lease && self.session.is_some() {
            let from = match self.settings.disabled_rule {
                Some(Rule::CountFromSwapStart) => now,
                _ => pending.started_at,
            };
            self.lessee.extend(from, &self.settings);
        }
        for kind in pending.decisions {
            self.effects.push(Effect::LogDecision(Decision {
                version: pending.delta.to_version,
                local: true,
                kind,
            }));
        }
    }

    /// Logs the decisions of the daemon that wrote the delta. `old` is the table before it.
    fn log_delta(&mut self, old: &Table, delta: &Delta) {
        for change in &delta.changes {
            if let Some(kind) = remote_decision(old, change) {
                self.effects.push(Effect::LogDecision(Decision {
                    version: delta.to_version,
                    local: false,
                    kind,
                }));
            }
        }
    }

    fn install_shards(&mut self, now: Duration, old: &Table, delta: Option<&Delta>) {
        let previously_owned = std::mem::take(&mut self.owned);
        self.settling_until.retain(|_, until| now < *until);
        let Some(me) = self.session else {
            if !previously_owned.is_empty() {
                self.effects.push(Effect::GrantsChanged);
            }
            return;
        };
        let table = self.table.clone();
        for (service_index, service) in table.services.iter().enumerate() {
            let id = ServiceId(service_index as u16);
            let targets_check = all_targets_check_grants(&table, id);
            for (shard_index, shard) in service.shards.iter().enumerate() {
                if shard.owner != Some(me) {
                    continue;
                }
                let shard_id = ShardId(shard_index as u32);
                self.owned.push(HeldShard {
                    service: id,
                    shard: shard_id,
                    epoch: shard.epoch,
                });
                let previous = old.service(id).and_then(|s| s.shards.get(shard_index));
                let is_gained = previous.is_none_or(|s| s.owner != Some(me));
                if is_gained
                    && !targets_check
                    && shard.epoch.0 > 1
                    && !moved_after_release(delta, id, shard_id)
                {
                    let until = now + self.settings.settle_delay;
                    self.settling_until.insert((id, shard_id), until);
                }
            }
            if !targets_check {
                self.settle_lost_keys(now, old, id);
            }
        }
        if previously_owned != self.owned {
            self.effects.push(Effect::GrantsChanged);
        }
    }

    /// Applies the settle delay to the shards of keys whose override ended with its owner's
    /// session.
    fn settle_lost_keys(&mut self, now: Duration, old: &Table, id: ServiceId) {
        let Some(service) = self.table.service(id) else {
            return;
        };
        let shards = service.shards.len() as u32;
        let previous_overrides = old.service(id).map_or(&[][..], |s| &s.overrides);
        for previous in previous_overrides {
            let kept = service
                .overrides
                .iter()
                .any(|o| o.key_hash == previous.key_hash);
            let owner_exists = previous
                .assignment
                .owner
                .is_some_and(|o| self.table.session(o).is_some());
            if !kept && !owner_exists {
                let shard_id = (id, shard_of(previous.key_hash, shards));
                self.settling_until
                    .insert(shard_id, now + self.settings.settle_delay);
            }
        }
    }

    /// Recomputes the state from which [`Core::swap_due_at`] derives when swaps are due.
    fn update_swap_conditions(&mut self, now: Duration) {
        let table = self.table.clone();
        self.has_unassigned = assignment::has_unassigned(&table);
        let without_lessors = table.sessions.iter().filter(|s| {
            Some(s.id) != self.session && s.lessors.iter().all(|l| table.session(*l).is_none())
        });
        let previous = std::mem::take(&mut self.without_lessors);
        self.without_lessors = without_lessors
            .map(|s| {
                let same_term = previous.get(&s.id).filter(|(term, _)| *term == s.term);
                (s.id, same_term.copied().unwrap_or((s.term, now)))
            })
            .collect();
        self.confirmed_lost
            .retain(|id| table.session(*id).is_some());
        self.suspects.retain(|_, until| now < *until);
        let own = self.session.and_then(|id| table.session(id));
        self.better_lessors_exist = own.is_some_and(|own| {
            let avoid = |id| self.is_unsuitable_lessor(now, id);
            lessor_selection::better_lessors(&table, own, self.settings.lessors, avoid).is_some()
        });
        for index in 0..table.services.len() {
            let id = ServiceId(index as u16);
            if !assignment::ready_targets(&table, id).is_empty() {
                self.gathering_since.entry(id).or_insert(now);
            }
        }
    }
}

/// Returns whether all targets of the service check grants.
fn all_targets_check_grants(table: &Table, service: ServiceId) -> bool {
    let targets = table.sessions.iter().filter_map(|s| s.target.as_ref());
    let mut of_service = targets.filter(|t| t.service == service);
    of_service.all(|t| t.checks_grants)
}

/// Returns whether the delta moved the shard, which requires that its owner released it.
fn moved_after_release(delta: Option<&Delta>, service: ServiceId, shard: ShardId) -> bool {
    delta.is_some_and(|d| {
        d.changes.iter().any(|c| {
            matches!(c, Change::Move { service: s, shard: id, .. } if (*s, *id) == (service, shard))
        })
    })
}

/// Returns the decision behind a change that another daemon wrote. `old` is the table before the
/// delta.
fn remote_decision(old: &Table, change: &Change) -> Option<DecisionKind> {
    Some(match change {
        Change::Join { session } => DecisionKind::Joined {
            session: SessionId(old.next_session),
            vm: session.vm.clone(),
        },
        Change::End { session, cause, .. } => DecisionKind::Ended {
            session: *session,
            cause: *cause,
        },
        Change::SetLessors {
            session, lessors, ..
        } => DecisionKind::LessorsChanged {
            session: *session,
            lessors: lessors.clone(),
            cause: LessorCause::Remote,
        },
        Change::SetTarget { session, .. } => DecisionKind::TargetChanged { session: *session },
        Change::DeclareService { name, shards } => DecisionKind::Declared {
            name: name.clone(),
            shards: *shards,
        },
        Change::Assign {
            service,
            owner,
            shards,
        } => DecisionKind::Assigned {
            service: *service,
            owner: *owner,
            count: shards.len(),
        },
        Change::Move {
            service,
            shard,
            from,
            to,
            ..
        } if from == to => DecisionKind::Reclaimed {
            service: *service,
            shard: *shard,
            owner: *to,
        },
        Change::Move {
            service,
            shard,
            from,
            to,
            ..
        } => DecisionKind::Moved {
            service: *service,
            shard: *shard,
            from: *from,
            to: *to,
            cause: MoveCause::Remote,
        },
        Change::Override {
            service,
            key_hash,
            to,
            ..
        } => DecisionKind::Overridden {
            service: *service,
            key_hash: *key_hash,
            to: *to,
        },
    })
}

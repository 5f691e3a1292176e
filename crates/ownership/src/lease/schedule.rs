//! What a swap of this daemon contains, and when one is due.
//!
//! Every swap carries all that its author may change at that moment: the ends of its lost lessees,
//! adoptions, its own record, released moves, and owners for all orphaned shards.

use std::time::Duration;

use super::api::{Effect, ExpiryQuery, HeldShard, MoveWriter, Rule};
use super::core::Core;
use super::lessee::{LessorLink, lessor_lease_length};
use super::releases::{Release, ReleasePurpose};
use super::writer::OwnSessionChange;
use crate::assignment;
use crate::change::Delta;
use crate::ids::{ServiceId, SessionId};
use crate::journal::LessorCause;
use crate::table::{Session, Table, TargetInfo, TargetState};

/// Expected time of one swap under contention. Optional swaps spread over this times the number of
/// sessions, so that a lost data centre does not make all survivors write at once.
const EXPECTED_SWAP_TIME: Duration = Duration::from_millis(5);

/// Time that released shards wait for each other, to share a swap.
const MOVE_BATCH_DELAY: Duration = Duration::from_millis(10);

impl Core {
    /// Does everything that is due at `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        // An end in the past would stay the next deadline and keep the driver from sleeping.
        self.settling_until.retain(|_, until| now < *until);
        self.send_renewals(now);
        self.release_leaving_shards();
        if let Some(effect) = self.writer.read_back(now, &self.settings) {
            self.effects.push(effect);
        }
        self.send_expiry_queries(now);
        self.read_for_self_renewal(now);
        self.cancel_unwritten_moves(now);
        let due = self.swap_due_at().is_some_and(|at| at <= now);
        if self.writer.pending.is_some() || !due || now < self.writer.not_before {
            return;
        }
        // R4: a swap restricts the lessors that count until its outcome is known. Starting it
        // only after a read answered keeps an outage of the platform from causing that.
        if self
            .writer
            .is_current(now, self.table.version, &self.settings)
        {
            self.start_swap(now);
        } else if let Some(read) = self.writer.start_read(now) {
            self.effects.push(read);
        }
    }

    /// Reads the table while no lessor renews the own lease.
    fn read_for_self_renewal(&mut self, now: Duration) {
        let due = self.self_renewal_read_at().is_some_and(|at| at <= now);
        if due && let Some(read) = self.writer.start_read(now) {
            self.effects.push(read);
        }
    }

    /// Returns when a session without lessors reads the table next: as often as others renew. It also
    /// learns by this that others joined, or that they ended it.
    pub(super) fn self_renewal_read_at(&self) -> Option<Duration> {
        if !self.has_no_lessors() {
            return None;
        }
        let shown = self.writer.read_started_at(self.table.version);
        Some(shown.map_or(self.writer.not_before, |at| {
            at + self.settings.renew_interval
        }))
    }

    /// Keeps the shards that this daemon was to move, when the platform does not take the swap. An
    /// outage that begins in the middle of a move would otherwise leave them without an owner that
    /// serves them until it ends.
    fn cancel_unwritten_moves(&mut self, now: Duration) {
        if self.writer.pending.is_some() || self.writer.platform_responsive() {
            return;
        }
        if self
            .releases
            .cancel_own_moves(now.saturating_sub(self.settings.reclaim_delay))
        {
            self.effects.push(Effect::GrantsChanged);
        }
    }

    fn send_renewals(&mut self, now: Duration) {
        let version = self.table.version;
        for renewal in self.lessee.due_requests(now, version, &self.settings) {
            self.effects.push(Effect::SendRenew(renewal));
        }
    }

    /// Asks the other lessors of lessees that are counted out, once the platform answers. The
    /// answer commits them, and a commitment that no swap can follow would only stop the lessee.
    fn send_expiry_queries(&mut self, now: Duration) {
        let Some(from) = self.session else { return };
        if self
            .lessees
            .next_query_at(&self.settings)
            .is_none_or(|at| now < at)
        {
            return;
        }
        if !self.writer.platform_answered_recently(now, &self.settings) {
            if let Some(read) = self.writer.start_read(now) {
                self.effects.push(read);
            }
            return;
        }
        let version = self.table.version;
        for (to, lessee, term) in self.lessees.due_queries(now, &self.settings) {
            self.effects.push(Effect::SendExpired(ExpiryQuery {
                from,
                to,
                lessee,
                term,
                version,
            }));
        }
    }

    /// Releases the shards of a target that takes no new work, while another target can take them.
    fn release_leaving_shards(&mut self) {
        let Some(me) = self.session else { return };
        let leaving: Vec<HeldShard> = self
            .owned
            .iter()
            .filter(|held| !self.releases.contains(held.service, held.shard))
            .filter(|held| !self.target_accepts(held.service))
            .copied()
            .collect();
        let mut last: Option<(ServiceId, bool)> = None;
        for held in leaving {
            let other = match last {
                Some((service, other)) if service == held.service => other,
                _ => assignment::ready_targets(&self.table, held.service)
                    .iter()
                    .any(|(id, _)| *id != me),
            };
            last = Some((held.service, other));
            if other || self.leaving {
                self.begin_release(held, ReleasePurpose::Leave);
            }
        }
        if self.leaving {
            self.release_override_keys(me);
        }
    }

    fn release_override_keys(&mut self, me: SessionId) {
        for (at, service) in self.table.clone().services.iter().enumerate() {
            let id = ServiceId(at as u16);
            for own in service
                .overrides
                .iter()
                .filter(|o| o.assignment.owner == Some(me))
            {
                if !self.releases.contains_key(id, own.key_hash) {
                    self.release_key(id, own.key_hash, own.assignment.epoch, None);
                }
            }
        }
    }

    /// Tells whether the target beside this daemon takes work of the service.
    fn target_accepts(&self, service: ServiceId) -> bool {
        let name = self.table.service(service).map(|s| s.name.as_str());
        !self.leaving
            && self
                .target
                .as_ref()
                .is_some_and(|t| t.state == TargetState::Ready && Some(t.service.as_str()) == name)
    }

    /// Returns the time from which a swap is due; `None` when there is nothing to write.
    pub(super) fn swap_due_at(&self) -> Option<Duration> {
        let Some(me) = self.session else {
            return self.join_due_at();
        };
        let own = self.table.session(me)?;
        let jitter = self.swap_jitter();
        let ended_lessees = self
            .lessees
            .records
            .values()
            .filter_map(|r| r.may_end_at(&self.settings));
        let adoptions = self
            .without_lessors
            .values()
            .map(|(_, seen)| *seen + self.settings.lease / 2 + jitter);
        let now = Duration::ZERO;
        let lost = (!self.confirmed_lost.is_empty()).then_some(now);
        let target = self.target_update_due(own).then_some(now);
        let declare = self.undeclared().next().map(|_| self.installed_at + jitter);
        let released_moves = (!self.released_moves.is_empty()).then_some(now);
        let leave = self.may_leave().then_some(now);
        ended_lessees
            .chain(adoptions)
            .chain(lost)
            .chain(target)
            .chain(declare)
            .chain(released_moves)
            .chain(leave)
            .chain(self.moves_due_at())
            .chain(self.join_requests_due_at())
            .chain(self.assignment_due_at())
            .chain(self.lessor_change().map(|(at, _)| at))
            .min()
    }

    /// Tells whether the table has to learn of the own target. A measured capacity by itself waits for the
    /// next swap: it only weighs the shards that a later loss deals out, and all daemons measure theirs
    /// at the same time, so that each would lose as many races as there are daemons.
    fn target_update_due(&self, own: &Session) -> bool {
        let capacity = own.target.as_ref().map_or(0, |t| t.capacity);
        let wanted = self.desired_target(&self.table);
        wanted.map(|t| TargetInfo { capacity, ..t }) != own.target
    }

    /// Random share of the time that all sessions together take for a swap each.
    fn swap_jitter(&self) -> Duration {
        (EXPECTED_SWAP_TIME * self.table.sessions.len() as u32).mul_f64(self.jitter_fraction)
    }

    fn join_due_at(&self) -> Option<Duration> {
        if self.leaving {
            return None;
        }
        let own = match self.predecessor() {
            Some(_) => self.replace_at(),
            None => self.identity.bound_at,
        };
        Some(own.max(self.join_request_deadline().unwrap_or_default()))
    }

    /// Time from which an old session at the own address may be ended (R7). What the predecessor
    /// granted is held by the target beside this daemon. While that is the same life nobody else can
    /// come to hold it, and once it began a later one nobody holds it at all, so there is nothing to wait
    /// for.
    pub(super) fn replace_at(&self) -> Duration {
        if self.settings.disabled_rule == Some(Rule::ReplaceWait)
            || self.resumes()
            || self.target_restarted()
        {
            return self.identity.bound_at;
        }
        self.identity.bound_at + lessor_lease_length(&self.settings)
    }

    /// Tells whether the target is the same life that the predecessor granted to.
    pub(super) fn resumes(&self) -> bool {
        let known = self.predecessor().and_then(|old| old.target.as_ref());
        let report = self.target.as_ref().filter(|t| t.incarnation != 0);
        known.zip(report).is_some_and(|(known, report)| {
            let service = self.table.service(known.service);
            known.incarnation == report.incarnation
                && service.is_some_and(|s| s.name == report.service)
        })
    }

    /// Tells whether the target began a later life than the one that the predecessor granted to. A VM has
    /// one target at a time, so the earlier life has ended, and its grants with it.
    fn target_restarted(&self) -> bool {
        let known = self.predecessor().and_then(|old| old.target.as_ref());
        let known = known.map_or(0, |t| t.incarnation);
        known != 0 && self.target.as_ref().is_some_and(|t| t.incarnation > known)
    }

    /// Returns the session of an earlier process at the own address.
    pub(super) fn predecessor(&self) -> Option<&Session> {
        let mut sessions = self.table.sessions.iter();
        sessions.find(|s| {
            s.address == self.identity.address && s.incarnation != self.identity.incarnation
        })
    }

    pub(super) fn undeclared(&self) -> impl Iterator<Item = &super::api::DeclaredService> {
        let missing = |d: &&super::api::DeclaredService| self.table.service_id(&d.name).is_none();
        self.declared.iter().filter(missing)
    }

    fn moves_due_at(&self) -> Option<Duration> {
        let keys = self.releases.keys.values();
        let keys = keys.filter(|k| k.drained).map(|_| Duration::ZERO);
        let shards = self.releases.shards.values();
        shards
            .filter_map(|r| self.release_due_at(r))
            .chain(keys)
            .min()
    }

    fn release_due_at(&self, release: &Release) -> Option<Duration> {
        let at = release.drained_at?;
        if release.machine.state() == "withdrawn" {
            return Some(at);
        }
        Some(match release.purpose {
            ReleasePurpose::Move {
                by: MoveWriter::Planner,
                ..
            } => at + self.settings.reclaim_delay,
            ReleasePurpose::Leave
            | ReleasePurpose::NewIncarnation
            | ReleasePurpose::Move { .. } => at + MOVE_BATCH_DELAY,
            _ => at,
        })
    }

    pub(super) fn may_leave(&self) -> bool {
        let gone = |held: &HeldShard| {
            let release = self.releases.shards.get(&(held.service, held.shard));
            release.is_some_and(|r| r.drained_at.is_some())
        };
        self.leaving
            && self.owned.iter().all(gone)
            && self.releases.keys.values().all(|k| k.drained)
    }

    fn assignment_due_at(&self) -> Option<Duration> {
        if !self.has_unassigned {
            return None;
        }
        let new = |id: &ServiceId| !self.may_assign(*id, self.installed_at);
        let waiting = self.gathering_since.iter().filter(|(id, _)| new(id));
        let gather = waiting
            .map(|(_, since)| *since + self.settings.gather_delay)
            .max();
        Some((self.installed_at + self.swap_jitter()).max(gather.unwrap_or_default()))
    }

    /// Tells whether the shards of a service may get owners: always after the first time.
    pub(super) fn may_assign(&self, service: ServiceId, now: Duration) -> bool {
        let known = self.table.service(service);
        let fresh = known.is_none_or(|s| s.shards.iter().all(|s| s.epoch.0 == 0));
        let since = self.gathering_since.get(&service);
        !fresh || since.is_some_and(|since| now >= *since + self.settings.gather_delay)
    }

    /// Returns what the table should say of the own target.
    pub(super) fn desired_target(&self, table: &Table) -> Option<TargetInfo> {
        let own = self.session.and_then(|id| table.session(id));
        let known = own.and_then(|s| s.target.clone());
        let Some(report) = &self.target else {
            return known.map(|t| TargetInfo {
                state: TargetState::Away,
                ..t
            });
        };
        let Some(service) = table.service_id(&report.service) else {
            return known;
        };
        Some(TargetInfo {
            service,
            slots: report.slots,
            checks_grants: report.checks_grants,
            state: match (self.leaving, report.state) {
                (true, TargetState::Ready) => TargetState::Draining,
                (_, state) => state,
            },
            capacity: report.capacity,
            incarnation: report.incarnation,
        })
    }

    /// Returns when the own lessors should change, and why (R4, R11).
    pub(super) fn lessor_change(&self) -> Option<(Duration, LessorCause)> {
        let own = self.table.session(self.session?)?;
        if self.writer.is_ending() {
            return None;
        }
        let jitter = self.swap_jitter();
        let installed = self.installed_at;
        let mut candidates = Vec::new();
        let ended = own
            .lessors
            .iter()
            .any(|id| self.table.session(*id).is_none());
        if ended {
            candidates.push((installed + jitter, LessorCause::LessorEnded));
        }
        if own.lessors.len() < self.desired_lessor_count(&self.table) {
            candidates.push((installed + jitter, LessorCause::TooFew));
        }
        if !own.lessors.is_empty() {
            let out = self.lessee.expires_at.unwrap_or(installed);
            candidates.push((out + jitter, LessorCause::LeaseExpired));
        }
        let links = &self.lessee.links;
        let silent = |l: &LessorLink| l.silent_at(&self.settings);
        if let Some(first) = links.iter().map(silent).min() {
            let last = links.iter().map(silent).max().unwrap_or(first);
            // With no lessor left the change does not wait for others' swaps.
            candidates.push((last.min(first + jitter), LessorCause::LessorUnresponsive));
        }
        let steady = links.iter().map(LessorLink::steady_since);
        if self.better_lessors_exist
            && !links.is_empty()
            && let Some(since) = steady.collect::<Option<Vec<_>>>()
        {
            let since = since.into_iter().max().unwrap_or_default();
            let at = since + self.settings.steady_period + jitter * 4;
            candidates.push((at, LessorCause::Preferred));
        }
        let first = candidates.into_iter().min_by_key(|(at, _)| *at);
        first.map(|(at, cause)| (at.max(self.lessor_change_not_before), cause))
    }

    pub(super) fn desired_lessor_count(&self, table: &Table) -> usize {
        let others = table.sessions.len().saturating_sub(1);
        self.settings.lessors.min(others)
    }

    fn start_swap(&mut self, now: Duration) {
        if self.session.is_none() && self.request_join(now) {
            return;
        }
        let Some(proposal) = self.propose(now) else {
            return;
        };
        if proposal.changes.is_empty() {
            // What was due turned out not to be possible; the next table may change that.
            if self.lessor_change().is_some_and(|(at, _)| at <= now) {
                self.lessor_change_not_before = now + self.settings.lease;
            }
            self.writer.not_before = now + self.settings.renew_interval / 3;
            return;
        }
        for &lessee in &proposal.ended_lessees {
            self.lessees.commit(lessee);
        }
        self.lessee.next_lessors = proposal.new_lessors;
        if self.session.is_none() && self.session_chart.state() == "outside" {
            self.step_session("swap.started");
        }
        let change_id = self.writer.change_id();
        let delta = Delta {
            to_version: self.table.version + 1,
            change_id,
            changes: proposal.changes,
        };
        let mut next = proposal.table;
        next.commit_version(change_id);
        let effect = self.writer.start(
            now,
            delta,
            next,
            proposal.session_change,
            proposal.decisions,
        );
        self.effects.push(effect);
        if proposal.session_change == OwnSessionChange::End {
            self.effects.push(Effect::GrantsChanged);
        }
    }
}

//! Scheduling: which reads, requests and swaps are due at a given time.
//!
//! Every swap contains all changes that its author may make at that time, among them: ends of
//! lessees with expired leases, new lessors for sessions without any, changes of its own session,
//! requested joins, released moves and owners for unassigned shards.

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

/// Expected duration of one swap under contention. Swaps for which several sessions have the same
/// reason are spread over this time multiplied by the number of sessions. Otherwise all survivors
/// of a lost data centre would write at once.
const EXPECTED_SWAP_TIME: Duration = Duration::from_millis(15);

/// Delay that lets the shards that several owners released share one swap of the planner. Owners
/// release shards with reports of their targets, 0.9 s apart.
const RELEASED_MOVES_DELAY: Duration = Duration::from_millis(100);

/// Delay of the swaps that write the states of the targets of an evacuated data centre. The shards
/// have usually moved by then: a target releases them with its second report, 0.9 s after the first.
const EVACUATED_TARGET_DELAY: Duration = Duration::from_millis(2_500);

/// Delay of the swap that writes the state of the target of a leaving daemon. The swap that moves its
/// shards usually contains the state before.
const LEAVING_TARGET_DELAY: Duration = Duration::from_millis(100);

/// Delay that lets several released shards share one swap.
const MOVE_BATCH_DELAY: Duration = Duration::from_millis(10);

impl Core {
    /// Starts all requests, reads and releases that are due at `now`, and a swap if one is due.
    pub(super) fn advance(&mut self, now: Duration) {
        // An entry in the past would remain the next deadline, and the driver would never sleep.
        self.settling_until.retain(|_, until| now < *until);
        self.send_renewals(now);
        self.request_target(now);
        self.release_leaving_shards();
        // A restored store may have lost the base version of a pending swap, or versions after it.
        if self.restoration.is_none()
            && let Some(effect) = self.writer.read_back(now, &self.settings)
        {
            self.effects.push(effect);
        }
        self.send_expiry_queries(now);
        self.read_for_self_renewal(now);
        self.cancel_unwritten_moves(now);
        if self.advance_restoration(now) {
            return;
        }
        let is_due = self.swap_due_at().is_some_and(|at| at <= now);
        if self.writer.pending.is_some() || !is_due || now < self.writer.not_before {
            return;
        }
        // R4: while a change of lessors is pending, renewals of fewer lessors count. Such a swap
        // therefore starts only after a successful read, so that it is unlikely to remain pending
        // because of a platform outage. For other swaps a table that a peer has just written is
        // enough.
        let version = self.table.version;
        let changes_lessors = self.lessor_change().is_some_and(|(at, _)| at <= now);
        if self.writer.is_current(now, version, &self.settings)
            || (!changes_lessors && self.writer.is_recently_installed(now, version))
        {
            self.start_swap(now);
        } else if let Some(read) = self.writer.start_read(now) {
            self.effects.push(read);
        }
    }

    /// Reads the table to renew the lease of a session without lessors (R13).
    fn read_for_self_renewal(&mut self, now: Duration) {
        let is_due = self.self_renewal_read_at().is_some_and(|at| at <= now);
        if is_due && let Some(read) = self.writer.start_read(now) {
            self.effects.push(read);
        }
    }

    /// Returns when a session without lessors must read the table next, to renew its own lease;
    /// `None` if this session has lessors, and during a restoration, which reads the table itself. It
    /// reads once per renewal interval. The read also shows whether others joined or ended this
    /// session.
    pub(super) fn self_renewal_read_at(&self) -> Option<Duration> {
        if !self.has_no_lessors() || self.restoration.is_some() {
            return None;
        }
        let last_seen = self.writer.last_seen_at(self.table.version);
        Some(last_seen.map_or(self.writer.not_before, |at| {
            at + self.settings.renew_interval
        }))
    }

    /// Cancels moves that this daemon cannot write because the platform store does not respond.
    /// Otherwise an outage that starts during a move would leave the shard unserved until the
    /// outage ends.
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

    /// Queries the other lessors of lessees with expired leases if the platform store replied
    /// recently, and reads the table otherwise. A positive reply to a query commits the other
    /// lessor. During an outage of the store no swap could follow, so the commitment would only
    /// prevent the lessee from renewing its lease.
    fn send_expiry_queries(&mut self, now: Duration) {
        let Some(from) = self.session else { return };
        if self
            .lessees
            .next_query_at(&self.settings)
            .is_none_or(|at| now < at)
        {
            return;
        }
        if !self.writer.platform_replied_recently(now, &self.settings) {
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

    /// Releases the shards of a target that accepts no new requests. Unless this daemon is leaving,
    /// this requires another ready target.
    fn release_leaving_shards(&mut self) {
        let Some(me) = self.session else { return };
        let to_release: Vec<HeldShard> = self
            .owned
            .iter()
            .filter(|held| !self.releases.contains(held.service, held.shard))
            .filter(|held| !self.target_accepts(held.service))
            .copied()
            .collect();
        let mut last_checked: Option<(ServiceId, bool)> = None;
        for held in to_release {
            let other_ready = match last_checked {
                Some((service, other_ready)) if service == held.service => other_ready,
                _ => assignment::ready_targets(&self.table, held.service)
                    .iter()
                    .any(|(id, _)| *id != me && !self.is_evacuated(*id)),
            };
            last_checked = Some((held.service, other_ready));
            if other_ready || self.leaving {
                self.begin_release(held, ReleasePurpose::Leave);
            }
        }
        if self.leaving {
            self.release_override_keys(me);
        }
    }

    /// Releases the overridden keys of this daemon, which is leaving.
    fn release_override_keys(&mut self, me: SessionId) {
        for (index, service) in self.table.clone().services.iter().enumerate() {
            let id = ServiceId(index as u16);
            for key_override in service
                .overrides
                .iter()
                .filter(|o| o.assignment.owner == Some(me))
            {
                if !self.releases.contains_key(id, key_override.key_hash) {
                    self.release_key(
                        id,
                        key_override.key_hash,
                        key_override.assignment.epoch,
                        None,
                    );
                }
            }
        }
    }

    /// Returns whether the target of this daemon accepts new requests for the service.
    fn target_accepts(&self, service: ServiceId) -> bool {
        let name = self.table.service(service).map(|s| s.name.as_str());
        !self.leaving
            && self
                .target
                .as_ref()
                .is_some_and(|t| t.state == TargetState::Ready && Some(t.service.as_str()) == name)
    }

    /// Returns the earliest time at which this daemon has a change to write; `None` if it has none.
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
            .map(|(_, first_seen_at)| *first_seen_at + self.settings.lease / 2 + jitter);
        let immediately = Duration::ZERO;
        let lost_sessions = (!self.confirmed_lost.is_empty()).then_some(immediately);
        let target = self.target_update_due(own);
        let target = target.then(|| {
            self.requests
                .target_deadline()
                .unwrap_or(self.target_update_at())
        });
        let declarations = self.undeclared().next().map(|_| self.installed_at + jitter);
        let released_moves = self.released_moves.iter().map(|m| m.received_at).min();
        let released_moves = released_moves.map(|at| at + RELEASED_MOVES_DELAY);
        let leave = self.may_leave().then_some(immediately);
        ended_lessees
            .chain(adoptions)
            .chain(lost_sessions)
            .chain(target)
            .chain(declarations)
            .chain(released_moves)
            .chain(leave)
            .chain(self.moves_due_at())
            .chain(self.requests_due_at())
            .chain(self.assignment_due_at())
            .chain(self.lessor_change().map(|(at, _)| at))
            .min()
    }

    /// Returns whether the target entry in the table must be updated. A changed capacity alone
    /// waits for the next swap: it is only a weight for later assignments, and since all daemons
    /// measure capacities at the same time, each would run into as many conflicts as there are
    /// daemons.
    pub(super) fn target_update_due(&self, own: &Session) -> bool {
        let capacity = own.target.as_ref().map_or(0, |t| t.capacity);
        let desired = self.desired_target(&self.table);
        desired.map(|t| TargetInfo { capacity, ..t }) != own.target
    }

    /// Returns the earliest time at which a changed target entry is written without other changes. All
    /// targets of a data centre change their state when it is evacuated or readmitted. At the start of
    /// an evacuation their swaps would conflict with those of the moves, and no daemon needs the
    /// entries: all know the evacuated data centres. A target that leaves waits for its entry.
    fn target_update_at(&self) -> Duration {
        if let Some(since) = self.leaving_since
            && !self.may_leave()
        {
            return since + LEAVING_TARGET_DELAY;
        }
        let report = self.target.as_ref();
        let leaves = report.is_some_and(|t| t.state == TargetState::Departing);
        if leaves || self.evacuations_changed_at.is_zero() {
            return Duration::ZERO;
        }
        let delay = match self.is_home_evacuated() {
            true => EVACUATED_TARGET_DELAY,
            false => Duration::ZERO,
        };
        self.evacuations_changed_at + delay + self.swap_jitter()
    }

    /// Returns a random part of the time in which every session can write one swap.
    fn swap_jitter(&self) -> Duration {
        (EXPECTED_SWAP_TIME * self.table.sessions.len() as u32).mul_f64(self.jitter_fraction)
    }

    fn join_due_at(&self) -> Option<Duration> {
        if self.leaving {
            return None;
        }
        let own_join = match self.predecessor() {
            Some(_) => self.replace_at(),
            None => self.identity.bound_at,
        };
        Some(own_join.max(self.join_deadline().unwrap_or_default()))
    }

    /// Returns the earliest time at which the predecessor's session may be ended (R7).
    ///
    /// The target on this VM holds the grants of the predecessor. If the target is still the same
    /// incarnation, it remains the only holder. If it restarted, it holds none of these grants.
    /// Neither case needs a wait. Otherwise the wait is one lease.
    pub(super) fn replace_at(&self) -> Duration {
        if self.settings.disabled_rule == Some(Rule::ReplaceWait)
            || self.resumes()
            || self.target_restarted()
        {
            return self.identity.bound_at;
        }
        self.identity.bound_at + lessor_lease_length(&self.settings)
    }

    /// Returns whether the target is still the incarnation that holds the predecessor's grants.
    pub(super) fn resumes(&self) -> bool {
        let recorded = self.predecessor().and_then(|old| old.target.as_ref());
        let report = self.target.as_ref().filter(|t| t.incarnation != 0);
        recorded.zip(report).is_some_and(|(recorded, report)| {
            let service = self.table.service(recorded.service);
            recorded.incarnation == report.incarnation
                && service.is_some_and(|s| s.name == report.service)
        })
    }

    /// Returns whether the target restarted after the predecessor recorded it. A VM runs one target
    /// at a time, so the earlier incarnation has ended, and its grants with it.
    fn target_restarted(&self) -> bool {
        let recorded = self.predecessor().and_then(|old| old.target.as_ref());
        let recorded = recorded.map_or(0, |t| t.incarnation);
        recorded != 0
            && self
                .target
                .as_ref()
                .is_some_and(|t| t.incarnation > recorded)
    }

    /// Returns the session of an earlier process at the address of this daemon, if it is still in
    /// the table.
    pub(super) fn predecessor(&self) -> Option<&Session> {
        let mut sessions = self.table.sessions.iter();
        sessions.find(|s| {
            s.address == self.identity.address && s.incarnation != self.identity.incarnation
        })
    }

    /// Returns the services of the configuration that are not in the table.
    pub(super) fn undeclared(&self) -> impl Iterator<Item = &super::api::DeclaredService> {
        let is_undeclared =
            |d: &&super::api::DeclaredService| self.table.service_id(&d.name).is_none();
        self.declared.iter().filter(is_undeclared)
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
            // The planner writes the moves of all owners of the data centre in a few swaps.
            ReleasePurpose::Leave if self.is_home_evacuated() => {
                at + self.settings.reclaim_delay / 2 + self.swap_jitter()
            }
            ReleasePurpose::Leave
            | ReleasePurpose::NewIncarnation
            | ReleasePurpose::Move { .. } => at + MOVE_BATCH_DELAY,
            _ => at,
        })
    }

    /// Returns whether this daemon is leaving and everything that it owns is drained.
    pub(super) fn may_leave(&self) -> bool {
        let is_drained = |held: &HeldShard| {
            let release = self.releases.shards.get(&(held.service, held.shard));
            release.is_some_and(|r| r.drained_at.is_some())
        };
        self.leaving
            && self.owned.iter().all(is_drained)
            && self.releases.keys.values().all(|k| k.drained)
    }

    fn assignment_due_at(&self) -> Option<Duration> {
        if !self.has_unassigned {
            return None;
        }
        let is_gathering = |id: &ServiceId| !self.may_assign(*id, self.installed_at);
        let waiting = self
            .gathering_since
            .iter()
            .filter(|(id, _)| is_gathering(id));
        let gather = waiting
            .map(|(_, since)| *since + self.settings.gather_delay)
            .max();
        Some((self.installed_at + self.swap_jitter()).max(gather.unwrap_or_default()))
    }

    /// Returns whether unassigned shards of a service may be assigned. The gather delay applies
    /// only to the first assignment of a service.
    pub(super) fn may_assign(&self, service: ServiceId, now: Duration) -> bool {
        let table_service = self.table.service(service);
        let never_assigned = table_service.is_none_or(|s| s.shards.iter().all(|s| s.epoch.0 == 0));
        let since = self.gathering_since.get(&service);
        !never_assigned || since.is_some_and(|since| now >= *since + self.settings.gather_delay)
    }

    /// Returns the target entry that the table should have for this daemon.
    pub(super) fn desired_target(&self, table: &Table) -> Option<TargetInfo> {
        let own = self.session.and_then(|id| table.session(id));
        let current = own.and_then(|s| s.target.clone());
        let Some(report) = &self.target else {
            return current.map(|t| TargetInfo {
                state: TargetState::Away,
                ..t
            });
        };
        let Some(service) = table.service_id(&report.service) else {
            return current;
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

    /// Returns the earliest time at which this session has a reason to change its lessors, and that
    /// reason (R4, R11).
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
            let expires_at = self.lessee.expires_at.unwrap_or(installed);
            candidates.push((expires_at + jitter, LessorCause::LeaseExpired));
        }
        let links = &self.lessee.links;
        let unresponsive_at = |l: &LessorLink| l.unresponsive_at(&self.settings);
        if let Some(first) = links.iter().map(unresponsive_at).min() {
            let last = links.iter().map(unresponsive_at).max().unwrap_or(first);
            // Once all lessors are unresponsive, the change does not wait for the jitter.
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

    /// Starts a swap with all changes that this daemon may make now, unless a member is to write
    /// the join of this process.
    fn start_swap(&mut self, now: Duration) {
        if self.session.is_none() && self.request_join(now) {
            return;
        }
        let Some(proposal) = self.propose(now) else {
            return;
        };
        if proposal.changes.is_empty() {
            // None of the due changes can be applied to this table; a newer table may allow them.
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
        self.jitter_fraction = self.writer.random_fraction();
        let change_id = self.writer.change_id();
        let delta = Delta {
            to_version: self.table.version + 1,
            change_id,
            changes: proposal.changes,
        };
        let mut next = proposal.table;
        next.commit_version(change_id);
        let effect = self.writer.start_swap(
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

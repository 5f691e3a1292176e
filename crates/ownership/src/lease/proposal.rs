//! Collects the changes for one swap. A change is added only if it can be applied after the ones
//! before it.

use std::time::Duration;

use super::api::{MoveWriter, Rule};
use super::core::{Core, ReleasedMove};
use super::releases::{Release, ReleasePurpose};
use super::writer::OwnSessionChange;
use crate::assignment;
use crate::change::{Change, EndCause};
use crate::ids::{ServiceId, SessionId, ShardId};
use crate::journal::{DecisionKind, LessorCause, MoveCause, Rejection};
use crate::lessor_selection;
use crate::table::{Session, Table};

/// Time for which a lessor that failed to renew is avoided in the selection of lessors and owners.
const SUSPICION_PERIOD: Duration = Duration::from_secs(3);

/// Changes collected for the next swap.
#[derive(Debug)]
pub(super) struct TableProposal {
    /// The newest table with `changes` applied.
    pub table: Table,
    pub changes: Vec<Change>,
    /// Decisions of this daemon, logged once the swap has taken effect.
    pub decisions: Vec<DecisionKind>,
    /// Lessees that the swap ends because their leases expired.
    pub ended_lessees: Vec<SessionId>,
    /// What the swap changes for this session.
    pub session_change: OwnSessionChange,
    /// Lessors of this session after the swap, if it changes them.
    pub new_lessors: Option<Vec<SessionId>>,
}

impl TableProposal {
    /// Adds a change if it can be applied to the table. Returns whether it was added.
    pub(super) fn push(&mut self, change: Change, kind: DecisionKind) -> bool {
        let is_applied = self.table.apply_change(&change).is_ok();
        if is_applied {
            self.changes.push(change);
            self.decisions.push(kind);
        }
        is_applied
    }

    pub(super) fn assign(&mut self, service: ServiceId, owner: SessionId, shards: Vec<ShardId>) {
        let kind = DecisionKind::Assigned {
            service,
            owner,
            count: shards.len(),
        };
        let change = Change::Assign {
            service,
            owner,
            shards,
        };
        self.push(change, kind);
    }

    pub(super) fn end_session(&mut self, session: SessionId, term: u32, cause: EndCause) -> bool {
        let change = Change::End {
            session,
            term,
            cause,
        };
        self.push(change, DecisionKind::Ended { session, cause })
    }

    fn move_shard(
        &mut self,
        shard_id: (ServiceId, ShardId),
        release: &Release,
        (from, to): (SessionId, SessionId),
        cause: MoveCause,
    ) -> bool {
        let (service, shard) = shard_id;
        let kind = match from == to {
            true => DecisionKind::Reclaimed {
                service,
                shard,
                owner: to,
            },
            false => DecisionKind::Moved {
                service,
                shard,
                from,
                to,
                cause,
            },
        };
        let change = Change::Move {
            service,
            shard,
            from,
            epoch: release.epoch,
            to,
        };
        self.push(change, kind)
    }
}

impl Core {
    /// Returns all changes that this daemon may make now; `None` if it must not join yet.
    pub(super) fn propose(&mut self, now: Duration) -> Option<TableProposal> {
        let mut proposal = TableProposal {
            table: Table::clone(&self.table),
            changes: Vec::new(),
            decisions: Vec::new(),
            ended_lessees: Vec::new(),
            session_change: OwnSessionChange::None,
            new_lessors: None,
        };
        self.record_suspects(now);
        self.propose_services(&mut proposal);
        match self.session {
            None => self.propose_own_join(now, &mut proposal)?,
            Some(me) => {
                self.propose_ends(now, &mut proposal);
                self.propose_lessors(now, me, &mut proposal);
                self.propose_adoptions(now, me, &mut proposal);
            }
        }
        if let Some(me) = self.session {
            self.propose_target(me, &mut proposal);
            self.propose_requested_joins(now, &mut proposal);
            self.propose_requested_targets(&mut proposal);
            self.propose_released_moves(now, &mut proposal);
            self.propose_moves(now, me, &mut proposal);
            self.propose_key_moves(me, &mut proposal);
            self.propose_leave(me, &mut proposal);
        }
        self.propose_lessor_replacements(now, &mut proposal);
        self.propose_assignments(now, &mut proposal);
        Some(proposal)
    }

    fn record_suspects(&mut self, now: Duration) {
        self.suspects.retain(|_, until| now < *until);
        for link in &self.lessee.links {
            if now >= link.unresponsive_at(&self.settings) {
                self.suspects.insert(link.lessor, now + SUSPICION_PERIOD);
                self.reachability
                    .record_unresponsive(now, &self.table, link.lessor);
            }
        }
    }

    /// Returns whether a session is to be avoided in the selection of lessors: it is suspected, or
    /// its data centre appears to be unreachable.
    pub(super) fn is_unsuitable_lessor(&self, now: Duration, id: SessionId) -> bool {
        let home = (&*self.identity.region, &*self.identity.data_centre);
        self.is_suspected(now, id) || self.reachability.is_unreachable(now, &self.table, home, id)
    }

    fn is_suspected(&self, now: Duration, id: SessionId) -> bool {
        self.suspects.contains_key(&id) || self.lessees.missed_renewal(now, id, &self.settings)
    }

    /// Returns whether the data centre of a session is evacuated, which the table shows only once the
    /// daemon of the session has reported its target as draining.
    pub(super) fn is_evacuated(&self, id: SessionId) -> bool {
        let session = self.table.session(id);
        session.is_some_and(|s| self.evacuated.contains(&s.data_centre))
    }

    fn propose_own_join(&mut self, now: Duration, proposal: &mut TableProposal) -> Option<()> {
        if let Some((old, _)) = self.join_request().replaces
            && now < self.replace_at()
        {
            self.log_decision(DecisionKind::Rejected(Rejection::JoinWaits(old)));
            return None;
        }
        let request = self.join_request();
        if self.propose_join(now, &request, proposal) {
            proposal.session_change = OwnSessionChange::Lease;
        }
        Some(())
    }

    fn propose_ends(&mut self, now: Duration, proposal: &mut TableProposal) {
        for (&lessee, record) in &self.lessees.records {
            let is_due = record
                .may_end_at(&self.settings)
                .is_some_and(|at| at <= now);
            if is_due && proposal.end_session(lessee, record.term, EndCause::LeaseExpired) {
                proposal.ended_lessees.push(lessee);
            }
        }
        for &id in &self.confirmed_lost {
            let term = proposal.table.session(id).map(|s| s.term);
            if let Some(term) = term {
                proposal.end_session(id, term, EndCause::ConfirmedLost);
            }
        }
    }

    fn propose_lessors(&mut self, now: Duration, me: SessionId, proposal: &mut TableProposal) {
        let Some((due_at, cause)) = self.lessor_change() else {
            return;
        };
        let needs_lessors = matches!(cause, LessorCause::TooFew | LessorCause::LessorEnded);
        if now < due_at && !needs_lessors {
            return;
        }
        let Some(own) = proposal.table.session(me).cloned() else {
            return;
        };
        let lessors = match cause {
            LessorCause::Preferred => {
                let avoid = |id| self.is_unsuitable_lessor(now, id);
                lessor_selection::better_lessors(
                    &proposal.table,
                    &own,
                    self.settings.lessors,
                    avoid,
                )
                .unwrap_or_else(|| own.lessors.clone())
            }
            _ => self.replace_unresponsive_lessors(now, &own, &proposal.table),
        };
        let unchanged =
            lessors.len() == own.lessors.len() && lessors.iter().all(|id| own.lessors.contains(id));
        self.lessor_change_not_before = now + self.settings.lease / 2;
        if unchanged && self.lessee.has_valid_lease(now) {
            return;
        }
        let kind = DecisionKind::LessorsChanged {
            session: me,
            lessors: lessors.clone(),
            cause,
        };
        let change = Change::SetLessors {
            session: me,
            term: own.term,
            lessors: lessors.clone(),
        };
        if proposal.push(change, kind) {
            proposal.session_change = OwnSessionChange::Lease;
            proposal.new_lessors = Some(lessors);
        }
    }

    /// Returns the lessors of this session with the unresponsive ones replaced, as far as other
    /// candidates exist. Unresponsive lessors without a replacement stay: after a pause of the
    /// whole fleet, lessors are unresponsive only because they lack a valid lease themselves (R12).
    fn replace_unresponsive_lessors(
        &self,
        now: Duration,
        own: &Session,
        table: &Table,
    ) -> Vec<SessionId> {
        let count = self.desired_lessor_count(table);
        let renews = |id: &SessionId| {
            let link = self.lessee.links.iter().find(|l| l.lessor == *id);
            table.session(*id).is_some()
                && link.is_some_and(|l| now < l.unresponsive_at(&self.settings))
        };
        let keep: Vec<_> = own.lessors.iter().copied().filter(renews).collect();
        let avoid = |id| self.is_unsuitable_lessor(now, id);
        let replaced = lessor_selection::select_lessors(table, own.into(), &keep, count, avoid);
        if replaced.len() == count {
            return replaced;
        }
        let current = own.lessors.iter().copied();
        let with_current: Vec<_> = replaced
            .iter()
            .copied()
            .chain(current.filter(|id| !replaced.contains(id)))
            .collect();
        lessor_selection::select_lessors(table, own.into(), &with_current, count, |_| false)
    }

    /// Adopts sessions whose lessors have all ended (R5): this session becomes a lessor of each,
    /// and further lessors are selected up to the configured number.
    fn propose_adoptions(&mut self, now: Duration, me: SessionId, proposal: &mut TableProposal) {
        for (&id, &(term, first_seen_at)) in &self.without_lessors {
            let Some(lessee) = proposal.table.session(id) else {
                continue;
            };
            if now < first_seen_at + self.settings.lease / 2 || me == id {
                continue;
            }
            let count = self.settings.lessors;
            let avoid = |id| self.is_unsuitable_lessor(now, id);
            let lessors = lessor_selection::select_lessors(
                &proposal.table,
                lessee.into(),
                &[me],
                count,
                avoid,
            );
            let kind = DecisionKind::LessorsChanged {
                session: id,
                lessors: lessors.clone(),
                cause: LessorCause::Adopted,
            };
            let change = Change::SetLessors {
                session: id,
                term,
                lessors,
            };
            proposal.push(change, kind);
        }
    }

    fn propose_services(&mut self, proposal: &mut TableProposal) {
        for declared in self.declared.clone() {
            let name = declared.name;
            let known = proposal.table.service_id(&name);
            let known_shards = known.map(|id| proposal.table.services[id.index()].shards.len());
            if known_shards.is_some_and(|count| count != declared.shards as usize) {
                self.log_decision(DecisionKind::Rejected(Rejection::ShardCount(name)));
            } else if known_shards.is_none() {
                let kind = DecisionKind::Declared {
                    name: name.clone(),
                    shards: declared.shards,
                };
                let change = Change::DeclareService {
                    name,
                    shards: declared.shards,
                };
                proposal.push(change, kind);
            }
        }
    }

    fn propose_target(&mut self, me: SessionId, proposal: &mut TableProposal) {
        let desired = self.desired_target(&proposal.table);
        let current = proposal.table.session(me).and_then(|s| s.target.clone());
        if desired != current {
            let change = Change::SetTarget {
                session: me,
                target: desired,
            };
            proposal.push(change, DecisionKind::TargetChanged { session: me });
        }
    }

    /// Adds the moves that this daemon requested as planner and that the owners released. Moves
    /// that no longer match the table are dropped.
    fn propose_released_moves(&mut self, now: Duration, proposal: &mut TableProposal) {
        for released in std::mem::take(&mut self.released_moves) {
            let (service, shard) = (released.held.service, released.held.shard);
            let Some(to) = self.next_owner(now, &released, proposal) else {
                continue;
            };
            let current = proposal.table.service(service);
            let current = current.and_then(|s| s.shards.get(shard.index()));
            let epoch = match self.settings.disabled_rule {
                Some(Rule::ReleaseEpoch) => current.map_or(released.held.epoch, |s| s.epoch),
                _ => released.held.epoch,
            };
            let change = Change::Move {
                service,
                shard,
                from: released.from,
                epoch,
                to,
            };
            let kind = DecisionKind::Moved {
                service,
                shard,
                from: released.from,
                to,
                cause: match to == released.to {
                    true => MoveCause::Requested,
                    false => MoveCause::TargetLeaves,
                },
            };
            if proposal.push(change, kind) {
                self.released_moves.push(released);
            } else {
                self.log_decision(DecisionKind::Rejected(Rejection::StaleMove(shard, service)));
            }
        }
    }

    /// Returns the next owner of a released shard, which this planner chooses if the owner leaves it
    /// open. `None` if there is no other.
    fn next_owner(
        &self,
        now: Duration,
        released: &ReleasedMove,
        proposal: &TableProposal,
    ) -> Option<SessionId> {
        let ReleasedMove { held, from, to, .. } = *released;
        if to != from {
            return Some(to);
        }
        proposal
            .table
            .service(held.service)?
            .shards
            .get(held.shard.index())?;
        let avoid = |id| self.is_suspected(now, id) || self.is_evacuated(id);
        assignment::choose_owner(&proposal.table, (held.service, held.shard), avoid, from)
    }

    /// Adds the moves and key overrides for the shards that this daemon released and drained, and
    /// reclaims the shards that cannot move.
    fn propose_moves(&mut self, now: Duration, me: SessionId, proposal: &mut TableProposal) {
        for (&shard_id, release) in &self.releases.shards {
            if release.drained_at.is_none() {
                continue;
            }
            let is_withdrawn = release.machine.state() == "withdrawn";
            match release.purpose {
                _ if is_withdrawn => {
                    proposal.move_shard(shard_id, release, (me, me), MoveCause::Requested);
                }
                ReleasePurpose::Move {
                    by: MoveWriter::Planner,
                    ..
                } => {
                    // R6: the planner did not write the move, so the owner reclaims the shard.
                    if release
                        .drained_at
                        .is_some_and(|d| now >= d + self.settings.reclaim_delay)
                    {
                        proposal.move_shard(shard_id, release, (me, me), MoveCause::Requested);
                    }
                }
                ReleasePurpose::Move { to, .. } => {
                    let ready = assignment::ready_targets(&proposal.table, shard_id.0);
                    let ready = ready.iter().any(|(id, _)| *id == to);
                    let to = if ready { to } else { me };
                    proposal.move_shard(shard_id, release, (me, to), MoveCause::Requested);
                }
                ReleasePurpose::NewIncarnation => {
                    proposal.move_shard(shard_id, release, (me, me), MoveCause::Requested);
                }
                ReleasePurpose::Leave => {
                    self.propose_leaving_shard(now, me, shard_id, release, proposal)
                }
                ReleasePurpose::Override { key_hash, to } => {
                    let (service, from) = (shard_id.0, Some((me, release.epoch)));
                    let kind = DecisionKind::Overridden {
                        service,
                        key_hash,
                        to: Some(to),
                    };
                    let change = Change::Override {
                        service,
                        key_hash,
                        from,
                        to: Some(to),
                    };
                    if !proposal.push(change, kind) {
                        proposal.move_shard(shard_id, release, (me, me), MoveCause::Requested);
                    }
                }
            }
        }
    }

    fn propose_leaving_shard(
        &self,
        now: Duration,
        me: SessionId,
        shard_id: (ServiceId, ShardId),
        release: &Release,
        proposal: &mut TableProposal,
    ) {
        let avoid = |id| self.is_suspected(now, id) || self.is_evacuated(id);
        let to = assignment::choose_owner(&proposal.table, shard_id, avoid, me);
        // Without another ready target, a session that stays reclaims the shard. If the session
        // leaves, the shard becomes unassigned with the end of the session.
        let to = match (to, self.leaving) {
            (Some(to), _) => to,
            (None, true) => return,
            (None, false) => me,
        };
        proposal.move_shard(shard_id, release, (me, to), MoveCause::TargetLeaves);
    }

    fn propose_key_moves(&mut self, me: SessionId, proposal: &mut TableProposal) {
        for (&(service, key_hash), release) in &self.releases.keys {
            if !release.drained {
                continue;
            }
            let ready = assignment::ready_targets(&proposal.table, service);
            let to = release.to.filter(|to| ready.iter().any(|(id, _)| id == to));
            let kind = DecisionKind::Overridden {
                service,
                key_hash,
                to,
            };
            let change = Change::Override {
                service,
                key_hash,
                from: Some((me, release.epoch)),
                to,
            };
            proposal.push(change, kind);
        }
    }

    fn propose_leave(&mut self, me: SessionId, proposal: &mut TableProposal) {
        let term = proposal.table.session(me).map(|s| s.term);
        if let Some(term) = term.filter(|_| self.may_leave())
            && proposal.end_session(me, term, EndCause::Left)
        {
            proposal.session_change = OwnSessionChange::End;
        }
    }

    fn propose_assignments(&mut self, now: Duration, proposal: &mut TableProposal) {
        let avoid = |id| self.is_suspected(now, id) || self.is_evacuated(id);
        let skip = |service| !self.may_assign(service, now);
        for change in assignment::assign_shards(&proposal.table, avoid, skip) {
            if let Change::Assign {
                service,
                owner,
                shards,
            } = change
            {
                proposal.assign(service, owner, shards);
            }
        }
    }
}

/// Returns the shards that a session owns, grouped by service.
pub(super) fn shards_owned_by(table: &Table, session: SessionId) -> Vec<(ServiceId, Vec<ShardId>)> {
    let mut shards_by_service = Vec::new();
    for (service_index, service) in table.services.iter().enumerate() {
        let owned = service.shards.iter().enumerate();
        let owned = owned.filter(|(_, s)| s.owner == Some(session));
        let shards: Vec<_> = owned
            .map(|(shard_index, _)| ShardId(shard_index as u32))
            .collect();
        if !shards.is_empty() {
            shards_by_service.push((ServiceId(service_index as u16), shards));
        }
    }
    shards_by_service
}

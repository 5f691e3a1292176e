//! Puts the changes of one swap together.

use std::time::Duration;

use super::api::{MoveBy, Rule};
use super::core::Core;
use super::releases::{Purpose, Release};
use super::writer::OwnChange;
use crate::assignment;
use crate::change::{Change, EndCause};
use crate::ids::{ServiceId, SessionId, ShardId};
use crate::journal::{LessorCause, MoveCause, Rejection, What};
use crate::lessor_selection;
use crate::table::{Session, Table};

/// Time for which a session that did not renew is not chosen as lessor or owner.
const SUSPICION: Duration = Duration::from_secs(3);

/// A swap in the making.
#[derive(Debug)]
pub(super) struct Draft {
    pub table: Table,
    pub changes: Vec<Change>,
    pub decisions: Vec<What>,
    pub ends: Vec<SessionId>,
    pub own: OwnChange,
    pub new_lessors: Option<Vec<SessionId>>,
}

impl Draft {
    /// Adds a change when it fits the table.
    pub(super) fn push(&mut self, change: Change, what: What) -> bool {
        let fits = self.table.apply_change(&change).is_ok();
        if fits {
            self.changes.push(change);
            self.decisions.push(what);
        }
        fits
    }

    pub(super) fn assign(&mut self, service: ServiceId, owner: SessionId, shards: Vec<ShardId>) {
        let what = What::Assigned {
            service,
            owner,
            count: shards.len(),
        };
        let change = Change::Assign {
            service,
            owner,
            shards,
        };
        self.push(change, what);
    }

    pub(super) fn end(&mut self, session: SessionId, term: u32, cause: EndCause) -> bool {
        let change = Change::End {
            session,
            term,
            cause,
        };
        self.push(change, What::Ended { session, cause })
    }

    fn move_shard(
        &mut self,
        at: (ServiceId, ShardId),
        release: &Release,
        (from, to): (SessionId, SessionId),
        cause: MoveCause,
    ) -> bool {
        let (service, shard) = at;
        let what = match from == to {
            true => What::Reclaimed {
                service,
                shard,
                owner: to,
            },
            false => What::Moved {
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
        self.push(change, what)
    }
}

impl Core {
    /// Puts together everything that this daemon may change now; `None` while it may not join.
    pub(super) fn draft(&mut self, now: Duration) -> Option<Draft> {
        let mut draft = Draft {
            table: Table::clone(&self.table),
            changes: Vec::new(),
            decisions: Vec::new(),
            ends: Vec::new(),
            own: OwnChange::None,
            new_lessors: None,
        };
        self.note_suspects(now);
        self.draft_services(&mut draft);
        match self.session {
            None => self.draft_join(now, &mut draft)?,
            Some(me) => {
                self.draft_ends(now, &mut draft);
                self.draft_lessors(now, me, &mut draft);
                self.draft_adoptions(now, me, &mut draft);
            }
        }
        if let Some(me) = self.session {
            self.draft_target(me, &mut draft);
            self.draft_joiners(now, &mut draft);
            self.draft_queue(&mut draft);
            self.draft_moves(now, me, &mut draft);
            self.draft_keys(me, &mut draft);
            self.draft_leave(me, &mut draft);
        }
        self.draft_assign(now, &mut draft);
        Some(draft)
    }

    fn note_suspects(&mut self, now: Duration) {
        self.suspects.retain(|_, until| now < *until);
        for link in &self.lessee.links {
            if now >= link.silent_at(&self.settings) {
                self.suspects.insert(link.lessor, now + SUSPICION);
                self.unreachable.silent(now, &self.table, link.lessor);
            }
        }
    }

    /// Tells whether a session is not to be chosen as a lessor: it is under suspicion itself, or
    /// its data centre seems to be out of reach.
    pub(super) fn unlikely_lessor(&self, now: Duration, id: SessionId) -> bool {
        let home = (&*self.me.region, &*self.me.data_centre);
        self.suspicious(now, id) || self.unreachable.covers(now, &self.table, home, id)
    }

    fn suspicious(&self, now: Duration, id: SessionId) -> bool {
        self.suspects.contains_key(&id) || self.lessees.suspects(now, id, &self.settings)
    }

    fn draft_join(&mut self, now: Duration, draft: &mut Draft) -> Option<()> {
        if let Some((old, _)) = self.joiner().replaces
            && now < self.replace_at()
        {
            self.journal(What::Rejected(Rejection::JoinWaits(old)));
            return None;
        }
        let joiner = self.joiner();
        if self.draft_joiner(now, &joiner, draft) {
            draft.own = OwnChange::Lease;
        }
        Some(())
    }

    fn draft_ends(&mut self, now: Duration, draft: &mut Draft) {
        for (&lessee, record) in &self.lessees.records {
            let due = record.end_at(&self.settings).is_some_and(|at| at <= now);
            if due && draft.end(lessee, record.term, EndCause::LeaseExpired) {
                draft.ends.push(lessee);
            }
        }
        for &id in &self.lost {
            let term = draft.table.session(id).map(|s| s.term);
            if let Some(term) = term {
                draft.end(id, term, EndCause::ConfirmedLost);
            }
        }
    }

    fn draft_lessors(&mut self, now: Duration, me: SessionId, draft: &mut Draft) {
        let Some((at, cause)) = self.lessor_change() else {
            return;
        };
        let missing = matches!(cause, LessorCause::TooFew | LessorCause::LessorEnded);
        if now < at && !missing {
            return;
        }
        let Some(own) = draft.table.session(me).cloned() else {
            return;
        };
        let lessors = match cause {
            LessorCause::Preferred => {
                let avoid = |id| self.unlikely_lessor(now, id);
                lessor_selection::better_lessors(&draft.table, &own, self.settings.lessors, avoid)
                    .unwrap_or_else(|| own.lessors.clone())
            }
            _ => self.replace_silent(now, &own, &draft.table),
        };
        let same =
            lessors.len() == own.lessors.len() && lessors.iter().all(|id| own.lessors.contains(id));
        self.lessor_hold = now + self.settings.lease / 2;
        if same && self.lessee.live(now) {
            return;
        }
        let what = What::LessorsChanged {
            session: me,
            lessors: lessors.clone(),
            cause,
        };
        let change = Change::SetLessors {
            session: me,
            term: own.term,
            lessors: lessors.clone(),
        };
        if draft.push(change, what) {
            draft.own = OwnChange::Lease;
            draft.new_lessors = Some(lessors);
        }
    }

    /// Keeps the lessors that renew and fills up. Without a live lease silent lessors may stay:
    /// after a pause of the whole fleet they only wait for a lease of their own (R12).
    fn replace_silent(&self, now: Duration, own: &Session, table: &Table) -> Vec<SessionId> {
        let count = self.wanted_lessors(table);
        let renews = |id: &SessionId| {
            let link = self.lessee.links.iter().find(|l| l.lessor == *id);
            table.session(*id).is_some() && link.is_some_and(|l| now < l.silent_at(&self.settings))
        };
        let keep: Vec<_> = own.lessors.iter().copied().filter(renews).collect();
        let avoid = |id| self.unlikely_lessor(now, id);
        let found = lessor_selection::select_lessors(table, own.into(), &keep, count, avoid);
        if found.len() == count {
            return found;
        }
        let silent = own.lessors.iter().copied();
        let stay: Vec<_> = found
            .iter()
            .copied()
            .chain(silent.filter(|id| !found.contains(id)))
            .collect();
        lessor_selection::select_lessors(table, own.into(), &stay, count, |_| false)
    }

    /// Names new lessors for sessions whose lessors have all ended (R5), itself among them.
    fn draft_adoptions(&mut self, now: Duration, me: SessionId, draft: &mut Draft) {
        for (&id, &(term, seen)) in &self.without_lessors {
            let Some(lessee) = draft.table.session(id) else {
                continue;
            };
            if now < seen + self.settings.lease / 2 || me == id {
                continue;
            }
            let count = self.settings.lessors;
            let avoid = |id| self.unlikely_lessor(now, id);
            let lessors =
                lessor_selection::select_lessors(&draft.table, lessee.into(), &[me], count, avoid);
            let what = What::LessorsChanged {
                session: id,
                lessors: lessors.clone(),
                cause: LessorCause::Adopted,
            };
            let change = Change::SetLessors {
                session: id,
                term,
                lessors,
            };
            draft.push(change, what);
        }
    }

    fn draft_services(&mut self, draft: &mut Draft) {
        for declared in self.declared.clone() {
            let name = declared.name;
            let known = draft.table.service_id(&name);
            let shards = known.map(|id| draft.table.services[id.index()].shards.len());
            if shards.is_some_and(|have| have != declared.shards as usize) {
                self.journal(What::Rejected(Rejection::ShardCount(name)));
            } else if shards.is_none() {
                let what = What::Declared {
                    name: name.clone(),
                    shards: declared.shards,
                };
                let change = Change::DeclareService {
                    name,
                    shards: declared.shards,
                };
                draft.push(change, what);
            }
        }
    }

    fn draft_target(&mut self, me: SessionId, draft: &mut Draft) {
        let wanted = self.wanted_target(&draft.table);
        let known = draft.table.session(me).and_then(|s| s.target.clone());
        if wanted != known {
            let change = Change::SetTarget {
                session: me,
                target: wanted,
            };
            draft.push(change, What::TargetChanged { session: me });
        }
    }

    /// Adds the moves that owners released for this planner.
    fn draft_queue(&mut self, draft: &mut Draft) {
        for queued in std::mem::take(&mut self.queue) {
            let (service, shard) = (queued.held.service, queued.held.shard);
            let current = draft.table.service(service);
            let current = current.and_then(|s| s.shards.get(shard.index()));
            let epoch = match self.settings.without {
                Some(Rule::ReleaseEpoch) => current.map_or(queued.held.epoch, |s| s.epoch),
                _ => queued.held.epoch,
            };
            let change = Change::Move {
                service,
                shard,
                from: queued.from,
                epoch,
                to: queued.to,
            };
            let what = What::Moved {
                service,
                shard,
                from: queued.from,
                to: queued.to,
                cause: MoveCause::Requested,
            };
            if draft.push(change, what) {
                self.queue.push(queued);
            } else {
                self.journal(What::Rejected(Rejection::StaleMove(shard, service)));
            }
        }
    }

    fn draft_moves(&mut self, now: Duration, me: SessionId, draft: &mut Draft) {
        for (&at, release) in &self.releases.shards {
            if release.drained_at.is_none() {
                continue;
            }
            let withdrawn = release.machine.state() == "withdrawn";
            match release.purpose {
                _ if withdrawn => {
                    draft.move_shard(at, release, (me, me), MoveCause::Requested);
                }
                Purpose::Move {
                    by: MoveBy::Planner,
                    ..
                } => {
                    // R6: nobody swapped, so the owner takes the shard back.
                    if release
                        .drained_at
                        .is_some_and(|d| now >= d + self.settings.take_back)
                    {
                        draft.move_shard(at, release, (me, me), MoveCause::Requested);
                    }
                }
                Purpose::Move { to, .. } => {
                    let ready = assignment::ready_targets(&draft.table, at.0);
                    let ready = ready.iter().any(|(id, _)| *id == to);
                    let to = if ready { to } else { me };
                    draft.move_shard(at, release, (me, to), MoveCause::Requested);
                }
                Purpose::NewLife => {
                    draft.move_shard(at, release, (me, me), MoveCause::Requested);
                }
                Purpose::Leave => self.draft_leave_shard(now, me, at, release, draft),
                Purpose::Override { key_hash, to } => {
                    let (service, from) = (at.0, Some((me, release.epoch)));
                    let what = What::Overridden {
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
                    if !draft.push(change, what) {
                        draft.move_shard(at, release, (me, me), MoveCause::Requested);
                    }
                }
            }
        }
    }

    fn draft_leave_shard(
        &self,
        now: Duration,
        me: SessionId,
        at: (ServiceId, ShardId),
        release: &Release,
        draft: &mut Draft,
    ) {
        let avoid = |id| self.suspicious(now, id);
        let to = assignment::choose_owner(&draft.table, at, avoid, me);
        // Without another target the shard stays, or becomes an orphan when the session leaves.
        let to = match (to, self.leaving) {
            (Some(to), _) => to,
            (None, true) => return,
            (None, false) => me,
        };
        draft.move_shard(at, release, (me, to), MoveCause::TargetLeaves);
    }

    fn draft_keys(&mut self, me: SessionId, draft: &mut Draft) {
        for (&(service, key_hash), release) in &self.releases.keys {
            if !release.drained {
                continue;
            }
            let ready = assignment::ready_targets(&draft.table, service);
            let to = release.to.filter(|to| ready.iter().any(|(id, _)| id == to));
            let what = What::Overridden {
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
            draft.push(change, what);
        }
    }

    fn draft_leave(&mut self, me: SessionId, draft: &mut Draft) {
        let term = draft.table.session(me).map(|s| s.term);
        if let Some(term) = term.filter(|_| self.may_leave())
            && draft.end(me, term, EndCause::Left)
        {
            draft.own = OwnChange::End;
        }
    }

    fn draft_assign(&mut self, now: Duration, draft: &mut Draft) {
        let avoid = |id| self.suspicious(now, id);
        let skip = |service| !self.gathered(service, now);
        for change in assignment::assign_shards(&draft.table, avoid, skip) {
            if let Change::Assign {
                service,
                owner,
                shards,
            } = change
            {
                draft.assign(service, owner, shards);
            }
        }
    }
}

/// Returns the shards of a session, by service.
pub(super) fn shards_of(table: &Table, session: SessionId) -> Vec<(ServiceId, Vec<ShardId>)> {
    let mut found = Vec::new();
    for (at, service) in table.services.iter().enumerate() {
        let owned = service.shards.iter().enumerate();
        let owned = owned.filter(|(_, s)| s.owner == Some(session));
        let shards: Vec<_> = owned.map(|(at, _)| ShardId(at as u32)).collect();
        if !shards.is_empty() {
            found.push((ServiceId(at as u16), shards));
        }
    }
    found
}

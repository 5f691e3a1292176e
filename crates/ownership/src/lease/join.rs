//! Joins of several processes in one swap.
//!
//! After a restart of the whole fleet every process wants to join at once. If each of them swapped by
//! itself, `n` processes would take about `n * n / 2` tries. A process whose own swap lost the race asks
//! the newest member, which cannot be an entry from before the restart, to write its join; the member
//! puts all that asked into one swap.
//!
//! The joiner counts its first lease (R12) from when it asked, which is before the swap that its lessors
//! see.

use std::time::Duration;

use super::api::{Effect, Joiner};
use super::core::Core;
use super::draft::{Draft, shards_of};
use crate::change::{Change, EndCause};
use crate::ids::SessionId;
use crate::journal::What;
use crate::lessor_selection::{self, Location};
use crate::table::{Session, Table, TargetInfo};

/// Wait for a member that was asked, before this process swaps by itself again.
const ASKED: Duration = Duration::from_millis(500);

/// Time that joiners wait for each other, to share a swap.
const GATHER: Duration = Duration::from_millis(10);

/// Time for which a member keeps a joiner that is not in the table yet.
const KEPT: Duration = Duration::from_secs(1);

/// Joiners that a member keeps.
const MAX_JOINERS: usize = 512;

impl Core {
    /// Describes this process for a join.
    pub(super) fn joiner(&self) -> Joiner {
        let me = self.me.clone();
        Joiner {
            incarnation: me.incarnation,
            vm: me.vm,
            address: me.address,
            region: me.region,
            data_centre: me.data_centre,
            target: self.target.clone(),
            replaces: self.predecessor().map(|old| (old.id, old.term)),
            resumes: self.resumes(),
        }
    }

    /// Asks the newest member to write the join. Returns `false` when this process has to swap by
    /// itself: it has not lost a race yet, nobody joined lately, or the member did not do it in time.
    pub(super) fn ask_member(&mut self, now: Duration) -> bool {
        let waited = self.asked_join.is_some_and(|at| now >= at + ASKED);
        if waited {
            self.asked_join = None;
            return false;
        }
        if self.asked_join.is_some() {
            return true;
        }
        let newest = self.table.sessions.last();
        let newest = newest.filter(|s| s.address != self.me.address);
        let Some(to) = newest.map(|s| s.id).filter(|_| self.writer.lost_race()) else {
            return false;
        };
        let joiner = self.joiner();
        self.asked_join = Some(now);
        self.effects.push(Effect::AskJoin { to, joiner });
        true
    }

    /// Returns the time until which a member that was asked may write the join.
    pub(super) fn asked_until(&self) -> Option<Duration> {
        self.asked_join.map(|at| at + ASKED)
    }

    pub(super) fn join_asked(&mut self, now: Duration, joiner: Joiner) {
        let member = self.session.is_some() && self.lessee.live(now) && !self.writer.ending();
        let known = |(_, j): &(Duration, Joiner)| j.incarnation == joiner.incarnation;
        if member && self.joiners.len() < MAX_JOINERS && !self.joiners.iter().any(known) {
            self.joiners.push((now, joiner));
        }
    }

    /// Drops joiners that are in the table, and those that waited too long and swap by themselves.
    pub(super) fn forget_joiners(&mut self, now: Duration) {
        let table = &self.table;
        let joined = |j: &Joiner| {
            table
                .sessions
                .iter()
                .any(|s| s.incarnation == j.incarnation)
        };
        self.joiners
            .retain(|(at, j)| now < *at + KEPT && !joined(j));
    }

    /// Returns when the joins that this member is to write are due.
    pub(super) fn joiners_at(&self) -> Option<Duration> {
        self.joiners.first().map(|(at, _)| *at + GATHER)
    }

    /// Adds the joins that this member is to write.
    pub(super) fn draft_joiners(&mut self, now: Duration, draft: &mut Draft) {
        self.forget_joiners(now);
        let joiners: Vec<Joiner> = self.joiners.iter().map(|(_, j)| j.clone()).collect();
        for joiner in &joiners {
            self.draft_joiner(now, joiner, draft);
        }
    }

    /// Adds the join of one process, with the end of its predecessor. Returns whether it fits.
    pub(super) fn draft_joiner(&self, now: Duration, joiner: &Joiner, draft: &mut Draft) -> bool {
        let mut resumed = Vec::new();
        if let Some((old, term)) = joiner.replaces {
            let stands = draft.table.session(old);
            if stands.is_some_and(|s| s.address == joiner.address && s.term == term) {
                if joiner.resumes {
                    resumed = shards_of(&draft.table, old);
                }
                draft.end(old, term, EndCause::Replaced);
            }
        }
        let place = Location {
            id: SessionId(draft.table.next_session),
            region: &joiner.region,
            data_centre: &joiner.data_centre,
        };
        let avoid = |id| self.unlikely_lessor(now, id);
        let count = self.settings.lessors;
        let mut lessors = lessor_selection::select_lessors(&draft.table, place, &[], count, avoid);
        if lessors.is_empty() {
            lessors = lessor_selection::select_lessors(&draft.table, place, &[], count, |_| false);
        }
        let session = Session {
            id: place.id,
            incarnation: joiner.incarnation,
            vm: joiner.vm.clone(),
            address: joiner.address,
            region: joiner.region.clone(),
            data_centre: joiner.data_centre.clone(),
            lessors,
            term: 1,
            // With its target known, a daemon that restarts takes the shards of its predecessor.
            target: target_info(&draft.table, joiner),
        };
        let (id, vm) = (place.id, joiner.vm.clone());
        let joined = draft.push(Change::Join { session }, What::Joined { session: id, vm });
        if joined {
            for (service, shards) in resumed {
                draft.assign(service, id, shards);
            }
        }
        joined
    }
}

fn target_info(table: &Table, joiner: &Joiner) -> Option<TargetInfo> {
    let report = joiner.target.as_ref()?;
    Some(TargetInfo {
        service: table.service_id(&report.service)?,
        slots: report.slots,
        checks_grants: report.checks_grants,
        state: report.state,
        capacity: report.capacity,
        incarnation: report.life,
    })
}

//! New lessors for the lessees of a session that leaves or whose process has been replaced.
//!
//! Such a lessee would otherwise write its new lessors itself, after a read and with conflicts: two
//! lessees for each daemon that restarts. The swap that ends the lessor therefore also replaces it.
//!
//! The ended lessor makes no renewal that outlives the lease as its successor counts it: a session that
//! leaves refuses renewals from the proposal on, and the process of a replaced session has ended. The
//! lessors in the new set count a full lease from when they first see the new term (R2). Of the old
//! set, only the ended lessor is missing in the new one, as R4 requires.

use std::time::Duration;

use super::core::Core;
use super::proposal::TableProposal;
use crate::change::{Change, EndCause};
use crate::ids::SessionId;
use crate::journal::{DecisionKind, LessorCause};
use crate::lessor_selection;

impl Core {
    /// Replaces the sessions that the proposal ends in the lessors of others. The other lessor of a
    /// lessee stays. A lessee without another lessor is adopted (R5), and this session writes its own
    /// lessors by itself, since that requires a read first.
    pub(super) fn propose_lessor_replacements(&self, now: Duration, proposal: &mut TableProposal) {
        let ended = proposal.changes.iter().filter_map(|change| match change {
            Change::End {
                session,
                cause: EndCause::Left | EndCause::Replaced,
                ..
            } => Some(*session),
            _ => None,
        });
        let ended: Vec<SessionId> = ended.collect();
        if ended.is_empty() {
            return;
        }
        let has_ended_lessor = |lessors: &[SessionId]| lessors.iter().any(|id| ended.contains(id));
        let lessees = proposal.table.sessions.iter();
        let lessees =
            lessees.filter(|s| Some(s.id) != self.session && has_ended_lessor(&s.lessors));
        let lessees: Vec<_> = lessees.cloned().collect();
        let avoid = |id| self.is_unsuitable_lessor(now, id);
        for lessee in lessees {
            // A new term would only delay the end of a session that is lost.
            if self.lessees.missed_renewal(now, lessee.id, &self.settings) {
                continue;
            }
            let table = &proposal.table;
            let remaining = lessee.lessors.iter().copied();
            let remaining: Vec<_> = remaining
                .filter(|id| table.session(*id).is_some())
                .collect();
            let count = lessee.lessors.len();
            let lessors =
                lessor_selection::select_lessors(table, (&lessee).into(), &remaining, count, avoid);
            if remaining.is_empty() || lessors.len() < count {
                continue;
            }
            let kind = DecisionKind::LessorsChanged {
                session: lessee.id,
                lessors: lessors.clone(),
                cause: LessorCause::LessorEnded,
            };
            let change = Change::SetLessors {
                session: lessee.id,
                term: lessee.term,
                lessors,
            };
            proposal.push(change, kind);
        }
    }
}

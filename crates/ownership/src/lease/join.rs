//! Joins of several processes in one swap.
//!
//! After a restart of the whole fleet every process wants to join at once. If each of them swapped by
//! itself, `n` processes would take about `n * n / 2` tries. A process whose own swap lost the race asks
//! the newest member, which cannot be an entry from before the restart, to write its join; the member
//! puts all that asked into one swap.
//!
//! The request counts its first lease (R12) from when it asked, which is before the swap that its lessors
//! see.

use std::time::Duration;

use super::api::{Effect, JoinRequest};
use super::core::Core;
use super::proposal::{TableProposal, shards_owned_by};
use crate::change::{Change, EndCause};
use crate::ids::SessionId;
use crate::journal::DecisionKind;
use crate::lessor_selection::{self, Location};
use crate::table::{Session, Table, TargetInfo};

/// Wait for a member that was asked, before this process swaps by itself again.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that join_requests wait for each other, to share a swap.
const JOIN_BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a member keeps a request that is not in the table yet.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(1);

/// join_requests that a member keeps.
const MAX_JOIN_REQUESTS: usize = 512;

impl Core {
    /// Describes this process for a join.
    pub(super) fn join_request(&self) -> JoinRequest {
        let me = self.identity.clone();
        JoinRequest {
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
    pub(super) fn request_join(&mut self, now: Duration) -> bool {
        let timed_out = self
            .join_requested_at
            .is_some_and(|at| now >= at + JOIN_TIMEOUT);
        if timed_out {
            self.join_requested_at = None;
            return false;
        }
        if self.join_requested_at.is_some() {
            return true;
        }
        let newest = self.table.sessions.last();
        let newest = newest.filter(|s| s.address != self.identity.address);
        let Some(to) = newest.map(|s| s.id).filter(|_| self.writer.has_conflict()) else {
            return false;
        };
        let request = self.join_request();
        self.join_requested_at = Some(now);
        self.effects.push(Effect::SendJoin { to, request });
        true
    }

    /// Returns the time until which a member that was asked may write the join.
    pub(super) fn join_request_deadline(&self) -> Option<Duration> {
        self.join_requested_at.map(|at| at + JOIN_TIMEOUT)
    }

    pub(super) fn handle_join_request(&mut self, now: Duration, request: JoinRequest) {
        let member = self.session.is_some() && self.lessee.is_live(now) && !self.writer.is_ending();
        let known = |(_, r): &(Duration, JoinRequest)| r.incarnation == request.incarnation;
        if member
            && self.join_requests.len() < MAX_JOIN_REQUESTS
            && !self.join_requests.iter().any(known)
        {
            self.join_requests.push((now, request));
        }
    }

    /// Drops join_requests that are in the table, and those that waited too long and swap by themselves.
    pub(super) fn drop_stale_join_requests(&mut self, now: Duration) {
        let table = &self.table;
        let joined = |r: &JoinRequest| {
            table
                .sessions
                .iter()
                .any(|s| s.incarnation == r.incarnation)
        };
        self.join_requests
            .retain(|(at, r)| now < *at + JOIN_REQUEST_TTL && !joined(r));
    }

    /// Returns when the joins that this member is to write are due.
    pub(super) fn join_requests_due_at(&self) -> Option<Duration> {
        self.join_requests
            .first()
            .map(|(at, _)| *at + JOIN_BATCH_DELAY)
    }

    /// Adds the joins that this member is to write.
    pub(super) fn propose_requested_joins(&mut self, now: Duration, proposal: &mut TableProposal) {
        self.drop_stale_join_requests(now);
        let join_requests: Vec<JoinRequest> =
            self.join_requests.iter().map(|(_, r)| r.clone()).collect();
        for request in &join_requests {
            self.propose_join(now, request, proposal);
        }
    }

    /// Adds the join of one process, with the end of its predecessor. Returns whether it fits.
    pub(super) fn propose_join(
        &self,
        now: Duration,
        request: &JoinRequest,
        proposal: &mut TableProposal,
    ) -> bool {
        let mut resumed = Vec::new();
        if let Some((old, term)) = request.replaces {
            let current = proposal.table.session(old);
            if current.is_some_and(|s| s.address == request.address && s.term == term) {
                if request.resumes {
                    resumed = shards_owned_by(&proposal.table, old);
                }
                proposal.end(old, term, EndCause::Replaced);
            }
        }
        let place = Location {
            id: SessionId(proposal.table.next_session),
            region: &request.region,
            data_centre: &request.data_centre,
        };
        let avoid = |id| self.is_unsuitable_lessor(now, id);
        let count = self.settings.lessors;
        let mut lessors =
            lessor_selection::select_lessors(&proposal.table, place, &[], count, avoid);
        if lessors.is_empty() {
            lessors =
                lessor_selection::select_lessors(&proposal.table, place, &[], count, |_| false);
        }
        let session = Session {
            id: place.id,
            incarnation: request.incarnation,
            vm: request.vm.clone(),
            address: request.address,
            region: request.region.clone(),
            data_centre: request.data_centre.clone(),
            lessors,
            term: 1,
            // With its target known, a daemon that restarts takes the shards of its predecessor.
            target: target_info(&proposal.table, request),
        };
        let (id, vm) = (place.id, request.vm.clone());
        let joined = proposal.push(
            Change::Join { session },
            DecisionKind::Joined { session: id, vm },
        );
        if joined {
            for (service, shards) in resumed {
                proposal.assign(service, id, shards);
            }
        }
        joined
    }
}

fn target_info(table: &Table, request: &JoinRequest) -> Option<TargetInfo> {
    let report = request.target.as_ref()?;
    Some(TargetInfo {
        service: table.service_id(&report.service)?,
        slots: report.slots,
        checks_grants: report.checks_grants,
        state: report.state,
        capacity: report.capacity,
        incarnation: report.incarnation,
    })
}

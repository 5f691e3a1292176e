//! Batched joins.
//!
//! After a restart of the whole fleet all processes join at once. If each wrote its own swap, `n`
//! processes would need about `n * n / 2` attempts. Instead, a process whose swap had a conflict
//! sends a join request to the newest member, whose entry cannot date from before the restart. The
//! member writes all pending joins in one swap.
//!
//! The joining process counts its first lease (R12) from when it sent the request. This is earlier
//! than the swap from which its lessors count.

use std::time::Duration;

use super::api::{Effect, JoinRequest};
use super::core::Core;
use super::proposal::{TableProposal, shards_owned_by};
use crate::change::{Change, EndCause};
use crate::ids::SessionId;
use crate::journal::DecisionKind;
use crate::lessor_selection::{self, Location};
use crate::table::{Session, Table, TargetInfo};

/// Time after which a process whose join request is still pending writes its join itself.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay that lets several joins share one swap.
const JOIN_BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a member keeps a join request whose session is not in the table.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(1);

/// Maximum number of join requests that a member keeps.
const MAX_JOIN_REQUESTS: usize = 512;

impl Core {
    /// Returns the join request that this process would send now.
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

    /// Requests the join from the newest member and returns whether a request is pending. If not,
    /// this process must write its own join: it had no conflict since its last successful swap, the
    /// table has no session or the newest one is the predecessor of this process, or the request
    /// timed out.
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
        let Some(to) = newest.map(|s| s.id).filter(|_| self.writer.had_conflict()) else {
            return false;
        };
        let request = self.join_request();
        self.join_requested_at = Some(now);
        self.effects.push(Effect::SendJoin { to, request });
        true
    }

    /// Returns the time until which this process waits for its pending join request.
    pub(super) fn join_request_deadline(&self) -> Option<Duration> {
        self.join_requested_at.map(|at| at + JOIN_TIMEOUT)
    }

    pub(super) fn handle_join_request(&mut self, now: Duration, request: JoinRequest) {
        let is_member =
            self.session.is_some() && self.lessee.has_valid_lease(now) && !self.writer.is_ending();
        let is_same_session =
            |(_, r): &(Duration, JoinRequest)| r.incarnation == request.incarnation;
        if is_member
            && self.join_requests.len() < MAX_JOIN_REQUESTS
            && !self.join_requests.iter().any(is_same_session)
        {
            self.join_requests.push((now, request));
        }
    }

    /// Drops join requests whose sessions are in the table, and requests older than
    /// [`JOIN_REQUEST_TTL`], whose processes write their own joins after [`JOIN_TIMEOUT`].
    pub(super) fn drop_stale_join_requests(&mut self, now: Duration) {
        let table = &self.table;
        let has_joined = |r: &JoinRequest| {
            table
                .sessions
                .iter()
                .any(|s| s.incarnation == r.incarnation)
        };
        self.join_requests
            .retain(|(at, r)| now < *at + JOIN_REQUEST_TTL && !has_joined(r));
    }

    /// Returns when the swap for the pending join requests is due.
    pub(super) fn join_requests_due_at(&self) -> Option<Duration> {
        self.join_requests
            .first()
            .map(|(at, _)| *at + JOIN_BATCH_DELAY)
    }

    /// Adds the joins of the pending join requests.
    pub(super) fn propose_requested_joins(&mut self, now: Duration, proposal: &mut TableProposal) {
        self.drop_stale_join_requests(now);
        let join_requests: Vec<JoinRequest> =
            self.join_requests.iter().map(|(_, r)| r.clone()).collect();
        for request in &join_requests {
            self.propose_join(now, request, proposal);
        }
    }

    /// Adds the join of one process and the end of its predecessor. If the request says so, the new
    /// session takes over the predecessor's shards. Returns whether the join was added.
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
                proposal.end_session(old, term, EndCause::Replaced);
            }
        }
        let location = Location {
            id: SessionId(proposal.table.next_session),
            region: &request.region,
            data_centre: &request.data_centre,
        };
        let avoid = |id| self.is_unsuitable_lessor(now, id);
        let count = self.settings.lessors;
        let mut lessors =
            lessor_selection::select_lessors(&proposal.table, location, &[], count, avoid);
        if lessors.is_empty() {
            lessors =
                lessor_selection::select_lessors(&proposal.table, location, &[], count, |_| false);
        }
        let session = Session {
            id: location.id,
            incarnation: request.incarnation,
            vm: request.vm.clone(),
            address: request.address,
            region: request.region.clone(),
            data_centre: request.data_centre.clone(),
            lessors,
            term: 1,
            // Shards can be assigned only to a session with a target, so a restarted daemon needs
            // this entry to take over the shards of its predecessor.
            target: target_info(&proposal.table, request),
        };
        let (id, vm) = (location.id, request.vm.clone());
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

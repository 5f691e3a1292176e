//! Batched joins and first entries of targets.
//!
//! After a restart of the whole fleet all processes join at once, and their targets announce
//! themselves at about the same time. If each wrote its own swaps, `n` processes would need about
//! `n * n / 2` attempts. Instead, a process sends a request to a member, which writes all pending
//! requests in one swap.
//!
//! The first member to ask is the planner: it writes planned moves, and it stays the same while other
//! daemons restart, so its swaps don't conflict with each other. Its entry may date from before a restart
//! of the whole fleet. If it does not accept the request, the newest member is asked, whose entry is
//! the least likely to do so.
//!
//! Right after such a restart there is no member yet. Each process then waits for a random time
//! before it reads the table again, so that usually one of them joins by itself and the others
//! find it.
//!
//! The joining process counts its first lease (R12) from when it sent the request. This is earlier
//! than the swap from which its lessors count.
//!
//! A member writes a requested target only if the table has no entry for it yet. A request that is
//! written late therefore never replaces a newer state of the target.

use std::net::SocketAddr;
use std::time::Duration;

use super::api::{Effect, JoinRequest, TargetReport, TargetRequest};
use super::core::Core;
use super::proposal::{TableProposal, shards_owned_by};
use crate::change::{Change, EndCause};
use crate::ids::SessionId;
use crate::journal::DecisionKind;
use crate::lessor_selection::{self, Location};
use crate::planner::planner_session;
use crate::table::{Session, Table, TargetInfo, TargetState};

/// Time after which a process whose request is still pending writes the change itself.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a process whose request to the planner is still pending asks the newest member as
/// well. A join usually takes 60 to 80 ms. The VM of the planner may be lost, and its session stays in
/// the table for a lease.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay that lets several requests share one swap.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a member keeps a request that is not in the table.
const REQUEST_TTL: Duration = Duration::from_secs(1);

/// Maximum number of requests of each kind that a member keeps.
const MAX_REQUESTS: usize = 512;

/// Time over which processes that find no member spread their joins. A swap takes about 20 ms.
const FIRST_JOIN_SPREAD: Duration = Duration::from_millis(250);

/// Requests of this process to members.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// The member that was asked to write the join of this process, and when.
    join: Option<(SessionId, Duration)>,
    /// When the first of the pending join requests was sent.
    join_requested_at: Option<Duration>,
    /// Whether a join request was sent that a member may still write.
    pub join_sent: bool,
    /// The member that was asked to write the target of this session, and when.
    target: Option<(SessionId, Duration)>,
    /// Whether a member did not accept or write a request since the last join. Then only the newest
    /// one is asked: after a restart of the whole fleet, each of the oldest sessions would refuse.
    ask_newest: bool,
    /// The member that last did not accept or write a request.
    failed: Option<SessionId>,
    /// Whether this process has waited for others to join first.
    has_waited: bool,
}

impl Requests {
    /// Ends the pending join request. Returns when it was sent.
    pub fn end_join(&mut self) -> Option<Duration> {
        self.target = None;
        self.join_sent = false;
        self.ask_newest = false;
        self.join = None;
        self.join_requested_at.take()
    }

    /// Records a member that did not accept or write a request.
    fn record_failed(&mut self, member: SessionId) {
        self.ask_newest = true;
        self.failed = Some(member);
    }

    /// Returns the time until which this process waits for its pending target request.
    pub fn target_deadline(&self) -> Option<Duration> {
        self.target.map(|(_, at)| at + REQUEST_TIMEOUT)
    }
}

impl Core {
    /// Returns the time until which this process waits for its pending join request.
    pub(super) fn join_deadline(&self) -> Option<Duration> {
        let (to, at) = self.requests.join?;
        let newest = self.table.sessions.last().map(|s| s.id);
        Some(match newest == Some(to) {
            true => at + REQUEST_TIMEOUT,
            false => at + PLANNER_TIMEOUT,
        })
    }

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

    /// Returns the member to send requests to: the planner, or the newest one if a request failed,
    /// unless that one did not accept the last request.
    fn member_to_ask(&self) -> Option<SessionId> {
        let planner = planner_session(&self.table).filter(|_| !self.requests.ask_newest);
        let newest = self.table.sessions.last().map(|s| s.id);
        let is_other = |id: &SessionId| {
            let member = self.table.session(*id);
            member.is_some_and(|s| s.address != self.identity.address)
        };
        let member = planner.filter(is_other).or(newest.filter(is_other));
        member.filter(|id| Some(*id) != self.requests.failed)
    }

    /// Requests the join from a member and returns whether to wait for that, or for another process
    /// to join first. Otherwise this process must write its own join: there is no member to ask, or
    /// the request timed out.
    pub(super) fn request_join(&mut self, now: Duration) -> bool {
        if let Some(deadline) = self.join_deadline() {
            if now < deadline {
                return true;
            }
            if let Some((to, _)) = self.requests.join.take() {
                self.requests.record_failed(to);
            }
            if self.member_to_ask().is_none() {
                self.requests.join_requested_at = None;
                return false;
            }
        }
        if let Some(to) = self.member_to_ask() {
            let request = self.join_request();
            self.requests.join = Some((to, now));
            self.requests.join_requested_at.get_or_insert(now);
            self.requests.join_sent = true;
            self.effects.push(Effect::SendJoin { to, request });
            return true;
        }
        let must_wait = !std::mem::replace(&mut self.requests.has_waited, true);
        if must_wait {
            self.writer.postpone(now, FIRST_JOIN_SPREAD);
        }
        must_wait
    }

    /// Requests the first entry of this session's target from a member, if the table has none.
    pub(super) fn request_target(&mut self, now: Duration) {
        let own = self.session.and_then(|id| self.table.session(id));
        let is_due = own.is_some_and(|own| own.target.is_none() && self.target_update_due(own));
        if !is_due || self.leaving || self.requests.target.is_some() {
            return;
        }
        if let (Some(session), Some(target), Some(to)) =
            (self.session, self.target.clone(), self.member_to_ask())
        {
            self.requests.target = Some((to, now));
            let request = TargetRequest { session, target };
            self.effects.push(Effect::SendTarget { to, request });
        }
    }

    /// Handles a request of this process that a member did not accept. If no other member can be asked
    /// and the last one refused, it has not joined, so the whole fleet has probably restarted.
    pub(super) fn handle_request_failure(&mut self, now: Duration, to: SessionId, refused: bool) {
        self.requests.record_failed(to);
        let is_asked = |(asked, _): &(SessionId, Duration)| *asked == to;
        let asks_another = self.member_to_ask().is_some();
        if self.requests.target.as_ref().is_some_and(is_asked) {
            // Without another member to ask, this session writes its target at once.
            self.requests.target = (!asks_another).then_some((to, Duration::ZERO));
        }
        if self.requests.join.take_if(|join| is_asked(join)).is_none() || asks_another {
            return;
        }
        if !refused {
            self.requests.has_waited = true;
        } else if !std::mem::replace(&mut self.requests.has_waited, true) {
            self.writer.postpone(now, FIRST_JOIN_SPREAD);
        }
    }

    /// Returns whether this process is a member that may write for others.
    fn accepts_requests(&self, now: Duration) -> bool {
        self.session.is_some() && self.lessee.has_valid_lease(now) && !self.writer.is_ending()
    }

    pub(super) fn handle_join_request(&mut self, now: Duration, request: JoinRequest) {
        let is_same_session =
            |(_, r): &(Duration, JoinRequest)| r.incarnation == request.incarnation;
        if self.accepts_requests(now)
            && self.join_requests.len() < MAX_REQUESTS
            && !self.join_requests.iter().any(is_same_session)
        {
            self.join_requests.push((now, request));
        }
    }

    pub(super) fn handle_target_request(&mut self, now: Duration, request: TargetRequest) {
        if self.accepts_requests(now) && self.target_requests.len() < MAX_REQUESTS {
            self.target_requests
                .retain(|(_, r)| r.session != request.session);
            self.target_requests.push((now, request));
        }
    }

    /// Drops requests that are in the table, and requests older than [`REQUEST_TTL`], whose
    /// processes write the changes themselves after [`REQUEST_TIMEOUT`].
    pub(super) fn drop_stale_requests(&mut self, now: Duration) {
        let table = &self.table;
        let has_joined = |r: &JoinRequest| {
            table
                .sessions
                .iter()
                .any(|s| s.incarnation == r.incarnation)
        };
        self.join_requests
            .retain(|(at, r)| now < *at + REQUEST_TTL && !has_joined(r));
        let has_entry = |r: &TargetRequest| {
            let session = table.session(r.session);
            session.is_some_and(|s| s.target.is_some())
        };
        self.target_requests
            .retain(|(at, r)| now < *at + REQUEST_TTL && !has_entry(r));
    }

    /// Returns when the swap for the pending requests is due.
    pub(super) fn requests_due_at(&self) -> Option<Duration> {
        let join = self.join_requests.first().map(|(at, _)| *at);
        let target = self.target_requests.first().map(|(at, _)| *at);
        let first = join.into_iter().chain(target).min();
        first.map(|at| at + BATCH_DELAY)
    }

    /// Adds the first entries of targets that sessions requested.
    pub(super) fn propose_requested_targets(&mut self, proposal: &mut TableProposal) {
        for (_, request) in &self.target_requests {
            let session = proposal.table.session(request.session);
            if session.is_none_or(|s| s.target.is_some()) {
                continue;
            }
            let address = session.map(|s| s.address);
            let target = address.and_then(|a| target_info(&proposal.table, a, &request.target));
            let Some(target) = target else {
                continue;
            };
            let change = Change::SetTarget {
                session: request.session,
                target: Some(target),
            };
            let kind = DecisionKind::TargetChanged {
                session: request.session,
            };
            proposal.push(change, kind);
        }
    }

    /// Adds the joins of the pending join requests.
    pub(super) fn propose_requested_joins(&mut self, now: Duration, proposal: &mut TableProposal) {
        self.drop_stale_requests(now);
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
        if let Some((old, _)) = request.replaces {
            let current = proposal.table.session(old);
            // The process of the predecessor has ended, whatever its term is: another session may
            // have replaced one of its lessors since the request was sent.
            if let Some(term) = current
                .filter(|s| s.address == request.address)
                .map(|s| s.term)
            {
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
            target: request
                .target
                .as_ref()
                .and_then(|report| target_info(&proposal.table, request.address, report)),
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

/// Returns the first entry of the target beside the daemon at `address`. A departure that the table
/// shows was reported to an earlier process.
fn target_info(table: &Table, address: SocketAddr, report: &TargetReport) -> Option<TargetInfo> {
    let state = match table.has_departed(address, report.incarnation) {
        true => TargetState::Departing,
        false => report.state,
    };
    Some(TargetInfo {
        service: table.service_id(&report.service)?,
        slots: report.slots,
        checks_grants: report.checks_grants,
        state,
        capacity: report.capacity,
        incarnation: report.incarnation,
    })
}

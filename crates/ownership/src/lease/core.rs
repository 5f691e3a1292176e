//! State of the lease core and its event handlers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::api::{
    CoreSettings, DeclaredService, Effect, Event, HeldShard, Identity, JoinRequest, MoveWriter,
    Outcome, Renewal, Rule, TargetReport, TargetRequest,
};
use super::join::Requests;
use super::lessee::Lessee;
use super::lessor::Lessees;
use super::releases::{KeyRelease, ReleasePurpose, Releases};
use super::restoration::Restoration;
use super::unreachable::DataCentreReachability;
use super::writer::Writer;
use crate::chart::{SESSION_CHART, StateMachine};
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::journal::{Decision, DecisionKind, Rejection};
use crate::table::{Table, TargetState};

/// Maximum number of released moves that wait for a swap. Further ones are dropped, and the owners
/// reclaim their shards.
const MAX_RELEASED_MOVES: usize = 1_024;

/// A move that this planner requested and the owner released.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReleasedMove {
    pub held: HeldShard,
    pub from: SessionId,
    /// The next owner; the owner itself if this planner chooses one.
    pub to: SessionId,
    /// When this planner learned of the release.
    pub received_at: Duration,
}

/// State of the lease core; see the [module documentation](super).
#[derive(Debug)]
pub struct Core {
    pub(super) settings: CoreSettings,
    pub(super) identity: Identity,
    pub(super) table: Arc<Table>,
    /// Whether any table has been read or received.
    pub(super) has_table: bool,
    pub(super) session_chart: StateMachine,
    pub(super) session: Option<SessionId>,
    pub(super) lessee: Lessee,
    pub(super) lessees: Lessees,
    pub(super) writer: Writer,
    pub(super) releases: Releases,
    pub(super) released_moves: Vec<ReleasedMove>,
    pub(super) target: Option<TargetReport>,
    /// Incarnation of the target whose departure was reported to this process; 0 if none was. This
    /// process knows the order of its reports, so the target may return to service.
    pub(super) reported_departure: u64,
    pub(super) declared: Vec<DeclaredService>,
    pub(super) leaving: bool,
    /// When this daemon was asked to leave while it owned shards.
    pub(super) leaving_since: Option<Duration>,
    /// Sessions that an operator confirmed as lost.
    pub(super) confirmed_lost: Vec<SessionId>,
    /// Requests of this process that a member write its join or its target.
    pub(super) requests: Requests,
    /// Join requests that this member received, with their arrival times.
    pub(super) join_requests: Vec<(Duration, JoinRequest)>,
    /// Target requests that this member received, with their arrival times.
    pub(super) target_requests: Vec<(Duration, TargetRequest)>,
    /// Shards that this session got after an unplanned loss, with the end of the settle delay.
    pub(super) settling_until: BTreeMap<(ServiceId, ShardId), Duration>,
    /// Shards that the newest table assigns to this session.
    pub(super) owned: Vec<HeldShard>,
    /// Lessors that recently failed to renew the lease of this session, with the end of their
    /// suspicion period.
    pub(super) suspects: BTreeMap<SessionId, Duration>,
    /// Data centres that operators evacuated.
    pub(super) evacuated: BTreeSet<String>,
    /// When these changed last; 0 before the first change.
    pub(super) evacuations_changed_at: Duration,
    /// Data centres with lessors that failed to renew.
    pub(super) reachability: DataCentreReachability,
    /// Other sessions none of whose lessors is in the table, with their term and the time at which
    /// a table first showed this.
    pub(super) without_lessors: BTreeMap<SessionId, (u32, Duration)>,
    /// Time at which the newest table or newer service declarations were installed.
    pub(super) installed_at: Duration,
    /// Random number between 0 and 1, drawn for each swap. It spreads the swaps for which several
    /// sessions have the same reason. If it were drawn for each installed table, one of many tables
    /// that arrive while the swaps are due would bring each session's swap forward.
    pub(super) jitter_fraction: f64,
    /// Whether an unassigned shard could be assigned to a ready target.
    pub(super) has_unassigned: bool,
    /// Whether lessors that rank better than the current ones are available.
    pub(super) better_lessors_exist: bool,
    /// Earliest time of the next attempt to change the lessors.
    pub(super) lessor_change_not_before: Duration,
    /// For each service, the time at which a table with a ready target of it was first installed.
    pub(super) gathering_since: BTreeMap<ServiceId, Duration>,
    /// Newest era of the platform store that a reply or a table showed.
    pub(super) store_era: u64,
    /// Restoration of the table, while no table of that era is installed.
    pub(super) restoration: Option<Restoration>,
    pub(super) effects: Vec<Effect>,
    /// Time of the last event. Event times are clamped to it, so that time never runs backwards.
    last_event_at: Duration,
}

impl Core {
    /// Creates the core of a new process. Deliver [`Event::Tick`] to start it.
    pub fn new(settings: CoreSettings, identity: Identity) -> Self {
        let mut writer = Writer::new(identity.seed);
        let jitter_fraction = writer.random_fraction();
        Self {
            settings,
            writer,
            identity,
            table: Arc::default(),
            has_table: false,
            session_chart: StateMachine::new(&SESSION_CHART),
            session: None,
            lessee: Lessee::default(),
            lessees: Lessees::default(),
            releases: Releases::default(),
            released_moves: Vec::new(),
            target: None,
            reported_departure: 0,
            declared: Vec::new(),
            leaving: false,
            leaving_since: None,
            confirmed_lost: Vec::new(),
            requests: Requests::default(),
            join_requests: Vec::new(),
            target_requests: Vec::new(),
            settling_until: BTreeMap::new(),
            owned: Vec::new(),
            suspects: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            evacuations_changed_at: Duration::ZERO,
            reachability: DataCentreReachability::default(),
            without_lessors: BTreeMap::new(),
            installed_at: Duration::ZERO,
            jitter_fraction,
            has_unassigned: false,
            better_lessors_exist: false,
            lessor_change_not_before: Duration::ZERO,
            gathering_since: BTreeMap::new(),
            store_era: 0,
            restoration: None,
            effects: Vec::new(),
            last_event_at: Duration::ZERO,
        }
    }

    /// Handles an event and returns the effects, in order. `now` is the time since boot.
    ///
    /// Read `now` after the event arrived. If it were read before and the process was paused in
    /// between, this daemon would consider a lessee's lease expired too early.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let now = now.max(self.last_event_at);
        self.last_event_at = now;
        self.dispatch(now, event);
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the newest table of this daemon.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the session of this daemon while it is in the newest table.
    pub fn session(&self) -> Option<SessionId> {
        self.session
    }

    /// Returns the state in the session's chart: `outside`, `joining`, `withdrawing`, `member`,
    /// `leaving` or `ended`.
    pub fn session_state(&self) -> &'static str {
        self.session_chart.state()
    }

    /// Returns the identity; the incarnation changes with each session.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    fn dispatch(&mut self, now: Duration, event: Event) {
        match event {
            Event::Tick => {}
            Event::TableRead {
                read,
                table,
                store_era,
            } => self.handle_table_read(now, read, table, store_era),
            Event::StoreEra(era) => self.record_store_era(now, era),
            Event::TablesCollected { version, replies } => {
                self.record_collection(now, version, replies)
            }
            Event::TableReceived(table) => self.install_table(now, table, None),
            Event::DeltasReceived(deltas) => self.apply_deltas(now, &deltas),
            Event::SwapOutcome { change_id, outcome } => {
                let done = outcome == Outcome::Done;
                let current = self.writer.pending.as_ref().map(|p| p.delta.change_id);
                if !self.handle_restoration_outcome(now, change_id, done)
                    && current == Some(change_id)
                {
                    self.handle_swap_outcome(now, outcome);
                }
            }
            Event::RenewRequest(renewal) => self.handle_renewal(now, renewal),
            Event::RenewReply {
                lessor,
                sequence,
                granted,
                version,
            } => {
                if granted {
                    if self
                        .lessee
                        .record_renewal(now, lessor, sequence, &self.settings)
                    {
                        self.suspects.remove(&lessor);
                        self.reachability.record_renewal(&self.table, lessor);
                        self.effects.push(Effect::GrantsChanged);
                    }
                } else {
                    self.lessee
                        .record_failure(now, lessor, sequence, &self.settings);
                }
                self.pull_if_newer(lessor, version);
            }
            Event::RenewTimeout { lessor, sequence } => {
                self.lessee
                    .record_failure(now, lessor, sequence, &self.settings);
            }
            Event::ExpiredRequest(expiry) => {
                let addressed = self.session == Some(expiry.to);
                let committed =
                    addressed && self.lessees.handle_query(now, &expiry, &self.settings);
                self.effects.push(Effect::ReplyExpired {
                    expiry,
                    committed,
                    version: self.table.version,
                });
                self.pull_if_newer(expiry.from, expiry.version);
            }
            Event::ExpiredReply {
                expiry,
                committed,
                version,
            } => {
                if committed && self.session == Some(expiry.from) {
                    self.lessees.record_confirmation(&expiry);
                }
                self.pull_if_newer(expiry.to, version);
            }
            Event::TargetChanged(target) => self.handle_target_change(now, target),
            Event::ServicesDeclared(declared) => {
                self.declared = declared;
                self.installed_at = self.installed_at.max(now);
            }
            Event::JoinRequested(request) => self.handle_join_request(now, request),
            Event::TargetRequested(request) => self.handle_target_request(now, request),
            Event::RequestFailed { to, refused } => self.handle_request_failure(now, to, refused),
            Event::DataCentresEvacuated(names) => {
                self.evacuated = names;
                self.evacuations_changed_at = now;
            }
            Event::LeaveRequested => self.leave(now),
            Event::ConfirmLost { vm } => self.confirm_lost(now, &vm),
            other => self.dispatch_move(now, other),
        }
    }

    /// Records the announced state of the target. A new incarnation of the target holds no shards,
    /// so each owned shard gets a higher epoch before it is granted again.
    fn handle_target_change(&mut self, now: Duration, target: Option<TargetReport>) {
        let incarnation = target.as_ref().map_or(0, |t| t.incarnation);
        let own = self.session.and_then(|id| self.table.session(id));
        let table_incarnation = own
            .and_then(|s| s.target.as_ref())
            .map_or(0, |t| t.incarnation);
        let previous = self
            .target
            .as_ref()
            .map_or(table_incarnation, |t| t.incarnation);
        if incarnation != 0 && incarnation < previous {
            // A late event: the earlier incarnation has ended.
            return;
        }
        let is_departing = |t: &TargetReport| t.state == TargetState::Departing;
        if target.as_ref().is_some_and(is_departing) {
            self.reported_departure = incarnation;
        }
        self.target = target;
        self.apply_departure();
        if incarnation == 0 || previous == 0 || incarnation == previous {
            return;
        }
        for held in self.owned.clone() {
            self.begin_release(held, ReleasePurpose::NewIncarnation);
            self.releases.mark_drained(now, held);
        }
    }

    /// Handles the events of moves and key overrides.
    fn dispatch_move(&mut self, now: Duration, event: Event) {
        match event {
            Event::MoveRequested { held, to, by } => self.handle_move_request(held, to, by),
            Event::ShardDrained(held) => self.releases.mark_drained(now, held),
            Event::MoveAbandoned(held) => {
                self.releases.abandon(held);
                self.effects.push(Effect::GrantsChanged);
            }
            Event::MoveReleased { held, from, to }
                if self.released_moves.len() < MAX_RELEASED_MOVES =>
            {
                self.released_moves.push(ReleasedMove {
                    held,
                    from,
                    to,
                    received_at: now,
                });
            }
            Event::OverrideRequested {
                service,
                key_hash,
                to,
            } => self.handle_override_request(service, key_hash, to),
            Event::KeyDrained {
                service,
                key_hash,
                epoch,
            } => {
                if let Some(release) = self.releases.keys.get_mut(&(service, key_hash))
                    && release.epoch == epoch
                {
                    release.drained = true;
                }
            }
            _ => {}
        }
    }

    fn handle_swap_outcome(&mut self, now: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let Some(pending) = &self.writer.pending else {
                    return;
                };
                let (next, delta) = (pending.next.clone(), pending.delta.clone());
                self.writer.record_write(now, next.version);
                self.install_table(now, next, Some(&delta));
            }
            Outcome::Unknown if self.settings.disabled_rule == Some(Rule::ReadBack) => {
                self.writer.take_pending();
                self.lessee.next_lessors = None;
            }
            Outcome::Unknown => self.writer.mark_unresolved(now, false, &self.settings),
            Outcome::Conflict => self.writer.mark_unresolved(now, true, &self.settings),
        }
    }

    fn handle_renewal(&mut self, now: Duration, renewal: Renewal) {
        let addressed = self.session == Some(renewal.lessor) && !self.writer.is_ending();
        let may_renew = self.lessee.has_valid_lease(now)
            || self.settings.disabled_rule == Some(Rule::LessorNeedsLease);
        let granted = addressed
            && may_renew
            && self
                .lessees
                .renew(now, renewal.lessee, renewal.term, &self.settings);
        self.effects.push(Effect::ReplyRenew {
            renewal,
            granted,
            version: self.table.version,
        });
        self.pull_if_newer(renewal.lessee, renewal.version);
    }

    fn pull_if_newer(&mut self, from: SessionId, version: u64) {
        if version > self.table.version {
            self.effects.push(Effect::Pull { from });
        }
    }

    fn leave(&mut self, now: Duration) {
        self.leaving = true;
        if !self.owned.is_empty() {
            self.leaving_since = self.leaving_since.or(Some(now));
        }
        if self.requests.join_sent && self.session_chart.state() == "outside" {
            // A member may still write the join.
            self.step_session("swap.started");
        }
        // `step` fails if the session is already leaving or has ended; the state then stays.
        let _ = self.session_chart.step("leave");
    }

    fn confirm_lost(&mut self, now: Duration, vm: &str) {
        let table = self.table.clone();
        for s in table.sessions.iter().filter(|s| s.vm == vm) {
            let is_own = self.session == Some(s.id);
            if is_own || self.lessees.renewed_recently(now, s.id, &self.settings) {
                self.log_decision(DecisionKind::Rejected(Rejection::NotLost(vm.to_owned())));
            } else if !self.confirmed_lost.contains(&s.id) {
                self.confirmed_lost.push(s.id);
            }
        }
    }

    fn handle_move_request(&mut self, held: HeldShard, to: SessionId, by: MoveWriter) {
        let Some(me) = self.session.filter(|_| self.owned.contains(&held)) else {
            self.log_decision(DecisionKind::Rejected(Rejection::StaleMove(
                held.shard,
                held.service,
            )));
            return;
        };
        if self.settings.disabled_rule == Some(Rule::ReleaseFirst) {
            self.released_moves.push(ReleasedMove {
                held,
                from: me,
                to,
                received_at: Duration::ZERO,
            });
            return;
        }
        self.begin_release(held, ReleasePurpose::Move { to, by });
    }

    pub(super) fn begin_release(&mut self, held: HeldShard, purpose: ReleasePurpose) {
        if self.releases.begin(held, purpose) {
            self.log_decision(DecisionKind::ReleaseStarted {
                service: held.service,
                shard: held.shard,
                epoch: held.epoch,
            });
            self.effects.push(Effect::GrantsChanged);
            self.effects.push(Effect::DrainShard(held));
        }
    }

    fn handle_override_request(
        &mut self,
        service: ServiceId,
        key_hash: u64,
        to: Option<SessionId>,
    ) {
        let Some(table_service) = self.table.service(service).filter(|s| !s.shards.is_empty())
        else {
            return;
        };
        let current = table_service
            .overrides
            .iter()
            .find(|o| o.key_hash == key_hash);
        match (current.map(|o| o.assignment), to) {
            (Some(held), to) if held.owner == self.session => {
                self.release_key(service, key_hash, held.epoch, to);
            }
            (None, Some(to)) => {
                let shard = crate::ids::shard_of(key_hash, table_service.shards.len() as u32);
                let epoch = table_service.shards[shard.index()].epoch;
                let held = HeldShard {
                    service,
                    shard,
                    epoch,
                };
                if self.owned.contains(&held) {
                    self.begin_release(held, ReleasePurpose::Override { key_hash, to });
                }
            }
            _ => {}
        }
    }

    pub(super) fn release_key(
        &mut self,
        service: ServiceId,
        key_hash: u64,
        epoch: Epoch,
        to: Option<SessionId>,
    ) {
        let release = KeyRelease {
            epoch,
            to,
            drained: false,
        };
        self.releases.keys.insert((service, key_hash), release);
        self.effects.push(Effect::GrantsChanged);
        self.effects.push(Effect::DrainKey {
            service,
            key_hash,
            epoch,
        });
    }

    pub(super) fn log_decision(&mut self, kind: DecisionKind) {
        self.effects.push(Effect::LogDecision(Decision {
            version: self.table.version,
            local: true,
            kind,
        }));
    }
}

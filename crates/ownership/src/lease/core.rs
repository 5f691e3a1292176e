//! The state of the core and its reaction to events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::api::{
    CoreSettings, Declared, Effect, Event, Held, Identity, Joiner, MoveBy, Outcome, Renewal, Rule,
    TargetReport,
};
use super::lessee::Lessee;
use super::lessor::Lessees;
use super::releases::{KeyRelease, Purpose, Releases};
use super::unreachable::Unreachable;
use super::writer::Writer;
use crate::chart::{SESSION_CHART, StateMachine};
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::journal::{Decision, Rejection, What};
use crate::table::Table;

/// The most released moves that wait for a swap. The owner of a dropped one takes its shard back.
const MAX_QUEUED: usize = 256;

/// A move that an owner released for this planner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Queued {
    pub held: Held,
    pub from: SessionId,
    pub to: SessionId,
}

/// State of the lease core. See the [module](super) for what it does.
#[derive(Debug)]
pub struct Core {
    pub(super) settings: CoreSettings,
    pub(super) me: Identity,
    pub(super) table: Arc<Table>,
    /// Whether a table was read or learned at all.
    pub(super) informed: bool,
    pub(super) life: StateMachine,
    pub(super) session: Option<SessionId>,
    pub(super) lessee: Lessee,
    pub(super) lessees: Lessees,
    pub(super) writer: Writer,
    pub(super) releases: Releases,
    pub(super) queue: Vec<Queued>,
    pub(super) target: Option<TargetReport>,
    pub(super) declared: Vec<Declared>,
    pub(super) leaving: bool,
    /// Sessions that an operator declared lost.
    pub(super) lost: Vec<SessionId>,
    /// When this process last asked a member to write its join.
    pub(super) asked_join: Option<Duration>,
    /// Processes whose joins this member is to write, and when each of them asked.
    pub(super) joiners: Vec<(Duration, Joiner)>,
    /// Shards owned since a loss, with the end of the settling time.
    pub(super) settling: BTreeMap<(ServiceId, ShardId), Duration>,
    /// Shards that the newest table gives to this session.
    pub(super) owned: Vec<Held>,
    /// Sessions that did not renew lately, with the end of the suspicion.
    pub(super) suspects: BTreeMap<SessionId, Duration>,
    /// Lessors that did not renew, by data centre.
    pub(super) unreachable: Unreachable,
    /// Sessions whose lessors have all ended, with the time at which that was seen.
    pub(super) without_lessors: BTreeMap<SessionId, (u32, Duration)>,
    /// Time at which the newest table was learned.
    pub(super) learned_at: Duration,
    /// Random share between 0 and 1, drawn with each table, that spreads optional swaps.
    pub(super) jitter_share: f64,
    pub(super) orphans: bool,
    pub(super) prefers_other: bool,
    /// Time before which no change of lessors is tried again.
    pub(super) lessor_hold: Duration,
    /// Time since which a service that was never assigned has a ready target.
    pub(super) gathering: BTreeMap<ServiceId, Duration>,
    pub(super) effects: Vec<Effect>,
    /// Time of the last event; time never goes back.
    last: Duration,
}

impl Core {
    /// Makes the core of a new process. Deliver [`Event::Tick`] to start it.
    pub fn new(settings: CoreSettings, me: Identity) -> Self {
        let writer = Writer::new(me.seed);
        Self {
            settings,
            writer,
            me,
            table: Arc::default(),
            informed: false,
            life: StateMachine::new(&SESSION_CHART),
            session: None,
            lessee: Lessee::default(),
            lessees: Lessees::default(),
            releases: Releases::default(),
            queue: Vec::new(),
            target: None,
            declared: Vec::new(),
            leaving: false,
            lost: Vec::new(),
            asked_join: None,
            joiners: Vec::new(),
            settling: BTreeMap::new(),
            owned: Vec::new(),
            suspects: BTreeMap::new(),
            unreachable: Unreachable::default(),
            without_lessors: BTreeMap::new(),
            learned_at: Duration::ZERO,
            jitter_share: 0.0,
            orphans: false,
            prefers_other: false,
            lessor_hold: Duration::ZERO,
            gathering: BTreeMap::new(),
            effects: Vec::new(),
            last: Duration::ZERO,
        }
    }

    /// Takes an event at boot time `now` and returns what the daemon has to do, in order.
    ///
    /// Read `now` after the event has arrived: a time from before it would let this daemon count a
    /// lease out too early after a pause in between.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let now = now.max(self.last);
        self.last = now;
        self.dispatch(now, event);
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the newest table of this daemon.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the own session while it is in the newest table.
    pub fn session(&self) -> Option<SessionId> {
        self.session
    }

    /// Returns the state of the session's chart: `outside`, `joining`, `member`, `leaving` or
    /// `ended`.
    pub fn life(&self) -> &'static str {
        self.life.state()
    }

    /// Returns the identity; the incarnation changes with each session.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    fn dispatch(&mut self, now: Duration, event: Event) {
        match event {
            Event::Tick => {}
            Event::TableRead { read, table } => self.table_read(now, read, table),
            Event::TableLearned(table) => self.learn(now, table, None),
            Event::DeltasLearned(deltas) => self.learn_deltas(now, &deltas),
            Event::SwapOutcome { change_id, outcome } => {
                let current = self.writer.pending.as_ref().map(|p| p.delta.change_id);
                if current == Some(change_id) {
                    self.swap_answered(now, outcome);
                }
            }
            Event::RenewRequest(renewal) => self.renew(now, renewal),
            Event::RenewReply {
                lessor,
                sequence,
                granted,
                version,
            } => {
                if granted {
                    if self.lessee.renewed(now, lessor, sequence, &self.settings) {
                        self.suspects.remove(&lessor);
                        self.unreachable.heard(&self.table, lessor);
                        self.effects.push(Effect::GrantsChanged);
                    }
                } else {
                    self.lessee.failed(now, lessor, sequence, &self.settings);
                }
                self.note_version(lessor, version);
            }
            Event::RenewTimeout { lessor, sequence } => {
                self.lessee.failed(now, lessor, sequence, &self.settings);
            }
            Event::ExpiredRequest(expiry) => {
                let asked = self.session == Some(expiry.to);
                let committed = asked && self.lessees.confirm(now, &expiry, &self.settings);
                self.effects.push(Effect::ReplyExpired {
                    expiry,
                    committed,
                    version: self.table.version,
                });
                self.note_version(expiry.from, expiry.version);
            }
            Event::ExpiredReply {
                expiry,
                committed,
                version,
            } => {
                if committed && self.session == Some(expiry.from) {
                    self.lessees.confirmed(&expiry);
                }
                self.note_version(expiry.to, version);
            }
            Event::TargetChanged(target) => self.target_changed(now, target),
            Event::ServicesDeclared(declared) => {
                self.declared = declared;
                self.learned_at = self.learned_at.max(now);
            }
            Event::JoinAsked(joiner) => self.join_asked(now, joiner),
            Event::LeaveRequested => self.leave(),
            Event::ConfirmLost { vm } => self.confirm_lost(now, &vm),
            other => self.dispatch_move(now, other),
        }
    }

    /// Takes over what the target announced. A new life of the target holds nothing, so what it
    /// owns gets a higher epoch before it is granted again.
    fn target_changed(&mut self, now: Duration, target: Option<TargetReport>) {
        let life = target.as_ref().map_or(0, |t| t.life);
        let own = self.session.and_then(|id| self.table.session(id));
        let known = own
            .and_then(|s| s.target.as_ref())
            .map_or(0, |t| t.incarnation);
        let reported = self.target.as_ref().map_or(known, |t| t.life);
        self.target = target;
        if life == 0 || reported == 0 || life == reported {
            return;
        }
        for held in self.owned.clone() {
            self.begin_release(held, Purpose::NewLife);
            self.releases.drained(now, held);
        }
    }

    fn dispatch_move(&mut self, now: Duration, event: Event) {
        match event {
            Event::MoveRequested { held, to, by } => self.move_requested(held, to, by),
            Event::ShardDrained(held) => self.releases.drained(now, held),
            Event::MoveAbandoned(held) => {
                self.releases.abandon(held);
                self.effects.push(Effect::GrantsChanged);
            }
            Event::MoveReleased { held, from, to } if self.queue.len() < MAX_QUEUED => {
                self.queue.push(Queued { held, from, to });
            }
            Event::OverrideRequested {
                service,
                key_hash,
                to,
            } => self.override_requested(service, key_hash, to),
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

    fn swap_answered(&mut self, now: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                let Some(pending) = &self.writer.pending else {
                    return;
                };
                let (next, delta) = (pending.next.clone(), pending.delta.clone());
                self.writer.wrote(now, next.version);
                self.learn(now, next, Some(&delta));
            }
            Outcome::Unknown if self.settings.without == Some(Rule::ReadBack) => {
                self.writer.finish();
                self.lessee.changing_to = None;
            }
            Outcome::Unknown => self.writer.unsettled(now, false, &self.settings),
            Outcome::Conflict => self.writer.unsettled(now, true, &self.settings),
        }
    }

    fn renew(&mut self, now: Duration, renewal: Renewal) {
        let mine = self.session == Some(renewal.lessor) && !self.writer.ending();
        let live = self.lessee.live(now) || self.settings.without == Some(Rule::LessorNeedsLease);
        let granted = mine
            && live
            && self
                .lessees
                .grant(now, renewal.lessee, renewal.term, &self.settings);
        self.effects.push(Effect::ReplyRenew {
            renewal,
            granted,
            version: self.table.version,
        });
        self.note_version(renewal.lessee, renewal.version);
    }

    /// Pulls when a peer reports a newer table.
    fn note_version(&mut self, from: SessionId, version: u64) {
        if version > self.table.version {
            self.effects.push(Effect::Pull { from });
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        // A session that already left keeps its state.
        let _ = self.life.step("leave");
    }

    fn confirm_lost(&mut self, now: Duration, vm: &str) {
        let table = self.table.clone();
        for s in table.sessions.iter().filter(|s| s.vm == vm) {
            let mine = self.session == Some(s.id);
            if mine || self.lessees.renewed_lately(now, s.id, &self.settings) {
                self.journal(What::Rejected(Rejection::NotLost(vm.to_owned())));
            } else if !self.lost.contains(&s.id) {
                self.lost.push(s.id);
            }
        }
    }

    fn move_requested(&mut self, held: Held, to: SessionId, by: MoveBy) {
        let Some(me) = self.session.filter(|_| self.owned.contains(&held)) else {
            self.journal(What::Rejected(Rejection::StaleMove(
                held.shard,
                held.service,
            )));
            return;
        };
        if self.settings.without == Some(Rule::ReleaseFirst) {
            self.queue.push(Queued { held, from: me, to });
            return;
        }
        self.begin_release(held, Purpose::Move { to, by });
    }

    pub(super) fn begin_release(&mut self, held: Held, purpose: Purpose) {
        if self.releases.begin(held, purpose) {
            self.journal(What::ReleaseStarted {
                service: held.service,
                shard: held.shard,
                epoch: held.epoch,
            });
            self.effects.push(Effect::GrantsChanged);
            self.effects.push(Effect::DrainShard(held));
        }
    }

    fn override_requested(&mut self, service: ServiceId, key_hash: u64, to: Option<SessionId>) {
        let Some(known) = self.table.service(service).filter(|s| !s.shards.is_empty()) else {
            return;
        };
        let current = known.overrides.iter().find(|o| o.key_hash == key_hash);
        match (current.map(|o| o.assignment), to) {
            (Some(held), to) if held.owner == self.session => {
                self.release_key(service, key_hash, held.epoch, to);
            }
            (None, Some(to)) => {
                let shard = crate::ids::shard_of(key_hash, known.shards.len() as u32);
                let epoch = known.shards[shard.index()].epoch;
                let held = Held {
                    service,
                    shard,
                    epoch,
                };
                if self.owned.contains(&held) {
                    self.begin_release(held, Purpose::Override { key_hash, to });
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

    pub(super) fn journal(&mut self, what: What) {
        self.effects.push(Effect::Journal(Decision {
            version: self.table.version,
            local: true,
            what,
        }));
    }
}

//! Journal entries of a delta.
//!
//! Every daemon receives the delta of each swap, so every journal can record its decisions. Their
//! causes follow from the delta and the table before it, except for planned moves and key
//! overrides: the owner receives their cause with the release request and sends it with the delta.

use std::collections::HashMap;
use std::sync::Arc;

use masticdeal_ownership::change::{Change, Delta, EndCause};
use masticdeal_ownership::ids::{ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{Table, TargetInfo, TargetState};
use masticdeal_wire::peer::Versions;

use super::journal::{Cause, EndLabel, Entry, EntryKind, ShardSet, TargetLabel, to_entries};

/// Returns the decisions of `delta`, which was applied to `before`.
///
/// `config` is the configuration revision of this daemon and `time_ms` the Unix time in
/// milliseconds. `received_cause` is the cause that this daemon received for the delta. It applies
/// to moves, key overrides and changes of lessors or targets.
pub fn entries(
    before: &Table,
    delta: &Delta,
    config: u64,
    time_ms: u64,
    received_cause: Option<&Cause>,
) -> Vec<Entry> {
    let mut converter = DeltaConverter::new(before, received_cause);
    let decisions: Vec<(EntryKind, Cause)> = delta
        .changes
        .iter()
        .flat_map(|change| converter.convert(change))
        .collect();
    let versions = Versions {
        table: delta.to_version,
        config,
        ..Versions::default()
    };
    to_entries(decisions, versions, time_ms)
}

/// Converts changes to decisions, in order. Keeps the sessions and services that earlier changes of
/// the delta added or ended, since later changes refer to them.
struct DeltaConverter<'a> {
    before: &'a Table,
    received_cause: Option<&'a Cause>,
    joined: HashMap<SessionId, Arc<str>>,
    ended: HashMap<SessionId, EndCause>,
    next_session: u32,
    declared: Vec<Arc<str>>,
}

impl<'a> DeltaConverter<'a> {
    fn new(before: &'a Table, received_cause: Option<&'a Cause>) -> Self {
        Self {
            before,
            received_cause,
            joined: HashMap::new(),
            ended: HashMap::new(),
            next_session: before.next_session,
            declared: Vec::new(),
        }
    }

    fn convert(&mut self, change: &Change) -> Vec<(EntryKind, Cause)> {
        match change {
            Change::Join { session } => vec![self.join_decision(&session.vm)],
            Change::End { session, cause, .. } => vec![self.end_decision(*session, *cause)],
            Change::SetLessors { session, .. } => {
                let vm = self.vm(*session);
                vec![(
                    EntryKind::LessorsChanged { vm },
                    self.received_or_remote_cause(),
                )]
            }
            Change::SetTarget { session, target } => {
                self.target_decisions(*session, target.as_ref())
            }
            Change::DeclareService { name, .. } => self.declare_decisions(name),
            Change::Assign {
                service,
                owner,
                shards,
            } => self.assign_decisions(*service, *owner, shards),
            Change::Move {
                service,
                shard,
                from,
                to,
                ..
            } => {
                vec![self.move_decision(*service, *shard, *from, *to)]
            }
            Change::Override {
                service,
                key_hash,
                to,
                ..
            } => {
                vec![self.override_decision(*service, *key_hash, *to)]
            }
        }
    }

    fn vm(&self, session: SessionId) -> Arc<str> {
        match (self.joined.get(&session), self.before.session(session)) {
            (Some(vm), _) => vm.clone(),
            (None, Some(known)) => known.vm.as_str().into(),
            (None, None) => format!("session {session}").into(),
        }
    }

    fn service(&self, id: ServiceId) -> Arc<str> {
        let known_count = self.before.services.len();
        match (
            self.before.service(id),
            self.declared.get(id.index().saturating_sub(known_count)),
        ) {
            (Some(service), _) => service.name.as_str().into(),
            (None, Some(name)) => name.clone(),
            (None, None) => format!("service {id}").into(),
        }
    }

    fn received_or_remote_cause(&self) -> Cause {
        self.received_cause.cloned().unwrap_or(Cause::Remote)
    }

    fn join_decision(&mut self, vm: &str) -> (EntryKind, Cause) {
        let session = SessionId(self.next_session);
        let vm: Arc<str> = vm.into();
        self.next_session += 1;
        self.joined.insert(session, vm.clone());
        (EntryKind::Joined { vm, session }, Cause::Requested)
    }

    fn end_decision(&mut self, session: SessionId, cause: EndCause) -> (EntryKind, Cause) {
        self.ended.insert(session, cause);
        let vm = self.vm(session);
        (
            EntryKind::Ended { vm, session },
            Cause::Session(cause.into()),
        )
    }

    /// Returns no decision for a change of capacity or slots alone.
    fn target_decisions(
        &self,
        session: SessionId,
        target: Option<&TargetInfo>,
    ) -> Vec<(EntryKind, Cause)> {
        let previous = self.before.session(session);
        let state = target_label(target);
        if previous.is_some_and(|previous| target_label(previous.target.as_ref()) == state) {
            return Vec::new();
        }
        let vm = self.vm(session);
        let cause = self.received_cause.cloned().unwrap_or(Cause::Announced);
        vec![(EntryKind::TargetChanged { vm, state }, cause)]
    }

    /// Returns no decision for a service that is already declared.
    fn declare_decisions(&mut self, name: &str) -> Vec<(EntryKind, Cause)> {
        let is_redeclared = self.declared.iter().any(|declared| **declared == *name);
        if is_redeclared || self.before.service_id(name).is_some() {
            return Vec::new();
        }
        let service: Arc<str> = name.into();
        self.declared.push(service.clone());
        vec![(EntryKind::Declared { service }, Cause::Requested)]
    }

    /// Returns one decision per former owner, since the cause depends on the former owner.
    fn assign_decisions(
        &self,
        id: ServiceId,
        owner: SessionId,
        shards: &[ShardId],
    ) -> Vec<(EntryKind, Cause)> {
        let mut by_former_owner: Vec<(Option<SessionId>, Vec<ShardId>)> = Vec::new();
        for shard in shards {
            let former = self.former_owner(id, *shard);
            match by_former_owner
                .iter_mut()
                .find(|(owner, _)| *owner == former)
            {
                Some((_, shards)) => shards.push(*shard),
                None => by_former_owner.push((former, vec![*shard])),
            }
        }
        let to_decision = |(former, shards): (Option<SessionId>, Vec<ShardId>)| {
            let kind = EntryKind::Assigned {
                service: self.service(id),
                shards: shards.into_iter().collect::<ShardSet>(),
                vm: self.vm(owner),
                session: owner,
            };
            (kind, self.assignment_cause(former))
        };
        by_former_owner.into_iter().map(to_decision).collect()
    }

    fn former_owner(&self, service: ServiceId, shard: ShardId) -> Option<SessionId> {
        self.before
            .service(service)?
            .shards
            .get(shard.index())?
            .owner
    }

    fn assignment_cause(&self, former: Option<SessionId>) -> Cause {
        let ended = former.and_then(|former| Some((former, self.ended.get(&former)?)));
        match ended {
            Some((former, cause)) => Cause::OwnerEnded {
                vm: self.vm(former),
                end: EndLabel::from(*cause),
            },
            None => Cause::FirstOwner,
        }
    }

    fn move_decision(
        &self,
        service: ServiceId,
        shard: ShardId,
        from: SessionId,
        to: SessionId,
    ) -> (EntryKind, Cause) {
        let kind = EntryKind::Moved {
            service: self.service(service),
            shard,
            from: self.vm(from),
            to: self.vm(to),
            session: to,
        };
        let target = self.before.session(from).and_then(|s| s.target.as_ref());
        let is_leaving = target.is_some_and(|t| t.state != TargetState::Ready);
        match self.received_cause {
            Some(cause) => (kind, cause.clone()),
            None if is_leaving => (kind, Cause::TargetLeaves { vm: self.vm(from) }),
            None => (kind, Cause::Remote),
        }
    }

    fn override_decision(
        &self,
        id: ServiceId,
        key_hash: u64,
        to: Option<SessionId>,
    ) -> (EntryKind, Cause) {
        let service = self.service(id);
        let kind = match to {
            Some(session) => EntryKind::OverrideSet {
                service,
                key_hash,
                vm: self.vm(session),
                session,
            },
            None => EntryKind::OverrideRemoved { service, key_hash },
        };
        (kind, self.received_or_remote_cause())
    }
}

/// Returns the state of a target as operators see it.
pub fn target_label(target: Option<&TargetInfo>) -> TargetLabel {
    match target.map(|t| t.state) {
        None => TargetLabel::Absent,
        Some(TargetState::Ready) => TargetLabel::Ready,
        Some(TargetState::Draining | TargetState::Departing) => TargetLabel::Draining,
        Some(TargetState::Away) => TargetLabel::Away,
    }
}

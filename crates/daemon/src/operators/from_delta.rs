//! Journal entries of an accepted swap.
//!
//! Every daemon learns each swap as a delta, so every journal can name the decision. The cause
//! follows from the delta and the table before it, except for planned moves: their author knows
//! more and passes its own cause.

use std::collections::HashMap;
use std::sync::Arc;

use masticdeal_ownership::change::{Change, Delta, EndCause};
use masticdeal_ownership::ids::{ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{Table, TargetInfo, TargetState};
use masticdeal_wire::peer::Versions;

use super::journal::{Cause, EndWord, Entry, ShardSet, TargetWord, What, dated};

/// Returns the decisions of `delta`, which was applied to `before`.
///
/// `config` is the configuration revision that this daemon holds, `time_ms` the Unix time in
/// milliseconds, and `own` the cause of moves and key overrides when this daemon wrote the swap.
pub fn entries(
    before: &Table,
    delta: &Delta,
    config: u64,
    time_ms: u64,
    own: Option<&Cause>,
) -> Vec<Entry> {
    let mut reader = Reader::new(before, own);
    let decided: Vec<(What, Cause)> = delta
        .changes
        .iter()
        .flat_map(|change| reader.read(change))
        .collect();
    let versions = Versions {
        table: delta.to_version,
        config,
    };
    dated(decided, versions, time_ms)
}

/// Reads the changes in order and keeps what later ones refer to.
struct Reader<'a> {
    before: &'a Table,
    own: Option<&'a Cause>,
    joined: HashMap<SessionId, Arc<str>>,
    ended: HashMap<SessionId, EndCause>,
    next_session: u32,
    declared: Vec<Arc<str>>,
}

impl<'a> Reader<'a> {
    fn new(before: &'a Table, own: Option<&'a Cause>) -> Self {
        Self {
            before,
            own,
            joined: HashMap::new(),
            ended: HashMap::new(),
            next_session: before.next_session,
            declared: Vec::new(),
        }
    }

    fn read(&mut self, change: &Change) -> Vec<(What, Cause)> {
        match change {
            Change::Join { session } => vec![self.join(&session.vm)],
            Change::End { session, cause, .. } => vec![self.end(*session, *cause)],
            Change::SetLessors { session, .. } => {
                let vm = self.vm(*session);
                vec![(What::LessorsChanged { vm }, self.told())]
            }
            Change::SetTarget { session, target } => self.target(*session, target.as_ref()),
            Change::DeclareService { name, .. } => self.declare(name),
            Change::Assign {
                service,
                owner,
                shards,
            } => self.assign(*service, *owner, shards),
            Change::Move {
                service,
                shard,
                from,
                to,
                ..
            } => {
                vec![self.moved(*service, *shard, *from, *to)]
            }
            Change::Override {
                service,
                key_hash,
                to,
                ..
            } => {
                vec![self.overridden(*service, *key_hash, *to)]
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
        let known = self.before.services.len();
        match (
            self.before.service(id),
            self.declared.get(id.index().saturating_sub(known)),
        ) {
            (Some(service), _) => service.name.as_str().into(),
            (None, Some(name)) => name.clone(),
            (None, None) => format!("service {id}").into(),
        }
    }

    fn told(&self) -> Cause {
        self.own.cloned().unwrap_or(Cause::Elsewhere)
    }

    fn join(&mut self, vm: &str) -> (What, Cause) {
        let session = SessionId(self.next_session);
        let vm: Arc<str> = vm.into();
        self.next_session += 1;
        self.joined.insert(session, vm.clone());
        (What::Joined { vm, session }, Cause::Requested)
    }

    fn end(&mut self, session: SessionId, cause: EndCause) -> (What, Cause) {
        self.ended.insert(session, cause);
        let vm = self.vm(session);
        (What::Ended { vm, session }, Cause::Session(cause.into()))
    }

    /// A change of capacity or slots alone is no decision.
    fn target(&self, session: SessionId, target: Option<&TargetInfo>) -> Vec<(What, Cause)> {
        let known = self.before.session(session);
        let state = word(target);
        if known.is_some_and(|known| word(known.target.as_ref()) == state) {
            return Vec::new();
        }
        let vm = self.vm(session);
        let cause = self.own.cloned().unwrap_or(Cause::Announced);
        vec![(What::TargetChanged { vm, state }, cause)]
    }

    fn declare(&mut self, name: &str) -> Vec<(What, Cause)> {
        let again = self.declared.iter().any(|known| **known == *name);
        if again || self.before.service_id(name).is_some() {
            return Vec::new();
        }
        let service: Arc<str> = name.into();
        self.declared.push(service.clone());
        vec![(What::Declared { service }, Cause::Requested)]
    }

    /// One entry per former owner, since each has its own cause.
    fn assign(&self, id: ServiceId, owner: SessionId, shards: &[ShardId]) -> Vec<(What, Cause)> {
        let mut by_former: Vec<(Option<SessionId>, Vec<ShardId>)> = Vec::new();
        for shard in shards {
            let former = self.former_owner(id, *shard);
            match by_former.iter_mut().find(|(known, _)| *known == former) {
                Some((_, shards)) => shards.push(*shard),
                None => by_former.push((former, vec![*shard])),
            }
        }
        let decide = |(former, shards): (Option<SessionId>, Vec<ShardId>)| {
            let what = What::Assigned {
                service: self.service(id),
                shards: shards.into_iter().collect::<ShardSet>(),
                vm: self.vm(owner),
                session: owner,
            };
            (what, self.loss(former))
        };
        by_former.into_iter().map(decide).collect()
    }

    fn former_owner(&self, service: ServiceId, shard: ShardId) -> Option<SessionId> {
        self.before
            .service(service)?
            .shards
            .get(shard.index())?
            .owner
    }

    fn loss(&self, former: Option<SessionId>) -> Cause {
        let ended = former.and_then(|former| Some((former, self.ended.get(&former)?)));
        match ended {
            Some((former, cause)) => Cause::OwnerEnded {
                vm: self.vm(former),
                end: EndWord::from(*cause),
            },
            None => Cause::FirstOwner,
        }
    }

    fn moved(
        &self,
        service: ServiceId,
        shard: ShardId,
        from: SessionId,
        to: SessionId,
    ) -> (What, Cause) {
        let what = What::Moved {
            service: self.service(service),
            shard,
            from: self.vm(from),
            to: self.vm(to),
            session: to,
        };
        let target = self.before.session(from).and_then(|s| s.target.as_ref());
        let leaves = target.is_some_and(|t| t.state != TargetState::Ready);
        match self.own {
            Some(cause) => (what, cause.clone()),
            None if leaves => (what, Cause::TargetLeaves { vm: self.vm(from) }),
            None => (what, Cause::Elsewhere),
        }
    }

    fn overridden(&self, id: ServiceId, key_hash: u64, to: Option<SessionId>) -> (What, Cause) {
        let service = self.service(id);
        let what = match to {
            Some(session) => What::KeyGiven {
                service,
                key_hash,
                vm: self.vm(session),
                session,
            },
            None => What::KeyReturned { service, key_hash },
        };
        (what, self.told())
    }
}

/// Returns the state of a target in words.
pub fn word(target: Option<&TargetInfo>) -> TargetWord {
    match target.map(|t| t.state) {
        None => TargetWord::Absent,
        Some(TargetState::Ready) => TargetWord::Ready,
        Some(TargetState::Draining) => TargetWord::Draining,
        Some(TargetState::Away) => TargetWord::Away,
    }
}

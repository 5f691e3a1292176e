//! Journal entries of what was learned as a whole: a table without the deltas that led to it, or a
//! configuration.
//!
//! A daemon that missed deltas reads a whole table. Its journal then still names every owner that
//! changed, with the cause as far as the two tables show it.

use std::sync::Arc;

use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::diff;
use masticdeal_ownership::ids::{SessionId, ShardId};
use masticdeal_ownership::table::{Service, Session, Table, TargetState};
use masticdeal_wire::peer::{ConfigValue, Versions};

use super::from_delta::target_label;
use super::journal::{Cause, Differences, EndLabel, Entry, EntryKind, ShardSet, to_entries};

/// Most differences of a configuration that an entry keeps.
const MAX_DIFFERENCES: usize = 32;

type Decided = Vec<(EntryKind, Cause)>;

/// Returns what changed from `before` to `after`; nothing when `after` is not newer.
///
/// The first table of a daemon shows no decision that it saw, so that an empty `before` (version 0)
/// yields nothing either.
///
/// `config` is the configuration revision that this daemon holds, and `time_ms` the Unix time in
/// milliseconds.
pub fn table(before: &Table, after: &Table, config: u64, time_ms: u64) -> Vec<Entry> {
    if before.version == 0 || after.version <= before.version {
        return Vec::new();
    }
    let tables = TableComparison { before, after };
    let mut decided = Decided::new();
    tables.sessions(&mut decided);
    tables.services(&mut decided);
    let versions = Versions {
        table: after.version,
        config,
    };
    to_entries(decided, versions, time_ms)
}

/// Returns the entry of a configuration that came into force.
///
/// `before` is the configuration that was in force, `after` what `value` means, `table` the version
/// of the table, and `time_ms` the Unix time in milliseconds at which this daemon learned of it.
pub fn config(
    before: &Deployment,
    after: &Deployment,
    value: &ConfigValue,
    table: u64,
    time_ms: u64,
) -> Entry {
    let mut differences = diff(before, after);
    differences.truncate(MAX_DIFFERENCES);
    let (revision, author) = (value.revision, value.author.clone());
    Entry {
        time_ms,
        versions: Versions {
            table,
            config: revision,
        },
        kind: EntryKind::Configured {
            revision,
            differences: Differences(differences),
        },
        cause: Cause::Operator { author },
    }
}

struct TableComparison<'a> {
    before: &'a Table,
    after: &'a Table,
}

impl TableComparison<'_> {
    fn vm(&self, session: SessionId) -> Arc<str> {
        let known = self
            .after
            .session(session)
            .or_else(|| self.before.session(session));
        match known {
            Some(session) => session.vm.as_str().into(),
            None => format!("session {session}").into(),
        }
    }

    fn sessions(&self, decided: &mut Decided) {
        let ended = self
            .before
            .sessions
            .iter()
            .filter(|s| self.after.session(s.id).is_none());
        for session in ended {
            let (vm, session) = (session.vm.as_str().into(), session.id);
            decided.push((
                EntryKind::Ended { vm, session },
                Cause::Session(EndLabel::NotObserved),
            ));
        }
        for session in &self.after.sessions {
            match self.before.session(session.id) {
                None => record_joined(session, decided),
                Some(known) => record_changed(known, session, decided),
            }
        }
    }

    fn services(&self, decided: &mut Decided) {
        for service in &self.after.services {
            let known = self.before.services.iter().find(|s| s.name == service.name);
            if known.is_none() {
                let service = service.name.as_str().into();
                decided.push((EntryKind::Declared { service }, Cause::Remote));
            }
            self.shards(known, service, decided);
            self.overrides(known, service, decided);
        }
    }

    /// One entry per former and new owner, so that the number of entries follows the sessions and
    /// not the shards.
    fn shards(&self, known: Option<&Service>, service: &Service, decided: &mut Decided) {
        type Group = (Option<SessionId>, SessionId, Vec<ShardId>);
        let mut groups: Vec<Group> = Vec::new();
        for (at, shard) in service.shards.iter().enumerate() {
            let former = known.and_then(|k| k.shards.get(at)).and_then(|s| s.owner);
            let Some(owner) = shard.owner.filter(|owner| Some(*owner) != former) else {
                continue;
            };
            let shard = ShardId(at as u32);
            match groups
                .iter_mut()
                .find(|(f, o, _)| (*f, *o) == (former, owner))
            {
                Some((.., shards)) => shards.push(shard),
                None => groups.push((former, owner, vec![shard])),
            }
        }
        for (former, session, shards) in groups {
            let kind = EntryKind::Assigned {
                service: service.name.as_str().into(),
                shards: shards.into_iter().collect::<ShardSet>(),
                vm: self.vm(session),
                session,
            };
            decided.push((kind, self.cause(former)));
        }
    }

    fn cause(&self, former: Option<SessionId>) -> Cause {
        let Some(former) = former else {
            return Cause::FirstOwner;
        };
        let vm = self.vm(former);
        match self.after.session(former) {
            None => Cause::OwnerEnded {
                vm,
                end: EndLabel::NotObserved,
            },
            Some(session) if is_unavailable(session) => Cause::TargetLeaves { vm },
            Some(_) => Cause::MovedFrom { vm },
        }
    }

    fn overrides(&self, known: Option<&Service>, service: &Service, decided: &mut Decided) {
        let old = known.map_or(&[][..], |known| &known.overrides);
        let name: Arc<str> = service.name.as_str().into();
        for now in &service.overrides {
            let owner = now.assignment.owner.filter(|_| !old.contains(now));
            let Some(session) = owner else { continue };
            let kind = EntryKind::OverrideSet {
                service: name.clone(),
                key_hash: now.key_hash,
                vm: self.vm(session),
                session,
            };
            decided.push((kind, Cause::Remote));
        }
        let stays = |key_hash| service.overrides.iter().any(|now| now.key_hash == key_hash);
        for key in old.iter().filter(|key| !stays(key.key_hash)) {
            let (service, key_hash) = (name.clone(), key.key_hash);
            decided.push((
                EntryKind::OverrideRemoved { service, key_hash },
                Cause::Remote,
            ));
        }
    }
}

fn is_unavailable(session: &Session) -> bool {
    session
        .target
        .as_ref()
        .is_some_and(|t| t.state != TargetState::Ready)
}

fn record_joined(session: &Session, decided: &mut Decided) {
    let vm: Arc<str> = session.vm.as_str().into();
    let kind = EntryKind::Joined {
        vm: vm.clone(),
        session: session.id,
    };
    decided.push((kind, Cause::Requested));
    if session.target.is_some() {
        let state = target_label(session.target.as_ref());
        decided.push((EntryKind::TargetChanged { vm, state }, Cause::Announced));
    }
}

fn record_changed(known: &Session, session: &Session, decided: &mut Decided) {
    let vm: Arc<str> = session.vm.as_str().into();
    let state = target_label(session.target.as_ref());
    if target_label(known.target.as_ref()) != state {
        decided.push((
            EntryKind::TargetChanged {
                vm: vm.clone(),
                state,
            },
            Cause::Announced,
        ));
    }
    if known.lessors != session.lessors {
        decided.push((EntryKind::LessorsChanged { vm }, Cause::Remote));
    }
}

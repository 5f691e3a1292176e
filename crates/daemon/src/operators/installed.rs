//! Journal entries of a table or configuration that was installed as a whole.
//!
//! A daemon that missed deltas installs a complete table. Comparing it with the previous table
//! yields the net changes of owners, with a cause as far as the two tables show it. Owners between
//! the two tables, and shards and keys that lost their owner, yield no entry.

use std::sync::Arc;

use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::diff;
use masticdeal_ownership::ids::{SessionId, ShardId};
use masticdeal_ownership::table::{Service, Session, Table, TargetState};
use masticdeal_wire::peer::{ConfigValue, Versions};

use super::from_delta::target_label;
use super::journal::{Cause, Differences, EndLabel, Entry, EntryKind, ShardSet, to_entries};

/// Maximum number of configuration differences in an entry.
const MAX_DIFFERENCES: usize = 32;

type Decisions = Vec<(EntryKind, Cause)>;

/// Returns the entries of the changes from `before` to `after`.
///
/// Returns no entries if `after` is not newer, or if it is the first table of a daemon (`before`
/// has version 0), because the daemon observed none of the decisions in it.
///
/// `config_revision` is the configuration revision of this daemon and `time_ms` the Unix time in
/// milliseconds.
pub fn entries_of_table(
    before: &Table,
    after: &Table,
    config_revision: u64,
    time_ms: u64,
) -> Vec<Entry> {
    if before.version == 0 || after.version <= before.version {
        return Vec::new();
    }
    let comparison = TableComparison { before, after };
    let mut decisions = Decisions::new();
    comparison.compare_sessions(&mut decisions);
    comparison.compare_services(&mut decisions);
    let versions = Versions {
        table: after.version,
        config: config_revision,
        ..Versions::default()
    };
    to_entries(decisions, versions, time_ms)
}

/// Returns the entry of an installed configuration.
///
/// `before` is the previous configuration, `after` the parsed text of `value`, `table_version` the
/// version of the installed table and `time_ms` the Unix time in milliseconds of the installation.
pub fn entry_of_config(
    before: &Deployment,
    after: &Deployment,
    value: &ConfigValue,
    table_version: u64,
    time_ms: u64,
) -> Entry {
    let mut differences = diff(before, after);
    differences.truncate(MAX_DIFFERENCES);
    let (revision, author) = (value.revision, value.author.clone());
    Entry {
        time_ms,
        versions: Versions {
            table: table_version,
            config: revision,
            ..Versions::default()
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

    fn compare_sessions(&self, decisions: &mut Decisions) {
        let ended = self
            .before
            .sessions
            .iter()
            .filter(|s| self.after.session(s.id).is_none());
        for session in ended {
            let (vm, session) = (session.vm.as_str().into(), session.id);
            decisions.push((
                EntryKind::Ended { vm, session },
                Cause::Session(EndLabel::NotObserved),
            ));
        }
        for session in &self.after.sessions {
            match self.before.session(session.id) {
                None => add_joined(session, decisions),
                Some(previous) => compare_session(previous, session, decisions),
            }
        }
    }

    fn compare_services(&self, decisions: &mut Decisions) {
        for service in &self.after.services {
            let previous = self.before.services.iter().find(|s| s.name == service.name);
            if previous.is_none() {
                let service = service.name.as_str().into();
                decisions.push((EntryKind::Declared { service }, Cause::Remote));
            }
            self.compare_shards(previous, service, decisions);
            self.compare_overrides(previous, service, decisions);
        }
    }

    /// Adds one decision per pair of former and new owner. The number of entries thus depends on
    /// the number of sessions, not of shards.
    fn compare_shards(
        &self,
        previous: Option<&Service>,
        service: &Service,
        decisions: &mut Decisions,
    ) {
        type Group = (Option<SessionId>, SessionId, Vec<ShardId>);
        let mut groups: Vec<Group> = Vec::new();
        for (index, shard) in service.shards.iter().enumerate() {
            let former = previous
                .and_then(|service| service.shards.get(index))
                .and_then(|shard| shard.owner);
            let Some(owner) = shard.owner.filter(|owner| Some(*owner) != former) else {
                continue;
            };
            let shard = ShardId(index as u32);
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
            decisions.push((kind, self.assignment_cause(former)));
        }
    }

    fn assignment_cause(&self, former: Option<SessionId>) -> Cause {
        let Some(former) = former else {
            return Cause::FirstOwner;
        };
        let vm = self.vm(former);
        match self.after.session(former) {
            None => Cause::OwnerEnded {
                vm,
                end: EndLabel::NotObserved,
            },
            Some(session) if is_leaving(session) => Cause::TargetLeaves { vm },
            Some(_) => Cause::MovedFrom { vm },
        }
    }

    fn compare_overrides(
        &self,
        previous: Option<&Service>,
        service: &Service,
        decisions: &mut Decisions,
    ) {
        let previous_overrides = previous.map_or(&[][..], |previous| &previous.overrides);
        let name: Arc<str> = service.name.as_str().into();
        for current in &service.overrides {
            let owner = current
                .assignment
                .owner
                .filter(|_| !previous_overrides.contains(current));
            let Some(session) = owner else { continue };
            let kind = EntryKind::OverrideSet {
                service: name.clone(),
                key_hash: current.key_hash,
                vm: self.vm(session),
                session,
            };
            decisions.push((kind, Cause::Remote));
        }
        let is_kept = |key_hash| {
            service
                .overrides
                .iter()
                .any(|current| current.key_hash == key_hash)
        };
        for removed in previous_overrides
            .iter()
            .filter(|previous| !is_kept(previous.key_hash))
        {
            let (service, key_hash) = (name.clone(), removed.key_hash);
            decisions.push((
                EntryKind::OverrideRemoved { service, key_hash },
                Cause::Remote,
            ));
        }
    }
}

/// Returns whether the session has a target that is not ready.
fn is_leaving(session: &Session) -> bool {
    session
        .target
        .as_ref()
        .is_some_and(|t| t.state != TargetState::Ready)
}

fn add_joined(session: &Session, decisions: &mut Decisions) {
    let vm: Arc<str> = session.vm.as_str().into();
    let kind = EntryKind::Joined {
        vm: vm.clone(),
        session: session.id,
    };
    decisions.push((kind, Cause::Requested));
    if session.target.is_some() {
        let state = target_label(session.target.as_ref());
        decisions.push((EntryKind::TargetChanged { vm, state }, Cause::Announced));
    }
}

fn compare_session(previous: &Session, session: &Session, decisions: &mut Decisions) {
    let vm: Arc<str> = session.vm.as_str().into();
    let state = target_label(session.target.as_ref());
    if target_label(previous.target.as_ref()) != state {
        decisions.push((
            EntryKind::TargetChanged {
                vm: vm.clone(),
                state,
            },
            Cause::Announced,
        ));
    }
    if previous.lessors != session.lessors {
        decisions.push((EntryKind::LessorsChanged { vm }, Cause::Remote));
    }
}

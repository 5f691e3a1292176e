//! Operators' commands: their checks against the daemon's state, and their outcomes.

use masticdeal_config::diff::Difference;
use masticdeal_config::edit;
use masticdeal_language::{Sentence, Setting, SubjectRef};
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{Session, TargetState};

use super::answer::{Answer, Status};
use super::data::AnswerData;
use super::state_view::{ShardLookup, StateView, UnknownName};
use super::subject::Subject;

/// Age of a daemon's last report, in milliseconds, below which `confirm lost` is refused.
const RECENT_REPORT_MS: u128 = 10_000;

/// A command that the control plane runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The command as text.
    pub text: String,
    /// The action.
    pub action: Action,
    /// The key or shard that the command refers to.
    pub subject: Option<Subject>,
}

/// Action of a command.
///
/// The table and the configuration may have changed since the check. Therefore an action contains
/// the epoch, revision or term that it was checked against.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Take the target of a daemon out of service. Its shards move first and running requests
    /// complete.
    Drain {
        /// Session of the daemon.
        session: SessionId,
    },
    /// Return the target to service.
    Return {
        /// Session of the daemon.
        session: SessionId,
    },
    /// Send no more requests to the targets of a data centre.
    Evacuate {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Return the targets of an evacuated data centre to service.
    Readmit {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Move a shard, or a single key as an override.
    Move {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// xxh3 hash of the key to move; `None` moves the shard.
        key_hash: Option<u64>,
        /// The owner and epoch that the command was checked against.
        from: Option<(SessionId, Epoch)>,
        /// The new owner.
        to: SessionId,
    },
    /// Replace the configuration text.
    Configure {
        /// Revision that the new text is based on.
        if_revision: u64,
        /// The complete new text, which is valid.
        text: String,
        /// Differences from the current configuration.
        differences: Vec<Difference>,
    },
    /// End the session of a daemon that is permanently lost.
    ConfirmLost {
        /// The session.
        session: SessionId,
        /// Term of the session in the table.
        term: u32,
    },
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out. A version of 0 means that the table or configuration did not change.
    Done {
        /// Version of the table that contains the change.
        table_version: u64,
        /// Revision of the configuration that contains the change.
        config_revision: u64,
    },
    /// Not carried out, and nothing changed.
    Refused {
        /// The reason, as a clause without a full stop.
        reason: String,
    },
    /// It is unknown whether the command was carried out: a reply is missing, or the table did not
    /// show the effect in time.
    Unknown {
        /// The reason, as a clause without a full stop.
        reason: String,
    },
}

/// Why a command is not passed to the control plane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CheckError {
    /// A name in the command does not exist.
    UnknownName(UnknownName),
    /// The state that this daemon knows does not allow the command.
    Refused(String),
}

impl From<UnknownName> for CheckError {
    fn from(unknown_name: UnknownName) -> Self {
        Self::UnknownName(unknown_name)
    }
}

type CheckResult<T> = Result<T, CheckError>;

fn refuse<T>(reason: impl Into<String>) -> CheckResult<T> {
    Err(CheckError::Refused(reason.into()))
}

/// Checks a command. `sentence` must not be a question.
pub(super) fn check(
    sentence: &Sentence,
    view: &StateView<'_>,
    last: Option<&Subject>,
) -> CheckResult<Command> {
    let mut subject = None;
    let action = match sentence {
        Sentence::Drain { vm } => check_drain(view, vm)?,
        Sentence::Return { vm } => check_return(view, vm)?,
        Sentence::Evacuate { data_centre } => check_evacuate(view, data_centre)?,
        Sentence::Readmit { data_centre } => check_readmit(view, data_centre)?,
        Sentence::Move {
            subject: subject_ref,
            to,
        } => {
            subject = Subject::resolve(subject_ref, last);
            let Some(subject) = &subject else {
                return refuse("`it` has no subject yet; name a key or shard");
            };
            check_move(view, subject.subject_ref(), to)?
        }
        Sentence::Set { setting, value } => check_set(view, setting, value)?,
        Sentence::ConfirmLost { vm } => check_confirm_lost(view, vm)?,
        _ => return refuse("it is a question"),
    };
    let text = match (&subject, sentence) {
        (Some(subject), Sentence::Move { to, .. }) => format!("move {subject} to {to}"),
        _ => sentence.to_string(),
    };
    Ok(Command {
        text,
        action,
        subject,
    })
}

fn check_drain(view: &StateView<'_>, vm: &str) -> CheckResult<Action> {
    let session = view.session_of_vm(vm)?;
    let Some(target) = &session.target else {
        return refuse(format!("{vm} has no target"));
    };
    if target.state != TargetState::Ready {
        return refuse(format!("the target of {vm} already takes no new work"));
    }
    let Some(service) = view.table.service(target.service) else {
        return refuse(format!("the service of {vm} is not in the table"));
    };
    let (unavailable, limit) = (
        view.unavailable_count(&service.name),
        view.deployment.rules.max_draining,
    );
    if unavailable >= limit {
        return refuse(format!(
            "{} has {unavailable} of its targets away already, and rules.max_draining is {limit}",
            service.name
        ));
    }
    let others = view
        .targets_of(&service.name)
        .filter(|s| s.id != session.id && is_ready(s));
    if others.count() == 0 {
        return refuse(format!(
            "{vm} has the only ready target of {}",
            service.name
        ));
    }
    Ok(Action::Drain {
        session: session.id,
    })
}

fn check_return(view: &StateView<'_>, vm: &str) -> CheckResult<Action> {
    let session = view.session_of_vm(vm)?;
    match &session.target {
        None => refuse(format!("{vm} has no target")),
        Some(t) if t.state == TargetState::Ready => {
            refuse(format!("the target of {vm} is in service already"))
        }
        Some(_) => Ok(Action::Return {
            session: session.id,
        }),
    }
}

fn check_evacuate(view: &StateView<'_>, name: &str) -> CheckResult<Action> {
    let evacuated = &view.deployment.rules.evacuated;
    if evacuated.iter().any(|e| e == name) {
        return refuse(format!("{name} is evacuated already"));
    }
    check_evacuated(view, &[evacuated.as_slice(), &[name.into()]].concat())?;
    Ok(Action::Evacuate {
        data_centre: name.into(),
    })
}

/// Checks that the names that are added to the list of evacuated data centres are in the table, and
/// that one data centre of the table is left.
fn check_evacuated(view: &StateView<'_>, names: &[String]) -> CheckResult<()> {
    let listed = &view.deployment.rules.evacuated;
    let Some(added) = names.iter().find(|name| !listed.contains(name)) else {
        return Ok(());
    };
    for name in names.iter().filter(|name| !listed.contains(name)) {
        view.check_data_centre(name)?;
    }
    let mut sessions = view.table.sessions.iter();
    if sessions.all(|s| names.contains(&s.data_centre)) {
        return refuse(format!(
            "{added} is the last data centre that is not evacuated"
        ));
    }
    Ok(())
}

/// A data centre without daemons in the table can be readmitted too.
fn check_readmit(view: &StateView<'_>, name: &str) -> CheckResult<Action> {
    if !view.deployment.rules.evacuated.iter().any(|e| e == name) {
        view.check_data_centre(name)?;
        return refuse(format!("{name} is not evacuated"));
    }
    Ok(Action::Readmit {
        data_centre: name.into(),
    })
}

fn is_ready(session: &Session) -> bool {
    session
        .target
        .as_ref()
        .is_some_and(|t| t.state == TargetState::Ready)
}

fn check_move(view: &StateView<'_>, subject_ref: &SubjectRef, vm: &str) -> CheckResult<Action> {
    let lookup = look_up(view, subject_ref)?;
    let name = &lookup.service.name;
    let session = view.session_of_vm(vm)?;
    let Some(service) = view.table.service_id(name) else {
        return refuse(format!("{name} is not in the table"));
    };
    if session.target.as_ref().is_none_or(|t| t.service != service) {
        return refuse(format!("the target of {vm} does not belong to {name}"));
    }
    if !is_ready(session) {
        return refuse(format!("the target of {vm} takes no new work"));
    }
    if lookup.assignment.owner == Some(session.id) {
        return refuse(format!("{vm} owns it already"));
    }
    Ok(Action::Move {
        service,
        shard: lookup.shard_id,
        key_hash: lookup.key_hash,
        from: lookup
            .assignment
            .owner
            .map(|owner| (owner, lookup.assignment.epoch)),
        to: session.id,
    })
}

/// Looks up a key or shard of a sharded service.
fn look_up<'a>(view: &StateView<'a>, subject_ref: &SubjectRef) -> CheckResult<ShardLookup<'a>> {
    let (SubjectRef::Key { service, .. } | SubjectRef::Shard { service, .. }) = subject_ref else {
        return refuse("`it` has no subject yet; name a key or shard");
    };
    let (table_service, _) = view.service(service)?;
    if table_service.shards.is_empty() {
        return refuse(format!("{service} is not divided by key"));
    }
    let lookup = match subject_ref {
        SubjectRef::Key { key, .. } => view.key(table_service, key),
        SubjectRef::Shard { shard, .. } => view.shard(table_service, *shard),
        SubjectRef::It => None,
    };
    match lookup {
        Some(lookup) => Ok(lookup),
        None => refuse(format!(
            "{service} has shards 0 to {} only",
            table_service.shards.len() - 1
        )),
    }
}

fn check_set(view: &StateView<'_>, setting: &Setting, value: &str) -> CheckResult<Action> {
    let Setting { scope, key } = setting;
    let edited = edit::set(&view.config.text, scope, key, value);
    let checked = edited.and_then(|(text, new)| {
        let differences = masticdeal_config::diff::check_change(view.deployment, &new)?;
        let declared = view.table.services.iter();
        let declared = declared.map(|s| (s.name.as_str(), s.shards.len() as u32));
        masticdeal_config::diff::check_shard_counts(declared, &new)?;
        Ok((text, differences, new.rules.evacuated))
    });
    match checked {
        Ok((_, differences, _)) if differences.is_empty() => {
            refuse(format!("{scope}.{key} is {value} already"))
        }
        Ok((text, differences, evacuated)) => {
            check_evacuated(view, &evacuated)?;
            Ok(Action::Configure {
                if_revision: view.config.revision,
                text,
                differences,
            })
        }
        Err(faults) => {
            let reason = faults.first().map(ToString::to_string).unwrap_or_default();
            refuse(reason)
        }
    }
}

fn check_confirm_lost(view: &StateView<'_>, vm: &str) -> CheckResult<Action> {
    let session = view.session_of_vm(vm)?;
    let peer = view.peers.iter().find(|peer| peer.session == session.id);
    match peer.map(|peer| peer.report_age.as_millis()) {
        Some(age) if age < RECENT_REPORT_MS => refuse(format!(
            "{vm} was heard {}.{} s ago, so it is not lost",
            age / 1_000,
            age / 100 % 10
        )),
        _ => Ok(Action::ConfirmLost {
            session: session.id,
            term: session.term,
        }),
    }
}

impl Command {
    /// Returns the answer to the operator after the control plane has run the command.
    pub fn answer(&self, outcome: &Outcome) -> Answer {
        let command = self.text.clone();
        let (status, data) = match outcome {
            Outcome::Done {
                table_version,
                config_revision,
            } => {
                let data = AnswerData::Done {
                    command,
                    table_version: *table_version,
                    config_revision: *config_revision,
                    next: self.follow_up(*table_version, *config_revision),
                };
                (Status::Ok, data)
            }
            Outcome::Refused { reason } => {
                let reason = reason.clone();
                (Status::Refused, AnswerData::Refused { command, reason })
            }
            Outcome::Unknown { reason } => {
                let reason = reason.clone();
                (Status::Unavailable, AnswerData::Unknown { command, reason })
            }
        };
        Answer::new(status, &data, self.subject.clone())
    }

    /// Returns what follows from the command, as a sentence without its full stop.
    fn follow_up(&self, table: u64, config: u64) -> String {
        match &self.action {
            Action::Drain { .. } => {
                "Its shards move first, running work finishes, and new work stops within 2 s".into()
            }
            Action::Evacuate { .. } => {
                "Its keys move, running work finishes, and `show evacuations` tells what is left"
                    .into()
            }
            Action::Readmit { .. } => {
                format!(
                    "Its targets take new work once configuration revision {config} is in force"
                )
            }
            Action::Return { .. } if table == 0 => {
                format!("It takes new work once configuration revision {config} is in force")
            }
            Action::Return { .. } => format!("It takes new work from table version {table} on"),
            Action::Move { .. } => format!("The new owner serves it from table version {table} on"),
            Action::Configure { .. } => {
                format!("Revision {config} is accepted and goes to all daemons")
            }
            Action::ConfirmLost { .. } => {
                format!("Its shards have new owners from table version {table} on")
            }
        }
    }
}

//! Commands of operators, checked against the facts, and their outcomes.

use masticdeal_config::diff::Difference;
use masticdeal_config::edit;
use masticdeal_language::{Sentence, Setting, SubjectRef};
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{Session, TargetState};

use super::answer::{Answer, Status};
use super::data::Data;
use super::facts::{Facts, NoSuch, Place};
use super::subject::Subject;

/// Time for which a daemon that was heard cannot be confirmed as lost, in milliseconds.
const RECENTLY_HEARD_MS: u128 = 10_000;

/// A command that the control plane runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The command as text.
    pub text: String,
    /// What to do.
    pub action: Action,
    /// The key or shard that the command is about.
    pub subject: Option<Subject>,
}

/// What to do. The table and the configuration may have moved on since the command was checked.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Take the target beside a daemon out of service: shards move first, running work finishes.
    Drain {
        /// Session of the daemon.
        session: SessionId,
    },
    /// Take the target back into service.
    Return {
        /// Session of the daemon.
        session: SessionId,
    },
    /// Move a shard, or one key out of its shard.
    Move {
        /// The service.
        service: ServiceId,
        /// The shard.
        shard: ShardId,
        /// xxh3 hash of the key, to move the key alone.
        key_hash: Option<u64>,
        /// The owner and epoch on which the command was checked.
        from: Option<(SessionId, Epoch)>,
        /// The new owner.
        to: SessionId,
    },
    /// Swap the configuration for a changed text.
    Configure {
        /// Revision that the change was made on.
        if_revision: u64,
        /// The whole new text, already checked.
        text: String,
        /// What differs.
        differences: Vec<Difference>,
    },
    /// End a session that is lost for good.
    ConfirmLost {
        /// The session.
        session: SessionId,
        /// The term in the table.
        term: u32,
    },
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted under these versions; 0 for the one that did not change.
    Done {
        /// Version of the table.
        table_version: u64,
        /// Revision of the configuration.
        config_revision: u64,
    },
    /// Not carried out, and nothing changed.
    Refused {
        /// Why, as a clause without a full stop.
        reason: String,
    },
    /// The answer of the platform's service was lost, and reading back did not decide it.
    Unknown {
        /// Why, as a clause without a full stop.
        reason: String,
    },
}

/// Why a command does not reach the control plane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stop {
    /// A name leads nowhere.
    NoSuch(NoSuch),
    /// The facts forbid it.
    Refused(String),
}

impl From<NoSuch> for Stop {
    fn from(no_such: NoSuch) -> Self {
        Self::NoSuch(no_such)
    }
}

type Checked<T> = Result<T, Stop>;

fn refuse<T>(reason: impl Into<String>) -> Checked<T> {
    Err(Stop::Refused(reason.into()))
}

/// Checks a command. Questions are not passed in.
pub(super) fn check(
    sentence: &Sentence,
    facts: &Facts<'_>,
    last: Option<&Subject>,
) -> Checked<Command> {
    let mut subject = None;
    let action = match sentence {
        Sentence::Drain { vm } => drain(facts, vm)?,
        Sentence::Return { vm } => give_back(facts, vm)?,
        Sentence::Move { subject: thing, to } => {
            subject = Subject::resolve(thing, last);
            let Some(subject) = &subject else {
                return refuse("`it` has no subject yet; name a key or shard");
            };
            move_to(facts, subject.thing(), to)?
        }
        Sentence::Set { setting, value } => configure(facts, setting, value)?,
        Sentence::ConfirmLost { vm } => confirm_lost(facts, vm)?,
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

fn drain(facts: &Facts<'_>, vm: &str) -> Checked<Action> {
    let session = facts.vm(vm)?;
    let Some(target) = &session.target else {
        return refuse(format!("{vm} has no target"));
    };
    if target.state != TargetState::Ready {
        return refuse(format!("the target of {vm} already takes no new work"));
    }
    let Some(service) = facts.table.service(target.service) else {
        return refuse(format!("the service of {vm} is not in the table"));
    };
    let (away, most) = (
        facts.away_count(&service.name),
        facts.deployment.rules.max_draining,
    );
    if away >= most {
        return refuse(format!(
            "{} has {away} of its targets away already, and rules.max_draining is {most}",
            service.name
        ));
    }
    let others = facts
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

fn give_back(facts: &Facts<'_>, vm: &str) -> Checked<Action> {
    let session = facts.vm(vm)?;
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

fn is_ready(session: &Session) -> bool {
    session
        .target
        .as_ref()
        .is_some_and(|t| t.state == TargetState::Ready)
}

fn move_to(facts: &Facts<'_>, thing: &SubjectRef, vm: &str) -> Checked<Action> {
    let place = locate(facts, thing)?;
    let name = &place.service.name;
    let session = facts.vm(vm)?;
    let Some(service) = facts.table.service_id(name) else {
        return refuse(format!("{name} is not in the table"));
    };
    if session.target.as_ref().is_none_or(|t| t.service != service) {
        return refuse(format!("the target of {vm} does not belong to {name}"));
    }
    if !is_ready(session) {
        return refuse(format!("the target of {vm} takes no new work"));
    }
    if place.shard.owner == Some(session.id) {
        return refuse(format!("{vm} owns it already"));
    }
    Ok(Action::Move {
        service,
        shard: place.shard_id,
        key_hash: place.key_hash,
        from: place.shard.owner.map(|owner| (owner, place.shard.epoch)),
        to: session.id,
    })
}

/// Finds a key or shard of a divided service.
fn locate<'a>(facts: &Facts<'a>, thing: &SubjectRef) -> Checked<Place<'a>> {
    let (SubjectRef::Key { service, .. } | SubjectRef::Shard { service, .. }) = thing else {
        return refuse("`it` has no subject yet; name a key or shard");
    };
    let (found, _) = facts.service(service)?;
    if found.shards.is_empty() {
        return refuse(format!("{service} is not divided by key"));
    }
    let place = match thing {
        SubjectRef::Key { key, .. } => facts.key(found, key),
        SubjectRef::Shard { shard, .. } => facts.shard(found, *shard),
        SubjectRef::It => None,
    };
    match place {
        Some(place) => Ok(place),
        None => refuse(format!(
            "{service} has shards 0 to {} only",
            found.shards.len() - 1
        )),
    }
}

fn configure(facts: &Facts<'_>, setting: &Setting, value: &str) -> Checked<Action> {
    let Setting { scope, key } = setting;
    let edited = edit::set(&facts.config.text, scope, key, value);
    let checked = edited.and_then(|(text, new)| {
        let differences = masticdeal_config::diff::check_change(facts.deployment, &new)?;
        let declared = facts.table.services.iter();
        let declared = declared.map(|s| (s.name.as_str(), s.shards.len() as u32));
        masticdeal_config::diff::check_shard_counts(declared, &new)?;
        Ok((text, differences))
    });
    match checked {
        Ok((_, differences)) if differences.is_empty() => {
            refuse(format!("{scope}.{key} is {value} already"))
        }
        Ok((text, differences)) => Ok(Action::Configure {
            if_revision: facts.config.revision,
            text,
            differences,
        }),
        Err(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            refuse(first)
        }
    }
}

fn confirm_lost(facts: &Facts<'_>, vm: &str) -> Checked<Action> {
    let session = facts.vm(vm)?;
    let heard = facts.peers.iter().find(|peer| peer.session == session.id);
    match heard.map(|peer| peer.heard.as_millis()) {
        Some(age) if age < RECENTLY_HEARD_MS => refuse(format!(
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
    /// Returns the answer to the operator after the control plane ran the command.
    pub fn answer(&self, outcome: &Outcome) -> Answer {
        let command = self.text.clone();
        let (status, data) = match outcome {
            Outcome::Done {
                table_version,
                config_revision,
            } => {
                let data = Data::Done {
                    command,
                    table_version: *table_version,
                    config_revision: *config_revision,
                    next: self.next(*table_version, *config_revision),
                };
                (Status::Ok, data)
            }
            Outcome::Refused { reason } => {
                let reason = reason.clone();
                (Status::Refused, Data::Refused { command, reason })
            }
            Outcome::Unknown { reason } => {
                let reason = reason.clone();
                (Status::Unavailable, Data::Unknown { command, reason })
            }
        };
        Answer::new(status, &data, self.subject.clone())
    }

    fn next(&self, table: u64, config: u64) -> String {
        match &self.action {
            Action::Drain { .. } => {
                "Its shards move first, running work finishes, and new work stops within 2 s".into()
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

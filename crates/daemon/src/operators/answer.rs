//! From a sentence to an answer or a command.

use masticdeal_language::{HELP_ENTRIES, Sentence, SubjectRef, parse};
use masticdeal_ownership::table::Session;
use serde::Serialize;

use super::command::{Command, Stop, check};
use super::data::{Data, Decision, LoadLine, Owned, Owner, ServiceLine, TargetLine};
use super::facts::{Facts, NoSuch, Place};
use super::from_delta::word;
use super::journal::TargetWord;
use super::subject::Subject;

/// Most decisions in one answer to `show changes`.
const MAX_CHANGES: usize = 1_000;

/// How a sentence fared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Answered or done.
    Ok,
    /// The line is no sentence.
    Malformed,
    /// A name leads nowhere.
    NoSuch,
    /// A command was not carried out, and nothing changed.
    Refused,
    /// The outcome of a command is not known.
    Unavailable,
}

impl Status {
    /// Returns the HTTP status of the answer.
    pub fn code(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::Malformed => 400,
            Self::NoSuch => 404,
            Self::Refused => 409,
            Self::Unavailable => 503,
        }
    }
}

/// An answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// How the sentence fared.
    pub status: Status,
    /// At most two sentences.
    pub text: String,
    /// The value of [`Data`] with the text in the field `answer`.
    pub json: serde_json::Value,
    /// What "it" refers to in the next sentence; `None` leaves it as it was.
    pub subject: Option<Subject>,
}

/// A question with its answer, or a command to run.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The answer to a question, or the refusal of a command.
    Answer(Answer),
    /// A command that the facts allow.
    Command(Command),
}

#[derive(Serialize)]
struct Json<'a> {
    answer: &'a str,
    #[serde(flatten)]
    data: &'a Data,
}

impl Answer {
    pub(super) fn new(status: Status, data: &Data, subject: Option<Subject>) -> Self {
        let text = data.to_string();
        let answer = &text;
        let json = serde_json::to_value(Json { answer, data }).unwrap_or_default();
        Self {
            status,
            text,
            json,
            subject,
        }
    }

    fn no_such(no_such: NoSuch) -> Self {
        let NoSuch {
            kind,
            name,
            nearest,
        } = no_such;
        Self::new(
            Status::NoSuch,
            &Data::NoSuch {
                what: kind,
                name,
                nearest,
            },
            None,
        )
    }

    fn malformed(column: usize, message: String) -> Self {
        Self::new(
            Status::Malformed,
            &Data::Malformed { column, message },
            None,
        )
    }
}

/// Reads a line and answers it. `last` is the subject that the tool passed back.
pub fn reply(line: &str, facts: &Facts<'_>, last: Option<&Subject>) -> Reply {
    let sentence = match parse(line) {
        Ok(sentence) => sentence,
        Err(error) => {
            let text = error.to_string();
            let (_, message) = text.split_once(": ").unwrap_or(("", &text));
            return Reply::Answer(Answer::malformed(error.column, message.into()));
        }
    };
    if !sentence.is_command() {
        return Reply::Answer(answer(&sentence, facts, last));
    }
    match check(&sentence, facts, last) {
        Ok(command) => Reply::Command(command),
        Err(Stop::NoSuch(no_such)) => Reply::Answer(Answer::no_such(no_such)),
        Err(Stop::Refused(reason)) => {
            let command = sentence.to_string();
            let data = Data::Refused { command, reason };
            Reply::Answer(Answer::new(Status::Refused, &data, None))
        }
    }
}

/// Answers a question.
pub fn answer(sentence: &Sentence, facts: &Facts<'_>, last: Option<&Subject>) -> Answer {
    let answered = match sentence {
        Sentence::Who { subject: thing } => return about(thing, facts, last, None),
        Sentence::Why { vm, subject: thing } => return about(thing, facts, last, Some(vm)),
        Sentence::What { vm } => facts.vm(vm).map(|session| owns(session, facts)),
        Sentence::WhyAway { vm } => why_away(vm, facts),
        Sentence::ShowServices => Ok(services(facts)),
        Sentence::ShowTargets { service } => targets(service.as_deref(), facts),
        Sentence::ShowLoad { service } => load(service.as_deref(), facts),
        Sentence::ShowChanges { since } => {
            let since_ms = since.map(|s| facts.now_ms.saturating_sub(s.as_millis() as u64));
            Ok(changes(since_ms, facts))
        }
        Sentence::ShowConfig => Ok(config(facts)),
        _ => Ok(help()),
    };
    match answered {
        Ok(data) => Answer::new(Status::Ok, &data, None),
        Err(no_such) => Answer::no_such(no_such),
    }
}

/// Answers who owns a key or shard, and with `vm` why that VM does.
fn about(
    thing: &SubjectRef,
    facts: &Facts<'_>,
    last: Option<&Subject>,
    vm: Option<&str>,
) -> Answer {
    let Some(subject) = Subject::resolve(thing, last) else {
        let message = "`it` has no subject yet; name a key or shard first".into();
        return Answer::malformed(0, message);
    };
    match about_subject(&subject, facts, vm) {
        Ok(data) => Answer::new(Status::Ok, &data, Some(subject)),
        Err(no_such) => Answer::no_such(no_such),
    }
}

fn about_subject(subject: &Subject, facts: &Facts<'_>, vm: Option<&str>) -> Result<Data, NoSuch> {
    let (SubjectRef::Key { service: name, .. } | SubjectRef::Shard { service: name, .. }) =
        subject.thing()
    else {
        return Ok(help());
    };
    let (service, _) = facts.service(name)?;
    if let Some(vm) = vm {
        facts.vm(vm)?;
    }
    if service.shards.is_empty() {
        let vms = facts.targets_of(name).map(|s| s.vm.clone()).collect();
        return Ok(Data::NotDivided {
            service: name.clone(),
            vms,
        });
    }
    let place = match subject.thing() {
        SubjectRef::Key { key, .. } => facts.key(service, key),
        SubjectRef::Shard { shard, .. } => facts.shard(service, *shard),
        SubjectRef::It => None,
    };
    let place = place.ok_or_else(|| NoSuch {
        kind: "shard",
        name: subject.to_string(),
        nearest: None,
    })?;
    Ok(match (owner(&place, subject, facts), vm) {
        (None, _) => Data::NoOwner {
            thing: subject.to_string(),
            shard: place.shard_id.0,
            table_version: facts.table.version,
            decision: facts.decision(&place),
        },
        (Some(owner), None) => Data::Owner(owner),
        (Some(owner), Some(vm)) => reason(vm, owner, &place, facts),
    })
}

fn owner(place: &Place<'_>, subject: &Subject, facts: &Facts<'_>) -> Option<Owner> {
    let session = facts.table.session(place.shard.owner?)?;
    Some(Owner {
        thing: subject.to_string(),
        service: place.service.name.clone(),
        shard: place.shard_id.0,
        shards: place.service.shards.len() as u32,
        epoch: place.shard.epoch.0,
        vm: session.vm.clone(),
        session: session.id,
        data_centre: session.data_centre.clone(),
        state: word(session.target.as_ref()),
        hot_key: place.is_override,
        table_version: facts.table.version,
    })
}

fn reason(vm: &str, owner: Owner, place: &Place<'_>, facts: &Facts<'_>) -> Data {
    let decision = facts.decision(place);
    if owner.vm != vm {
        return Data::OtherOwner {
            vm: vm.into(),
            owner,
            decision,
        };
    }
    Data::Reason {
        owner,
        decision,
        daemon: facts.name.into(),
        journal_from_ms: facts.journal.reaches_back_to(),
    }
}

fn owns(session: &Session, facts: &Facts<'_>) -> Data {
    let owner = Some(session.id);
    let of_service = |service: &masticdeal_ownership::table::Service| Owned {
        service: service.name.clone(),
        shards: service.shards.iter().filter(|s| s.owner == owner).count(),
        of: service.shards.len(),
        hot_keys: service
            .overrides
            .iter()
            .filter(|o| o.assignment.owner == owner)
            .count(),
    };
    let services = facts.table.services.iter().map(of_service);
    Data::Owns {
        vm: session.vm.clone(),
        state: word(session.target.as_ref()),
        services: services.filter(|s| s.shards + s.hot_keys > 0).collect(),
        table_version: facts.table.version,
    }
}

fn why_away(vm: &str, facts: &Facts<'_>) -> Result<Data, NoSuch> {
    let newest = facts
        .journal
        .newest(|entry| entry.concerns_availability(vm));
    let decision = newest.map(Decision::from);
    let state = match facts.vm(vm) {
        Ok(session) => Some(word(session.target.as_ref())),
        // A VM that was ended is no longer in the table, but the journal knows it.
        Err(_) if decision.is_some() => None,
        Err(no_such) => return Err(no_such),
    };
    let ready = state == Some(TargetWord::Ready);
    Ok(Data::Availability {
        vm: vm.into(),
        state,
        decision: decision.filter(|_| !ready),
        daemon: facts.name.into(),
        journal_from_ms: facts.journal.reaches_back_to(),
    })
}

fn services(facts: &Facts<'_>) -> Data {
    let line = |service: &masticdeal_config::deployment::Service| {
        let targets = facts.targets_of(&service.name).count();
        ServiceLine {
            service: service.name.clone(),
            paths: service.paths.clone(),
            shards: service.shards,
            targets,
            ready: targets - facts.away_count(&service.name),
        }
    };
    Data::Services {
        services: facts.deployment.services.iter().map(line).collect(),
    }
}

fn targets(service: Option<&str>, facts: &Facts<'_>) -> Result<Data, NoSuch> {
    let wanted = sessions(service, facts)?;
    let line = |session: &Session| {
        let target = session.target.as_ref()?;
        Some(TargetLine {
            vm: session.vm.clone(),
            service: facts.table.service(target.service)?.name.clone(),
            data_centre: session.data_centre.clone(),
            state: word(Some(target)),
            slots: target.slots,
            checks_grants: target.checks_grants,
        })
    };
    Ok(Data::Targets {
        service: service.map(String::from),
        targets: wanted.into_iter().filter_map(line).collect(),
    })
}

fn load(service: Option<&str>, facts: &Facts<'_>) -> Result<Data, NoSuch> {
    let wanted = sessions(service, facts)?;
    let line = |session: &Session| {
        let target = session.target.as_ref()?;
        let known = facts.loads.iter().find(|l| l.session == session.id)?;
        Some(LoadLine {
            vm: session.vm.clone(),
            service: facts.table.service(target.service)?.name.clone(),
            running: known.load.running,
            queued: known.load.queued,
            slots: target.slots,
            service_us: known.load.service_us,
            age_ms: known.age.as_millis() as u64,
        })
    };
    let mut targets: Vec<LoadLine> = wanted.into_iter().filter_map(line).collect();
    targets.sort_by(|a, b| {
        b.per_slot()
            .total_cmp(&a.per_slot())
            .then_with(|| a.vm.cmp(&b.vm))
    });
    Ok(Data::Load {
        service: service.map(String::from),
        targets,
    })
}

fn sessions<'a>(service: Option<&str>, facts: &Facts<'a>) -> Result<Vec<&'a Session>, NoSuch> {
    match service {
        None => Ok(facts.table.sessions.iter().collect()),
        Some(name) => {
            facts.service(name)?;
            Ok(facts.targets_of(name).collect())
        }
    }
}

fn changes(since_ms: Option<u64>, facts: &Facts<'_>) -> Data {
    let reach = facts.journal.reaches_back_to();
    let since_ms = since_ms.unwrap_or(reach);
    let newest = facts.journal.since(since_ms).rev().take(MAX_CHANGES);
    let mut decisions: Vec<Decision> = newest.map(Decision::from).collect();
    decisions.reverse();
    let all = facts.journal.since(since_ms).count() == decisions.len();
    Data::Changes {
        since_ms,
        complete: all && since_ms >= reach,
        decisions,
    }
}

fn config(facts: &Facts<'_>) -> Data {
    let config = facts.config;
    let in_force = |session: &&Session| {
        let known = facts.peers.iter().find(|peer| peer.session == session.id);
        known.is_some_and(|peer| peer.versions.config >= config.revision)
    };
    let sessions = &facts.table.sessions;
    let behind = sessions
        .iter()
        .filter(|s| !in_force(s))
        .map(|s| s.vm.clone());
    Data::Config {
        revision: config.revision,
        author: config.author.clone(),
        time_ms: config.time_ms,
        services: facts.deployment.services.len(),
        in_force: sessions.iter().filter(in_force).count(),
        daemons: sessions.len(),
        behind: behind.collect(),
        text: config.text.clone(),
    }
}

fn help() -> Data {
    let forms = HELP_ENTRIES
        .iter()
        .map(|form| (form.syntax, form.description));
    Data::Help {
        forms: forms.collect(),
    }
}

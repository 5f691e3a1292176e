//! Evaluates a sentence to an answer or a command.

use masticdeal_language::{HELP_ENTRIES, Sentence, SubjectRef, parse};
use masticdeal_ownership::table::{Session, TargetInfo};
use masticdeal_policy::caller_limits::Limits;
use masticdeal_policy::cold;
use serde::Serialize;

use super::command::{CheckError, Command, check};
use super::data::{
    AnswerData, ColdLine, Decision, LimitsLine, LoadLine, OwnedShards, ServiceLine, ShardOwner,
    TargetLine,
};
use super::evacuation::evacuations;
use super::from_delta::target_label;
use super::journal::TargetLabel;
use super::state_view::{ReportedLoad, ShardLookup, StateView, UnknownName};
use super::subject::Subject;

/// Maximum number of decisions in one answer to `show changes`.
const MAX_CHANGES: usize = 1_000;

/// Status of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The question was answered or the command was carried out.
    Ok,
    /// The line is not a valid sentence.
    Malformed,
    /// A name in the sentence does not exist.
    NoSuch,
    /// The command was not carried out, and nothing changed.
    Refused,
    /// The outcome of the command is unknown.
    Unavailable,
}

impl Status {
    /// Returns the HTTP status code of the answer.
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
    /// Whether the sentence was answered or carried out.
    pub status: Status,
    /// At most two sentences.
    pub text: String,
    /// The [`AnswerData`] as JSON, with the text in the additional field `answer`.
    pub json: serde_json::Value,
    /// What "it" refers to in the next sentence; `None` keeps the previous subject.
    pub subject: Option<Subject>,
}

/// Result of the evaluation of a line.
#[derive(Debug, Clone, PartialEq)]
pub enum Evaluation {
    /// Answer to a question, or refusal of a command.
    Answer(Answer),
    /// Command that passed the checks; the control plane runs it.
    Command(Command),
}

#[derive(Serialize)]
struct JsonAnswer<'a> {
    answer: &'a str,
    #[serde(flatten)]
    data: &'a AnswerData,
}

impl Answer {
    pub(super) fn new(status: Status, data: &AnswerData, subject: Option<Subject>) -> Self {
        let text = data.to_string();
        let answer = &text;
        let json = serde_json::to_value(JsonAnswer { answer, data }).unwrap_or_default();
        Self {
            status,
            text,
            json,
            subject,
        }
    }

    fn unknown_name(unknown_name: UnknownName) -> Self {
        let UnknownName {
            kind,
            name,
            nearest,
        } = unknown_name;
        Self::new(
            Status::NoSuch,
            &AnswerData::NoSuch {
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
            &AnswerData::Malformed { column, message },
            None,
        )
    }
}

/// Parses a line, then answers the question or checks the command.
///
/// `last` is the subject of the previous answer, which the tool passed back.
pub fn evaluate(line: &str, view: &StateView<'_>, last: Option<&Subject>) -> Evaluation {
    let sentence = match parse(line) {
        Ok(sentence) => sentence,
        Err(error) => {
            let text = error.to_string();
            let (_, message) = text.split_once(": ").unwrap_or(("", &text));
            return Evaluation::Answer(Answer::malformed(error.column, message.into()));
        }
    };
    if !sentence.is_command() {
        return Evaluation::Answer(answer(&sentence, view, last));
    }
    match check(&sentence, view, last) {
        Ok(command) => Evaluation::Command(command),
        Err(CheckError::UnknownName(unknown_name)) => {
            Evaluation::Answer(Answer::unknown_name(unknown_name))
        }
        Err(CheckError::Refused(reason)) => {
            let command = sentence.to_string();
            let data = AnswerData::Refused { command, reason };
            Evaluation::Answer(Answer::new(Status::Refused, &data, None))
        }
    }
}

/// Answers a question.
pub fn answer(sentence: &Sentence, view: &StateView<'_>, last: Option<&Subject>) -> Answer {
    let result = match sentence {
        Sentence::Who { subject } => return owner_answer(subject, view, last, None),
        Sentence::Why { vm, subject } => return owner_answer(subject, view, last, Some(vm)),
        Sentence::What { vm } => view
            .session_of_vm(vm)
            .map(|session| vm_shards(session, view)),
        Sentence::WhyAway { vm } => availability(vm, view),
        Sentence::ShowServices => Ok(services(view)),
        Sentence::ShowTargets { service } => targets(service.as_deref(), view),
        Sentence::ShowLoad { service } => load(service.as_deref(), view),
        Sentence::ShowCold { service } => cold(service.as_deref(), view),
        Sentence::ShowChanges { since } => {
            let since_ms = since.map(|s| view.now_ms.saturating_sub(s.as_millis() as u64));
            Ok(changes(since_ms, view))
        }
        Sentence::ShowConfig => Ok(config(view)),
        Sentence::ShowEvacuations => Ok(evacuations(view)),
        Sentence::ShowLimits => Ok(limits(view)),
        _ => Ok(help()),
    };
    match result {
        Ok(data) => Answer::new(Status::Ok, &data, None),
        Err(unknown_name) => Answer::unknown_name(unknown_name),
    }
}

/// Answers who owns a key or shard or, if `vm` is given, why that VM owns it.
fn owner_answer(
    subject_ref: &SubjectRef,
    view: &StateView<'_>,
    last: Option<&Subject>,
    vm: Option<&str>,
) -> Answer {
    let Some(subject) = Subject::resolve(subject_ref, last) else {
        let message = "`it` has no subject yet; name a key or shard first".into();
        return Answer::malformed(0, message);
    };
    match owner_data(&subject, view, vm) {
        Ok(data) => Answer::new(Status::Ok, &data, Some(subject)),
        Err(unknown_name) => Answer::unknown_name(unknown_name),
    }
}

fn owner_data(
    subject: &Subject,
    view: &StateView<'_>,
    vm: Option<&str>,
) -> Result<AnswerData, UnknownName> {
    let (SubjectRef::Key { service: name, .. } | SubjectRef::Shard { service: name, .. }) =
        subject.subject_ref()
    else {
        return Ok(help());
    };
    let (service, _) = view.service(name)?;
    if let Some(vm) = vm {
        view.session_of_vm(vm)?;
    }
    if service.shards.is_empty() {
        let vms = view.targets_of(name).map(|s| s.vm.clone()).collect();
        return Ok(AnswerData::NotDivided {
            service: name.clone(),
            vms,
        });
    }
    let lookup = match subject.subject_ref() {
        SubjectRef::Key { key, .. } => view.key(service, key),
        SubjectRef::Shard { shard, .. } => view.shard(service, *shard),
        SubjectRef::It => None,
    };
    let lookup = lookup.ok_or_else(|| UnknownName {
        kind: "shard",
        name: subject.to_string(),
        nearest: None,
    })?;
    Ok(match (shard_owner(&lookup, subject, view), vm) {
        (None, _) => AnswerData::NoOwner {
            thing: subject.to_string(),
            shard: lookup.shard_id.0,
            table_version: view.table.version,
            decision: view.decision(&lookup),
        },
        (Some(owner), None) => AnswerData::Owner(owner),
        (Some(owner), Some(vm)) => owner_reason(vm, owner, &lookup, view),
    })
}

fn shard_owner(
    lookup: &ShardLookup<'_>,
    subject: &Subject,
    view: &StateView<'_>,
) -> Option<ShardOwner> {
    let session = view.table.session(lookup.assignment.owner?)?;
    Some(ShardOwner {
        thing: subject.to_string(),
        service: lookup.service.name.clone(),
        shard: lookup.shard_id.0,
        shards: lookup.service.shards.len() as u32,
        epoch: lookup.assignment.epoch.0,
        vm: session.vm.clone(),
        session: session.id,
        data_centre: session.data_centre.clone(),
        state: target_label(session.target.as_ref()),
        hot_key: lookup.is_override,
        table_version: view.table.version,
    })
}

fn owner_reason(
    vm: &str,
    owner: ShardOwner,
    lookup: &ShardLookup<'_>,
    view: &StateView<'_>,
) -> AnswerData {
    let decision = view.decision(lookup);
    if owner.vm != vm {
        return AnswerData::OtherOwner {
            vm: vm.into(),
            owner,
            decision,
        };
    }
    AnswerData::Reason {
        owner,
        decision,
        daemon: view.local_vm.into(),
        journal_from_ms: view.journal.complete_since_ms(),
    }
}

fn vm_shards(session: &Session, view: &StateView<'_>) -> AnswerData {
    let owner = Some(session.id);
    let to_owned_shards = |service: &masticdeal_ownership::table::Service| OwnedShards {
        service: service.name.clone(),
        shards: service.shards.iter().filter(|s| s.owner == owner).count(),
        of: service.shards.len(),
        hot_keys: service
            .overrides
            .iter()
            .filter(|o| o.assignment.owner == owner)
            .count(),
    };
    let services = view.table.services.iter().map(to_owned_shards);
    AnswerData::Owns {
        vm: session.vm.clone(),
        state: target_label(session.target.as_ref()),
        services: services.filter(|s| s.shards + s.hot_keys > 0).collect(),
        table_version: view.table.version,
    }
}

fn availability(vm: &str, view: &StateView<'_>) -> Result<AnswerData, UnknownName> {
    let newest_entry = view.journal.newest(|entry| entry.affects_availability(vm));
    let decision = newest_entry.map(Decision::from);
    let state = match view.session_of_vm(vm) {
        Ok(session) => Some(target_label(session.target.as_ref())),
        // An ended session is not in the table, but the journal may contain its end.
        Err(_) if decision.is_some() => None,
        Err(unknown_name) => return Err(unknown_name),
    };
    let is_ready = state == Some(TargetLabel::Ready);
    Ok(AnswerData::Availability {
        vm: vm.into(),
        state,
        decision: decision.filter(|_| !is_ready),
        daemon: view.local_vm.into(),
        journal_from_ms: view.journal.complete_since_ms(),
    })
}

fn services(view: &StateView<'_>) -> AnswerData {
    let to_line = |service: &masticdeal_config::deployment::Service| {
        let targets = view.targets_of(&service.name).count();
        ServiceLine {
            service: service.name.clone(),
            paths: service.paths.clone(),
            shards: service.shards,
            targets,
            ready: targets - view.unavailable_count(&service.name),
        }
    };
    AnswerData::Services {
        services: view.deployment.services.iter().map(to_line).collect(),
    }
}

fn targets(service: Option<&str>, view: &StateView<'_>) -> Result<AnswerData, UnknownName> {
    let sessions = sessions(service, view)?;
    let to_line = |session: &Session| {
        let target = session.target.as_ref()?;
        Some(TargetLine {
            vm: session.vm.clone(),
            service: view.table.service(target.service)?.name.clone(),
            data_centre: session.data_centre.clone(),
            state: target_label(Some(target)),
            slots: target.slots,
            checks_grants: target.checks_grants,
        })
    };
    Ok(AnswerData::Targets {
        service: service.map(String::from),
        targets: sessions.into_iter().filter_map(to_line).collect(),
    })
}

fn load(service: Option<&str>, view: &StateView<'_>) -> Result<AnswerData, UnknownName> {
    let sessions = sessions(service, view)?;
    let to_line = |session: &Session| {
        let target = session.target.as_ref()?;
        let reported = view.loads.iter().find(|l| l.session == session.id)?;
        Some(LoadLine {
            vm: session.vm.clone(),
            service: view.table.service(target.service)?.name.clone(),
            running: reported.load.running,
            queued: reported.load.queued,
            slots: target.slots,
            service_us: reported.load.service_us,
            age_ms: reported.age.as_millis() as u64,
        })
    };
    let mut targets: Vec<LoadLine> = sessions.into_iter().filter_map(to_line).collect();
    targets.sort_by(|a, b| {
        b.per_slot()
            .total_cmp(&a.per_slot())
            .then_with(|| a.vm.cmp(&b.vm))
    });
    Ok(AnswerData::Load {
        service: service.map(String::from),
        targets,
    })
}

fn cold(service: Option<&str>, view: &StateView<'_>) -> Result<AnswerData, UnknownName> {
    let sessions = sessions(service, view)?;
    let reports: Vec<_> = sessions
        .into_iter()
        .filter_map(|session| {
            let reported = view.loads.iter().find(|l| l.session == session.id)?;
            Some((session, session.target.as_ref()?, reported))
        })
        .collect();
    let to_line = |(session, target, reported): &(&Session, &TargetInfo, &ReportedLoad)| {
        let age_ms = reported.age.as_millis() as u64;
        let cold = reported.cold?;
        let name = &view.table.service(target.service)?.name;
        let settings = view.deployment.service(name).map(|s| cold::Settings {
            requests_per_s: s.cold_requests_per_s,
            duration: s.cold_start,
        });
        Some(ColdLine {
            vm: session.vm.clone(),
            service: name.clone(),
            requests_per_s: settings.and_then(|s| s.max_starts()),
            since_ms: u64::from(cold.since_ms) + age_ms,
            remaining_ms: u64::from(cold.remaining_ms).saturating_sub(age_ms),
        })
    };
    Ok(AnswerData::Cold {
        service: service.map(String::from),
        targets: reports.iter().filter_map(to_line).collect(),
        reported: reports.len(),
    })
}

fn sessions<'a>(
    service: Option<&str>,
    view: &StateView<'a>,
) -> Result<Vec<&'a Session>, UnknownName> {
    match service {
        None => Ok(view.table.sessions.iter().collect()),
        Some(name) => {
            view.service(name)?;
            Ok(view.targets_of(name).collect())
        }
    }
}

fn changes(since_ms: Option<u64>, view: &StateView<'_>) -> AnswerData {
    let journal_start_ms = view.journal.complete_since_ms();
    let since_ms = since_ms.unwrap_or(journal_start_ms);
    let newest = view.journal.since(since_ms).rev().take(MAX_CHANGES);
    let mut decisions: Vec<Decision> = newest.map(Decision::from).collect();
    decisions.reverse();
    let is_complete = view.journal.since(since_ms).count() == decisions.len();
    AnswerData::Changes {
        since_ms,
        complete: is_complete && since_ms >= journal_start_ms,
        decisions,
    }
}

fn config(view: &StateView<'_>) -> AnswerData {
    let config = view.config;
    let is_up_to_date = |session: &&Session| {
        let reported = view.peers.iter().find(|peer| peer.session == session.id);
        reported.is_some_and(|peer| peer.versions.config >= config.revision)
    };
    let sessions = &view.table.sessions;
    let behind = sessions
        .iter()
        .filter(|s| !is_up_to_date(s))
        .map(|s| s.vm.clone());
    AnswerData::Config {
        revision: config.revision,
        author: config.author.clone(),
        time_ms: config.time_ms,
        services: view.deployment.services.len(),
        in_force: sessions.iter().filter(is_up_to_date).count(),
        daemons: sessions.len(),
        behind: behind.collect(),
        text: config.text.clone(),
    }
}

fn limits(view: &StateView<'_>) -> AnswerData {
    let line = |(route, limits): (&str, Limits)| {
        let returning_below = limits.is_recognisable().then(|| limits.returning_below());
        LimitsLine {
            route: route.into(),
            median_ms: limits.median.as_millis() as u64,
            returning_below_ms: returning_below.map(|d| d.as_millis() as u64),
        }
    };
    AnswerData::Limits {
        daemon: view.local_vm.into(),
        routes: view.caller_limits.known().into_iter().map(line).collect(),
    }
}

fn help() -> AnswerData {
    let forms = HELP_ENTRIES
        .iter()
        .map(|entry| (entry.syntax, entry.description));
    AnswerData::Help {
        forms: forms.collect(),
    }
}

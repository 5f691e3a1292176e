//! Text of answers: at most two sentences, short enough to read aloud.

use std::fmt::{Display, Formatter, Result};

use super::data::{Data, Decision, LoadLine, Owned, Owner, ServiceLine, TargetLine};
use super::journal::TargetWord;
use masticdeal_language::UtcTime;

/// Most names that a sentence lists before it counts the rest.
const MAX_LISTED: usize = 6;

impl Display for Data {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Owner(owner) => write!(
                f,
                "{} owns {}. Its target in {} is {}, by table version {}.",
                owner.vm,
                owner.place(),
                owner.data_centre,
                owner.state,
                owner.table_version
            ),
            Self::NoOwner {
                thing,
                shard,
                table_version,
                decision,
            } => {
                write!(
                    f,
                    "Nobody owns {thing} in table version {table_version} (shard {shard})."
                )?;
                last_decision(f, decision.as_ref())
            }
            Self::NotDivided { service, vms } => write!(
                f,
                "{service} is not divided by key, so no VM owns a key of it. Its targets: {}.",
                list(vms)
            ),
            Self::Owns {
                vm,
                state,
                services,
                table_version,
            } => {
                let owned: Vec<String> = services.iter().map(owned).collect();
                write!(f, "{vm} owns {}", list(&owned))?;
                write!(
                    f,
                    "; its target is {state}, by table version {table_version}."
                )
            }
            Self::Reason {
                owner,
                decision,
                daemon,
                journal_from_ms,
            } => match decision {
                Some(decision) => write!(
                    f,
                    "{} owns {}. {}.",
                    owner.vm,
                    owner.place(),
                    sentence(decision)
                ),
                None => {
                    write!(f, "{} owns {}. ", owner.vm, owner.place())?;
                    no_decision(f, daemon, *journal_from_ms)
                }
            },
            Self::OtherOwner {
                vm,
                owner,
                decision,
            } => {
                write!(f, "{vm} does not own {}; {} does.", owner.place(), owner.vm)?;
                last_decision(f, decision.as_ref())
            }
            Self::Availability {
                vm,
                state,
                decision,
                daemon,
                journal_from_ms,
            } => {
                availability(f, vm, *state)?;
                match decision {
                    Some(decision) => write!(f, " {}.", sentence(decision)),
                    None if *state == Some(TargetWord::Ready) => Ok(()),
                    None => {
                        f.write_str(" ")?;
                        no_decision(f, daemon, *journal_from_ms)
                    }
                }
            }
            Self::Services { services } => {
                if services.is_empty() {
                    return f.write_str("There are no services; apply a configuration first.");
                }
                let lines: Vec<String> = services.iter().map(service).collect();
                write!(f, "{}: {}.", count(services.len(), "service"), list(&lines))
            }
            Self::Targets { service, targets } => show_targets(f, service.as_deref(), targets),
            Self::Load { service, targets } => show_load(f, service.as_deref(), targets),
            Self::Changes {
                since_ms,
                complete,
                decisions,
            } => show_changes(f, *since_ms, *complete, decisions),
            Self::Config {
                revision,
                author,
                time_ms,
                in_force,
                daemons,
                behind,
                ..
            } => {
                let time = UtcTime(*time_ms);
                write!(
                    f,
                    "Configuration revision {revision} is by {author}, {time}."
                )?;
                write!(f, " It is in force on {in_force} of {daemons} daemons")?;
                match behind.as_slice() {
                    [] => f.write_str("."),
                    behind => write!(f, ", not yet on {}.", list(behind)),
                }
            }
            Self::Help { forms } => {
                let forms: Vec<&str> = forms.iter().map(|(form, _)| *form).collect();
                write!(f, "Sentences: {}.", forms.join("; "))
            }
            Self::NoSuch {
                what,
                name,
                nearest,
            } => match nearest {
                Some(near) => write!(f, "There is no {what} {name}. Did you mean {near}?"),
                None => write!(f, "There is no {what} {name}."),
            },
            Self::Malformed { column, message } => {
                match column {
                    0 => f.write_str("Not understood: ")?,
                    column => write!(f, "At column {column}, ")?,
                }
                let end = if message.ends_with('?') { "" } else { "." };
                write!(f, "{message}{end}")
            }
            Self::Refused { command, reason } => {
                write!(f, "Refused: {command}. The reason: {reason}.")
            }
            Self::Done { command, next, .. } => write!(f, "Done: {command}. {next}."),
            Self::Unknown { command, reason } => write!(
                f,
                "It is not known whether this was done: {command}. The reason: {reason}; look before \
                 you repeat it."
            ),
        }
    }
}

impl Owner {
    /// Returns the thing with its shard and epoch.
    fn place(&self) -> String {
        let Self {
            thing,
            shard,
            shards,
            epoch,
            ..
        } = self;
        if self.hot_key {
            return format!("{thing} (a hot key with its own owner, epoch {epoch})");
        }
        if thing.ends_with(&format!(" shard {shard}")) {
            return format!("{thing} (of {shards}, epoch {epoch})");
        }
        format!("{thing} (shard {shard} of {shards}, epoch {epoch})")
    }
}

/// Returns a decision as a sentence without its full stop.
fn sentence(decision: &Decision) -> String {
    let Decision {
        time_ms,
        table_version,
        config_revision,
        what,
        cause,
    } = decision;
    format!(
        "At {}, {what} because {cause} (table version {table_version}, configuration revision \
         {config_revision})",
        UtcTime(*time_ms)
    )
}

fn last_decision(f: &mut Formatter<'_>, decision: Option<&Decision>) -> Result {
    match decision {
        Some(decision) => write!(f, " {}.", sentence(decision)),
        None => Ok(()),
    }
}

fn no_decision(f: &mut Formatter<'_>, daemon: &str, from_ms: u64) -> Result {
    let from = UtcTime(from_ms);
    write!(
        f,
        "The journal of {daemon} does not hold the decision; it reaches back to {from}."
    )
}

fn availability(f: &mut Formatter<'_>, vm: &str, state: Option<TargetWord>) -> Result {
    match state {
        Some(TargetWord::Ready) => write!(f, "{vm} is not away: its target is ready."),
        Some(TargetWord::Absent) => write!(f, "{vm} has no target that announced itself."),
        Some(state) => write!(f, "The target of {vm} is {state}."),
        None => write!(f, "{vm} is not in the table."),
    }
}

fn owned(owned: &Owned) -> String {
    let Owned {
        service,
        shards,
        of,
        hot_keys,
    } = owned;
    match hot_keys {
        0 => format!("{shards} of {of} shards of {service}"),
        n => format!(
            "{shards} of {of} shards and {} of {service}",
            count(*n, "hot key")
        ),
    }
}

fn service(line: &ServiceLine) -> String {
    let ServiceLine {
        service,
        shards,
        targets,
        ready,
        ..
    } = line;
    let ready = match targets {
        0 => "no targets".into(),
        n => format!("{ready} of {n} targets ready"),
    };
    match shards {
        0 => format!("{service} ({ready})"),
        n => format!("{service} ({n} shards, {ready})"),
    }
}

fn show_targets(f: &mut Formatter<'_>, service: Option<&str>, targets: &[TargetLine]) -> Result {
    let of = service.map(|s| format!(" of {s}")).unwrap_or_default();
    write!(f, "{}{of}", count(targets.len(), "target"))?;
    let ready = targets
        .iter()
        .filter(|t| t.state == TargetWord::Ready)
        .count();
    let others: Vec<String> = targets
        .iter()
        .filter(|t| t.state != TargetWord::Ready)
        .map(|t| format!("{} is {}", t.vm, t.state))
        .collect();
    match (targets.len(), others.as_slice()) {
        (0, _) => f.write_str("."),
        (_, []) => f.write_str(", all ready."),
        (_, others) => write!(f, ", {ready} ready; {}.", list(others)),
    }
}

fn show_load(f: &mut Formatter<'_>, service: Option<&str>, targets: &[LoadLine]) -> Result {
    let of = service.map(|s| format!(" of {s}")).unwrap_or_default();
    let Some(busiest) = targets.first() else {
        return write!(f, "No load of any target{of} is known.");
    };
    let LoadLine {
        vm,
        running,
        queued,
        slots,
        ..
    } = busiest;
    let mean = targets.iter().map(LoadLine::per_slot).sum::<f64>() / targets.len() as f64;
    write!(
        f,
        "The busiest target{of} is {vm}: {running} running on {slots} slots, {queued} "
    )?;
    write!(
        f,
        "waiting. The mean over {} is ",
        count(targets.len(), "target")
    )?;
    write!(f, "{mean:.2} requests per slot.")
}

fn show_changes(
    f: &mut Formatter<'_>,
    since_ms: u64,
    complete: bool,
    decisions: &[Decision],
) -> Result {
    let newest = decisions.iter().rev().take(MAX_LISTED);
    let lines: Vec<String> = newest
        .map(|d| format!("{} because {}", d.what, d.cause))
        .collect();
    write!(
        f,
        "{} since {}",
        count(decisions.len(), "change"),
        UtcTime(since_ms)
    )?;
    if !complete {
        f.write_str(" (older ones are no longer in the journal)")?;
    }
    match lines.as_slice() {
        [] => f.write_str("."),
        lines if decisions.len() > lines.len() => {
            write!(f, ", newest first: {}.", lines.join("; "))
        }
        lines => write!(f, ": {}.", lines.join("; ")),
    }
}

fn count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        n => format!("{n} {noun}s"),
    }
}

/// Joins names, and counts those beyond the first few.
fn list<S: AsRef<str>>(names: &[S]) -> String {
    let shown: Vec<&str> = names.iter().take(MAX_LISTED).map(AsRef::as_ref).collect();
    match (names.len(), shown.len()) {
        (0, _) => "nothing".into(),
        (all, shown_count) if all > shown_count => {
            format!("{} and {} more", shown.join(", "), all - shown_count)
        }
        _ => match shown.split_last() {
            Some((last, [])) => (*last).into(),
            Some((last, rest)) => format!("{} and {last}", rest.join(", ")),
            None => String::new(),
        },
    }
}

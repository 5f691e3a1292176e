//! Answers as text of at most two sentences.

use std::fmt::{Display, Formatter, Result};

use super::data::{
    AnswerData, ColdLine, Decision, LimitsLine, LoadLine, OwnedShards, ServiceLine, ShardOwner,
    TargetLine,
};
use super::evacuation::evacuation_phrase;
use super::journal::TargetLabel;
use masticdeal_language::UtcTime;

/// Maximum number of names in a list; the others are only counted.
const MAX_LISTED: usize = 6;

impl Display for AnswerData {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Owner(owner) => write!(
                f,
                "{} owns {}. Its target in {} is {}, by table version {}.",
                owner.vm,
                owner.description(),
                owner.data_centre,
                owner.state,
                owner.table_version
            ),
            Self::NoOwner {
                thing: key_or_shard,
                shard,
                table_version,
                decision,
            } => {
                write!(
                    f,
                    "Nobody owns {key_or_shard} in table version {table_version} (shard {shard})."
                )?;
                write_decision(f, decision.as_ref())
            }
            Self::NotDivided { service, vms } => write!(
                f,
                "{service} is not divided by key, so no VM owns a key of it. Its targets: {}.",
                join_names(vms)
            ),
            Self::Owns {
                vm,
                state,
                services,
                table_version,
            } => {
                let owned: Vec<String> = services.iter().map(owned_phrase).collect();
                write!(f, "{vm} owns {}", join_names(&owned))?;
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
                    owner.description(),
                    decision_sentence(decision)
                ),
                None => {
                    write!(f, "{} owns {}. ", owner.vm, owner.description())?;
                    write_no_decision(f, daemon, *journal_from_ms)
                }
            },
            Self::OtherOwner {
                vm,
                owner,
                decision,
            } => {
                write!(
                    f,
                    "{vm} does not own {}; {} does.",
                    owner.description(),
                    owner.vm
                )?;
                write_decision(f, decision.as_ref())
            }
            Self::Availability {
                vm,
                state,
                decision,
                daemon,
                journal_from_ms,
            } => {
                write_availability(f, vm, *state)?;
                match decision {
                    Some(decision) => write!(f, " {}.", decision_sentence(decision)),
                    None if *state == Some(TargetLabel::Ready) => Ok(()),
                    None => {
                        f.write_str(" ")?;
                        write_no_decision(f, daemon, *journal_from_ms)
                    }
                }
            }
            Self::Services { services } => {
                if services.is_empty() {
                    return f.write_str("There are no services; apply a configuration first.");
                }
                let lines: Vec<String> = services.iter().map(service_phrase).collect();
                write!(
                    f,
                    "{}: {}.",
                    format_count(services.len(), "service"),
                    join_names(&lines)
                )
            }
            Self::Evacuations {
                data_centres,
                none_left,
                behind,
            } => {
                let lines: Vec<String> = data_centres.iter().map(evacuation_phrase).collect();
                match lines.is_empty() {
                    true => f.write_str("No data centre is evacuated")?,
                    false => write!(f, "Evacuated: {}", lines.join("; "))?,
                }
                if *none_left {
                    f.write_str("; no data centre is left")?;
                }
                match behind.is_empty() {
                    true => f.write_str(". All daemons have confirmed it."),
                    false => write!(f, ". Not confirmed by {}.", join_names(behind)),
                }
            }
            Self::Limits { daemon, routes } => write_limits(f, daemon, routes),
            Self::Targets { service, targets } => write_targets(f, service.as_deref(), targets),
            Self::Load { service, targets } => write_load(f, service.as_deref(), targets),
            Self::Cold {
                service,
                targets,
                reported,
            } => write_cold(f, service.as_deref(), targets, *reported),
            Self::Changes {
                since_ms,
                complete,
                decisions,
            } => write_changes(f, *since_ms, *complete, decisions),
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
                    behind => write!(f, ", not yet on {}.", join_names(behind)),
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
                Some(nearest) => write!(f, "There is no {what} {name}. Did you mean {nearest}?"),
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

impl ShardOwner {
    /// Returns the key or shard with its shard number and epoch.
    fn description(&self) -> String {
        let Self {
            thing: key_or_shard,
            shard,
            shards,
            epoch,
            ..
        } = self;
        if self.hot_key {
            return format!("{key_or_shard} (a hot key with its own owner, epoch {epoch})");
        }
        if key_or_shard.ends_with(&format!(" shard {shard}")) {
            return format!("{key_or_shard} (of {shards}, epoch {epoch})");
        }
        format!("{key_or_shard} (shard {shard} of {shards}, epoch {epoch})")
    }
}

/// Returns a decision with its time and versions, as a sentence without its full stop.
fn decision_sentence(decision: &Decision) -> String {
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

fn write_decision(f: &mut Formatter<'_>, decision: Option<&Decision>) -> Result {
    match decision {
        Some(decision) => write!(f, " {}.", decision_sentence(decision)),
        None => Ok(()),
    }
}

fn write_no_decision(f: &mut Formatter<'_>, daemon: &str, from_ms: u64) -> Result {
    let from = UtcTime(from_ms);
    write!(
        f,
        "The journal of {daemon} does not hold the decision; it reaches back to {from}."
    )
}

fn write_availability(f: &mut Formatter<'_>, vm: &str, state: Option<TargetLabel>) -> Result {
    match state {
        Some(TargetLabel::Ready) => write!(f, "{vm} is not away: its target is ready."),
        Some(TargetLabel::Absent) => write!(f, "{vm} has no target that announced itself."),
        Some(state) => write!(f, "The target of {vm} is {state}."),
        None => write!(f, "{vm} is not in the table."),
    }
}

fn owned_phrase(owned: &OwnedShards) -> String {
    let OwnedShards {
        service,
        shards,
        of: total,
        hot_keys,
    } = owned;
    match hot_keys {
        0 => format!("{shards} of {total} shards of {service}"),
        n => format!(
            "{shards} of {total} shards and {} of {service}",
            format_count(*n, "hot key")
        ),
    }
}

fn service_phrase(line: &ServiceLine) -> String {
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

fn write_targets(f: &mut Formatter<'_>, service: Option<&str>, targets: &[TargetLine]) -> Result {
    let of_service = service.map(|s| format!(" of {s}")).unwrap_or_default();
    write!(f, "{}{of_service}", format_count(targets.len(), "target"))?;
    let ready = targets
        .iter()
        .filter(|t| t.state == TargetLabel::Ready)
        .count();
    let others: Vec<String> = targets
        .iter()
        .filter(|t| t.state != TargetLabel::Ready)
        .map(|t| format!("{} is {}", t.vm, t.state))
        .collect();
    match (targets.len(), others.as_slice()) {
        (0, _) => f.write_str("."),
        (_, []) => f.write_str(", all ready."),
        (_, others) => write!(f, ", {ready} ready; {}.", join_names(others)),
    }
}

fn write_load(f: &mut Formatter<'_>, service: Option<&str>, targets: &[LoadLine]) -> Result {
    let of_service = service.map(|s| format!(" of {s}")).unwrap_or_default();
    let Some(busiest) = targets.first() else {
        return write!(f, "No load of any target{of_service} is known.");
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
        "The busiest target{of_service} is {vm}: {running} running on {slots} slots, {queued} "
    )?;
    write!(
        f,
        "waiting. The mean over {} is ",
        format_count(targets.len(), "target")
    )?;
    write!(f, "{mean:.2} requests per slot.")
}

fn write_cold(
    f: &mut Formatter<'_>,
    service: Option<&str>,
    targets: &[ColdLine],
    reported: usize,
) -> Result {
    let of_service = service.map(|s| format!(" of {s}")).unwrap_or_default();
    let reported = format_count(reported, "reported target");
    write!(f, "{} of {reported}{of_service} cold", targets.len())?;
    let lines: Vec<String> = targets.iter().map(cold_phrase).collect();
    match lines.as_slice() {
        [] => f.write_str("."),
        lines => write!(f, ": {}.", join_names(lines)),
    }
}

fn write_limits(f: &mut Formatter<'_>, daemon: &str, routes: &[LimitsLine]) -> Result {
    let lines: Vec<String> = routes.iter().map(limits_phrase).collect();
    match lines.is_empty() {
        true => write!(f, "{daemon} knows no time limits of callers."),
        false => write!(f, "{daemon} knows {}.", lines.join("; ")),
    }
}

fn limits_phrase(line: &LimitsLine) -> String {
    let LimitsLine {
        route,
        median_ms,
        returning_below_ms,
    } = line;
    let returning = match returning_below_ms {
        Some(ms) => format!("returning below {ms} ms"),
        None => "too different to recognise returning requests".into(),
    };
    format!("{route} (median {median_ms} ms, {returning})")
}

fn cold_phrase(line: &ColdLine) -> String {
    let seconds = |ms: u64| ms as f64 / 1e3;
    let rate = match line.requests_per_s {
        Some(rate) => format!("{} a second", format_count(rate, "request")),
        None => "no limit known".into(),
    };
    format!(
        "{} ({rate}, cold for {:.1} s, about {:.1} s left)",
        line.vm,
        seconds(line.since_ms),
        seconds(line.remaining_ms)
    )
}

fn write_changes(
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
        format_count(decisions.len(), "change"),
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

fn format_count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        n => format!("{n} {noun}s"),
    }
}

/// Joins names with commas and "and". Counts those beyond [`MAX_LISTED`].
fn join_names<S: AsRef<str>>(names: &[S]) -> String {
    let shown: Vec<&str> = names.iter().take(MAX_LISTED).map(AsRef::as_ref).collect();
    match (names.len(), shown.len()) {
        (0, _) => "nothing".into(),
        (total, shown_count) if total > shown_count => {
            format!("{} and {} more", shown.join(", "), total - shown_count)
        }
        _ => match shown.split_last() {
            Some((last, [])) => (*last).into(),
            Some((last, rest)) => format!("{} and {last}", rest.join(", ")),
            None => String::new(),
        },
    }
}

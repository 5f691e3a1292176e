//! Subcommand `apply`: previews, confirms and commits a change, and waits until all daemons
//! have installed it.

use std::time::Duration;

use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::{Difference, diff};
use masticdeal_language::UtcTime;
use serde::Serialize;

use crate::args::{Apply, Cli};
use crate::change::{
    ChangeRequest, CommitOutcome, Conflict, CurrentConfig, PlannedChange, commit, difference_lines,
    prepare,
};
use crate::client::Client;
use crate::error::{Error, Exit, Result};
use crate::{files, preview, rollout};

/// Returns the differences between the base of the plan and the current configuration, which other
/// operators made. `None` if the plan was validated against another revision than its base, or if
/// the current configuration cannot be read.
async fn changes_by_others(client: &Client, plan: &PlannedChange) -> Option<Vec<String>> {
    if plan.if_revision != plan.current.revision {
        return None;
    }
    let current = CurrentConfig::read(client).await.ok()?;
    let current = Deployment::parse(&current.text).ok()?;
    Some(difference_lines(&diff(&plan.old, &current)))
}

/// Result of the subcommand, printed as JSON.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
enum Report<'a> {
    Unchanged {
        revision: u64,
    },
    Preview {
        if_revision: u64,
        differences: &'a [Difference],
    },
    Accepted {
        revision: u64,
        in_force: usize,
        daemons: usize,
    },
    Conflict {
        conflict: &'a Conflict,
        changed: Option<&'a [String]>,
        kept: String,
    },
    Faults {
        faults: &'a [String],
    },
}

impl Report<'_> {
    /// Prints the result as JSON if `json` is set, otherwise `lines`.
    fn print(&self, json: bool, lines: &[String]) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        } else {
            lines.iter().for_each(|line| println!("{line}"));
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// [`Error::Usage`] if the author is invalid or the change is not confirmed, [`Error::File`] for a
/// local file that cannot be read or written, and the errors of [`prepare`] and [`commit`] other
/// than [`Error::Faults`].
pub async fn run(cli: &Cli, client: &Client, apply: &Apply) -> Result<Exit> {
    let text = files::read(&apply.file)?;
    let request = ChangeRequest {
        text: &text,
        if_revision: apply.if_revision,
        change_id: apply.change_id,
        author: cli.author()?,
    };
    let plan = match prepare(client, request).await {
        Ok(plan) => plan,
        Err(Error::Faults(faults)) => return Ok(report_local_faults(cli, apply, faults)),
        Err(other) => return Err(other),
    };
    if plan.differences.is_empty() && apply.change_id.is_none() {
        let revision = plan.current.revision;
        let line = format!("nothing to change: revision {revision} says the same");
        Report::Unchanged { revision }.print(cli.json, &[line]);
        return Ok(Exit::Ok);
    }
    if let (Some(conflict), None) = (plan.conflict_with_current(), apply.change_id) {
        return report_conflict(cli, apply, &conflict, None, &text);
    }
    if !cli.json || apply.preview {
        print_preview(cli, &plan);
    }
    if apply.preview {
        return Ok(Exit::Ok);
    }
    if !apply.yes && !ask_confirmation()? {
        return Err(Error::Usage(
            "not applied; repeat with --yes to apply".into(),
        ));
    }
    match commit(client, &plan).await? {
        CommitOutcome::Accepted(revision) => wait_for_rollout(cli, client, apply, revision).await,
        CommitOutcome::Conflict(conflict) => {
            let changed = changes_by_others(client, &plan).await;
            report_conflict(cli, apply, &conflict, changed.as_deref(), &text)
        }
        CommitOutcome::Faults(faults) => Ok(report_faults(cli, &faults)),
    }
}

/// Reports faults that the tool found before it sent the change.
fn report_local_faults(cli: &Cli, apply: &Apply, faults: Vec<masticdeal_config::Fault>) -> Exit {
    let file = apply.file.display().to_string();
    let messages = faults.into_iter().map(|mut fault| {
        fault.file.clone_from(&file);
        fault.to_string()
    });
    report_faults(cli, &messages.collect::<Vec<_>>())
}

fn report_faults(cli: &Cli, faults: &[String]) -> Exit {
    if cli.json {
        Report::Faults { faults }.print(true, &[]);
    } else {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        eprintln!("masticdeal: not applied, nothing changed");
    }
    Exit::Refused
}

fn print_preview(cli: &Cli, plan: &PlannedChange) {
    let PlannedChange {
        if_revision,
        differences,
        new,
        ..
    } = plan;
    let mut lines = vec![format!("changes on revision {if_revision}:")];
    lines.extend(
        preview::lines(differences, new)
            .iter()
            .map(|line| format!("  {line}")),
    );
    let if_revision = *if_revision;
    Report::Preview {
        if_revision,
        differences,
    }
    .print(cli.json, &lines);
}

/// Asks whether to apply the change. Returns false without asking if the standard input is not a
/// terminal.
fn ask_confirmation() -> Result<bool> {
    use std::io::{IsTerminal, Write};
    let stdin = std::io::stdin();
    if !stdin.is_terminal() {
        return Ok(false);
    }
    let terminal_error = |cause| Error::File {
        path: "terminal".into(),
        cause,
    };
    print!("apply? [y/N] ");
    std::io::stdout().flush().map_err(terminal_error)?;
    let mut line = String::new();
    stdin.read_line(&mut line).map_err(terminal_error)?;
    Ok(matches!(line.trim(), "y" | "Y" | "yes"))
}

/// Saves the rejected `text` and prints the conflict. `changed` lists the differences that other
/// operators made, if they are known.
fn report_conflict(
    cli: &Cli,
    apply: &Apply,
    conflict: &Conflict,
    changed: Option<&[String]>,
    text: &str,
) -> Result<Exit> {
    let Conflict {
        revision,
        author,
        time_ms,
        differences,
        ..
    } = conflict;
    let kept = files::save_rejected(&apply.file, *revision, text)?;
    let kept = kept.display().to_string();
    if cli.json {
        Report::Conflict {
            conflict,
            changed,
            kept,
        }
        .print(true, &[]);
        return Ok(Exit::Conflict);
    }
    let time = UtcTime(*time_ms);
    eprintln!("conflict, nothing changed: revision {revision} by {author}, {time}");
    match changed {
        Some(changed) => eprintln!("that change: {}", preview::summary(changed)),
        None => eprintln!(
            "your text to what stands: {}",
            preview::summary(differences)
        ),
    }
    eprintln!("your text is kept in {kept}; take it up from `masticdeal config`");
    Ok(Exit::Conflict)
}

/// Waits until all daemons have installed the change, or until the timeout. A failed status request
/// is not an error of the subcommand, since the change is already accepted.
async fn wait_for_rollout(
    cli: &Cli,
    client: &Client,
    apply: &Apply,
    revision: u64,
) -> Result<Exit> {
    if !cli.json {
        println!("accepted as revision {revision}");
    }
    let timeout = Duration::from_millis(apply.wait_ms.min(600_000));
    let progress = rollout::wait_until_complete(client, revision, timeout, |progress| {
        if !cli.json {
            println!("{progress}");
        }
    })
    .await;
    let (in_force, daemons) = (progress.up_to_date, progress.daemons);
    if cli.json {
        Report::Accepted {
            revision,
            in_force,
            daemons,
        }
        .print(true, &[]);
    } else if let Some(line) = progress.incomplete_message() {
        println!("{line}");
    }
    Ok(Exit::Ok)
}

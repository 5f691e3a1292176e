//! Subcommands `config` and `check`: print the current configuration, and check files.

use masticdeal_config::Fault;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::settings::Settings;
use serde::Serialize;

use crate::args::{Check, Cli, FileKind};
use crate::change::CurrentConfig;
use crate::client::Client;
use crate::error::{Exit, Result};
use crate::files;

/// Current configuration, printed as JSON.
#[derive(Serialize)]
struct Config<'a> {
    revision: u64,
    author: &'a str,
    time_ms: u64,
    change_id: u64,
    text: &'a str,
}

/// Prints the configuration.
///
/// # Errors
///
/// Any error of reading the configuration.
pub async fn print_config(cli: &Cli, client: &Client) -> Result<Exit> {
    let current = CurrentConfig::read(client).await?;
    if !cli.json {
        print!("{}", current.with_revision_line());
        return Ok(Exit::Ok);
    }
    let CurrentConfig {
        revision,
        author,
        time_ms,
        change_id,
        text,
    } = &current;
    let (revision, time_ms, change_id) = (*revision, *time_ms, *change_id);
    let config = Config {
        revision,
        author,
        time_ms,
        change_id,
        text,
    };
    println!("{}", serde_json::to_string(&config).unwrap_or_default());
    Ok(Exit::Ok)
}

/// Faults of a file, printed as JSON.
#[derive(Serialize)]
struct CheckReport<'a> {
    valid: bool,
    faults: &'a [Fault],
}

/// Checks a file locally, without a daemon.
///
/// # Errors
///
/// [`crate::Error::File`] if the file cannot be read.
pub fn check_file(cli: &Cli, check: &Check) -> Result<Exit> {
    let text = files::read(&check.file)?;
    let name = check.file.display().to_string();
    let kind = check.kind.unwrap_or_else(|| detect_kind(&text));
    let faults = match kind {
        FileKind::Settings => Settings::parse(&text, &name).err(),
        FileKind::Deployment => Deployment::parse(&text).err(),
    };
    let mut faults = faults.unwrap_or_default();
    faults
        .iter_mut()
        .for_each(|fault| fault.file.clone_from(&name));
    let valid = faults.is_empty();
    if cli.json {
        let report = CheckReport {
            valid,
            faults: &faults,
        };
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else if valid {
        let kind = if kind == FileKind::Settings {
            "settings"
        } else {
            "deployment configuration"
        };
        println!("{name}: valid {kind}");
    } else {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    Ok(if valid { Exit::Ok } else { Exit::Refused })
}

/// Detects the kind of a file by the names of its sections.
fn detect_kind(text: &str) -> FileKind {
    const SECTIONS: [&str; 4] = ["[daemon]", "[listen]", "[platform]", "[secret]"];
    let is_settings = |line: &str| {
        SECTIONS
            .iter()
            .any(|section| line.trim().starts_with(section))
    };
    if text.lines().any(is_settings) {
        return FileKind::Settings;
    }
    FileKind::Deployment
}

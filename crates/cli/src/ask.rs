//! Subcommand `ask`: questions and operator commands.

use std::io::BufRead;

use http::Method;
use masticdeal_language::{HELP_ENTRIES, Sentence, parse};

use crate::args::{Ask, Cli};
use crate::client::{ApiCall, ApiResponse, Client};
use crate::error::{Error, Exit, Result};
use crate::files::SubjectFile;

/// Path of the daemon's endpoint for questions and commands.
pub const PATH: &str = "/v1/ask";
/// Header with the subject of an answer, to which "it" refers in the next sentence.
const SUBJECT_HEADER: &str = "x-masticdeal-subject";

/// Asks one sentence, or each line of the standard input.
///
/// # Errors
///
/// Any [`Error`] of a sentence given as arguments. For the standard input, only a read error:
/// errors of single lines are printed.
pub async fn run(cli: &Cli, client: &Client, ask: &Ask) -> Result<Exit> {
    let subject_file = SubjectFile::new(cli.subject_file.as_deref());
    let mut subject = subject_file.load();
    if let Some(line) = ask.sentence() {
        let exit = ask_sentence(cli, client, &line, &mut subject).await?;
        if let Some(subject) = &subject {
            subject_file.store(subject);
        }
        return Ok(exit);
    }
    let mut last_failure = Exit::Ok;
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|cause| Error::File {
            path: "standard input".into(),
            cause,
        })?;
        if line.trim().is_empty() {
            continue;
        }
        let exit = match ask_sentence(cli, client, &line, &mut subject).await {
            Ok(exit) => exit,
            Err(error) => error.print(),
        };
        last_failure = if exit == Exit::Ok { last_failure } else { exit };
    }
    Ok(last_failure)
}

/// Asks one sentence and prints the answer.
async fn ask_sentence(
    cli: &Cli,
    client: &Client,
    line: &str,
    subject: &mut Option<String>,
) -> Result<Exit> {
    let sentence = parse(line).map_err(|error| Error::Usage(format!("{line:?}: {error}")))?;
    if sentence == Sentence::Help && !cli.json {
        print_help();
        return Ok(Exit::Ok);
    }
    let call = api_call(cli, &sentence, subject.as_deref())?;
    let response = client.call(&call).await.map_err(|error| match error {
        Error::OutcomeUnknown(reason) => Error::OutcomeUnknown(format!(
            "{reason}. Look with `show config` or `show targets` before you repeat `{sentence}`"
        )),
        other => other,
    })?;
    let exit = exit_code(&response)?;
    if let Some(value) = response.raw_header(SUBJECT_HEADER) {
        *subject = Some(value.into());
    }
    println!("{}", response.text()?.trim_end());
    Ok(exit)
}

fn api_call(cli: &Cli, sentence: &Sentence, subject: Option<&str>) -> Result<ApiCall> {
    let mut call = ApiCall::with_body(Method::POST, PATH, sentence.to_string())
        .repeatable(!sentence.is_command());
    if cli.json {
        call = call.header("accept", "application/json");
    }
    if let Some(subject) = subject {
        call = call.raw_header(SUBJECT_HEADER, subject);
    }
    if sentence.is_command() {
        call = call.header("x-author", cli.author()?);
    }
    Ok(call)
}

fn exit_code(response: &ApiResponse) -> Result<Exit> {
    match response.status.as_u16() {
        200 => Ok(Exit::Ok),
        400 => Ok(Exit::Usage),
        404 | 409 => Ok(Exit::Refused),
        503 => Ok(Exit::Unreachable),
        _ => Err(response.unexpected()),
    }
}

fn print_help() {
    for entry in HELP_ENTRIES {
        println!(
            "{}\n    {}; such as: {}",
            entry.syntax, entry.description, entry.example
        );
    }
}

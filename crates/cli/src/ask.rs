//! Questions and commands.

use std::io::BufRead;

use http::Method;
use masticdeal_language::{FORMS, Sentence, parse};

use crate::args::{Ask, Cli};
use crate::client::{Answer, Call, Client};
use crate::error::{Error, Exit, Result};
use crate::files::SubjectFile;

/// Path of questions and commands.
pub const PATH: &str = "/v1/ask";
const SUBJECT: &str = "x-masticdeal-subject";

/// Asks one sentence, or each line of the standard input.
///
/// # Errors
///
/// Any [`Error`] that leaves the sentence without an answer.
pub async fn run(cli: &Cli, client: &Client, ask: &Ask) -> Result<Exit> {
    let subject_file = SubjectFile::new(cli.subject_file.as_deref());
    let mut subject = subject_file.load();
    if let Some(line) = ask.sentence() {
        let exit = one(cli, client, &line, &mut subject).await?;
        if let Some(subject) = &subject {
            subject_file.store(subject);
        }
        return Ok(exit);
    }
    let mut worst = Exit::Ok;
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|cause| Error::File {
            path: "standard input".into(),
            cause,
        })?;
        if line.trim().is_empty() {
            continue;
        }
        let exit = match one(cli, client, &line, &mut subject).await {
            Ok(exit) => exit,
            Err(error) => error.print(),
        };
        worst = if exit == Exit::Ok { worst } else { exit };
    }
    Ok(worst)
}

/// Asks one sentence and prints the answer.
async fn one(cli: &Cli, client: &Client, line: &str, subject: &mut Option<String>) -> Result<Exit> {
    let sentence = parse(line).map_err(|error| Error::Usage(format!("{line:?}: {error}")))?;
    if sentence == Sentence::Help && !cli.json {
        print_help();
        return Ok(Exit::Ok);
    }
    let call = call(cli, &sentence, subject.as_deref())?;
    let answer = client.call(&call).await.map_err(|error| match error {
        Error::Unknown(why) => Error::Unknown(format!(
            "{why}. Look with `show config` or `show targets` before you repeat `{sentence}`"
        )),
        other => other,
    })?;
    let exit = exit_of(&answer)?;
    if let Some(value) = answer.raw_header(SUBJECT) {
        *subject = Some(value.into());
    }
    println!("{}", answer.text()?.trim_end());
    Ok(exit)
}

fn call(cli: &Cli, sentence: &Sentence, subject: Option<&str>) -> Result<Call> {
    let mut call = Call::with_body(Method::POST, PATH, sentence.to_string())
        .repeatable(!sentence.is_command());
    if cli.json {
        call = call.header("accept", "application/json");
    }
    if let Some(subject) = subject {
        call = call.raw_header(SUBJECT, subject);
    }
    if sentence.is_command() {
        call = call.header("x-author", cli.author()?);
    }
    Ok(call)
}

fn exit_of(answer: &Answer) -> Result<Exit> {
    match answer.status.as_u16() {
        200 => Ok(Exit::Ok),
        400 => Ok(Exit::Usage),
        404 | 409 => Ok(Exit::Refused),
        503 => Ok(Exit::Unreachable),
        _ => Err(answer.unexpected()),
    }
}

fn print_help() {
    for form in FORMS {
        println!(
            "{}\n    {}; such as: {}",
            form.form, form.meaning, form.example
        );
    }
}

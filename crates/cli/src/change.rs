//! Configuration changes: the current configuration, validation, and the outcome of a change.
//!
//! A change contains the revision on which it is based, so that only one of two concurrent changes
//! is accepted. If a response is lost, the change is sent again with the same change id. The
//! daemons remember the ids of accepted changes, so that the second response shows the outcome of
//! the first attempt.

use http::Method;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::{Difference, check_change, diff};
use masticdeal_language::UtcTime;
use serde::{Deserialize, Serialize};

use crate::client::{ApiCall, ApiResponse, Client};
use crate::error::{Error, Result};

/// Path of the daemon's endpoint for the configuration.
pub const PATH: &str = "/v1/config";

/// Prefix of the first line of a file, before the revision on which the file is based.
const REVISION_PREFIX: &str = "; masticdeal revision ";

/// Maximum number of times that a change with unknown outcome is sent.
const MAX_ATTEMPTS: u32 = 5;

/// Current configuration, as returned by a daemon.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    /// Revision; 0 if there is no configuration yet.
    pub revision: u64,
    /// Author of the last change.
    pub author: String,
    /// Unix time of the last change, in milliseconds.
    pub time_ms: u64,
    /// Id of the last change.
    pub change_id: u64,
    /// Configuration text.
    pub text: String,
}

impl CurrentConfig {
    /// Reads the configuration from the daemons.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the read has no side effects.
    pub async fn read(client: &Client) -> Result<Self> {
        let response = client.call(&ApiCall::get(PATH)).await?;
        if response.status.as_u16() != 200 {
            return Err(response.unexpected());
        }
        Ok(Self {
            revision: response.number("x-revision")?,
            author: response.header("x-author").unwrap_or_default(),
            time_ms: response.number("x-time-ms").unwrap_or_default(),
            change_id: response.number("x-change-id").unwrap_or_default(),
            text: response.text()?.into(),
        })
    }

    /// Returns the text with a first line that contains the revision. For revision 0, returns only
    /// that line.
    pub fn with_revision_line(&self) -> String {
        let Self {
            revision,
            author,
            time_ms,
            text,
            ..
        } = self;
        let time = UtcTime(*time_ms);
        if *revision == 0 {
            return format!("{REVISION_PREFIX}0, there is no configuration yet\n");
        }
        format!(
            "{REVISION_PREFIX}{revision} by {author}, {time}\n{}",
            strip_revision_line(text)
        )
    }
}

/// Returns the revision in the first line of a file, if there is one.
pub fn parse_revision_line(text: &str) -> Option<u64> {
    let rest = text.strip_prefix(REVISION_PREFIX)?;
    rest.split([' ', ',']).next()?.parse().ok()
}

fn strip_revision_line(text: &str) -> &str {
    match text.split_once('\n') {
        Some((first, rest)) if parse_revision_line(first).is_some() => rest,
        _ => text,
    }
}

/// Validated change, ready to be committed.
#[derive(Debug, Clone)]
pub struct PlannedChange {
    /// Revision on which the change is based.
    pub if_revision: u64,
    /// Id of the change, the same in all attempts.
    pub change_id: u64,
    /// Author of the change.
    pub author: String,
    /// New text, without the revision line.
    pub text: String,
    /// Parsed `text`.
    pub new: Deployment,
    /// Differences from `old` to `new`.
    pub differences: Vec<Difference>,
    /// Configuration against which the change was validated.
    pub current: CurrentConfig,
    /// Parsed text of `current`.
    pub old: Deployment,
}

/// Change that was accepted first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// Current revision, which a daemon sends in a header and not in the body.
    #[serde(default)]
    pub revision: u64,
    /// Author of the other change.
    pub author: String,
    /// Unix time of the other change in milliseconds.
    pub time_ms: u64,
    /// Id of the other change.
    pub change_id: u64,
    /// Differences from the rejected text to the current configuration, one line each.
    #[serde(default)]
    pub differences: Vec<String>,
}

/// Outcome of a change.
#[derive(Debug, Clone)]
pub enum CommitOutcome {
    /// Accepted as this revision.
    Accepted(u64),
    /// Rejected because another change was accepted first.
    Conflict(Conflict),
    /// Rejected because of faults found by a daemon, one line each.
    Faults(Vec<String>),
}

/// Change as requested by the operator.
#[derive(Debug, Clone)]
pub struct ChangeRequest<'a> {
    /// New text; its first line may contain a revision.
    pub text: &'a str,
    /// Revision on which the change is based; overrides the revision in the text.
    pub if_revision: Option<u64>,
    /// Id of the change to repeat, if its outcome is unknown.
    pub change_id: Option<u64>,
    /// Author of the change.
    pub author: String,
}

/// Validates a change against the current configuration. Writes nothing.
///
/// # Errors
///
/// [`Error::Faults`] for an invalid text and for a change that is not allowed, and any error of
/// reading the configuration.
pub async fn prepare(client: &Client, request: ChangeRequest<'_>) -> Result<PlannedChange> {
    let text = strip_revision_line(request.text);
    let new = Deployment::parse(request.text).map_err(Error::Faults)?;
    let current = CurrentConfig::read(client).await?;
    let old = Deployment::parse(&current.text).map_err(|_| Error::Malformed {
        daemon: "the daemon".into(),
        part: "the configuration in force",
    })?;
    let differences = check_change(&old, &new).map_err(Error::Faults)?;
    let base_revision = request
        .if_revision
        .or_else(|| parse_revision_line(request.text));
    Ok(PlannedChange {
        if_revision: base_revision.unwrap_or(current.revision),
        change_id: request.change_id.unwrap_or_else(rand::random),
        author: request.author,
        text: text.into(),
        new,
        differences,
        current,
        old,
    })
}

impl PlannedChange {
    /// Returns the conflict with the current configuration, if the change is based on another
    /// revision.
    pub fn conflict_with_current(&self) -> Option<Conflict> {
        (self.if_revision != self.current.revision).then(|| Conflict {
            revision: self.current.revision,
            author: self.current.author.clone(),
            time_ms: self.current.time_ms,
            change_id: self.current.change_id,
            differences: difference_lines(&diff(&self.new, &self.old)),
        })
    }

    fn api_call(&self) -> ApiCall {
        ApiCall::with_body(Method::PUT, PATH, self.text.clone())
            .header("x-if-revision", self.if_revision)
            .header("x-author", &self.author)
            .header("x-change-id", self.change_id)
    }
}

/// Sends a change. After a lost response or status 503, reads whether the change was accepted, and
/// otherwise sends it again.
///
/// # Errors
///
/// [`Error::Unreachable`] if it was never sent; [`Error::OutcomeUnknown`] if the outcome could not
/// be found out; [`Error::Status`] and [`Error::Unauthorized`] if it was rejected;
/// [`Error::Malformed`] for an invalid response.
pub async fn commit(client: &Client, plan: &PlannedChange) -> Result<CommitOutcome> {
    let mut last_error = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        tokio::time::sleep(client.retry_delay() * attempt).await;
        match client.call(&plan.api_call()).await {
            Ok(response) if response.status.as_u16() != 503 => {
                return commit_outcome(&response, plan);
            }
            Ok(response) => last_error = response.unexpected().to_string(),
            Err(Error::Unreachable(reason)) if last_error.is_empty() => {
                return Err(Error::Unreachable(reason));
            }
            Err(error) => last_error = error.to_string(),
        }
        if let Ok(current) = CurrentConfig::read(client).await
            && current.change_id == plan.change_id
        {
            return Ok(CommitOutcome::Accepted(current.revision));
        }
    }
    Err(Error::OutcomeUnknown(format!(
        "it is not known whether the change was accepted: {last_error}. Find out with the same \
         command and --change-id {} --if-revision {}",
        plan.change_id, plan.if_revision
    )))
}

fn commit_outcome(response: &ApiResponse, plan: &PlannedChange) -> Result<CommitOutcome> {
    match response.status.as_u16() {
        200 => response.number("x-revision").map(CommitOutcome::Accepted),
        400 => match response.json::<Vec<ReportedFault>>() {
            Ok(faults) => {
                let lines = faults.iter().map(ReportedFault::to_string);
                Ok(CommitOutcome::Faults(lines.collect()))
            }
            Err(_) => Err(response.unexpected()),
        },
        409 => {
            let mut conflict: Conflict = response.json()?;
            conflict.revision = response.number("x-revision")?;
            if conflict.change_id == plan.change_id {
                return Ok(CommitOutcome::Accepted(conflict.revision));
            }
            Ok(CommitOutcome::Conflict(conflict))
        }
        _ => Err(response.unexpected()),
    }
}

/// Fault in a daemon's response.
#[derive(Debug, Deserialize)]
struct ReportedFault {
    line: usize,
    section: String,
    key: String,
    message: String,
}

impl std::fmt::Display for ReportedFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            section,
            key,
            message,
        } = self;
        write!(f, "line {line}: [{section}] {key}: {message}")
    }
}

/// Formats the differences, one line each.
pub fn difference_lines(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

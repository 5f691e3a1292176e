//! Changes of the configuration: what stands, the checked change, and its outcome.
//!
//! A change names the revision that it was made on, so that of two operators one is refused. A
//! change whose response was lost is sent again under the same change id: the daemons remember the
//! ids of accepted changes, so that the response tells whether it is in.

use http::Method;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::{Difference, check_change, diff};
use masticdeal_language::UtcTime;
use serde::{Deserialize, Serialize};

use crate::client::{ApiCall, ApiResponse, Client};
use crate::error::{Error, Result};

/// Path of the configuration.
pub const PATH: &str = "/v1/config";

/// Start of the first line by which a file names the revision that it was made from.
const REVISION_PREFIX: &str = "; masticdeal revision ";

/// Times that a change is sent while its outcome is not known.
const MAX_ATTEMPTS: u32 = 5;

/// The configuration as a daemon gives it.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    /// Its revision; 0 before the first.
    pub revision: u64,
    /// Author of its last change.
    pub author: String,
    /// Unix time of that change in milliseconds.
    pub time_ms: u64,
    /// Id of that change.
    pub change_id: u64,
    /// The text.
    pub text: String,
}

impl CurrentConfig {
    /// Reads the configuration from the daemons.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; reading has no effect.
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

    /// Returns the text with the revision in the first line.
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

/// Returns the revision that the first line of a file names.
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

/// A checked change.
#[derive(Debug, Clone)]
pub struct PlannedChange {
    /// Revision that it was made on.
    pub if_revision: u64,
    /// Names the attempt.
    pub change_id: u64,
    /// Who makes it.
    pub author: String,
    /// The new text, without the revision line.
    pub text: String,
    /// What it means.
    pub new: Deployment,
    /// What it would change in `current`.
    pub differences: Vec<Difference>,
    /// The configuration that stood when the change was checked.
    pub current: CurrentConfig,
    /// What it means.
    pub old: Deployment,
}

/// Another change that came first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// Revision of the configuration now; a header of the response carries it.
    #[serde(default)]
    pub revision: u64,
    /// Author of the other change.
    pub author: String,
    /// Unix time of the other change in milliseconds.
    pub time_ms: u64,
    /// Id of the other change.
    pub change_id: u64,
    /// What stands now against the refused text, one line each.
    #[serde(default)]
    pub differences: Vec<String>,
}

/// How a change ended.
#[derive(Debug, Clone)]
pub enum CommitOutcome {
    /// Accepted under this revision.
    Accepted(u64),
    /// Not accepted.
    Conflict(Conflict),
    /// Not accepted: faults that a daemon found, each as one line.
    Faults(Vec<String>),
}

/// Who changes what, before anything was read.
#[derive(Debug, Clone)]
pub struct ChangeRequest<'a> {
    /// The new text; its first line may name a revision.
    pub text: &'a str,
    /// Revision that it was made on, when the text does not say.
    pub if_revision: Option<u64>,
    /// Id of an attempt to repeat.
    pub change_id: Option<u64>,
    /// Who makes the change.
    pub author: String,
}

/// Checks a change against the configuration that stands. Nothing is written.
///
/// # Errors
///
/// [`Error::Faults`] for a faulty text and for a change that must not be made, and any error of
/// reading.
pub async fn prepare(client: &Client, request: ChangeRequest<'_>) -> Result<PlannedChange> {
    let text = strip_revision_line(request.text);
    let new = Deployment::parse(request.text).map_err(Error::Faults)?;
    let current = CurrentConfig::read(client).await?;
    let old = Deployment::parse(&current.text).map_err(|_| Error::Malformed {
        daemon: "the daemon".into(),
        what: "the configuration in force",
    })?;
    let differences = check_change(&old, &new).map_err(Error::Faults)?;
    let named = request
        .if_revision
        .or_else(|| parse_revision_line(request.text));
    Ok(PlannedChange {
        if_revision: named.unwrap_or(current.revision),
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
    /// Returns the change that came between, when the plan was made on an older revision.
    pub fn conflict_with_current(&self) -> Option<Conflict> {
        (self.if_revision != self.current.revision).then(|| Conflict {
            revision: self.current.revision,
            author: self.current.author.clone(),
            time_ms: self.current.time_ms,
            change_id: self.current.change_id,
            differences: difference_lines(&diff(&self.new, &self.old)),
        })
    }

    fn call(&self) -> ApiCall {
        ApiCall::with_body(Method::PUT, PATH, self.text.clone())
            .header("x-if-revision", self.if_revision)
            .header("x-author", &self.author)
            .header("x-change-id", self.change_id)
    }
}

/// Writes a change, and finds out what became of it when an response is lost.
///
/// # Errors
///
/// [`Error::Unreachable`] when it was never sent; [`Error::OutcomeUnknown`] when its outcome could not be
/// found out; [`Error::Status`] and [`Error::Unauthorized`] when it was refused.
pub async fn commit(client: &Client, plan: &PlannedChange) -> Result<CommitOutcome> {
    let mut last = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        tokio::time::sleep(client.retry_delay() * attempt).await;
        match client.call(&plan.call()).await {
            Ok(response) if response.status.as_u16() != 503 => {
                return commit_outcome(&response, plan);
            }
            Ok(response) => last = response.unexpected().to_string(),
            Err(Error::Unreachable(why)) if last.is_empty() => {
                return Err(Error::Unreachable(why));
            }
            Err(error) => last = error.to_string(),
        }
        if let Ok(current) = CurrentConfig::read(client).await
            && current.change_id == plan.change_id
        {
            return Ok(CommitOutcome::Accepted(current.revision));
        }
    }
    Err(Error::OutcomeUnknown(format!(
        "it is not known whether the change was accepted: {last}. Find out with the same command \
         and --change-id {} --if-revision {}",
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

/// A fault as a daemon reports it.
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

/// Returns one line per difference.
pub fn difference_lines(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

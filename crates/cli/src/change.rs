//! Changes of the configuration: what stands, the checked change, and its outcome.
//!
//! A change names the revision that it was made on, so that of two operators one is refused. A
//! change whose answer was lost is sent again under the same change id: the daemons remember the
//! ids of accepted changes, so that the answer tells whether it is in.

use http::Method;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::{Difference, check_change, diff};
use masticdeal_language::Utc;
use serde::{Deserialize, Serialize};

use crate::client::{Answer, Call, Client};
use crate::error::{Error, Result};

/// Path of the configuration.
pub const PATH: &str = "/v1/config";

/// Start of the first line by which a file names the revision that it was made from.
const REVISION_LINE: &str = "; masticdeal revision ";

/// Times that a change is sent while its outcome is not known.
const ATTEMPTS: u32 = 5;

/// The configuration as a daemon gives it.
#[derive(Debug, Clone)]
pub struct Current {
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

impl Current {
    /// Reads the configuration from the daemons.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; reading has no effect.
    pub async fn read(client: &Client) -> Result<Self> {
        let answer = client.call(&Call::get(PATH)).await?;
        if answer.status.as_u16() != 200 {
            return Err(answer.unexpected());
        }
        Ok(Self {
            revision: answer.number("x-revision")?,
            author: answer.header("x-author").unwrap_or_default(),
            time_ms: answer.number("x-time-ms").unwrap_or_default(),
            change_id: answer.number("x-change-id").unwrap_or_default(),
            text: answer.text()?.into(),
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
        let time = Utc(*time_ms);
        if *revision == 0 {
            return format!("{REVISION_LINE}0, there is no configuration yet\n");
        }
        format!(
            "{REVISION_LINE}{revision} by {author}, {time}\n{}",
            strip_revision_line(text)
        )
    }
}

/// Returns the revision that the first line of a file names.
pub fn named_revision(text: &str) -> Option<u64> {
    let rest = text.strip_prefix(REVISION_LINE)?;
    rest.split([' ', ',']).next()?.parse().ok()
}

fn strip_revision_line(text: &str) -> &str {
    match text.split_once('\n') {
        Some((first, rest)) if named_revision(first).is_some() => rest,
        _ => text,
    }
}

/// A checked change.
#[derive(Debug, Clone)]
pub struct Plan {
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
    pub current: Current,
    /// What it means.
    pub old: Deployment,
}

/// Another change that came first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Conflict {
    /// Revision of the configuration now; a header of the answer carries it.
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
pub enum Committed {
    /// Accepted under this revision.
    Accepted(u64),
    /// Not accepted.
    Conflict(Conflict),
    /// Not accepted: faults that a daemon found, each as one line.
    Faults(Vec<String>),
}

/// Who changes what, before anything was read.
#[derive(Debug, Clone)]
pub struct Request<'a> {
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
pub async fn prepare(client: &Client, request: Request<'_>) -> Result<Plan> {
    let text = strip_revision_line(request.text);
    let new = Deployment::parse(request.text).map_err(Error::Faults)?;
    let current = Current::read(client).await?;
    let old = Deployment::parse(&current.text).map_err(|_| Error::Malformed {
        daemon: "the daemon".into(),
        what: "the configuration in force",
    })?;
    let differences = check_change(&old, &new).map_err(Error::Faults)?;
    let named = request.if_revision.or_else(|| named_revision(request.text));
    Ok(Plan {
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

impl Plan {
    /// Returns the change that came between, when the plan was made on an older revision.
    pub fn overtaken(&self) -> Option<Conflict> {
        (self.if_revision != self.current.revision).then(|| Conflict {
            revision: self.current.revision,
            author: self.current.author.clone(),
            time_ms: self.current.time_ms,
            change_id: self.current.change_id,
            differences: lines(&diff(&self.new, &self.old)),
        })
    }

    fn call(&self) -> Call {
        Call::with_body(Method::PUT, PATH, self.text.clone())
            .header("x-if-revision", self.if_revision)
            .header("x-author", &self.author)
            .header("x-change-id", self.change_id)
    }
}

/// Writes a change, and finds out what became of it when an answer is lost.
///
/// # Errors
///
/// [`Error::Unreachable`] when it was never sent; [`Error::Unknown`] when its outcome could not be
/// found out; [`Error::Status`] and [`Error::Unauthorized`] when it was refused.
pub async fn commit(client: &Client, plan: &Plan) -> Result<Committed> {
    let mut last = String::new();
    for attempt in 0..ATTEMPTS {
        tokio::time::sleep(client.retry_pause() * attempt).await;
        match client.call(&plan.call()).await {
            Ok(answer) if answer.status.as_u16() != 503 => return outcome(&answer, plan),
            Ok(answer) => last = answer.unexpected().to_string(),
            Err(Error::Unreachable(why)) if last.is_empty() => {
                return Err(Error::Unreachable(why));
            }
            Err(error) => last = error.to_string(),
        }
        if let Ok(current) = Current::read(client).await
            && current.change_id == plan.change_id
        {
            return Ok(Committed::Accepted(current.revision));
        }
    }
    Err(Error::Unknown(format!(
        "it is not known whether the change was accepted: {last}. Find out with the same command \
         and --change-id {} --if-revision {}",
        plan.change_id, plan.if_revision
    )))
}

fn outcome(answer: &Answer, plan: &Plan) -> Result<Committed> {
    match answer.status.as_u16() {
        200 => answer.number("x-revision").map(Committed::Accepted),
        400 => match answer.json::<Vec<FaultLine>>() {
            Ok(faults) => {
                let lines = faults.iter().map(FaultLine::to_string);
                Ok(Committed::Faults(lines.collect()))
            }
            Err(_) => Err(answer.unexpected()),
        },
        409 => {
            let mut conflict: Conflict = answer.json()?;
            conflict.revision = answer.number("x-revision")?;
            if conflict.change_id == plan.change_id {
                return Ok(Committed::Accepted(conflict.revision));
            }
            Ok(Committed::Conflict(conflict))
        }
        _ => Err(answer.unexpected()),
    }
}

/// A fault as a daemon reports it.
#[derive(Debug, Deserialize)]
struct FaultLine {
    line: usize,
    section: String,
    key: String,
    message: String,
}

impl std::fmt::Display for FaultLine {
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
pub fn lines(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

//! Live view of load and decisions as plain lines.

use std::time::Duration;

use http::Method;
use masticdeal_language::{Sentence, UtcTime};
use serde::{Deserialize, Serialize};

use crate::args::{Cli, Watch};
use crate::ask;
use crate::client::{ApiCall, Client};
use crate::error::{Error, Exit, Result};

/// Minimum time between two refreshes, which bounds the load on the daemons.
const MIN_INTERVAL_MS: u64 = 200;
/// Maximum time between two refreshes.
const MAX_INTERVAL_MS: u64 = 600_000;
/// Maximum number of refreshes in one run.
const MAX_COUNT: u32 = 86_400;
/// Number of consecutive failed refreshes after which the view ends.
const MAX_FAILURES: u32 = 10;
/// Maximum number of targets per refresh; responses list the busiest first.
const MAX_TARGETS: usize = 20;
/// Minimum period of the decisions that a refresh requests, in seconds. The first refresh prints
/// all of them.
const MIN_DECISIONS_PERIOD_S: u64 = 60;

#[derive(Debug, Deserialize)]
struct Load {
    targets: Vec<Target>,
}

/// Load of one target, as reported by the daemons.
#[derive(Debug, Serialize, Deserialize)]
struct Target {
    vm: String,
    service: String,
    running: u16,
    queued: u16,
    slots: u16,
    service_us: u32,
    age_ms: u64,
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            vm,
            service,
            running,
            queued,
            slots,
            service_us,
            ..
        } = self;
        let service_ms = f64::from(*service_us) / 1e3;
        write!(
            f,
            "load {vm} {service}: {running}/{slots} running, {queued} waiting, "
        )?;
        write!(f, "{service_ms:.1} ms each")
    }
}

#[derive(Debug, Deserialize)]
struct Changes {
    decisions: Vec<Decision>,
}

/// Decision, as reported by the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Decision {
    time_ms: u64,
    table_version: u64,
    config_revision: u64,
    what: String,
    cause: String,
}

impl std::fmt::Display for Decision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            time_ms,
            what,
            cause,
            ..
        } = self;
        write!(f, "decision {}: {what} because {cause}", UtcTime(*time_ms))
    }
}

/// One refresh, printed as JSON.
#[derive(Debug, Serialize)]
struct Refresh<'a> {
    load: &'a [Target],
    decisions: &'a [Decision],
}

/// Runs the live view.
///
/// # Errors
///
/// [`Error::Usage`] for options out of bounds; [`Error::Unauthorized`] and [`Error::Status`] from
/// any refresh; other errors if `MAX_FAILURES` consecutive refreshes or the last one fail.
pub async fn run(cli: &Cli, client: &Client, watch: &Watch) -> Result<Exit> {
    let bounds = (MIN_INTERVAL_MS..=MAX_INTERVAL_MS, 1..=MAX_COUNT);
    if !bounds.0.contains(&watch.interval_ms) || !bounds.1.contains(&watch.count) {
        return Err(Error::Usage(format!(
            "expected --interval-ms {MIN_INTERVAL_MS} to {MAX_INTERVAL_MS} and --count 1 to \
             {MAX_COUNT}"
        )));
    }
    let mut previous_decisions: Vec<Decision> = Vec::new();
    let mut failures = 0;
    for refresh in 0..watch.count {
        if refresh > 0 {
            tokio::time::sleep(Duration::from_millis(watch.interval_ms)).await;
        }
        match poll(client, watch).await {
            Ok((load, decisions)) => {
                failures = 0;
                let new: Vec<Decision> = decisions
                    .iter()
                    .filter(|d| !previous_decisions.contains(d))
                    .cloned()
                    .collect();
                print_refresh(cli, &load, &new);
                previous_decisions = decisions;
            }
            Err(error @ (Error::Unauthorized { .. } | Error::Status { .. })) => return Err(error),
            Err(error) => {
                failures += 1;
                if failures >= MAX_FAILURES || refresh + 1 == watch.count {
                    return Err(error);
                }
                eprintln!("masticdeal: {error}");
            }
        }
    }
    Ok(Exit::Ok)
}

/// Returns the busiest targets, and the decisions of a period that covers several refreshes.
async fn poll(client: &Client, watch: &Watch) -> Result<(Vec<Target>, Vec<Decision>)> {
    let service = watch.service.clone();
    let mut load: Load = ask_json(client, &Sentence::ShowLoad { service }).await?;
    load.targets.truncate(MAX_TARGETS);
    let since =
        Duration::from_secs(MIN_DECISIONS_PERIOD_S.max(watch.interval_ms.div_ceil(1_000) * 4));
    let changes: Changes = ask_json(client, &Sentence::ShowChanges { since: Some(since) }).await?;
    Ok((load.targets, changes.decisions))
}

async fn ask_json<T: serde::de::DeserializeOwned>(
    client: &Client,
    sentence: &Sentence,
) -> Result<T> {
    let call = ApiCall::with_body(Method::POST, ask::PATH, sentence.to_string())
        .header("accept", "application/json")
        .repeatable(true);
    let response = client.call(&call).await?;
    if response.status.as_u16() != 200 {
        return Err(response.unexpected());
    }
    response.json()
}

fn print_refresh(cli: &Cli, load: &[Target], decisions: &[Decision]) {
    if cli.json {
        let refresh = Refresh { load, decisions };
        println!("{}", serde_json::to_string(&refresh).unwrap_or_default());
        return;
    }
    decisions.iter().for_each(|decision| println!("{decision}"));
    load.iter().for_each(|target| println!("{target}"));
}

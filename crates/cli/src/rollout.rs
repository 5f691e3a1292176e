//! Waits until a configuration is in force on all daemons.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::client::{ApiCall, Client};

/// Path of the state of a daemon.
pub const PATH: &str = "/v1/status";

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Most VMs that are listed as outdated.
const MAX_LISTED_VMS: usize = 8;

/// The part of a daemon's state that the tool reads.
#[derive(Debug, Deserialize)]
pub struct Status {
    /// Every daemon of the table.
    pub peers: Vec<Peer>,
}

/// One daemon.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Its VM.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Revision that it is_up_to_date; `None` when the answering daemon does not know.
    pub config_revision: Option<u64>,
}

/// How far a configuration has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Daemons that hold it or a newer one.
    pub up_to_date: usize,
    /// All daemons.
    pub daemons: usize,
    /// VMs of the others.
    pub outdated: Vec<String>,
    /// Why nothing is known, when no daemon answered.
    pub error: Option<String>,
}

impl std::fmt::Display for RolloutProgress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "in force on {} of {}", self.up_to_date, self.daemons)
    }
}

impl RolloutProgress {
    fn new(status: &Status, revision: u64) -> Self {
        let is_up_to_date = |peer: &&Peer| {
            peer.config_revision
                .is_some_and(|installed| installed >= revision)
        };
        let outdated = status.peers.iter().filter(|peer| !is_up_to_date(peer));
        Self {
            up_to_date: status.peers.iter().filter(is_up_to_date).count(),
            daemons: status.peers.len(),
            outdated: outdated
                .map(|peer| format!("{} in {}", peer.name, peer.data_centre))
                .collect(),
            error: None,
        }
    }

    fn is_complete(&self) -> bool {
        self.daemons > 0 && self.up_to_date == self.daemons
    }

    /// Returns what is missing, in words.
    pub fn incomplete_message(&self) -> Option<String> {
        if self.is_complete() {
            return None;
        }
        if let Some(error) = &self.error {
            return Some(format!(
                "accepted, but not known where it is in force: {error}"
            ));
        }
        let listed: Vec<&str> = self
            .outdated
            .iter()
            .take(MAX_LISTED_VMS)
            .map(String::as_str)
            .collect();
        let more = self.outdated.len() - listed.len();
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        Some(format!(
            "accepted, but not yet in force on {}{more}",
            listed.join(", ")
        ))
    }
}

/// Looks until the revision is in force everywhere or `timeout` has passed. `on_progress` gets each new
/// state.
pub async fn wait(
    client: &Client,
    revision: u64,
    timeout: Duration,
    mut on_progress: impl FnMut(&RolloutProgress),
) -> RolloutProgress {
    let started = Instant::now();
    let mut last = RolloutProgress::default();
    loop {
        let progress = poll(client, revision, &last).await;
        if progress != last && progress.error.is_none() {
            on_progress(&progress);
        }
        last = progress;
        if last.is_complete() || started.elapsed() + POLL_INTERVAL > timeout {
            return last;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll(client: &Client, revision: u64, last: &RolloutProgress) -> RolloutProgress {
    let status = match client.call(&ApiCall::get(PATH)).await {
        Ok(response) if response.status.as_u16() == 200 => response.json::<Status>(),
        Ok(response) => Err(response.unexpected()),
        Err(error) => Err(error),
    };
    match status {
        Ok(status) => RolloutProgress::new(&status, revision),
        Err(error) => RolloutProgress {
            error: Some(error.to_string()),
            ..last.clone()
        },
    }
}

//! Progress of a configuration change until all daemons have installed it.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::client::{ApiCall, Client};

/// Path of the daemon's status endpoint.
pub const PATH: &str = "/v1/status";

/// Time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of outdated VMs that are listed.
const MAX_LISTED_VMS: usize = 8;

/// Status of the fleet, as reported by one daemon. Only the fields that the tool uses.
#[derive(Debug, Deserialize)]
pub struct Status {
    /// All daemons in the assignment table.
    pub peers: Vec<Peer>,
}

/// Status of one daemon.
#[derive(Debug, Deserialize)]
pub struct Peer {
    /// Name of its VM.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Installed configuration revision; `None` if the reporting daemon does not know it.
    pub config_revision: Option<u64>,
}

/// Progress of the roll-out of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Number of daemons that have installed this or a newer revision.
    pub up_to_date: usize,
    /// Number of all daemons.
    pub daemons: usize,
    /// VMs of the other daemons.
    pub outdated: Vec<String>,
    /// Error of the last status request, if it failed.
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

    /// Returns the message for an incomplete roll-out, or `None` if it is complete.
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
        let unlisted = self.outdated.len() - listed.len();
        let rest = if unlisted > 0 {
            format!(" and {unlisted} more")
        } else {
            String::new()
        };
        Some(format!(
            "accepted, but not yet in force on {}{rest}",
            listed.join(", ")
        ))
    }
}

/// Polls until all daemons have installed the revision or the next poll would start after
/// `timeout`. Calls `on_progress` when the status changes, unless the request failed.
pub async fn wait_until_complete(
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

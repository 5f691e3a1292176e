//! Waits until a configuration is in force on all daemons.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::client::{Call, Client};

/// Path of the state of a daemon.
pub const PATH: &str = "/v1/status";

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(300);

/// Most VMs that are named as behind.
const MAX_NAMED: usize = 8;

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
    /// Revision that it holds; `None` when the answering daemon does not know.
    pub config_revision: Option<u64>,
}

/// How far a configuration has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Daemons that hold it or a newer one.
    pub holding: usize,
    /// All daemons.
    pub daemons: usize,
    /// VMs of the others.
    pub behind: Vec<String>,
    /// Why nothing is known, when no daemon answered.
    pub fault: Option<String>,
}

impl std::fmt::Display for Progress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "in force on {} of {}", self.holding, self.daemons)
    }
}

impl Progress {
    fn new(status: &Status, revision: u64) -> Self {
        let holds = |peer: &&Peer| peer.config_revision.is_some_and(|held| held >= revision);
        let behind = status.peers.iter().filter(|peer| !holds(peer));
        Self {
            holding: status.peers.iter().filter(holds).count(),
            daemons: status.peers.len(),
            behind: behind
                .map(|peer| format!("{} in {}", peer.name, peer.data_centre))
                .collect(),
            fault: None,
        }
    }

    fn complete(&self) -> bool {
        self.daemons > 0 && self.holding == self.daemons
    }

    /// Returns what is missing, in words.
    pub fn shortfall(&self) -> Option<String> {
        if self.complete() {
            return None;
        }
        if let Some(fault) = &self.fault {
            return Some(format!(
                "accepted, but not known where it is in force: {fault}"
            ));
        }
        let named: Vec<&str> = self
            .behind
            .iter()
            .take(MAX_NAMED)
            .map(String::as_str)
            .collect();
        let more = self.behind.len() - named.len();
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        Some(format!(
            "accepted, but not yet in force on {}{more}",
            named.join(", ")
        ))
    }
}

/// Looks until the revision is in force everywhere or `bound` has passed. `changed` gets each new
/// state.
pub async fn wait(
    client: &Client,
    revision: u64,
    bound: Duration,
    mut changed: impl FnMut(&Progress),
) -> Progress {
    let started = Instant::now();
    let mut last = Progress::default();
    loop {
        let progress = look(client, revision, &last).await;
        if progress != last && progress.fault.is_none() {
            changed(&progress);
        }
        last = progress;
        if last.complete() || started.elapsed() + INTERVAL > bound {
            return last;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn look(client: &Client, revision: u64, last: &Progress) -> Progress {
    let status = match client.call(&Call::get(PATH)).await {
        Ok(answer) if answer.status.as_u16() == 200 => answer.json::<Status>(),
        Ok(answer) => Err(answer.unexpected()),
        Err(error) => Err(error),
    };
    match status {
        Ok(status) => Progress::new(&status, revision),
        Err(error) => Progress {
            fault: Some(error.to_string()),
            ..last.clone()
        },
    }
}

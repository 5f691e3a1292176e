//! What this daemon last heard of every other: versions and load.
//!
//! Operators' answers and the planner need it now and then, so it is asked for on demand and kept
//! for a short time. Nothing is asked in the steady state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use masticdeal_ownership::ids::SessionId;
use masticdeal_wire::headers::PATH_LOAD;
use masticdeal_wire::peer::{LoadReport, LoadRequest};

use super::Control;

/// Age above which the census is taken again.
const FRESH: Duration = Duration::from_millis(500);

/// Longest wait for one daemon.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Daemons that are asked at the same time.
const CONCURRENCY: usize = 64;

/// One daemon's last report.
#[derive(Debug, Clone)]
pub struct Heard {
    /// The report.
    pub report: LoadReport,
    /// Boot time of this VM at which it arrived.
    pub at: Duration,
}

/// Last reports by session.
#[derive(Debug, Default)]
pub struct Census {
    taken: Option<Duration>,
    heard: HashMap<SessionId, Heard>,
}

impl Control {
    /// Returns the last report of each live session that ever answered, none older than a short
    /// time unless the daemon does not answer.
    pub async fn census(self: &Arc<Self>) -> HashMap<SessionId, Heard> {
        let mut census = self.census.lock().await;
        let now = self.node.clock.now();
        let fresh = census
            .taken
            .is_some_and(|at| now.saturating_sub(at) < FRESH);
        if !fresh {
            self.take_census(&mut census).await;
            census.taken = Some(now);
        }
        census.heard.clone()
    }

    async fn take_census(self: &Arc<Self>, census: &mut Census) {
        let table = self.node.table.borrow().clone();
        census.heard.retain(|id, _| table.session(*id).is_some());
        let ids: Vec<_> = table.sessions.iter().map(|s| s.id).collect();
        let asked = ids.into_iter().map(|id| self.clone().ask_load(id));
        let answers: Vec<_> = stream::iter(asked)
            .buffer_unordered(CONCURRENCY)
            .collect()
            .await;
        let at = self.node.clock.now();
        for (session, report) in answers {
            if let Some(report) = report {
                census.heard.insert(session, Heard { report, at });
            }
        }
    }

    async fn ask_load(self: Arc<Self>, session: SessionId) -> (SessionId, Option<LoadReport>) {
        let ask = LoadRequest {
            versions: self.node.versions(),
        };
        if Some(session) == self.session() {
            return (session, Some(self.load_report()));
        }
        let report = self.call(session, PATH_LOAD, &ask, TIMEOUT).await;
        (session, report)
    }

    /// Returns the load of what this daemon owns.
    pub(super) fn load_report(&self) -> LoadReport {
        let rates = self.node.meter.rates(self.node.clock.now());
        LoadReport {
            load: self.owner.load(),
            capacity: self.owner.service_rate() as f32,
            rate: rates.total,
            shards: rates.shards,
            keys: rates.keys,
            versions: self.node.versions(),
        }
    }
}

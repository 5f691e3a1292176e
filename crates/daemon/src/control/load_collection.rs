//! Collects load and versions from all daemons.
//!
//! Only operator requests and the planner need them, so they are collected on demand and cached
//! for `MAX_AGE`. Without either, no daemon sends load requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use masticdeal_ownership::ids::SessionId;
use masticdeal_wire::headers::PATH_LOAD;
use masticdeal_wire::peer::{LoadReport, LoadRequest};

use super::Control;

/// Age from which cached loads are collected again.
const MAX_AGE: Duration = Duration::from_millis(500);

/// Longest wait for the reply of one daemon.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of load requests in flight at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Last load report of one daemon.
#[derive(Debug, Clone)]
pub struct CollectedLoad {
    /// Load and versions of the daemon.
    pub report: LoadReport,
    /// When it was received, as time since the boot of this VM.
    pub received_at: Duration,
}

/// Cached load reports, by session.
#[derive(Debug, Default)]
pub struct LoadCollection {
    collected_at: Option<Duration>,
    loads: HashMap<SessionId, CollectedLoad>,
}

impl Control {
    /// Returns the last report of each session in the table that has replied to any load request. A
    /// report is older than `MAX_AGE` only if its daemon did not reply to the last request.
    pub async fn collect_loads(self: &Arc<Self>) -> HashMap<SessionId, CollectedLoad> {
        let table = self.node.table.borrow().clone();
        self.collect_loads_of(table.sessions.iter().map(|s| s.id).collect())
            .await
    }

    /// As [`collect_loads`](Self::collect_loads), of the given sessions.
    pub(super) async fn collect_loads_of(
        self: &Arc<Self>,
        sessions: Vec<SessionId>,
    ) -> HashMap<SessionId, CollectedLoad> {
        let mut collection = self.load_collection.lock().await;
        let now = self.node.clock.now();
        let is_current = collection
            .collected_at
            .is_some_and(|collected_at| now.saturating_sub(collected_at) < MAX_AGE);
        if !is_current {
            self.refresh_loads(&mut collection, sessions).await;
            collection.collected_at = Some(now);
        }
        collection.loads.clone()
    }

    async fn refresh_loads(
        self: &Arc<Self>,
        collection: &mut LoadCollection,
        sessions: Vec<SessionId>,
    ) {
        let table = self.node.table.borrow().clone();
        collection
            .loads
            .retain(|id, _| table.session(*id).is_some());
        let requests = sessions.into_iter().map(|id| self.clone().request_load(id));
        let replies: Vec<_> = stream::iter(requests)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        let received_at = self.node.clock.now();
        for (session, report) in replies {
            if let Some(report) = report {
                collection.loads.insert(
                    session,
                    CollectedLoad {
                        report,
                        received_at,
                    },
                );
            }
        }
    }

    async fn request_load(self: Arc<Self>, session: SessionId) -> (SessionId, Option<LoadReport>) {
        let request = LoadRequest {
            versions: self.node.versions(),
        };
        if Some(session) == self.session() {
            return (session, Some(self.load_report()));
        }
        let report = self.call(session, PATH_LOAD, &request, REPLY_TIMEOUT).await;
        (session, report)
    }

    /// Returns the load report of this daemon.
    pub(super) fn load_report(&self) -> LoadReport {
        let rates = self.node.meter.rates(self.node.clock.now());
        LoadReport {
            load: self.owner.load(),
            capacity: self.owner.service_rate() as f32,
            rate: rates.total,
            shards: rates.shards,
            keys: rates.keys,
            versions: self.node.versions(),
            cold: self.owner.cold_state(),
        }
    }
}

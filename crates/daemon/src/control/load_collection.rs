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

/// Age at which cached loads are collected again.
const MAX_AGE: Duration = Duration::from_millis(500);

/// Longest wait for the reply of one daemon.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Load requests in flight at the same time.
const CONCURRENCY: usize = 64;

/// Last load report of one daemon.
#[derive(Debug, Clone)]
pub struct CollectedLoad {
    /// The report.
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
    /// Returns the last report of each session in the table that ever replied. A report is older
    /// than `MAX_AGE` only when its daemon does not reply.
    pub async fn collect_loads(self: &Arc<Self>) -> HashMap<SessionId, CollectedLoad> {
        let mut collection = self.load_collection.lock().await;
        let now = self.node.clock.now();
        let is_current = collection
            .collected_at
            .is_some_and(|at| now.saturating_sub(at) < MAX_AGE);
        if !is_current {
            self.refresh_loads(&mut collection).await;
            collection.collected_at = Some(now);
        }
        collection.loads.clone()
    }

    async fn refresh_loads(self: &Arc<Self>, collection: &mut LoadCollection) {
        let table = self.node.table.borrow().clone();
        collection
            .loads
            .retain(|id, _| table.session(*id).is_some());
        let ids: Vec<_> = table.sessions.iter().map(|s| s.id).collect();
        let requests = ids.into_iter().map(|id| self.clone().request_load(id));
        let replies: Vec<_> = stream::iter(requests)
            .buffer_unordered(CONCURRENCY)
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
        let report = self.call(session, PATH_LOAD, &request, TIMEOUT).await;
        (session, report)
    }

    /// Returns the load of this daemon's target, shards and keys.
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

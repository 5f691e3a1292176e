//! Observer of the versions that daemons report. Neither the table version nor the configuration
//! revision may decrease within one incarnation of a daemon.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use masticdeal_wire::headers;
use serde_json::Value;

use crate::check::Violation;
use crate::operator_client::OperatorClient;
use crate::vm::Vm;

/// Pause between two polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Versions reported by a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the table.
    pub table: u64,
    /// Revision of the configuration.
    pub config: u64,
}

/// Parses the versions in the body of `/v1/status`.
pub fn parse_versions(status: &Value) -> Option<Versions> {
    Some(Versions {
        table: status.get("table_version")?.as_u64()?,
        config: status.get("config_revision")?.as_u64()?,
    })
}

/// Observer of all daemons in a fleet.
#[derive(Debug, Default)]
pub struct Observer {
    /// Incarnation of each daemon, counted by its kills.
    incarnations: Vec<AtomicU64>,
    violations: Mutex<Vec<Violation>>,
    /// Number of status responses that were checked.
    sample_count: AtomicU64,
    stop: AtomicBool,
}

impl Observer {
    /// Starts one polling task for each daemon.
    pub fn start(vms: &[Vm], operator_client: &OperatorClient) -> Arc<Self> {
        let observer = Arc::new(Self {
            incarnations: vms.iter().map(|_| AtomicU64::new(0)).collect(),
            ..Self::default()
        });
        for (index, vm) in vms.iter().enumerate() {
            let (observer, operator_client) = (observer.clone(), operator_client.clone());
            let (name, address) = (vm.name.clone(), vm.operator_address());
            tokio::spawn(async move {
                let mut last = (0, Versions::default());
                while !observer.stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    let incarnation = observer.incarnations[index].load(Ordering::SeqCst);
                    let read = operator_client.read(address, headers::PATH_STATUS).await;
                    let same_incarnation =
                        observer.incarnations[index].load(Ordering::SeqCst) == incarnation;
                    if let (Ok(response), true) = (read, same_incarnation) {
                        observer.check_versions(&name, incarnation, &response.body, &mut last);
                    }
                }
            });
        }
        observer
    }

    /// Records that a daemon is killed. The versions of its next incarnation may start lower.
    pub fn record_kill(&self, vm: usize) {
        self.incarnations[vm].fetch_add(1, Ordering::SeqCst);
    }

    /// Stops polling. Returns the violations and the number of status responses that were checked.
    pub fn stop(&self) -> (Vec<Violation>, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let violations = std::mem::take(&mut *self.violations.lock().unwrap());
        (violations, self.sample_count.load(Ordering::Relaxed))
    }

    fn check_versions(
        &self,
        name: &str,
        incarnation: u64,
        body: &[u8],
        last: &mut (u64, Versions),
    ) {
        let status: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(current) = parse_versions(&status) else {
            return;
        };
        self.sample_count.fetch_add(1, Ordering::Relaxed);
        let previous = last.1;
        if last.0 == incarnation
            && (current.table < previous.table || current.config < previous.config)
        {
            let text = format!("versions of {name} fell from {previous:?} to {current:?}");
            self.violations.lock().unwrap().push(Violation::Other(text));
        }
        *last = (incarnation, current);
    }
}

//! Observer of the daemons' versions: within one life of a daemon, neither the version of its
//! table nor the revision of its configuration may fall.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use masticdeal_wire::headers;
use serde_json::Value;

use crate::check::Violation;
use crate::operators::Operators;
use crate::vm::Vm;

/// Time between two looks at each daemon.
const EVERY: Duration = Duration::from_millis(200);

/// Versions that a daemon reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the table.
    pub table: u64,
    /// Revision of the configuration.
    pub config: u64,
}

/// Reads the versions from the body of `/v1/status`.
pub fn versions(status: &Value) -> Option<Versions> {
    Some(Versions {
        table: status.get("table_version")?.as_u64()?,
        config: status.get("config_revision")?.as_u64()?,
    })
}

/// Observer of all daemons of a fleet.
#[derive(Debug, Default)]
pub struct Observer {
    lives: Vec<AtomicU64>,
    violations: Mutex<Vec<Violation>>,
    looks: AtomicU64,
    stop: AtomicBool,
}

impl Observer {
    /// Starts to observe.
    pub fn start(vms: &[Vm], operators: &Operators) -> Arc<Self> {
        let observer = Arc::new(Self {
            lives: vms.iter().map(|_| AtomicU64::new(0)).collect(),
            ..Self::default()
        });
        for (at, vm) in vms.iter().enumerate() {
            let (observer, operators) = (observer.clone(), operators.clone());
            let (name, address) = (vm.name.clone(), vm.operators());
            tokio::spawn(async move {
                let mut seen = (0, Versions::default());
                while !observer.stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(EVERY).await;
                    let life = observer.lives[at].load(Ordering::SeqCst);
                    let read = operators.read(address, headers::PATH_STATUS).await;
                    let still = observer.lives[at].load(Ordering::SeqCst) == life;
                    if let (Ok(answer), true) = (read, still) {
                        observer.judge(&name, life, &answer.body, &mut seen);
                    }
                }
            });
        }
        observer
    }

    /// Notes that a daemon was killed; its next life may start from nothing.
    pub fn killed(&self, vm: usize) {
        self.lives[vm].fetch_add(1, Ordering::SeqCst);
    }

    /// Ends the observation and returns what it found, and the number of answers it judged.
    pub fn stop(&self) -> (Vec<Violation>, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let found = std::mem::take(&mut *self.violations.lock().unwrap());
        (found, self.looks.load(Ordering::Relaxed))
    }

    fn judge(&self, name: &str, life: u64, body: &[u8], seen: &mut (u64, Versions)) {
        let status: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(now) = versions(&status) else {
            return;
        };
        self.looks.fetch_add(1, Ordering::Relaxed);
        let before = seen.1;
        if seen.0 == life && (now.table < before.table || now.config < before.config) {
            let text = format!("versions of {name} fell from {before:?} to {now:?}");
            self.violations.lock().unwrap().push(Violation::Other(text));
        }
        *seen = (life, now);
    }
}

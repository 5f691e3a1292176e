//! Measures how long keys are unavailable after daemons or targets are killed or frozen.
//!
//! One key for each shard of the lost VMs is probed at a fixed interval through the daemons of the
//! other VMs. The unavailable time of a key is the longest gap between two successful probes from
//! just before the loss to the end of the try, so it includes up to one probe interval.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use masticdeal_ownership::ids::shard_of;
use masticdeal_wire::headers;
use xxhash_rust::xxh3::xxh3_64;

use super::{Csv, Percentiles, READY_TIMEOUT};
use crate::fleet::{Fleet, Options, Result};
use crate::http1::{self, Client};
use crate::layout::Layout;
use crate::payload;
use crate::vm::Process;

/// Interval between probes of one key.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a probe without a complete response counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which keys are probed before the loss, so that each has an earlier success.
const PROBE_LEAD_TIME: Duration = Duration::from_millis(300);

/// Time for which keys are probed after the loss.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Pause before each try, for the fleet to reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of VMs of the measured fleet.
const VMS: usize = 6;
/// Number of shards of the measured service.
const SHARDS: u32 = 32;

/// Processes that are lost in a try, and how.
#[derive(Debug, Clone, Copy)]
pub enum Loss {
    /// A daemon is killed.
    KillDaemon,
    /// A target is killed.
    KillTarget,
    /// A daemon and its target are killed.
    KillBoth,
    /// A daemon is frozen.
    FreezeDaemon,
    /// A target is frozen.
    FreezeTarget,
    /// A daemon and its target are frozen.
    FreezeBoth,
    /// All daemons and targets of a data centre are killed.
    DataCentre,
}

impl Loss {
    /// All kinds of loss.
    pub const ALL: [Self; 7] = [
        Self::KillDaemon,
        Self::KillTarget,
        Self::KillBoth,
        Self::FreezeDaemon,
        Self::FreezeTarget,
        Self::FreezeBoth,
        Self::DataCentre,
    ];

    fn processes(self) -> &'static [Process] {
        match self {
            Self::KillDaemon | Self::FreezeDaemon => &[Process::Daemon],
            Self::KillTarget | Self::FreezeTarget => &[Process::Target],
            Self::KillBoth | Self::FreezeBoth | Self::DataCentre => {
                &[Process::Daemon, Process::Target]
            }
        }
    }

    fn freezes(self) -> bool {
        matches!(
            self,
            Self::FreezeDaemon | Self::FreezeTarget | Self::FreezeBoth
        )
    }
}

/// Measures each kind of loss whose name contains `name_filter` with `tries` tries.
///
/// # Errors
///
/// If a fleet does not start or recover, or a file cannot be written.
pub async fn run(dir: &Path, tries: usize, checks_grants: bool, name_filter: &str) -> Result<()> {
    let suffix = if checks_grants { "checks" } else { "no-checks" };
    let header = "loss,try,vms,key,unavailable_ms";
    let mut raw = Csv::create(dir, &format!("unavailable-{suffix}.csv"), header)?;
    let header = "loss,tries,keys,median_ms,p99_ms,worst_ms,key_tries_without_answer";
    let mut summary = Csv::create(dir, &format!("unavailable-{suffix}-summary.csv"), header)?;
    for loss in Loss::ALL {
        let name = format!("{loss:?}");
        if !name.contains(name_filter) {
            continue;
        }
        let line = measure(&mut raw, loss, tries, checks_grants).await?;
        println!("unavailable: {line}");
        summary.write_line(&line)?;
    }
    Ok(())
}

async fn measure(raw: &mut Csv, loss: Loss, tries: usize, checks_grants: bool) -> Result<String> {
    let mut layout = Layout::single_sharded(VMS, SHARDS);
    layout.services[0].checks_grants = checks_grants;
    let mut fleet = Fleet::new(layout, Options::default())?;
    fleet.start(READY_TIMEOUT).await?;
    let (mut times, mut unserved) = (Vec::new(), 0);
    for attempt in 0..tries {
        tokio::time::sleep(SETTLE_TIME).await;
        let lost_vms = lost_vms(&fleet, loss, attempt);
        for (key, gap) in try_once(&mut fleet, loss, &lost_vms).await? {
            let ms = gap.map(|gap| gap.as_secs_f64() * 1_000.0);
            unserved += usize::from(ms.is_none());
            times.extend(ms);
            let ms = ms.map_or("none".into(), |ms| format!("{ms:.1}"));
            raw.write_line(
                &format!("{loss:?},{attempt},{lost_vms:?},{key},{ms}").replace(", ", " "),
            )?;
        }
    }
    let percentiles = Percentiles::from_values(times);
    fleet.remove_dir();
    let (median, p99, max) = (percentiles.median, percentiles.p99, percentiles.max);
    Ok(format!(
        "{loss:?},{tries},{},{median:.0},{p99:.0},{max:.0},{unserved}",
        percentiles.count
    ))
}

fn lost_vms(fleet: &Fleet, loss: Loss, attempt: usize) -> Vec<usize> {
    match loss {
        Loss::DataCentre => {
            let dc = fleet.layout.data_centre(attempt);
            let vms = 0..fleet.vms.len();
            vms.filter(|&vm| fleet.vms[vm].data_centre == dc).collect()
        }
        _ => vec![attempt % fleet.vms.len()],
    }
}

/// Probes the keys of the lost VMs during one loss. Returns the unavailable time of each key, or
/// `None` if the key was not served in the last second of the observation.
async fn try_once(
    fleet: &mut Fleet,
    loss: Loss,
    lost_vms: &[usize],
) -> Result<Vec<(u64, Option<Duration>)>> {
    let ingress_addresses: Vec<SocketAddr> = (0..fleet.vms.len())
        .filter(|vm| !lost_vms.contains(vm))
        .map(|vm| fleet.vms[vm].caller_address())
        .collect();
    let names: Vec<String> = lost_vms
        .iter()
        .map(|&vm| fleet.vms[vm].name.clone())
        .collect();
    let keys = owned_keys(&ingress_addresses, &names).await;
    let stop = Arc::new(AtomicBool::new(false));
    let probes = keys
        .iter()
        .map(|&key| Probe::start(key, &ingress_addresses, &stop));
    let probes: Vec<Arc<Probe>> = probes.collect();
    tokio::time::sleep(PROBE_LEAD_TIME).await;
    let lost_at = Instant::now();
    for &vm in lost_vms {
        for &process in loss.processes() {
            match loss.freezes() {
                true => fleet.freeze(vm, process),
                false => fleet.kill(vm, process),
            }
        }
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    stop.store(true, Ordering::Relaxed);
    tokio::time::sleep(PROBE_TIMEOUT).await;
    for &vm in lost_vms {
        for &process in loss.processes() {
            match loss.freezes() {
                true => fleet.thaw(vm, process),
                false => fleet.start_process(vm, process)?,
            }
        }
    }
    fleet.wait_ready(READY_TIMEOUT).await?;
    Ok(probes.iter().map(|p| (p.key, p.gap(lost_at))).collect())
}

/// Returns one key for each shard that the target of one of the named VMs serves. Shards whose
/// probe fails are left out.
async fn owned_keys(ingress_addresses: &[SocketAddr], names: &[String]) -> Vec<u64> {
    let http = Client::default();
    let mut owned = Vec::new();
    for shard in 0..SHARDS {
        let is_in_shard =
            |key: &u64| shard_of(xxh3_64(key.to_string().as_bytes()), SHARDS).0 == shard;
        let Some(key) = (0..u64::MAX).find(is_in_shard) else {
            continue;
        };
        let response = probe_key(&http, ingress_addresses[0], key, "owner").await;
        let target = response.and_then(|res| {
            http1::header_text(&res.headers, payload::TARGET_HEADER).map(String::from)
        });
        if target.is_some_and(|target| names.contains(&target)) {
            owned.push(key);
        }
    }
    owned
}

async fn probe_key(
    http: &Client,
    address: SocketAddr,
    key: u64,
    id: &str,
) -> Option<http1::ReceivedResponse> {
    let path = format!("/search/{key}");
    let headers = [(headers::REQUEST_ID, id), (headers::DEADLINE_MS, "100")];
    let sent = http
        .send(Method::GET, address, &path, &headers, "", PROBE_TIMEOUT)
        .await;
    sent.ok().filter(|response| response.status == 200)
}

/// Probes one key and records the times of the successes.
struct Probe {
    key: u64,
    successes: Mutex<Vec<Instant>>,
}

impl Probe {
    fn start(key: u64, ingress_addresses: &[SocketAddr], stop: &Arc<AtomicBool>) -> Arc<Self> {
        let successes = Mutex::default();
        let probe = Arc::new(Self { key, successes });
        let (shared_probe, ingress_addresses, stop) =
            (probe.clone(), ingress_addresses.to_vec(), stop.clone());
        tokio::spawn(async move {
            let http = Client::default();
            let mut ticks = tokio::time::interval(PROBE_INTERVAL);
            for sequence in 0.. {
                ticks.tick().await;
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (shared_probe, http) = (shared_probe.clone(), http.clone());
                let address = ingress_addresses[sequence % ingress_addresses.len()];
                tokio::spawn(async move {
                    let id = format!("probe-{key}-{sequence}");
                    if probe_key(&http, address, key, &id).await.is_some() {
                        shared_probe.successes.lock().unwrap().push(Instant::now());
                    }
                });
            }
        });
        probe
    }

    /// Returns the longest gap between successes that ends after the loss. Returns `None` if the
    /// key was not served in the last second of the observation, or had fewer than two successes.
    fn gap(&self, lost_at: Instant) -> Option<Duration> {
        let mut times = self.successes.lock().unwrap().clone();
        times.sort();
        // Responses that were in flight at the loss may arrive after it, so the first success after
        // the loss does not show that the key is served again; the longest gap does.
        let gaps_after_loss = times.windows(2).filter(|w| w[1] > lost_at);
        let last = *times.last()?;
        let unserved_time = lost_at + OBSERVATION_TIME - last.min(lost_at + OBSERVATION_TIME);
        let served_at_the_end = unserved_time < Duration::from_secs(1);
        gaps_after_loss
            .map(|w| w[1] - w[0])
            .max()
            .filter(|_| served_at_the_end)
    }
}

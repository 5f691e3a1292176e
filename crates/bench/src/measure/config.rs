//! Measures the time until an accepted configuration is in force at all daemons, and the outcomes
//! of conflicting configuration changes.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{Csv, Percentiles, READY_TIMEOUT};
use crate::fleet::{Error, Fleet, Options, Result};
use crate::layout::Layout;
use crate::observer::parse_versions;
use crate::operator_client::ConfigWrite;
use crate::relay::{RelayRoute, Relays};
use crate::vm::{Process, Vm};

/// Shards of the measured fleets.
const SHARDS: u32 = 256;

/// Interval at which a daemon is polled for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time after which a change that is not in force counts as failed.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Failure during the configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    None,
    FrozenDaemon,
    CutDataCentre,
}

/// Measures fleets of the given sizes with `changes` changes for each disruption, and `pairs` pairs
/// of conflicting changes.
///
/// # Errors
///
/// If a fleet does not start or recover, or a file cannot be written.
pub async fn run(dir: &Path, sizes: &[usize], changes: usize, pairs: usize) -> Result<()> {
    let header = "daemons,trouble,changes,accepted,median_ms,p99_ms,worst_ms,not_in_force";
    let mut csv = Csv::create(dir, "config.csv", header)?;
    for &size in sizes {
        let (mut fleet, relays) = start(size).await?;
        for disruption in [
            Disruption::None,
            Disruption::FrozenDaemon,
            Disruption::CutDataCentre,
        ] {
            let line = measure(&mut fleet, &relays, disruption, changes).await?;
            println!("config: {line}");
            csv.write_line(&line)?;
        }
        fleet.remove_dir();
    }
    let (fleet, _relay) = start(5).await?;
    let header = "pairs,one_accepted,both_accepted,none_accepted,unclear,lost";
    let mut csv = Csv::create(dir, "config-conflicts.csv", header)?;
    let line = conflicts(&fleet, pairs).await;
    println!("config: conflicts: {line}");
    fleet.remove_dir();
    csv.write_line(&line)
}

async fn start(size: usize) -> Result<(Fleet, Relays)> {
    let options = Options {
        relayed: true,
        inline_targets: true,
    };
    let mut fleet = Fleet::new(Layout::single_sharded(size, SHARDS), options)?;
    let routes = fleet.vms.iter().map(|vm| RelayRoute {
        listen: vm.relay_address(),
        forward_to: vm.peer_address(),
    });
    let relays = Relays::start(routes).await;
    let relays = relays.map_err(|e| Error::Io("relay".into(), e))?;
    fleet.start(READY_TIMEOUT).await?;
    Ok((fleet, relays))
}

async fn measure(
    fleet: &mut Fleet,
    relays: &Relays,
    disruption: Disruption,
    changes: usize,
) -> Result<String> {
    let last = fleet.vms.len() - 1;
    let dc = fleet.layout.data_centre(1);
    match disruption {
        Disruption::None => {}
        Disruption::FrozenDaemon => fleet.freeze(last, Process::Daemon),
        Disruption::CutDataCentre => {
            for_each_link_across(&fleet.vms, &dc, |a, b| relays.partition(a.ip, b.ip))
        }
    }
    // A partitioned data centre still reaches the platform, so only a frozen daemon is excluded.
    let observed = match disruption {
        Disruption::FrozenDaemon => last,
        _ => last + 1,
    };
    let (mut times, mut accepted, mut timed_out) = (Vec::new(), 0, 0);
    for number in 0..changes {
        let started_at = Instant::now();
        let Some(revision) = change(fleet, number % observed, number).await else {
            continue;
        };
        accepted += 1;
        match wait_in_force(fleet, observed, revision, started_at).await {
            Some(time) => times.push(time.as_secs_f64() * 1_000.0),
            None => timed_out += 1,
        }
    }
    fleet.thaw(last, Process::Daemon);
    relays.heal_all();
    fleet.wait_ready(READY_TIMEOUT).await?;
    let (size, s) = (fleet.vms.len(), Percentiles::from_values(times));
    let (median, p99, max) = (s.median, s.p99, s.max);
    Ok(format!(
        "{size},{disruption:?},{changes},{accepted},{median:.0},{p99:.0},{max:.0},{timed_out}"
    ))
}

fn for_each_link_across(vms: &[Vm], dc: &str, change: impl Fn(&Vm, &Vm)) {
    for a in vms.iter().filter(|vm| vm.data_centre == dc) {
        vms.iter()
            .filter(|vm| vm.data_centre != dc)
            .for_each(|b| change(a, b));
    }
}

/// Changes the configuration through a daemon. Returns the new revision if the change was accepted.
async fn change(fleet: &Fleet, vm: usize, number: usize) -> Option<u64> {
    let address = fleet.vms[vm].operator_address();
    let (revision, _) = fleet.operator_client.config(address).await.ok()??;
    let text = fleet.layout.config(3_000 + number as u64);
    match fleet
        .operator_client
        .swap_config(address, revision, &text, "measure")
        .await
    {
        ConfigWrite::Accepted(revision) => Some(revision),
        _ => None,
    }
}

/// Waits until the first `observed` daemons report the revision. Returns the time since
/// `started_at`, or `None` after a timeout.
async fn wait_in_force(
    fleet: &Fleet,
    observed: usize,
    revision: u64,
    started_at: Instant,
) -> Option<Duration> {
    let waits = fleet.vms[..observed].iter().map(|vm| async {
        while started_at.elapsed() < IN_FORCE_TIMEOUT {
            let status = fleet
                .operator_client
                .read(vm.operator_address(), "/v1/status")
                .await;
            let body = status.map(|response| response.body).unwrap_or_default();
            let versions = serde_json::from_slice(&body)
                .ok()
                .and_then(|s| parse_versions(&s));
            if versions.is_some_and(|versions| versions.config >= revision) {
                return Some(started_at.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    });
    let times = futures_util::future::join_all(waits).await;
    times
        .into_iter()
        .collect::<Option<Vec<_>>>()?
        .into_iter()
        .max()
}

/// Sends pairs of conflicting changes concurrently. After each pair, checks that the accepted
/// change is in force.
async fn conflicts(fleet: &Fleet, pairs: usize) -> String {
    let (mut one, mut both, mut none, mut unclear, mut lost) = (0, 0, 0, 0, 0);
    for pair in 0..pairs {
        let (a, b) = (
            pair % fleet.vms.len(),
            (pair + 1 + pair / 5 % 4) % fleet.vms.len(),
        );
        let (a, b) = (
            fleet.vms[a].operator_address(),
            fleet.vms[b].operator_address(),
        );
        let Ok(Some((revision, _))) = fleet.operator_client.config(a).await else {
            unclear += 1;
            continue;
        };
        let texts = [4_000, 5_000].map(|ms| fleet.layout.config(ms + pair as u64));
        let (first, second) = tokio::join!(
            fleet
                .operator_client
                .swap_config(a, revision, &texts[0], "operator-a"),
            fleet
                .operator_client
                .swap_config(b, revision, &texts[1], "operator-b"),
        );
        let winner = match (first, second) {
            (ConfigWrite::Accepted(_), ConfigWrite::Accepted(_)) => {
                both += 1;
                continue;
            }
            (ConfigWrite::Accepted(revision), ConfigWrite::Conflict) => (revision, &texts[0]),
            (ConfigWrite::Conflict, ConfigWrite::Accepted(revision)) => (revision, &texts[1]),
            (ConfigWrite::Conflict, ConfigWrite::Conflict) => {
                none += 1;
                continue;
            }
            _ => {
                unclear += 1;
                continue;
            }
        };
        one += 1;
        let installed_everywhere =
            wait_in_force(fleet, fleet.vms.len(), winner.0, Instant::now()).await;
        let current = fleet.operator_client.config(b).await;
        let current =
            current.is_ok_and(|s| s.is_some_and(|(_, text)| text.trim() == winner.1.trim()));
        lost += usize::from(!current || installed_everywhere.is_none());
    }
    format!("{pairs},{one},{both},{none},{unclear},{lost}")
}

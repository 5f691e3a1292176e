//! Measures the time from the start of a configuration change until the accepted configuration is
//! in force at all daemons that are not frozen, and the outcomes of conflicting changes.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{Csv, Percentiles, READY_TIMEOUT};
use crate::fleet::{Error, Fleet, Options, Result};
use crate::layout::Layout;
use crate::observer::parse_versions;
use crate::operator_client::ConfigWriteOutcome;
use crate::relay::{RelayRoute, Relays};
use crate::vm::{Process, Vm};

/// Number of shards of the measured service.
const SHARDS: u32 = 256;

/// Pause between two polls of a daemon for its revision.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time after which an accepted change that is not in force is counted under `not_in_force`.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Disruption of the fleet during the configuration changes; printed with `Debug` into the CSV
/// file.
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
        let (mut fleet, relays) = start_fleet(size).await?;
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
    let (fleet, _relays) = start_fleet(5).await?;
    let header = "pairs,one_accepted,both_accepted,none_accepted,unclear,lost";
    let mut csv = Csv::create(dir, "config-conflicts.csv", header)?;
    let line = measure_conflicts(&fleet, pairs).await;
    println!("config: conflicts: {line}");
    fleet.remove_dir();
    csv.write_line(&line)
}

async fn start_fleet(size: usize) -> Result<(Fleet, Relays)> {
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
    // A partitioned data centre still reaches the platform, so only a frozen daemon is not
    // observed.
    let observed_count = match disruption {
        Disruption::FrozenDaemon => last,
        _ => last + 1,
    };
    let (mut times, mut accepted, mut timed_out) = (Vec::new(), 0, 0);
    for number in 0..changes {
        let started_at = Instant::now();
        let Some(revision) = change_config(fleet, number % observed_count, number).await else {
            continue;
        };
        accepted += 1;
        match wait_in_force(fleet, observed_count, revision, started_at).await {
            Some(time) => times.push(time.as_secs_f64() * 1_000.0),
            None => timed_out += 1,
        }
    }
    fleet.thaw(last, Process::Daemon);
    relays.heal_all();
    fleet.wait_ready(READY_TIMEOUT).await?;
    let (size, percentiles) = (fleet.vms.len(), Percentiles::from_values(times));
    let (median, p99, max) = (percentiles.median, percentiles.p99, percentiles.max);
    Ok(format!(
        "{size},{disruption:?},{changes},{accepted},{median:.0},{p99:.0},{max:.0},{timed_out}"
    ))
}

/// Applies a change to all links between a data centre and the others.
fn for_each_link_across(vms: &[Vm], dc: &str, change: impl Fn(&Vm, &Vm)) {
    for a in vms.iter().filter(|vm| vm.data_centre == dc) {
        vms.iter()
            .filter(|vm| vm.data_centre != dc)
            .for_each(|b| change(a, b));
    }
}

/// Changes the configuration through a daemon. Returns the new revision if the change was accepted.
async fn change_config(fleet: &Fleet, vm: usize, number: usize) -> Option<u64> {
    let address = fleet.vms[vm].operator_address();
    let (revision, _) = fleet.operator_client.read_config(address).await.ok()??;
    let text = fleet.layout.config(3_000 + number as u64);
    match fleet
        .operator_client
        .swap_config(address, revision, &text, "measure")
        .await
    {
        ConfigWriteOutcome::Accepted(revision) => Some(revision),
        _ => None,
    }
}

/// Waits until the first `observed_count` daemons report the revision or a newer one. Returns the
/// time from `started_at` to the last of these reports, or `None` after a timeout.
async fn wait_in_force(
    fleet: &Fleet,
    observed_count: usize,
    revision: u64,
    started_at: Instant,
) -> Option<Duration> {
    let waits = fleet.vms[..observed_count].iter().map(|vm| async {
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

/// Sends pairs of conflicting changes concurrently. If exactly one of a pair is accepted, checks
/// that it is in force at all daemons.
async fn measure_conflicts(fleet: &Fleet, pairs: usize) -> String {
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
        let Ok(Some((revision, _))) = fleet.operator_client.read_config(a).await else {
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
            (ConfigWriteOutcome::Accepted(_), ConfigWriteOutcome::Accepted(_)) => {
                both += 1;
                continue;
            }
            (ConfigWriteOutcome::Accepted(revision), ConfigWriteOutcome::Conflict) => {
                (revision, &texts[0])
            }
            (ConfigWriteOutcome::Conflict, ConfigWriteOutcome::Accepted(revision)) => {
                (revision, &texts[1])
            }
            (ConfigWriteOutcome::Conflict, ConfigWriteOutcome::Conflict) => {
                none += 1;
                continue;
            }
            _ => {
                unclear += 1;
                continue;
            }
        };
        one += 1;
        let in_force_after = wait_in_force(fleet, fleet.vms.len(), winner.0, Instant::now()).await;
        let current = fleet.operator_client.read_config(b).await;
        let is_current =
            current.is_ok_and(|s| s.is_some_and(|(_, text)| text.trim() == winner.1.trim()));
        lost += usize::from(!is_current || in_force_after.is_none());
    }
    format!("{pairs},{one},{both},{none},{unclear},{lost}")
}

//! Time until an accepted configuration is in force everywhere, and conflicting commands.

use std::path::Path;
use std::time::{Duration, Instant};

use super::{Csv, READY_LIMIT, Spread};
use crate::fleet::{Error, Fleet, Options, Result};
use crate::layout::Layout;
use crate::observer::versions;
use crate::operators::Accepted;
use crate::relay::{Relay, Route};
use crate::vm::{Part, Vm};

/// Shards of the measured fleets.
const SHARDS: u32 = 256;

/// Pause between two looks at the daemons that lack a revision.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Time after which a change counts as not in force.
const LIMIT: Duration = Duration::from_secs(30);

/// What fails while configurations change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    FrozenDaemon,
    CutDataCentre,
}

/// Measures fleets of the given sizes with `changes` changes each, and `pairs` pairs of
/// conflicting commands.
///
/// # Errors
///
/// When a fleet does not run.
pub async fn run(dir: &Path, sizes: &[usize], changes: usize, pairs: usize) -> Result<()> {
    let header = "daemons,trouble,changes,accepted,median_ms,p99_ms,worst_ms,not_in_force";
    let mut csv = Csv::create(dir, "config.csv", header)?;
    for &size in sizes {
        let (mut fleet, relay) = start(size).await?;
        for trouble in [Trouble::None, Trouble::FrozenDaemon, Trouble::CutDataCentre] {
            let line = measure(&mut fleet, &relay, trouble, changes).await?;
            println!("config: {line}");
            csv.line(&line)?;
        }
        fleet.remove_dir();
    }
    let (fleet, _relay) = start(5).await?;
    let header = "pairs,one_accepted,both_accepted,none_accepted,unclear,lost";
    let mut csv = Csv::create(dir, "config-conflicts.csv", header)?;
    let line = conflicts(&fleet, pairs).await;
    println!("config: conflicts: {line}");
    fleet.remove_dir();
    csv.line(&line)
}

async fn start(size: usize) -> Result<(Fleet, Relay)> {
    let options = Options {
        relayed: true,
        inline_targets: true,
    };
    let mut fleet = Fleet::new(Layout::divided(size, SHARDS), options)?;
    let routes = fleet.vms.iter().map(|vm| Route {
        listen: vm.relay(),
        to: vm.peers(),
    });
    let relay = Relay::start(routes).await;
    let relay = relay.map_err(|e| Error::Io("relay".into(), e))?;
    fleet.start(READY_LIMIT).await?;
    Ok((fleet, relay))
}

async fn measure(
    fleet: &mut Fleet,
    relay: &Relay,
    trouble: Trouble,
    changes: usize,
) -> Result<String> {
    let last = fleet.vms.len() - 1;
    let dc = fleet.layout.data_centre(1);
    match trouble {
        Trouble::None => {}
        Trouble::FrozenDaemon => fleet.freeze(last, Part::Daemon),
        Trouble::CutDataCentre => across(&fleet.vms, &dc, |a, b| relay.cut(a.ip, b.ip)),
    }
    // A cut data centre still reaches the platform, so only a frozen daemon is left out.
    let watched = match trouble {
        Trouble::FrozenDaemon => last,
        _ => last + 1,
    };
    let (mut times, mut accepted, mut late) = (Vec::new(), 0, 0);
    for number in 0..changes {
        let began = Instant::now();
        let Some(revision) = change(fleet, number % watched, number).await else {
            continue;
        };
        accepted += 1;
        match in_force(fleet, watched, revision, began).await {
            Some(time) => times.push(time.as_secs_f64() * 1_000.0),
            None => late += 1,
        }
    }
    fleet.thaw(last, Part::Daemon);
    relay.heal_all();
    fleet.wait_ready(READY_LIMIT).await?;
    let (size, s) = (fleet.vms.len(), Spread::of(times));
    let (median, p99, worst) = (s.median, s.p99, s.worst);
    Ok(format!(
        "{size},{trouble:?},{changes},{accepted},{median:.0},{p99:.0},{worst:.0},{late}"
    ))
}

fn across(vms: &[Vm], dc: &str, change: impl Fn(&Vm, &Vm)) {
    for a in vms.iter().filter(|vm| vm.data_centre == dc) {
        vms.iter()
            .filter(|vm| vm.data_centre != dc)
            .for_each(|b| change(a, b));
    }
}

/// Changes the configuration through a daemon and returns the revision when it is accepted.
async fn change(fleet: &Fleet, vm: usize, number: usize) -> Option<u64> {
    let at = fleet.vms[vm].operators();
    let (revision, _) = fleet.operators.config(at).await.ok()??;
    let text = fleet.layout.config(3_000 + number as u64);
    match fleet
        .operators
        .swap_config(at, revision, &text, "measure")
        .await
    {
        Accepted::Yes(revision) => Some(revision),
        _ => None,
    }
}

/// Waits until the first `watched` daemons report the revision. Returns the time since `began`.
async fn in_force(
    fleet: &Fleet,
    watched: usize,
    revision: u64,
    began: Instant,
) -> Option<Duration> {
    let waits = fleet.vms[..watched].iter().map(|vm| async {
        while began.elapsed() < LIMIT {
            let status = fleet.operators.read(vm.operators(), "/v1/status").await;
            let body = status.map(|answer| answer.body).unwrap_or_default();
            let seen = serde_json::from_slice(&body)
                .ok()
                .and_then(|s| versions(&s));
            if seen.is_some_and(|seen| seen.config >= revision) {
                return Some(began.elapsed());
            }
            tokio::time::sleep(LOOK_EVERY).await;
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

/// Sends pairs of conflicting writes at once, and checks after each that an accepted one stands.
async fn conflicts(fleet: &Fleet, pairs: usize) -> String {
    let (mut one, mut both, mut none, mut unclear, mut lost) = (0, 0, 0, 0, 0);
    for pair in 0..pairs {
        let (a, b) = (
            pair % fleet.vms.len(),
            (pair + 1 + pair / 5 % 4) % fleet.vms.len(),
        );
        let (a, b) = (fleet.vms[a].operators(), fleet.vms[b].operators());
        let Ok(Some((revision, _))) = fleet.operators.config(a).await else {
            unclear += 1;
            continue;
        };
        let texts = [4_000, 5_000].map(|ms| fleet.layout.config(ms + pair as u64));
        let (first, second) = tokio::join!(
            fleet
                .operators
                .swap_config(a, revision, &texts[0], "operator-a"),
            fleet
                .operators
                .swap_config(b, revision, &texts[1], "operator-b"),
        );
        let winner = match (first, second) {
            (Accepted::Yes(_), Accepted::Yes(_)) => {
                both += 1;
                continue;
            }
            (Accepted::Yes(revision), Accepted::Conflict) => (revision, &texts[0]),
            (Accepted::Conflict, Accepted::Yes(revision)) => (revision, &texts[1]),
            (Accepted::Conflict, Accepted::Conflict) => {
                none += 1;
                continue;
            }
            _ => {
                unclear += 1;
                continue;
            }
        };
        one += 1;
        let served = in_force(fleet, fleet.vms.len(), winner.0, Instant::now()).await;
        let stands = fleet.operators.config(b).await;
        let stands =
            stands.is_ok_and(|s| s.is_some_and(|(_, text)| text.trim() == winner.1.trim()));
        lost += usize::from(!stands || served.is_none());
    }
    format!("{pairs},{one},{both},{none},{unclear},{lost}")
}

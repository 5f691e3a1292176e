//! Measures the cost of the control plane in the steady state: platform calls, CPU time, memory and
//! bytes.

use std::path::Path;
use std::time::Duration;

use super::{Csv, Percentiles, READY_TIMEOUT};
use crate::fleet::{Error, Fleet, Options, Result};
use crate::layout::Layout;
use crate::vm::Process;

/// Time between readiness of the fleet and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc/<pid>/stat`; constant on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time and control bytes of a daemon since it started, and its current resident memory.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    rss_mb: f64,
    control_bytes: f64,
}

/// Measures fleets of the given sizes and numbers of shards for `seconds` each.
///
/// # Errors
///
/// If a fleet does not start, a process exits, or a file cannot be written.
pub async fn run(dir: &Path, sizes: &[usize], shards: &[u32], seconds: u64) -> Result<()> {
    let header = "daemons,shards,seconds,get_per_min,swap_per_min,watch_per_min,lease_per_min,\
                  calls_per_min,cpu_median_percent,cpu_worst_percent,rss_median_mb,rss_worst_mb,\
                  control_median_bytes_s,control_worst_bytes_s";
    let mut csv = Csv::create(dir, "control.csv", header)?;
    for &size in sizes {
        for &shards in shards {
            let line = measure(size, shards, Duration::from_secs(seconds)).await?;
            println!("control: {line}");
            csv.write_line(&line)?;
        }
    }
    Ok(())
}

async fn measure(size: usize, shards: u32, length: Duration) -> Result<String> {
    let options = Options {
        inline_targets: true,
        ..Options::default()
    };
    let mut fleet = Fleet::new(Layout::single_sharded(size, shards), options)?;
    fleet.start(READY_TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (calls, before) = (fleet.platform_stats().await?, read_usages(&fleet).await?);
    tokio::time::sleep(length).await;
    let (calls_after, after) = (fleet.platform_stats().await?, read_usages(&fleet).await?);
    fleet.check_alive()?;
    let seconds = length.as_secs_f64();
    let rate = |field: fn(&Usage) -> f64| {
        let pairs = before.iter().zip(&after);
        Percentiles::from_values(
            pairs
                .map(|(b, a)| (field(a) - field(b)) / seconds)
                .collect(),
        )
    };
    let (cpu, bytes) = (rate(|u| u.cpu_s * 100.0), rate(|u| u.control_bytes));
    let rss = Percentiles::from_values(after.iter().map(|u| u.rss_mb).collect());
    let per_min = |before: u64, after: u64| (after - before) as f64 * 60.0 / seconds;
    fleet.remove_dir();
    Ok(format!(
        "{size},{shards},{seconds:.0},{:.0},{:.0},{:.0},{:.0},{:.0},{:.2},{:.2},{:.1},{:.1},{:.0},{:.0}",
        per_min(calls.get, calls_after.get),
        per_min(calls.swap, calls_after.swap),
        per_min(calls.watch, calls_after.watch),
        per_min(calls.lease, calls_after.lease),
        per_min(calls.total_calls(), calls_after.total_calls()),
        cpu.median,
        cpu.max,
        rss.median,
        rss.max,
        bytes.median,
        bytes.max,
    ))
}

async fn read_usages(fleet: &Fleet) -> Result<Vec<Usage>> {
    let mut usages = Vec::new();
    for vm in &fleet.vms {
        let pid = vm.pid(Process::Daemon).unwrap_or(0);
        let metrics = fleet
            .operator_client
            .read(vm.operator_address(), "/metrics")
            .await?;
        let mut usage = process_usage(pid).map_err(|e| Error::Io(vm.name.clone(), e))?;
        usage.control_bytes = control_bytes(&metrics.text());
        usages.push(usage);
    }
    Ok(usages)
}

fn process_usage(pid: u32) -> std::io::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name is in parentheses and may contain spaces, so fields are counted after it.
    // Those at index 11 and 12 are the times in user and kernel mode.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let rss_kb = rss.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    Ok(Usage {
        cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        rss_mb: rss_kb.unwrap_or(0.0) / 1_024.0,
        control_bytes: 0.0,
    })
}

/// Returns the sum of the control metrics: bytes read from and written to control connections.
fn control_bytes(metrics: &str) -> f64 {
    let is_control_counter =
        |line: &&str| line.starts_with("masticdeal_control_") && !line.starts_with('#');
    let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
    metrics
        .lines()
        .filter(is_control_counter)
        .filter_map(value)
        .sum()
}

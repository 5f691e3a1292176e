//! Open-loop load tool: sends a mix of requests and summarises their outcomes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use masticdeal_bench::load::{LoadPlan, MixEntry, Summary, run};
use masticdeal_bench::records::RecordWriter;

/// Open-loop load tool.
#[derive(argh::FromArgs)]
struct Args {
    /// callers port of a daemon; may be repeated
    #[argh(option)]
    daemon: Vec<SocketAddr>,
    /// send straight to a target, as service=ip:port; may be repeated
    #[argh(option)]
    direct: Vec<String>,
    /// services as name=weight or name=weight=POST, separated by commas
    #[argh(option)]
    mix: String,
    /// requests per second (default 200)
    #[argh(option, default = "200.0")]
    rate: f64,
    /// length of the run in seconds (default 5)
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// factor on the rate during the surge (default 1)
    #[argh(option, default = "1.0")]
    surge: f64,
    /// start of the surge in seconds (default 0)
    #[argh(option, default = "0.0")]
    surge_from: f64,
    /// end of the surge in seconds (default 0)
    #[argh(option, default = "0.0")]
    surge_to: f64,
    /// keys per service (default 100000)
    #[argh(option, default = "100_000")]
    keys: u64,
    /// share of requests to the 18 hot keys (default 0.3)
    #[argh(option, default = "0.3")]
    hot_share: f64,
    /// seconds after which other keys are hot (default 60)
    #[argh(option, default = "60.0")]
    hot_seconds: f64,
    /// share of long requests (default 0)
    #[argh(option, default = "0.0")]
    long_share: f64,
    /// service time of long requests in milliseconds (default 200)
    #[argh(option, default = "200")]
    long_ms: u64,
    /// length of long answers in bytes (default 100000)
    #[argh(option, default = "100_000")]
    long_bytes: usize,
    /// service time of short requests in milliseconds (default: the target's)
    #[argh(option)]
    work_ms: Option<u64>,
    /// deadline of short requests in milliseconds (default 2000)
    #[argh(option, default = "2_000")]
    deadline_ms: u64,
    /// deadline of long requests in milliseconds (default 60000)
    #[argh(option, default = "60_000")]
    long_deadline_ms: u64,
    /// requests in progress at once (default 256)
    #[argh(option, default = "256")]
    connections: usize,
    /// seed of arrivals and keys (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// file for one JSON line per request
    #[argh(option)]
    requests: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Args = argh::from_env();
    let duration = Duration::from_secs_f64(args.seconds);
    let surge = (args.surge_from, args.surge_to);
    let plan = LoadPlan {
        services: parse_mix(&args)?,
        rate: args.rate,
        surge: args.surge,
        surge_window: (
            Duration::from_secs_f64(surge.0),
            Duration::from_secs_f64(surge.1),
        ),
        duration,
        keys: args.keys,
        hot_share: args.hot_share,
        hot_key_period: Duration::from_secs_f64(args.hot_seconds),
        long_share: args.long_share,
        long_service_time: Duration::from_millis(args.long_ms),
        long_response_bytes: args.long_bytes,
        short_service_time: args.work_ms.map(Duration::from_millis),
        deadline: Duration::from_millis(args.deadline_ms),
        long_deadline: Duration::from_millis(args.long_deadline_ms),
        max_in_flight: args.connections,
        seed: args.seed,
        id_prefix: format!("c{}", args.seed),
    };
    let outcomes = run(plan, Arc::default()).await;
    if let Some(path) = &args.requests {
        let writer = RecordWriter::open(path)?;
        outcomes.iter().for_each(|o| writer.write(o));
    }
    let summary = Summary::from_outcomes(&outcomes, duration);
    println!("{}", serde_json::to_string_pretty(&summary)?);
    Ok(())
}

fn parse_mix(args: &Args) -> Result<Vec<MixEntry>, Box<dyn std::error::Error>> {
    args.mix
        .split(',')
        .map(|text| parse_mix_entry(args, text))
        .collect()
}

fn parse_mix_entry(args: &Args, text: &str) -> Result<MixEntry, Box<dyn std::error::Error>> {
    let mut parts = text.split('=');
    let name = parts.next().unwrap_or("").to_owned();
    let weight = parts.next().ok_or("a service of the mix has no weight")?;
    let method: Method = parts.next().unwrap_or("GET").parse()?;
    let prefix = format!("{name}=");
    let direct = args.direct.iter().filter_map(|d| d.strip_prefix(&prefix));
    let direct: Vec<SocketAddr> = direct.map(str::parse).collect::<Result<_, _>>()?;
    let addresses = match args.direct.is_empty() {
        true => args.daemon.clone(),
        false => direct,
    };
    if addresses.is_empty() {
        return Err(format!("service {name} has no address").into());
    }
    Ok(MixEntry {
        name,
        weight: weight.parse()?,
        method,
        addresses,
    })
}

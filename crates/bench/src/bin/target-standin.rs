//! Stand-in for a target.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticdeal_bench::target::{Settings, serve};

/// Test substitute for a target.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name in records and answers
    #[argh(option)]
    name: String,
    /// name of the service
    #[argh(option)]
    service: String,
    /// announce port of the daemon
    #[argh(option)]
    announce: Option<SocketAddr>,
    /// requests that run at once (default 6)
    #[argh(option, default = "6")]
    slots: u16,
    /// requests that wait for a slot (default 12)
    #[argh(option, default = "12")]
    queue: usize,
    /// connections at once (default 130)
    #[argh(option, default = "130")]
    connections: usize,
    /// factor on the service time (default 1)
    #[argh(option, default = "1.0")]
    speed: f64,
    /// time after the start in which requests take longer, in milliseconds (default 0)
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// factor on the service time while cold (default 4)
    #[argh(option, default = "4.0")]
    cold_factor: f64,
    /// service time of a request that names none, in microseconds (default 2000)
    #[argh(option, default = "2000")]
    work_us: u64,
    /// refuse requests without a current grant
    #[argh(switch)]
    checks_grants: bool,
    /// always report no load
    #[argh(switch)]
    lies: bool,
    /// file to append records to
    #[argh(option)]
    record: Option<PathBuf>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let listener = tokio::net::TcpListener::bind(args.listen).await?;
    let settings = Settings {
        name: args.name,
        service: args.service,
        announce: args.announce,
        slots: args.slots,
        queue: args.queue,
        connections: args.connections,
        service_time_factor: args.speed,
        cold_period: Duration::from_millis(args.cold_ms),
        cold_factor: args.cold_factor,
        default_service_time: Duration::from_micros(args.work_us),
        checks_grants: args.checks_grants,
        reports_idle: args.lies,
        record: args.record,
        ..Settings::default()
    };
    serve(listener, settings).await
}

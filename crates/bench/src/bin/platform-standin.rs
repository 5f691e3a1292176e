//! Stand-in for the platform store.

use std::net::SocketAddr;

/// Test substitute for the platform's key-value service.
#[derive(argh::FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// seed of the faults (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let listener = tokio::net::TcpListener::bind(args.listen).await?;
    masticdeal_bench::platform::serve(listener, args.seed).await;
    Ok(())
}

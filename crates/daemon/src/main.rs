//! Binary of the masticdeal daemon, which runs beside each target.

use std::process::ExitCode;

use argh::FromArgs;
use masticdeald::protocol::Protocol;

/// Routes requests to the servers that own their keys. One daemon runs beside each target.
#[derive(FromArgs)]
struct Args {
    /// INI file with the settings
    #[argh(option)]
    config: String,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    masticdeald::run::start(&args.config, args.check, Protocol::default())
}

//! The masticdeal daemon: one process beside each target.

use std::process::ExitCode;

use argh::FromArgs;
use masticdeal_config::settings::Settings;
use masticdeald::dialect::Dialect;

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
    let settings = match Settings::read(&args.config) {
        Ok(settings) => settings,
        Err(message) => {
            eprint!("{message}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.config);
        return ExitCode::SUCCESS;
    }
    match masticdeald::run::run(settings, Dialect::default(), &args.config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("masticdeald: {e}");
            ExitCode::FAILURE
        }
    }
}

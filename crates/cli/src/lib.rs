//! Command-line tool of masticdeal, as a library for the binary and for tests.
//!
//! - [`args`]: options, subcommands, and sentences given as words.
//! - [`client`]: HTTP requests to the operator ports of the daemons, with failover.
//! - [`ask`]: questions and commands.
//! - [`change`]: configuration changes, conflicts, and retries after lost responses.
//! - [`apply`]: the subcommand for configuration changes.
//! - [`preview`]: effects of a configuration change.
//! - [`rollout`]: waits until a configuration is in force on all daemons.
//! - [`show`]: the configuration in force, and checks of files.
//! - [`watch`]: live view of load and decisions.
//!
//! Invariant: a change that the tool reports as accepted is in the history of the configuration. A
//! change that it reports as rejected or in conflict is not. If the outcome is unknown, the tool
//! reports that.

pub mod apply;
pub mod args;
pub mod ask;
pub mod change;
pub mod client;
pub mod error;
pub mod files;
pub mod preview;
pub mod rollout;
pub mod show;
pub mod watch;

use args::{Cli, Command};
use client::Client;
pub use error::{Error, Exit, Result};

/// Runs the tool and prints answers and errors. `args` excludes the program name.
pub fn run(args: &[String]) -> Exit {
    let cli = match args::parse(args) {
        Ok(cli) => cli,
        Err(exit) => return exit.print(),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return Error::Usage(format!("cannot start: {e}")).print(),
    };
    match runtime.block_on(run_command(&cli)) {
        Ok(exit) => exit,
        Err(error) => error.print(),
    }
}

async fn run_command(cli: &Cli) -> Result<Exit> {
    if let Command::Check(check) = &cli.command {
        return show::check(cli, check);
    }
    let client = Client::new(cli.connection()?);
    match &cli.command {
        Command::Ask(ask) => ask::run(cli, &client, ask).await,
        Command::Apply(apply) => apply::run(cli, &client, apply).await,
        Command::Config(_) => show::config(cli, &client).await,
        Command::Watch(watch) => watch::run(cli, &client, watch).await,
        Command::Check(_) => Ok(Exit::Ok),
    }
}

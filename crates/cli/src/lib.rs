//! Command-line tool of masticdeal, as a library for the binary and for tests.
//!
//! - [`args`]: options, subcommands, and sentences in restricted English.
//! - [`client`]: HTTP requests to the operator ports of the daemons, with failover.
//! - [`ask`]: subcommand `ask`, for questions and operator commands.
//! - [`change`]: validates and sends a configuration change; detects conflicts, and finds out the
//!   outcome after a lost response.
//! - [`apply`]: subcommand `apply`, which previews, confirms and commits a configuration change.
//! - [`preview`]: text on the effects of a configuration change.
//! - [`rollout`]: waits until all daemons have installed a configuration.
//! - [`show`]: subcommands `config` and `check`, for the current configuration and for files.
//! - [`watch`]: subcommand `watch`, a live view of load and decisions.
//! - [`files`]: local files and environment variables of the operator.
//! - [`error`]: errors and exit codes.
//!
//! Invariant: a change that the tool reports as accepted was stored, and a change that it reports
//! as rejected or in conflict was not. If the outcome is unknown, the tool reports that.

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
        Err(early_exit) => return early_exit.print(),
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
        return show::check_file(cli, check);
    }
    let client = Client::new(cli.connection()?);
    match &cli.command {
        Command::Ask(ask) => ask::run(cli, &client, ask).await,
        Command::Apply(apply) => apply::run(cli, &client, apply).await,
        Command::Config(_) => show::print_config(cli, &client).await,
        Command::Watch(watch) => watch::run(cli, &client, watch).await,
        // Unreachable: handled above, since `check` needs no client.
        Command::Check(_) => Ok(Exit::Ok),
    }
}

//! The command-line tool as a library: the binary passes its arguments, the tests call the parts.
//!
//! - [`args`]: options, subcommands, and sentences given as words.
//! - [`client`]: HTTP to the daemons' operators ports, one after the other.
//! - [`ask`]: questions and commands.
//! - [`change`]: changes of the configuration, conflicts and lost answers.
//! - [`apply`]: the subcommand around them, with preview and wait.
//! - [`show`]: the configuration in force, checks of files, and the live view.
//!
//! Invariant: a change that the tool reports as accepted is in the configuration's history, and
//! one that it reports as refused or in conflict is not. When neither is known, it says so.

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

/// Runs the tool with the arguments after its name, and prints answers and errors.
pub fn run(args: &[String]) -> Exit {
    let cli = match args::parse(args) {
        Ok(cli) => cli,
        Err(stop) => return stop.print(),
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

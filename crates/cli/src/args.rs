//! Command-line arguments: options, subcommands, and sentences in restricted English.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use masticdeal_language::closest_match;

use crate::client::Connection;
use crate::error::{Error, Exit, Result};
use crate::files;

/// Address of the operator port if neither option nor environment sets one.
const DEFAULT_DAEMON: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7002);

/// Delay before a change with unknown outcome is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const SUBCOMMANDS: [&str; 5] = ["ask", "apply", "config", "check", "watch"];
/// First words of sentences, which need no subcommand.
const SENTENCE_STARTS: [&str; 12] = [
    "who", "what", "why", "show", "list", "drain", "return", "evacuate", "readmit", "move", "set",
    "confirm",
];
/// Global options with a value.
const VALUE_OPTIONS: [&str; 5] = [
    "--daemon",
    "--secret-file",
    "--author",
    "--timeout-ms",
    "--subject-file",
];
/// Global options without a value.
const SWITCHES: [&str; 1] = ["--json"];

/// Asks and commands the daemons of masticdeal. A sentence can stand alone:
/// masticdeal who owns search key 4711
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} who owns search key 4711",
    example = "{command_name} --daemon 10.0.0.1:7002 --daemon 10.0.0.2:7002 show load",
    example = "{command_name} config > kocaeli.ini",
    example = "{command_name} apply kocaeli.ini",
    note = "Environment: MASTICDEAL_DAEMON (addresses, separated by commas), \
            MASTICDEAL_SECRET_FILE, MASTICDEAL_AUTHOR.",
    error_code(1, "Refused, faulty, or no such thing; nothing changed."),
    error_code(2, "Arguments or sentence not understood."),
    error_code(3, "Another operator's change came first; nothing changed."),
    error_code(4, "No daemon answered, or the outcome of a change is not known.")
)]
pub struct Cli {
    /// operators port of a daemon as ip:port; may be given several times, and the next one is
    /// asked when one does not answer
    #[argh(option)]
    pub daemon: Vec<SocketAddr>,

    /// file with the operators' secret
    #[argh(option)]
    pub secret_file: Option<PathBuf>,

    /// who asks, for the record of changes; default: the user name
    #[argh(option)]
    pub author: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// longest wait for one answer, in milliseconds (default 3000)
    #[argh(option, default = "3000")]
    pub timeout_ms: u64,

    /// file that keeps what "it" refers to between two questions; default: .masticdeal-subject in
    /// the home directory
    #[argh(option)]
    pub subject_file: Option<PathBuf>,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Questions and commands.
    Ask(Ask),
    /// Changes of the configuration.
    Apply(Apply),
    /// Prints the configuration.
    Config(ShowConfig),
    /// Checks a file.
    Check(Check),
    /// Live view.
    Watch(Watch),
}

/// Asks or commands in one sentence; without a sentence, reads lines from the standard input.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "ask",
    example = "{command_name} \"who owns search key 4711\"",
    example = "{command_name} why does vm-3 own it",
    example = "{command_name} help"
)]
pub struct Ask {
    /// the sentence, as one argument or as words
    #[argh(positional, greedy)]
    pub words: Vec<String>,
}

/// Replaces the configuration by a file: shows what changes, asks, writes, and waits until the
/// change is in force. A first line "; masticdeal revision N", as "config" prints it, names the
/// revision that the file was made from; a later change by another operator is then a conflict.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} kocaeli.ini --preview",
    example = "{command_name} kocaeli.ini --yes --wait-ms 20000"
)]
pub struct Apply {
    /// file with the whole new configuration
    #[argh(positional)]
    pub file: PathBuf,

    /// write without asking
    #[argh(switch)]
    pub yes: bool,

    /// only show what would change
    #[argh(switch)]
    pub preview: bool,

    /// revision that the file was made from, instead of the one in its first line
    #[argh(option)]
    pub if_revision: Option<u64>,

    /// repeat an attempt whose outcome is not known, under the change id that it printed
    #[argh(option)]
    pub change_id: Option<u64>,

    /// longest wait until the change is in force everywhere, in milliseconds (default 14000)
    #[argh(option, default = "14_000")]
    pub wait_ms: u64,
}

/// Prints the configuration, with its revision and author in the first line.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config", example = "{command_name} > kocaeli.ini")]
pub struct ShowConfig {}

/// Checks a configuration or a daemon's settings without asking a daemon, and names every fault.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} kocaeli.ini",
    example = "{command_name} daemon.ini --kind settings"
)]
pub struct Check {
    /// the file
    #[argh(positional)]
    pub file: PathBuf,

    /// settings or deployment; default: what the sections of the file look like
    #[argh(option)]
    pub kind: Option<FileKind>,
}

/// Contents of a file for [`Check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a daemon.
    Settings,
    /// Deployment configuration.
    Deployment,
}

impl std::str::FromStr for FileKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "settings" => Ok(Self::Settings),
            "deployment" => Ok(Self::Deployment),
            other => {
                let closest = closest_match(other, ["settings", "deployment"]);
                let hint = closest
                    .map(|n| format!("; did you mean `{n}`?"))
                    .unwrap_or_default();
                Err(format!("expected settings or deployment{hint}"))
            }
        }
    }
}

/// Prints the load of the targets and new decisions, again and again, as plain lines.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "watch",
    example = "{command_name}",
    example = "{command_name} search --interval-ms 500 --count 20"
)]
pub struct Watch {
    /// only the targets of this service
    #[argh(positional)]
    pub service: Option<String>,

    /// time between two refreshes in milliseconds, at least 200 (default 1000)
    #[argh(option, default = "1_000")]
    pub interval_ms: u64,

    /// number of refreshes, at most 86400 (default 3600)
    #[argh(option, default = "3_600")]
    pub count: u32,
}

/// Text and exit code if the arguments contain no command to run: help or a usage error.
#[derive(Debug)]
pub struct ParseExit {
    /// Text to print.
    pub text: String,
    /// Exit code; [`Exit::Ok`] for help.
    pub exit: Exit,
}

impl ParseExit {
    /// Prints help to the standard output and errors to the standard error. Returns the exit code.
    pub fn print(&self) -> Exit {
        match self.exit {
            Exit::Ok => println!("{}", self.text.trim_end()),
            _ => eprintln!("masticdeal: {}", self.text.trim_end()),
        }
        self.exit
    }
}

/// Parses the arguments. `args` excludes the program name.
///
/// # Errors
///
/// A [`ParseExit`] with the help text or an error message.
pub fn parse(args: &[String]) -> Result<Cli, ParseExit> {
    let (mut hoisted, mut rest) = hoist_global_options(args);
    let is_sentence = match rest.first().map(String::as_str) {
        None => {
            hoisted.push("--help".into());
            false
        }
        Some("ask") => {
            hoisted.push(rest.remove(0));
            true
        }
        Some(first) if is_subcommand_or_option(first) => false,
        Some(first) if first.contains(char::is_whitespace) || starts_sentence(first) => {
            hoisted.push("ask".into());
            true
        }
        Some(first) => return Err(unknown_subcommand(first)),
    };
    // Otherwise argh would interpret words of the sentence, such as `help`.
    if is_sentence && rest.first().is_some_and(|word| !word.starts_with('-')) {
        hoisted.push("--".into());
    }
    hoisted.extend(rest);
    let words: Vec<&str> = hoisted.iter().map(String::as_str).collect();
    Cli::from_args(&["masticdeal"], &words).map_err(|early_exit| ParseExit {
        text: early_exit.output,
        exit: if early_exit.status.is_ok() {
            Exit::Ok
        } else {
            Exit::Usage
        },
    })
}

fn is_subcommand_or_option(word: &str) -> bool {
    SUBCOMMANDS.contains(&word) || word == "help" || word.starts_with('-')
}

fn starts_sentence(word: &str) -> bool {
    word.eq_ignore_ascii_case("please")
        || SENTENCE_STARTS.iter().any(|v| word.eq_ignore_ascii_case(v))
}

fn unknown_subcommand(word: &str) -> ParseExit {
    let closest = closest_match(word, SUBCOMMANDS.into_iter().chain(SENTENCE_STARTS));
    let hint = closest
        .map(|n| format!(" Did you mean `{n}`?"))
        .unwrap_or_default();
    let text = format!(
        "`{word}` is neither a subcommand nor the start of a sentence.{hint}\nSubcommands: {}. \
         Sentences start with: {}.",
        SUBCOMMANDS.join(", "),
        SENTENCE_STARTS.join(", ")
    );
    ParseExit {
        text,
        exit: Exit::Usage,
    }
}

/// Separates the global options, at any position before `--`, from the other arguments. Returns
/// both, without the `--`.
fn hoist_global_options(args: &[String]) -> (Vec<String>, Vec<String>) {
    let (mut options, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter().cloned();
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or_default();
        if arg == "--" {
            rest.extend(args.by_ref());
        } else if VALUE_OPTIONS.contains(&arg.as_str()) {
            options.push(arg);
            options.extend(args.next());
        } else if VALUE_OPTIONS.contains(&name) {
            let (name, value) = arg.split_once('=').unwrap_or((&arg, ""));
            options.extend([name.into(), value.into()]);
        } else if SWITCHES.contains(&arg.as_str()) {
            options.push(arg);
        } else {
            rest.push(arg);
        }
    }
    (options, rest)
}

impl Ask {
    /// Returns the sentence, or `None` if there are no words. If it was given as several
    /// arguments, those with spaces are quoted again, since the shell removed the quotes.
    pub fn sentence(&self) -> Option<String> {
        let quote = |word: &String| match word.contains(char::is_whitespace) {
            true => format!("\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\"")),
            false => word.clone(),
        };
        match self.words.as_slice() {
            [] => None,
            [one] => Some(one.clone()),
            words => Some(words.iter().map(quote).collect::<Vec<_>>().join(" ")),
        }
    }
}

impl Cli {
    /// Returns the parameters of the connections to the daemons.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] and [`Error::File`] for invalid options, environment variables and secrets.
    pub fn connection(&self) -> Result<Connection> {
        if !(1..=600_000).contains(&self.timeout_ms) {
            return Err(Error::Usage("--timeout-ms: expected 1 to 600000".into()));
        }
        Ok(Connection {
            daemons: self.daemons()?,
            secret: files::secret(self.secret_file.as_deref())?,
            timeout: Duration::from_millis(self.timeout_ms),
            retry_delay: RETRY_DELAY,
        })
    }

    fn daemons(&self) -> Result<Vec<SocketAddr>> {
        if !self.daemon.is_empty() {
            return Ok(self.daemon.clone());
        }
        let Some(addresses) = files::env("MASTICDEAL_DAEMON") else {
            return Ok(vec![DEFAULT_DAEMON]);
        };
        let parse = |text: &str| {
            let message = format!("MASTICDEAL_DAEMON: `{text}` is not ip:port");
            text.trim().parse().map_err(|_| Error::Usage(message))
        };
        addresses.split(',').map(parse).collect()
    }

    /// Returns the author for the record of changes.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if the name from the option, or else from the environment, is missing or
    /// invalid.
    pub fn author(&self) -> Result<String> {
        let configured = self.author.clone();
        let configured = configured.or_else(|| files::env("MASTICDEAL_AUTHOR"));
        let author = configured
            .or_else(|| files::env("USER"))
            .unwrap_or_default();
        let author = author.trim();
        let valid = !author.is_empty() && author.len() <= 64;
        if !valid || author.chars().any(char::is_control) {
            let message = "who is asking? Give --author NAME of at most 64 bytes";
            return Err(Error::Usage(message.into()));
        }
        Ok(author.into())
    }
}

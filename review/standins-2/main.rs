//! Stand-ins and scenarios of the review cases. No other crate is needed.
//!
//! `scenarios NAME RECORD DIR` runs a scenario with the daemons of `target/release`. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the scenario could not run.

mod body_silence;
mod chunked_body;
mod daemon;
mod drain_window;
mod earlier_life;
mod http;
mod json;
mod proxy;
mod replaced_worker;
mod requester;
mod store;
mod util;
mod worker;

use std::path::Path;
use std::process::ExitCode;

/// Result of a scenario.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record, dir] = &args[..] else {
        eprintln!("usage: scenarios NAME RECORD DIR");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    if util::open_record(record).is_err() {
        return ExitCode::from(2);
    }
    let dir = Path::new(dir).to_owned();
    let name = name.clone();
    let run = std::panic::catch_unwind(move || match name.as_str() {
        "body-silence" => body_silence::run(&dir, trouble),
        "chunked-body" => chunked_body::run(&dir, trouble),
        "replaced-worker" => replaced_worker::run(&dir, trouble),
        "earlier-life" => earlier_life::run(&dir, trouble),
        "drain-window" => drain_window::run(&dir, trouble),
        _ => Verdict::CouldNotRun,
    });
    match run {
        Ok(Verdict::Held) => {
            util::record("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            util::record("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::CouldNotRun) | Err(_) => {
            util::record("the scenario could not run");
            ExitCode::from(2)
        }
    }
}

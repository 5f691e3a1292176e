//! Starts a complete deployment on loopback, sends requests and operators' questions, and checks
//! the records of callers and targets.

use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::time::Duration;

use masticdeal_bench::check::{Violation, check};
use masticdeal_bench::fleet::{Error, Fleet, Options, binary_path, termination_requested};
use masticdeal_bench::layout::Layout;
use masticdeal_bench::load::{LoadPlan, Summary, run};

/// Maximum wait for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves requests on a whole deployment on loopback.
#[derive(argh::FromArgs)]
struct Args {
    /// kocaeli or hanoi (default kocaeli)
    #[argh(option, default = "\"kocaeli\".into()")]
    deployment: String,
    /// requests per second (default 200)
    #[argh(option, default = "200.0")]
    rate: f64,
    /// length of the load in seconds (default 5)
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let Some(layout) = Layout::by_name(&args.deployment) else {
        eprintln!("demo: unknown deployment {}", args.deployment);
        return ExitCode::FAILURE;
    };
    let result = tokio::select! {
        result = demo(&args, layout) => result,
        () = termination_requested() => Ok(false),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn demo(args: &Args, layout: Layout) -> Result<bool, Error> {
    let mut fleet = Fleet::new(layout, Options::default())?;
    println!(
        "demo: settings, logs and records in {}",
        fleet.dir.display()
    );
    fleet.start(READY_TIMEOUT).await?;
    println!("demo: {} daemons ready", fleet.vms.len());
    let plan = LoadPlan {
        services: fleet.mix(),
        rate: args.rate,
        duration: Duration::from_secs_f64(args.seconds),
        seed: args.seed,
        ..LoadPlan::default()
    };
    let outcomes = run(plan.clone(), Arc::default()).await;
    let summary = Summary::from_outcomes(&outcomes, plan.duration);
    for (seen, count) in &summary.seen {
        println!("demo: {count} {seen}");
    }
    for (group, l) in &summary.latency_us {
        println!("demo: {group}: p50 {} us, p99 {} us", l.p50, l.p99);
    }
    let all_answered = ask_questions(&fleet);
    fleet.check_alive()?;
    let report = check(&fleet.events()?, &outcomes);
    for violation in &report.violations {
        println!("demo: {violation}");
    }
    let lost = report.count(|v| matches!(v, Violation::MissingEnd { .. }));
    let doubled = report.count(|v| matches!(v, Violation::RepeatedExecution { .. }));
    println!(
        "demo: sent {}, answered {}, lost {lost}, doubled {doubled}",
        report.due, report.answered
    );
    let passed = all_answered && report.violations.is_empty() && report.due == report.answered;
    if passed {
        fleet.remove_dir();
    }
    Ok(passed && report.due > 0)
}

/// Asks three questions through the command-line tool and prints the answers. Returns whether all
/// were answered.
fn ask_questions(fleet: &Fleet) -> bool {
    let sharded = &fleet.layout.services[0].name;
    let questions = [
        format!("who owns {sharded} key 4711"),
        format!("why does vm-1 own {sharded} key 4711"),
        "show load".to_owned(),
    ];
    let mut all_answered = true;
    for question in &questions {
        let answer = Command::new(binary_path("masticdeal"))
            .args(["--daemon", &fleet.vms[0].operator_address().to_string()])
            .arg("--secret-file")
            .arg(fleet.secret_file())
            .args(["ask", question])
            .output();
        let (passed, text) = match &answer {
            Ok(out) if out.status.success() && !out.stdout.is_empty() => (true, &out.stdout),
            Ok(out) => (false, &out.stderr),
            Err(_) => (false, &Vec::new()),
        };
        println!("demo: {question}? {}", String::from_utf8_lossy(text).trim());
        all_answered &= passed;
    }
    all_answered
}

//! Tests of the tool's binary, run against a fake operator port.

mod fake_daemon;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use fake_daemon::{Accepted, Fault, KOCAELI, SharedStore};
use googletest::prelude::*;

/// Creates a working directory for one test, which contains the secret.
fn create_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("secret"), fake_daemon::SECRET).unwrap();
    path
}

/// Output and exit code of one run.
struct Run {
    exit: i32,
    out: String,
    err: String,
}

fn run(directory: &PathBuf, daemons: &[SocketAddr], args: &[&str]) -> Run {
    let listed: Vec<String> = daemons.iter().map(ToString::to_string).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_masticdeal"))
        .args(args)
        .current_dir(directory)
        .env_clear()
        .env("HOME", directory)
        .env("MASTICDEAL_DAEMON", listed.join(","))
        .env("MASTICDEAL_SECRET_FILE", "secret")
        .env("MASTICDEAL_AUTHOR", "Ömer")
        .output()
        .unwrap();
    Run {
        exit: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Arguments, the expected exit code, and a part of the expected output or error output.
struct Case {
    args: &'static [&'static str],
    exit: i32,
    output_part: &'static str,
}

const fn case(args: &'static [&'static str], exit: i32, output_part: &'static str) -> Case {
    Case {
        args,
        exit,
        output_part,
    }
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case(&["who", "owns", "search", "key", "4711"], 0, "vm-3 owns it."),
    case(&["ask", "WHO owns search key 4711?"], 0, "vm-3 owns it."),
    case(&["who owns search key 4711", "--timeout-ms", "30000"], 0, "vm-3 owns it."),
    case(&["who", "owns", "search", "key", "a b"], 0, "vm-4 owns it."),
    case(&["drain", "vm-9"], 1, "no answer to drain vm-9"),
    case(&["who", "ows", "search", "key", "1"], 2, "column 5: `ows` is not understood; did you mean `owns`?"),
    case(&["--author", "ask", "config"], 0, "revision 1"),
    case(&["ask", "help"], 0, "move SERVICE key KEY"),
    case(&["aply", "x"], 2, "Did you mean `apply`?"),
    case(&["dran", "vm-3"], 2, "Did you mean `drain`?"),
    case(&["apply"], 2, "file"),
    case(&[], 0, "Usage: masticdeal"),
    case(&["--help"], 0, "who owns search key 4711"),
    case(&["apply", "--help"], 0, "--preview"),
    case(&["show", "load", "--timeout-ms", "0"], 2, "expected 1 to 600000"),
    case(&["show", "load", "--daemon", "nowhere"], 2, "nowhere"),
    case(&["show", "load", "--secret-file", "absent"], 2, "absent: "),
    case(&["show", "load", "--secret-file", "short"], 2, "at least 16"),
    case(&["show", "load", "--secret-file", "wrong"], 1, "does not accept the secret"),
    case(&["show", "load", "--daemon", "127.0.0.1:1"], 4, "no daemon answers: 127.0.0.1:1: "),
    case(&["watch", "--interval-ms", "1"], 2, "--interval-ms 200"),
    case(&["config"], 0, "; masticdeal revision 1 by Ayşe, 2026-05-28 20:26:40 UTC\n; Municipal"),
    case(&["config", "--json"], 0, "\"author\":\"Ayşe\""),
    case(&["check", "good.ini"], 0, "good.ini: valid deployment configuration"),
    case(&["check", "bad.ini"], 1, "bad.ini:5: [service search] shards: `200` is not valid: expected a power of two"),
    case(&["check", "bad.ini", "--json"], 1, "\"key\":\"shards\""),
    case(&["check", "daemon.ini"], 0, "valid settings"),
    case(&["check", "daemon.ini", "--kind", "deploy"], 2, "settings or deployment"),
    case(&["check", "absent.ini"], 2, "absent.ini: "),
    case(&["apply", "good.ini"], 0, "nothing to change"),
    case(&["apply", "bad.ini", "--yes"], 1, "power of two"),
    case(&["apply", "reshard.ini", "--yes"], 1, "keys would change shard"),
    case(&["apply", "changed.ini", "--preview"], 0, "  search.deadline_ms: 2000 -> 900; nothing moves"),
    case(&["apply", "changed.ini"], 2, "repeat with --yes"),
    case(&["apply", "changed.ini", "--preview", "--json"], 0, "{\"outcome\":\"preview\",\"if_revision\":1,"),
];

fn changed_text() -> String {
    KOCAELI.replace("deadline_ms = 2000", "deadline_ms = 900")
}

fn write_files(directory: &std::path::Path) {
    let write = |name: &str, text: &str| std::fs::write(directory.join(name), text).unwrap();
    write("good.ini", KOCAELI);
    write("bad.ini", &KOCAELI.replace("shards = 256", "shards = 200"));
    write(
        "reshard.ini",
        &KOCAELI.replace("shards = 256", "shards = 512"),
    );
    write("changed.ini", &changed_text());
    write("daemon.ini", include_str!("../../../examples/daemon.ini"));
    write("short", "abc");
    write("wrong", "some-other-secret-here");
}

fn set_answer(store: &SharedStore, line: &str, status: u16, text: &str) {
    store
        .lock()
        .unwrap()
        .answers
        .insert(line.into(), (status, text.into()));
}

/// Guards against wrong exit codes and messages, unintended changes, and a printed secret.
#[gtest]
fn each_command_line_has_the_expected_exit_code_and_output() {
    let directory = create_directory("cases");
    write_files(&directory);
    let store = fake_daemon::store();
    set_answer(&store, "who owns search key 4711", 200, "vm-3 owns it.\n");
    set_answer(
        &store,
        "who owns search key \"a b\"",
        200,
        "vm-4 owns it.\n",
    );
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    for case in CASES {
        let run = run(&directory, &[daemon], case.args);
        expect_that!(run.exit, eq(case.exit), "{:?}: {}", case.args, run.err);
        let printed = format!("{}{}", run.out, run.err);
        expect_that!(
            printed,
            contains_substring(case.output_part),
            "{:?}",
            case.args
        );
        expect_that!(printed, not(contains_substring(fake_daemon::SECRET)));
    }
    expect_that!(
        store.lock().unwrap().history,
        len(eq(1)),
        "a case changed the configuration"
    );
}

/// Guards against a subject of "it" that is lost between two runs of the tool.
#[gtest]
fn subject_is_kept_between_runs() {
    let directory = create_directory("subject");
    let store = fake_daemon::store();
    set_answer(&store, "why does vm-3 own it", 200, "Because.");
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    for _ in 0..2 {
        run(&directory, &[daemon], &["why", "does", "vm-3", "own", "it"]);
    }
    let subjects = store.lock().unwrap().subjects.clone();
    expect_that!(
        subjects,
        eq(&vec![None, Some("search key 4711".to_owned())])
    );
}

/// Guards against a tool that fails if it cannot connect to one daemon although another responds.
#[gtest]
fn next_daemon_is_tried_after_a_connect_failure() {
    let directory = create_directory("next");
    let store = fake_daemon::store();
    set_answer(&store, "show load", 200, "Fine.");
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let run = run(&directory, &[closed, daemon], &["show", "load"]);
    expect_that!(run.out, eq("Fine.\n"));
}

/// Guards against a command that is sent to another daemon although the first may have executed it.
#[gtest]
fn command_with_unknown_outcome_is_not_repeated() {
    let directory = create_directory("silent");
    let store = fake_daemon::store();
    set_answer(&store, "show load", 200, "Fine.");
    set_answer(&store, "drain vm-3", 200, "Done.");
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let daemons = [silent.local_addr().unwrap(), daemon];
    let drain = run(
        &directory,
        &daemons,
        &["drain", "vm-3", "--timeout-ms", "50"],
    );
    expect_that!(drain.exit, eq(4));
    expect_that!(
        drain.err,
        contains_substring("before you repeat `drain vm-3`")
    );
    let question = run(
        &directory,
        &daemons,
        &["show", "load", "--timeout-ms", "1000"],
    );
    expect_that!(question.out, eq("Fine.\n"));
}

/// Guards against reporting a change as installed on all daemons too early, or as failed because
/// its first response was lost.
#[gtest]
fn apply_waits_until_the_change_is_in_force() {
    let directory = create_directory("force");
    write_files(&directory);
    let store = fake_daemon::store();
    {
        let mut store = store.lock().unwrap();
        store.peers = [
            vec![Some(2), Some(1), None],
            vec![Some(2), Some(2), Some(3)],
        ]
        .into();
        store.faults = [Fault::DropResponse].into();
    }
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let run = run(&directory, &[daemon], &["apply", "changed.ini", "--yes"]);
    expect_that!(run.exit, eq(0), "{}", run.err);
    let lines = "accepted as revision 2\nin force on 1 of 3\nin force on 3 of 3\n";
    expect_that!(run.out, ends_with(lines));
    let store = store.lock().unwrap();
    expect_that!(store.history, len(eq(2)));
    expect_that!(store.history[1].author, eq("Ömer"));
    expect_that!(store.history[1].text, eq(&changed_text()));
}

/// Guards against hiding daemons that have an older revision, or report none, at the end of the
/// wait.
#[gtest]
fn outdated_daemons_are_listed() {
    let directory = create_directory("behind");
    write_files(&directory);
    let store = fake_daemon::store();
    store.lock().unwrap().peers = [vec![Some(2), Some(1), None]].into();
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let args = ["apply", "changed.ini", "--yes", "--wait-ms", "400"];
    let run = run(&directory, &[daemon], &args);
    expect_that!(run.exit, eq(0));
    let line = "accepted, but not yet in force on vm-2 in dc-a, vm-3 in dc-a\n";
    expect_that!(run.out, ends_with(line));
}

/// Guards against a file based on an older revision that reverts another operator's change, and
/// against losing the rejected text.
#[gtest]
fn conflict_names_the_other_change_and_saves_the_text() {
    let directory = create_directory("conflict");
    let store = fake_daemon::store();
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let printed = run(&directory, &[daemon], &["config"]).out;
    let edited_text = printed.replace("deadline_ms = 2000", "deadline_ms = 900");
    std::fs::write(directory.join("mine.ini"), &edited_text).unwrap();
    store.lock().unwrap().history.push(Accepted {
        revision: 2,
        author: "Elif".into(),
        change_id: 8,
        text: KOCAELI.replace("max_draining = 1", "max_draining = 2"),
    });
    let conflict = run(&directory, &[daemon], &["apply", "mine.ini", "--yes"]);
    expect_that!(conflict.exit, eq(3));
    let line = "conflict, nothing changed: revision 2 by Elif, 2026-05-28 20:26:40 UTC";
    expect_that!(conflict.err, contains_substring(line));
    expect_that!(
        conflict.err,
        contains_substring("mine.ini.not-in-revision-2")
    );
    let differences =
        "your text to what stands: search.deadline_ms: 900 -> 2000; rules.max_draining: 1 -> 2";
    expect_that!(conflict.err, contains_substring(differences));
    let saved = std::fs::read_to_string(directory.join("mine.ini.not-in-revision-2")).unwrap();
    expect_that!(saved, eq(&edited_text));
    expect_that!(store.lock().unwrap().history, len(eq(2)));
    // A second conflict does not overwrite the saved text.
    let again = run(
        &directory,
        &[daemon],
        &["apply", "mine.ini", "--yes", "--json"],
    );
    expect_that!(
        again.out,
        contains_substring("\"kept\":\"mine.ini.not-in-revision-2-1\"")
    );
}

/// Guards against a live view that repeats decisions already printed.
#[gtest]
fn watch_prints_decisions_and_load() {
    let directory = create_directory("watch");
    let store = fake_daemon::store();
    let load = r#"{"kind":"load","targets":[{"vm":"vm-1","service":"search","running":6,"queued":12,
        "slots":6,"service_us":900,"age_ms":20}]}"#;
    let changes = r#"{"kind":"changes","decisions":[{"time_ms":0,"table_version":3,
        "config_revision":1,"what":"shard 1 of search moved from vm-1 to vm-2","cause":"so"}]}"#;
    set_answer(&store, "show load", 200, load);
    set_answer(&store, "show changes since 1m", 200, changes);
    let (_runtime, daemon) = fake_daemon::serve_in_background(&store);
    let run = run(
        &directory,
        &[daemon],
        &["watch", "--count", "2", "--interval-ms", "200"],
    );
    let expected = "decision 1970-01-01 00:00:00 UTC: shard 1 of search moved from vm-1 to vm-2 \
                    because so\n\
                    load vm-1 search: 6/6 running, 12 waiting, 0.9 ms each\n\
                    load vm-1 search: 6/6 running, 12 waiting, 0.9 ms each\n";
    expect_that!(run.out, eq(expected), "{}", run.err);
}

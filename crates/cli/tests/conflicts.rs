//! Concurrent configuration changes by two operators, with lost requests and responses.

mod fake_daemon;

use std::net::SocketAddr;
use std::time::Duration;

use fake_daemon::{Fault, KOCAELI, SharedStore};
use googletest::prelude::*;
use masticdeal::change::{
    ChangeRequest, CommitOutcome, CurrentConfig, PlannedChange, commit, parse_revision_line,
    prepare,
};
use masticdeal::client::{Client, Connection};
use masticdeal_config::edit;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const PAIRS: usize = 100;
const SEED: u64 = 20_260;

fn client(daemon: SocketAddr) -> Client {
    Client::new(Connection {
        daemons: vec![daemon],
        secret: Some(fake_daemon::SECRET.into()),
        timeout: Duration::from_secs(30),
        retry_delay: Duration::ZERO,
    })
}

/// Returns the configuration with a random new value of one setting. The range of the values
/// excludes those of the example.
fn random_text(rng: &mut StdRng) -> String {
    let settings = [
        ("search", "deadline_ms"),
        ("search", "queue_length"),
        ("documents", "deadline_ms"),
        ("rules", "max_draining"),
    ];
    let (scope, key) = settings[rng.random_range(0..settings.len())];
    let value = rng.random_range(3_000..9_000_u32).to_string();
    edit::set(KOCAELI, scope, key, &value).unwrap().0
}

fn random_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..6) {
        0 => Fault::DropRequest,
        1 => Fault::DropResponse,
        2 => Fault::Unavailable,
        _ => Fault::None,
    }
}

async fn prepare_random(client: &Client, author: &str, rng: &mut StdRng) -> PlannedChange {
    let text = random_text(rng);
    let request = ChangeRequest {
        text: &text,
        if_revision: None,
        change_id: Some(rng.random()),
        author: author.into(),
    };
    prepare(client, request).await.unwrap()
}

/// Checks a reported outcome against the history of the store. Returns whether the change was
/// accepted.
fn check_outcome(
    store: &SharedStore,
    plan: &PlannedChange,
    other: &PlannedChange,
    reported: &CommitOutcome,
) -> bool {
    let store = store.lock().unwrap();
    let matching: Vec<_> = store
        .history
        .iter()
        .filter(|a| a.change_id == plan.change_id)
        .collect();
    match reported {
        CommitOutcome::Accepted(revision) => {
            expect_that!(matching, len(eq(1)));
            expect_that!(matching[0].revision, eq(*revision));
            expect_that!(matching[0].text, eq(&plan.text));
            true
        }
        CommitOutcome::Conflict(conflict) => {
            expect_that!(matching, is_empty());
            expect_that!(conflict.change_id, eq(other.change_id));
            expect_that!(conflict.author, eq(&other.author));
            false
        }
        CommitOutcome::Faults(faults) => panic!("{faults:?}"),
    }
}

/// Guards against a change that is lost silently, applied twice or reported with the wrong outcome.
#[gtest]
#[tokio::test]
async fn exactly_one_of_two_concurrent_changes_is_accepted() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let (mut accepted, mut conflicts, mut faults) = (0, 0, 0);
    for pair in 0..PAIRS {
        let store = fake_daemon::store();
        let client = client(fake_daemon::serve(store.clone()).await);
        let injected: Vec<Fault> = (0..3).map(|_| random_fault(&mut rng)).collect();
        faults += injected.iter().filter(|f| **f != Fault::None).count();
        store.lock().unwrap().faults = injected.into();
        let first = prepare_random(&client, "Ömer", &mut rng).await;
        let second = prepare_random(&client, "Elif", &mut rng).await;
        let concurrent = rng.random_bool(0.5);
        let (first_outcome, second_outcome) = if concurrent {
            tokio::join!(commit(&client, &first), commit(&client, &second))
        } else {
            (
                commit(&client, &first).await,
                commit(&client, &second).await,
            )
        };
        let (first_outcome, second_outcome) = (first_outcome.unwrap(), second_outcome.unwrap());
        let first_accepted = check_outcome(&store, &first, &second, &first_outcome);
        let second_accepted = check_outcome(&store, &second, &first, &second_outcome);
        expect_that!(
            first_accepted != second_accepted,
            eq(true),
            "pair {pair}: both changes are accepted, or neither"
        );
        expect_that!(store.lock().unwrap().history, len(eq(2)), "pair {pair}");
        accepted += usize::from(first_accepted) + usize::from(second_accepted);
        conflicts += usize::from(!first_accepted) + usize::from(!second_accepted);
    }
    println!("{PAIRS} pairs: {accepted} accepted, {conflicts} conflicts, {faults} faults injected");
    expect_that!(accepted, eq(PAIRS));
    expect_that!(conflicts, eq(PAIRS));
    expect_that!(faults, gt(PAIRS / 2));
}

/// Guards against reporting an accepted change as a conflict when it is repeated after another
/// change, since the current configuration then has the id of the other change.
#[gtest]
#[tokio::test]
async fn repeated_change_is_recognised_after_a_later_change() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let store = fake_daemon::store();
    let client = client(fake_daemon::serve(store.clone()).await);
    let first = prepare_random(&client, "Ömer", &mut rng).await;
    expect_that!(
        commit(&client, &first).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&2))))
    );
    let second = prepare_random(&client, "Elif", &mut rng).await;
    expect_that!(
        commit(&client, &second).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&3))))
    );
    // The operator repeats the first change with its change id.
    expect_that!(
        commit(&client, &first).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&2))))
    );
    expect_that!(store.lock().unwrap().history, len(eq(3)));
}

/// Guards against claiming either outcome when no response arrives. The error names the options
/// with which the operator can find out.
#[gtest]
#[tokio::test]
async fn missing_response_is_reported_as_unknown_outcome() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let store = fake_daemon::store();
    let client = client(fake_daemon::serve(store.clone()).await);
    let plan = prepare_random(&client, "Ömer", &mut rng).await;
    store.lock().unwrap().faults = [Fault::DropRequest; 100].into();
    let error = commit(&client, &plan).await.unwrap_err();
    let repeat = format!("--change-id {} --if-revision 1", plan.change_id);
    expect_that!(error.to_string(), contains_substring(repeat));
    expect_that!(error.exit(), eq(masticdeal::Exit::Unreachable));
}

/// Guards against a printed revision line that the tool cannot parse.
#[gtest]
#[tokio::test]
async fn printed_revision_line_is_parsed() {
    let store = fake_daemon::store();
    let client = client(fake_daemon::serve(store.clone()).await);
    let mut current = CurrentConfig::read(&client).await.unwrap();
    for revision in [1, 0, u64::MAX] {
        current.revision = revision;
        let printed = current.with_revision_line();
        expect_that!(
            parse_revision_line(&printed),
            some(eq(revision)),
            "{printed}"
        );
    }
    expect_that!(parse_revision_line("; masticdeal revision x"), none());
}

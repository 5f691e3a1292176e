//! Two operators change the configuration at the same time, over a store that loses requests and
//! answers. Guards against a change that is lost silently, doubled, or reported wrongly.

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

/// A random change of one setting, which differs from the value that stands.
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

async fn plan(client: &Client, author: &str, rng: &mut StdRng) -> PlannedChange {
    let text = random_text(rng);
    let request = ChangeRequest {
        text: &text,
        if_revision: None,
        change_id: Some(rng.random()),
        author: author.into(),
    };
    prepare(client, request).await.unwrap()
}

/// Checks one report against the history of the store. Returns whether it was accepted.
fn check(
    store: &SharedStore,
    plan: &PlannedChange,
    other: &PlannedChange,
    reported: &CommitOutcome,
) -> bool {
    let store = store.lock().unwrap();
    let known: Vec<_> = store
        .history
        .iter()
        .filter(|a| a.change_id == plan.change_id)
        .collect();
    match reported {
        CommitOutcome::Accepted(revision) => {
            expect_that!(known, len(eq(1)));
            expect_that!(known[0].revision, eq(*revision));
            expect_that!(known[0].text, eq(&plan.text));
            true
        }
        CommitOutcome::Conflict(conflict) => {
            expect_that!(known, is_empty());
            expect_that!(conflict.change_id, eq(other.change_id));
            expect_that!(conflict.author, eq(&other.author));
            false
        }
        CommitOutcome::Faults(faults) => panic!("{faults:?}"),
    }
}

#[gtest]
#[tokio::test]
async fn of_two_changes_none_is_lost_silently() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let (mut accepted, mut conflicts, mut faults) = (0, 0, 0);
    for pair in 0..PAIRS {
        let store = fake_daemon::store();
        let client = client(fake_daemon::serve(store.clone()).await);
        let planned: Vec<Fault> = (0..3).map(|_| random_fault(&mut rng)).collect();
        faults += planned.iter().filter(|f| **f != Fault::None).count();
        store.lock().unwrap().faults = planned.into();
        let first = plan(&client, "Ömer", &mut rng).await;
        let second = plan(&client, "Elif", &mut rng).await;
        let racing = rng.random_bool(0.5);
        let (one, two) = if racing {
            tokio::join!(commit(&client, &first), commit(&client, &second))
        } else {
            (
                commit(&client, &first).await,
                commit(&client, &second).await,
            )
        };
        let (one, two) = (one.unwrap(), two.unwrap());
        let one = check(&store, &first, &second, &one);
        let two = check(&store, &second, &first, &two);
        expect_that!(
            one != two,
            eq(true),
            "pair {pair}: exactly one of two is accepted"
        );
        expect_that!(store.lock().unwrap().history, len(eq(2)), "pair {pair}");
        accepted += usize::from(one) + usize::from(two);
        conflicts += usize::from(!one) + usize::from(!two);
    }
    println!("{PAIRS} pairs: {accepted} accepted, {conflicts} conflicts, {faults} faults planned");
    expect_that!(accepted, eq(PAIRS));
    expect_that!(conflicts, eq(PAIRS));
    expect_that!(faults, gt(PAIRS / 2));
}

/// A change that was accepted and then followed by another one is not a conflict, although the
/// configuration that stands carries the other's id.
#[gtest]
#[tokio::test]
async fn acceptance_is_recognised_after_a_later_change() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let store = fake_daemon::store();
    let client = client(fake_daemon::serve(store.clone()).await);
    let first = plan(&client, "Ömer", &mut rng).await;
    expect_that!(
        commit(&client, &first).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&2))))
    );
    let second = plan(&client, "Elif", &mut rng).await;
    expect_that!(
        commit(&client, &second).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&3))))
    );
    // The operator repeats the first attempt under its change id.
    expect_that!(
        commit(&client, &first).await,
        ok(matches_pattern!(CommitOutcome::Accepted(eq(&2))))
    );
    expect_that!(store.lock().unwrap().history, len(eq(3)));
}

/// Nothing but silence: the tool must not claim either outcome, and names how to find out.
#[gtest]
#[tokio::test]
async fn silence_is_reported_as_unknown() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let store = fake_daemon::store();
    let client = client(fake_daemon::serve(store.clone()).await);
    let plan = plan(&client, "Ömer", &mut rng).await;
    store.lock().unwrap().faults = [Fault::DropRequest; 100].into();
    let error = commit(&client, &plan).await.unwrap_err();
    let repeat = format!("--change-id {} --if-revision 1", plan.change_id);
    expect_that!(error.to_string(), contains_substring(repeat));
    expect_that!(error.exit(), eq(masticdeal::Exit::Unreachable));
}

/// Guards against a printed configuration whose first line is not understood again.
#[gtest]
#[tokio::test]
async fn printed_configuration_names_its_revision() {
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

//! The platform stand-in against the project's own client of the service.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Method;
use masticdeal_bench::http1;
use masticdeal_bench::platform::{Fault, Outage, Stats, serve};
use masticdeal_platform::{Client, Settings, SwapOutcome};

const SECOND: Duration = Duration::from_secs(1);

struct Service {
    client: Client,
    address: std::net::SocketAddr,
}

async fn service() -> Service {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, 1));
    let client = Client::new(Settings {
        address,
        timeout: SECOND,
        ..Settings::default()
    });
    Service { client, address }
}

impl Service {
    async fn fault(&self, fault: Fault) {
        let body = serde_json::to_vec(&fault).unwrap();
        let http = http1::Client::default();
        let sent = http.send(
            Method::POST,
            self.address,
            "/control/fault",
            &[],
            body,
            SECOND,
        );
        assert_that!(sent.await.unwrap().status.as_u16(), eq(200));
    }

    async fn stats(&self) -> Stats {
        let http = http1::Client::default();
        let sent = http.send(Method::GET, self.address, "/control/stats", &[], "", SECOND);
        serde_json::from_slice(&sent.await.unwrap().body).unwrap()
    }
}

/// Guards against a stand-in that accepts a write on top of a newer one.
#[tokio::test]
async fn swap_takes_effect_only_at_the_expected_revision() {
    let s = service().await;
    let first = s.client.swap("a/b", 0, Bytes::from("one"), None).await;
    let SwapOutcome::Applied(revision) = first else {
        panic!("first write: {first:?}")
    };
    let again = s.client.swap("a/b", 0, Bytes::from("two"), None).await;
    assert_that!(again, eq(&SwapOutcome::Conflict(revision)));
    let value = s.client.get("a/b").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("one")));
    assert_that!(s.client.get("none").await.unwrap(), none());
}

/// Guards against faults that lose the write together with its answer.
#[tokio::test]
async fn lost_answer_leaves_the_write_in_force() {
    let s = service().await;
    let fault = Fault {
        lose_answers: 1.0,
        ..Fault::default()
    };
    s.fault(fault).await;
    let written = s.client.swap("k", 0, Bytes::from("v"), None).await;
    assert_that!(matches!(written, SwapOutcome::Unknown(_)), eq(true));
    let value = s.client.get("k").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("v")));
}

/// Guards against late writes that ignore what was written in between.
#[tokio::test]
async fn late_write_and_a_write_in_between_exclude_each_other() {
    let s = service().await;
    let fault = Fault {
        late_writes: 1.0,
        late_ms: 400,
        seed: 7,
        ..Fault::default()
    };
    s.fault(fault).await;
    let late = s.client.swap("k", 0, Bytes::from("late"), None).await;
    assert_that!(matches!(late, SwapOutcome::Unknown(_)), eq(true));
    s.fault(Fault::default()).await;
    let between = s.client.swap("k", 0, Bytes::from("between"), None).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let value = s.client.get("k").await.unwrap().unwrap();
    let winner = match between {
        SwapOutcome::Applied(_) => "between",
        _ => "late",
    };
    assert_that!(value.bytes, eq(&Bytes::from(winner)));
}

/// Guards against keys that outlive the lease they were written under.
#[tokio::test]
async fn key_vanishes_with_its_lease() {
    let s = service().await;
    let lease = s.client.lease_grant(SECOND).await.unwrap();
    let held = s.client.swap("k", 0, Bytes::from("v"), Some(&lease)).await;
    assert_that!(matches!(held, SwapOutcome::Applied(_)), eq(true));
    while s.client.get("k").await.unwrap().is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(s.client.lease_renew(&lease).await.unwrap(), eq(false));
    let lapsed = s.client.swap("k", 0, Bytes::from("v"), Some(&lease)).await;
    assert_that!(matches!(lapsed, SwapOutcome::Unknown(_)), eq(true));
    assert_that!(s.client.get("k").await.unwrap(), none());
}

/// Guards against watches that miss a write, or are counted while they wait more than once.
#[tokio::test]
async fn watch_sees_a_write_and_counts_once() {
    let s = service().await;
    let client = s.client.clone();
    let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
    while s.stats().await.watch == 0 {
        tokio::task::yield_now().await;
    }
    s.client.swap("k", 0, Bytes::from("v"), None).await;
    let seen = waiting.await.unwrap().unwrap().value.unwrap();
    assert_that!(seen.bytes, eq(&Bytes::from("v")));
    let none_newer = s
        .client
        .watch("k", seen.revision, Duration::from_millis(10));
    assert_that!(none_newer.await.unwrap().value, none());
    let stats = s.stats().await;
    assert_that!(
        (stats.watch, stats.swap, stats.total_calls()),
        eq((2, 1, 3))
    );
}

/// Guards against an outage in which writes still take effect or pending watches are answered.
#[tokio::test]
async fn outage_stops_calls_and_pending_watches() {
    for down in [Outage::Refuse, Outage::Hang] {
        let s = service().await;
        let client = s.client.clone();
        let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
        while s.stats().await.watch == 0 {
            tokio::task::yield_now().await;
        }
        s.fault(Fault {
            down,
            ..Fault::default()
        })
        .await;
        let write = s.client.swap("k", 0, Bytes::from("v"), None).await;
        assert_that!(matches!(write, SwapOutcome::Unknown(_)), eq(true));
        s.fault(Fault::default()).await;
        assert_that!(waiting.await.unwrap(), err(anything()));
        assert_that!(s.client.get("k").await.unwrap(), none());
    }
}
